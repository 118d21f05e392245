// The node's wall clock may be wrong when it starts: what discovery dates by its own is put in order by what
// the node has seen itself.
#include <gtest/gtest.h>

#include "helpers.h"

namespace canvasstage {
namespace {

constexpr Time kWrong = 900 * kSecond;  // by so much the clock is ahead or behind
constexpr int kJoins = 2;               // its place behind those that the first list names

struct NodeClock : testing::Test {
  // As discovery words it on a watch that is open.
  void change(Time now, int executor, Time started, Lifecycle standing = Lifecycle::kActive) {
    const std::string name = std::to_string(executor);
    core.node.executor_listed(now, "s-" + name, "host:" + name, "a", "m", 0, standing, started);
    core.node.membership_received(now, MembershipUpdate::kDelta, ++version);
  }
  Time started(int executor) const { return core.node.policy().executors[executor].started_at; }
  std::uint64_t version = 1;
  Core core{kJoins};
};

TEST_F(NodeClock, OneThatJoinsOrStartsAnewHasJustStartedThoughTheClockIsAhead) {
  const Time now = kNow + 100 * kSecond;
  for (const int executor : {0, kJoins}) {
    change(now, executor, now - kWrong);
    EXPECT_GE(started(executor), now - 3 * kSecond);
    EXPECT_LE(started(executor), now);
  }
}

// Discovery could not be heard: it may have started at any time since it was.
TEST_F(NodeClock, WhatWasMissedMayHaveStartedAtAnyTimeSince) {
  core.node.membership_call_failed(kNow + 10 * kSecond);
  const Time now = kNow + 40 * kSecond;
  change(now, kJoins, now - kWrong);
  EXPECT_GE(started(kJoins), kNow + 7 * kSecond);
  EXPECT_LE(started(kJoins), kNow + 10 * kSecond);
}

TEST_F(NodeClock, OneThatComesBackAsItWasKeepsItsStart) {
  change(kNow, kJoins, kNow - kSecond);
  change(kNow + 60 * kSecond, kJoins, kNow - kSecond, Lifecycle::kRemoved);
  change(kNow + 90 * kSecond, kJoins, kNow - kSecond);
  EXPECT_EQ(started(kJoins), kNow - kSecond);
}

// Its start lies in the future by this clock: each list would else begin a new process, with a new budget.
TEST_F(NodeClock, OneThatIsListedAgainIsNoNewProcessThoughTheClockIsBehind) {
  change(kNow, kJoins, kNow + kWrong);
  EXPECT_EQ(started(kJoins), kNow);
  change(kNow + 5 * kSecond, kJoins, kNow + kWrong);
  EXPECT_EQ(started(kJoins), kNow);
  const Time again = kNow + 20 * kSecond;
  change(again, kJoins, again + kWrong);
  EXPECT_EQ(started(kJoins), again);
}

// What is kept and passed on is discovery's word, not this node's.
TEST_F(NodeClock, TheKeptListHasTheStartAsItWasTold) {
  const Time told = kNow - kWrong;
  change(kNow + 100 * kSecond, kJoins, told);
  rapidjson::Document list;
  list.Parse(core.node.encode_membership().c_str());
  EXPECT_EQ(list["instances"][kJoins]["startedAtMs"].GetInt64(), told / (kSecond / 1000));
  EXPECT_TRUE(core.node.knows_executor("s-2", told));
}

}  // namespace
}  // namespace canvasstage
