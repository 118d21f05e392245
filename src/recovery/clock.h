// Computes the time between two clock readings that a power loss may separate. Reads no clock itself.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "policy.h"

namespace canvasstage::recovery {

// The clocks of a machine at one moment.
struct ClockReading {
  std::int64_t wall_ms = 0;        // Unix time; may be wrong, and may have been set back
  std::string boot_id;             // changes with each boot of the machine
  std::int64_t since_boot_ms = 0;  // monotonic within one boot
};

// Returns the time from one reading to a later one. Within one boot it is taken from the monotonic clock.
// Across a boot only the wall clock can tell it; the wall clock is trusted unless it shows less time than the
// machine has been up since the boot, or a negative one. Returns nullopt where the time is unknown: the
// caller must then assume the unsafe case.
std::optional<Time> elapsed_between(const ClockReading& earlier, const ClockReading& later);

}  // namespace canvasstage::recovery
