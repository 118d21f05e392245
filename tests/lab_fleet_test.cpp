// Tests the harness of several processes: its messages, its proxies and its count of effects.
#include <gtest/gtest.h>

#include "fleet/effect_ledger.h"
#include "fleet/fault_proxy.h"
#include "fleet/messages.h"
#include "standins/loop.h"

namespace canvasstage::lab::fleet {
namespace {

constexpr double kTimeout = 5;            // seconds to wait for an expected event
constexpr double kSilenceDuration = 0.2;  // seconds in which nothing may arrive

TEST(LabFleetMessages, DecodedMessageEqualsEncoded) {
  const SendRequest request{7, "127.0.0.1:80", "render", "", 1500, 40, true};
  const auto read = decode_send_request(encode(request));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->request, 7u);
  EXPECT_EQ(read->node, request.node);
  EXPECT_EQ(read->use_case, "render");
  EXPECT_EQ(read->idempotency_key, "");
  EXPECT_EQ(read->time_left_ms, 1500);
  EXPECT_EQ(read->disconnect_after_ms, 40);
  EXPECT_TRUE(read->stalls);

  const auto result = decode_request_result(encode(RequestResult{7, 0, RequestEnd::kDisconnected, 5, 9}));
  ASSERT_TRUE(result);
  EXPECT_EQ(result->end, RequestEnd::kDisconnected);
  EXPECT_EQ(result->sent_us, 5);
  EXPECT_EQ(result->ended_us, 9);

  const auto attempt_fault = decode_set_attempt_fault(encode(SetAttemptFault{AttemptFault::kSilent, 0.25}));
  ASSERT_TRUE(attempt_fault);
  EXPECT_EQ(attempt_fault->kind, AttemptFault::kSilent);
  EXPECT_DOUBLE_EQ(attempt_fault->share, 0.25);

  const auto begun = decode_started_attempt(encode(StartedAttempt{3, "id", "key", 480, 12}));
  ASSERT_TRUE(begun);
  EXPECT_EQ(begun->executor, 3u);
  EXPECT_EQ(begun->id, "id");
  EXPECT_EQ(begun->idempotency_key, "key");
  EXPECT_EQ(begun->time_left_ms, 480);
  EXPECT_EQ(begun->at_us, 12);

  ListedExecutor executor;
  executor.id = "s-1";
  executor.address = "127.0.0.1:81";
  executor.lifecycle = "leaving";
  executor.started_ms = 5;
  executor.zone = "b";
  executor.cell = 4;
  const auto list = decode_replace_list(encode(ReplaceList{9, {executor, executor}}));
  ASSERT_TRUE(list);
  EXPECT_EQ(list->generation, 9u);
  ASSERT_EQ(list->executors.size(), 2u);
  EXPECT_EQ(list->executors[1].lifecycle, "leaving");
  EXPECT_EQ(list->executors[1].cell, 4);

  const auto fault = decode_set_link_fault(encode(SetLinkFault{2, LinkFault::kDelay, 30}));
  ASSERT_TRUE(fault);
  EXPECT_EQ(fault->fault, LinkFault::kDelay);
  EXPECT_EQ(fault->delay_ms, 30);

