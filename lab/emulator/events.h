// Virtual time in microseconds and the queue of scheduled events.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace canvasstage::lab {

using Microseconds = std::int64_t;
constexpr Microseconds kMicrosecondsPerSecond = 1000000;

// Rounds to the nearest microsecond.
inline Microseconds to_microseconds(double seconds) {
  return static_cast<Microseconds>(seconds * kMicrosecondsPerSecond + 0.5);
}
inline double to_seconds(Microseconds time) {
  return static_cast<double>(time) / kMicrosecondsPerSecond;
}

// Runs scheduled callbacks in order of virtual time, on one thread.
class EventQueue {
 public:
  using Event = std::function<void()>;
  Microseconds now() const { return now_; }
  std::uint64_t handled_count() const { return handled_count_; }
  // Events with the same time run in the order of scheduling. A time in the past is taken as now.
  void schedule_at(Microseconds when, Event event) {
    queue_.push({when < now_ ? now_ : when, ++last_sequence_, std::move(event)});
  }
  void schedule_after(Microseconds delay, Event event) { schedule_at(now_ + delay, std::move(event)); }
  // Runs all events up to and including `end`, then sets the time to `end`.
  void run_until(Microseconds end) {
    while (!queue_.empty() && queue_.top().when <= end) {
      // std::priority_queue offers no way to move its top out. The moved-from entry is popped before the
      // queue is read again.
      Event event = std::move(const_cast<ScheduledEvent&>(queue_.top()).event);
      now_ = queue_.top().when;
      queue_.pop();
      ++handled_count_;
      event();
    }
    now_ = end;
  }

 private:
  struct ScheduledEvent {
    Microseconds when;
    std::uint64_t sequence;
    Event event;
    bool operator>(const ScheduledEvent& other) const {
      return when != other.when ? when > other.when : sequence > other.sequence;
    }
  };
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> queue_;
  Microseconds now_ = 0;
  std::uint64_t last_sequence_ = 0, handled_count_ = 0;
};

}  // namespace canvasstage::lab
