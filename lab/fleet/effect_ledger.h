// What the executors of a fleet did, seen from outside of all processes: it outlives every power loss.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "standins/executors.h"
#include "standins/loop.h"

namespace canvasstage::lab::fleet {

// One job that began.
struct Begin {
  LoopTime at;
  std::size_t executor = 0;
  std::string id, idempotency_key;
};

class EffectLedger {
 public:
  // `groups`: by executor, where a repeat of a key is recognised; `window`: for how many seconds from the
  // first begin there.
  EffectLedger(std::vector<std::string> groups, double window)
      : groups_(std::move(groups)), window_(window) {}
  void add(const StartedAttempt& job, LoopTime at);

  // Effects of one key: a begin that its group recognises as a repeat is none.
  int effects(const std::string& idempotency_key) const;
  // Keys with more than one effect.
  std::vector<std::string> repeated_effects() const;
  // Ids that began more than once: a request without a key has no other protection.
  std::vector<std::string> repeated_ids() const;
  std::size_t keys() const { return by_key_.size(); }
  // Jobs that began there between these times.
  int begun(std::size_t executor, LoopTime from, LoopTime until) const;
  std::size_t size() const { return begins_.size(); }

 private:
  std::vector<std::string> groups_;
  double window_;
  std::vector<Begin> begins_;
  std::map<std::string, std::vector<std::size_t>> by_key_;  // places among the begins, in order of time
};

}  // namespace canvasstage::lab::fleet
