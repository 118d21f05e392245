// Until when an attempt that was decided may still be sent.
#pragma once

#include "policy.h"

namespace canvasstage {

// Its first byte goes by then or not at all, as a drain may have been told since it was decided. Half of the
// grace is for connecting, and an eighth for the list that may wait in the reducer's queue behind the
// decision.
inline Time latest_first_byte(Time decided, Time drain_grace) {
  return decided + drain_grace * 7 / 8;
}

}  // namespace canvasstage
