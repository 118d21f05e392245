// Tests real nodes whose system calls fail as Linux documents.
#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <map>

#include "fleet_helpers.h"

namespace canvasstage::lab::fleet {
namespace {

using faults::Fault;

constexpr double kAnswerTimeout = 10;  // seconds until every request has ended

FleetPlan faulty_fleet(int nodes = 1) {
  FleetPlan plan = small_fleet();
  plan.nodes = nodes;
  plan.recovery = false;
  plan.faulty_system_calls = true;
  return plan;
}

// Sends requests and records how they ended.
class Requests {
 public:
  explicit Requests(Fleet& fleet) : fleet_(fleet) {
    fleet.set_attempt_observer([this](const StartedAttempt& attempt) { attempts_.push_back(attempt); });
  }
  void send(int count, int time_left_ms, const char* use_case = kIdempotentUseCase, int node = 0) {
    for (int i = 0; i < count; ++i) {
      SendRequest request;
      request.use_case = use_case;
      request.time_left_ms = time_left_ms;
      sent_[fleet_.send(node, request, [this](const RequestResult& end) { ends_.push_back(end); })] =
          time_left_ms;
    }
  }
  bool all_ended() const { return ends_.size() == sent_.size(); }
  std::size_t ended_as(RequestEnd kind) const {
    return static_cast<std::size_t>(std::ranges::count(ends_, kind, &RequestResult::end));
  }
  // Returns by how many milliseconds, at most, the time left sent with an attempt exceeded the client's.
  std::int64_t max_beyond_deadline_ms() const {
    std::int64_t max_ms = std::numeric_limits<std::int64_t>::min();
    for (const RequestResult& end : ends_)
      for (const StartedAttempt& attempt : attempts_) {
        if (attempt.id != fleet_.correlation_id(end.request)) continue;
        const std::int64_t left_us = end.sent_us + std::int64_t{sent_.at(end.request)} * 1000 - attempt.at_us;
        max_ms = std::max(max_ms, attempt.time_left_ms - left_us / 1000);
      }
    return max_ms;
  }
  std::size_t attempts() const { return attempts_.size(); }

 private:
  Fleet& fleet_;
  std::map<std::uint64_t, int> sent_;
  std::vector<RequestResult> ends_;
  std::vector<StartedAttempt> attempts_;
};

// Guards against lost requests while the system cannot create threads: a received request must still be
// answered.
TEST(FleetFaults, RequestIsAnsweredDespiteFailingThreadCreation) {
  Fleet fleet(faulty_fleet());
  start_all(fleet);
  Requests requests(fleet);
  fleet.faults(0).set(Fault::kThread, 1);
  requests.send(40, 2000);
  fleet.run(1);
  fleet.faults(0).clear();
  EXPECT_TRUE(fleet.run(kAnswerTimeout, [&] { return requests.all_ended(); }));
  EXPECT_GT(fleet.faults(0).injected(Fault::kThread), 0u);
  EXPECT_EQ(requests.ended_as(RequestEnd::kAnswered), 40u) << fleet.node_log(0);
}

// Guards against attempts with too much time left: connections wait in the accept queue while accept fails,
// and that time counts against the request's deadline.
TEST(FleetFaults, DeadlineIncludesWaitForAccept) {
  Fleet fleet(faulty_fleet());
  start_all(fleet);
  Requests requests(fleet);
  fleet.faults(0).set(Fault::kAccept, 1);
  requests.send(10, 4000);
  fleet.run(0.8);
  fleet.faults(0).clear();
  EXPECT_TRUE(fleet.run(kAnswerTimeout, [&] { return requests.all_ended(); }));
  EXPECT_EQ(requests.ended_as(RequestEnd::kAnswered), 10u) << fleet.node_log(0);
  EXPECT_GT(requests.attempts(), 0u);
  EXPECT_LE(requests.max_beyond_deadline_ms(), 150);
}

// Guards against connections that wait until their deadline because 40 % of the accepts fail temporarily.
TEST(FleetFaults, BurstIsAcceptedInTimeDespiteFailures) {
  Fleet fleet(faulty_fleet());
  start_all(fleet);
  Requests requests(fleet);
  fleet.faults(0).set(Fault::kAccept, 0.4);
  requests.send(300, 300);
  EXPECT_TRUE(fleet.run(kAnswerTimeout, [&] { return requests.all_ended(); }));
  EXPECT_GT(fleet.faults(0).injected(Fault::kAccept), 0u);
  EXPECT_EQ(requests.ended_as(RequestEnd::kAnswered), 300u) << fleet.node_log(0);
}

// Guards against taking a failed accept for an empty queue when the listener closes: waiting connections
// would be lost.
TEST(FleetFaults, WaitingConnectionsAreAcceptedBeforeListenerCloses) {
  Fleet fleet(faulty_fleet());
  start_all(fleet);
  Requests requests(fleet);
  fleet.node(0).terminate();
  fleet.run(1.85);  // the listener closes 2 s after SIGTERM
  fleet.faults(0).set(Fault::kAccept, 1);
  requests.send(20, 1000);
  fleet.run(0.4);
  fleet.faults(0).clear();
  EXPECT_TRUE(fleet.run(kAnswerTimeout, [&] { return requests.all_ended(); }));
  EXPECT_EQ(requests.ended_as(RequestEnd::kAnswered), 20u) << fleet.node_log(0);
}

// Sends keyed requests to one node and resends each, with its key, when the node refused it or was killed.
class KeyedRequests {
 public:
  explicit KeyedRequests(Fleet& fleet) : fleet_(fleet) {}
  void start(int count, double gap) {
    for (int i = 0; i < count; ++i)
      fleet_.loop().after(gap * i, [this, i] {
        ++open_;
        send("fault-" + std::to_string(i), 150);
      });
  }
  bool all_ended() const { return open_ == 0; }
  int served() const { return served_; }

