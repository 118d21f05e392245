// Tests of recovery in the node, without sockets or a disk: executor lists, attempts in doubt, learned state
// and peers.
#include <gtest/gtest.h>

#include "helpers.h"

namespace canvasstage {
namespace {

constexpr int kKeyed = 1, kAtMostOnce = 2;  // use cases of small_settings()

recovery::NodeRecovery recovery_parts(const std::string& node, std::function<void(const std::string&)> log) {
  return {.membership = recovery::MembershipGuard({}),
          .learned = {},
          .attempts = {},
          .store = nullptr,
          .run = 1,
          .log = std::move(log),
          .node = node,
          .peers = {},
          .peer_answers = nullptr};
}

// Records the calls to the store.
struct RecordingStore : recovery::Store {
  bool accepts_attempts() const override { return accepts; }
  void append(const recovery::AttemptRecord& record, std::function<void(recovery::RecordOutcome)>) override {
    appended.push_back(record);
  }
  void forget(const std::vector<recovery::AttemptNumber>& attempts) override {
    forgotten.insert(forgotten.end(), attempts.begin(), attempts.end());
  }
  void mark_ended(const recovery::AttemptNumber& attempt) override { ended.push_back(attempt); }
  void save(recovery::StoredList list) override { lists.push_back(std::move(list)); }
  void save(recovery::StoredLearned state) override { learned.push_back(std::move(state)); }
  std::vector<recovery::AttemptRecord> appended;
  std::vector<recovery::AttemptNumber> forgotten, ended;
  std::vector<recovery::StoredList> lists;
  std::vector<recovery::StoredLearned> learned;
  bool accepts = true;
};

struct NodeRecoveryTest : testing::Test {
  NodeRecoveryTest() {
    parts.attempts.emplace(recovery::AttemptLogSettings{});
    parts.store = &store;
    parts.run = 2;
    core.node.use_recovery(parts);
  }
  void arrive(Id client, int use_case, const std::string& key, Time now = kNow) {
    core.node.client_opened(now, client);
    core.node.request_arrived(now, client, "id" + std::to_string(client), use_case, now + 5 * kSecond, 0, 1,
                              nullptr, 0, key);
  }
  // Returns the record of an attempt of an earlier run, with an unknown outcome, on an executor of `core`.
  recovery::AttemptRecord record_in_doubt(const std::string& key, int executor, Time sent_at = kNow) {
    recovery::AttemptRecord record;
    record.number = {1, 1};
    record.idempotency_key = key;
    record.use_case = "phase-run";
    record.executor = "s-" + std::to_string(executor);
    record.zone = executor % 2 == 0 ? "a" : "b";
    record.cell = executor;
    record.sent_at = sent_at;
    record.idempotency_window = window();
    return record;
  }
  Time window() const { return small_settings().use_cases[kKeyed].idempotency_window; }
  const FakeEffects::StartedAttempt& last_attempt() const { return core.effects.attempts.back(); }
  RecordingStore store;
  std::vector<std::string> log_lines;
  recovery::NodeRecovery parts =
      recovery_parts("n0", [this](const std::string& line) { log_lines.push_back(line); });
  Core core{4};
};

TEST_F(NodeRecoveryTest, OnlyNonIdempotentAttemptsAreRecorded) {
  arrive(1, 0, "");
  EXPECT_EQ(last_attempt().record, nullptr);
  arrive(2, kKeyed, "key");
  ASSERT_NE(last_attempt().record, nullptr);
  EXPECT_EQ(last_attempt().record->idempotency_key, "key");
  EXPECT_EQ(last_attempt().record->number, (recovery::AttemptNumber{2, last_attempt().id}));
  EXPECT_EQ(last_attempt().record->idempotency_window, window());
  arrive(3, kAtMostOnce, "");
  ASSERT_NE(last_attempt().record, nullptr);
  EXPECT_EQ(last_attempt().record->idempotency_key, "");
  EXPECT_EQ(last_attempt().record->request_id, "id3");
}

TEST_F(NodeRecoveryTest, WithoutRecoveryNothingIsRecorded) {
  Core without_recovery(4);
  without_recovery.arrive(1, kKeyed);
  EXPECT_EQ(without_recovery.effects.attempts.back().record, nullptr);
}

// The store must forget the record of an attempt that never ran, and mark that of an answered attempt as
// ended.
TEST_F(NodeRecoveryTest, RecordIsForgottenOrMarkedAtEnd) {
  arrive(1, kKeyed, "key");
  const Id first = last_attempt().id;
  core.end(first, Outcome::kRejected, kNow + 10);
  EXPECT_EQ(store.forgotten, (std::vector<recovery::AttemptNumber>{{2, first}}));
  const Id second = last_attempt().id;
  ASSERT_NE(second, first);
  core.end(second, Outcome::kSucceeded, kNow + 20);
  EXPECT_EQ(store.ended, (std::vector<recovery::AttemptNumber>{{2, second}}));
}

TEST_F(NodeRecoveryTest, RepeatStaysInScopeOfFirstAttempt) {
  for (int executor = 0; executor < 4; ++executor) {
    parts.attempts.emplace(recovery::AttemptLogSettings{});
    parts.attempts->restore({record_in_doubt("key", executor)});
    const std::size_t attempts_before = core.effects.attempts.size();
    arrive(static_cast<Id>(10 + executor), kKeyed, "key", kNow + kSecond);
    ASSERT_EQ(core.effects.attempts.size(), attempts_before + 1);
    const std::string address = last_attempt().address;
    const int target = address.back() - '0';
    EXPECT_EQ(target % 2, executor % 2) << address;  // the zone of the attempt in doubt
    EXPECT_LE(last_attempt().write_by, kNow + window());
    core.end(last_attempt().id, Outcome::kSucceeded, kNow + kSecond + 10);
  }
}

// Guards against an effect that happens twice: an attempt that was sent without a record would not restrict a
// repeat of its request after a kill.
TEST_F(NodeRecoveryTest, KeyIsShedWhileStoreRejectsRecords) {
  store.accepts = false;
  arrive(1, kKeyed, "key");
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{1}, Answer::kShed));
  EXPECT_TRUE(core.effects.attempts.empty());
  arrive(2, 0, "");
  EXPECT_EQ(core.effects.attempts.size(), 1u);
  store.accepts = true;
  arrive(3, kKeyed, "key");
  EXPECT_EQ(core.effects.attempts.size(), 2u);
}

