// What time without power leaves of what was learned. No I/O, no clock.
#pragma once

#include <optional>

#include "policy.h"

namespace canvasstage::recovery {

struct LearnedSettings {
  Time save_every = 5 * kSecond;
  Time fade = 600 * kSecond;  // a learned speed keeps 1/e of what tells it from the mean one
  Time most_age = 24 * 3600 * kSecond;
};

// Whether what was learned so long ago is used at all; an age that is not known is too old.
bool usable(std::optional<Time> age, const LearnedSettings& settings);
// Towards the mean speed of all, by the share that the time leaves.
double faded_speed(double speed, double mean, Time age, const LearnedSettings& settings);

}  // namespace canvasstage::recovery
