// Checks the four rules from outside the nodes: by the attempts sent, the membership that each node had
// received by then, and the answers that clients got. Shares no code with the nodes' own checks.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "emulator/events.h"
#include "emulator/scenario.h"

namespace canvasstage::lab {

// kSingleAnswer: each request gets exactly one answer by its deadline, and no attempt starts after it.
// kNoUnsafeRetry: an attempt that may have run is retried only as the effect of its class allows.
// kDrain: no attempt starts at an executor later than the drain grace after the node learned that it is not
// active.
// kColdLoad: a cold executor receives no more work than its capacity of the moment allows.
enum class Rule { kSingleAnswer, kNoUnsafeRetry, kDrain, kColdLoad };
constexpr std::size_t kRuleCount = 4;

// Load that all nodes together sent to cold executors, counted in requests of mean work. N is what the
// settings allow in one overload_span at the capacity of the moment; the limit is N + 2 sqrt(N) + 2.
struct ColdStartStats {
  std::uint64_t executors = 0, overloaded = 0;  // starts, and those that exceeded the limit in any span
  double peak_load = 0;                         // highest load in a span / limit
  double budget_use = 0;                        // load in the warm-up / what N allows; mean over the starts
};

// Every call reports an event of the emulation, in order of time.
class RuleChecker {
 public:
  explicit RuleChecker(const Scenario& scenario);

  void add_executor(int executor, int zone, int cell, double capacity);
  // Starts the warm-up of the executor.
  void executor_started(int executor, Microseconds now);
  // Records that the node received an executor list in which the executor is active, or is not.
  void membership_reported(int node, int executor, bool active, Microseconds now);

  void request_accepted(std::uint64_t request, int use_case, Microseconds due);
  void attempt_started(std::uint64_t request, std::uint64_t attempt_id, int node, int executor, double work,
                       Microseconds now);
  // Records that the attempt never ran, which the outcome reported to the node proves.
  void attempt_not_run(std::uint64_t request, std::uint64_t attempt_id);
  // Records that the attempt has ended or that its connection is closed.
  void attempt_closed(std::uint64_t request, std::uint64_t attempt_id);
  void answered(std::uint64_t request, bool shed, Microseconds now);
  void client_disconnected(std::uint64_t request);
  // Ends the run: reports each request that is past its deadline without an answer.
  void run_ended(Microseconds now);

  std::uint64_t violations(Rule rule) const { return violations_[static_cast<std::size_t>(rule)]; }
  std::uint64_t violations() const;
  // Returns the messages of the first violations.
  const std::vector<std::string>& messages() const { return messages_; }
  const ColdStartStats& cold() const { return cold_; }

 private:
  struct Attempt {
    std::uint64_t id;
    int executor;
    Microseconds started_at;
    bool may_have_run = true, open = true;
  };
  struct Request {
    int use_case = 0;
    Microseconds due = 0;
    bool closed = false;
    std::vector<Attempt> attempts;
  };
  struct Executor {
    int zone = 0, cell = 0;
    double capacity = 1;
    Microseconds started = -1;
    std::deque<std::pair<Microseconds, double>> recent_work;
    double recent_work_sum = 0;
    // In requests of mean work: those of the last span, their sum, the total of the warm-up; peak / limit.
    std::deque<std::pair<Microseconds, double>> recent_requests;
    double requests_in_span = 0, total_requests = 0, peak_load = 0;
  };
  void report_violation(Rule rule, Microseconds now, const std::string& message);
  void check_retry(const Request& record, int executor, Microseconds now);
  void check_cold_load(Executor& executor, int index, double work, Microseconds now);
  void record_cold_load(Executor& executor, int use_case, Microseconds now);
  double allowed_requests(const Executor& executor, double capacity_share) const;
  void finish_warm_up(Executor& executor, Microseconds now);

  const Scenario& scenario_;
  std::vector<Executor> executors_;
  std::unordered_map<std::uint64_t, Request> requests_;
  std::unordered_map<std::uint64_t, Microseconds> inactive_since_;  // by node_executor_key()
  std::array<std::uint64_t, kRuleCount> violations_{};
  std::vector<std::string> messages_;
  ColdStartStats cold_;
};

}  // namespace canvasstage::lab
