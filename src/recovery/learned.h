// Ages learned state that was stored before a power loss. No I/O, no clock.
#pragma once

#include <optional>

#include "policy.h"

namespace canvasstage::recovery {

struct LearnedSettings {
  Time save_interval = 5 * kSecond;
  Time decay_time = 600 * kSecond;     // after it a speed keeps 1/e of its log ratio to the mean speed
  Time max_age = 24 * 3600 * kSecond;  // older learned state is not used
};

// Returns whether learned state of this age may be used. An unknown age counts as too old.
bool is_usable(std::optional<Time> age, const LearnedSettings& settings);
// Returns a speed decayed exponentially towards the mean speed of all executors, on a logarithmic scale.
// Returns `speed` where it or `mean` is not positive, that is, unknown.
double decayed_speed(double speed, double mean, Time age, const LearnedSettings& settings);

}  // namespace canvasstage::recovery
