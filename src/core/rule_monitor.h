// Checks the rules that hold for every request and every attempt at run time, against the events that the
// node reports. The monitor keeps its own state and consults neither the decisions of policy.h nor their
// reasons. The node does not send an attempt that the monitor refuses; each violation is counted and returned
// to the caller. No I/O, no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "policy.h"

namespace canvasstage {

enum class Rule {
  kFinalAnswer,  // a request has one answer, by its deadline, and no attempt after it
  kEffectOnce,   // a retry only where no effect can happen twice; one pending attempt at a time
  kDrain,        // no attempt to a draining or removed executor after the drain grace
  kDeadline,     // the give-up time of an attempt is not after the deadline of its request
  kCount
};
// Number of rules.
constexpr std::size_t kRuleCount = static_cast<std::size_t>(Rule::kCount);
// Returns the rule's name in the log and in the metrics.
const char* name_of(Rule rule);

struct RuleViolation {
  Rule rule;
  std::string description;  // which part of the rule was violated, for the log
};

// Called on the reducer's thread. Each function that can find a violation returns it, or nullopt.
class RuleMonitor {
 public:
  // Violations by rule.
  using Counts = std::array<std::uint64_t, kRuleCount>;

  // Records how the executor list describes an executor from `now` on.
  void executor_listed(Time now, int executor, Lifecycle lifecycle, int zone, int cell);

  // Starts to monitor a request. `request` is the node's index, which is reused after the request is closed;
  // `deadline` is the one that its client set.
  void request_accepted(int request, const UseCase& use_case, Time deadline);
  // Adds an attempt that another process of the node sent, or that was sent before a power loss.
  void restore_attempt(int request, int executor, Time sent_at, bool pending, bool may_have_run);
  // Closes a request whose final answer is being sent.
  std::optional<RuleViolation> request_answered(Time now, int request);
  // Closes a request without an answer: its client left, or it was handed over to another process.
  void request_released(int request);

  // Must be called before each attempt is sent. An attempt that violates a rule must not be sent; it takes an
  // attempt number all the same.
  std::optional<RuleViolation> check_attempt(Time now, int request, int executor, Time give_up_at,
                                             Time drain_grace);
  // `number` counts the attempts of the request from 0.
  void attempt_ended(int request, std::size_t number, bool may_have_run);

  const Counts& counts() const { return counts_; }

 private:
  struct ExecutorState {
    Lifecycle lifecycle = Lifecycle::kActive;
    int zone = -1, cell = -1;
    Time active_changed_at = 0;  // when `lifecycle` last changed to or from kActive
  };
  struct AttemptState {
    int executor = 0;
    Time sent_at = 0;
    bool pending = true, may_have_run = true;
  };
  // Holds only the fields of the use case that the rules need, since thousands of requests may be open.
  struct RequestState {
    Effect effect = Effect::kIdempotent;
    IdempotencyScope idempotency_scope = IdempotencyScope::kAll;
    bool closed = true;
    Time idempotency_window = 0;
    Time deadline = 0;
    std::vector<AttemptState> attempts;
  };
  // Both functions grow their vector as needed.
  RequestState& request_at(int request);
  const ExecutorState& executor_at(int executor);
  std::optional<RuleViolation> record_violation(Rule rule, std::string description);
  std::optional<RuleViolation> check_retry(Time now, const RequestState& request, int executor);

  std::vector<ExecutorState> executors_;
  std::vector<RequestState> requests_;
  Counts counts_{};
};

}  // namespace canvasstage
