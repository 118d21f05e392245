// The part of Node that sends attempts to executors, over free connections or new ones, and takes in how they
// end.
#include <algorithm>
#include <utility>

#include "core/node.h"

namespace canvasstage {

void Node::start_attempt(int submission, int executor, Time give_up_at) {
  const Id id = ++last_launch_;
  Entry& entry = entries_[submission];
  Place& place = places_[executor];
  Running& running =
      running_.emplace(id, Running{submission, static_cast<int>(entry.launches.size()), executor})
          .first->second;
  entry.launches.push_back(id);
  ++entry.pending;
  const std::optional<RuleViolation> violation =
      rules_.check_attempt(now_, submission, executor, give_up_at, terms_.drain_grace);
  check(violation, entry.id);
  if (violation) return end_unsent(id, running);
  if (entry.launches.size() > 1) note_retry(submission, executor);
  Id over = 0;
  if (!place.free.empty()) {
    over = place.free.back().launch;
    place.free.pop_back();
  } else if (descriptors_used() < most_descriptors_ || close_longest_free_link()) {
    ++links_;
  } else {
    return end_unsent(id, running);  // no descriptor is left
  }
  // What it waits for, a connection that comes up late above all, must not carry it beyond the window in
  // which a repeat is recognised; the way there counts.
  const Time window_end = policy_.idempotency_window_end(policy_.requests[submission]);
  const Time write_by =
      window_end == kNever ? kNever
                           : window_end - settings_.quantum - policy_.zone_delay(policy_.executors[executor]);
  AttemptOrder order{id, over, place.address, entry.payload, give_up_at, write_by, nullptr};
  if (logs_attempts(entry.use_case)) order.record = log_attempt(id, submission, executor);
  effects_.start_attempt(order);
  effects_.wake_at(give_up_at, kLaunchToken | id);
}

// After a short pause, so that the module's next try does not come at once.
void Node::end_unsent(Id launch, Running& running) {
  constexpr Time kPause = kSecond / 50;
  running.unsent = true;
  effects_.wake_at(now_ + kPause, kLaunchToken | launch);
}

void Node::cancel_attempt(int submission, int launch) {
  const Id id = entries_[submission].launches[launch];
  const auto found = running_.find(id);
  if (found == running_.end() || found->second.cancelled || found->second.unsent) return;
  found->second.cancelled = true;
  // Nobody reads from one that is parked: its own timer ends it.
  if (found->second.reading) return effects_.wake_at(now_, kLaunchToken | id);
  effects_.abandon_attempt(id);
}

void Node::shed(int submission, Time stay_away) {
  answer(submission, Answer::kShed, nullptr, stay_away);
}

void Node::fail(int submission) {
  answer(submission, Answer::kFailed, nullptr, 0);
}

// Its time is over: the thread that serves it may be anywhere, and is not waited for.
void Node::launch_timer_due(Time now, Id launch) {
  const auto found = running_.find(launch);
  if (found == running_.end()) return;
  const Running& running = found->second;
  const Outcome outcome = running.unsent                         ? Outcome::kNotSent
                          : running.cancelled && running.reading ? Outcome::kConnectionLost
                                                                 : Outcome::kTimedOut;
  if (!running.unsent) effects_.abandon_attempt(launch);
  attempt_ended(now, launch, outcome, nullptr, false, nullptr);
}

void Node::attempt_accepted(Time now, Id launch) {
  now_ = now;
  const auto found = running_.find(launch);
  if (found == running_.end()) return;
  policy_.attempt_accepted(now, found->second.submission, found->second.number);
}

void Node::attempt_started(Time now, Id launch) {
  now_ = now;
  const auto found = running_.find(launch);
  if (found == running_.end()) return;
  policy_.attempt_started(now, found->second.submission, found->second.number);
}

void Node::attempt_progressed(Time now, Id launch, double share_done) {
  now_ = now;
  const auto found = running_.find(launch);
  if (found == running_.end()) return;
  policy_.attempt_progressed(now, found->second.submission, found->second.number, share_done);
}

void Node::attempt_ended(Time now, Id launch, Outcome outcome, PayloadRef result, bool kept,
                         const Load* load) {
  now_ = now;
  const auto found = running_.find(launch);
  if (found == running_.end()) return;
  const Running running = found->second;
  running_.erase(found);
  // One that we gave up ends as a broken connection; what came before that still counts.
  if ((outcome == Outcome::kConnectionLost || outcome == Outcome::kStaleConnection) && running.cancelled)
    outcome = Outcome::kCancelled;
  if (kept && !running.cancelled) {
    places_[running.executor].free.push_back({launch, now});
  } else if (!running.unsent) {
    --links_;
    // The module takes it that one that was answered leaves its connection.
    if (outcome == Outcome::kSucceeded || outcome == Outcome::kFailed || outcome == Outcome::kRejected ||
        outcome == Outcome::kInvalidRequest)
      policy_.connection_closed(running.executor);
  }
  Entry& entry = entries_[running.submission];
  --entry.pending;
  if (outcome == Outcome::kSucceeded) answer(running.submission, Answer::kSucceeded, result, 0);
  // What two call a bad request is one everywhere; one alone may be the one that is wrong, and quick.
  if (outcome == Outcome::kInvalidRequest && ++entry.rejected == 2)
    answer(running.submission, Answer::kRejected, nullptr, 0);
  const Time sent = policy_.requests[running.submission].attempts[running.number].sent_at;
  entry.last_outcome = outcome;
  rules_.attempt_ended(running.submission, static_cast<std::size_t>(running.number), may_have_run(outcome));
  policy_.attempt_ended(now, running.submission, running.number, outcome, now - sent, entry.ended, load);
  if (logs_attempts(entry.use_case))
    record_attempt_end(launch, policy_.requests[running.submission].attempts[running.number].may_have_run,
                       outcome);
  release_if_over(running.submission);
  if (!handing_over_) return;
  hand_over_free_links(running.executor);
  hand_over_if_ready(running.submission);
}

}  // namespace canvasstage
