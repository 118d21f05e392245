#include "recovery/clock.h"

namespace canvasstage::recovery {

std::optional<Time> elapsed_between(const ClockReading& earlier, const ClockReading& later) {
  constexpr Time kMillisecond = kSecond / 1000;
  if (!earlier.boot_id.empty() && earlier.boot_id == later.boot_id) {
    const std::int64_t elapsed_monotonic_ms = later.since_boot_ms - earlier.since_boot_ms;
    if (elapsed_monotonic_ms < 0) return std::nullopt;
    return elapsed_monotonic_ms * kMillisecond;
  }
  const std::int64_t elapsed_wall_ms = later.wall_ms - earlier.wall_ms;
  if (elapsed_wall_ms < later.since_boot_ms || elapsed_wall_ms < 0) return std::nullopt;
  return elapsed_wall_ms * kMillisecond;
}

}  // namespace canvasstage::recovery
