// The decisions of recovery: what is believed after a power loss, and what binds a repeat. No I/O.

#include <gtest/gtest.h>

#include "recovery/attempt_log.h"
#include "recovery/clock.h"
#include "recovery/learned.h"
#include "recovery/membership_guard.h"
#include "recovery/peer_evidence.h"

namespace canvasstage::recovery {
namespace {

constexpr Time kNow = 1000 * kSecond;

// --- Clocks ---

TEST(RecoveryClock, WithinOneBootTheSteadyClockCounts) {
  const ClockReading then{5000, "boot", 1000};
  EXPECT_EQ(elapsed_between(then, {5000, "boot", 4000}), 3 * kSecond);
  // The wall clock was set meanwhile, either way.
  EXPECT_EQ(elapsed_between(then, {1, "boot", 4000}), 3 * kSecond);
  EXPECT_EQ(elapsed_between(then, {900000, "boot", 4000}), 3 * kSecond);
  EXPECT_FALSE(elapsed_between(then, {5000, "boot", 999}));
}

TEST(RecoveryClock, OverABootTheWallClockCountsUnlessItContradictsWhatIsCertain) {
  const ClockReading then{100000, "before", 70000};
  EXPECT_EQ(elapsed_between(then, {160000, "after", 20000}), 60 * kSecond);
  EXPECT_EQ(elapsed_between(then, {120000, "after", 20000}), 20 * kSecond);
  // Up for longer than the wall clock says has passed: it was set back.
  EXPECT_FALSE(elapsed_between(then, {119999, "after", 20000}));
  EXPECT_FALSE(elapsed_between(then, {99999, "after", 0}));
}

TEST(RecoveryClock, ABootWithoutANameIsNoEvidenceOfOneBoot) {
  EXPECT_EQ(elapsed_between({1000, "", 500}, {3000, "", 900}), 2 * kSecond);
  EXPECT_FALSE(elapsed_between({1000, "", 500}, {500, "", 100}));
}

// --- What was learned ---

TEST(RecoveryLearned, OfAnUnknownAgeOrTooOldIsNotUsed) {
  const LearnedSettings settings{.max_age = 10 * kSecond};
  EXPECT_TRUE(is_usable(10 * kSecond, settings));
  EXPECT_FALSE(is_usable(10 * kSecond + 1, settings));
  EXPECT_FALSE(is_usable(std::nullopt, settings));
}

TEST(RecoveryLearned, SpeedsFadeTowardsTheMeanWithTheTimeWithoutPower) {
  const LearnedSettings settings{.decay_time = 100 * kSecond};
  EXPECT_DOUBLE_EQ(decayed_speed(4, 1, 0, settings), 4);
  const double half = decayed_speed(4, 1, 50 * kSecond, settings),
               late = decayed_speed(4, 1, 900 * kSecond, settings);
  EXPECT_GT(half, 2);
  EXPECT_LT(half, 4);
  EXPECT_NEAR(late, 1, 0.001);
  EXPECT_NEAR(decayed_speed(0.25, 1, 900 * kSecond, settings), 1, 0.001);
  EXPECT_EQ(decayed_speed(0, 1, kSecond, settings), 0);  // nothing was learned
}

// --- Lists ---

struct RecoveryMembership : testing::Test {
  RecoveryMembership() {
    guard.restore("d:1", 41);
    guard.call_started("d:1");
  }
  ListVerdict told(std::uint64_t generation, bool whole = true, std::size_t members = 8, bool late = false) {
    return guard.evaluate(now, {generation, whole, members}, held, late);
  }
  MembershipGuard guard{{.short_list_hold = 15 * kSecond, .short_list_share = 0.5}};
  std::size_t held = 8;
  Time now = kNow;
};

TEST_F(RecoveryMembership, ANewerOrEqualGenerationIsTaken) {
  EXPECT_EQ(told(41), ListVerdict::kApply);
  EXPECT_EQ(told(42, false, 1), ListVerdict::kApply);
}

TEST_F(RecoveryMembership, ALowerGenerationIsRefusedWithinOneIncarnation) {
  EXPECT_EQ(told(41), ListVerdict::kApply);
  EXPECT_EQ(told(40), ListVerdict::kRefuse);
  EXPECT_EQ(told(40), ListVerdict::kRefuse);
  EXPECT_EQ(guard.incarnations_begun(), 0);
}

TEST_F(RecoveryMembership, ALowerGenerationToldWholeOnTwoCallsBeginsAnIncarnation) {
  EXPECT_EQ(told(1), ListVerdict::kConfirm);
  guard.call_started("d:1");
  EXPECT_EQ(told(1), ListVerdict::kApply);
  EXPECT_EQ(guard.incarnations_begun(), 1);
  EXPECT_EQ(told(2, false, 1), ListVerdict::kApply);
  EXPECT_EQ(told(1), ListVerdict::kRefuse);
}

TEST_F(RecoveryMembership, TheSecondTellingMayBeNewerThanTheFirstButNotOlder) {
  EXPECT_EQ(told(3), ListVerdict::kConfirm);
  guard.call_started("d:1");
  EXPECT_EQ(told(2), ListVerdict::kConfirm);  // it has forgotten again
  guard.call_started("d:1");
  EXPECT_EQ(told(5), ListVerdict::kApply);
  EXPECT_EQ(guard.incarnations_begun(), 1);
}

TEST_F(RecoveryMembership, TwiceOnOneCallIsNoConfirmation) {
  EXPECT_EQ(told(1), ListVerdict::kConfirm);
  EXPECT_EQ(told(1), ListVerdict::kConfirm);
  EXPECT_EQ(guard.incarnations_begun(), 0);
}

TEST_F(RecoveryMembership, ChangesAloneBeginNoIncarnation) {
  EXPECT_EQ(told(1, false), ListVerdict::kRefuse);
  guard.call_started("d:1");
  EXPECT_EQ(told(1, false), ListVerdict::kRefuse);
}

TEST_F(RecoveryMembership, AnotherAddressBeginsNoIncarnation) {
  guard.call_started("d:2");
  EXPECT_EQ(told(1), ListVerdict::kRefuse);
  guard.call_started("d:2");
  EXPECT_EQ(told(1), ListVerdict::kRefuse);
  EXPECT_EQ(told(42), ListVerdict::kApply);  // it goes on with the same generations
}

TEST_F(RecoveryMembership, TheOldIncarnationThatAnswersAfterAllEndsTheDoubt) {
  EXPECT_EQ(told(1), ListVerdict::kConfirm);
  guard.call_started("d:1");
  EXPECT_EQ(told(42), ListVerdict::kApply);
  guard.call_started("d:1");
  EXPECT_EQ(told(1), ListVerdict::kConfirm);  // counted anew
}

TEST_F(RecoveryMembership, ALateAnswerConfirmsNothingAndChangesOnlyDrains) {
  EXPECT_EQ(told(1), ListVerdict::kConfirm);
  guard.call_started("d:1");
  EXPECT_EQ(told(1, true, 8, true), ListVerdict::kDrainsOnly);
  EXPECT_EQ(told(45, true, 8, true), ListVerdict::kDrainsOnly);
  EXPECT_EQ(told(1), ListVerdict::kApply);
  // The old incarnation's last words, behind the new one's first.
  EXPECT_EQ(told(45, true, 8, true), ListVerdict::kDrainsOnly);
  EXPECT_EQ(told(2), ListVerdict::kApply);
}

TEST_F(RecoveryMembership, AShortListRemovesNobodyUntilTheHoldIsOver) {
  EXPECT_EQ(told(42, true, 0), ListVerdict::kApplyWithoutRemovals);
  ASSERT_TRUE(guard.hold_until());
  EXPECT_EQ(*guard.hold_until(), kNow + 15 * kSecond);
  now += 10 * kSecond;
  EXPECT_EQ(told(43, true, 3), ListVerdict::kApplyWithoutRemovals);
  EXPECT_EQ(*guard.hold_until(), kNow + 15 * kSecond);  // counted from the first
  now += 5 * kSecond;
  EXPECT_EQ(told(44, true, 3), ListVerdict::kApply);
  EXPECT_FALSE(guard.hold_until());
}

TEST_F(RecoveryMembership, AListThatHasFilledUpEndsTheHold) {
  EXPECT_EQ(told(42, true, 0), ListVerdict::kApplyWithoutRemovals);
  held = 9;  // members that were held back and one that is new
  EXPECT_EQ(told(43, true, 4), ListVerdict::kApply);
  EXPECT_FALSE(guard.hold_until());
}

TEST_F(RecoveryMembership, HalfOfTheMembersIsNotShortAndChangesNeverAre) {
  EXPECT_EQ(told(42, true, 4), ListVerdict::kApply);
  EXPECT_EQ(told(43, false, 0), ListVerdict::kApply);
  held = 0;
  EXPECT_EQ(told(44, true, 0), ListVerdict::kApply);
}

TEST_F(RecoveryMembership, AnEmptyListOfANewIncarnationHoldsTheMembersToo) {
  EXPECT_EQ(told(1, true, 0), ListVerdict::kConfirm);
  guard.call_started("d:1");
  EXPECT_EQ(told(1, true, 0), ListVerdict::kApplyWithoutRemovals);
  EXPECT_EQ(told(2, true, 8), ListVerdict::kApply);
}

// --- Attempts ---

AttemptRecord record(std::uint64_t attempt, const std::string& key, Time sent = kNow, std::uint64_t run = 1) {
  AttemptRecord record;
  record.number = {run, attempt};
  record.request_id = "r" + std::to_string(attempt);
  record.idempotency_key = key;
  record.effect = key.empty() ? Effect::kAtMostOnce : Effect::kIdempotentByKey;
  record.sent_at = sent;
  record.idempotency_window = key.empty() ? 0 : 25 * kSecond;
  return record;
}

struct RecoveryAttempts : testing::Test {
  AttemptLog log{{.keep_after_window = 60 * kSecond, .max_records = 4}};
};

TEST_F(RecoveryAttempts, TheEarliestThatMayHaveRunBindsARepeat) {
  EXPECT_EQ(log.earliest_attempt("k"), nullptr);
  ASSERT_TRUE(log.add(record(1, "k", kNow + 5)));
  ASSERT_TRUE(log.add(record(2, "k", kNow)));
  ASSERT_TRUE(log.add(record(3, "other", kNow - 5)));
  EXPECT_EQ(log.earliest_attempt("k")->number.attempt, 2u);
  EXPECT_EQ(log.attempt_ended({1, 2}, AttemptEnd::kNeverRan), AttemptLog::Change::kForget);
  EXPECT_EQ(log.earliest_attempt("k")->number.attempt, 1u);
}

TEST_F(RecoveryAttempts, AnAnsweredOneStillBindsAsItsAnswerMayBeLost) {
  log.add(record(1, "k"));
  EXPECT_EQ(log.in_doubt(), 1u);
  EXPECT_EQ(log.attempt_ended({1, 1}, AttemptEnd::kAnswered), AttemptLog::Change::kMarkEnded);
  EXPECT_EQ(log.in_doubt(), 0u);
  EXPECT_NE(log.earliest_attempt("k"), nullptr);
}

TEST_F(RecoveryAttempts, OneThatMayHaveRunStaysInDoubt) {
  log.add(record(1, "k"));
  EXPECT_EQ(log.attempt_ended({1, 1}, AttemptEnd::kMayHaveRun), AttemptLog::Change::kNone);
  EXPECT_EQ(log.in_doubt(), 1u);
  EXPECT_EQ(log.attempt_ended({7, 1}, AttemptEnd::kAnswered), AttemptLog::Change::kNone);  // not known
}

TEST_F(RecoveryAttempts, OneWithoutAKeyGoesWithItsAnswerAndIsListedUntilThen) {
  log.add(record(1, ""));
  log.add(record(2, "", kNow - 1));
  log.add(record(3, "k"));
  ASSERT_EQ(log.without_key().size(), 2u);
  EXPECT_EQ(log.without_key()[0]->request_id, "r2");
  EXPECT_EQ(log.earliest_attempt(""), nullptr);
  EXPECT_EQ(log.attempt_ended({1, 1}, AttemptEnd::kAnswered), AttemptLog::Change::kForget);
  EXPECT_EQ(log.without_key().size(), 1u);
}

TEST_F(RecoveryAttempts, RecordsGoSoLongAfterTheirWindow) {
  log.add(record(1, "k"));
  log.add(record(2, ""));
  EXPECT_TRUE(log.expire(kNow + 60 * kSecond - 1).empty());
  EXPECT_EQ(log.expire(kNow + 60 * kSecond), (std::vector<AttemptNumber>{{1, 2}}));
  EXPECT_TRUE(log.expire(kNow + 85 * kSecond - 1).empty());
  EXPECT_EQ(log.expire(kNow + 85 * kSecond), (std::vector<AttemptNumber>{{1, 1}}));
  EXPECT_EQ(log.earliest_attempt("k"), nullptr);
  EXPECT_EQ(log.size(), 0u);
}

TEST_F(RecoveryAttempts, ThereAreNoMoreThanTheOperatorAllowsAndTheLatestAreKept) {
  std::vector<AttemptRecord> earlier;
  for (std::uint64_t i = 1; i <= 6; ++i)
    earlier.push_back(record(i, "k" + std::to_string(i), kNow - static_cast<Time>(i)));
  log.restore(earlier);
  EXPECT_EQ(log.size(), 4u);
  EXPECT_NE(log.earliest_attempt("k1"), nullptr);
  EXPECT_EQ(log.earliest_attempt("k6"), nullptr);
  EXPECT_FALSE(log.add(record(9, "k9", kNow, 2)));
}

TEST_F(RecoveryAttempts, NumbersOfTwoRunsDoNotMeet) {
  ASSERT_TRUE(log.add(record(1, "k", kNow, 1)));
  ASSERT_TRUE(log.add(record(1, "k", kNow + 1, 2)));
  EXPECT_FALSE(log.add(record(1, "k", kNow + 2, 2)));
  EXPECT_EQ(log.attempt_ended({1, 1}, AttemptEnd::kNeverRan), AttemptLog::Change::kForget);
  EXPECT_EQ(log.earliest_attempt("k")->number.run, 2u);
}

TEST_F(RecoveryAttempts, PeersAreToldOfThisNodesEarlierRunsAlone) {
  log.add(record(1, "earlier", kNow, 1));
  log.add(record(2, "later", kNow + 1, 1));
  log.add(record(1, "now", kNow, 2));
  AttemptRecord peers = record(9, "peers", kNow, 1);
  peers.from_peer = true;
  log.add(peers);
  const auto told = log.left_in_doubt(2, 10);
  ASSERT_EQ(told.size(), 2u);
  EXPECT_EQ(told[0]->idempotency_key, "later");
  EXPECT_EQ(log.left_in_doubt(2, 1).size(), 1u);
  log.attempt_ended({1, 1}, AttemptEnd::kAnswered);
  EXPECT_EQ(log.left_in_doubt(2, 10).size(), 1u);
}

// --- Peers ---

struct RecoveryPeers : testing::Test {
  static PeerSettings settings() {
    PeerSettings settings;
    settings.nodes = {{"n1", "a:1"}, {"n2", "a:2"}, {"n3", "a:3"}};
    return settings;
  }
  void hears(std::size_t peer, std::uint64_t generation, std::uint64_t digest, std::size_t members = 8) {
    const std::string name = "n" + std::to_string(peer + 1);
    EXPECT_EQ(evidence.answered(peer, {name, generation, digest, members}), PeerEvidence::Verdict::kAccepted);
  }
  PeerEvidence evidence{settings(), kNow};
};

TEST_F(RecoveryPeers, NothingIsWaitedForOnceEachHasAnsweredOrTimeIsUp) {
  EXPECT_FALSE(evidence.is_settled(kNow));
  hears(0, 1, 1);
  hears(1, 1, 1);
  EXPECT_FALSE(evidence.is_settled(kNow + 2 * kSecond - 1));
  EXPECT_TRUE(evidence.is_settled(kNow + 2 * kSecond));
  hears(2, 1, 1);
  EXPECT_TRUE(evidence.is_settled(kNow));
  evidence.failed(2);  // it has answered once
  EXPECT_TRUE(evidence.is_settled(kNow));
}

TEST_F(RecoveryPeers, OneThatAnswersUnderAnotherNameIsNotBelieved) {
  EXPECT_EQ(evidence.answered(0, {"n2", 9, 9, 9}), PeerEvidence::Verdict::kWrongName);
  EXPECT_FALSE(evidence.best_list_source());
}

TEST_F(RecoveryPeers, TheListOnWhichMostAgreeIsAskedForFirstThenTheNewest) {
  EXPECT_FALSE(evidence.best_list_source());
  hears(0, UINT64_MAX, 7);
  EXPECT_EQ(evidence.best_list_source(), 0u);
  hears(1, 41, 5);
  hears(2, 41, 5);
  EXPECT_EQ(evidence.best_list_source(), 1u);
  evidence.list_received(1);
  EXPECT_EQ(evidence.best_list_source(), 0u);
  evidence.list_received(0);
  EXPECT_FALSE(evidence.best_list_source());
  hears(2, 42, 6);  // it has a new one
  EXPECT_EQ(evidence.best_list_source(), 2u);
}

TEST_F(RecoveryPeers, WhoHasNobodyOrDoesNotAnswerIsNotAskedForAList) {
  hears(0, 41, 1, 0);
  hears(1, 41, 2);
  evidence.failed(1);
  EXPECT_FALSE(evidence.best_list_source());
}

}  // namespace
}  // namespace canvasstage::recovery
