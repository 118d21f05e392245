#include "fleet/workload.h"

#include <algorithm>

namespace canvasstage::lab::fleet {
namespace {

double seconds_between(LoopTime from, LoopTime until) {
  return std::chrono::duration<double>(until - from).count();
}

bool is_refused(int status) {
  return status == 0 || status == 429 || status == 503;
}

}  // namespace

Workload::Workload(Fleet& fleet, WorkloadPlan plan) : fleet_(fleet), plan_(plan) {}

void Workload::start() {
  running_ = true;
  schedule_next(LoopClock::now());
}

void Workload::schedule_next(LoopTime when) {
  fleet_.loop().at(when, [this, when] {
    if (!running_) return;
    keyed_due_ += plan_.keyed_share;
    const bool keyed = keyed_due_ >= 1;
    if (keyed) keyed_due_ -= 1;
    add(static_cast<int>(requests_ % static_cast<std::size_t>(fleet_.plan().nodes)), keyed);
    schedule_next(when + seconds_of(1 / plan_.rate));
  });
}

void Workload::add(int node, bool keyed) {
  Request request;
  request.node = node;
  request.use_case = keyed ? kKeyedUseCase : kIdempotentUseCase;
  if (keyed) request.key = "key-" + std::to_string(fleet_.plan().seed) + "-" + std::to_string(requests_);
  request.first_sent = LoopClock::now();
  all_requests_.push_back(std::move(request));
  ++open_;
  send_try(requests_++);
}

void Workload::send_try(std::size_t index) {
  Request& request = all_requests_[index];
  ++request.tries;
  fleet_.send(request.node, request.use_case, request.key, plan_.time_left,
              [this, index](int status) { answered(index, status); });
}

void Workload::answered(std::size_t index, int status) {
  const Request& request = all_requests_[index];
  const LoopTime now = LoopClock::now();
  ++answers_[status];
  if (status == 200) {
    --open_;
    served_at_.push_back(now);
    if (request.tries == 1) latencies_.push_back(seconds_between(request.first_sent, now));
    return;
  }
  const bool resends = is_refused(status) || request.key.empty() || plan_.resends_failed;
  if (!resends || seconds_between(request.first_sent, now) > plan_.give_up_after) {
    --open_;
    ++given_up_;
    return;
  }
  fleet_.loop().after(plan_.resend_delay, [this, index] { send_try(index); });
}

std::size_t Workload::answers(int status) const {
  const auto found = answers_.find(status);
  return found == answers_.end() ? 0 : found->second;
}

int Workload::served_between(LoopTime from, double begin, double end) const {
  return static_cast<int>(std::ranges::count_if(served_at_, [&](LoopTime at) {
    const double since = seconds_between(from, at);
    return since >= begin && since < end;
  }));
}

double Workload::first_served_after(LoopTime from) const {
  const auto first = std::ranges::find_if(served_at_, [&](LoopTime at) { return at >= from; });
  return first == served_at_.end() ? -1 : seconds_between(from, *first);
}

double Workload::rate_reached_after(LoopTime from, double rate) const {
  for (std::size_t i = 0; i < served_at_.size(); ++i) {
    if (served_at_[i] < from) continue;
    const auto until = std::ranges::upper_bound(served_at_, served_at_[i] + seconds_of(1));
    if (static_cast<double>(until - served_at_.begin()) - static_cast<double>(i) >= rate)
      return seconds_between(from, served_at_[i]) + 1;
  }
  return -1;
}

std::vector<double> Workload::latencies() const {
  std::vector<double> sorted = latencies_;
  std::ranges::sort(sorted);
  return sorted;
}

}  // namespace canvasstage::lab::fleet