  EXPECT_FALSE(decode_send_request("send 7 127.0.0.1:80"));
  EXPECT_FALSE(decode_replace_list("list 9 2 s-1 127.0.0.1:81 active 0 a 1"));
  EXPECT_FALSE(decode_started_attempt("answered 1 200"));
}

TEST(LabFleetEffects, RepeatInGroupAndWindowHasNoEffect) {
  EffectLedger ledger({"a", "a", "b"}, 10);
  const LoopTime start = LoopClock::now();
  ledger.add({0, "1", "same"}, start);
  ledger.add({1, "2", "same"}, start + seconds_of(9));
  ledger.add({0, "3", "late"}, start);
  ledger.add({1, "4", "late"}, start + seconds_of(10));
  ledger.add({0, "5", "elsewhere"}, start);
  ledger.add({2, "6", "elsewhere"}, start + seconds_of(1));
  ledger.add({2, "7", ""}, start);
  ledger.add({2, "7", ""}, start);
  EXPECT_EQ(ledger.effects("same"), 1);
  EXPECT_EQ(ledger.effects("late"), 2);
  EXPECT_EQ(ledger.effects("elsewhere"), 2);
  EXPECT_EQ(ledger.effects("never"), 0);
  EXPECT_EQ(ledger.repeated_effects(), (std::vector<std::string>{"elsewhere", "late"}));
  EXPECT_EQ(ledger.repeated_ids(), std::vector<std::string>{"7"});
  EXPECT_EQ(ledger.attempts_started(2, start, start + seconds_of(1)), 2);
}

// An echo server behind a proxy.
struct LabFleetProxy : testing::Test {
  LabFleetProxy() {
    loop.watch(listener.fd(), [this] {
      net::Socket socket = accept_nonblocking(listener);
      if (!socket.is_open()) return;
      served = std::make_shared<Stream>(loop, std::move(socket), traffic);
      served->start([](Stream& readable) { readable.send(std::exchange(readable.in, {})); });
    });
  }
  StreamRef connect() {
    auto stream = std::make_shared<Stream>(loop, connect_nonblocking(proxy.address()), traffic);
    stream->start([](Stream&) {});
    return stream;
  }
  bool receives(const StreamRef& stream, const std::string& bytes, double seconds = kTimeout) {
    return loop.run(seconds, [&] { return stream->in == bytes; });
  }
  bool ends(const StreamRef& stream) {
    return loop.run(kTimeout, [&] { return stream->ended(); });
  }
  Loop loop;
  Traffic traffic;
  net::Socket listener = net::listen_on("127.0.0.1:0");
  FaultProxy proxy{loop, "127.0.0.1:0", listener.address()};
  StreamRef served;
};

TEST_F(LabFleetProxy, ForwardsBytesAndEndBothWays) {
  const StreamRef stream = connect();
  stream->send("a");
  ASSERT_TRUE(receives(stream, "a"));
  served->close();
  EXPECT_TRUE(ends(stream));
}

TEST_F(LabFleetProxy, CutLinkResetsAndRefusesUntilHealed) {
  const StreamRef stream = connect();
  stream->send("a");
  ASSERT_TRUE(receives(stream, "a"));
  proxy.set_fault(LinkFault::kCut, 0);
  EXPECT_TRUE(ends(stream));
  EXPECT_TRUE(ends(connect()));
  proxy.set_fault(LinkFault::kNone, 0);
  const StreamRef healed = connect();
  healed->send("b");
  EXPECT_TRUE(receives(healed, "b"));
}

TEST_F(LabFleetProxy, SilentLinkHoldsBytesUntilHealed) {
  const StreamRef stream = connect();
  proxy.set_fault(LinkFault::kSilent, 0);
  stream->send("a");
  EXPECT_FALSE(receives(stream, "a", kSilenceDuration));
  EXPECT_FALSE(stream->ended());
  proxy.set_fault(LinkFault::kNone, 0);
  EXPECT_TRUE(receives(stream, "a"));
}

TEST_F(LabFleetProxy, DelayedLinkDelaysBothWays) {
  const StreamRef stream = connect();
  stream->send("a");
  ASSERT_TRUE(receives(stream, "a"));
  stream->in.clear();
  proxy.set_fault(LinkFault::kDelay, 100);
  const LoopTime sent = LoopClock::now();
  stream->send("b");
  ASSERT_TRUE(receives(stream, "b"));
  EXPECT_GE(LoopClock::now() - sent, seconds_of(0.2));
}

TEST_F(LabFleetProxy, ResetEndsOpenConnectionsAndForwardsNew) {
  const StreamRef stream = connect();
  stream->send("a");
  ASSERT_TRUE(receives(stream, "a"));
  proxy.set_fault(LinkFault::kReset, 0);
  EXPECT_TRUE(ends(stream));
  const StreamRef fresh = connect();
  fresh->send("b");
  EXPECT_TRUE(receives(fresh, "b"));
}

}  // namespace
}  // namespace canvasstage::lab::fleet
