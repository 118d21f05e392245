// Tests which lists and attempts real nodes rely on after they all lost power together.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "fleet_helpers.h"

namespace canvasstage::lab::fleet {
namespace {

constexpr double kAnswerTimeout = 40;  // seconds until every client has its answer or gives up

// --- Attempts in doubt ---

enum class Restarts { kDiscovery, kExecutors, kNodes };

std::vector<Restarts> restart_order(std::uint64_t seed) {
  std::vector<Restarts> order = {Restarts::kDiscovery, Restarts::kExecutors, Restarts::kNodes};
  for (std::uint64_t i = 0; i < seed % 6; ++i) std::ranges::next_permutation(order);
  return order;
}

void restore_power(Fleet& fleet, std::uint64_t seed, std::uint64_t generation) {
  for (const Restarts next : restart_order(seed)) {
    if (next == Restarts::kNodes) fleet.start_all_nodes();
    if (next == Restarts::kExecutors) fleet.start_executors();
    if (next == Restarts::kDiscovery) fleet.start_discovery(generation, fleet.executor_list());
  }
  fleet.publish_list(generation, fleet.executor_list());  // the executors may have started after discovery
}

struct FleetAttempts : testing::TestWithParam<std::uint64_t> {};

// Guards against keys that take effect twice across two power losses under load, in which unsynced writes are
// lost or torn. The seed determines the order of the restarts.
TEST_P(FleetAttempts, ResentKeyedRequestTakesEffectOnce) {
  const std::uint64_t seed = GetParam();
  FleetPlan plan = small_fleet(seed);
  plan.run_time = 0.15;
  plan.programs.node = plan.programs.node_on_lossy_disk;
  plan.environment = [seed](int node) {
    return Fleet::lossy_disk(seed * 16 + static_cast<std::uint64_t>(node), 0.3);
  };
  if (std::getenv("FLEET_WITHOUT_ATTEMPT_LOG") != nullptr)
    plan.recovery_tables = "[attempts]\nenabled = false\n";
  Fleet fleet(plan);
  start_all(fleet);
  WorkloadPlan load;
  load.rate = 120;
  load.keyed_share = 1;
  load.resends_failed = true;
  load.give_up_after = 15;
  Workload workload(fleet, load);
  workload.start();
  std::mt19937 random(static_cast<std::uint32_t>(seed));
  for (std::uint64_t loss = 0; loss < 2; ++loss) {
    fleet.run(0.5 + std::uniform_real_distribution<double>(0, 0.5)(random));
    fleet.lose_power(Fleet::Scope::kAll);
    restore_power(fleet, seed + loss, kGeneration + 1 + loss);
    ASSERT_TRUE(fleet.run(kStartTimeout, [&] { return fleet.all_listening(); })) << fleet.node_log(0);
  }
  fleet.run(0.3);
  workload.stop();
  EXPECT_TRUE(fleet.run(kAnswerTimeout, [&] { return workload.open() == 0; }));
  EXPECT_GE(workload.requests(), 100u);
  EXPECT_EQ(fleet.ledger().repeated_effects(), std::vector<std::string>{});
  RecordProperty("requests", static_cast<int>(workload.requests()));
  RecordProperty("given_up", static_cast<int>(workload.given_up()));
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetAttempts, testing::Range<std::uint64_t>(1, 13));

// --- Lists ---

struct FleetLists : testing::Test {
  // Expects that the executor started no attempt after the drain grace.
  void expect_no_attempts(Fleet& fleet, std::size_t executor, LoopTime published) {
    EXPECT_EQ(
        fleet.ledger().attempts_started(executor, published + seconds_of(kDrainGrace), LoopClock::now()), 0);
  }
  static WorkloadPlan load() {
    WorkloadPlan plan;
    plan.rate = 60;
    return plan;
  }
  static bool all_took_list(const Fleet& fleet, std::uint64_t generation) {
    return fleet.nodes_that_logged("roster taken, version " + std::to_string(generation)) ==
           fleet.plan().nodes;
  }
  // Seconds after the drain grace, long enough for every node to have sent something.
  static constexpr double kObservedDuration = 2.5;
};

TEST_F(FleetLists, RefilledDiscoveryIsFollowedWithItsDrains) {
  Fleet fleet(small_fleet());
  start_all(fleet);
  wait_for_saved_lists(fleet);
  fleet.lose_power(Fleet::Scope::kExecutorsRun);
  fleet.start_discovery(1, {});
  start_nodes(fleet);
  EXPECT_TRUE(fleet.run(kStartTimeout, [&] { return all_took_list(fleet, 1); })) << fleet.node_log(0);
  Workload workload(fleet, load());
  workload.start();
  // The new incarnation's list is empty: requests are still served.
  fleet.run(1);
  EXPECT_GT(workload.answers(200), 20u) << fleet.node_log(0);
  fleet.publish_list(2, fleet.executor_list());
  EXPECT_TRUE(fleet.run(kStartTimeout, [&] { return all_took_list(fleet, 2); })) << fleet.node_log(0);
  std::vector<ListedExecutor> drained = fleet.executor_list();
  drained[0].lifecycle = "leaving";
  const LoopTime published = LoopClock::now();
  fleet.publish_list(3, drained);
  fleet.run(kObservedDuration + kDrainGrace);
  workload.stop();
  EXPECT_TRUE(fleet.run(kAnswerTimeout, [&] { return workload.open() == 0; }));
  expect_no_attempts(fleet, 0, published);
  EXPECT_EQ(workload.given_up(), 0u);
}

// Guards against a drain that is ignored because the first list of a new incarnation is not confirmed yet.
TEST_F(FleetLists, DrainInFirstListOfIncarnationIsObeyed) {
  Fleet fleet(small_fleet());
  start_all(fleet);
  wait_for_saved_lists(fleet);
  std::vector<ListedExecutor> drained = fleet.executor_list();
  drained[1].lifecycle = "leaving";
  fleet.lose_power(Fleet::Scope::kExecutorsRun);
  fleet.start_discovery(1, {drained[1]});
  start_nodes(fleet);
  ASSERT_TRUE(fleet.run(kStartTimeout, [&] { return all_took_list(fleet, 1); })) << fleet.node_log(0);
  const LoopTime published = LoopClock::now();
  Workload workload(fleet, load());
  workload.start();
  fleet.run(kObservedDuration + kDrainGrace);
  workload.stop();
  EXPECT_TRUE(fleet.run(kAnswerTimeout, [&] { return workload.open() == 0; }));
  expect_no_attempts(fleet, 1, published);
  EXPECT_GT(workload.answers(200), 50u);
}

TEST_F(FleetLists, StaleListWithDepartedExecutorIsFollowed) {
  Fleet fleet(small_fleet());
  start_all(fleet);
  wait_for_saved_lists(fleet);
  std::vector<ListedExecutor> stale_list = fleet.executor_list();
  stale_list.erase(stale_list.begin());  // this executor joined after the stale list
  ListedExecutor departed;
  departed.id = "s-left";
  departed.address = "127.42.0.200:9";  // no process listens there
  stale_list.push_back(departed);
  fleet.lose_power(Fleet::Scope::kExecutorsRun);
  fleet.start_discovery(30, stale_list);
  start_nodes(fleet);
  ASSERT_TRUE(fleet.run(kStartTimeout, [&] { return all_took_list(fleet, 30); })) << fleet.node_log(0);
  const LoopTime published = LoopClock::now();
  Workload workload(fleet, load());
  workload.start();
  fleet.run(kObservedDuration + kDrainGrace);
  expect_no_attempts(fleet, 0, published);
  // Discovery catches up: the executor missing from the stale list is now the only active one.
  std::vector<ListedExecutor> caught_up = fleet.executor_list();
  for (std::size_t i = 1; i < caught_up.size(); ++i) caught_up[i].lifecycle = "leaving";
  fleet.publish_list(31, caught_up);
  EXPECT_TRUE(fleet.run(kStartTimeout, [&] {
    return fleet.ledger().attempts_started(0, published + seconds_of(kDrainGrace), LoopClock::now()) > 0;
  }));
  workload.stop();
  EXPECT_TRUE(fleet.run(kAnswerTimeout, [&] { return workload.open() == 0; }));
  EXPECT_EQ(workload.given_up(), 0u);
}

TEST_F(FleetLists, FleetServesFromSavedListWithoutDiscovery) {
  constexpr double kDiscoveryDelay = 30;
  Fleet fleet(small_fleet());
  start_all(fleet);
  wait_for_saved_lists(fleet);
  fleet.lose_power(Fleet::Scope::kExecutorsRun);
  const LoopTime back = LoopClock::now();
  start_nodes(fleet);
  Workload workload(fleet, load());
  workload.start();
  fleet.run(kDiscoveryDelay - std::chrono::duration<double>(LoopClock::now() - back).count());
  EXPECT_GT(workload.answers(200), 1000u);
  std::vector<ListedExecutor> list = fleet.executor_list();
  list[2].lifecycle = "leaving";
  fleet.start_discovery(kGeneration + 1, list);
  const LoopTime reached = LoopClock::now();
  ASSERT_TRUE(fleet.run(6, [&] { return all_took_list(fleet, kGeneration + 1); })) << fleet.node_log(0);
  fleet.run(kObservedDuration + kDrainGrace);
  workload.stop();
  EXPECT_TRUE(fleet.run(kAnswerTimeout, [&] { return workload.open() == 0; }));
  // A node must follow a change 6 s after discovery is reachable with it.
  expect_no_attempts(fleet, 2, reached + seconds_of(6));
  EXPECT_EQ(workload.given_up(), 0u);
}

// Guards against a node that keeps waiting on a silent link and misses the new incarnation of discovery.
TEST_F(FleetLists, HealedNodeFollowsNewIncarnationInTime) {
  Fleet fleet(small_fleet());
  start_all(fleet);
  fleet.set_discovery_link(0, LinkFault::kSilent);
  fleet.stop_discovery();
  fleet.start_discovery(1, fleet.executor_list());
  ASSERT_TRUE(fleet.run(kStartTimeout, [&] {
    return fleet.nodes_that_logged("roster taken, version 1") == fleet.plan().nodes - 1;
  }));
  fleet.set_discovery_link(0, LinkFault::kNone);
  EXPECT_TRUE(fleet.run(6, [&] { return all_took_list(fleet, 1); })) << fleet.node_log(0);
}

TEST_F(FleetLists, NewIncarnationBeginsInTimeOverDelayedLink) {
  Fleet fleet(small_fleet());
  start_all(fleet);
  for (int node = 0; node < fleet.plan().nodes; ++node)
    fleet.set_discovery_link(node, LinkFault::kDelay, 300);
  fleet.stop_discovery();
  fleet.start_discovery(1, fleet.executor_list());
  EXPECT_TRUE(fleet.run(6, [&] { return all_took_list(fleet, 1); })) << fleet.node_log(0);
}

// --- Repeated power loss ---

TEST_F(FleetLists, PowerLossDuringRecoveryChangesNothing) {
  FleetPlan plan = small_fleet(5);
  plan.programs.node = plan.programs.node_on_lossy_disk;
  plan.environment = [](int node) { return Fleet::lossy_disk(50 + static_cast<std::uint64_t>(node), 0.5); };
  Fleet fleet(plan);
  start_all(fleet);
  WorkloadPlan keyed = load();
  keyed.keyed_share = 1;
  keyed.resends_failed = true;
  Workload workload(fleet, keyed);
  workload.start();
  fleet.run(1.5);
  std::mt19937 random(5);
  for (int loss = 0; loss < 12; ++loss) {
    fleet.lose_power(Fleet::Scope::kExecutorsRun);
    fleet.start_discovery(kGeneration, fleet.executor_list());
    fleet.start_all_nodes();
    // Each loss comes a little later in the start; the last ones come once the nodes are up.
    fleet.run(std::uniform_real_distribution<double>(0, 0.012 * loss)(random));
  }
  ASSERT_TRUE(fleet.run(kStartTimeout, [&] { return fleet.all_listening(); })) << fleet.node_log(0);
  EXPECT_EQ(fleet.nodes_that_logged("recovery: store is"), 0) << fleet.node_log(0);
  workload.stop();
  EXPECT_TRUE(fleet.run(kAnswerTimeout, [&] { return workload.open() == 0; }));
  EXPECT_EQ(fleet.ledger().repeated_effects(), std::vector<std::string>{});
}

}  // namespace
}  // namespace canvasstage::lab::fleet
