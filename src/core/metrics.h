// Metrics of the node. The node publishes them and any thread reads a copy; the lock is held only while they
// are copied.
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
  // A use case that was removed from the settings keeps its entry, so that no counter ever decreases.
  std::vector<UseCase> use_cases;
  // Each accepted request is counted once more: as succeeded, shed or failed for its use case, as left by its
  // client, as handed over to another process of this node, or as outstanding.
  std::uint64_t accepted = 0, client_left = 0, handed_over = 0, outstanding = 0;
  std::uint64_t reloads_applied = 0, reloads_rejected = 0;
  int listed_executors = 0, avoided_executors = 0;
  RuleMonitor::Counts violations{};
  bool ready = false;
};

// Passes metrics from the node to the threads that read them; all functions are thread-safe.
class MetricsBoard {
 public:
  void publish(const Metrics& metrics) {
    const std::lock_guard lock(mutex_);
    metrics_ = metrics;
  }
  Metrics read() const {
    const std::lock_guard lock(mutex_);
    return metrics_;
  }
  // Counts an attempt whose last byte was handed to the operating system. Called by the thread that sent it.
  void count_attempt_sent() { attempts_sent_.fetch_add(1, std::memory_order_relaxed); }
  std::uint64_t attempts_sent() const { return attempts_sent_.load(std::memory_order_relaxed); }

 private:
  mutable std::mutex mutex_;
  Metrics metrics_;
  std::atomic<std::uint64_t> attempts_sent_{0};
};

}  // namespace canvasstage
