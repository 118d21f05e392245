// Bounds the process start times in the executor list by what the node has observed itself, as the node's
// wall clock may be wrong. No I/O.
//
// While a watch is open, the node's list is the one that discovery has. A process that this list did not name
// must have started since, so the start time that discovery gives is accepted only within these bounds.
#pragma once

#include <algorithm>

#include "policy.h"

namespace canvasstage {

class MembershipFreshness {
 public:
  // How long after a watch has gone silent the node notices.
  static constexpr Time kWatchSilenceTimeout = 3 * kSecond;

  // Discovery sent a list; its watch is open from then on.
  void list_received() { list_received_ = watch_open_ = true; }
  // The watch ended; `timed_out`: because it had been silent for kWatchSilenceTimeout.
  void watch_ended(Time now, bool timed_out) {
    if (!watch_open_) return;
    watch_open_ = false;
    current_until_ = timed_out ? now - kWatchSilenceTimeout : now;
  }
  // Returns the start time of a process that a list names for the first time, bounded by the node's
  // observations. 0: long ago, returned unchanged.
  Time bounded_start_time(Time now, Time listed_started_at) const {
    if (listed_started_at <= 0) return listed_started_at;
    return std::clamp(listed_started_at, std::min(earliest_start_time(now), now), now);
  }

 private:
  Time earliest_start_time(Time now) const {
    if (!list_received_) return -kNever;
    return watch_open_ ? now - kWatchSilenceTimeout : current_until_;
  }
  bool list_received_ = false;  // discovery has sent a list to this process
  bool watch_open_ = false;
  Time current_until_ = 0;
};

}  // namespace canvasstage
