// Reproducible random streams derived from one seed. Each purpose has its own stream, so that additional
// draws for one purpose do not shift the draws of another. The distributions are implemented here because
// those of the standard library may differ between implementations.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace canvasstage::lab {

// One stream of pseudo-random numbers; equal arguments give equal streams.
class RandomStream {
 public:
  // Streams with different `purpose` or `index` are independent.
  RandomStream(std::uint64_t seed, std::uint64_t purpose, std::uint64_t index = 0)
      : engine_(mix_bits(mix_bits(mix_bits(seed) ^ purpose) ^ index)) {}
  // Returns a value above 0 and below 1.
  double uniform() { return (static_cast<double>(engine_() >> 11) + 0.5) / 9007199254740992.0; }
  double uniform_between(double low, double high) { return low + (high - low) * uniform(); }
  bool bernoulli(double probability) { return uniform() < probability; }
  std::size_t index_below(std::size_t count) {
    return static_cast<std::size_t>(uniform() * static_cast<double>(count));
  }
  double exponential(double mean) { return -mean * std::log(uniform()); }
  double normal() { return std::sqrt(-2 * std::log(uniform())) * std::cos(6.283185307179586 * uniform()); }
  // Log-normal with the given mean and coefficient of variation.
  double lognormal(double mean, double cv) {
    const double variance = std::log(1 + cv * cv);
    return mean * std::exp(std::sqrt(variance) * normal() - variance / 2);
  }

 private:
  // SplitMix64 step.
  static std::uint64_t mix_bits(std::uint64_t x) {
    x += 0x9e3779b97f4a7c15;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
    x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
    return x ^ (x >> 31);
  }
  std::mt19937_64 engine_;
};

}  // namespace canvasstage::lab
