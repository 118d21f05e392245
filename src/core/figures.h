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

struct Figures {
  struct UseCase {
    std::string name;
    std::uint64_t satisfied = 0, pushed_back = 0, aborted = 0;
  };
  std::vector<UseCase> use_cases;  // one that vanished keeps its line: a counter never falls
  // Each submission taken ends in one of the three above or with its client, goes on in another process of
  // this node, or is outstanding.
  std::uint64_t taken = 0, left = 0, handed_over = 0, outstanding = 0;
  std::uint64_t reloads_applied = 0, reloads_rejected = 0;
  int listed = 0, avoided = 0;  // executors
  RuleMonitor::Counts violations{};
  bool ready = false;
};

class Board {
 public:
  void publish(const Figures& figures) {
    const std::lock_guard lock(mutex_);
    figures_ = figures;
  }
  Figures read() const {
    const std::lock_guard lock(mutex_);
    return figures_;
  }
  // A launch whose last byte was handed to the system, told by the thread that did it.
  void count_forward() { forwards_.fetch_add(1, std::memory_order_relaxed); }
  std::uint64_t forwards() const { return forwards_.load(std::memory_order_relaxed); }

 private:
  mutable std::mutex mutex_;
  Figures figures_;
  std::atomic<std::uint64_t> forwards_{0};
};

}  // namespace canvasstage
