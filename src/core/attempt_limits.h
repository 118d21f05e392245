// Until when an attempt that was decided may still be sent.
#pragma once

#include <algorithm>

#include "policy.h"

namespace canvasstage {

// Its first byte goes by then or not at all, as a drain may have been told since it was decided. Half of the
// grace is for connecting, and an eighth for the list that may wait in the reducer's queue behind the
// decision. The process may be held up between its last look at the clock and the write.
inline Time first_byte_deadline(Time decided, Time drain_grace) {
  constexpr Time kHeldUp = kSecond * 15 / 100;
  return decided + std::max(drain_grace / 2, drain_grace * 7 / 8 - kHeldUp);
}

}  // namespace canvasstage
