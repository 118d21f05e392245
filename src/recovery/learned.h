// What time without power leaves of what was learned. No I/O, no clock.
#pragma once

#include <optional>

#include "policy.h"

namespace canvasstage::recovery {

struct LearnedSettings {
  Time save_interval = 5 * kSecond;
  Time decay_time = 600 * kSecond;  // a learned speed keeps 1/e of what tells it from the mean one
  Time max_age = 24 * 3600 * kSecond;
};

// Whether what was learned so long ago is used at all; an age that is not known is too old.
bool is_usable(std::optional<Time> age, const LearnedSettings& settings);
// Towards the mean speed of all, by the share that the time leaves.
double decayed_speed(double speed, double mean, Time age, const LearnedSettings& settings);

}  // namespace canvasstage::recovery
