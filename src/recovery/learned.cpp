#include "recovery/learned.h"

#include <cmath>

namespace canvasstage::recovery {

bool usable(std::optional<Time> age, const LearnedSettings& settings) {
  return age && *age <= settings.most_age;
}

double faded_speed(double speed, double mean, Time age, const LearnedSettings& settings) {
  if (speed <= 0 || mean <= 0) return speed;
  const double left = std::exp(-static_cast<double>(age) / static_cast<double>(settings.fade));
  return mean * std::pow(speed / mean, left);
}

}  // namespace canvasstage::recovery
