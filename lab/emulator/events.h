// Virtual time: one queue of what happens next.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace canvasstage::lab {

using Micros = std::int64_t;
constexpr Micros kMicrosASecond = 1000000;

inline Micros micros(double seconds) {
  return static_cast<Micros>(seconds * kMicrosASecond + 0.5);
}
inline double in_seconds(Micros time) {
  return static_cast<double>(time) / kMicrosASecond;
}

class Events {
 public:
  using Event = std::function<void()>;
  Micros now() const { return now_; }
  std::uint64_t handled() const { return handled_; }
  // What is asked for at the same time happens in the order of asking; what has passed happens now.
  void at(Micros when, Event event) { queue_.push({when < now_ ? now_ : when, ++order_, std::move(event)}); }
  void after(Micros span, Event event) { at(now_ + span, std::move(event)); }
  // All up to then, and with it.
  void run_until(Micros then) {
    while (!queue_.empty() && queue_.top().when <= then) {
      // The queue gives no way to move out of it; it is popped before anything can look at it again.
      Event event = std::move(const_cast<Entry&>(queue_.top()).event);
      now_ = queue_.top().when;
      queue_.pop();
      ++handled_;
      event();
    }
    now_ = then;
  }

 private:
  struct Entry {
    Micros when;
    std::uint64_t order;
    Event event;
    bool operator>(const Entry& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue_;
  Micros now_ = 0;
  std::uint64_t order_ = 0, handled_ = 0;
};

}  // namespace canvasstage::lab
