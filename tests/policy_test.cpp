#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <numeric>
#include <set>

#include "helpers.h"

namespace canvasstage {
namespace {

// --- TPD ---

TEST(Choices, EqualChancesGiveTwo) {
  EXPECT_EQ(Policy::candidate_count(std::vector<double>(10, 0.1)), 2);
}

TEST(Choices, FewExecutorsAreAllDrawn) {
  EXPECT_EQ(Policy::candidate_count({}), 0);
  EXPECT_EQ(Policy::candidate_count({1.0}), 1);
  EXPECT_EQ(Policy::candidate_count({0.9, 0.1}), 2);
}

TEST(Choices, FollowsTheFormula) {
  // alpha = 1 / (4 * 0.01) = 25, beta = 4 * 0.85 = 3.4: f = ln(84/24) / ln(84/81.6) = 43.2, above K.
  EXPECT_EQ(Policy::candidate_count({0.85, 0.07, 0.07, 0.01}), 4);
  // alpha = 5/3, beta = 6/5: f = ln(1/(2/3)) / ln(1/0.8) = 1.817, half of it rounds up to 1; the floor is 2.
  EXPECT_EQ(Policy::candidate_count({0.12, 0.2, 0.2, 0.24, 0.24}), 2);
}

TEST(Pick, NoExecutorGivesNone) {
  Decider node(0);
  node.arrive(0, 0);
  EXPECT_TRUE(node.host.launches.empty());
}

TEST(Pick, OfTwoTheLeastFinishWins) {
  Decider node(2);
  node.policy.executors[0].open_work = 3;
  node.arrive(0, 0);
  ASSERT_EQ(node.host.launches.size(), 1u);
  EXPECT_EQ(node.host.launches[0].executor, 1);
}

TEST(Speed, NewExecutorStartsAtTheOthersMean) {
  Decider node(3);
  node.policy.executors[0].mean_work = node.policy.executors[1].mean_work = 1;
  node.policy.executors[0].mean_latency = 1;
  node.policy.executors[1].mean_latency = 0.25;
  for (const int i : {0, 1}) node.policy.count_speed(node.policy.executors[i], 1);
  EXPECT_DOUBLE_EQ(node.policy.speed(node.policy.executors[2]), 2.5);
}

TEST(Speed, OnlySatisfiedLaunchesTeach) {
  Decider node(1);
  node.arrive(0, 0);
  node.policy.attempt_ended(kNow + kSecond, 0, 0, Outcome::kFailed, kSecond, false, nullptr);
  EXPECT_EQ(node.policy.executors[0].mean_latency, 0);
}

// --- The rules ---

TEST(Rule1, AnEarlierHardLimitHoldsFromThenOn) {
  Decider node(0);
  node.arrive(0, 0);
  node.policy.shorten_deadline(kNow, 0, kNow + kSecond);
  node.policy.shorten_deadline(kNow, 0, kNow + 2 * kSecond);  // never later
  EXPECT_EQ(node.policy.requests[0].deadline, kNow + kSecond);
  node.look_at(0, kNow + kSecond - 40);
  EXPECT_EQ(node.host.pushed_back, std::vector<int>{0});
}

TEST(Rule1, LaunchOfAnEndedSubmissionIsRefused) {
  Decider node(2);
  node.arrive(0, 0);
  node.policy.attempt_ended(kNow + 100, 0, 0, Outcome::kSucceeded, 100, true, nullptr);
  EXPECT_FALSE(node.policy.may_attempt(kNow + 100, node.policy.requests[0], 1));
}

TEST(Rule1, TimeOutAtTheHardLimitIsAnswered) {
  Decider node(1);
  node.arrive(0, 2);
  const Time due = kNow + 5 * kSecond;
  node.policy.attempt_ended(due, 0, 0, Outcome::kTimedOut, 5 * kSecond, false, nullptr);
  EXPECT_EQ(node.host.aborted, std::vector<int>{0});
  EXPECT_TRUE(node.host.pushed_back.empty());
}

TEST(Rule1, HeldUntilTheHardLimitIsPushedBack) {
  Decider node(0);
  node.arrive(0, 2);
  const Time due = kNow + 5 * kSecond;
  node.look_at(0, due - 40);
  EXPECT_EQ(node.host.pushed_back, std::vector<int>{0});
}

TEST(Rule2, SingleUseThatMayHaveRunIsAborted) {
  Decider node(2);
  node.arrive(0, 2);
  node.policy.attempt_ended(kNow + 100, 0, 0, Outcome::kConnectionLost, 100, false, nullptr);
  EXPECT_EQ(node.host.launches.size(), 1u);
  EXPECT_EQ(node.host.aborted, std::vector<int>{0});
}

TEST(Rule2, SingleUseKnownNotToHaveRunGoesAgain) {
  Decider node(2);
  node.arrive(0, 2);
  node.policy.attempt_ended(kNow + 100, 0, 0, Outcome::kRejected, 100, false, nullptr);
  EXPECT_EQ(node.host.launches.size(), 2u);
}

TEST(Rule2, ReferencedStaysWithinGroupAndWindow) {
  Decider node(4);
  node.arrive(0, 1);
  const int first = node.host.launches[0].executor;
  node.policy.requests[0].attempts[0].pending = false;
  const Request& submission = node.policy.requests[0];
  for (int i = 0; i < 4; ++i) EXPECT_EQ(node.policy.may_attempt(kNow + 1, submission, i), i % 2 == first % 2);
  node.policy.requests[0].deadline = kNow + 20 * kSecond;
  EXPECT_FALSE(node.policy.may_attempt(kNow + 10 * kSecond, submission, first));
}

TEST(Rule2, NoSecondCopyWhereNoneIsAllowed) {
  Settings settings = small_settings();
  Decider node(2, settings);
  node.arrive(0, 0);
  EXPECT_FALSE(node.policy.may_attempt(kNow, node.policy.requests[0], 1 - node.host.launches[0].executor));
}

TEST(Rule2, ReferencedStaysWithinItsCell) {
  Settings settings = small_settings();
  settings.use_cases[1].idempotency_scope = IdempotencyScope::kCell;
  Decider node(4, settings);
  node.arrive(0, 1);
  const int first = node.host.launches[0].executor;
  node.policy.requests[0].attempts[0].pending = false;
  for (int i = 0; i < 4; ++i)
    EXPECT_EQ(node.policy.may_attempt(kNow, node.policy.requests[0], i), i == first);
}

TEST(Rule2, NoMoreLaunchesThanAllowed) {
  Decider node(1);
  node.arrive(0, 0);
  Request& submission = node.policy.requests[0];
  submission.attempts[0].pending = false;
  submission.attempts.resize(4, submission.attempts[0]);
  EXPECT_TRUE(node.policy.may_attempt(kNow, submission, 0));
  submission.attempts.resize(5, submission.attempts[0]);
  EXPECT_FALSE(node.policy.may_attempt(kNow, submission, 0));
}

TEST(Pick, AUseCaseBoundToAMachineKindGoesToNoOther) {
  Settings settings = small_settings();
  settings.use_cases[0].machine_kind = 1;
  Decider node(2, settings);
  node.arrive(0, 0);
  EXPECT_TRUE(node.host.launches.empty());
}

TEST(Rule3, NothingGoesToOneThatDrainsOrIsAbsent) {
  Decider node(3);
  node.policy.executor_listed(kNow, 0, 0, 0, 0, Lifecycle::kDraining, 0);
  node.policy.executor_listed(kNow, 1, 1, 0, 1, Lifecycle::kActive, 0);
  node.policy.membership_received(kNow, MembershipUpdate::kSnapshot);
  node.arrive(0, 0);
  EXPECT_EQ(node.host.launches.at(0).executor, 1);
  for (const int absent : {0, 2})
    EXPECT_FALSE(node.policy.may_attempt(kNow, node.policy.requests[0], absent));
}

TEST(Rule4, ABurstToAColdExecutorStopsAtTheBudget) {
  Decider node(0);
  node.policy.executor_listed(kNow, 0, 0, 0, 0, Lifecycle::kActive, kNow);
  node.policy.membership_received(kNow, MembershipUpdate::kDelta);
  int sent = 0;
  for (; sent < 20 && (node.arrive(sent, 0), static_cast<int>(node.host.launches.size()) > sent); ++sent)
    node.policy.attempt_started(kNow, sent, 0);
  const double budget = 4.0 / 2 * 0.5 * 1.0;  // our half of multiple x cold share x span, at speed 1
  EXPECT_LE(sent * node.policy.request_work(node.policy.requests[0]), budget);
  node.policy.executors[0].cold_sends.assign(1, {kNow, budget});
  node.policy.requests[0].attempts.clear();
  node.policy.requests[0].open = true;
  EXPECT_FALSE(node.policy.may_attempt(kNow, node.policy.requests[0], 0));
  EXPECT_TRUE(node.policy.may_attempt(kNow + 3 * kSecond, node.policy.requests[0], 0));
}

// A share of less than one launch left every cold executor without work for its whole warm-up. All nodes
// learn of it in step here, and each has more for it than it may send.
TEST(Rule4, AShareOfLessThanOneLaunchIsDrawnAndTheSumStaysUnderTheLimit) {
  Settings settings = small_settings();
  settings.node_count = 400;
  const double work = 0.1;
  double sent = 0;
  for (int seed = 0; seed < settings.node_count; ++seed) {
    Recorder host;
    Policy policy(settings, host, seed, kNow);
    policy.executor_listed(kNow, 0, 0, 0, 0, Lifecycle::kActive, kNow);
    policy.membership_received(kNow, MembershipUpdate::kDelta);
    for (int i = 0; i < 5; ++i) {
      policy.request_arrived(kNow, i, 0, kNow + 5 * kSecond, work, 1);
      if (!host.launches.empty()) policy.attempt_started(kNow, host.launches[0].submission, 0);
    }
    sent += work * static_cast<double>(host.launches.size());
  }
  EXPECT_GT(sent, 0.5);
  EXPECT_LT(sent, 4 * 0.5 * 1.0);  // multiple x cold share x span, at speed 1
}

// Each node has seen one cost, from an exponential distribution, and takes it for the mean. Those that saw a
// short one won their draw: 49 launches went where the limit is 30.9.
TEST(Rule4, ManyNodesThatHaveSeenOneCostEachStayUnderTheLimit) {
  Settings settings = small_settings();
  settings.node_count = 400;
  const double mean = 0.1, allowed = 4 * 0.5 * 1.0 / mean;  // multiple x cold share x span, at speed 1
  std::size_t sent = 0;
  for (int node = 0; node < settings.node_count; ++node) {
    Recorder host;
    Policy policy(settings, host, node, kNow);
    policy.executor_listed(kNow, 0, 0, 0, 0, Lifecycle::kActive, 0);
    policy.membership_received(kNow, MembershipUpdate::kDelta);
    const double quantile = (node + 0.5) / settings.node_count;
    const Time took = std::max<Time>(1, static_cast<Time>(-mean * std::log(quantile) * kSecond));
    policy.request_arrived(kNow, 0, 0, kNow + 5 * kSecond, 0, 1);
    policy.attempt_started(kNow, 0, 0);
    policy.attempt_ended(kNow + took, 0, 0, Outcome::kSucceeded, took, true, nullptr);
    const Time then = kNow + kSecond;
    policy.executor_listed(then, 0, 0, 0, 0, Lifecycle::kDraining, 0);
    policy.executor_listed(then, 1, 0, 0, 0, Lifecycle::kActive, then);
    policy.membership_received(then, MembershipUpdate::kDelta);
    policy.request_arrived(then, 1, 0, then + 5 * kSecond, 0, 1);
    sent += host.launches.size() - 1;
  }
  EXPECT_GT(sent, allowed / 4);
  EXPECT_LT(static_cast<double>(sent), allowed + 2 * std::sqrt(allowed) + 2);
}

// --- Following the list ---

TEST(List, IsAskedForAtStartAndAfterRefusals) {
  Settings settings = small_settings();
  settings.polls_membership = true;
  settings.max_membership_age = 10 * kSecond;
  Recorder host;
  Policy policy(settings, host, 1, kNow);
  policy.timer_due(kNow, 0);
  EXPECT_EQ(host.subscriptions, 1);
  for (Time now = kNow; now < kNow + 10 * kSecond; now += kSecond / 4) {
    policy.membership_call_failed(now);
    policy.timer_due(now + kSecond * 8, 0);
  }
  EXPECT_GT(host.subscriptions, 2);
}

// Seventy of a hundred nodes were killed together, called together and were refused together, again and
// again: for 20 s discovery worked through calls that nobody waited for any more. So they are spread evenly
// over a second and a half, and no longer: what changes meanwhile counts as told 6 s after the failure.
TEST(List, NodesThatStartOrAreRefusedTogetherDoNotCallTogether) {
  Settings settings = small_settings();
  settings.polls_membership = true;
  settings.max_membership_age = 10 * kSecond;
  settings.node_count = 300;
  Recorder host;
  std::vector<std::unique_ptr<Policy>> nodes;
  for (std::uint32_t seed = 0; seed < 300; ++seed) {
    nodes.push_back(std::make_unique<Policy>(settings, host, seed, kNow));
    nodes.back()->executor_listed(kNow, 0, 0, 0, 0, Lifecycle::kActive, 0);
    nodes.back()->membership_received(kNow, MembershipUpdate::kCached);
  }
  const auto most_in_a_tenth = [&](Time from, Time until) {
    int most = 0;
    for (Time now = from; now < until; now += kSecond / 10) {
      const int before = host.subscriptions;
      for (const auto& node : nodes) node->timer_due(now, 0);
      most = std::max(most, host.subscriptions - before);
    }
    return most;
  };
  EXPECT_LE(most_in_a_tenth(kNow, kNow + kSecond * 16 / 10), 35);
  EXPECT_EQ(host.subscriptions, 300);
  const Time refused = kNow + 5 * kSecond;
  for (int time = 0; time < 3; ++time) {
    host.subscriptions = 0;
    for (const auto& node : nodes) node->membership_call_failed(refused + time * 2 * kSecond);
    EXPECT_LE(most_in_a_tenth(refused + time * 2 * kSecond, refused + time * 2 * kSecond + kSecond * 16 / 10),
              60);
    EXPECT_EQ(host.subscriptions, 300);
  }
}

// Discovery may be late with the first line of a watch: a call that is nearly served must not be given up for
// a new one at the end of the queue.
TEST(List, AWatchIsWaitedForHalfOfTheTimeAndNotAskedForAgainOnceItTells) {
  Settings settings = small_settings();
  settings.polls_membership = true;
  settings.max_membership_age = 10 * kSecond;
  Recorder host;
  Policy policy(settings, host, 1, kNow);
  for (Time now = kNow; now < kNow + 5 * kSecond; now += kSecond / 4) policy.timer_due(now, 0);
  EXPECT_EQ(host.subscriptions, 1);
  policy.timer_due(kNow + 5 * kSecond, 0);
  EXPECT_EQ(host.subscriptions, 2);
  policy.executor_listed(kNow + 6 * kSecond, 0, 0, 0, 0, Lifecycle::kActive, 0);
  policy.membership_received(kNow + 6 * kSecond, MembershipUpdate::kSnapshot);
  for (Time now = kNow + 6 * kSecond; now < kNow + 60 * kSecond; now += kSecond) policy.timer_due(now, 0);
  EXPECT_EQ(host.subscriptions, 2);
}

// 300 nodes spread their calls over 5 s: what a silent watch missed counted as told before most had asked.
TEST(List, ASilentWatchIsAskedForAgainWithinASecondWhateverTheFleet) {
  Settings settings = small_settings();
  settings.polls_membership = true;
  settings.max_membership_age = 10 * kSecond;
  settings.node_count = 300;
  for (std::uint32_t seed = 0; seed < 20; ++seed) {
    Recorder host;
    Policy policy(settings, host, seed, kNow);
    policy.membership_received(kNow, MembershipUpdate::kSnapshot);
    policy.watch_timed_out(kNow + 5 * kSecond);
    policy.timer_due(kNow + 6 * kSecond, 0);
    EXPECT_EQ(host.subscriptions, 1);
  }
}

TEST(List, WithNothingRememberedItIsAskedForAtOnce) {
  Settings settings = small_settings();
  settings.polls_membership = true;
  settings.max_membership_age = 10 * kSecond;
  settings.node_count = 100;
  Recorder host;
  Policy policy(settings, host, 1, kNow);
  policy.membership_received(kNow, MembershipUpdate::kCached);
  policy.timer_due(kNow, 0);
  EXPECT_EQ(host.subscriptions, 1);
}

TEST(List, ARestartedExecutorIsANewOne) {
  Decider node(1);
  node.policy.executors[0].failures.add(kNow, kSecond, 5);
  node.policy.executor_listed(kNow, 0, 0, 0, 0, Lifecycle::kActive, kNow - 1);
  EXPECT_EQ(node.policy.executors[0].failures.value, 0);
}

// A day of resets brought all executors into doubt; a process that dies takes all its connections along.
TEST(Health, AConnectionThatBreaksWhileOthersStayBlamesLittle) {
  Decider node(1);
  for (int i : {0, 1}) {
    node.arrive(i, 0);
    node.policy.attempt_started(kNow, i, 0);
  }
  node.policy.attempt_ended(kNow, 0, 0, Outcome::kConnectionLost, 0, true, nullptr);
  EXPECT_LT(node.policy.executors[0].failures.value, 1);
  node.policy.attempt_ended(kNow, 1, 0, Outcome::kConnectionLost, 0, true, nullptr);
  EXPECT_GE(node.policy.executors[0].failures.value, 3);
}

// A zone that fell silent was found out executor by executor: most submissions took all their launches there.
TEST(Health, ExecutorsOfAZoneThatAreNotThereInTurnLeaveTheOthersOfItOutByADraw) {
  Decider node(12);  // zones 0 and 1 in turn
  const auto picks_of_zone_1 = [&](Time now) {
    node.policy.requests.resize(1);
    Request& submission = node.policy.requests[0];
    submission = Request{};
    submission.open = true;
    submission.arrived_at = now;
    submission.deadline = now + 5 * kSecond;
    int picks = 0;
    for (int i = 0; i < 200; ++i) picks += node.policy.select_executor(now, submission) % 2;
    return picks;
  };
  const auto launch_at = [&](int executor) {
    node.arrive(0, 0);
    Executor& drawn = node.policy.executors[node.policy.requests[0].attempts[0].executor];
    --drawn.open_attempts;
    --drawn.unstarted_attempts;
    node.policy.requests[0].attempts[0].executor = executor;
    ++node.policy.executors[executor].open_attempts;
    ++node.policy.executors[executor].unstarted_attempts;
  };
  const auto not_there = [&](int executor) {
    launch_at(executor);
    node.policy.attempt_ended(kNow, 0, 0, Outcome::kUnreachable, 0, true, nullptr);
  };
  not_there(1);
  EXPECT_GT(picks_of_zone_1(kNow), 40);  // one alone says nothing of its zone
  for (const int i : {3, 5, 7}) not_there(i);
  const int in_doubt = picks_of_zone_1(kNow);
  EXPECT_LT(in_doubt, 20);
  EXPECT_GT(in_doubt, 0);                              // a look still goes there
  EXPECT_GT(picks_of_zone_1(kNow + 4 * kSecond), 40);  // and soon as before
}

// So does the end of a trouble: one word from any of it, and the draw is as before.
TEST(Health, AWordFromAZoneEndsItsDoubt) {
  Decider node(4);
  node.policy.zones[1].unanswered_attempts.add(kNow, kSecond, 3);
  node.arrive(0, 0);
  node.policy.requests[0].attempts[0].executor = 1;
  node.policy.attempt_accepted(kNow, 0, 0);
  EXPECT_EQ(node.policy.zones[1].unanswered_attempts.value, 0);
  node.policy.zones[1].unanswered_attempts.add(kNow, kSecond, 3);
  node.policy.executor_listed(kNow, 3, 1, 0, 3, Lifecycle::kActive,
                              kNow - kSecond);  // one of it has restarted
  EXPECT_EQ(node.policy.zones[1].unanswered_attempts.value, 0);
}

TEST(Delay, IsTheGapOfShortestFirstWordsAndZeroWhileUnheardOf) {
  Decider node(2);
  for (const int i : {0, 1}) node.arrive(i, 0);
  const Executor& there = node.policy.executors[1];
  const int first = node.host.launches.at(0).executor == 1 ? 0 : 1;  // the submission that went there
  EXPECT_EQ(node.policy.zone_delay(there), 0);
  node.policy.attempt_started(kNow + 10, 1 - first, 0);
  EXPECT_EQ(node.policy.zone_delay(there), 0);
  node.policy.attempt_started(kNow + 110, first, 0);
  EXPECT_EQ(node.policy.zone_delay(there), 100);
  EXPECT_EQ(node.policy.zone_delay(node.policy.executors[0]), 0);
}

// --- Health ---

int picks_of(Decider& node, int executor, int tries) {
  node.policy.requests.resize(1);
  Request& submission = node.policy.requests[0];
  submission.open = true;
  submission.arrived_at = kNow;
  submission.deadline = kNow + 5 * kSecond;
  int picks = 0;
  for (int i = 0; i < tries; ++i) picks += node.policy.select_executor(kNow, submission) == executor ? 1 : 0;
  return picks;
}

// One that fails at once has an empty queue, yet must not win; a draw now and then still tries it.
TEST(Health, AnExecutorThatErrsIsSeldomPickedButNotForgotten) {
  Decider node(3);
  for (const int other : {1, 2}) node.policy.executors[other].open_work = 5;
  node.policy.executors[0].failures.add(kNow, kSecond, 3);
  const int picks = picks_of(node, 0, 1000);
  EXPECT_LT(picks, 100);
  EXPECT_GT(picks, 0);
}

TEST(Health, IfAllLookBadWorkStillFlows) {
  Decider node(2);
  for (Executor& executor : node.policy.executors) executor.failures.add(kNow, kSecond, 1000);
  node.arrive(0, 0);
  EXPECT_EQ(node.host.launches.size(), 1u);
}

// A dead one refuses at once and would eat all launches of a submission; it is looked at again after a pause.
TEST(Health, WhereNobodyIsThereNothingGoesForAPauseThatGrows) {
  Decider node(1);
  node.arrive(0, 0);
  node.policy.attempt_ended(kNow + 1, 0, 0, Outcome::kUnreachable, 1, false, nullptr);
  node.arrive(1, 0, kNow + 200);
  EXPECT_EQ(node.host.launches.size(), 1u);
  node.look_at(1, kNow + 600);
  ASSERT_EQ(node.host.launches.size(), 2u);
  node.policy.attempt_ended(kNow + 601, 1, 0, Outcome::kUnreachable, 1, false, nullptr);
  node.arrive(2, 0, kNow + 1500);
  EXPECT_EQ(node.host.launches.size(), 2u);
  node.look_at(2, kNow + 1700);
  EXPECT_EQ(node.host.launches.size(), 3u);
}

// Four dead of nine, the sound ones full: a submission used up its five launches within 0.2 s of its 15.
TEST(Health, ASubmissionLooksOnceWhereNobodyIsThere) {
  Decider node(5);
  node.arrive(0, 0);
  const int executor = node.host.launches[0].executor;
  for (int i = 0; i < 5; ++i) {
    if (i == executor) continue;
    node.policy.executors[i].unreachable_backoff = 500;
    node.policy.executors[i].unreachable_until = kNow + 500;
  }
  node.policy.attempt_ended(kNow + 1, 0, 0, Outcome::kUnreachable, 1, false, nullptr);
  for (Time at = 200; at < kSecond; at += 200) node.look_at(0, kNow + at);
  EXPECT_EQ(node.host.launches.size(), 1u);
  node.look_at(0, kNow + kSecond + 1);
  EXPECT_EQ(node.host.launches.size(), 2u);
}

TEST(Health, OneThatStartedAnewIsLookedAtAtOnce) {
  Decider node(1);
  node.arrive(0, 0);
  node.policy.attempt_ended(kNow + 1, 0, 0, Outcome::kUnreachable, 1, false, nullptr);
  node.policy.executor_listed(kNow + 2, 0, 0, 0, 0, Lifecycle::kActive, kNow - 20 * kSecond);
  node.look_at(0, kNow + 20);
  EXPECT_EQ(node.host.launches.size(), 2u);
}

// --- Further launches ---

Settings settings_of_sockets() {
  Settings settings = small_settings();
  settings.reports_acceptance = true;
  return settings;
}

// A connection that fell silent is no queue: it tells of no overload, and the submission goes elsewhere.
TEST(Further, ALaunchThatNobodyHasTakenIsTakenBackSoon) {
  for (const bool taken : {false, true}) {
    Decider node(2, settings_of_sockets());
    node.arrive(7, 0);
    node.policy.attempt_accepted(kNow, 7, 0);
    node.policy.attempt_started(kNow, 7, 0);
    node.arrive(0, 0);
    if (taken) node.policy.attempt_accepted(kNow, 0, 0);
    node.look_at(0, kNow + kSecond * 14 / 100);
    EXPECT_TRUE(node.host.cancelled.empty());
    node.look_at(0, kNow + kSecond * 15 / 100);
    EXPECT_EQ(node.host.cancelled.size(), taken ? 0u : 1u);
    if (taken) continue;
    node.policy.attempt_ended(kNow + 1501, 0, 0, Outcome::kCancelled, 1501, false, nullptr);
    ASSERT_EQ(node.host.launches.size(), 3u);
    EXPECT_NE(node.host.launches[2].executor, node.host.launches[1].executor);
  }
}

// What it may have begun must not begin twice.
TEST(Further, ASilentLaunchOfSingleUseStays) {
  Decider node(2, settings_of_sockets());
  node.arrive(0, 2);
  node.look_at(0, kNow + kSecond);
  EXPECT_TRUE(node.host.cancelled.empty());
}

TEST(Further, SingleUseHasNoSecondCopy) {
  Decider node(2);
  node.arrive(0, 2);
  node.look_at(0, kNow + kSecond / 2);
  EXPECT_EQ(node.host.launches.size(), 1u);
}

TEST(Further, AResultAfterTheAnswerChangesNothing) {
  Decider node(2);
  node.arrive(0, 0);
  node.policy.client_left(kNow + 1, 0);
  node.policy.attempt_ended(kNow + 2, 0, 0, Outcome::kFailed, 2, true, nullptr);
  EXPECT_EQ(node.host.launches.size(), 1u);
  EXPECT_TRUE(node.host.aborted.empty());
  EXPECT_TRUE(node.host.pushed_back.empty());
}

// --- Overload ---

// Two of every node's launches waiting at every executor made all answers late.
TEST(Overload, OneUnstartedLaunchWaitsAtAnExecutorTheRestAtTheNode) {
  Decider node(2);
  for (int i = 0; i < 5; ++i) node.arrive(i, 2);
  EXPECT_EQ(node.host.launches.size(), 2u);
  node.policy.attempt_started(kNow + 10, 0, 0);
  EXPECT_EQ(node.host.launches.size(), 3u);
}

TEST(Overload, WhatWouldBeLateIsAnsweredAtOnceNotAtItsHardLimit) {
  Settings settings = small_settings();
  settings.use_cases[0].target_latency = kSecond / 10;
  Decider node(1, settings);
  for (int i = 0; i < 2; ++i) node.arrive(i, 0);
  node.policy.timer_due(kNow + 2 * kSecond, 0);
  EXPECT_EQ(node.host.pushed_back, std::vector<int>{1});
}

// The index of one that left while held is used again; the next one must not be held, and so launched, twice.
TEST(Overload, AnIndexUsedAgainIsHeldOnce) {
  Decider node(0);
  node.arrive(0, 0);
  node.policy.client_left(kNow + 1, 0);
  node.arrive(0, 0);
  for (int i = 0; i < 2; ++i) node.policy.executor_listed(kNow + 2, i, 0, 0, 0, Lifecycle::kActive, 0);
  node.policy.membership_received(kNow + 2, MembershipUpdate::kDelta);
  EXPECT_EQ(node.host.launches.size(), 1u);
}

// One threshold for all gave up the most valuable as early as the least.
TEST(Overload, WhatIsWorthMoreForItsWorkIsKeptLonger) {
  Settings settings = small_settings();
  settings.use_cases[2].value = 8;
  Decider node(1, settings);
  for (int i = 0; i < 3; ++i) node.arrive(i, i);
  EXPECT_LT(node.policy.give_up_time(kNow, node.policy.requests[1]),
            node.policy.give_up_time(kNow, node.policy.requests[2]));
}

TEST(Overload, ALongWaitLastSeenLeavesNoRoom) {
  Decider node(1);
  node.policy.executors[0].queue_wait.value = 4.9;
  node.policy.executors[0].queue_wait.updated_at = kNow;
  node.arrive(0, 0);
  EXPECT_TRUE(node.host.launches.empty());
}

// With many nodes each executor's queue is made of one launch of every node, and no node holds anything.
// Over sockets no launch begins at once: a handshake is no queue, also for one past its last start in time.
TEST(Overload, AWaitOfAHandshakeLeavesRoomForOneThatIsLate) {
  Settings settings = small_settings();
  settings.use_cases[0].target_latency = 0;
  Decider node(1, settings);
  Executor& executor = node.policy.executors[0];
  executor.unstarted_attempts = 1;
  node.arrive(0, 0);
  ASSERT_TRUE(node.host.launches.empty());
  const Time late = kNow + 400;  // its last start was 22 ms after it came
  executor.unstarted_attempts = 0;
  executor.queue_wait.value = 0.02;
  executor.queue_wait.updated_at = late;
  node.look_at(0, late);
  EXPECT_EQ(node.host.launches.size(), 1u);
}

TEST(Overload, ALaunchThatWaitsAtASoundExecutorTellsOfItToo) {
  Settings settings = small_settings();
  settings.use_cases[0].target_latency = kSecond / 10;
  settings.use_cases[0].late_value = 0.5;  // out of overload kept until its hard limit
  Decider node(1, settings);
  node.arrive(0, 0);
  node.policy.executors[0].open_work = 0;
  node.look_at(0, kNow + kSecond / 5);
  EXPECT_LT(node.policy.give_up_time(kNow + kSecond / 5, node.policy.requests[0]), kNow + 4 * kSecond);
}

// Of what waited at executors a quarter was pushed back on days of a hundred nodes, though a late answer
// would have earned half: the connection was lost as well, and the client came again.
TEST(Overload, WhatALateAnswerEarnsKeepsASubmissionLonger) {
  Settings settings = small_settings();
  settings.use_cases[1].late_value = 0.3;
  settings.use_cases[2].late_value = 0.9;
  Decider node(1, settings);
  for (int i = 0; i < 3; ++i) node.arrive(i, i);
  node.look_at(0, kNow + 2 * kSecond);  // its long wait tells of an overload
  const Time now = kNow + 2 * kSecond;
  EXPECT_LT(node.policy.give_up_time(now, node.policy.requests[0]),
            node.policy.give_up_time(now, node.policy.requests[1]));
  EXPECT_EQ(node.policy.give_up_time(now, node.policy.requests[2]),
            kNow + 5 * kSecond - 2 * settings.quantum);
}

// One that may have run is aborted, which its client takes for its end; the other's client comes again.
TEST(Overload, WhatWouldBeAbortedIsKeptLongerThanWhatMayBePushedBack) {
  Settings settings = small_settings();
  settings.use_cases[0].target_latency = settings.use_cases[1].target_latency = kSecond / 10;
  Decider node(2, settings);
  for (int i = 0; i < 2; ++i) node.arrive(i, i);
  ASSERT_FALSE(node.policy.may_shed(node.policy.requests[1]));
  EXPECT_GT(node.policy.give_up_time(kNow, node.policy.requests[1]),
            node.policy.give_up_time(kNow, node.policy.requests[0]));
}

// In a lasting overload what is worth little for its work held the room of what is worth most.
TEST(Overload, WhatIsWorthLessThanItsRoomIsGivenUpAsSoonAsItWaits) {
  Settings settings = small_settings();
  settings.use_cases[0].target_latency = kSecond / 10;
  settings.use_cases[2].value = 8;
  Decider node(1, settings);
  for (const int i : {0, 1}) node.arrive(i, 2 * i);
  EXPECT_GT(node.policy.give_up_time(kNow, node.policy.requests[0]), kNow);
  node.look_at(0, kNow + kSecond / 5);
  node.arrive(2, 0, kNow + kSecond / 5);
  EXPECT_EQ(node.policy.give_up_time(kNow + kSecond / 5, node.policy.requests[2]), kNow + kSecond / 5);
  EXPECT_GT(node.policy.give_up_time(kNow + kSecond / 5, node.policy.requests[1]), kNow + kSecond / 5);
}

// A scan of more than a thousand executors for every launch cost more than a node may spend; where the look
// ends early, the last of the roster must not be left out.
TEST(Pick, AFewOfALargeFleetAreLookedAtButNoneIsLeftOut) {
  Decider node(300);
  int beyond = 0;
  for (int i = 0; i < 100; ++i) {
    node.arrive(i, 0);
    node.policy.client_left(kNow, i);
    beyond += node.host.launches.at(i).executor >= 200 ? 1 : 0;
  }
  EXPECT_GT(beyond, 15);
  EXPECT_LT(beyond, 60);
}

// A node of little traffic that opened a connection for every launch paid more for them than for lateness.
TEST(Connections, WhileTwoConnectedExecutorsHaveRoomNoOtherIsReady) {
  Settings settings = small_settings();
  settings.connection_idle_timeout = 10 * kSecond;
  Decider node(6, settings);
  for (const int i : {1, 4}) {
    node.policy.executors[i].connections = 1;
    node.policy.executors[i].last_used_at = kNow;
    node.policy.connected_executors.push_back(i);
  }
  const int picks = picks_of(node, 1, 100) + picks_of(node, 4, 100);
  EXPECT_GT(picks, 60);
  EXPECT_EQ(picks_of(node, 0, 100), 0);
  node.policy.executors[1].connections = 0;
  EXPECT_GT(picks_of(node, 0, 100), 0);
}

// Six of ten executors were replaced, and nodes with their two connections queued at the other four: of the
// launches of the next five seconds a tenth went to the new ones, 7 % of what the rule allows.
TEST(Connections, WhoeverHasTwoStillMeetsTheColdExecutors) {
  Settings settings = small_settings();
  settings.connection_idle_timeout = 10 * kSecond;
  settings.overload_multiple = 40;
  Decider node(6, settings);
  for (const int i : {1, 4}) {
    node.policy.executors[i].connections = 1;
    node.policy.executors[i].last_used_at = kNow;
    node.policy.connected_executors.push_back(i);
  }
  node.policy.executor_listed(kNow, 0, 0, 0, 0, Lifecycle::kActive, kNow - kSecond);
  EXPECT_GT(picks_of(node, 0, 100), 0);
  EXPECT_EQ(picks_of(node, 2, 100), 0);
}

// A launch that is taken back closes its connection; counting it as free would hide the price of the next
// one.
// Its price is a delay like that of another zone: small beside a queue, but it decides between equals.
TEST(Connections, ANewOneIsOpenedWhereThatIsFasterByMoreThanItsPrice) {
  Settings settings = small_settings();
  settings.connection_idle_timeout = 10 * kSecond;
  settings.connection_cost = 0.1;
  settings.use_cases[0].target_latency_per_work = 2;
  Decider node(2, settings);
  node.policy.executors[1].connections = 1;
  node.policy.executors[1].last_used_at = kNow;
  node.policy.executors[1].open_work = 0.05;
  node.policy.connected_executors.push_back(1);
  node.arrive(0, 0);
  ASSERT_EQ(node.host.launches.size(), 1u);
  EXPECT_EQ(node.host.launches[0].executor, 1);
  node.policy.executors[1].connections = 2;
  node.policy.executors[1].open_work = 0.5;
  node.policy.attempt_started(kNow, 0, 0);
  node.arrive(1, 0);
  EXPECT_EQ(node.host.launches[1].executor, 0);
}

// A hundred nodes with one free connection each opened a second; half of all that they opened was of that
// kind.
TEST(Connections, ASingleOneIsEnoughUnlessAStrangerWouldEndSooner) {
  Settings settings = small_settings();
  settings.connection_idle_timeout = 10 * kSecond;
  settings.connection_cost = 0.1;
  settings.use_cases[0].target_latency_per_work = 2;
  Decider node(6, settings);
  node.policy.executors[1].connections = 1;
  node.policy.executors[1].last_used_at = kNow;
  node.policy.connected_executors.push_back(1);
  EXPECT_EQ(picks_of(node, 1, 100), 100);
  node.policy.executors[1].queue_wait.value = 0.5;
  node.policy.executors[1].queue_wait.updated_at = kNow;
  EXPECT_LT(picks_of(node, 1, 100), 100);
  node.policy.executors[1].queue_wait.value = 0;
  node.policy.executors[1].mean_work = 1;
  node.policy.executors[1].mean_latency = 3;  // slow against the usual
  node.policy.count_speed(node.policy.executors[1], 1);
  node.policy.executors[2].mean_work = node.policy.executors[2].mean_latency = 1;
  node.policy.count_speed(node.policy.executors[2], 1);
  EXPECT_LT(picks_of(node, 1, 100), 100);
}

TEST(Connections, OneThatEndsWithoutAnAnswerIsGone) {
  Settings settings = small_settings();
  settings.connection_idle_timeout = 10 * kSecond;
  for (const Outcome outcome : {Outcome::kSucceeded, Outcome::kCancelled}) {
    Decider node(1, settings);
    node.arrive(0, 0);
    node.policy.attempt_ended(kNow + 100, 0, 0, outcome, 100, true, nullptr);
    EXPECT_EQ(node.policy.executors[0].connections, outcome == Outcome::kSucceeded ? 1 : 0);
  }
}

// --- Live weights, and data that executors keep ---

Settings live_settings() {
  Settings settings = small_settings();
  settings.reports_start = false;
  settings.live_weights = true;
  return settings;
}

// Executors of one zone, each of size 4 and with two slots.
struct Live {
  explicit Live(int executors, Settings settings = live_settings())
      : policy(std::move(settings), host, 1, kNow) {
    for (int i = 0; i < executors; ++i) list(i, 4);
    policy.membership_received(kNow, MembershipUpdate::kSnapshot);
    policy.max_parallel_width[0] = 2;
  }
  void list(int executor, double weight, Time started = 0, Time now = kNow) {
    policy.executor_listed(now, executor, 0, 0, 0, Lifecycle::kActive, started, weight, 1000 + 7 * executor);
  }
  void arrive(int submission, std::uint64_t key, Time now = kNow) {
    policy.request_arrived(now, submission, 0, now + 5 * kSecond, 0, 1, key);
  }
  int place_of(std::uint64_t key) {
    const std::size_t before = host.launches.size();
    arrive(static_cast<int>(before), key);
    const int executor = host.launches.at(before).executor;
    policy.attempt_ended(kNow, static_cast<int>(before), 0, Outcome::kSucceeded, kSecond, true, nullptr);
    return executor;
  }
  Recorder host;
  Policy policy;
};

TEST(LiveWeights, WhatIsHeldForEachCoreIsAQueue) {
  Live node(2);
  node.list(0, 1);  // 3 for each core: all but one wait
  node.policy.membership_received(kNow, MembershipUpdate::kDelta);
  EXPECT_EQ(node.policy.executors[0].load_per_core, 3);
  EXPECT_EQ(node.policy.executors[1].load_per_core, 0);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(node.place_of(0), 1);
}

// A size that is far too large would leave no room there for good.
TEST(LiveWeights, OnesThatMakeNoSenseTeachNothing) {
  Live node(1);
  node.list(0, 2);
  for (const double weight : {0.0, -1.0, std::nan(""), HUGE_VAL, 1e9}) {
    node.list(0, weight);
    EXPECT_EQ(node.policy.executors[0].load_per_core, 1) << weight;
    EXPECT_EQ(node.policy.executors[0].max_weight, 4) << weight;
  }
  node.list(0, 2);
  EXPECT_EQ(node.policy.executors[0].load_per_core, 1);
}

TEST(LiveWeights, ReportsThatMakeNoSenseTeachNothing) {
  Live node(1);
  node.arrive(0, 0);
  for (const double slots : {-3.0, std::nan(""), HUGE_VAL}) {
    const Load load{slots};
    node.arrive(1, 0);
    node.policy.attempt_ended(kNow, 1, 0, Outcome::kSucceeded, 100, true, &load);
    EXPECT_EQ(node.policy.max_parallel_width[0], 2) << slots;
  }
}

// Ten nodes, each with forty submissions, saw room for some twenty and sent all of them.
TEST(LiveWeights, ANodeSendsItsPartOfTheRoomThatAllSee) {
  Settings settings = live_settings();
  settings.node_count = 10;
  std::size_t sent = 0;
  for (std::uint32_t seed = 0; seed < 10; ++seed) {
    Recorder host;
    Policy policy(settings, host, seed, kNow);
    for (const double weight : {4.0, 0.1, 3.0}) {
      policy.executor_listed(kNow, 0, 0, 0, 0, Lifecycle::kActive, 0, weight, 7);
      policy.max_parallel_width[0] = 4;
      policy.membership_received(kNow, MembershipUpdate::kDelta);
      if (weight < 1)
        for (int i = 0; i < 40; ++i) policy.request_arrived(kNow, i, 0, kNow + 5 * kSecond, 0.1, 1);
    }
    EXPECT_LE(host.launches.size(), 3u);
    sent += host.launches.size();
  }
  EXPECT_GT(sent, 15u);
  EXPECT_LT(sent, 30u);
}

// Nothing may go out for ever where the list has gone silent as no room was left.
TEST(LiveWeights, OldOnesCountNoMore) {
  Live node(1);
  node.list(0, 0.2);  // 19 for each core
  node.policy.membership_received(kNow, MembershipUpdate::kDelta);
  node.arrive(0, 0);
  EXPECT_TRUE(node.host.launches.empty());
  node.arrive(1, 0, kNow + 6 * kSecond);
  EXPECT_EQ(node.host.launches.size(), 1u);
}

// The weights stopped as the fleet was full, and every node opened its gates (incident i11c82d).
TEST(LiveWeights, WhereTheyStopInACrowdWhatEndsGivesItsPlaceToTheNext) {
  Settings settings = live_settings();
  settings.node_count = 10;
  Recorder host;
  Policy policy(settings, host, 1, kNow);
  for (const double weight : {4.0, 0.1, 3.0}) {
    policy.executor_listed(kNow, 0, 0, 0, 0, Lifecycle::kActive, 0, weight, 7);
    policy.max_parallel_width[0] = 4;
    policy.membership_received(kNow, MembershipUpdate::kDelta);
    if (weight < 1)
      for (int i = 0; i < 40; ++i) policy.request_arrived(kNow, i, 0, kNow + 60 * kSecond, 0.1, 1);
  }
  const std::size_t out = host.launches.size();
  ASSERT_GT(out, 0u);
  const Time later = kNow + 6 * kSecond;
  policy.request_arrived(later, 40, 0, later + 60 * kSecond, 0.1, 1);
  EXPECT_EQ(host.launches.size(), out);
  policy.attempt_ended(later, host.launches[0].submission, 0, Outcome::kSucceeded, kSecond, true, nullptr);
  EXPECT_EQ(host.launches.size(), out + 1);
  policy.timer_due(later, 0);  // with none of its own out a node would never start again
  EXPECT_EQ(host.launches.size(), out + 2);
}

TEST(Keys, AllNodesSendAKeyToTheSameExecutorWhateverTheirOrder) {
  Live node(8);
  Recorder host;
  Policy other(live_settings(), host, 99, kNow);
  for (int i = 7; i >= 0; --i)  // by other indices
    other.executor_listed(kNow, 7 - i, 0, 0, 0, Lifecycle::kActive, 0, 4, 1000 + 7 * i);
  other.membership_received(kNow, MembershipUpdate::kSnapshot);
  for (std::uint64_t key = 1; key < 40; ++key) {
    other.request_arrived(kNow, static_cast<int>(key), 0, kNow + 5 * kSecond, 0, 1, key);
    const int there = 7 - host.launches.back().executor;
    other.attempt_ended(kNow, static_cast<int>(key), 0, Outcome::kSucceeded, kSecond, true, nullptr);
    EXPECT_EQ(node.place_of(key), there) << key;
  }
}

// Where the home has a long queue the next in the key's order takes over, and the work is not held.
TEST(Keys, AHomeWithALongQueueGivesWay) {
  Live node(8);
  for (std::uint64_t key = 100; key < 200; ++key) node.place_of(key);  // so that none is popular
  const int home = node.place_of(5);
  node.list(home, 0.8);  // 4 for each core
  node.policy.membership_received(kNow, MembershipUpdate::kDelta);
  const int next = node.place_of(5);
  EXPECT_NE(next, home);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(node.place_of(5), next);
  node.list(home, 4);
  node.policy.membership_received(kNow, MembershipUpdate::kDelta);
  EXPECT_EQ(node.place_of(5), home);
}

// All copies are void, or none was there ever: a key is served, and goes on to the same place.
TEST(Keys, OneNeverSeenIsServedAndAPopularOneGetsMoreHomes) {
  Live node(8);
  const int first = node.place_of(77);
  EXPECT_EQ(node.place_of(77), first);
  std::set<int> places;
  for (int i = 0; i < 60; ++i) places.insert(node.place_of(77));  // by now nearly all of the work
  EXPECT_GT(places.size(), 3u);
}

TEST(Keys, AreNotLookedAtWhereTheListTellsOfNoQueue) {
  Settings settings = live_settings();
  settings.live_weights = false;
  Live node(8, settings);
  std::set<int> places;
  for (int i = 0; i < 20; ++i) places.insert(node.place_of(5));
  EXPECT_GT(places.size(), 1u);
}

// No start notes, no reports, no weights: work flows, nobody is blamed, and what ends teaches no wait.
TEST(Shape, WithoutStartNotesAndReportsWorkFlows) {
  Settings settings = live_settings();
  Live node(3, settings);
  for (Executor& executor : node.policy.executors) executor.load_per_core = -1;
  for (int i = 0; i < 9; ++i) {
    node.arrive(i, 0);
    node.policy.timer_due(kNow + 3 * kSecond, std::uint64_t{node.policy.requests[i].serial} << 24 |
                                                  static_cast<std::uint64_t>(i));
    node.policy.attempt_ended(kNow + 4 * kSecond, i, 0, Outcome::kSucceeded, 4 * kSecond, true, nullptr);
  }
  EXPECT_EQ(node.host.launches.size(), 9u);
  EXPECT_TRUE(node.host.cancelled.empty());
  for (const Executor& executor : node.policy.executors) {
    EXPECT_EQ(executor.queue_wait.value, 0);
    EXPECT_EQ(executor.failures.value, 0);
  }
}

// A node that stood still for two seconds finds timers and answers of that time in one batch.
TEST(Shape, AStandstillsTimersAndAnswersTogetherBlameNobody) {
  Live node(2);
  for (int i = 0; i < 4; ++i) node.arrive(i, 0);
  const Time woken = kNow + 2 * kSecond;
  const std::size_t sent = node.host.launches.size();
  for (int i = 0; i < 4; ++i)
    node.policy.timer_due(
        woken, std::uint64_t{node.policy.requests[i].serial} << 24 | static_cast<std::uint64_t>(i));
  for (int i = 0; i < 4; ++i)
    node.policy.attempt_ended(woken, i, 0, Outcome::kSucceeded, kSecond / 2, true, nullptr);
  EXPECT_EQ(node.host.launches.size(), sent);
  EXPECT_TRUE(node.host.cancelled.empty());
  for (const Executor& executor : node.policy.executors) EXPECT_EQ(executor.failures.value, 0);
}

// What came while a node stood still is as old as its deadline tells; a client of little patience is not old.
TEST(Shape, WhatIsLeftOfTheHardLimitTellsHowLongItHasWaited) {
  Settings settings = live_settings();
  settings.use_cases[0].deadline = 5 * kSecond;
  Live node(2, settings);
  node.policy.request_arrived(kNow, 0, 0, kNow + 3 * kSecond, 0, 1);
  EXPECT_EQ(node.policy.requests[0].arrived_at, kNow - 2 * kSecond);
  node.policy.request_arrived(kNow, 1, 0, kNow + kSecond, 0, 1);
  EXPECT_EQ(node.policy.requests[1].arrived_at, kNow);
  node.policy.request_arrived(kNow, 2, 0, kNow + 5 * kSecond, 0, 1, 0,
                              kNow + 3 * kSecond);  // it is to stop
  EXPECT_EQ(node.policy.requests[2].arrived_at, kNow);
  EXPECT_EQ(node.policy.requests[2].deadline, kNow + 3 * kSecond);
}

// With a single zone it is nobody else's turn: several that are gone at once leave the others in.
TEST(Shape, SeveralOfTheOnlyZoneGoneAtOnceLeaveTheOthersIn) {
  Live node(8);
  for (int i = 0; i < 4; ++i) {
    node.arrive(i, 0);
    node.policy.attempt_ended(kNow, i, 0, Outcome::kUnreachable, 1, false, nullptr);
  }
  EXPECT_GT(node.policy.zones[0].unanswered_attempts.value, 1.5);
  for (int i = 10; i < 40; ++i) {
    node.arrive(i, 0);
    const int to = node.host.launches.back().executor;
    EXPECT_EQ(node.policy.executors[to].unreachable_until, 0);
    node.policy.attempt_ended(kNow, i, 0, Outcome::kSucceeded, 1, true, nullptr);
  }
}

// All are cold: few nodes have much of each budget, many have to draw for theirs; what all send stays under
// it.
TEST(Shape, WithAllExecutorsColdFewNodesAndManyStayInTheBudget) {
  for (const int replicas : {2, 40}) {
    Settings settings = live_settings();
    settings.node_count = replicas;
    std::vector<double> sent(4, 0);
    for (int seed = 0; seed < replicas; ++seed) {
      Recorder host;
      Policy policy(settings, host, seed, kNow);
      for (int i = 0; i < 4; ++i)
        policy.executor_listed(kNow, i, 0, 0, 0, Lifecycle::kActive, kNow, 4, 1000 + i);
      policy.membership_received(kNow, MembershipUpdate::kSnapshot);
      for (int i = 0; i < 30; ++i) policy.request_arrived(kNow, i, 0, kNow + 5 * kSecond, 0.1, 1, 1 + i % 5);
      for (const Recorder::Sent& launch : host.launches) sent[launch.executor] += 0.1;
    }
    EXPECT_GT(std::accumulate(sent.begin(), sent.end(), 0.0), 0.5) << replicas;
    for (const double work : sent)
      EXPECT_LE(work, 4 * 0.5 * 1.0) << replicas;  // multiple x cold share x span
  }
}

// To the other shape and back, with launches out and others held: nothing is sent twice, all that was taken
// ends.
TEST(Shape, SettingsChangeThereAndBackWithLaunchesOut) {
  Settings plain = small_settings();
  Decider node(2, plain);
  const auto counts = [&] { return node.host.launches.size(); };
  for (int i = 0; i < 6; ++i) node.arrive(i, i % 3);
  const std::size_t out = counts();
  EXPECT_EQ(out, 2u);  // one unstarted at each; the others are held
  node.policy.settings_changed(kNow + 1, live_settings());
  node.policy.executor_listed(kNow + 2, 0, 0, 0, 0, Lifecycle::kActive, 0, 4, 1);
  node.policy.executor_listed(kNow + 2, 1, 0, 0, 1, Lifecycle::kActive, 0, 4, 2);
  node.policy.membership_received(kNow + 2, MembershipUpdate::kDelta);
  EXPECT_GT(counts(), out);
  node.policy.settings_changed(kNow + 3, plain);
  for (const Executor& executor : node.policy.executors) EXPECT_LT(executor.load_per_core, 0);
  for (int i = 0; i < 6; ++i) node.policy.timer_due(kNow + 4, Policy::kQueuedRequestsToken);
  std::map<int, int> launches;
  for (std::size_t i = 0; i < counts(); ++i) ++launches[node.host.launches[i].submission];
  for (const auto& [submission, count] : launches) EXPECT_EQ(count, 1) << submission;
  for (std::size_t i = 0; i < counts(); ++i) {
    const int submission = node.host.launches[i].submission;
    node.policy.attempt_ended(kNow + 10, submission, 0, Outcome::kSucceeded, 5, true, nullptr);
  }
  for (int i = 0; i < 6; ++i) EXPECT_FALSE(node.policy.requests[i].open) << i;
  for (const Executor& executor : node.policy.executors) {
    EXPECT_EQ(executor.open_attempts, 0);
    EXPECT_EQ(executor.unstarted_attempts, 0);
  }
}

}  // namespace
}  // namespace canvasstage
