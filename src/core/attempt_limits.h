// Latest time at which an attempt may be sent after the decision to send it.
#pragma once

#include <algorithm>

#include "policy.h"

namespace canvasstage {

// Returns the time by which the attempt's first byte must be written; an attempt that misses it is not sent,
// as its executor may have started to drain since the decision. Half of the drain grace is for connecting. An
// eighth is kept for an executor list that may wait in the reducer's queue behind the decision, and
// kMaxProcessStall for a stall of the process between its last reading of the clock and the write.
inline Time first_byte_deadline(Time decided_at, Time drain_grace) {
  constexpr Time kMaxProcessStall = kSecond * 15 / 100;
  return decided_at + std::max(drain_grace / 2, drain_grace * 7 / 8 - kMaxProcessStall);
}

}  // namespace canvasstage
