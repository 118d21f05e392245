// One thread stands in for thousands of executors: each has a loopback address and a listening socket of its
// own.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "standins/loop.h"

namespace canvasstage::lab {

// What an executor does with a job instead of running it.
enum class JobFault {
  kRefuse,  // 503 with X-Unprocessed: 1
  kHang,    // reads it and never answers
  kSilent,  // 200, and nothing behind it
  kReset,   // breaks the connection with no answer
  kLate     // runs it, but answers so many seconds later
};

struct JobFaultRule {
  JobFault kind = JobFault::kHang;
  double share = 1;              // of the jobs that come; the same ones in each run
  double from = 0, until = 1e9;  // seconds since the start of the stand-ins
  double late = 0;               // seconds, for kLate
};

// A job that an executor begins, with its place among the executors.
struct BegunJob {
  std::size_t executor = 0;
  std::string id, idempotency_key;
  std::int64_t time_left_ms = -1;  // as its node told it; negative: not told
  std::int64_t at_us = 0;          // steady clock of this machine, in microseconds
};
// The steady clock's time, which all processes of a machine share.
std::int64_t steady_us();

class Executors {
 public:
  static constexpr int kMostExecutors = 6400;
  static constexpr int kMostOpenJobs = 8000;
  // Binds `count` addresses; throws BadStandin above the bound or where the system has no descriptors left.
  // run_time: seconds from a job's last byte to done.
  Executors(Loop& loop, int count, double run_time, std::vector<JobFaultRule> faults = {});
  // At these addresses, as after a restart of the same executors.
  Executors(Loop& loop, const std::vector<std::string>& at, double run_time);
  // Called with each job in the moment in which it begins, before a word of it is answered.
  void observe(std::function<void(const BegunJob&)> begun) { begun_ = std::move(begun); }
  const std::vector<std::string>& addresses() const { return addresses_; }
  void run_time(double seconds) { run_time_ = seconds; }
  // Running jobs tell of their progress so often, in seconds; 0: once, at the start.
  void progress(double seconds) { progress_ = seconds; }
  void faults(std::vector<JobFaultRule> rules);

  Traffic traffic;
  std::uint64_t came = 0, done = 0, faulty = 0, broken = 0;  // jobs; broken: its connection ended before done
  int open = 0;                                              // jobs that came and have no end yet

 private:
  struct Connection {
    StreamRef stream;
    std::size_t executor = 0;
    bool busy = false;
    std::uint64_t job = 0;
  };
  using ConnectionRef = std::shared_ptr<Connection>;
  void listen_at(const std::string& address);
  void accept_from(std::size_t executor);
  void read_from(const ConnectionRef& connection);
  void take(const ConnectionRef& connection, BegunJob job);
  void run(const ConnectionRef& connection, const std::string& id, double seconds);
  void tell_progress(const ConnectionRef& connection, std::uint64_t job, const std::string& id);
  void finish(const ConnectionRef& connection, std::uint64_t job, const std::string& id);
  void end(const ConnectionRef& connection);
  const JobFaultRule* fault_now();
  Loop& loop_;
  double run_time_, progress_ = 0;
  LoopTime start_ = LoopClock::now();
  std::function<void(const BegunJob&)> begun_;
  std::vector<JobFaultRule> faults_;
  std::vector<double> owed_;  // of each rule: the share of jobs that it has not had yet
  std::vector<net::Socket> listeners_;
  std::vector<std::string> addresses_;
  std::unordered_map<Connection*, ConnectionRef> connections_;
};

}  // namespace canvasstage::lab
