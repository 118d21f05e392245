#include "net/reducer.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace canvasstage::net {
namespace {

using Unit = std::chrono::duration<Time, std::ratio<1, kSecond>>;

struct Epoch {
  std::chrono::steady_clock::time_point steady = std::chrono::steady_clock::now();
  Time unix_time = std::chrono::floor<Unit>(std::chrono::system_clock::now().time_since_epoch()).count();
};

const Epoch& epoch() {
  static const Epoch at;
  return at;
}

}  // namespace

Time now() {
  const Epoch& at = epoch();
  return at.unix_time + std::chrono::floor<Unit>(std::chrono::steady_clock::now() - at.steady).count();
}

std::chrono::steady_clock::time_point steady_time(Time then) {
  constexpr Time kFarthest = 24 * 3600 * kSecond;
  return std::chrono::steady_clock::now() + Unit(std::clamp(then - now(), -kFarthest, kFarthest));
}

void Reducer::post(Event event) {
  const std::lock_guard lock(mutex_);
  events_.push_back(std::move(event));
  if (events_.size() == 1) posted_.notify_one();
}

void Reducer::wake_at(Time when, std::uint64_t token) {
  timers_.push({when, ++order_, token});
}

void Reducer::run(const std::function<void(Time, std::uint64_t)>& timer_due) {
  std::vector<Event> taken;
  while (!finished_) {
    {
      std::unique_lock lock(mutex_);
      while (events_.empty()) {
        const Time left = timers_.empty() ? kSecond : timers_.top().when - now();
        if (left <= 0) break;
        posted_.wait_for(lock, Unit(left));
      }
      taken.swap(events_);
    }
    for (Event& event : taken) event(now());
    taken.clear();
    while (!finished_ && !timers_.empty() && timers_.top().when <= now()) {
      const std::uint64_t token = timers_.top().token;
      timers_.pop();
      timer_due(now(), token);
    }
  }
}

}  // namespace canvasstage::net
