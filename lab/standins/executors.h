// A stand-in for thousands of executors on one thread, each with its own loopback address and listening
// socket.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "standins/loop.h"

namespace canvasstage::lab {

// What an executor does with an attempt instead of running it.
enum class AttemptFault {
  kRefuse,  // 503 with X-Unprocessed: 1
  kHang,    // reads the attempt and never answers
  kSilent,  // answers 200 and sends no body
  kReset,   // resets the connection without an answer
  kLate     // runs the attempt, but starts to answer `late` seconds later
};

struct AttemptFaultRule {
  AttemptFault kind = AttemptFault::kHang;
  double share = 1;              // of the attempts received, chosen deterministically
  double from = 0, until = 1e9;  // seconds since the stand-ins started
  double late = 0;               // seconds, for kLate
};

// An attempt that an executor has started.
struct StartedAttempt {
  std::size_t executor = 0;  // index of the executor
  std::string id, idempotency_key;
  std::int64_t time_left_ms = -1;  // from X-Time-Left; negative: absent or malformed
  std::int64_t at_us = 0;          // steady_us() at the start
};
// Microseconds of the steady clock, which all processes of a machine share.
std::int64_t steady_us();

// Belongs to the loop's thread.
class Executors {
 public:
  static constexpr int kMaxExecutors = 6400;
  static constexpr int kMaxOpenAttempts = 8000;
  // Binds `count` addresses. Throws StandinError unless `count` is 1 to kMaxExecutors; a failed bind throws
  // as net::listen_on does. `run_time` is the seconds from an attempt's last byte to its result.
  Executors(Loop& loop, int count, double run_time, std::vector<AttemptFaultRule> rules = {});
  // Binds the given addresses, as after a restart of the same executors.
  Executors(Loop& loop, const std::vector<std::string>& addresses, double run_time);
  // `begun` is called for each attempt when it starts, before any byte of its answer is sent.
  void observe(std::function<void(const StartedAttempt&)> begun) { on_begun_ = std::move(begun); }
  const std::vector<std::string>& addresses() const { return addresses_; }
  void run_time(double seconds) { run_time_s_ = seconds; }
  // Seconds between the progress reports of a running attempt; 0: one report at the start.
  void progress(double seconds) { progress_interval_s_ = seconds; }
  void faults(std::vector<AttemptFaultRule> rules);

  Traffic traffic;
  std::uint64_t received = 0, done = 0, faulted = 0,
                broken = 0;  // attempts; broken: the connection ended before the result
  int open = 0;              // attempts received and not yet ended

 private:
  struct Connection {
    StreamRef stream;
    std::size_t executor = 0;
    bool busy = false;
    std::uint64_t attempt_serial = 0;
  };
  using ConnectionRef = std::shared_ptr<Connection>;
  void listen_at(const std::string& address);
  void accept_from(std::size_t executor);
  void read_from(const ConnectionRef& connection);
  void start_attempt(const ConnectionRef& connection, StartedAttempt attempt);
  void run_attempt(const ConnectionRef& connection, const std::string& id, double seconds);
  void schedule_progress(const ConnectionRef& connection, std::uint64_t attempt_serial,
                         const std::string& id);
  void finish_attempt(const ConnectionRef& connection, std::uint64_t attempt_serial, const std::string& id);
  void end_connection(const ConnectionRef& connection);
  const AttemptFaultRule* next_fault();
  Loop& loop_;
  double run_time_s_, progress_interval_s_ = 0;
  LoopTime start_ = LoopClock::now();
  std::function<void(const StartedAttempt&)> on_begun_;
  std::vector<AttemptFaultRule> faults_;
  std::vector<double> accumulated_shares_;  // by rule: the fraction of an attempt still due
  std::vector<net::Socket> listeners_;
  std::vector<std::string> addresses_;
  std::unordered_map<Connection*, ConnectionRef> connections_;
};

}  // namespace canvasstage::lab
