// Tests of the decisions of recovery, without I/O: clocks, learned state, executor lists, the attempt log and
// the evidence of peers after a power loss.

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

TEST(RecoveryClock, WithinOneBootUsesMonotonicClock) {
  const ClockReading earlier{5000, "boot", 1000};
  EXPECT_EQ(elapsed_between(earlier, {5000, "boot", 4000}), 3 * kSecond);
  // The wall clock was set back or forward in between.
  EXPECT_EQ(elapsed_between(earlier, {1, "boot", 4000}), 3 * kSecond);
  EXPECT_EQ(elapsed_between(earlier, {900000, "boot", 4000}), 3 * kSecond);
  EXPECT_FALSE(elapsed_between(earlier, {5000, "boot", 999}));
}

TEST(RecoveryClock, AcrossBootUsesPlausibleWallClock) {
  const ClockReading earlier{100000, "before", 70000};
  EXPECT_EQ(elapsed_between(earlier, {160000, "after", 20000}), 60 * kSecond);
  EXPECT_EQ(elapsed_between(earlier, {120000, "after", 20000}), 20 * kSecond);
  // The uptime exceeds the time by the wall clock, which was set back.
  EXPECT_FALSE(elapsed_between(earlier, {119999, "after", 20000}));
  EXPECT_FALSE(elapsed_between(earlier, {99999, "after", 0}));
}

TEST(RecoveryClock, EmptyBootIdUsesWallClock) {
  EXPECT_EQ(elapsed_between({1000, "", 500}, {3000, "", 900}), 2 * kSecond);
  EXPECT_FALSE(elapsed_between({1000, "", 500}, {500, "", 100}));
}

// --- Learned state ---

TEST(RecoveryLearned, UnknownOrExcessiveAgeIsUnusable) {
  const LearnedSettings settings{.max_age = 10 * kSecond};
  EXPECT_TRUE(is_usable(10 * kSecond, settings));
  EXPECT_FALSE(is_usable(10 * kSecond + 1, settings));
  EXPECT_FALSE(is_usable(std::nullopt, settings));
}

TEST(RecoveryLearned, SpeedsDecayTowardsMeanWithAge) {
  const LearnedSettings settings{.decay_time = 100 * kSecond};
  EXPECT_DOUBLE_EQ(decayed_speed(4, 1, 0, settings), 4);
  const double after_half_decay_time = decayed_speed(4, 1, 50 * kSecond, settings),
               after_nine_decay_times = decayed_speed(4, 1, 900 * kSecond, settings);
  EXPECT_GT(after_half_decay_time, 2);
  EXPECT_LT(after_half_decay_time, 4);
  EXPECT_NEAR(after_nine_decay_times, 1, 0.001);
  EXPECT_NEAR(decayed_speed(0.25, 1, 900 * kSecond, settings), 1, 0.001);
  EXPECT_EQ(decayed_speed(0, 1, kSecond, settings), 0);  // unknown
}

// --- Executor lists ---

struct RecoveryMembership : testing::Test {
  RecoveryMembership() {
    guard.restore("d:1", 41);
    guard.call_started("d:1");
  }
  ListVerdict evaluate_list(std::uint64_t generation, bool is_snapshot = true, std::size_t members = 8,
                            bool is_late = false) {
    return guard.evaluate(now, {generation, is_snapshot, members}, held_members, is_late);
  }
  MembershipGuard guard{{.short_list_hold = 15 * kSecond, .short_list_share = 0.5}};
  std::size_t held_members = 8;
  Time now = kNow;
};

TEST_F(RecoveryMembership, HigherOrEqualGenerationIsApplied) {
  EXPECT_EQ(evaluate_list(41), ListVerdict::kApply);
  EXPECT_EQ(evaluate_list(42, false, 1), ListVerdict::kApply);
}

TEST_F(RecoveryMembership, LowerGenerationIsRefusedWithinIncarnation) {
  EXPECT_EQ(evaluate_list(41), ListVerdict::kApply);
  EXPECT_EQ(evaluate_list(40), ListVerdict::kRefuse);
  EXPECT_EQ(evaluate_list(40), ListVerdict::kRefuse);
  EXPECT_EQ(guard.incarnations_begun(), 0);
}

TEST_F(RecoveryMembership, LowerGenerationOnTwoCallsBeginsIncarnation) {
  EXPECT_EQ(evaluate_list(1), ListVerdict::kConfirm);
  guard.call_started("d:1");
  EXPECT_EQ(evaluate_list(1), ListVerdict::kApply);
  EXPECT_EQ(guard.incarnations_begun(), 1);
  EXPECT_EQ(evaluate_list(2, false, 1), ListVerdict::kApply);
  EXPECT_EQ(evaluate_list(1), ListVerdict::kRefuse);
}

