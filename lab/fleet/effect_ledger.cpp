#include "fleet/effect_ledger.h"

#include <algorithm>

namespace canvasstage::lab::fleet {

void EffectLedger::add(const StartedAttempt& attempt, LoopTime at) {
  if (!attempt.idempotency_key.empty()) by_key_[attempt.idempotency_key].push_back(attempt_starts_.size());
  attempt_starts_.push_back({at, attempt.executor, attempt.id, attempt.idempotency_key});
}

int EffectLedger::effects(const std::string& idempotency_key) const {
  const auto found = by_key_.find(idempotency_key);
  if (found == by_key_.end()) return 0;
  std::map<std::string, LoopTime> first_starts;  // by group: start of the latest effect
  int count = 0;
  for (const std::size_t index : found->second) {
    const AttemptStart& start = attempt_starts_[index];
    const auto [found_start, added] = first_starts.try_emplace(groups_[start.executor], start.at);
    if (!added && start.at - found_start->second < seconds_of(window_)) continue;
    found_start->second = start.at;
    ++count;
  }
  return count;
}

std::vector<std::string> EffectLedger::repeated_effects() const {
  std::vector<std::string> keys;
  for (const auto& [key, indices] : by_key_)
    if (effects(key) > 1) keys.push_back(key);
  return keys;
}

std::vector<std::string> EffectLedger::repeated_ids() const {
  std::map<std::string, int> counts;
  for (const AttemptStart& start : attempt_starts_) ++counts[start.id];
  std::vector<std::string> ids;
  for (const auto& [id, count] : counts)
    if (count > 1) ids.push_back(id);
  return ids;
}

int EffectLedger::attempts_started(std::size_t executor, LoopTime from, LoopTime until) const {
  return static_cast<int>(std::ranges::count_if(attempt_starts_, [&](const AttemptStart& start) {
    return start.executor == executor && start.at >= from && start.at < until;
  }));
}

}  // namespace canvasstage::lab::fleet
