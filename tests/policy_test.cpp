#include <gtest/gtest.h>

#include "helpers.h"

namespace canvasstage {
namespace {

// --- TPD ---

TEST(Choices, EqualChancesGiveTwo) { EXPECT_EQ(Policy::choices(std::vector<double>(10, 0.1)), 2); }

TEST(Choices, FewExecutorsAreAllDrawn) {
  EXPECT_EQ(Policy::choices({}), 0);
  EXPECT_EQ(Policy::choices({1.0}), 1);
  EXPECT_EQ(Policy::choices({0.9, 0.1}), 2);
}

TEST(Choices, FollowsTheFormula) {
  // alpha = 1 / (4 * 0.01) = 25, beta = 4 * 0.85 = 3.4: f = ln(84/24) / ln(84/81.6) = 43.2, above K.
  EXPECT_EQ(Policy::choices({0.85, 0.07, 0.07, 0.01}), 4);
  // alpha = 5/3, beta = 6/5: f = ln(1/(2/3)) / ln(1/0.8) = 1.817, half of it rounds up to 1; the floor is 2.
  EXPECT_EQ(Policy::choices({0.12, 0.2, 0.2, 0.24, 0.24}), 2);
}

TEST(Pick, NoExecutorGivesNone) {
  Node node(0);
  node.arrive(0, 0);
  EXPECT_TRUE(node.host.launches.empty());
}

TEST(Pick, OfTwoTheLeastFinishWins) {
  Node node(2);
  node.policy.executors[0].open_cost = 3;
  node.arrive(0, 0);
  ASSERT_EQ(node.host.launches.size(), 1u);
  EXPECT_EQ(node.host.launches[0].executor, 1);
}

TEST(Speed, NewExecutorStartsAtTheOthersMean) {
  Node node(3);
  node.policy.executors[0].work = node.policy.executors[1].work = 1;
  node.policy.executors[0].latency = 1;
  node.policy.executors[1].latency = 0.25;
  EXPECT_DOUBLE_EQ(node.policy.speed(node.policy.executors[2]), 2.5);
}

TEST(Speed, OnlySatisfiedLaunchesTeach) {
  Node node(1);
  node.arrive(0, 0);
  node.policy.launch_ended(kNow + kSecond, 0, 0, Outcome::kErrored, kSecond, false, nullptr);
  EXPECT_EQ(node.policy.executors[0].latency, 0);
}

// --- The rules ---

TEST(Rule1, LaunchOfAnEndedSubmissionIsRefused) {
  Node node(2);
  node.arrive(0, 0);
  node.policy.launch_ended(kNow + 100, 0, 0, Outcome::kSatisfied, 100, true, nullptr);
  EXPECT_FALSE(node.policy.may_launch(kNow + 100, node.policy.submissions[0], 1));
}

TEST(Rule1, TimeOutAtTheHardLimitIsAnswered) {
  Node node(1);
  node.arrive(0, 2);
  const Time due = kNow + 5 * kSecond;
  node.policy.launch_ended(due, 0, 0, Outcome::kTimedOut, 5 * kSecond, false, nullptr);
  EXPECT_EQ(node.host.aborted, std::vector<int>{0});
  EXPECT_TRUE(node.host.pushed_back.empty());
}

TEST(Rule1, HeldUntilTheHardLimitIsPushedBack) {
  Node node(0);
  node.arrive(0, 2);
  const Time due = kNow + 5 * kSecond;
  node.policy.timer_due(due - 40, std::uint64_t{node.policy.submissions[0].serial} << 24);
  EXPECT_EQ(node.host.pushed_back, std::vector<int>{0});
}

TEST(Rule2, SingleUseThatMayHaveRunIsAborted) {
  Node node(2);
  node.arrive(0, 2);
  node.policy.launch_ended(kNow + 100, 0, 0, Outcome::kBroken, 100, false, nullptr);
  EXPECT_EQ(node.host.launches.size(), 1u);
  EXPECT_EQ(node.host.aborted, std::vector<int>{0});
}

TEST(Rule2, SingleUseKnownNotToHaveRunGoesAgain) {
  Node node(2);
  node.arrive(0, 2);
  node.policy.launch_ended(kNow + 100, 0, 0, Outcome::kTurnedAway, 100, false, nullptr);
  EXPECT_EQ(node.host.launches.size(), 2u);
}

TEST(Rule2, ReferencedStaysWithinGroupAndWindow) {
  Node node(4);
  node.arrive(0, 1);
  const int first = node.host.launches[0].executor;
  node.policy.submissions[0].launches[0].pending = false;
  const Submission& submission = node.policy.submissions[0];
  for (int i = 0; i < 4; ++i) EXPECT_EQ(node.policy.may_launch(kNow + 1, submission, i), i % 2 == first % 2);
  node.policy.submissions[0].due = kNow + 20 * kSecond;
  EXPECT_FALSE(node.policy.may_launch(kNow + 10 * kSecond, submission, first));
}

TEST(Rule2, NoSecondCopyWhereNoneIsAllowed) {
  Settings settings = small_settings();
  settings.second_copies = false;
  Node node(2, settings);
  node.arrive(0, 0);
  EXPECT_FALSE(node.policy.may_launch(kNow, node.policy.submissions[0], 1 - node.host.launches[0].executor));
}

TEST(Rule3, NothingGoesToOneThatDrainsOrIsAbsent) {
  Node node(3);
  node.policy.executor_listed(kNow, 0, 0, 0, 0, Standing::kDraining, 0);
  node.policy.executor_listed(kNow, 1, 1, 0, 1, Standing::kReady, 0);
  node.policy.roster_arrived(kNow, RosterForm::kWhole);
  node.arrive(0, 0);
  EXPECT_EQ(node.host.launches.at(0).executor, 1);
  for (const int absent : {0, 2}) EXPECT_FALSE(node.policy.may_launch(kNow, node.policy.submissions[0], absent));
}

TEST(Rule4, ABurstToAColdExecutorStopsAtTheBudget) {
  Node node(1);
  node.policy.executor_listed(kNow, 0, 0, 0, 0, Standing::kReady, kNow);
  for (int i = 0; i < 20; ++i) node.arrive(i, 0);
  const double sent = node.policy.cost(node.policy.submissions[0]) * static_cast<double>(node.host.launches.size());
  EXPECT_LE(sent, 4.0 / 2 * 0.5 * 1.0);
}

// --- Following the list ---

TEST(List, IsAskedForAtStartAndAfterRefusals) {
  Settings settings = small_settings();
  settings.ask_for_roster = true;
  settings.ask_within = 10 * kSecond;
  Recorder host;
  Policy policy(settings, host, 1, kNow);
  EXPECT_EQ(host.subscriptions, 1);
  for (Time now = kNow; now < kNow + 10 * kSecond; now += kSecond / 4) {
    policy.roster_refused(now);
    policy.timer_due(now + kSecond * 8, 0);
  }
  EXPECT_GT(host.subscriptions, 2);
}

TEST(List, ARestartedExecutorIsANewOne) {
  Node node(1);
  node.policy.executors[0].bad.add(kNow, kSecond, 5);
  node.policy.executor_listed(kNow, 0, 0, 0, 0, Standing::kReady, kNow - 1);
  EXPECT_EQ(node.policy.executors[0].bad.value, 0);
}

}  // namespace
}  // namespace canvasstage
