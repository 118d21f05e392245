// The node that obeys recovery: lists, attempts in doubt and what was learned, without sockets or a disk.
#include <gtest/gtest.h>

#include "helpers.h"

namespace canvasstage {
namespace {

constexpr int kKeyed = 1, kSingleUse = 2;  // use cases of the small settings

recovery::NodeRecovery recovery_parts(const std::string& node, std::function<void(const std::string&)> note) {
  return {.membership = recovery::MembershipGuard({}),
          .learned = {},
          .attempts = {},
          .store = nullptr,
          .run = 1,
          .log = std::move(note),
          .node = node,
          .peers = {},
          .peer_answers = nullptr};
}

// Keeps what it is told to write.
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
  void save(recovery::StoredLearned kept) override { learned.push_back(std::move(kept)); }
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
  // One of an earlier run that nobody knows the end of, at an executor of the small fleet.
  recovery::AttemptRecord in_doubt(const std::string& key, int executor, Time sent = kNow) {
    recovery::AttemptRecord record;
    record.number = {1, 1};
    record.idempotency_key = key;
    record.use_case = "phase-run";
    record.executor = "s-" + std::to_string(executor);
    record.zone = executor % 2 == 0 ? "a" : "b";
    record.cell = executor;
    record.sent_at = sent;
    record.idempotency_window = window();
    return record;
  }
  Time window() const { return small_settings().use_cases[kKeyed].idempotency_window; }
  const FakeEffects::Launched& last() const { return core.effects.launches.back(); }
  RecordingStore store;
  std::vector<std::string> notes;
  recovery::NodeRecovery parts =
      recovery_parts("n0", [this](const std::string& line) { notes.push_back(line); });
  Core core{4};
};

TEST_F(NodeRecoveryTest, OnlyAttemptsThatMustNotTakeEffectTwiceHaveARecord) {
  arrive(1, 0, "");
  EXPECT_EQ(last().record, nullptr);
  arrive(2, kKeyed, "key");
  ASSERT_NE(last().record, nullptr);
  EXPECT_EQ(last().record->idempotency_key, "key");
  EXPECT_EQ(last().record->number, (recovery::AttemptNumber{2, last().id}));
  EXPECT_EQ(last().record->idempotency_window, window());
  arrive(3, kSingleUse, "");
  ASSERT_NE(last().record, nullptr);
  EXPECT_EQ(last().record->idempotency_key, "");
  EXPECT_EQ(last().record->request_id, "id3");
}

TEST_F(NodeRecoveryTest, WithoutRecoveryNothingHasARecord) {
  Core plain(4);
  plain.arrive(1, kKeyed);
  EXPECT_EQ(plain.effects.launches.back().record, nullptr);
}

TEST_F(NodeRecoveryTest, ARecordGoesWhereTheAttemptNeverRanAndIsMarkedWhereItsClientWasAnswered) {
  arrive(1, kKeyed, "key");
  const Id first = last().id;
  core.end(first, Outcome::kRejected, kNow + 10);
  EXPECT_EQ(store.forgotten, (std::vector<recovery::AttemptNumber>{{2, first}}));
  const Id second = last().id;
  ASSERT_NE(second, first);
  core.end(second, Outcome::kSucceeded, kNow + 20);
  EXPECT_EQ(store.ended, (std::vector<recovery::AttemptNumber>{{2, second}}));
}

TEST_F(NodeRecoveryTest, ARepeatOfAnAttemptInDoubtGoesToItsGroupAlone) {
  for (int executor = 0; executor < 4; ++executor) {
    parts.attempts.emplace(recovery::AttemptLogSettings{});
    parts.attempts->restore({in_doubt("key", executor)});
    const std::size_t before = core.effects.launches.size();
    arrive(static_cast<Id>(10 + executor), kKeyed, "key", kNow + kSecond);
    ASSERT_EQ(core.effects.launches.size(), before + 1);
    const std::string address = last().address;
    const int to = address.back() - '0';
    EXPECT_EQ(to % 2, executor % 2) << address;  // its zone
    EXPECT_LE(last().write_by, kNow + window());
    core.end(last().id, Outcome::kSucceeded, kNow + kSecond + 10);
  }
}

// A repeat after a kill would not be bound.
TEST_F(NodeRecoveryTest, AKeyIsRefusedWhileNoRecordCanBeWritten) {
  store.accepts = false;
  arrive(1, kKeyed, "key");
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{1}, Answer::kShed));
  EXPECT_TRUE(core.effects.launches.empty());
  arrive(2, 0, "");
  EXPECT_EQ(core.effects.launches.size(), 1u);
  store.accepts = true;
  arrive(3, kKeyed, "key");
  EXPECT_EQ(core.effects.launches.size(), 2u);
}