TEST_F(RecoveryMembership, ConfirmationMustNotHaveLowerGeneration) {
  EXPECT_EQ(evaluate_list(3), ListVerdict::kConfirm);
  guard.call_started("d:1");
  EXPECT_EQ(evaluate_list(2), ListVerdict::kConfirm);  // discovery lost its state again
  guard.call_started("d:1");
  EXPECT_EQ(evaluate_list(5), ListVerdict::kApply);
  EXPECT_EQ(guard.incarnations_begun(), 1);
}

TEST_F(RecoveryMembership, SameCallDoesNotConfirmIncarnation) {
  EXPECT_EQ(evaluate_list(1), ListVerdict::kConfirm);
  EXPECT_EQ(evaluate_list(1), ListVerdict::kConfirm);
  EXPECT_EQ(guard.incarnations_begun(), 0);
}

TEST_F(RecoveryMembership, DeltasDoNotBeginIncarnation) {
  EXPECT_EQ(evaluate_list(1, false), ListVerdict::kRefuse);
  guard.call_started("d:1");
  EXPECT_EQ(evaluate_list(1, false), ListVerdict::kRefuse);
}

TEST_F(RecoveryMembership, OtherAddressDoesNotBeginIncarnation) {
  guard.call_started("d:2");
  EXPECT_EQ(evaluate_list(1), ListVerdict::kRefuse);
  guard.call_started("d:2");
  EXPECT_EQ(evaluate_list(1), ListVerdict::kRefuse);
  EXPECT_EQ(evaluate_list(42), ListVerdict::kApply);  // continues the held generations
}

TEST_F(RecoveryMembership, OldIncarnationAnswerDiscardsCandidate) {
  EXPECT_EQ(evaluate_list(1), ListVerdict::kConfirm);
  guard.call_started("d:1");
  EXPECT_EQ(evaluate_list(42), ListVerdict::kApply);
  guard.call_started("d:1");
  EXPECT_EQ(evaluate_list(1), ListVerdict::kConfirm);  // the first snapshot again
}

TEST_F(RecoveryMembership, LateAnswerAppliesOnlyDrains) {
  EXPECT_EQ(evaluate_list(1), ListVerdict::kConfirm);
  guard.call_started("d:1");
  EXPECT_EQ(evaluate_list(1, true, 8, true), ListVerdict::kDrainsOnly);
  EXPECT_EQ(evaluate_list(45, true, 8, true), ListVerdict::kDrainsOnly);
  EXPECT_EQ(evaluate_list(1), ListVerdict::kApply);
  // A late answer of the old incarnation, after the first list of the new one.
  EXPECT_EQ(evaluate_list(45, true, 8, true), ListVerdict::kDrainsOnly);
  EXPECT_EQ(evaluate_list(2), ListVerdict::kApply);
}

TEST_F(RecoveryMembership, ShortListRemovesNoneDuringHold) {
  EXPECT_EQ(evaluate_list(42, true, 0), ListVerdict::kApplyWithoutRemovals);
  ASSERT_TRUE(guard.hold_until());
  EXPECT_EQ(*guard.hold_until(), kNow + 15 * kSecond);
  now += 10 * kSecond;
  EXPECT_EQ(evaluate_list(43, true, 3), ListVerdict::kApplyWithoutRemovals);
  EXPECT_EQ(*guard.hold_until(), kNow + 15 * kSecond);  // counted from the first short list
  now += 5 * kSecond;
  EXPECT_EQ(evaluate_list(44, true, 3), ListVerdict::kApply);
  EXPECT_FALSE(guard.hold_until());
}

TEST_F(RecoveryMembership, RefilledListEndsHold) {
  EXPECT_EQ(evaluate_list(42, true, 0), ListVerdict::kApplyWithoutRemovals);
  held_members = 9;  // the members kept by the hold and one new member
  EXPECT_EQ(evaluate_list(43, true, 4), ListVerdict::kApply);
  EXPECT_FALSE(guard.hold_until());
}

TEST_F(RecoveryMembership, HalfListAndDeltasAreNotShort) {
  EXPECT_EQ(evaluate_list(42, true, 4), ListVerdict::kApply);
  EXPECT_EQ(evaluate_list(43, false, 0), ListVerdict::kApply);
  held_members = 0;
  EXPECT_EQ(evaluate_list(44, true, 0), ListVerdict::kApply);
}

