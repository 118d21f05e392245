// The answers of this node to its peers: published by the reducer's thread, read by the console's thread.
#pragma once

#include <mutex>
#include <string>

namespace canvasstage::recovery {

class PeerAnswers {
 public:
  void publish_summary(std::string summary) {
    const std::lock_guard lock(mutex_);
    summary_.swap(summary);
  }
  void publish_list(std::string list) {
    const std::lock_guard lock(mutex_);
    list_.swap(list);
  }
  // Both answers are JSON, and empty until first published.
  std::string summary() const {
    const std::lock_guard lock(mutex_);
    return summary_;
  }
  std::string list() const {
    const std::lock_guard lock(mutex_);
    return list_;
  }

 private:
  mutable std::mutex mutex_;
  std::string summary_, list_;
};

}  // namespace canvasstage::recovery
