// The emulator against what theory says, and against nodes that are broken on purpose.
#include <gtest/gtest.h>

#include <cmath>

#include "emulator/emulator.h"

namespace canvasstage::lab {
namespace {

// A fleet of queues without limits and without a network, for what theory knows.
Scenario queues(int executors, int slots, double load, const std::string& policy, double length) {
  Scenario s;
  s.nodes = 1;
  s.executors = executors;
  s.slots = slots;
  s.queue = 1000000;
  s.load = load;
  s.policy = policy;
  s.length = length;
  s.warm_up = length / 10;
  s.delay = s.jitter = 0;
  s.classes[0].work = 1;
  s.classes[0].limit = 1000;
  return s;
}

Result run(const Scenario& scenario, std::uint64_t seed = 1) {
  Emulator emulator(scenario, seed);
  return emulator.run();
}

// Mean stay over several seeds, and how far that may be off (three standard errors).
struct Interval {
  double mean, margin;
};
Interval stay_of(const Scenario& scenario, int seeds) {
  double sum = 0, squares = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    const double stay = run(scenario, static_cast<std::uint64_t>(seed)).stay;
    sum += stay;
    squares += stay * stay;
  }
  const double mean = sum / seeds;
  const double variance = std::max(0.0, squares / seeds - mean * mean) * seeds / (seeds - 1);
  return {mean, 3 * std::sqrt(variance / seeds)};
}

TEST(LabTheory, OneQueueWithOneServer) {
  const Interval stay = stay_of(queues(1, 1, 0.7, "random", 20000), 8);
  EXPECT_NEAR(stay.mean, 1 / (1 - 0.7), stay.margin);
  EXPECT_LT(stay.margin, 0.3);
}

TEST(LabTheory, OneQueueWithFourServers) {
  const double load = 0.8, offered = 4 * load;
  double sum = 0, term = 1;
  for (int k = 0; k < 4; term *= offered / ++k) sum += term;
  const double waits = term / (1 - load) / (sum + term / (1 - load));  // Erlang's C
  const Interval stay = stay_of(queues(1, 4, load, "random", 8000), 8);
  EXPECT_NEAR(stay.mean, 1 + waits / (4 * (1 - load)), stay.margin);
  EXPECT_LT(stay.margin, 0.3);
}

TEST(LabTheory, RandomChoiceIsOneQueueForEach) {
  const Interval stay = stay_of(queues(20, 1, 0.7, "random", 1500), 8);
  EXPECT_NEAR(stay.mean, 1 / (1 - 0.7), stay.margin);
  EXPECT_LT(stay.margin, 0.3);
}

// The best of d, in a large fleet: the sum over i of load^((d^i - d) / (d - 1)).
TEST(LabTheory, TheBestOfSeveralInALargeFleet) {
  for (const int d : {2, 3}) {
    Scenario scenario = queues(400, 1, 0.9, "d_of_uniform", 120);
    scenario.choices = d;
    scenario.warm_up = 0;
    double expected = 0, power = d;
    for (int i = 1; i < 20; ++i, power *= d) expected += std::pow(0.9, (power - d) / (d - 1));
    const Interval stay = stay_of(scenario, 4);
    // It begins empty, and a fleet is not without end: a twentieth beside the spread.
    EXPECT_NEAR(stay.mean, expected, stay.margin + expected / 20) << d;
  }
}

TEST(LabTheory, LittlesLawHoldsOnEveryRun) {
  for (const char* const policy : {"node", "random", "round_robin", "least_outstanding", "d_of_uniform"}) {
    Scenario scenario;
    scenario.policy = policy;
    scenario.length = 60;
    scenario.load = 0.6;
    const Result result = run(scenario);
    EXPECT_GT(result.there, 1) << policy;
    EXPECT_NEAR(result.there, result.rate_by_stay, 0.02 * result.there) << policy;
  }
}

TEST(LabEmulator, OneSeedIsOneRunToTheByte) {
  Scenario scenario;
  scenario.nodes = 4;
  scenario.zones = 2;
  scenario.length = 20;
  scenario.leaves = 0.1;
  scenario.clocks_apart = 3;
  scenario.faults = {{Fault::Kind::kCrash, 5, 4, 0.3, 1, -1}, {Fault::Kind::kLoss, 8, 3, 0.02, 1, -1}};
  const std::string words = run(scenario, 7).words();
  EXPECT_EQ(run(scenario, 7).words(), words);
  EXPECT_NE(run(scenario, 8).words(), words);
}

TEST(LabEmulator, WhatIsAskedForAtOneTimeHappensInTheOrderOfAsking) {
  Events events;
  std::string order;
  events.at(5, [&] { order += 'b'; });
  events.at(3, [&] {
    order += 'a';
    events.at(5, [&] { order += 'd'; });
    events.at(1, [&] { order += '!'; });  // it has passed: now
  });
  events.at(5, [&] { order += 'c'; });
  events.run_until(5);
  EXPECT_EQ(order, "a!bcd");
  EXPECT_EQ(events.now(), 5);
}

// The node keeps its rules through every fault that the lab has.
TEST(LabEmulator, TheNodeKeepsItsRulesThroughEveryFault) {
  using Kind = Fault::Kind;
  for (const Kind kind : {Kind::kCrash, Kind::kVanish, Kind::kHang, Kind::kSlow, Kind::kFail, Kind::kDrain,
                          Kind::kPartition, Kind::kLoss, Kind::kDiscovery, Kind::kBurst}) {
    Scenario scenario;
    scenario.nodes = 5;
    scenario.zones = 2;
    scenario.length = 20;
    scenario.load = 0.5;
    scenario.warm_span = 5;
    scenario.leaves = 0.05;
    scenario.retries = 2;
    WorkClass single, referenced;
    single.name = "single";
    single.effect = Effect::kAtMostOnce;
    referenced.name = "referenced";
    referenced.effect = Effect::kIdempotentByKey;
    referenced.group = IdempotencyScope::kZone;
    referenced.late_value = 0.5;
    scenario.classes = {WorkClass{}, single, referenced};
    scenario.faults = {{kind, 8, 6, kind == Kind::kLoss ? 0.05 : 0.3, kind == Kind::kFail ? 0.8 : 4.0, -1}};
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      const Result result = run(scenario, seed);
      EXPECT_EQ(result.rules_broken(), 0u) << static_cast<int>(kind) << "\n" << result.words();
      EXPECT_GT(result.requests, 100u);
      EXPECT_GT(result.service, kind == Kind::kBurst ? 0.3 : 0.6) << static_cast<int>(kind) << "\n"
                                                                  << result.words();
    }
  }
}

