// The rig of several processes: its messages, its links, and what it counts as an effect.
#include <gtest/gtest.h>

#include "fleet/effect_ledger.h"
#include "fleet/fault_proxy.h"
#include "fleet/messages.h"
#include "standins/loop.h"

namespace canvasstage::lab::fleet {
namespace {

constexpr double kMost = 5;     // seconds that a test waits for what is to come
constexpr double kShort = 0.2;  // seconds in which nothing may come

TEST(LabFleetMessages, EachIsReadAsItWasWritten) {
  const SendRequest request{7, "127.0.0.1:80", "render", "", 1500, 40, true};
  const auto read = decode_send_request(encode(request));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->request, 7u);
  EXPECT_EQ(read->node, request.node);
  EXPECT_EQ(read->use_case, "render");
  EXPECT_EQ(read->idempotency_key, "");
  EXPECT_EQ(read->time_left_ms, 1500);
  EXPECT_EQ(read->leave_after_ms, 40);
  EXPECT_TRUE(read->halts);

  const auto answered = decode_request_answered(encode(RequestAnswered{7, 0, RequestEnd::kLeft, 5, 9}));
  ASSERT_TRUE(answered);
  EXPECT_EQ(answered->end, RequestEnd::kLeft);
  EXPECT_EQ(answered->sent_us, 5);
  EXPECT_EQ(answered->ended_us, 9);

  const auto job_fault = decode_set_job_fault(encode(SetJobFault{JobFault::kSilent, 0.25}));
  ASSERT_TRUE(job_fault);
  EXPECT_EQ(job_fault->kind, JobFault::kSilent);
  EXPECT_DOUBLE_EQ(job_fault->share, 0.25);

  const auto begun = decode_begun_job(encode(BegunJob{3, "id", "key", 480, 12}));
  ASSERT_TRUE(begun);
  EXPECT_EQ(begun->executor, 3u);
  EXPECT_EQ(begun->id, "id");
  EXPECT_EQ(begun->idempotency_key, "key");
  EXPECT_EQ(begun->time_left_ms, 480);
  EXPECT_EQ(begun->at_us, 12);

  ListedExecutor one;
  one.id = "s-1";
  one.address = "127.0.0.1:81";
  one.lifecycle = "leaving";
  one.started_ms = 5;
  one.zone = "b";
  one.cell = 4;
  const auto list = decode_replace_list(encode(ReplaceList{9, {one, one}}));
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
  EXPECT_FALSE(decode_begun_job("answered 1 200"));
}

TEST(LabFleetEffects, ARepeatWithinItsGroupAndWindowIsNoSecondEffect) {
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
  EXPECT_EQ(ledger.begun(2, start, start + seconds_of(1)), 2);
}

// A server that answers each byte with itself, behind a proxy.
struct LabFleetProxy : testing::Test {
  LabFleetProxy() {
    loop.watch(listener.fd(), [this] {
      net::Socket socket = accept_now(listener);
      if (!socket.is_open()) return;
      served = std::make_shared<Stream>(loop, std::move(socket), traffic);
      served->start([](Stream& one) { one.send(std::exchange(one.in, {})); });
    });
  }
  StreamRef connect() {
    auto stream = std::make_shared<Stream>(loop, connect_now(proxy.address()), traffic);
    stream->start([](Stream&) {});
    return stream;
  }
  bool comes(const StreamRef& stream, const std::string& bytes, double seconds = kMost) {
    return loop.run(seconds, [&] { return stream->in == bytes; });
  }
  bool ends(const StreamRef& stream) {
    return loop.run(kMost, [&] { return stream->ended(); });
  }
  Loop loop;
  Traffic traffic;
  net::Socket listener = net::listen_on("127.0.0.1:0");
  FaultProxy proxy{loop, "127.0.0.1:0", listener.address()};
  StreamRef served;
};

TEST_F(LabFleetProxy, PassesBytesBothWaysAndTheEnd) {
  const StreamRef stream = connect();
  stream->send("a");
  ASSERT_TRUE(comes(stream, "a"));
  served->close();
  EXPECT_TRUE(ends(stream));
}

TEST_F(LabFleetProxy, ACutLinkResetsAndRefusesUntilItIsHealed) {
  const StreamRef stream = connect();
  stream->send("a");
  ASSERT_TRUE(comes(stream, "a"));
  proxy.set(LinkFault::kCut, 0);
  EXPECT_TRUE(ends(stream));
  EXPECT_TRUE(ends(connect()));
  proxy.set(LinkFault::kNone, 0);
  const StreamRef healed = connect();
  healed->send("b");
  EXPECT_TRUE(comes(healed, "b"));
}

TEST_F(LabFleetProxy, ASilentLinkKeepsWhatItGetsUntilItIsHealed) {
  const StreamRef stream = connect();
  proxy.set(LinkFault::kSilent, 0);
  stream->send("a");
  EXPECT_FALSE(comes(stream, "a", kShort));
  EXPECT_FALSE(stream->ended());
  proxy.set(LinkFault::kNone, 0);
  EXPECT_TRUE(comes(stream, "a"));
}

TEST_F(LabFleetProxy, ADelayedLinkIsLateByThatMuchEachWay) {
  const StreamRef stream = connect();
  stream->send("a");
  ASSERT_TRUE(comes(stream, "a"));
  stream->in.clear();
  proxy.set(LinkFault::kDelay, 100);
  const LoopTime sent = LoopClock::now();
  stream->send("b");
  ASSERT_TRUE(comes(stream, "b"));
  EXPECT_GE(LoopClock::now() - sent, seconds_of(0.2));
}

TEST_F(LabFleetProxy, AResetEndsWhatIsOpenAndLetsNewConnectionsPass) {
  const StreamRef stream = connect();
  stream->send("a");
  ASSERT_TRUE(comes(stream, "a"));
  proxy.set(LinkFault::kReset, 0);
  EXPECT_TRUE(ends(stream));
  const StreamRef fresh = connect();
  fresh->send("b");
  EXPECT_TRUE(comes(fresh, "b"));
}

}  // namespace
}  // namespace canvasstage::lab::fleet
