// Compares the emulator with queueing theory, runs the node under every fault, and checks that the rule
// checker detects faulty dispatchers.
#include <gtest/gtest.h>

#include <cmath>

#include "emulator/emulator.h"

namespace canvasstage::lab {
namespace {

// A fleet with practically unbounded queues and no network delay, as queueing theory assumes.
Scenario queueing_scenario(int executors, int slots, double load, const std::string& policy, double length) {
  Scenario s;
  s.nodes = 1;
  s.executors = executors;
  s.slots = slots;
  s.queue_capacity = 1000000;
  s.load = load;
  s.policy = policy;
  s.length = length;
  s.measurement_start = length / 10;
  s.same_zone_delay = s.jitter = 0;
  s.classes[0].work = 1;
  s.classes[0].deadline = 1000;
  return s;
}

Result run(const Scenario& scenario, std::uint64_t seed = 1) {
  Emulator emulator(scenario, seed);
  return emulator.run();
}

// Mean stay over several seeds with a margin of three standard errors.
struct Interval {
  double mean, margin;
};
Interval measure_stay(const Scenario& scenario, int seeds) {
  double sum = 0, squares = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    const double stay = run(scenario, static_cast<std::uint64_t>(seed)).mean_stay;
    sum += stay;
    squares += stay * stay;
  }
  const double mean = sum / seeds;
  const double variance = std::max(0.0, squares / seeds - mean * mean) * seeds / (seeds - 1);
  return {mean, 3 * std::sqrt(variance / seeds)};
}

TEST(LabTheory, SingleServerQueueMatchesTheory) {
  const Interval stay = measure_stay(queueing_scenario(1, 1, 0.7, "random", 20000), 8);
  EXPECT_NEAR(stay.mean, 1 / (1 - 0.7), stay.margin);
  EXPECT_LT(stay.margin, 0.3);
}

TEST(LabTheory, FourServerQueueMatchesErlangC) {
  const double load = 0.8, offered = 4 * load;
  double sum = 0, term = 1;
  for (int k = 0; k < 4; term *= offered / ++k) sum += term;
  const double wait_probability = term / (1 - load) / (sum + term / (1 - load));  // Erlang's C
  const Interval stay = measure_stay(queueing_scenario(1, 4, load, "random", 8000), 8);
  EXPECT_NEAR(stay.mean, 1 + wait_probability / (4 * (1 - load)), stay.margin);
  EXPECT_LT(stay.margin, 0.3);
}

TEST(LabTheory, RandomPolicyMatchesIndependentQueues) {
  const Interval stay = measure_stay(queueing_scenario(20, 1, 0.7, "random", 1500), 8);
  EXPECT_NEAR(stay.mean, 1 / (1 - 0.7), stay.margin);
  EXPECT_LT(stay.margin, 0.3);
}

// The mean stay with the best of d random choices in a large fleet is the sum over i of
// load^((d^i - d) / (d - 1)).
TEST(LabTheory, BestOfDChoicesMatchesTheory) {
  for (const int d : {2, 3}) {
    Scenario scenario = queueing_scenario(400, 1, 0.9, "d_of_uniform", 120);
    scenario.choice_count = d;
    scenario.measurement_start = 0;
    double expected = 0, power = d;
    for (int i = 1; i < 20; ++i, power *= d) expected += std::pow(0.9, (power - d) / (d - 1));
    const Interval stay = measure_stay(scenario, 4);
    // The fleet starts empty and is finite, so a twentieth is added to the margin.
    EXPECT_NEAR(stay.mean, expected, stay.margin + expected / 20) << d;
  }
}

TEST(LabTheory, LittlesLawHoldsForEveryPolicy) {
  for (const char* const policy : {"node", "random", "round_robin", "least_outstanding", "d_of_uniform"}) {
    Scenario scenario;
    scenario.policy = policy;
    scenario.length = 60;
    scenario.load = 0.6;
    const Result result = run(scenario);
    EXPECT_GT(result.mean_occupancy, 1) << policy;
    EXPECT_NEAR(result.mean_occupancy, result.littles_law_occupancy, 0.02 * result.mean_occupancy) << policy;
  }
}

TEST(LabEmulator, SameSeedReproducesRunExactly) {
  Scenario scenario;
  scenario.nodes = 4;
  scenario.zones = 2;
  scenario.length = 20;
  scenario.disconnect_share = 0.1;
  scenario.max_clock_offset = 3;
  scenario.faults = {{Fault::Kind::kCrash, 5, 4, 0.3, 1, -1}, {Fault::Kind::kLoss, 8, 3, 0.02, 1, -1}};
  const std::string summary = run(scenario, 7).summary();
  EXPECT_EQ(run(scenario, 7).summary(), summary);
  EXPECT_NE(run(scenario, 8).summary(), summary);
}

TEST(LabEmulator, SimultaneousEventsRunInSchedulingOrder) {
  EventQueue events;
  std::string order;
  events.schedule_at(5, [&] { order += 'b'; });
  events.schedule_at(3, [&] {
    order += 'a';
    events.schedule_at(5, [&] { order += 'd'; });
    events.schedule_at(1, [&] { order += '!'; });  // a time in the past runs now
  });
  events.schedule_at(5, [&] { order += 'c'; });
  events.run_until(5);
  EXPECT_EQ(order, "a!bcd");
  EXPECT_EQ(events.now(), 5);
}

// A fault of any kind must not make the node break a rule or lose most of its service.
TEST(LabEmulator, NodeKeepsRulesUnderEveryFault) {
  using Kind = Fault::Kind;
  for (const Kind kind : {Kind::kCrash, Kind::kVanish, Kind::kHang, Kind::kSlow, Kind::kFail, Kind::kDrain,
                          Kind::kPartition, Kind::kLoss, Kind::kDiscovery, Kind::kBurst}) {
    Scenario scenario;
    scenario.nodes = 5;
    scenario.zones = 2;
    scenario.length = 20;
    scenario.load = 0.5;
    scenario.executor_warm_up = 5;
    scenario.disconnect_share = 0.05;
    scenario.max_retries = 2;
    WorkClass at_most_once, by_key;
    at_most_once.name = "single";
    at_most_once.effect = Effect::kAtMostOnce;
    by_key.name = "referenced";
    by_key.effect = Effect::kIdempotentByKey;
    by_key.idempotency_scope = IdempotencyScope::kZone;
    by_key.late_value = 0.5;
    scenario.classes = {WorkClass{}, at_most_once, by_key};
    scenario.faults = {{kind, 8, 6, kind == Kind::kLoss ? 0.05 : 0.3, kind == Kind::kFail ? 0.8 : 4.0, -1}};
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      const Result result = run(scenario, seed);
      EXPECT_EQ(result.violation_count(), 0u) << static_cast<int>(kind) << "\n" << result.summary();
      EXPECT_GT(result.requests, 100u);
      EXPECT_GT(result.service, kind == Kind::kBurst ? 0.3 : 0.6) << static_cast<int>(kind) << "\n"
                                                                  << result.summary();
    }
  }
}