// Its list comes late, after the partition has healed.
TEST(LabEmulator, APartitionThatHealsWhileTheListIsLate) {
  Scenario scenario;
  scenario.nodes = 4;
  scenario.zones = 2;
  scenario.length = 30;
  scenario.list_delay = 6;
  scenario.warm_span = 5;
  scenario.faults = {{Fault::Kind::kPartition, 8, 4, 0, 1, 1},
                     {Fault::Kind::kCrash, 7, 4, 0.3, 1, -1},
                     {Fault::Kind::kDiscovery, 10, 4, 0, 1, -1}};
  const Result result = run(scenario);
  EXPECT_EQ(result.rules_broken(), 0u) << result.words();
}

TEST(LabEmulator, OverloadForTheWholeRunIsBoundedAndAnswered) {
  Scenario scenario;
  scenario.length = 12;
  scenario.warm_up = 2;
  scenario.executors = 4;
  scenario.load = 3;
  const Result result = run(scenario);
  EXPECT_EQ(result.rules_broken(), 0u) << result.words();
  EXPECT_GT(result.classes[0].refused, 0u);
  EXPECT_GT(result.service, 0.15);
}

// --- Nodes that are broken on purpose, one for each rule ---

class Broken : public Dispatcher {
 public:
  explicit Broken(Emulator& emulator) : emulator_(emulator) {}
  void arrived(const std::shared_ptr<const Job>& job) override { send(job, 0); }
  void client_gone(Id) override {}
  void ended(Id launch, Outcome outcome, bool) override {
    const std::shared_ptr<const Job> job = jobs_[launch - 1];
    end(job, outcome);
  }
  void listed(int, Lifecycle, Micros) override {}
  void list_ended(bool, std::uint64_t) override {}

 protected:
  virtual void end(const std::shared_ptr<const Job>& job, Outcome) {
    emulator_.answer(0, job->client, Answer::kSucceeded);
  }
  void send(const std::shared_ptr<const Job>& job, int executor) {
    jobs_.push_back(job);
    emulator_.launch(0, jobs_.size(), 0, executor, job);
  }
  Emulator& emulator_;
  std::vector<std::shared_ptr<const Job>> jobs_;
};

Scenario small(Effect effect) {
  Scenario scenario;
  scenario.nodes = 1;
  scenario.executors = 2;
  scenario.length = 5;
  scenario.load = 0.2;
  scenario.classes[0].effect = effect;
  return scenario;
}