TEST_F(RecoveryMembership, EmptyListOfNewIncarnationRemovesNone) {
  EXPECT_EQ(evaluate_list(1, true, 0), ListVerdict::kConfirm);
  guard.call_started("d:1");
  EXPECT_EQ(evaluate_list(1, true, 0), ListVerdict::kApplyWithoutRemovals);
  EXPECT_EQ(evaluate_list(2, true, 8), ListVerdict::kApply);
}

// --- Attempt log ---

AttemptRecord record(std::uint64_t attempt, const std::string& key, Time sent_at = kNow,
                     std::uint64_t run = 1) {
  AttemptRecord record;
  record.number = {run, attempt};
  record.request_id = "r" + std::to_string(attempt);
  record.idempotency_key = key;
  record.effect = key.empty() ? Effect::kAtMostOnce : Effect::kIdempotentByKey;
  record.sent_at = sent_at;
  record.idempotency_window = key.empty() ? 0 : 25 * kSecond;
  return record;
}

struct RecoveryAttempts : testing::Test {
  AttemptLog log{{.keep_after_window = 60 * kSecond, .max_records = 4}};
};

TEST_F(RecoveryAttempts, EarliestAttemptThatMayHaveRunIsFound) {
  EXPECT_EQ(log.earliest_attempt("k"), nullptr);
  ASSERT_TRUE(log.add(record(1, "k", kNow + 5)));
  ASSERT_TRUE(log.add(record(2, "k", kNow)));
  ASSERT_TRUE(log.add(record(3, "other", kNow - 5)));
  EXPECT_EQ(log.earliest_attempt("k")->number.attempt, 2u);
  EXPECT_EQ(log.attempt_ended({1, 2}, AttemptEnd::kNeverRan), AttemptLog::Change::kForget);
  EXPECT_EQ(log.earliest_attempt("k")->number.attempt, 1u);
}

// The answer of an attempt may be lost on the way to the client, which then repeats the request.
TEST_F(RecoveryAttempts, AnsweredAttemptWithKeyIsKept) {
  log.add(record(1, "k"));
  EXPECT_EQ(log.in_doubt(), 1u);
  EXPECT_EQ(log.attempt_ended({1, 1}, AttemptEnd::kAnswered), AttemptLog::Change::kMarkEnded);
  EXPECT_EQ(log.in_doubt(), 0u);
  EXPECT_NE(log.earliest_attempt("k"), nullptr);
}

TEST_F(RecoveryAttempts, AttemptThatMayHaveRunStaysInDoubt) {
  log.add(record(1, "k"));
  EXPECT_EQ(log.attempt_ended({1, 1}, AttemptEnd::kMayHaveRun), AttemptLog::Change::kNone);
  EXPECT_EQ(log.in_doubt(), 1u);
  EXPECT_EQ(log.attempt_ended({7, 1}, AttemptEnd::kAnswered), AttemptLog::Change::kNone);  // unknown attempt
}

TEST_F(RecoveryAttempts, AttemptWithoutKeyIsListedUntilAnswered) {
  log.add(record(1, ""));
  log.add(record(2, "", kNow - 1));
  log.add(record(3, "k"));
  ASSERT_EQ(log.in_doubt_without_key().size(), 2u);
  EXPECT_EQ(log.in_doubt_without_key()[0]->request_id, "r2");
  EXPECT_EQ(log.earliest_attempt(""), nullptr);
  EXPECT_EQ(log.attempt_ended({1, 1}, AttemptEnd::kAnswered), AttemptLog::Change::kForget);
  EXPECT_EQ(log.in_doubt_without_key().size(), 1u);
}

TEST_F(RecoveryAttempts, RecordsExpireAfterWindow) {
  log.add(record(1, "k"));
  log.add(record(2, ""));
  EXPECT_TRUE(log.expire(kNow + 60 * kSecond - 1).empty());
  EXPECT_EQ(log.expire(kNow + 60 * kSecond), (std::vector<AttemptNumber>{{1, 2}}));
  EXPECT_TRUE(log.expire(kNow + 85 * kSecond - 1).empty());
  EXPECT_EQ(log.expire(kNow + 85 * kSecond), (std::vector<AttemptNumber>{{1, 1}}));
  EXPECT_EQ(log.earliest_attempt("k"), nullptr);
  EXPECT_EQ(log.size(), 0u);
}

