// The part of Node that sends attempts to executors, over idle or new connections, and handles their ends.
#include <algorithm>
#include <utility>

#include "core/node.h"

namespace canvasstage {

void Node::start_attempt(int request, int executor, Time give_up_at) {
  const Id id = ++last_attempt_;
  RequestSlot& slot = request_slots_[request];
  ExecutorInfo& info = executors_[executor];
  RunningAttempt& running =
      running_attempts_.emplace(id, RunningAttempt{request, static_cast<int>(slot.attempts.size()), executor})
          .first->second;
  slot.attempts.push_back(id);
  ++slot.pending_attempts;
  const std::optional<RuleViolation> violation =
      rule_monitor_.check_attempt(now_, request, executor, give_up_at, terms_.drain_grace);
  report_violation(violation, slot.id);
  if (violation) return end_not_sent(id, running);
  if (slot.attempts.size() > 1) log_retry(request, executor);
  Id reused_connection = 0;
  if (!info.idle_connections.empty()) {
    reused_connection = info.idle_connections.back().attempt;
    info.idle_connections.pop_back();
  } else if (descriptors_used() < max_descriptors_ || close_longest_idle_connection()) {
    ++executor_connection_count_;
  } else {
    return end_not_sent(id, running);  // no descriptor is left
  }
  // Delays before the write, above all a connection that is established late, must not carry the attempt
  // beyond the window in which executors recognise a repeated request; the network delay to the executor
  // counts too.
  const Time window_end = policy_.idempotency_window_end(policy_.requests[request]);
  const Time write_by =
      window_end == kNever ? kNever
                           : window_end - settings_.quantum - policy_.zone_delay(policy_.executors[executor]);
  AttemptOrder order{id, reused_connection, info.address, slot.payload, give_up_at, write_by, nullptr};
  if (logs_attempts(slot.use_case)) order.record = log_attempt(id, request, executor);
  effects_.start_attempt(order);
  effects_.wake_at(give_up_at, kAttemptTokenBit | id);
}

// Ends an attempt that cannot be sent, after a short delay so that Policy does not retry at once.
void Node::end_not_sent(Id attempt, RunningAttempt& running) {
  constexpr Time kNotSentDelay = kSecond / 50;
  running.not_sent = true;
  effects_.wake_at(now_ + kNotSentDelay, kAttemptTokenBit | attempt);
}

void Node::cancel_attempt(int request, int attempt) {
  const Id id = request_slots_[request].attempts[attempt];
  const auto found = running_attempts_.find(id);
  if (found == running_attempts_.end() || found->second.cancelled || found->second.not_sent) return;
  found->second.cancelled = true;
  // No thread reads from a suspended attempt: its timer ends it.
  if (found->second.read_state) return effects_.wake_at(now_, kAttemptTokenBit | id);
  effects_.abandon_attempt(id);
}

void Node::shed(int request, Time retry_after) {
  answer(request, Answer::kShed, nullptr, retry_after);
}

void Node::fail(int request) {
  answer(request, Answer::kFailed, nullptr, 0);
}

// Ends an attempt whose time is over without waiting for the thread that serves it, which may be blocked.
void Node::attempt_timer_due(Time now, Id attempt) {
  const auto found = running_attempts_.find(attempt);
  if (found == running_attempts_.end()) return;
  const RunningAttempt& running = found->second;
  const Outcome outcome = running.not_sent                          ? Outcome::kNotSent
                          : running.cancelled && running.read_state ? Outcome::kConnectionLost
                                                                    : Outcome::kTimedOut;
  if (!running.not_sent) effects_.abandon_attempt(attempt);
  attempt_ended(now, attempt, outcome, nullptr, false, nullptr);
}

void Node::attempt_accepted(Time now, Id attempt) {
  now_ = now;
  const auto found = running_attempts_.find(attempt);
  if (found == running_attempts_.end()) return;
  policy_.attempt_accepted(now, found->second.request, found->second.number);
}

void Node::attempt_started(Time now, Id attempt) {
  now_ = now;
  const auto found = running_attempts_.find(attempt);
  if (found == running_attempts_.end()) return;
  policy_.attempt_started(now, found->second.request, found->second.number);
}

void Node::attempt_progressed(Time now, Id attempt, double share_done) {
  now_ = now;
  const auto found = running_attempts_.find(attempt);
  if (found == running_attempts_.end()) return;
  policy_.attempt_progressed(now, found->second.request, found->second.number, share_done);
}

void Node::attempt_ended(Time now, Id attempt, Outcome outcome, PayloadRef result, bool connection_reusable,
                         const Load* load) {
  now_ = now;
  const auto found = running_attempts_.find(attempt);
  if (found == running_attempts_.end()) return;
  const RunningAttempt running = found->second;
  running_attempts_.erase(found);
  // A cancelled attempt ends with a broken connection; an outcome that came before still counts.
  if ((outcome == Outcome::kConnectionLost || outcome == Outcome::kStaleConnection) && running.cancelled)
    outcome = Outcome::kCancelled;
  if (connection_reusable && !running.cancelled) {
    executors_[running.executor].idle_connections.push_back({attempt, now});
  } else if (!running.not_sent) {
    --executor_connection_count_;
    // Policy assumes that an answered attempt leaves its connection open.
    if (outcome == Outcome::kSucceeded || outcome == Outcome::kFailed || outcome == Outcome::kRejected ||
        outcome == Outcome::kInvalidRequest)
      policy_.connection_closed(running.executor);
  }
  RequestSlot& slot = request_slots_[running.request];
  --slot.pending_attempts;
  if (outcome == Outcome::kSucceeded) answer(running.request, Answer::kSucceeded, result, 0);
  // A request that two executors call invalid is treated as invalid everywhere. A single executor may itself
  // be faulty, and answers fast.
  if (outcome == Outcome::kInvalidRequest && ++slot.invalid_request_count == 2)
    answer(running.request, Answer::kRejected, nullptr, 0);
  const Time sent_at = policy_.requests[running.request].attempts[running.number].sent_at;
  slot.last_outcome = outcome;
  rule_monitor_.attempt_ended(running.request, static_cast<std::size_t>(running.number),
                              may_have_run(outcome));
  policy_.attempt_ended(now, running.request, running.number, outcome, now - sent_at, slot.ended, load);
  if (logs_attempts(slot.use_case))
    record_attempt_end(attempt, policy_.requests[running.request].attempts[running.number].may_have_run,
                       outcome);
  release_if_finished(running.request);
  if (!handing_over_) return;
  hand_over_idle_connections(running.executor);
  hand_over_if_ready(running.request);
}

}  // namespace canvasstage