// Discovery lists changes 6 s late, after a partition has healed and an outage of discovery is over: the node
// acts on outdated membership and must still keep the rules.
TEST(LabEmulator, LateMembershipAfterPartitionKeepsRules) {
  Scenario scenario;
  scenario.nodes = 4;
  scenario.zones = 2;
  scenario.length = 30;
  scenario.membership_propagation_delay = 6;
  scenario.executor_warm_up = 5;
  scenario.faults = {{Fault::Kind::kPartition, 8, 4, 0, 1, 1},
                     {Fault::Kind::kCrash, 7, 4, 0.3, 1, -1},
                     {Fault::Kind::kDiscovery, 10, 4, 0, 1, -1}};
  const Result result = run(scenario);
  EXPECT_EQ(result.violation_count(), 0u) << result.summary();
}

TEST(LabEmulator, SustainedOverloadShedsWithoutViolations) {
  Scenario scenario;
  scenario.length = 12;
  scenario.measurement_start = 2;
  scenario.executors = 4;
  scenario.load = 3;
  const Result result = run(scenario);
  EXPECT_EQ(result.violation_count(), 0u) << result.summary();
  EXPECT_GT(result.classes[0].shed, 0u);
  EXPECT_GT(result.service, 0.15);
}

// --- Faulty dispatchers, at least one for each rule ---

