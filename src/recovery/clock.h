// How much time lies between two moments of which a power loss may lie between. No clock is read here.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "policy.h"

namespace canvasstage::recovery {

// What the clocks of a machine said at one moment.
struct ClockReading {
  std::int64_t wall_ms = 0;        // Unix time; it may be wrong, and may have been set back
  std::string boot_id;             // a new one at each start of the machine
  std::int64_t since_boot_ms = 0;  // steady within one boot
};

// The time from one reading to a later one. Within one boot the steady clock tells it. Over a boot only the
// wall clock can, and it is believed unless it contradicts what is certain: the time without power is no less
// than what the machine has been up since. Nothing: it is not known, and whoever asks takes the unsafe side.
std::optional<Time> elapsed_between(const ClockReading& then, const ClockReading& now);

}  // namespace canvasstage::recovery
