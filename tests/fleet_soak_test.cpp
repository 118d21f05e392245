// Tests the soak judge, and runs short soak tests of a few dozen processes with overlapping troubles.
// `canvasstage-lab soak` runs longer ones.
#include <gtest/gtest.h>

#include "fleet/soak.h"

namespace canvasstage::lab::fleet {
namespace {

struct FleetSoak : testing::TestWithParam<std::uint64_t> {};

TEST_P(FleetSoak, NoRuleIsViolated) {
  SoakPlan plan = usual_soak(GetParam());
  plan.seconds = 10;
  plan.rate = 100;  // sanitizer builds are slow, and other tests run in parallel
  const SoakReport report = play(plan);
  EXPECT_GT(report.counts.served, 100u);
  EXPECT_GT(report.failed_calls, 0u);
  std::string logs = report.timeline;
  for (const std::string& log : report.logs) logs += "\n" + log;
  EXPECT_EQ(report.violations, std::vector<std::string>{}) << logs;
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetSoak, testing::Range<std::uint64_t>(1, 4));

// --- Soak judge ---

constexpr std::int64_t kSent = 1000000;  // microseconds

SoakRequest request_of(int time_left_ms) {
  SoakRequest request;
  request.sent.time_left_ms = time_left_ms;
  return request;
}

std::vector<std::string> judged(RequestEnd end, int status, std::int64_t ended_us,
                                const StartedAttempt& attempt, bool killed = false) {
  SoakJudge judge(1.5);
  judge.request_sent("id", request_of(1000));
  if (killed) judge.node_killed(0, ended_us);
  judge.attempt_started(attempt);
  judge.request_ended("id", {1, status, end, kSent, ended_us});
  judge.finish();
  return judge.violations();
}

StartedAttempt attempt_at(std::int64_t at_us, std::int64_t time_left_ms = 0) {
  return {0, "id", "", time_left_ms, at_us};
}

TEST(FleetSoakJudge, AnswerInTimeViolatesNoRule) {
  EXPECT_TRUE(judged(RequestEnd::kAnswered, 200, kSent + 50000, attempt_at(kSent + 1000, 990)).empty());
}

TEST(FleetSoakJudge, ClosedConnectionIsLostUnlessNodeKilled) {
  EXPECT_EQ(judged(RequestEnd::kConnectionLost, 0, kSent + 50000, attempt_at(kSent)).size(), 1u);
  EXPECT_EQ(judged(RequestEnd::kTimedOut, 0, kSent + 1500000, attempt_at(kSent)).size(), 1u);
  EXPECT_TRUE(judged(RequestEnd::kConnectionLost, 0, kSent + 50000, attempt_at(kSent), true).empty());
}

TEST(FleetSoakJudge, AttemptAfterDisconnectOrAnswerIsReported) {
  EXPECT_TRUE(judged(RequestEnd::kDisconnected, 0, kSent, attempt_at(kSent + 90000)).empty());
  EXPECT_EQ(judged(RequestEnd::kDisconnected, 0, kSent, attempt_at(kSent + 250000)).size(), 1u);
  EXPECT_EQ(judged(RequestEnd::kAnswered, 200, kSent, attempt_at(kSent + 150000)).size(), 1u);
}

TEST(FleetSoakJudge, TooLongDeadlineIsReported) {
  EXPECT_TRUE(judged(RequestEnd::kAnswered, 200, kSent + 500000, attempt_at(kSent + 400000, 700)).empty());
  EXPECT_EQ(judged(RequestEnd::kAnswered, 200, kSent + 500000, attempt_at(kSent + 400000, 900)).size(), 1u);
}

TEST(FleetSoakJudge, SecondAtMostOnceAttemptIsReported) {
  SoakJudge judge(1.5);
  SoakRequest request = request_of(1000);
  request.at_most_once = true;
  judge.request_sent("id", request);
  judge.attempt_started(attempt_at(kSent));
  judge.attempt_started(attempt_at(kSent + 1000));
  judge.request_ended("id", {1, 200, RequestEnd::kAnswered, kSent, kSent + 2000});
  judge.finish();
  EXPECT_EQ(judge.violations().size(), 1u);
}

TEST(FleetSoakJudge, DrainAppliesAfterPublishTimeout) {
  SoakJudge judge(1.5);
  judge.executor_drains(0, kSent);
  judge.attempt_started(attempt_at(kSent + 7000000));
  EXPECT_TRUE(judge.violations().empty());
  judge.attempt_started(attempt_at(kSent + 8000000));
  EXPECT_EQ(judge.violations().size(), 1u);
  judge.executor_active(0);
  judge.attempt_started(attempt_at(kSent + 9000000));
  EXPECT_EQ(judge.violations().size(), 1u);
}

}  // namespace
}  // namespace canvasstage::lab::fleet