TEST_F(NodeRecoveryTest, AnotherKeyIsNotBound) {
  parts.attempts->restore({in_doubt("key", 0, kNow - window())});
  arrive(1, kKeyed, "other");
  EXPECT_EQ(core.effects.launches.size(), 1u);
  EXPECT_TRUE(core.effects.answers.empty());
}

TEST_F(NodeRecoveryTest, OutsideTheWindowARepeatIsAnsweredAsFailedAtOnce) {
  parts.attempts->restore({in_doubt("key", 0, kNow - window())});
  arrive(1, kKeyed, "key");
  EXPECT_TRUE(core.effects.launches.empty());
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0].second, Answer::kFailed);
  // Its place can be used again.
  arrive(2, kKeyed, "fresh");
  EXPECT_EQ(core.effects.launches.size(), 1u);
}

TEST_F(NodeRecoveryTest, WhereNobodyWouldRecogniseItARepeatIsAnsweredAsFailedAtOnce) {
  recovery::AttemptRecord elsewhere = in_doubt("key", 9);
  elsewhere.zone = "c";
  elsewhere.cell = 99;
  recovery::AttemptRecord moved = in_doubt("moved", 0);
  moved.number = {1, 2};
  moved.zone = "b";
  parts.attempts->restore({elsewhere, moved});
  arrive(1, kKeyed, "key");
  arrive(2, kKeyed, "moved");
  EXPECT_TRUE(core.effects.launches.empty());
  ASSERT_EQ(core.effects.answers.size(), 2u);
  EXPECT_EQ(core.effects.answers[0].second, Answer::kFailed);
  EXPECT_EQ(core.effects.answers[1].second, Answer::kFailed);
}

TEST_F(NodeRecoveryTest, ARepeatWithinOneLifeIsBoundToo) {
  arrive(1, kKeyed, "key");
  const std::string address = last().address;
  core.node.client_closed(kNow + 5, 1);
  core.end(last().id, Outcome::kCancelled, kNow + 10);
  arrive(2, kKeyed, "key", kNow + 20);
  EXPECT_EQ((last().address.back() - address.back()) % 2, 0);  // one zone
}

TEST_F(NodeRecoveryTest, AFullLogLetsAttemptsGoWithALine) {
  parts.attempts.emplace(recovery::AttemptLogSettings{.max_records = 1});
  arrive(1, kKeyed, "a");
  EXPECT_NE(last().record, nullptr);
  arrive(2, kKeyed, "b");
  EXPECT_EQ(last().record, nullptr);
  ASSERT_EQ(notes.size(), 1u);
  EXPECT_NE(notes[0].find("full"), std::string::npos);
}

TEST_F(NodeRecoveryTest, TheListIsKeptOnceItHasChangedAndReadAsItWas) {
  core.list(2, Lifecycle::kDraining);
  core.list(3, Lifecycle::kRemoved);
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
  EXPECT_EQ(store.lists.size(), 1u);  // nothing has changed
  EXPECT_EQ(store.learned.size(), 1u);
  core.run_until(kNow + 6 * kSecond);
  EXPECT_EQ(store.learned.size(), 2u);
}

TEST_F(NodeRecoveryTest, MembersThatAShortListHoldsAreRemovedWhenItsHoldIsOver) {
  parts.membership.call_started("discovery:1");
  const auto verdict = core.node.check_list(kNow, {5, true, 1}, false);
  ASSERT_EQ(verdict, recovery::ListVerdict::kApplyWithoutRemovals);
  core.node.defer_removals();
  core.list(0, Lifecycle::kActive);
  core.node.membership_received(kNow, MembershipUpdate::kDelta, 5);
  const auto standing = [&](int executor) { return core.node.policy().executors[executor].lifecycle; };
  core.run_until(kNow + 14 * kSecond);
  EXPECT_EQ(standing(1), Lifecycle::kActive);
  core.run_until(kNow + 16 * kSecond);
  EXPECT_EQ(standing(0), Lifecycle::kActive);
  for (const int gone : {1, 2, 3}) EXPECT_EQ(standing(gone), Lifecycle::kRemoved) << gone;
}

