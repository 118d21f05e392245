// Reads the clocks from which recovery derives the time that has passed over a power loss.
#pragma once

#include "recovery/clock.h"

namespace canvasstage::storage {

// The wall clock, the boot clock (which counts suspend time) and the boot id of Linux. The id is empty where
// /proc/sys/kernel/random/boot_id cannot be read.
recovery::ClockReading read_clocks();

}  // namespace canvasstage::storage