// Answers each request after one attempt at executor 0. Derived classes break a rule on purpose.
class FaultyDispatcher : public Dispatcher {
 public:
  explicit FaultyDispatcher(Emulator& emulator) : emulator_(emulator) {}
  void request_arrived(const std::shared_ptr<const EmulatedRequest>& request) override { send(request, 0); }
  void client_closed(Id) override {}
  void attempt_ended(Id attempt_id, Outcome outcome, bool) override {
    const std::shared_ptr<const EmulatedRequest> request = requests_[attempt_id - 1];
    finish(request, outcome);
  }
  void executor_listed(int, Lifecycle, Microseconds) override {}
  void membership_received(bool, std::uint64_t) override {}

 protected:
  virtual void finish(const std::shared_ptr<const EmulatedRequest>& request, Outcome) {
    emulator_.answer(0, request->client, Answer::kSucceeded);
  }
  void send(const std::shared_ptr<const EmulatedRequest>& request, int executor) {
    requests_.push_back(request);
    emulator_.start_attempt(0, requests_.size(), 0, executor, request);
  }
  Emulator& emulator_;
  std::vector<std::shared_ptr<const EmulatedRequest>> requests_;
};

Scenario small_scenario(Effect effect) {
  Scenario scenario;
  scenario.nodes = 1;
  scenario.executors = 2;
  scenario.length = 5;
  scenario.load = 0.2;
  scenario.classes[0].effect = effect;
  return scenario;
}

template <class Kind>
Result run_faulty(const Scenario& scenario) {
  Emulator emulator(scenario, 1, [](Emulator& with, int) { return std::make_unique<Kind>(with); });
  return emulator.run();
}

std::uint64_t count(const Result& result, Rule rule) {
  return result.violations[static_cast<std::size_t>(rule)];
}

// Guards against a rule checker that reports violations where there are none.
TEST(LabRules, CorrectDispatcherHasNoViolations) {
  EXPECT_EQ(run_faulty<FaultyDispatcher>(small_scenario(Effect::kAtMostOnce)).violation_count(), 0u);
}

struct AnswersTwice : FaultyDispatcher {
  using FaultyDispatcher::FaultyDispatcher;
  void finish(const std::shared_ptr<const EmulatedRequest>& request, Outcome) override {
    emulator_.answer(0, request->client, Answer::kSucceeded);
    emulator_.answer(0, request->client, Answer::kSucceeded);
  }
};
struct NeverAnswers : FaultyDispatcher {
  using FaultyDispatcher::FaultyDispatcher;
  void finish(const std::shared_ptr<const EmulatedRequest>&, Outcome) override {}
};
struct StartsAttemptAfterAnswer : FaultyDispatcher {
  using FaultyDispatcher::FaultyDispatcher;
  void finish(const std::shared_ptr<const EmulatedRequest>& request, Outcome) override {
    if (!answered_.insert({request->client, true}).second) return;
    emulator_.answer(0, request->client, Answer::kSucceeded);
    send(request, 1);
  }
  std::unordered_map<Id, bool> answered_;
};

TEST(LabRules, DuplicateOrMissingAnswerIsDetected) {
  EXPECT_GT(count(run_faulty<AnswersTwice>(small_scenario(Effect::kIdempotent)), Rule::kSingleAnswer), 0u);
  EXPECT_GT(count(run_faulty<NeverAnswers>(small_scenario(Effect::kIdempotent)), Rule::kSingleAnswer), 0u);
  EXPECT_GT(
      count(run_faulty<StartsAttemptAfterAnswer>(small_scenario(Effect::kIdempotent)), Rule::kSingleAnswer),
      0u);
}

