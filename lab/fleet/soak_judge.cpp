#include "fleet/soak_judge.h"

#include <algorithm>
#include <utility>

namespace canvasstage::lab::fleet {
namespace {

// What stand-ins and pipes of a busy machine take, in microseconds: a rule counts as broken beyond its limit
// and this.
constexpr std::int64_t kMeasuring = 100000;
constexpr std::int64_t kLeaverLimit = 100000;    // no attempt begins so long after its client left
constexpr std::int64_t kDeadlineSlack = 150000;  // of the time left that is passed on
// A change counts as told so long after discovery had it, also where a node does not hear it.
constexpr double kToldAfter = 6;  // seconds
constexpr double kMicroseconds = 1e6;

std::string milliseconds(std::int64_t us) {
  return std::to_string(us / 1000) + " ms";
}

}  // namespace

void SoakJudge::violated(const std::string& rule, const std::string& what) {
  violations_.push_back(rule + ": " + what);
}

void SoakJudge::request_sent(const std::string& id, SoakRequest request) {
  ++counts_.requests;
  ++open_;
  requests_.emplace(id, std::move(request));
}

void SoakJudge::request_ended(const std::string& id, const RequestAnswered& end) {
  SoakRequest& request = requests_.at(id);
  if (std::exchange(request.ended, true)) return;
  request.end = end;
  --open_;
  judge_end(id, request);
}

bool SoakJudge::killed_between(int node, std::int64_t from_us, std::int64_t until_us) const {
  const auto found = kills_.find(node);
  return found != kills_.end() && std::ranges::any_of(found->second, [&](std::int64_t at) {
           return at + kMeasuring >= from_us && at - kMeasuring <= until_us;
         });
}

void SoakJudge::judge_end(const std::string& id, const SoakRequest& request) {
  const RequestAnswered& end = request.end;
  const std::string took = milliseconds(end.ended_us - end.sent_us) + " of " +
                           std::to_string(request.sent.time_left_ms) + " ms at node " +
                           std::to_string(request.node);
  switch (end.end) {
    case RequestEnd::kAnswered:
      ++(end.status == 200                        ? counts_.served
         : end.status == 429 || end.status == 503 ? counts_.refused
                                                  : counts_.failed);
      if (end.status >= 400 && end.status < 500 && end.status != 429 && !request.sent.halts)
        violated("answer", id + " is called a bad request: " + std::to_string(end.status) + " after " + took);
      return;
    case RequestEnd::kUnreachable:
      ++counts_.unreachable;
      return;
    case RequestEnd::kLeft:
      ++counts_.left;
      return;
    case RequestEnd::kBroken:
    case RequestEnd::kOverdue:
      if (request.sent.halts && end.end == RequestEnd::kBroken) return;  // an end is all that it is owed
      if (killed_between(request.node, end.sent_us, end.ended_us)) {
        ++counts_.cut_off;
        return;
      }
      violated("lost", id +
                           (end.end == RequestEnd::kBroken ? " is closed with no answer after "
                                                           : " has no answer after ") +
                           took);
  }
}

void SoakJudge::job_begun(const StartedAttempt& job) {
  ++counts_.jobs;
  jobs_[job.id].push_back(job);
  const auto drains = draining_since_.find(job.executor);
  if (drains == draining_since_.end() || came_late(job)) return;
  const auto limit =
      drains->second + static_cast<std::int64_t>((kToldAfter + drain_grace_) * kMicroseconds) + kMeasuring;
  if (job.at_us > limit)
    violated("drain", job.id + " begins at executor " + std::to_string(job.executor) + " " +
                          milliseconds(job.at_us - drains->second) + " after it was listed as leaving");
}

bool SoakJudge::came_late(const StartedAttempt& job) const {
  const auto found = held_links_.find(job.executor);
  return found != held_links_.end() && std::ranges::any_of(found->second, [&](const Span& held) {
           return job.at_us >= held.from_us && job.at_us <= held.until_us + kMeasuring;
         });
}

std::string SoakJudge::history(const std::string& idempotency_key) const {
  std::string all;
  for (const auto& [id, request] : requests_) {
    if (request.sent.idempotency_key != idempotency_key) continue;
    all += " [" + id + " node " + std::to_string(request.node) + " from " +
           std::to_string(request.end.sent_us) + " to " + std::to_string(request.end.ended_us) +
           " us: " + std::to_string(request.end.status) + "/" +
           std::to_string(static_cast<int>(request.end.end));
    if (const auto found = jobs_.find(id); found != jobs_.end())
      for (const StartedAttempt& job : found->second)
        all += ", executor " + std::to_string(job.executor) + " at " + std::to_string(job.at_us);
    all += "]";
  }
  return all;
}

void SoakJudge::judge_job(const StartedAttempt& job, const SoakRequest& request) {
  if (came_late(job)) return;
  const RequestAnswered& end = request.end;
  const std::string at = job.id + " at executor " + std::to_string(job.executor);
  if (end.end == RequestEnd::kLeft && job.at_us > end.ended_us + kLeaverLimit + kMeasuring)
    violated("leaver", at + " begins " + milliseconds(job.at_us - end.ended_us) + " after its client left");
  if (end.end == RequestEnd::kAnswered && job.at_us > end.ended_us + kMeasuring)
    violated("ended", at + " begins " + milliseconds(job.at_us - end.ended_us) + " after its answer");
  const std::int64_t left_us =
      end.sent_us + std::int64_t{request.sent.time_left_ms} * 1000 - job.at_us + kDeadlineSlack + kMeasuring;
  if (job.time_left_ms * 1000 > left_us)
    violated("deadline", at + " is told " + std::to_string(job.time_left_ms) + " ms, " +
                             milliseconds(left_us - kDeadlineSlack - kMeasuring) + " are left");
}

void SoakJudge::finish() {
  for (const auto& [id, request] : requests_) {
    if (!request.ended) {
      violated("lost", id + " never ends at node " + std::to_string(request.node));
      continue;
    }
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) continue;
    if (request.at_most_once && found->second.size() > 1)
      violated("twice", id + " of at-most-once begins " + std::to_string(found->second.size()) + " times");
    for (const StartedAttempt& job : found->second) judge_job(job, request);
  }
  std::ranges::sort(violations_);
}

}  // namespace canvasstage::lab::fleet
