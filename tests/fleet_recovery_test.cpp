// Several real nodes that lose power together. The tests check which lists and records the nodes trust when
// they start again.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "fleet_helpers.h"

namespace canvasstage::lab::fleet {
namespace {

constexpr double kMostAnswering = 40;  // seconds until every client has its answer or gives up

// --- Attempts in doubt ---

enum class Returns { kDiscovery, kExecutors, kNodes };

std::vector<Returns> return_order(std::uint64_t seed) {
  std::vector<Returns> order = {Returns::kDiscovery, Returns::kExecutors, Returns::kNodes};
  for (std::uint64_t i = 0; i < seed % 6; ++i) std::ranges::next_permutation(order);
  return order;
}

void return_power(Fleet& fleet, std::uint64_t seed, std::uint64_t generation) {
  for (const Returns next : return_order(seed)) {
    if (next == Returns::kNodes) fleet.start_all_nodes();
    if (next == Returns::kExecutors) fleet.start_executors();
    if (next == Returns::kDiscovery) fleet.start_discovery(generation, fleet.listed());
  }
  fleet.tell_list(generation, fleet.listed());  // the executors have been started by now
}

struct FleetAttempts : testing::TestWithParam<std::uint64_t> {};

// Two power losses interrupt the work. Unsynced writes are lost or torn. The seed determines the order in
// which discovery, the executors and the nodes return.
TEST_P(FleetAttempts, EveryKeyedRequestThatIsRepeatedTakesEffectOnce) {
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
  load.repeats_failed = true;
  load.patience = 15;
  Workload workload(fleet, load);
  workload.start();
  std::mt19937 random(static_cast<std::uint32_t>(seed));
  for (std::uint64_t loss = 0; loss < 2; ++loss) {
    fleet.run(0.5 + std::uniform_real_distribution<double>(0, 0.5)(random));
    fleet.lose_power(Fleet::Scope::kAll);
    return_power(fleet, seed + loss, kGeneration + 1 + loss);
    ASSERT_TRUE(fleet.run(kMostStarting, [&] { return fleet.all_listening(); })) << fleet.node_log(0);
  }
  fleet.run(0.3);
  workload.stop();
  EXPECT_TRUE(fleet.run(kMostAnswering, [&] { return workload.open() == 0; }));
  EXPECT_GE(workload.requests(), 100u);
  EXPECT_EQ(fleet.ledger().repeated_effects(), std::vector<std::string>{});
  RecordProperty("requests", static_cast<int>(workload.requests()));
  RecordProperty("given_up", static_cast<int>(workload.given_up()));
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetAttempts, testing::Range<std::uint64_t>(1, 13));

// --- Lists ---

struct FleetLists : testing::Test {
  // Expects that no attempt begins at the executor later than the drain grace after `told`.
  void expect_no_sends(Fleet& fleet, std::size_t executor, LoopTime told) {
    EXPECT_EQ(fleet.ledger().begun(executor, told + seconds_of(kDrainGrace), LoopClock::now()), 0);
  }
  static WorkloadPlan load() {
    WorkloadPlan plan;
    plan.rate = 60;
    return plan;
  }
  static bool all_took(const Fleet& fleet, std::uint64_t generation) {
    return fleet.nodes_that_logged("roster taken, version " + std::to_string(generation)) ==
           fleet.plan().nodes;
  }
  // Seconds to watch after the drain grace, long enough that every node would have sent something.
  static constexpr double kWatched = 2.5;
};

TEST_F(FleetLists, ADiscoveryThatForgotAndFillsUpAgainIsFollowedAndItsDrainsObeyed) {
  Fleet fleet(small_fleet());
  start_all(fleet);
  wait_for_saved_lists(fleet);
  fleet.lose_power(Fleet::Scope::kExecutorsRun);
  fleet.start_discovery(1, {});
  start_nodes(fleet);
  EXPECT_TRUE(fleet.run(kMostStarting, [&] { return all_took(fleet, 1); })) << fleet.node_log(0);
  Workload workload(fleet, load());
  workload.start();
  // The new incarnation of discovery sends an empty list. All requests are still served.
  fleet.run(1);
  EXPECT_GT(workload.answers(200), 20u) << fleet.node_log(0);
  fleet.tell_list(2, fleet.listed());
  EXPECT_TRUE(fleet.run(kMostStarting, [&] { return all_took(fleet, 2); })) << fleet.node_log(0);
  std::vector<ListedExecutor> drained = fleet.listed();
  drained[0].lifecycle = "leaving";
  const LoopTime told = LoopClock::now();
  fleet.tell_list(3, drained);
  fleet.run(kWatched + kDrainGrace);
  workload.stop();
  EXPECT_TRUE(fleet.run(kMostAnswering, [&] { return workload.open() == 0; }));
  expect_no_sends(fleet, 0, told);
  EXPECT_EQ(workload.given_up(), 0u);
}

// A drain in the first list of a new incarnation of discovery counts from that list on, before the
// incarnation is confirmed.
TEST_F(FleetLists, ADrainInTheFirstListOfANewIncarnationIsObeyed) {
  Fleet fleet(small_fleet());
  start_all(fleet);
  wait_for_saved_lists(fleet);
  std::vector<ListedExecutor> drained = fleet.listed();
  drained[1].lifecycle = "leaving";
  fleet.lose_power(Fleet::Scope::kExecutorsRun);
  fleet.start_discovery(1, {drained[1]});
  start_nodes(fleet);
  ASSERT_TRUE(fleet.run(kMostStarting, [&] { return all_took(fleet, 1); })) << fleet.node_log(0);
  const LoopTime told = LoopClock::now();
  Workload workload(fleet, load());
  workload.start();
  fleet.run(kWatched + kDrainGrace);
  workload.stop();
  EXPECT_TRUE(fleet.run(kMostAnswering, [&] { return workload.open() == 0; }));
  expect_no_sends(fleet, 1, told);
  EXPECT_GT(workload.answers(200), 50u);
}

TEST_F(FleetLists, AnOldListThatLacksSomeAndNamesSomeThatLeftIsFollowed) {
  Fleet fleet(small_fleet());
  start_all(fleet);
  wait_for_saved_lists(fleet);
  std::vector<ListedExecutor> old = fleet.listed();
  old.erase(old.begin());  // this executor joined after the old list was made
  ListedExecutor left;
  left.id = "s-left";
  left.address = "127.42.0.200:9";  // nobody listens there
  old.push_back(left);
  fleet.lose_power(Fleet::Scope::kExecutorsRun);
  fleet.start_discovery(30, old);
  start_nodes(fleet);
  ASSERT_TRUE(fleet.run(kMostStarting, [&] { return all_took(fleet, 30); })) << fleet.node_log(0);
  const LoopTime told = LoopClock::now();
  Workload workload(fleet, load());
  workload.start();
  fleet.run(kWatched + kDrainGrace);
  expect_no_sends(fleet, 0, told);
  // Discovery catches up: the executor that its old list lacked is now the only one that takes work.
  std::vector<ListedExecutor> caught_up = fleet.listed();
  for (std::size_t i = 1; i < caught_up.size(); ++i) caught_up[i].lifecycle = "leaving";
  fleet.tell_list(31, caught_up);
  EXPECT_TRUE(fleet.run(kMostStarting, [&] {
    return fleet.ledger().begun(0, told + seconds_of(kDrainGrace), LoopClock::now()) > 0;
  }));
  workload.stop();
  EXPECT_TRUE(fleet.run(kMostAnswering, [&] { return workload.open() == 0; }));
  EXPECT_EQ(workload.given_up(), 0u);
}

TEST_F(FleetLists, AFleetServesByItsKeptListWhileDiscoveryIsThirtySecondsLate) {
  constexpr double kLate = 30;
  Fleet fleet(small_fleet());
  start_all(fleet);
  wait_for_saved_lists(fleet);
  fleet.lose_power(Fleet::Scope::kExecutorsRun);
  const LoopTime back = LoopClock::now();
  start_nodes(fleet);
  Workload workload(fleet, load());
  workload.start();
  fleet.run(kLate - std::chrono::duration<double>(LoopClock::now() - back).count());
  EXPECT_GT(workload.answers(200), 1000u);
  std::vector<ListedExecutor> list = fleet.listed();
  list[2].lifecycle = "leaving";
  fleet.start_discovery(kGeneration + 1, list);
  const LoopTime reached = LoopClock::now();
  ASSERT_TRUE(fleet.run(6, [&] { return all_took(fleet, kGeneration + 1); })) << fleet.node_log(0);
  fleet.run(kWatched + kDrainGrace);
  workload.stop();
  EXPECT_TRUE(fleet.run(kMostAnswering, [&] { return workload.open() == 0; }));
  // A change counts as known to the nodes 6 s after discovery had it and could be reached.
  expect_no_sends(fleet, 2, reached + seconds_of(6));
  EXPECT_EQ(workload.given_up(), 0u);
}

// The node whose link to discovery was silent while discovery lost its state finds the new incarnation
// without help.
TEST_F(FleetLists, ANodeWhoseLinkFellSilentWhileDiscoveryForgotFollowsWithinSixSecondsOfItsHealing) {
  Fleet fleet(small_fleet());
  start_all(fleet);
  fleet.set_discovery_link(0, LinkFault::kSilent);
  fleet.stop_discovery();
  fleet.start_discovery(1, fleet.listed());
  ASSERT_TRUE(fleet.run(kMostStarting, [&] {
    return fleet.nodes_that_logged("roster taken, version 1") == fleet.plan().nodes - 1;
  }));
  fleet.set_discovery_link(0, LinkFault::kNone);
  EXPECT_TRUE(fleet.run(6, [&] { return all_took(fleet, 1); })) << fleet.node_log(0);
}

TEST_F(FleetLists, ADelayedLinkToDiscoveryStillLetsANewIncarnationBeginInTime) {
  Fleet fleet(small_fleet());
  start_all(fleet);
  for (int node = 0; node < fleet.plan().nodes; ++node)
    fleet.set_discovery_link(node, LinkFault::kDelay, 300);
  fleet.stop_discovery();
  fleet.start_discovery(1, fleet.listed());
  EXPECT_TRUE(fleet.run(6, [&] { return all_took(fleet, 1); })) << fleet.node_log(0);
}

// --- Power again ---

TEST_F(FleetLists, PowerThatIsLostAgainWhileStateIsReadChangesNothing) {
  FleetPlan plan = small_fleet(5);
  plan.programs.node = plan.programs.node_on_lossy_disk;
  plan.environment = [](int node) { return Fleet::lossy_disk(50 + static_cast<std::uint64_t>(node), 0.5); };
  Fleet fleet(plan);
  start_all(fleet);
  WorkloadPlan keyed = load();
  keyed.keyed_share = 1;
  keyed.repeats_failed = true;
  Workload workload(fleet, keyed);
  workload.start();
  fleet.run(1.5);
  std::mt19937 random(5);
  for (int loss = 0; loss < 12; ++loss) {
    fleet.lose_power(Fleet::Scope::kExecutorsRun);
    fleet.start_discovery(kGeneration, fleet.listed());
    fleet.start_all_nodes();
    // The next power loss comes at a random time, on average later in the start from loss to loss; the last
    // ones may come once the nodes are up.
    fleet.run(std::uniform_real_distribution<double>(0, 0.012 * loss)(random));
  }
  ASSERT_TRUE(fleet.run(kMostStarting, [&] { return fleet.all_listening(); })) << fleet.node_log(0);
  EXPECT_EQ(fleet.nodes_that_logged("recovery: store is"), 0) << fleet.node_log(0);
  workload.stop();
  EXPECT_TRUE(fleet.run(kMostAnswering, [&] { return workload.open() == 0; }));
  EXPECT_EQ(fleet.ledger().repeated_effects(), std::vector<std::string>{});
}

}  // namespace
}  // namespace canvasstage::lab::fleet
