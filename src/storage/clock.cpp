#include "storage/clock.h"

#include <time.h>

#include <fstream>

namespace canvasstage::storage {
namespace {

std::int64_t clock_ms(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return std::int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1000000;
}

}  // namespace

recovery::ClockReading read_clocks() {
  recovery::ClockReading reading;
  reading.wall_ms = clock_ms(CLOCK_REALTIME);
  reading.since_boot_ms = clock_ms(CLOCK_BOOTTIME);
  std::ifstream("/proc/sys/kernel/random/boot_id") >> reading.boot_id;
  return reading;
}

}  // namespace canvasstage::storage
