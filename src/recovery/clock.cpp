#include "recovery/clock.h"

namespace canvasstage::recovery {

std::optional<Time> elapsed_between(const ClockReading& then, const ClockReading& now) {
  constexpr Time kMillisecond = kSecond / 1000;
  if (!then.boot_id.empty() && then.boot_id == now.boot_id) {
    const std::int64_t steady_ms = now.since_boot_ms - then.since_boot_ms;
    if (steady_ms < 0) return std::nullopt;
    return steady_ms * kMillisecond;
  }
  const std::int64_t wall_ms = now.wall_ms - then.wall_ms;
  if (wall_ms < now.since_boot_ms || wall_ms < 0) return std::nullopt;
  return wall_ms * kMillisecond;
}

}  // namespace canvasstage::recovery