TEST_F(NodeRecoveryTest, WhatWasLearnedFadesAndGoesWithARestartOfItsExecutor) {
  // The first takes four times as long as the second; the others are not known.
  rapidjson::Document knowledge;
  knowledge.Parse(core.node.knowledge(kNow).c_str());
  for (const auto& [executor, latency] : {std::pair(0u, 4.0), {1u, 1.0}}) {
    knowledge["executors"][executor]["work"].SetDouble(1);
    knowledge["executors"][executor]["latency"].SetDouble(latency);
  }
  const auto speed = [](const Core& one, int executor) {
    return one.node.policy().speed(one.node.policy().executors[executor]);
  };
  const double apart = 4;
  Core fresh(4), faded(4);
  recovery::NodeRecovery none = recovery_parts("n0", [](const std::string&) {});
  fresh.node.use_recovery(none);
  faded.node.use_recovery(none);
  fresh.node.restore_learned(kNow, knowledge, 0);
  EXPECT_NEAR(speed(fresh, 1) / speed(fresh, 0), apart, 0.01 * apart);
  faded.node.restore_learned(kNow, knowledge, none.learned.decay_time);
  const double left = speed(faded, 1) / speed(faded, 0);
  EXPECT_GT(left, 1);
  EXPECT_LT(left, 0.8 * apart);
  // One that has started since is as if nobody had ever heard of it.
  fresh.node.executor_listed(kNow, "s-0", "host:0", "a", "m", 0, Lifecycle::kActive, kNow - 1);
  EXPECT_EQ(fresh.node.policy().executors[0].mean_latency, 0);
  EXPECT_GT(fresh.node.policy().executors[1].mean_latency, 0);
}

// --- Peers ---

// Two nodes, the second of which asks the first.
struct NodePeersTest : NodeRecoveryTest {
  NodePeersTest() {
    recovery::PeerSettings settings;
    settings.nodes = {{"n0", "a:1"}};
    asking.peers.emplace(settings, kNow);
    asking.attempts.emplace(recovery::AttemptLogSettings{});
    other.node.use_recovery(asking);
  }
  static rapidjson::Document parsed(const std::string& text) {
    rapidjson::Document document;
    document.Parse(text.c_str());
    return document;
  }
  recovery::NodeRecovery asking =
      recovery_parts("n1", [this](const std::string& line) { notes.push_back(line); });
  Core other{0};
};

TEST_F(NodePeersTest, AnAttemptInDoubtBindsARepeatAtAnotherNode) {
  parts.attempts->restore({in_doubt("key", 1, kNow - kSecond)});
  other.node.peer_answered(kNow, 0, parsed(core.node.peer_summary(kNow)));
  const recovery::AttemptRecord* const known = asking.attempts->earliest_attempt("key");
  ASSERT_NE(known, nullptr);
  EXPECT_TRUE(known->from_peer);
  EXPECT_EQ(known->executor, "s-1");
  EXPECT_EQ(known->zone, "b");
  EXPECT_EQ(known->idempotency_window, window());
  EXPECT_LE(known->sent_at, kNow - kSecond);  // rather older than younger
  EXPECT_GE(known->sent_at, kNow - 3 * kSecond);
  // Told again it is the same one.
  other.node.peer_answered(kNow + kSecond, 0, parsed(core.node.peer_summary(kNow + kSecond)));
  EXPECT_EQ(asking.attempts->size(), 1u);
}

// A node that is back, with executors, and has not heard its peer yet.
struct NodeBeforePeersTest : NodePeersTest {
  NodeBeforePeersTest() { back.node.use_recovery(asking); }
  void arrive_back(Id client, int use_case, const std::string& key, Time now) {
    back.node.client_opened(now, client);
    back.node.request_arrived(now, client, "id" + std::to_string(client), use_case, now + 5 * kSecond, 0, 1,
                              nullptr, 0, key);
  }
  Core back{4};
};

