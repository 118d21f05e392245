// Chance from one seed, split by purpose: what one part draws does not move what another one draws. Own
// transforms, as the standard's distributions may differ between libraries.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace canvasstage::lab {

class Chance {
 public:
  // `purpose` and `index` part one stream from another.
  Chance(std::uint64_t seed, std::uint64_t purpose, std::uint64_t index = 0)
      : engine_(mixed(mixed(mixed(seed) ^ purpose) ^ index)) {}
  // Above 0 and below 1.
  double uniform() { return (static_cast<double>(engine_() >> 11) + 0.5) / 9007199254740992.0; }
  double between(double low, double high) { return low + (high - low) * uniform(); }
  bool happens(double probability) { return uniform() < probability; }
  std::size_t below(std::size_t count) {
    return static_cast<std::size_t>(uniform() * static_cast<double>(count));
  }
  double exponential(double mean) { return -mean * std::log(uniform()); }
  double normal() { return std::sqrt(-2 * std::log(uniform())) * std::cos(6.283185307179586 * uniform()); }
  // With this mean and coefficient of variation.
  double lognormal(double mean, double cv) {
    const double variance = std::log(1 + cv * cv);
    return mean * std::exp(std::sqrt(variance) * normal() - variance / 2);
  }

 private:
  static std::uint64_t mixed(std::uint64_t x) {
    x += 0x9e3779b97f4a7c15;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
    x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
    return x ^ (x >> 31);
  }
  std::mt19937_64 engine_;
};

}  // namespace canvasstage::lab