struct RetriesAfterFailure : FaultyDispatcher {
  using FaultyDispatcher::FaultyDispatcher;
  void finish(const std::shared_ptr<const EmulatedRequest>& request, Outcome outcome) override {
    if (outcome == Outcome::kFailed && sent_.insert({request->client, true}).second) return send(request, 1);
    emulator_.answer(0, request->client, Answer::kFailed);
  }
  std::unordered_map<Id, bool> sent_;
};
struct ShedsAfterFailure : FaultyDispatcher {
  using FaultyDispatcher::FaultyDispatcher;
  void finish(const std::shared_ptr<const EmulatedRequest>& request, Outcome outcome) override {
    emulator_.answer(0, request->client, outcome == Outcome::kFailed ? Answer::kShed : Answer::kSucceeded);
  }
};

TEST(LabRules, UnsafeRetryIsDetected) {
  Scenario scenario = small_scenario(Effect::kAtMostOnce);
  scenario.faults = {{Fault::Kind::kFail, 0, 5, 1, 1, -1}};
  EXPECT_GT(count(run_faulty<RetriesAfterFailure>(scenario), Rule::kNoUnsafeRetry), 0u);
  EXPECT_GT(count(run_faulty<ShedsAfterFailure>(scenario), Rule::kNoUnsafeRetry), 0u);
  scenario.classes[0].effect = Effect::kIdempotent;
  EXPECT_EQ(run_faulty<RetriesAfterFailure>(scenario).violation_count(), 0u);
  scenario.classes[0].effect = Effect::kIdempotentByKey;  // executors 0 and 1 are in one cell
  scenario.classes[0].idempotency_scope = IdempotencyScope::kCell;
  EXPECT_EQ(run_faulty<RetriesAfterFailure>(scenario).violation_count(), 0u);
  scenario.zones = 2;
  scenario.classes[0].idempotency_scope = IdempotencyScope::kZone;
  EXPECT_GT(count(run_faulty<RetriesAfterFailure>(scenario), Rule::kNoUnsafeRetry), 0u);
}

// Watches membership but ignores it when choosing an executor.
struct IgnoresLifecycle : FaultyDispatcher {
  explicit IgnoresLifecycle(Emulator& emulator) : FaultyDispatcher(emulator) {
    emulator.events().schedule_after(0, [&emulator] { emulator.watch_membership(0); });
  }
  void finish(const std::shared_ptr<const EmulatedRequest>& request, Outcome outcome) override {
    emulator_.answer(0, request->client,
                     outcome == Outcome::kSucceeded ? Answer::kSucceeded : Answer::kFailed);
  }
};

TEST(LabRules, AttemptAtDrainingExecutorIsDetected) {
  Scenario scenario = small_scenario(Effect::kIdempotent);
  scenario.faults = {{Fault::Kind::kDrain, 1, 3, 1, 1, -1}};
  scenario.drain_grace = 0.5;
  EXPECT_GT(count(run_faulty<IgnoresLifecycle>(scenario), Rule::kDrain), 0u);
  scenario.drain_grace = 10;
  EXPECT_EQ(count(run_faulty<IgnoresLifecycle>(scenario), Rule::kDrain), 0u);
}

TEST(LabRules, ColdExecutorOverloadIsDetected) {
  Scenario scenario = small_scenario(Effect::kIdempotent);
  scenario.load = 1.5;  // all at one executor: three times its warm capacity
  scenario.executor_warm_up = 4;
  scenario.cold_start_share = 0.1;
  scenario.overload_multiple = 1.5;
  scenario.faults = {{Fault::Kind::kCrash, 0.5, 0.2, 1, 1, -1}};
  EXPECT_GT(count(run_faulty<IgnoresLifecycle>(scenario), Rule::kColdLoad), 0u);
}

// --- Load that all nodes together send to a cold executor ---

