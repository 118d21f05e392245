// Tests each rule with events that violate it and events that comply with it.
#include "core/rule_monitor.h"

#include <gtest/gtest.h>

#include "core/attempt_limits.h"
#include "helpers.h"

namespace canvasstage {
namespace {

constexpr Time kDrainGrace = kSecond * 3 / 2;
constexpr Time kRequestDeadline = kNow + 5 * kSecond;

struct RuleMonitorTest : testing::Test {
  RuleMonitorTest() {
    for (int executor = 0; executor < 4; ++executor)
      monitor.executor_listed(kNow, executor, Lifecycle::kActive, executor % 2, executor / 2);
  }
  void accept(Effect effect, IdempotencyScope scope = IdempotencyScope::kZone) {
    UseCase use_case;
    use_case.effect = effect;
    use_case.idempotency_scope = scope;
    use_case.idempotency_window = 2 * kSecond;
    monitor.request_accepted(0, use_case, kRequestDeadline);
  }
  std::optional<Rule> send(int executor, Time now = kNow, Time give_up_at = kRequestDeadline) {
    const auto violation = monitor.check_attempt(now, 0, executor, give_up_at, kDrainGrace);
    return violation ? std::optional(violation->rule) : std::nullopt;
  }
  std::uint64_t count(Rule rule) const { return monitor.counts()[static_cast<std::size_t>(rule)]; }
  RuleMonitor monitor;
};

TEST_F(RuleMonitorTest, OneAnswerByDeadlineAndNoAttemptAfter) {
  accept(Effect::kIdempotent);
  EXPECT_FALSE(send(0));
  monitor.attempt_ended(0, 0, true);
  EXPECT_FALSE(monitor.request_answered(kRequestDeadline, 0));
  EXPECT_EQ(send(1), Rule::kFinalAnswer);
  EXPECT_TRUE(monitor.request_answered(kNow, 0));
  EXPECT_EQ(count(Rule::kFinalAnswer), 2u);
  accept(Effect::kIdempotent);
  EXPECT_TRUE(monitor.request_answered(kRequestDeadline + kSecond, 0));
}

TEST_F(RuleMonitorTest, AttemptAfterClientLeftIsRefused) {
  accept(Effect::kIdempotent);
  monitor.request_released(0);
  EXPECT_EQ(send(0), Rule::kFinalAnswer);
}

TEST_F(RuleMonitorTest, SecondPendingAttemptIsRefused) {
  accept(Effect::kIdempotent);
  EXPECT_FALSE(send(0));
  EXPECT_EQ(send(1), Rule::kEffectOnce);
  monitor.attempt_ended(0, 0, true);
  EXPECT_FALSE(send(1));
}

TEST_F(RuleMonitorTest, AtMostOnceRetriesOnlyIfNeverRan) {
  accept(Effect::kAtMostOnce);
  EXPECT_FALSE(send(0));
  monitor.attempt_ended(0, 0, false);
  EXPECT_FALSE(send(1));
  monitor.attempt_ended(0, 1, true);
  EXPECT_EQ(send(2), Rule::kEffectOnce);
}

TEST_F(RuleMonitorTest, IdempotentByKeyRetriesWithinScopeAndWindow) {
  accept(Effect::kIdempotentByKey);
  EXPECT_FALSE(send(0));
  monitor.attempt_ended(0, 0, true);
  EXPECT_EQ(send(1), Rule::kEffectOnce);  // another zone
  EXPECT_FALSE(send(2, kNow + 2 * kSecond));
  monitor.attempt_ended(0, 2, true);
  EXPECT_EQ(send(2, kNow + 2 * kSecond + 1), Rule::kEffectOnce);
  accept(Effect::kIdempotentByKey, IdempotencyScope::kCell);
  EXPECT_FALSE(send(0));
  monitor.attempt_ended(0, 0, true);
  EXPECT_EQ(send(2), Rule::kEffectOnce);
  EXPECT_FALSE(send(1));
  accept(Effect::kIdempotentByKey, IdempotencyScope::kAll);
  EXPECT_FALSE(send(0));
  monitor.attempt_ended(0, 0, true);
  EXPECT_FALSE(send(3));
}

TEST_F(RuleMonitorTest, RestoredAttemptRestrictsRetries) {
  accept(Effect::kIdempotentByKey);
  monitor.restore_attempt(0, 1, kNow - kSecond, false, true);
  EXPECT_EQ(send(0), Rule::kEffectOnce);
  EXPECT_FALSE(send(3));
}

TEST_F(RuleMonitorTest, AttemptAfterDrainGraceIsRefused) {
  accept(Effect::kIdempotent);
  monitor.executor_listed(kNow, 0, Lifecycle::kDraining, 0, 0);
  EXPECT_FALSE(send(0, kNow + kDrainGrace));
  monitor.attempt_ended(0, 0, false);
  monitor.executor_listed(kNow + kSecond, 0, Lifecycle::kRemoved, 0, 0);  // the grace does not restart
  EXPECT_EQ(send(0, kNow + kDrainGrace + 1), Rule::kDrain);
  monitor.executor_listed(kNow + 2 * kSecond, 0, Lifecycle::kActive, 0, 0);
  EXPECT_FALSE(send(0, kNow + 2 * kSecond));
}

TEST_F(RuleMonitorTest, GiveUpTimeAfterDeadlineIsRefused) {
  accept(Effect::kIdempotent);
  EXPECT_EQ(send(0, kNow, kRequestDeadline + 1), Rule::kDeadline);
  EXPECT_FALSE(send(0, kNow, kRequestDeadline));
}

// --- Deadline of the first byte ---

// Guards against an attempt whose first byte leaves after the drain grace. The drain may arrive right after
// the decision, and the process may be delayed by 0.15 s between its check of the clock and the write; the
// platform allows 0.05 s on top of the grace.
TEST(AttemptLimits, DelayedProcessKeepsDrainGrace) {
  for (const double grace_seconds : {0.3, 0.5, 1.0, 1.5, 3.0}) {
    const Time first_byte_delay = first_byte_deadline(kNow, time_from_seconds(grace_seconds)) - kNow;
    EXPECT_LE(first_byte_delay + kSecond * 15 / 100, time_from_seconds(grace_seconds) + kSecond / 20)
        << grace_seconds;
    // At least half of the grace is left for connecting.
    EXPECT_GE(first_byte_delay, time_from_seconds(grace_seconds) / 2) << grace_seconds;
  }
}

// --- In the node ---

// An attempt of the decision module that violates a rule must be refused, logged and counted in the metrics.
TEST(RuleMonitorInNode, ViolatingAttemptIsRefusedLoggedAndCounted) {
  Core core(2);
  core.arrive(5, 2);
  ASSERT_EQ(core.effects.attempts.size(), 1u);
  core.node.start_attempt(0, 1,
                          kNow + 5 * kSecond);  // as a faulty Policy would: the first attempt is pending
  EXPECT_EQ(core.effects.attempts.size(), 1u);
  ASSERT_FALSE(core.effects.log_lines.empty());
  EXPECT_TRUE(core.effects.log_lines.back().starts_with("rule violated: effect_once: request id1: "));
  // Token of the node's periodic timer, which publishes the metrics.
  constexpr std::uint64_t kTickToken = std::uint64_t{1} << 62;
  core.node.timer_due(kNow + 1, kTickToken);
  EXPECT_EQ(core.effects.metrics.violations[static_cast<std::size_t>(Rule::kEffectOnce)], 1u);
}

TEST(RuleMonitorInNode, RetryAndUnservedAnswerAreLogged) {
  Core core(2);
  core.arrive(5, 0);
  core.end(1, Outcome::kConnectionLost, kNow + 10);
  const auto has_log_line = [&](const std::string& prefix) {
    return std::ranges::any_of(core.effects.log_lines,
                               [&](const std::string& line) { return line.starts_with(prefix); });
  };
  EXPECT_TRUE(has_log_line("retry request=id1 attempt=2 executor=s-"));
  EXPECT_FALSE(has_log_line("answer "));
  core.end(2, Outcome::kRejected, kNow + 20);
  core.run_until(kNow + 6 * kSecond);
  EXPECT_TRUE(has_log_line("answer request=id1 result="));
}

}  // namespace
}  // namespace canvasstage
