// Records which attempts the executors of a fleet started. The ledger lives in the test harness and so
// survives every power loss of the fleet.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "standins/executors.h"
#include "standins/loop.h"

namespace canvasstage::lab::fleet {

// The start of one attempt.
struct AttemptStart {
  LoopTime at;
  std::size_t executor = 0;
  std::string id, idempotency_key;
};

class EffectLedger {
 public:
  // `groups` holds the group of each executor, within which a repeated key is recognised; `window` is the
  // time in seconds from the key's first start in the group for which it is.
  EffectLedger(std::vector<std::string> groups, double window)
      : groups_(std::move(groups)), window_(window) {}
  void add(const StartedAttempt& attempt, LoopTime at);

  // Counts the effects of one key. A start that the executor's group recognises as a repeat has no effect.
  int effects(const std::string& idempotency_key) const;
  // Returns the keys with more than one effect.
  std::vector<std::string> repeated_effects() const;
  // Returns the ids that started more than once. Only the id identifies a request without a key.
  std::vector<std::string> repeated_ids() const;
  std::size_t keys() const { return by_key_.size(); }
  // Counts the attempts that `executor` started from `from` until before `until`.
  int attempts_started(std::size_t executor, LoopTime from, LoopTime until) const;
  std::size_t size() const { return attempt_starts_.size(); }

 private:
  std::vector<std::string> groups_;
  double window_;
  std::vector<AttemptStart> attempt_starts_;
  std::map<std::string, std::vector<std::size_t>> by_key_;  // indices into attempt_starts_, in order of time
};

}  // namespace canvasstage::lab::fleet
