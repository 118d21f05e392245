#include "net/reducer.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace canvasstage::net {
namespace {

using Ticks = std::chrono::duration<Time, std::ratio<1, kSecond>>;

struct Epoch {
  std::chrono::steady_clock::time_point steady = std::chrono::steady_clock::now();
  Time unix_time = std::chrono::floor<Ticks>(std::chrono::system_clock::now().time_since_epoch()).count();
};

const Epoch& epoch() {
  static const Epoch start;
  return start;
}

}  // namespace

Time now() {
  const Epoch& start = epoch();
  return start.unix_time + std::chrono::floor<Ticks>(std::chrono::steady_clock::now() - start.steady).count();
}

std::chrono::steady_clock::time_point steady_time(Time then) {
  constexpr Time kMaxDistance = 24 * 3600 * kSecond;
  return std::chrono::steady_clock::now() + Ticks(std::clamp(then - now(), -kMaxDistance, kMaxDistance));
}

void Reducer::post(Event event) {
  const std::lock_guard lock(mutex_);
  events_.push_back(std::move(event));
  if (events_.size() == 1) event_posted_.notify_one();
}

void Reducer::wake_at(Time when, std::uint64_t token) {
  timers_.push({when, ++last_timer_order_, token});
}

void Reducer::run(const std::function<void(Time, std::uint64_t)>& timer_due) {
  std::vector<Event> batch;
  while (!finished_) {
    {
      std::unique_lock lock(mutex_);
      while (events_.empty()) {
        const Time remaining = timers_.empty() ? kSecond : timers_.top().when - now();
        if (remaining <= 0) break;
        event_posted_.wait_for(lock, Ticks(remaining));
      }
      batch.swap(events_);
    }
    for (Event& event : batch) event(now());
    batch.clear();
    while (!finished_ && !timers_.empty() && timers_.top().when <= now()) {
      const std::uint64_t token = timers_.top().token;
      timers_.pop();
      timer_due(now(), token);
    }
  }
}

}  // namespace canvasstage::net
