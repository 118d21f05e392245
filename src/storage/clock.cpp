#include "storage/clock.h"

#include <time.h>

#include <fstream>

namespace canvasstage::storage {
namespace {

std::int64_t milliseconds(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return std::int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1000000;
}

}  // namespace

recovery::ClockReading read_clocks() {
  recovery::ClockReading reading;
  reading.wall_ms = milliseconds(CLOCK_REALTIME);
  reading.since_boot_ms = milliseconds(CLOCK_BOOTTIME);
  std::ifstream("/proc/sys/kernel/random/boot_id") >> reading.boot_id;
  return reading;
}

}  // namespace canvasstage::storage
