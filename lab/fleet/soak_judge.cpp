#include "fleet/soak_judge.h"

#include <algorithm>
#include <utility>

namespace canvasstage::lab::fleet {
namespace {

// Added to every limit: delays of stand-ins and pipes on a busy machine, in microseconds.
constexpr std::int64_t kMeasurementSlackUs = 100000;
// No attempt may begin later than this after its client disconnected.
constexpr std::int64_t kDisconnectGraceUs = 100000;
// The time left that a node passes on may exceed the actual time left by this.
constexpr std::int64_t kDeadlineSlackUs = 150000;
// Time from a change at discovery until all nodes must follow it, also those that have not received it.
constexpr double kPublishTimeout = 6;  // seconds
constexpr double kMicrosecondsPerSecond = 1e6;

std::string milliseconds(std::int64_t us) {
  return std::to_string(us / 1000) + " ms";
}

}  // namespace

void SoakJudge::violated(const std::string& rule, const std::string& details) {
  violations_.push_back(rule + ": " + details);
}

void SoakJudge::request_sent(const std::string& id, SoakRequest request) {
  ++counts_.requests;
  ++open_;
  requests_.emplace(id, std::move(request));
}

void SoakJudge::request_ended(const std::string& id, const RequestResult& end) {
  SoakRequest& request = requests_.at(id);
  if (std::exchange(request.ended, true)) return;
  request.end = end;
  --open_;
  judge_end(id, request);
}

bool SoakJudge::killed_between(int node, std::int64_t from_us, std::int64_t until_us) const {
  const auto found = kills_.find(node);
  return found != kills_.end() && std::ranges::any_of(found->second, [&](std::int64_t at) {
           return at + kMeasurementSlackUs >= from_us && at - kMeasurementSlackUs <= until_us;
         });
}

void SoakJudge::judge_end(const std::string& id, const SoakRequest& request) {
  const RequestResult& end = request.end;
  const std::string duration = milliseconds(end.ended_us - end.sent_us) + " of " +
                               std::to_string(request.sent.time_left_ms) + " ms at node " +
                               std::to_string(request.node);
  switch (end.end) {
    case RequestEnd::kAnswered:
      ++(end.status == 200                        ? counts_.served
         : end.status == 429 || end.status == 503 ? counts_.refused
                                                  : counts_.failed);
      if (end.status >= 400 && end.status < 500 && end.status != 429 && !request.sent.stalls)
        violated("answer",
                 id + " is rejected as a bad request: " + std::to_string(end.status) + " after " + duration);
      return;
    case RequestEnd::kUnreachable:
      ++counts_.unreachable;
      return;
    case RequestEnd::kDisconnected:
      ++counts_.disconnected;
      return;
    case RequestEnd::kConnectionLost:
    case RequestEnd::kTimedOut:
      if (request.sent.stalls && end.end == RequestEnd::kConnectionLost)
        return;  // the node must only end such a request
      if (killed_between(request.node, end.sent_us, end.ended_us)) {
        ++counts_.cut_off;
        return;
      }
      violated("lost",
               id +
                   (end.end == RequestEnd::kConnectionLost ? " lost its connection without an answer after "
                                                           : " got no answer after ") +
                   duration);
  }
}

void SoakJudge::attempt_started(const StartedAttempt& attempt) {
  ++counts_.attempts;
  attempts_[attempt.id].push_back(attempt);
  const auto drains = draining_since_.find(attempt.executor);
  if (drains == draining_since_.end() || may_be_delayed(attempt)) return;
  const auto limit = drains->second +
                     static_cast<std::int64_t>((kPublishTimeout + drain_grace_) * kMicrosecondsPerSecond) +
                     kMeasurementSlackUs;
  if (attempt.at_us > limit)
    violated("drain", attempt.id + " begins at executor " + std::to_string(attempt.executor) + " " +
                          milliseconds(attempt.at_us - drains->second) + " after it was listed as leaving");
}

bool SoakJudge::may_be_delayed(const StartedAttempt& attempt) const {
  const auto found = delayed_links_.find(attempt.executor);
  return found != delayed_links_.end() && std::ranges::any_of(found->second, [&](const DelaySpan& span) {
           return attempt.at_us >= span.from_us && attempt.at_us <= span.until_us + kMeasurementSlackUs;
         });
}

std::string SoakJudge::history(const std::string& idempotency_key) const {
  std::string text;
  for (const auto& [id, request] : requests_) {
    if (request.sent.idempotency_key != idempotency_key) continue;
    text += " [" + id + " node " + std::to_string(request.node) + " from " +
            std::to_string(request.end.sent_us) + " to " + std::to_string(request.end.ended_us) +
            " us: " + std::to_string(request.end.status) + "/" +
            std::to_string(static_cast<int>(request.end.end));
    if (const auto found = attempts_.find(id); found != attempts_.end())
      for (const StartedAttempt& attempt : found->second)
        text += ", executor " + std::to_string(attempt.executor) + " at " + std::to_string(attempt.at_us);
    text += "]";
  }
  return text;
}

void SoakJudge::judge_attempt(const StartedAttempt& attempt, const SoakRequest& request) {
  if (may_be_delayed(attempt)) return;
  const RequestResult& end = request.end;
  const std::string at = attempt.id + " at executor " + std::to_string(attempt.executor);
  if (end.end == RequestEnd::kDisconnected &&
      attempt.at_us > end.ended_us + kDisconnectGraceUs + kMeasurementSlackUs)
    violated("leaver",
             at + " begins " + milliseconds(attempt.at_us - end.ended_us) + " after its client disconnected");
  if (end.end == RequestEnd::kAnswered && attempt.at_us > end.ended_us + kMeasurementSlackUs)
    violated("ended", at + " begins " + milliseconds(attempt.at_us - end.ended_us) + " after its answer");
  const std::int64_t left_us = end.sent_us + std::int64_t{request.sent.time_left_ms} * 1000 - attempt.at_us +
                               kDeadlineSlackUs + kMeasurementSlackUs;
  if (attempt.time_left_ms * 1000 > left_us)
    violated("deadline", at + " was sent a time left of " + std::to_string(attempt.time_left_ms) + " ms, " +
                             milliseconds(left_us - kDeadlineSlackUs - kMeasurementSlackUs) + " remained");
}

void SoakJudge::finish() {
  for (const auto& [id, request] : requests_) {
    if (!request.ended) {
      violated("lost", id + " has not ended at node " + std::to_string(request.node));
      continue;
    }
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) continue;
    if (request.at_most_once && found->second.size() > 1)
      violated("twice",
               id + " of an at-most-once use case began " + std::to_string(found->second.size()) + " times");
    for (const StartedAttempt& attempt : found->second) judge_attempt(attempt, request);
  }
  std::ranges::sort(violations_);
}

}  // namespace canvasstage::lab::fleet
