#include "fleet/workload.h"

#include <algorithm>

namespace canvasstage::lab::fleet {
namespace {

double seconds_between(LoopTime from, LoopTime until) {
  return std::chrono::duration<double>(until - from).count();
}

bool refused(int status) {
  return status == 0 || status == 429 || status == 503;
}

}  // namespace

Workload::Workload(Fleet& fleet, WorkloadPlan plan) : fleet_(fleet), plan_(plan) {}

void Workload::start() {
  running_ = true;
  add_next(LoopClock::now());
}

void Workload::add_next(LoopTime when) {
  fleet_.loop().at(when, [this, when] {
    if (!running_) return;
    keyed_owed_ += plan_.keyed_share;
    const bool keyed = keyed_owed_ >= 1;
    if (keyed) keyed_owed_ -= 1;
    add(static_cast<int>(requests_ % static_cast<std::size_t>(fleet_.plan().nodes)), keyed);
    add_next(when + seconds_of(1 / plan_.rate));
  });
}

void Workload::add(int node, bool keyed) {
  Request request;
  request.node = node;
  request.use_case = keyed ? kKeyedUseCase : kIdempotentUseCase;
  if (keyed) request.key = "key-" + std::to_string(fleet_.plan().seed) + "-" + std::to_string(requests_);
  request.first = LoopClock::now();
  all_.push_back(std::move(request));
  ++open_;
  attempt(requests_++);
}

void Workload::attempt(std::size_t index) {
  Request& request = all_[index];
  ++request.tries;
  fleet_.send(request.node, request.use_case, request.key, plan_.time_left,
              [this, index](int status) { answered(index, status); });
}

void Workload::answered(std::size_t index, int status) {
  const Request& request = all_[index];
  const LoopTime now = LoopClock::now();
  ++answers_[status];
  if (status == 200) {
    --open_;
    served_.push_back(now);
    if (request.tries == 1) latencies_.push_back(seconds_between(request.first, now));
    return;
  }
  const bool repeats = refused(status) || request.key.empty() || plan_.repeats_failed;
  if (!repeats || seconds_between(request.first, now) > plan_.patience) {
    --open_;
    ++given_up_;
    return;
  }
  fleet_.loop().after(plan_.pause, [this, index] { attempt(index); });
}

std::size_t Workload::answers(int status) const {
  const auto found = answers_.find(status);
  return found == answers_.end() ? 0 : found->second;
}

int Workload::served_between(LoopTime from, double begin, double end) const {
  return static_cast<int>(std::ranges::count_if(served_, [&](LoopTime at) {
    const double since = seconds_between(from, at);
    return since >= begin && since < end;
  }));
}

double Workload::first_served_after(LoopTime from) const {
  const auto first = std::ranges::find_if(served_, [&](LoopTime at) { return at >= from; });
  return first == served_.end() ? -1 : seconds_between(from, *first);
}

double Workload::rate_reached_after(LoopTime from, double rate) const {
  for (std::size_t i = 0; i < served_.size(); ++i) {
    if (served_[i] < from) continue;
    const auto until = std::ranges::upper_bound(served_, served_[i] + seconds_of(1));
    if (static_cast<double>(until - served_.begin()) - static_cast<double>(i) >= rate)
      return seconds_between(from, served_[i]) + 1;
  }
  return -1;
}

std::vector<double> Workload::latencies() const {
  std::vector<double> sorted = latencies_;
  std::ranges::sort(sorted);
  return sorted;
}

}  // namespace canvasstage::lab::fleet
