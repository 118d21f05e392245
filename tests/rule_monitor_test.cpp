// Each rule, told broken and told kept.
#include "core/rule_monitor.h"

#include <gtest/gtest.h>

#include "core/attempt_limits.h"
#include "helpers.h"

namespace canvasstage {
namespace {

constexpr Time kGrace = kSecond * 3 / 2;
constexpr Time kDue = kNow + 5 * kSecond;

struct RuleMonitorTest : testing::Test {
  RuleMonitorTest() {
    for (int executor = 0; executor < 4; ++executor)
      rules.executor_listed(kNow, executor, Lifecycle::kActive, executor % 2, executor / 2);
  }
  void take(Effect effect, IdempotencyScope group = IdempotencyScope::kZone) {
    UseCase terms;
    terms.effect = effect;
    terms.idempotency_scope = group;
    terms.idempotency_window = 2 * kSecond;
    rules.request_accepted(0, terms, kDue);
  }
  std::optional<Rule> send(int executor, Time now = kNow, Time give_up_at = kDue) {
    const auto violation = rules.check_attempt(now, 0, executor, give_up_at, kGrace);
    return violation ? std::optional(violation->rule) : std::nullopt;
  }
  std::uint64_t count(Rule rule) const { return rules.counts()[static_cast<std::size_t>(rule)]; }
  RuleMonitor rules;
};

TEST_F(RuleMonitorTest, OneAnswerInTimeAndNothingBehindIt) {
  take(Effect::kIdempotent);
  EXPECT_FALSE(send(0));
  rules.attempt_ended(0, 0, true);
  EXPECT_FALSE(rules.request_answered(kDue, 0));
  EXPECT_EQ(send(1), Rule::kFinalAnswer);
  EXPECT_TRUE(rules.request_answered(kNow, 0));
  EXPECT_EQ(count(Rule::kFinalAnswer), 2u);
  take(Effect::kIdempotent);
  EXPECT_TRUE(rules.request_answered(kDue + kSecond, 0));
}

TEST_F(RuleMonitorTest, NothingForAClientThatLeft) {
  take(Effect::kIdempotent);
  rules.request_released(0);
  EXPECT_EQ(send(0), Rule::kFinalAnswer);
}

TEST_F(RuleMonitorTest, OneAttemptAtATime) {
  take(Effect::kIdempotent);
  EXPECT_FALSE(send(0));
  EXPECT_EQ(send(1), Rule::kEffectOnce);
  rules.attempt_ended(0, 0, true);
  EXPECT_FALSE(send(1));
}

TEST_F(RuleMonitorTest, AtMostOnceGoesAgainOnlyWhereItNeverRan) {
  take(Effect::kAtMostOnce);
  EXPECT_FALSE(send(0));
  rules.attempt_ended(0, 0, false);
  EXPECT_FALSE(send(1));
  rules.attempt_ended(0, 1, true);
  EXPECT_EQ(send(2), Rule::kEffectOnce);
}

TEST_F(RuleMonitorTest, ByKeyGoesAgainWithinGroupAndWindow) {
  take(Effect::kIdempotentByKey);
  EXPECT_FALSE(send(0));
  rules.attempt_ended(0, 0, true);
  EXPECT_EQ(send(1), Rule::kEffectOnce);  // another zone
  EXPECT_FALSE(send(2, kNow + 2 * kSecond));
  rules.attempt_ended(0, 2, true);
  EXPECT_EQ(send(2, kNow + 2 * kSecond + 1), Rule::kEffectOnce);
  take(Effect::kIdempotentByKey, IdempotencyScope::kCell);
  EXPECT_FALSE(send(0));
  rules.attempt_ended(0, 0, true);
  EXPECT_EQ(send(2), Rule::kEffectOnce);
  EXPECT_FALSE(send(1));
  take(Effect::kIdempotentByKey, IdempotencyScope::kAll);
  EXPECT_FALSE(send(0));
  rules.attempt_ended(0, 0, true);
  EXPECT_FALSE(send(3));
}

TEST_F(RuleMonitorTest, AnAttemptOfBeforeBindsToo) {
  take(Effect::kIdempotentByKey);
  rules.restore_attempt(0, 1, kNow - kSecond, false, true);
  EXPECT_EQ(send(0), Rule::kEffectOnce);
  EXPECT_FALSE(send(3));
}

TEST_F(RuleMonitorTest, NothingNewAfterTheGraceOfADrain) {
  take(Effect::kIdempotent);
  rules.executor_listed(kNow, 0, Lifecycle::kDraining, 0, 0);
  EXPECT_FALSE(send(0, kNow + kGrace));
  rules.attempt_ended(0, 0, false);
  rules.executor_listed(kNow + kSecond, 0, Lifecycle::kRemoved, 0, 0);  // the grace does not begin anew
  EXPECT_EQ(send(0, kNow + kGrace + 1), Rule::kDrain);
  rules.executor_listed(kNow + 2 * kSecond, 0, Lifecycle::kActive, 0, 0);
  EXPECT_FALSE(send(0, kNow + 2 * kSecond));
}

TEST_F(RuleMonitorTest, NoMoreTimeThanIsLeft) {
  take(Effect::kIdempotent);
  EXPECT_EQ(send(0, kNow, kDue + 1), Rule::kDeadline);
  EXPECT_FALSE(send(0, kNow, kDue));
}

// --- The latest first byte ---

// A drain may be told right after the decision, and the process be held up for 0.15 s between its look at the
// clock and the write; the platform's own slack is 0.05 s.
TEST(AttemptLimits, TheGraceCoversAProcessThatIsHeldUp) {
  for (const double grace : {0.3, 0.5, 1.0, 1.5, 3.0}) {
    const Time latest = first_byte_deadline(kNow, time_from_seconds(grace)) - kNow;
    EXPECT_LE(latest + kSecond * 15 / 100, time_from_seconds(grace) + kSecond / 20) << grace;
    EXPECT_GE(latest, time_from_seconds(grace) / 2) << grace;  // for so long it may connect
  }
}

// --- In the node ---

// The figures, the log and the refusal, where the module decides against a rule.
TEST(RuleMonitorInNode, AnAttemptThatBreaksARuleIsNotSentAndIsCounted) {
  Core core(2);
  core.arrive(5, 2);
  ASSERT_EQ(core.effects.launches.size(), 1u);
  core.node.start_attempt(0, 1, kNow + 5 * kSecond);  // as a module would that has lost count
  EXPECT_EQ(core.effects.launches.size(), 1u);
  ASSERT_FALSE(core.effects.notes.empty());
  EXPECT_TRUE(core.effects.notes.back().starts_with("rule violated: effect_once: request id1: "));
  constexpr std::uint64_t kTick = std::uint64_t{1}
                                  << 62;  // the node's own first timer: it publishes the figures
  core.node.timer_due(kNow + 1, kTick);
  EXPECT_EQ(core.effects.figures.violations[static_cast<std::size_t>(Rule::kEffectOnce)], 1u);
}

TEST(RuleMonitorInNode, ARefusalAndARetryAreNamedInTheLog) {
  Core core(2);
  core.arrive(5, 0);
  core.end(1, Outcome::kConnectionLost, kNow + 10);
  const auto logged = [&](const std::string& words) {
    return std::ranges::any_of(core.effects.notes,
                               [&](const std::string& note) { return note.starts_with(words); });
  };
  EXPECT_TRUE(logged("retry request=id1 attempt=2 executor=s-"));
  EXPECT_FALSE(logged("answer "));
  core.end(2, Outcome::kRejected, kNow + 20);
  core.run_until(kNow + 6 * kSecond);
  EXPECT_TRUE(logged("answer request=id1 result="));
}

}  // namespace
}  // namespace canvasstage