TEST_F(NodeRecoveryTest, OtherKeyIsNotRestricted) {
  parts.attempts->restore({record_in_doubt("key", 0, kNow - window())});
  arrive(1, kKeyed, "other");
  EXPECT_EQ(core.effects.attempts.size(), 1u);
  EXPECT_TRUE(core.effects.answers.empty());
}

TEST_F(NodeRecoveryTest, RepeatOutsideWindowFailsAtOnce) {
  parts.attempts->restore({record_in_doubt("key", 0, kNow - window())});
  arrive(1, kKeyed, "key");
  EXPECT_TRUE(core.effects.attempts.empty());
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0].second, Answer::kFailed);
  // The index of the request is reused.
  arrive(2, kKeyed, "fresh");
  EXPECT_EQ(core.effects.attempts.size(), 1u);
}

// No executor would recognise the repeat: that of the first attempt is unknown, or has moved to another zone.
TEST_F(NodeRecoveryTest, RepeatWithoutExecutorInScopeFailsAtOnce) {
  recovery::AttemptRecord elsewhere = record_in_doubt("key", 9);
  elsewhere.zone = "c";
  elsewhere.cell = 99;
  recovery::AttemptRecord moved = record_in_doubt("moved", 0);
  moved.number = {1, 2};
  moved.zone = "b";
  parts.attempts->restore({elsewhere, moved});
  arrive(1, kKeyed, "key");
  arrive(2, kKeyed, "moved");
  EXPECT_TRUE(core.effects.attempts.empty());
  ASSERT_EQ(core.effects.answers.size(), 2u);
  EXPECT_EQ(core.effects.answers[0].second, Answer::kFailed);
  EXPECT_EQ(core.effects.answers[1].second, Answer::kFailed);
}

