// Reads the clocks that recovery compares over a power loss.
#pragma once

#include "recovery/clock.h"

namespace canvasstage::storage {

recovery::ClockReading read_clocks();

}  // namespace canvasstage::storage
