// What the node shows of itself. The node counts and publishes; a reader takes a copy and waits for nobody
// else.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "core/rule_monitor.h"

namespace canvasstage {

struct Metrics {
  struct UseCase {
    std::string name;
    std::uint64_t succeeded = 0, shed = 0, failed = 0;
  };
  std::vector<UseCase> use_cases;  // one that vanished keeps its line: a counter never falls
  // Each submission taken ends in one of the three above or with its client, goes on in another process of
  // this node, or is outstanding.
  std::uint64_t accepted = 0, client_left = 0, handed_over = 0, outstanding = 0;
  std::uint64_t reloads_applied = 0, reloads_rejected = 0;
  int listed_executors = 0, avoided_executors = 0;  // executors
  RuleMonitor::Counts violations{};
  bool ready = false;
};

class MetricsBoard {
 public:
  void publish(const Metrics& figures) {
    const std::lock_guard lock(mutex_);
    figures_ = figures;
  }
  Metrics read() const {
    const std::lock_guard lock(mutex_);
    return figures_;
  }
  // A launch whose last byte was handed to the system, told by the thread that did it.
  void count_attempt_sent() { forwards_.fetch_add(1, std::memory_order_relaxed); }
  std::uint64_t attempts_sent() const { return forwards_.load(std::memory_order_relaxed); }

 private:
  mutable std::mutex mutex_;
  Metrics figures_;
  std::atomic<std::uint64_t> forwards_{0};
};

}  // namespace canvasstage