TEST_F(NodeRecoveryTest, RepeatWithinSameRunStaysInScope) {
  arrive(1, kKeyed, "key");
  const std::string address = last_attempt().address;
  core.node.client_closed(kNow + 5, 1);
  core.end(last_attempt().id, Outcome::kCancelled, kNow + 10);
  arrive(2, kKeyed, "key", kNow + 20);
  EXPECT_EQ((last_attempt().address.back() - address.back()) % 2, 0);  // one zone
}

TEST_F(NodeRecoveryTest, FullLogSendsUnrecordedAttemptAndLogs) {
  parts.attempts.emplace(recovery::AttemptLogSettings{.max_records = 1});
  arrive(1, kKeyed, "a");
  EXPECT_NE(last_attempt().record, nullptr);
  arrive(2, kKeyed, "b");
  EXPECT_EQ(last_attempt().record, nullptr);
  ASSERT_EQ(log_lines.size(), 1u);
  EXPECT_NE(log_lines[0].find("full"), std::string::npos);
}

TEST_F(NodeRecoveryTest, ChangedListIsSavedOnceInDiscoveryFormat) {
  core.list_executor(2, Lifecycle::kDraining);
  core.list_executor(3, Lifecycle::kRemoved);
  core.node.membership_received(kNow, MembershipUpdate::kDelta, 7);
  core.run_until(kNow + kSecond / 2);
  ASSERT_EQ(store.lists.size(), 1u);
  EXPECT_EQ(store.lists[0].generation, 7u);
  EXPECT_EQ(store.lists[0].discovery, "discovery:1");
  rapidjson::Document list;
  list.Parse(store.lists[0].content.c_str());
  ASSERT_TRUE(list.IsObject()) << store.lists[0].content;
  ASSERT_EQ(list["instances"].Size(), 3u);
  EXPECT_STREQ(list["instances"][2]["instanceId"].GetString(), "s-2");
  EXPECT_STREQ(list["instances"][2]["lifecycle"].GetString(), "leaving");
  core.run_until(kNow + 3 * kSecond);
  EXPECT_EQ(store.lists.size(), 1u);  // the list is unchanged
  EXPECT_EQ(store.learned.size(), 1u);
  core.run_until(kNow + 6 * kSecond);
  EXPECT_EQ(store.learned.size(), 2u);
}

TEST_F(NodeRecoveryTest, ShortListRemovesMembersAfterHold) {
  parts.membership.call_started("discovery:1");
  const auto verdict = core.node.check_list(kNow, {5, true, 1}, false);
  ASSERT_EQ(verdict, recovery::ListVerdict::kApplyWithoutRemovals);
  core.node.defer_removals();
  core.list_executor(0, Lifecycle::kActive);
  core.node.membership_received(kNow, MembershipUpdate::kDelta, 5);
  const auto lifecycle = [&](int executor) { return core.node.policy().executors[executor].lifecycle; };
  core.run_until(kNow + 14 * kSecond);
  EXPECT_EQ(lifecycle(1), Lifecycle::kActive);
  core.run_until(kNow + 16 * kSecond);
  EXPECT_EQ(lifecycle(0), Lifecycle::kActive);
  for (const int removed : {1, 2, 3}) EXPECT_EQ(lifecycle(removed), Lifecycle::kRemoved) << removed;
}

