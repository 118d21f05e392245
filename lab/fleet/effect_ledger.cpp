#include "fleet/effect_ledger.h"

#include <algorithm>

namespace canvasstage::lab::fleet {

void EffectLedger::add(const StartedAttempt& job, LoopTime at) {
  if (!job.idempotency_key.empty()) by_key_[job.idempotency_key].push_back(begins_.size());
  begins_.push_back({at, job.executor, job.id, job.idempotency_key});
}

int EffectLedger::effects(const std::string& idempotency_key) const {
  const auto found = by_key_.find(idempotency_key);
  if (found == by_key_.end()) return 0;
  std::map<std::string, LoopTime> first;  // by group, of the effect that is still remembered
  int count = 0;
  for (const std::size_t place : found->second) {
    const Begin& begin = begins_[place];
    const auto [known, added] = first.try_emplace(groups_[begin.executor], begin.at);
    if (!added && begin.at - known->second < seconds_of(window_)) continue;
    known->second = begin.at;
    ++count;
  }
  return count;
}

std::vector<std::string> EffectLedger::repeated_effects() const {
  std::vector<std::string> keys;
  for (const auto& [key, places] : by_key_)
    if (effects(key) > 1) keys.push_back(key);
  return keys;
}

std::vector<std::string> EffectLedger::repeated_ids() const {
  std::map<std::string, int> counts;
  for (const Begin& begin : begins_) ++counts[begin.id];
  std::vector<std::string> ids;
  for (const auto& [id, count] : counts)
    if (count > 1) ids.push_back(id);
  return ids;
}

int EffectLedger::begun(std::size_t executor, LoopTime from, LoopTime until) const {
  return static_cast<int>(std::ranges::count_if(begins_, [&](const Begin& begin) {
    return begin.executor == executor && begin.at >= from && begin.at < until;
  }));
}

}  // namespace canvasstage::lab::fleet
