// Real nodes whose system calls fail as Linux documents.
#include <gtest/gtest.h>

#include <algorithm>
#include <limits>
#include <map>

#include "fleet_helpers.h"

namespace canvasstage::lab::fleet {
namespace {

using faults::Fault;

constexpr double kMostAnswering = 10;  // seconds until every request has ended

FleetPlan faulty_fleet(int nodes = 1) {
  FleetPlan plan = small_fleet();
  plan.nodes = nodes;
  plan.recovery = false;
  plan.faulty_system_calls = true;
  return plan;
}

// Requests to one node, and how they ended.
class Requests {
 public:
  explicit Requests(Fleet& fleet) : fleet_(fleet) {
    fleet.observe_jobs([this](const StartedAttempt& job) { jobs_.push_back(job); });
  }
  void send(int count, int time_left_ms, const char* use_case = kIdempotentUseCase, int node = 0) {
    for (int i = 0; i < count; ++i) {
      SendRequest request;
      request.use_case = use_case;
      request.time_left_ms = time_left_ms;
      sent_[fleet_.send(node, request, [this](const RequestAnswered& end) { ends_.push_back(end); })] =
          time_left_ms;
    }
  }
  bool all_ended() const { return ends_.size() == sent_.size(); }
  std::size_t ended_as(RequestEnd kind) const {
    return static_cast<std::size_t>(std::ranges::count(ends_, kind, &RequestAnswered::end));
  }
  // Returns the largest number of milliseconds by which the time that an attempt was told exceeded the time
  // that its client had left.
  std::int64_t most_beyond_deadline() const {
    std::int64_t most = std::numeric_limits<std::int64_t>::min();
    for (const RequestAnswered& end : ends_)
      for (const StartedAttempt& job : jobs_) {
        if (job.id != fleet_.correlation_id(end.request)) continue;
        const std::int64_t left_us = end.sent_us + std::int64_t{sent_.at(end.request)} * 1000 - job.at_us;
        most = std::max(most, job.time_left_ms - left_us / 1000);
      }
    return most;
  }
  std::size_t jobs() const { return jobs_.size(); }

 private:
  Fleet& fleet_;
  std::map<std::uint64_t, int> sent_;
  std::vector<RequestAnswered> ends_;
  std::vector<StartedAttempt> jobs_;
};

// The system may have no thread for a while. A request that a client has sent must still be answered.
TEST(FleetFaults, ARequestIsAnsweredWhereNoThreadIsToBeHad) {
  Fleet fleet(faulty_fleet());
  start_all(fleet);
  Requests requests(fleet);
  fleet.faults(0).set(Fault::kThread, 1);
  requests.send(40, 2000);
  fleet.run(1);
  fleet.faults(0).clear();
  EXPECT_TRUE(fleet.run(kMostAnswering, [&] { return requests.all_ended(); }));
  EXPECT_GT(fleet.faults(0).injected(Fault::kThread), 0u);
  EXPECT_EQ(requests.ended_as(RequestEnd::kAnswered), 40u) << fleet.node_log(0);
}

// The time that a connection waits to be accepted counts against the deadline of its request: an attempt is
// told no more time than its client has left.
TEST(FleetFaults, TheDeadlineCountsFromTheArrivalWhereConnectionsWait) {
  Fleet fleet(faulty_fleet());
  start_all(fleet);
  Requests requests(fleet);
  fleet.faults(0).set(Fault::kAccept, 1);
  requests.send(10, 4000);
  fleet.run(0.8);
  fleet.faults(0).clear();
  EXPECT_TRUE(fleet.run(kMostAnswering, [&] { return requests.all_ended(); }));
  EXPECT_EQ(requests.ended_as(RequestEnd::kAnswered), 10u) << fleet.node_log(0);
  EXPECT_GT(requests.jobs(), 0u);
  EXPECT_LE(requests.most_beyond_deadline(), 150);
}

// Each accept fails with a probability of 0.4. The connections that wait behind a failed accept must still
// be accepted in time.
TEST(FleetFaults, ACrowdIsAcceptedInTimeThoughSomeAcceptsFail) {
  Fleet fleet(faulty_fleet());
  start_all(fleet);
  Requests requests(fleet);
  fleet.faults(0).set(Fault::kAccept, 0.4);
  requests.send(300, 300);
  EXPECT_TRUE(fleet.run(kMostAnswering, [&] { return requests.all_ended(); }));
  EXPECT_GT(fleet.faults(0).injected(Fault::kAccept), 0u);
  EXPECT_EQ(requests.ended_as(RequestEnd::kAnswered), 300u) << fleet.node_log(0);
}

// A failed accept must not be taken for an empty backlog: the connections in it still wait.
TEST(FleetFaults, WhatWaitsToBeAcceptedIsTakenBeforeTheListenerCloses) {
  Fleet fleet(faulty_fleet());
  start_all(fleet);
  Requests requests(fleet);
  fleet.node(0).terminate();
  fleet.run(1.85);  // the listener closes 2 s after the SIGTERM
  fleet.faults(0).set(Fault::kAccept, 1);
  requests.send(20, 1000);
  fleet.run(0.4);
  fleet.faults(0).clear();
  EXPECT_TRUE(fleet.run(kMostAnswering, [&] { return requests.all_ended(); }));
  EXPECT_EQ(requests.ended_as(RequestEnd::kAnswered), 20u) << fleet.node_log(0);
}

// Requests with an idempotency key at one node. A request that the node refused, or that was open when the
// node was killed, is sent again with its key.
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
  // The folder of the store fails for `fails` seconds. The node is killed `killed_after` seconds after the
  // failure began, and is started again.
  static void play(Fleet& fleet, double fails, double killed_after) {
    constexpr double kRun = 1;  // seconds of service before the folder fails
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

TEST_F(FleetDiskFaults, NoKeyTakesEffectTwiceWhereTheNodeIsKilledOnceItsDiskWorksAgain) {
  Fleet fleet(plan());
  play(fleet, 1, 1.6);
}

TEST_F(FleetDiskFaults, NoKeyTakesEffectTwiceWhereTheNodeIsKilledWhileItsDiskFails) {
  Fleet fleet(plan());
  play(fleet, 2, 1);
}

}  // namespace
}  // namespace canvasstage::lab::fleet