template <class Kind>
Result run_broken(const Scenario& scenario) {
  Emulator emulator(scenario, 1, [](Emulator& with, int) { return std::make_unique<Kind>(with); });
  return emulator.run();
}

std::uint64_t count(const Result& result, Rule rule) {
  return result.broken[static_cast<std::size_t>(rule)];
}

TEST(LabRules, ASoundOneBreaksNone) {
  EXPECT_EQ(run_broken<Broken>(small(Effect::kAtMostOnce)).rules_broken(), 0u);
}

struct AnswersTwice : Broken {
  using Broken::Broken;
  void end(const std::shared_ptr<const Job>& job, Outcome) override {
    emulator_.answer(0, job->client, Answer::kSucceeded);
    emulator_.answer(0, job->client, Answer::kSucceeded);
  }
};
struct NeverAnswers : Broken {
  using Broken::Broken;
  void end(const std::shared_ptr<const Job>&, Outcome) override {}
};
struct LaunchesAfterTheAnswer : Broken {
  using Broken::Broken;
  void end(const std::shared_ptr<const Job>& job, Outcome) override {
    if (!answered_.insert({job->client, true}).second) return;
    emulator_.answer(0, job->client, Answer::kSucceeded);
    send(job, 1);
  }
  std::unordered_map<Id, bool> answered_;
};

TEST(LabRules, AnAnswerTooManyOrTooFewIsFound) {
  EXPECT_GT(count(run_broken<AnswersTwice>(small(Effect::kIdempotent)), Rule::kOneAnswer), 0u);
  EXPECT_GT(count(run_broken<NeverAnswers>(small(Effect::kIdempotent)), Rule::kOneAnswer), 0u);
  EXPECT_GT(count(run_broken<LaunchesAfterTheAnswer>(small(Effect::kIdempotent)), Rule::kOneAnswer), 0u);
}

struct SendsAgain : Broken {
  using Broken::Broken;
  void end(const std::shared_ptr<const Job>& job, Outcome outcome) override {
    if (outcome == Outcome::kFailed && sent_.insert({job->client, true}).second) return send(job, 1);
    emulator_.answer(0, job->client, Answer::kFailed);
  }
  std::unordered_map<Id, bool> sent_;
};
struct PushesBack : Broken {
  using Broken::Broken;
  void end(const std::shared_ptr<const Job>& job, Outcome outcome) override {
    emulator_.answer(0, job->client, outcome == Outcome::kFailed ? Answer::kShed : Answer::kSucceeded);
  }
};

TEST(LabRules, ARepeatOfWhatMayHaveRunIsFound) {
  Scenario scenario = small(Effect::kAtMostOnce);
  scenario.faults = {{Fault::Kind::kFail, 0, 5, 1, 1, -1}};
  EXPECT_GT(count(run_broken<SendsAgain>(scenario), Rule::kNoRepeat), 0u);
  EXPECT_GT(count(run_broken<PushesBack>(scenario), Rule::kNoRepeat), 0u);
  scenario.classes[0].effect = Effect::kIdempotent;
  EXPECT_EQ(run_broken<SendsAgain>(scenario).rules_broken(), 0u);
  scenario.classes[0].effect = Effect::kIdempotentByKey;  // executors 0 and 1 are one cell
  scenario.classes[0].group = IdempotencyScope::kCell;
  EXPECT_EQ(run_broken<SendsAgain>(scenario).rules_broken(), 0u);
  scenario.zones = 2;
  scenario.classes[0].group = IdempotencyScope::kZone;
  EXPECT_GT(count(run_broken<SendsAgain>(scenario), Rule::kNoRepeat), 0u);
}

// It has watched, and goes on all the same.
struct SendsToWhoeverDrains : Broken {
  explicit SendsToWhoeverDrains(Emulator& emulator) : Broken(emulator) {
    emulator.events().after(0, [&emulator] { emulator.watch(0); });
  }
  void end(const std::shared_ptr<const Job>& job, Outcome outcome) override {
    emulator_.answer(0, job->client, outcome == Outcome::kSucceeded ? Answer::kSucceeded : Answer::kFailed);
  }
};

TEST(LabRules, ALaunchAtADrainingExecutorIsFound) {
  Scenario scenario = small(Effect::kIdempotent);
  scenario.faults = {{Fault::Kind::kDrain, 1, 3, 1, 1, -1}};
  scenario.drain_grace = 0.5;
  EXPECT_GT(count(run_broken<SendsToWhoeverDrains>(scenario), Rule::kDrain), 0u);
  scenario.drain_grace = 10;
  EXPECT_EQ(count(run_broken<SendsToWhoeverDrains>(scenario), Rule::kDrain), 0u);
}

