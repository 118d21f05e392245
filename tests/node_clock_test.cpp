// The wall clock of a node may be wrong when the node starts. Process start times that discovery gives by its
// own clock must therefore be bounded by what the node has observed; otherwise a new process counts as old,
// or a known one as new.
#include <gtest/gtest.h>

#include "helpers.h"

namespace canvasstage {
namespace {

constexpr Time kClockError = 900 * kSecond;  // ahead or behind
constexpr int kJoiningExecutor = 2;          // index after the executors of the first list

struct NodeClock : testing::Test {
  // Delivers an executor as a change from discovery over the open watch.
  void list_executor(Time now, int executor, Time started_at, Lifecycle lifecycle = Lifecycle::kActive) {
    const std::string name = std::to_string(executor);
    core.node.executor_listed(now, "s-" + name, "host:" + name, "a", "m", 0, lifecycle, started_at);
    core.node.membership_received(now, MembershipUpdate::kDelta, ++version);
  }
  Time start_time(int executor) const { return core.node.policy().executors[executor].started_at; }
  std::uint64_t version = 1;
  Core core{kJoiningExecutor};
};

// With the node's clock ahead, a process that has just started or restarted must not count as an old one.
TEST_F(NodeClock, NewProcessIsRecentWithClockAhead) {
  const Time now = kNow + 100 * kSecond;
  for (const int executor : {0, kJoiningExecutor}) {
    list_executor(now, executor, now - kClockError);
    EXPECT_GE(start_time(executor), now - 3 * kSecond);
    EXPECT_LE(start_time(executor), now);
  }
}

// While discovery cannot be reached, a process may start at any time since the last contact.
TEST_F(NodeClock, StartIsBoundedByLastDiscoveryContact) {
  core.node.membership_call_failed(kNow + 10 * kSecond);
  const Time now = kNow + 40 * kSecond;
  list_executor(now, kJoiningExecutor, now - kClockError);
  EXPECT_GE(start_time(kJoiningExecutor), kNow + 7 * kSecond);
  EXPECT_LE(start_time(kJoiningExecutor), kNow + 10 * kSecond);
}

TEST_F(NodeClock, ReturningProcessKeepsItsStart) {
  list_executor(kNow, kJoiningExecutor, kNow - kSecond);
  list_executor(kNow + 60 * kSecond, kJoiningExecutor, kNow - kSecond, Lifecycle::kRemoved);
  list_executor(kNow + 90 * kSecond, kJoiningExecutor, kNow - kSecond);
  EXPECT_EQ(start_time(kJoiningExecutor), kNow - kSecond);
}

// With the node's clock behind, the start time lies in its future. Unless it is bounded once and kept, each
// list looks like a new process with a new budget.
TEST_F(NodeClock, RelistedProcessIsNotNewWithClockBehind) {
  list_executor(kNow, kJoiningExecutor, kNow + kClockError);
  EXPECT_EQ(start_time(kJoiningExecutor), kNow);
  list_executor(kNow + 5 * kSecond, kJoiningExecutor, kNow + kClockError);
  EXPECT_EQ(start_time(kJoiningExecutor), kNow);
  const Time restarted_at = kNow + 20 * kSecond;
  list_executor(restarted_at, kJoiningExecutor, restarted_at + kClockError);
  EXPECT_EQ(start_time(kJoiningExecutor), restarted_at);
}

// The stored and forwarded list must contain the start times that discovery gave, not the bounded ones.
TEST_F(NodeClock, StoredListKeepsDiscoverysStart) {
  const Time listed_started_at = kNow - kClockError;
  list_executor(kNow + 100 * kSecond, kJoiningExecutor, listed_started_at);
  rapidjson::Document list;
  list.Parse(core.node.encode_membership().c_str());
  EXPECT_EQ(list["instances"][kJoiningExecutor]["startedAtMs"].GetInt64(),
            listed_started_at / (kSecond / 1000));
  EXPECT_TRUE(core.node.lists_executor("s-2", listed_started_at));
}

}  // namespace
}  // namespace canvasstage