TEST_F(RecoveryAttempts, RecordLimitKeepsLatest) {
  std::vector<AttemptRecord> records;
  for (std::uint64_t i = 1; i <= 6; ++i)
    records.push_back(record(i, "k" + std::to_string(i), kNow - static_cast<Time>(i)));
  log.restore(records);
  EXPECT_EQ(log.size(), 4u);
  EXPECT_NE(log.earliest_attempt("k1"), nullptr);
  EXPECT_EQ(log.earliest_attempt("k6"), nullptr);
  EXPECT_FALSE(log.add(record(9, "k9", kNow, 2)));
}

TEST_F(RecoveryAttempts, AttemptNumbersOfTwoRunsAreDistinct) {
  ASSERT_TRUE(log.add(record(1, "k", kNow, 1)));
  ASSERT_TRUE(log.add(record(1, "k", kNow + 1, 2)));
  EXPECT_FALSE(log.add(record(1, "k", kNow + 2, 2)));
  EXPECT_EQ(log.attempt_ended({1, 1}, AttemptEnd::kNeverRan), AttemptLog::Change::kForget);
  EXPECT_EQ(log.earliest_attempt("k")->number.run, 2u);
}

TEST_F(RecoveryAttempts, PeersReceiveOwnEarlierRunsOnly) {
  log.add(record(1, "earlier", kNow, 1));
  log.add(record(2, "later", kNow + 1, 1));
  log.add(record(1, "now", kNow, 2));
  AttemptRecord peers = record(9, "peers", kNow, 1);
  peers.from_peer = true;
  log.add(peers);
  const auto earlier_runs_in_doubt = log.earlier_runs_in_doubt(2, 10);
  ASSERT_EQ(earlier_runs_in_doubt.size(), 2u);
  EXPECT_EQ(earlier_runs_in_doubt[0]->idempotency_key, "later");
  EXPECT_EQ(log.earlier_runs_in_doubt(2, 1).size(), 1u);
  log.attempt_ended({1, 1}, AttemptEnd::kAnswered);
  EXPECT_EQ(log.earlier_runs_in_doubt(2, 10).size(), 1u);
}

// --- Peers ---

struct RecoveryPeers : testing::Test {
  static PeerSettings settings() {
    PeerSettings settings;
    settings.nodes = {{"n1", "a:1"}, {"n2", "a:2"}, {"n3", "a:3"}};
    return settings;
  }
  void receive_answer(std::size_t peer, std::uint64_t generation, std::uint64_t digest,
                      std::size_t members = 8) {
    const std::string name = "n" + std::to_string(peer + 1);
    EXPECT_EQ(evidence.record_answer(peer, {name, generation, digest, members}),
              PeerEvidence::Verdict::kAccepted);
  }
  PeerEvidence evidence{settings(), kNow};
};

TEST_F(RecoveryPeers, SettledAfterAllAnswersOrTimeout) {
  EXPECT_FALSE(evidence.is_settled(kNow));
  receive_answer(0, 1, 1);
  receive_answer(1, 1, 1);
  EXPECT_FALSE(evidence.is_settled(kNow + 2 * kSecond - 1));
  EXPECT_TRUE(evidence.is_settled(kNow + 2 * kSecond));
  receive_answer(2, 1, 1);
  EXPECT_TRUE(evidence.is_settled(kNow));
  evidence.record_failure(2);  // it has answered before
  EXPECT_TRUE(evidence.is_settled(kNow));
}

TEST_F(RecoveryPeers, AnswerUnderWrongNameIsRejected) {
  EXPECT_EQ(evidence.record_answer(0, {"n2", 9, 9, 9}), PeerEvidence::Verdict::kWrongName);
  EXPECT_FALSE(evidence.best_list_source());
}

TEST_F(RecoveryPeers, MostCommonThenNewestListIsPreferred) {
  EXPECT_FALSE(evidence.best_list_source());
  receive_answer(0, UINT64_MAX, 7);
  EXPECT_EQ(evidence.best_list_source(), 0u);
  receive_answer(1, 41, 5);
  receive_answer(2, 41, 5);
  EXPECT_EQ(evidence.best_list_source(), 1u);
  evidence.list_received(1);
  EXPECT_EQ(evidence.best_list_source(), 0u);
  evidence.list_received(0);
  EXPECT_FALSE(evidence.best_list_source());
  receive_answer(2, 42, 6);  // the peer has a new list
  EXPECT_EQ(evidence.best_list_source(), 2u);
}

TEST_F(RecoveryPeers, EmptyOrFailedPeerIsNoListSource) {
  receive_answer(0, 41, 1, 0);
  receive_answer(1, 41, 2);
  evidence.record_failure(1);
  EXPECT_FALSE(evidence.best_list_source());
}

}  // namespace
}  // namespace canvasstage::recovery