TEST_F(NodeRecoveryTest, LearnedSpeedsDecayAndRestartClearsThem) {
  // Executor 0 takes four times as long as executor 1; nothing is known of the others.
  rapidjson::Document knowledge;
  knowledge.Parse(core.node.encode_knowledge(kNow).c_str());
  for (const auto& [executor, latency] : {std::pair(0u, 4.0), {1u, 1.0}}) {
    knowledge["executors"][executor]["work"].SetDouble(1);
    knowledge["executors"][executor]["latency"].SetDouble(latency);
  }
  const auto speed = [](const Core& one, int executor) {
    return one.node.policy().speed(one.node.policy().executors[executor]);
  };
  const double speed_ratio = 4;
  Core fresh(4), decayed(4);
  recovery::NodeRecovery empty_recovery = recovery_parts("n0", [](const std::string&) {});
  fresh.node.use_recovery(empty_recovery);
  decayed.node.use_recovery(empty_recovery);
  fresh.node.restore_learned(kNow, knowledge, 0);
  EXPECT_NEAR(speed(fresh, 1) / speed(fresh, 0), speed_ratio, 0.01 * speed_ratio);
  decayed.node.restore_learned(kNow, knowledge, empty_recovery.learned.decay_time);
  const double decayed_ratio = speed(decayed, 1) / speed(decayed, 0);
  EXPECT_GT(decayed_ratio, 1);
  EXPECT_LT(decayed_ratio, 0.8 * speed_ratio);
  // Nothing learned is kept for an executor that has restarted since.
  fresh.node.executor_listed(kNow, "s-0", "host:0", "a", "m", 0, Lifecycle::kActive, kNow - 1);
  EXPECT_EQ(fresh.node.policy().executors[0].mean_latency, 0);
  EXPECT_GT(fresh.node.policy().executors[1].mean_latency, 0);
}

// --- Peers ---

// Two nodes; `other` queries `core` as its peer.
struct NodePeersTest : NodeRecoveryTest {
  NodePeersTest() {
    recovery::PeerSettings settings;
    settings.nodes = {{"n0", "a:1"}};
    other_recovery.peers.emplace(settings, kNow);
    other_recovery.attempts.emplace(recovery::AttemptLogSettings{});
    other.node.use_recovery(other_recovery);
  }
  static rapidjson::Document parse(const std::string& text) {
    rapidjson::Document document;
    document.Parse(text.c_str());
    return document;
  }
  recovery::NodeRecovery other_recovery =
      recovery_parts("n1", [this](const std::string& line) { log_lines.push_back(line); });
  Core other{0};
};

TEST_F(NodePeersTest, PeerAttemptInDoubtIsAddedOnce) {
  parts.attempts->restore({record_in_doubt("key", 1, kNow - kSecond)});
  other.node.peer_answered(kNow, 0, parse(core.node.encode_peer_summary(kNow)));
  const recovery::AttemptRecord* const record = other_recovery.attempts->earliest_attempt("key");
  ASSERT_NE(record, nullptr);
  EXPECT_TRUE(record->from_peer);
  EXPECT_EQ(record->executor, "s-1");
  EXPECT_EQ(record->zone, "b");
  EXPECT_EQ(record->idempotency_window, window());
  EXPECT_LE(record->sent_at, kNow - kSecond);  // its age includes the longest delay of the answer
  EXPECT_GE(record->sent_at, kNow - 3 * kSecond);
  // A second answer does not add the attempt again.
  other.node.peer_answered(kNow + kSecond, 0, parse(core.node.encode_peer_summary(kNow + kSecond)));
  EXPECT_EQ(other_recovery.attempts->size(), 1u);
}

// `restarted` is a node that has executors and no answer of its peer yet.
struct NodeBeforePeersTest : NodePeersTest {
  NodeBeforePeersTest() { restarted.node.use_recovery(other_recovery); }
  void arrive_at_restarted(Id client, int use_case, const std::string& key, Time now) {
    restarted.node.client_opened(now, client);
    restarted.node.request_arrived(now, client, "id" + std::to_string(client), use_case, now + 5 * kSecond, 0,
                                   1, nullptr, 0, key);
  }
  Core restarted{4};
};

// Guards against an effect that happens twice: the peer may know of an attempt with the same key in another
// zone or cell than this node would select.
TEST_F(NodeBeforePeersTest, KeyIsShedUntilPeerAnswers) {
  const Time just_before_window_end = kNow + window() - 1;
  arrive_at_restarted(1, kKeyed, "key", just_before_window_end);
  ASSERT_EQ(restarted.effects.answers.size(), 1u);
  EXPECT_EQ(restarted.effects.answers[0], std::make_pair(Id{1}, Answer::kShed));
  EXPECT_TRUE(restarted.effects.attempts.empty());
  restarted.node.peer_answered(just_before_window_end, 0,
                               parse(core.node.encode_peer_summary(just_before_window_end)));
  arrive_at_restarted(2, kKeyed, "key", just_before_window_end);
  EXPECT_EQ(restarted.effects.attempts.size(), 1u);
}

