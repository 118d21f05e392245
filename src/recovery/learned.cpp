#include "recovery/learned.h"

#include <cmath>

namespace canvasstage::recovery {

bool is_usable(std::optional<Time> age, const LearnedSettings& settings) {
  return age && *age <= settings.max_age;
}

double decayed_speed(double speed, double mean, Time age, const LearnedSettings& settings) {
  if (speed <= 0 || mean <= 0) return speed;
  const double left = std::exp(-static_cast<double>(age) / static_cast<double>(settings.decay_time));
  return mean * std::pow(speed / mean, left);
}

}  // namespace canvasstage::recovery