// The peer may know of an attempt with that key, in a group that this node would not choose.
TEST_F(NodeBeforePeersTest, AKeyIsRefusedUntilThePeerWasHeard) {
  const Time impatient = kNow + window() - 1;
  arrive_back(1, kKeyed, "key", impatient);
  ASSERT_EQ(back.effects.answers.size(), 1u);
  EXPECT_EQ(back.effects.answers[0], std::make_pair(Id{1}, Answer::kShed));
  EXPECT_TRUE(back.effects.launches.empty());
  back.node.peer_answered(impatient, 0, parsed(core.node.peer_summary(impatient)));
  arrive_back(2, kKeyed, "key", impatient);
  EXPECT_EQ(back.effects.launches.size(), 1u);
}

TEST_F(NodeBeforePeersTest, AKeyIsServedOnceNoWindowFromBeforeIsOpen) {
  arrive_back(1, kKeyed, "late", kNow + window());
  EXPECT_EQ(back.effects.launches.size(), 1u);
}

TEST_F(NodeBeforePeersTest, WhatMayTakeEffectAgainIsServedAtOnce) {
  arrive_back(1, 0, "", kNow);
  EXPECT_EQ(back.effects.launches.size(), 1u);
}

TEST_F(NodePeersTest, WhatMakesNoSenseIsRefusedWholeAndByItsField) {
  parts.attempts->restore({in_doubt("key", 1)});
  const std::string good = core.node.peer_summary(kNow);
  const std::pair<std::string, std::string> rows[] = {
      {R"("node":"n0")", R"("node":"n7")"},         {R"("node":"n0")", R"("node":7)"},
      {R"("inDoubt":[)", R"("inDoubt":[7,)"},       {R"("ageMs":0)", R"("ageMs":-1)"},
      {R"("ageMs":0)", R"("ageMs":1e300)"},         {R"("key":"key")", R"("key":"")"},
      {R"("windowMs":10000)", R"("windowMs":"x")"}, {R"("cell":1)", R"("cell":1e20)"}};
  for (const auto& [from, to] : rows) {
    std::string wrong = good;
    const std::size_t at = wrong.find(from);
    ASSERT_NE(at, std::string::npos) << from << " in " << good;
    wrong.replace(at, from.size(), to);
    EXPECT_THROW(other.node.peer_answered(kNow, 0, parsed(wrong)), BadInput) << wrong;
  }
  EXPECT_THROW(other.node.peer_answered(kNow, 0, parsed("[]")), BadInput);
  EXPECT_EQ(asking.attempts->size(), 0u);
}

TEST_F(NodePeersTest, APeersListAddsWhoIsNotKnownAndChangesNobody) {
  const auto standing = [&](int executor) { return other.node.policy().executors[executor].lifecycle; };
  other.list(0, Lifecycle::kActive);
  rapidjson::Document list = parsed(core.node.encode_membership());
  list["instances"][0]["lifecycle"].SetString("leaving");
  list["instances"][3]["lifecycle"].SetString("leaving");
  recovery::NodeRecovery fresh = recovery_parts("n2", [](const std::string&) {});
  fresh.peers.emplace(asking.peers->settings(), kNow);
  FakeEffects effects;
  canvasstage::Node node(small_settings(), Core::terms(), Platform{1024, false, 1}, 1, effects, kNow, "d:1");
  node.use_recovery(fresh);
  node.executor_listed(kNow, "s-0", "host:0", "a", "m", 0, Lifecycle::kActive, 0);
  node.peer_list_received(kNow, 0, list);
  EXPECT_FALSE(effects.listening);  // attempts in doubt are waited for
  node.peer_answered(kNow, 0, parsed(core.node.peer_summary(kNow)));
  ASSERT_EQ(node.policy().executors.size(), 3u);  // one that leaves is not added
  for (int i = 0; i < 3; ++i) EXPECT_EQ(node.policy().executors[i].lifecycle, Lifecycle::kActive) << i;
  EXPECT_TRUE(effects.listening);
  // Where discovery has told its list a peer's changes nothing.
  other.node.peer_list_received(kNow, 0, list);
  EXPECT_EQ(other.node.policy().executors.size(), 1u);
  EXPECT_EQ(standing(0), Lifecycle::kActive);
}

}  // namespace
}  // namespace canvasstage
