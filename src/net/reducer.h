// The event loop that runs all changes of the node's state on one thread: a queue of events, and timers.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <queue>
#include <vector>

#include "policy.h"

namespace canvasstage::net {

// The time used in the whole process: Unix time in ticks, read once at the first call and advanced by the
// steady clock from then on.
Time now();
// Converts to a time point of the steady clock, for waits. A time more than a day away counts as a day away.
std::chrono::steady_clock::time_point steady_time(Time then);

class Reducer {
 public:
  using Event = std::function<void(Time now)>;
  // Queues an event. Callable from any thread. The queue needs no limit, because it holds at most a few
  // events for each open connection.
  void post(Event event);
  // Makes run() call its timer function with this token at the given time. Only for the reducer's thread.
  void wake_at(Time when, std::uint64_t token);
  // Makes run() return. finish() is only for the reducer's thread; finished() may be called from any thread.
  void finish() { finished_ = true; }
  bool finished() const { return finished_; }
  // Runs events and timers on the calling thread, the reducer's thread, until finish() was called.
  void run(const std::function<void(Time now, std::uint64_t token)>& timer_due);

 private:
  struct Timer {
    Time when;
    std::uint64_t order, token;
    bool operator>(const Timer& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };
  std::mutex mutex_;
  std::condition_variable event_posted_;
  std::vector<Event> events_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t last_timer_order_ = 0;
  std::atomic<bool> finished_{false};
};

}  // namespace canvasstage::net
