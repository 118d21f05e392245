#include "core/rule_monitor.h"

#include <algorithm>
#include <utility>

namespace canvasstage {
namespace {

// An answer later than this after the deadline violates Rule::kFinalAnswer.
constexpr Time kLateAnswerTolerance = kSecond / 2;

std::string format_milliseconds(Time duration) {
  return std::to_string(duration / (kSecond / 1000)) + " ms";
}

}  // namespace

const char* name_of(Rule rule) {
  static constexpr const char* kNames[kRuleCount] = {"final_answer", "effect_once", "drain", "deadline"};
  return kNames[static_cast<std::size_t>(rule)];
}

std::optional<RuleViolation> RuleMonitor::record_violation(Rule rule, std::string description) {
  ++counts_[static_cast<std::size_t>(rule)];
  return RuleViolation{rule, std::move(description)};
}

RuleMonitor::RequestState& RuleMonitor::request_at(int request) {
  const auto index = static_cast<std::size_t>(request);
  if (index >= requests_.size()) requests_.resize(index + 1);
  return requests_[index];
}

const RuleMonitor::ExecutorState& RuleMonitor::executor_at(int executor) {
  const auto index = static_cast<std::size_t>(executor);
  if (index >= executors_.size()) executors_.resize(index + 1);
  return executors_[index];
}

void RuleMonitor::executor_listed(Time now, int executor, Lifecycle lifecycle, int zone, int cell) {
  executor_at(executor);
  ExecutorState& state = executors_[static_cast<std::size_t>(executor)];
  // The drain grace does not restart when a draining executor is removed.
  if ((lifecycle == Lifecycle::kActive) != (state.lifecycle == Lifecycle::kActive))
    state.active_changed_at = now;
  state.lifecycle = lifecycle;
  state.zone = zone;
  state.cell = cell;
}

void RuleMonitor::request_accepted(int request, const UseCase& use_case, Time deadline) {
  RequestState& state = request_at(request);
  state.effect = use_case.effect;
  state.idempotency_scope = use_case.idempotency_scope;
  state.idempotency_window = use_case.idempotency_window;
  state.deadline = deadline;
  state.closed = false;
  state.attempts.clear();
}

void RuleMonitor::restore_attempt(int request, int executor, Time sent_at, bool pending, bool may_have_run) {
  request_at(request).attempts.push_back({executor, sent_at, pending, may_have_run});
}

std::optional<RuleViolation> RuleMonitor::request_answered(Time now, int request) {
  RequestState& state = request_at(request);
  if (std::exchange(state.closed, true)) return record_violation(Rule::kFinalAnswer, "second final answer");
  if (now > state.deadline + kLateAnswerTolerance)
    return record_violation(Rule::kFinalAnswer,
                            "answered " + format_milliseconds(now - state.deadline) + " after its deadline");
  return std::nullopt;
}

void RuleMonitor::request_released(int request) {
  request_at(request).closed = true;
}

std::optional<RuleViolation> RuleMonitor::check_attempt(Time now, int request, int executor, Time give_up_at,
                                                        Time drain_grace) {
  RequestState& state = request_at(request);
  const ExecutorState& target = executor_at(executor);
  std::optional<RuleViolation> violation;
  if (state.closed)
    violation = record_violation(Rule::kFinalAnswer, "attempt for a request that is already closed");
  else if (give_up_at > state.deadline)
    violation = record_violation(Rule::kDeadline, "give-up time of the attempt is " +
                                                      format_milliseconds(give_up_at - state.deadline) +
                                                      " after the deadline");
  else if (target.lifecycle != Lifecycle::kActive && now > target.active_changed_at + drain_grace)
    violation =
        record_violation(Rule::kDrain, "attempt " + format_milliseconds(now - target.active_changed_at) +
                                           " after its executor was listed as draining or removed");
  else
    violation = check_retry(now, state, executor);
  // A refused attempt is never sent, but it is recorded here, because the node counts it when it numbers the
  // attempts of the request.
  state.attempts.push_back({executor, now, !violation, !violation});
  return violation;
}

std::optional<RuleViolation> RuleMonitor::check_retry(Time now, const RequestState& request, int executor) {
  if (std::ranges::any_of(request.attempts, &AttemptState::pending))
    return record_violation(Rule::kEffectOnce, "attempt while another attempt of the request is pending");
  const auto first_run = std::ranges::find(request.attempts, true, &AttemptState::may_have_run);
  if (first_run == request.attempts.end() || request.effect == Effect::kIdempotent) return std::nullopt;
  if (request.effect == Effect::kAtMostOnce)
    return record_violation(Rule::kEffectOnce,
                            "retry of an at-most-once request of which an attempt may have run");
  if (now > first_run->sent_at + request.idempotency_window)
    return record_violation(Rule::kEffectOnce,
                            "retry " + format_milliseconds(now - first_run->sent_at) +
                                " after the first attempt that may have run, outside the idempotency window");
  const ExecutorState& first_executor = executor_at(first_run->executor);
  const ExecutorState& target = executor_at(executor);
  const bool outside_scope =
      (request.idempotency_scope == IdempotencyScope::kZone && first_executor.zone != target.zone) ||
      (request.idempotency_scope == IdempotencyScope::kCell && first_executor.cell != target.cell);
  if (outside_scope)
    return record_violation(Rule::kEffectOnce,
                            "retry outside the idempotency scope of the first attempt that may have run");
  return std::nullopt;
}

void RuleMonitor::attempt_ended(int request, std::size_t number, bool may_have_run) {
  RequestState& state = request_at(request);
  if (number >= state.attempts.size()) return;
  state.attempts[number].pending = false;
  state.attempts[number].may_have_run = may_have_run;
}

}  // namespace canvasstage
