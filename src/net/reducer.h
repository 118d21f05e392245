// The one thread on which all state changes: a queue of what has happened, and timers.
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

// The time that the whole process goes by: Unix time at its start, steady from then on.
Time now();
// The steady clock's moment for it, for waits; a time that is over a day away counts as a day away.
std::chrono::steady_clock::time_point steady_time(Time then);

class Reducer {
 public:
  using Event = std::function<void(Time now)>;
  // From any thread. The queue holds a few events for each open connection at most.
  void post(Event event);
  // From the reducer's thread only.
  void wake_at(Time when, std::uint64_t token);
  void finish() { finished_ = true; }
  bool finished() const { return finished_; }
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
  std::condition_variable posted_;
  std::vector<Event> events_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t order_ = 0;
  std::atomic<bool> finished_{false};
};

}  // namespace canvasstage::net
