#include "core/rule_monitor.h"

#include <algorithm>
#include <utility>

namespace canvasstage {
namespace {

// An answer so long after its deadline is none.
constexpr Time kLateAnswer = kSecond / 2;

std::string milliseconds(Time time) {
  return std::to_string(time / (kSecond / 1000)) + " ms";
}

}  // namespace

const char* name_of(Rule rule) {
  static constexpr const char* kNames[kRules] = {"final_answer", "effect_once", "drain", "deadline"};
  return kNames[static_cast<std::size_t>(rule)];
}

std::optional<RuleViolation> RuleMonitor::violated(Rule rule, std::string what) {
  ++counts_[static_cast<std::size_t>(rule)];
  return RuleViolation{rule, std::move(what)};
}

RuleMonitor::RequestSeen& RuleMonitor::request_at(int request) {
  const auto place = static_cast<std::size_t>(request);
  if (place >= requests_.size()) requests_.resize(place + 1);
  return requests_[place];
}

const RuleMonitor::ExecutorSeen& RuleMonitor::executor_at(int executor) {
  const auto place = static_cast<std::size_t>(executor);
  if (place >= executors_.size()) executors_.resize(place + 1);
  return executors_[place];
}

void RuleMonitor::executor_listed(Time now, int executor, Lifecycle standing, int zone, int cell) {
  executor_at(executor);
  ExecutorSeen& seen = executors_[static_cast<std::size_t>(executor)];
  // From draining to gone the grace does not begin anew.
  if ((standing == Lifecycle::kActive) != (seen.standing == Lifecycle::kActive)) seen.since = now;
  seen.standing = standing;
  seen.zone = zone;
  seen.cell = cell;
}

void RuleMonitor::request_accepted(int request, const UseCase& terms, Time due) {
  RequestSeen& seen = request_at(request);
  seen.effect = terms.effect;
  seen.group = terms.idempotency_scope;
  seen.window = terms.idempotency_window;
  seen.due = due;
  seen.over = false;
  seen.attempts.clear();
}

void RuleMonitor::restore_attempt(int request, int executor, Time sent, bool pending, bool may_have_run) {
  request_at(request).attempts.push_back({executor, sent, pending, may_have_run});
}

std::optional<RuleViolation> RuleMonitor::request_answered(Time now, int request) {
  RequestSeen& seen = request_at(request);
  if (std::exchange(seen.over, true)) return violated(Rule::kFinalAnswer, "a second final answer");
  if (now > seen.due + kLateAnswer)
    return violated(Rule::kFinalAnswer, "answered " + milliseconds(now - seen.due) + " after its deadline");
  return std::nullopt;
}

void RuleMonitor::request_released(int request) {
  request_at(request).over = true;
}

std::optional<RuleViolation> RuleMonitor::check_attempt(Time now, int request, int executor, Time give_up_at,
                                                        Time drain_grace) {
  RequestSeen& seen = request_at(request);
  const ExecutorSeen& to = executor_at(executor);
  std::optional<RuleViolation> violation;
  if (seen.over)
    violation = violated(Rule::kFinalAnswer, "an attempt for a request that has its end");
  else if (give_up_at > seen.due)
    violation = violated(Rule::kDeadline, "an attempt is told " + milliseconds(give_up_at - seen.due) +
                                              " beyond the deadline");
  else if (to.standing != Lifecycle::kActive && now > to.since + drain_grace)
    violation = violated(Rule::kDrain, "an attempt " + milliseconds(now - to.since) +
                                           " after its executor was told to drain or to be gone");
  else
    violation = check_repeat(now, seen, executor);
  // A refused one never runs, and keeps its number.
  seen.attempts.push_back({executor, now, !violation, !violation});
  return violation;
}

std::optional<RuleViolation> RuleMonitor::check_repeat(Time now, const RequestSeen& request, int executor) {
  if (std::ranges::any_of(request.attempts, &AttemptSeen::pending))
    return violated(Rule::kEffectOnce, "an attempt beside one that is out");
  const auto ran = std::ranges::find(request.attempts, true, &AttemptSeen::may_have_run);
  if (ran == request.attempts.end() || request.effect == Effect::kIdempotent) return std::nullopt;
  if (request.effect == Effect::kAtMostOnce)
    return violated(Rule::kEffectOnce, "a further attempt of one that may have run and may not run twice");
  if (now > ran->sent + request.window)
    return violated(Rule::kEffectOnce, "a further attempt " + milliseconds(now - ran->sent) +
                                           " after the first, outside its window");
  const ExecutorSeen& first = executor_at(ran->executor);
  const ExecutorSeen& to = executor_at(executor);
  const bool outside = (request.group == IdempotencyScope::kZone && first.zone != to.zone) ||
                       (request.group == IdempotencyScope::kCell && first.cell != to.cell);
  if (outside) return violated(Rule::kEffectOnce, "a further attempt outside the group of the first");
  return std::nullopt;
}

void RuleMonitor::attempt_ended(int request, std::size_t number, bool may_have_run) {
  RequestSeen& seen = request_at(request);
  if (number >= seen.attempts.size()) return;
  seen.attempts[number].pending = false;
  seen.attempts[number].may_have_run = may_have_run;
}

}  // namespace canvasstage
