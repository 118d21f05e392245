// Dates what the list of executors tells by what the node has seen itself, as its wall clock may be wrong. No
// I/O.
//
// While a watch is open the list is as discovery has it. A process that the list did not name then has
// started since; discovery's word for when is believed only within these bounds.
#pragma once

#include <algorithm>

#include "policy.h"

namespace canvasstage {

class MembershipFreshness {
 public:
  // A watch that breaks in silence is seen so late.
  static constexpr Time kWatchSilence = 3 * kSecond;

  // Discovery told a list on a watch that is open from then on.
  void list_received() { heard_ = open_ = true; }
  // The watch is over; `silent`: nothing had come over it for a while.
  void watch_ended(Time now, bool silent) {
    if (!open_) return;
    open_ = false;
    current_until_ = silent ? now - kWatchSilence : now;
  }
  // When a process has started that a list names now for the first time, and says so; 0: long ago.
  Time bounded_start_time(Time now, Time told_start) const {
    if (told_start <= 0) return told_start;
    return std::clamp(told_start, std::min(earliest_start(now), now), now);
  }

 private:
  Time earliest_start(Time now) const {
    if (!heard_) return -kNever;
    return open_ ? now - kWatchSilence : current_until_;
  }
  bool heard_ = false;  // in this process's life
  bool open_ = false;
  Time current_until_ = 0;
};

}  // namespace canvasstage