TEST_F(NodeBeforePeersTest, KeyIsServedAfterEarlierWindowsClose) {
  arrive_at_restarted(1, kKeyed, "late", kNow + window());
  EXPECT_EQ(restarted.effects.attempts.size(), 1u);
}

TEST_F(NodeBeforePeersTest, IdempotentRequestIsServedAtOnce) {
  arrive_at_restarted(1, 0, "", kNow);
  EXPECT_EQ(restarted.effects.attempts.size(), 1u);
}

TEST_F(NodePeersTest, InvalidPeerAnswerIsRejectedWhole) {
  parts.attempts->restore({record_in_doubt("key", 1)});
  const std::string valid = core.node.encode_peer_summary(kNow);
  const std::pair<std::string, std::string> replacements[] = {
      {R"("node":"n0")", R"("node":"n7")"},         {R"("node":"n0")", R"("node":7)"},
      {R"("inDoubt":[)", R"("inDoubt":[7,)"},       {R"("ageMs":0)", R"("ageMs":-1)"},
      {R"("ageMs":0)", R"("ageMs":1e300)"},         {R"("key":"key")", R"("key":"")"},
      {R"("windowMs":10000)", R"("windowMs":"x")"}, {R"("cell":1)", R"("cell":1e20)"}};
  for (const auto& [old_text, new_text] : replacements) {
    std::string invalid = valid;
    const std::size_t at = invalid.find(old_text);
    ASSERT_NE(at, std::string::npos) << old_text << " in " << valid;
    invalid.replace(at, old_text.size(), new_text);
    EXPECT_THROW(other.node.peer_answered(kNow, 0, parse(invalid)), BadInput) << invalid;
  }
  EXPECT_THROW(other.node.peer_answered(kNow, 0, parse("[]")), BadInput);
  EXPECT_EQ(other_recovery.attempts->size(), 0u);
}

TEST_F(NodePeersTest, PeerListAddsOnlyUnknownExecutors) {
  const auto lifecycle = [&](int executor) { return other.node.policy().executors[executor].lifecycle; };
  other.list_executor(0, Lifecycle::kActive);
  rapidjson::Document list = parse(core.node.encode_membership());
  list["instances"][0]["lifecycle"].SetString("leaving");
  list["instances"][3]["lifecycle"].SetString("leaving");
  recovery::NodeRecovery node_recovery = recovery_parts("n2", [](const std::string&) {});
  node_recovery.peers.emplace(other_recovery.peers->settings(), kNow);
  FakeEffects effects;
  canvasstage::Node node(small_settings(), Core::terms(), Platform{1024, false, 1}, 1, effects, kNow, "d:1");
  node.use_recovery(node_recovery);
  node.executor_listed(kNow, "s-0", "host:0", "a", "m", 0, Lifecycle::kActive, 0);
  node.peer_list_received(kNow, 0, list);
  EXPECT_FALSE(effects.listening);  // the answer about attempts in doubt is still missing
  node.peer_answered(kNow, 0, parse(core.node.encode_peer_summary(kNow)));
  ASSERT_EQ(node.policy().executors.size(), 3u);  // a leaving executor is not added
  for (int i = 0; i < 3; ++i) EXPECT_EQ(node.policy().executors[i].lifecycle, Lifecycle::kActive) << i;
  EXPECT_TRUE(effects.listening);
  // After a list from discovery a peer's list changes nothing.
  other.node.peer_list_received(kNow, 0, list);
  EXPECT_EQ(other.node.policy().executors.size(), 1u);
  EXPECT_EQ(lifecycle(0), Lifecycle::kActive);
}

}  // namespace
}  // namespace canvasstage