TEST(LabRules, AColdExecutorThatIsPushedOverIsFound) {
  Scenario scenario = small(Effect::kIdempotent);
  scenario.load = 1.5;  // all of it at one executor: three times what it does while warm
  scenario.warm_span = 4;
  scenario.cold_from = 0.1;
  scenario.fall_multiple = 1.5;
  scenario.faults = {{Fault::Kind::kCrash, 0.5, 0.2, 1, 1, -1}};
  EXPECT_GT(count(run_broken<SendsToWhoeverDrains>(scenario), Rule::kCold), 0u);
}

// --- What all nodes together send a cold executor ---

TEST(LabCold, TheCountIsExactAtTheLimit) {
  Scenario scenario;
  scenario.executors = 1;
  scenario.warm_span = 10;
  scenario.cold_from = 0.5;
  scenario.classes[0].work = 1;
  Rules rules(scenario);
  rules.executor_is(0, 0, 0, 4);
  std::uint64_t job = 0;
  const auto send = [&](int requests, Micros when) {
    for (; requests > 0; --requests) {
      rules.taken(++job, 0, micros(100));
      rules.launched(job, job, static_cast<int>(job % 30), 0, 1, when);
    }
  };
  const auto start = [&](Micros when) { rules.executor_started(0, when); };
  start(0);
  send(17, 0);  // N is 3 x 4 x 0.5 x 1.5 = 9, the limit 9 + 2 x 3 + 2
  start(micros(10));
  EXPECT_EQ(rules.cold().fallen, 0u);
  EXPECT_DOUBLE_EQ(rules.cold().highest, 1);
  EXPECT_DOUBLE_EQ(rules.cold().use, 17 / (10 / 1.5 * 13.5));  // N grows from 9 to 18
  send(18, micros(10));
  start(micros(20));
  EXPECT_EQ(rules.cold().fallen, 1u);
  send(10, micros(20));
  send(10, micros(21.6));  // more than a span apart
  start(micros(30));
  EXPECT_EQ(rules.cold().fallen, 1u);
  send(10, micros(30));
  send(10, micros(31.4));
  send(100, micros(40.1));  // it is warm
  start(micros(50));
  EXPECT_EQ(rules.cold().fallen, 2u);
  EXPECT_EQ(rules.cold().executors, 4u);
}

// Four of forty join as a burst begins.
Scenario burst_at_cold_ones(int nodes) {
  Scenario scenario;
  scenario.nodes = nodes;
  scenario.executors = 40;
  scenario.slots = 1;
  scenario.length = 12;
  scenario.load = 0.1;
  scenario.retries = 2;
  scenario.cold_from = 0.4;
  scenario.warm_span = 8;
  scenario.faults = {{Fault::Kind::kCrash, 0, 6, 0.1, 1, -1}, {Fault::Kind::kBurst, 6.8, 4, 0, 20, -1}};
  return scenario;
}

TEST(LabCold, ManyNodesTogetherStayUnderTheLimit) {
  for (const int nodes : {1, 3, 30})
    for (const bool uneven : {false, true})
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Scenario scenario = burst_at_cold_ones(nodes);
        scenario.idle_nodes = uneven ? 0.5 : 0;
        scenario.node_spread = uneven ? 1 : 0;
        const Result result = run(scenario, seed);
        EXPECT_EQ(result.cold.executors, 4u);
        EXPECT_EQ(result.cold.fallen, 0u) << nodes << " nodes\n" << result.words();
        EXPECT_GT(result.cold.use, 0.05) << nodes << " nodes\n" << result.words();
      }
}

TEST(LabCold, ABudgetThatEachNodeTakesWholeIsFound) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Emulator emulator(burst_at_cold_ones(30), seed,
                      [](Emulator& with, int node) { return make_node(with, node, 1); });
    const Result result = emulator.run();
    EXPECT_EQ(result.cold.fallen, 4u) << result.words();
    EXPECT_GT(result.cold.highest, 1.5);
  }
}

// Nodes that have seen one or two costs take them for the mean: those that saw short ones sent 1.2 limits.
TEST(LabCold, ManyNodesThatKnowLittleStayUnderTheLimit) {
  const Result result = run(burst_at_cold_ones(300), 1);
  EXPECT_EQ(result.cold.fallen, 0u) << result.words();
  EXPECT_GT(result.cold.use, 0.05) << result.words();
}

}  // namespace
}  // namespace canvasstage::lab