 private:
  void send(const std::string& key, int tries) {
    fleet_.send(0, kKeyedUseCase, key, 3, [this, key, tries](int status) {
      if (status == 200) ++served_;
      if ((status != 0 && status != 503) || tries == 0) {
        --open_;
        return;
      }
      fleet_.loop().after(0.1, [this, key, tries] { send(key, tries - 1); });
    });
  }
  Fleet& fleet_;
  int open_ = 0, served_ = 0;
};

struct FleetDiskFaults : testing::Test {
  static FleetPlan plan() {
    FleetPlan plan = faulty_fleet();
    plan.recovery = true;
    plan.run_time = 0.2;
    return plan;
  }
  // Lets the node's disk fail for `fails` seconds. Kills the node `killed_after` seconds after the failure
  // began, and starts it again.
  static void play(Fleet& fleet, double fails, double killed_after) {
    constexpr double kRun = 1;  // seconds of service before the disk fails
    constexpr int kCount = 200;
    KeyedRequests requests(fleet);
    start_all(fleet);
    requests.start(kCount, (kRun + killed_after) / kCount);
    fleet.run(kRun);
    fleet.faults(0).set(Fault::kDisk, 1);
    fleet.run(std::min(fails, killed_after));
    if (fails < killed_after) fleet.faults(0).clear();
    fleet.run(std::max(0.0, killed_after - fails));
    fleet.stop_node(0);
    fleet.start_node(0);
    fleet.run(std::max(0.0, fails - killed_after));
    fleet.faults(0).clear();
    EXPECT_TRUE(fleet.run(40, [&] { return requests.all_ended(); })) << fleet.node_log(0);
    EXPECT_GT(requests.served(), kCount / 2);
    EXPECT_GT(fleet.faults(0).injected(Fault::kDisk), 0u);
    EXPECT_EQ(fleet.ledger().repeated_effects(), std::vector<std::string>{}) << fleet.node_log(0);
  }
};

// Guards against keys that take effect twice: records of the attempts may be missing from the store because
// the disk failed, here when the node is killed after or during the failure.
TEST_F(FleetDiskFaults, KillAfterDiskFailureCausesNoRepeat) {
  Fleet fleet(plan());
  play(fleet, 1, 1.6);
}

TEST_F(FleetDiskFaults, KillDuringDiskFailureCausesNoRepeat) {
  Fleet fleet(plan());
  play(fleet, 2, 1);
}

}  // namespace
}  // namespace canvasstage::lab::fleet