// An off-by-one at the limit or the end of a span would hide or invent an overload.
TEST(LabCold, LoadCountIsExactAtLimit) {
  Scenario scenario;
  scenario.executors = 1;
  scenario.executor_warm_up = 10;
  scenario.cold_start_share = 0.5;
  scenario.classes[0].work = 1;
  RuleChecker rules(scenario);
  rules.add_executor(0, 0, 0, 4);
  std::uint64_t request = 0;
  const auto send = [&](int requests, Microseconds when) {
    for (; requests > 0; --requests) {
      rules.request_accepted(++request, 0, to_microseconds(100));
      rules.attempt_started(request, request, static_cast<int>(request % 30), 0, 1, when);
    }
  };
  const auto start = [&](Microseconds when) { rules.executor_started(0, when); };
  start(0);
  send(17, 0);  // N is 3 x 4 x 0.5 x 1.5 = 9, the limit 9 + 2 x 3 + 2 = 17
  start(to_microseconds(10));
  EXPECT_EQ(rules.cold().overloaded, 0u);
  EXPECT_DOUBLE_EQ(rules.cold().peak_load, 1);
  EXPECT_DOUBLE_EQ(rules.cold().budget_use, 17 / (10 / 1.5 * 13.5));  // N grows from 9 to 18
  send(18, to_microseconds(10));
  start(to_microseconds(20));
  EXPECT_EQ(rules.cold().overloaded, 1u);
  send(10, to_microseconds(20));
  send(10, to_microseconds(21.6));  // more than one span later
  start(to_microseconds(30));
  EXPECT_EQ(rules.cold().overloaded, 1u);
  send(10, to_microseconds(30));
  send(10, to_microseconds(31.4));
  send(100, to_microseconds(40.1));  // the warm-up is over
  start(to_microseconds(50));
  EXPECT_EQ(rules.cold().overloaded, 2u);
  EXPECT_EQ(rules.cold().executors, 4u);
}

// Four of forty executors join shortly before a burst begins.
Scenario burst_on_cold_executors(int nodes) {
  Scenario scenario;
  scenario.nodes = nodes;
  scenario.executors = 40;
  scenario.slots = 1;
  scenario.length = 12;
  scenario.load = 0.1;
  scenario.max_retries = 2;
  scenario.cold_start_share = 0.4;
  scenario.executor_warm_up = 8;
  scenario.faults = {{Fault::Kind::kCrash, 0, 6, 0.1, 1, -1}, {Fault::Kind::kBurst, 6.8, 4, 0, 20, -1}};
  return scenario;
}

TEST(LabCold, ManyNodesStayUnderLimit) {
  for (const int nodes : {1, 3, 30})
    for (const bool uneven_load : {false, true})
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Scenario scenario = burst_on_cold_executors(nodes);
        scenario.idle_node_share = uneven_load ? 0.5 : 0;
        scenario.node_load_cv = uneven_load ? 1 : 0;
        const Result result = run(scenario, seed);
        EXPECT_EQ(result.cold.executors, 4u);
        EXPECT_EQ(result.cold.overloaded, 0u) << nodes << " nodes\n" << result.summary();
        EXPECT_GT(result.cold.budget_use, 0.05) << nodes << " nodes\n" << result.summary();
      }
}

// Each node is told that it is the only replica and takes the whole budget of a cold executor.
TEST(LabCold, UndividedBudgetExceedsLimit) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Emulator emulator(burst_on_cold_executors(30), seed,
                      [](Emulator& with, int node) { return make_node(with, node, 1); });
    const Result result = emulator.run();
    EXPECT_EQ(result.cold.overloaded, 4u) << result.summary();
    EXPECT_GT(result.cold.peak_load, 1.5);
  }
}

// Guards against nodes that take the one or two costs they have seen for the mean: nodes that had seen short
// requests sent 1.2 times the limit.
TEST(LabCold, UninformedNodesStayUnderLimit) {
  const Result result = run(burst_on_cold_executors(300), 1);
  EXPECT_EQ(result.cold.overloaded, 0u) << result.summary();
  EXPECT_GT(result.cold.budget_use, 0.05) << result.summary();
}

}  // namespace
}  // namespace canvasstage::lab
