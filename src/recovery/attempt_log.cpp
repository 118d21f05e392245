#include "recovery/attempt_log.h"

#include <algorithm>
#include <utility>

namespace canvasstage::recovery {

void AttemptLog::restore(std::vector<AttemptRecord> records) {
  std::ranges::sort(records, std::ranges::greater(), &AttemptRecord::sent_at);  // the latest are kept
  for (const AttemptRecord& record : records) add(record);
}

bool AttemptLog::add(const AttemptRecord& record) {
  if (records_.size() >= settings_.max_records) return false;
  if (!records_.emplace(record.number, record).second) return false;
  if (!record.idempotency_key.empty()) by_key_.emplace(record.idempotency_key, record.number);
  return true;
}

// The record of a keyed attempt that was answered stays for its window: the answer may have been lost with
// its client, which then repeats it.
AttemptLog::Change AttemptLog::attempt_ended(const AttemptNumber& number, AttemptEnd end) {
  const auto found = records_.find(number);
  if (found == records_.end() || end == AttemptEnd::kMayHaveRun) return Change::kNone;
  if (end == AttemptEnd::kNeverRan || found->second.idempotency_key.empty()) {
    erase(number);
    return Change::kForget;
  }
  found->second.has_outcome = true;
  return Change::kMarkEnded;
}

const AttemptRecord* AttemptLog::earliest_attempt(const std::string& idempotency_key) const {
  const AttemptRecord* earliest = nullptr;
  const auto [begin, end] = by_key_.equal_range(idempotency_key);
  for (auto place = begin; place != end; ++place) {
    const AttemptRecord& record = records_.at(place->second);
    if (earliest == nullptr || record.sent_at < earliest->sent_at) earliest = &record;
  }
  return earliest;
}

std::vector<AttemptNumber> AttemptLog::expire(Time now) {
  std::vector<AttemptNumber> expired;
  for (const auto& [number, record] : records_)
    if (now >= expires(record)) expired.push_back(number);
  for (const AttemptNumber& number : expired) erase(number);
  return expired;
}

void AttemptLog::erase(const AttemptNumber& number) {
  const auto found = records_.find(number);
  const auto [begin, end] = by_key_.equal_range(found->second.idempotency_key);
  for (auto place = begin; place != end; ++place) {
    if (!(place->second == number)) continue;
    by_key_.erase(place);
    break;
  }
  records_.erase(found);
}

std::size_t AttemptLog::in_doubt() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(records_, [](const auto& entry) { return !entry.second.has_outcome; }));
}

std::vector<const AttemptRecord*> AttemptLog::without_key() const {
  std::vector<const AttemptRecord*> found;
  for (const auto& [number, record] : records_)
    if (record.idempotency_key.empty() && !record.has_outcome) found.push_back(&record);
  std::ranges::sort(found, {}, [](const AttemptRecord* record) { return record->sent_at; });
  return found;
}

std::vector<const AttemptRecord*> AttemptLog::left_in_doubt(std::uint64_t run, std::size_t most) const {
  std::vector<const AttemptRecord*> found;
  for (const auto& [number, record] : records_)
    if (!record.idempotency_key.empty() && !record.has_outcome && !record.from_peer && number.run < run)
      found.push_back(&record);
  std::ranges::sort(found, std::ranges::greater(),
                    [](const AttemptRecord* record) { return record->sent_at; });
  if (found.size() > most) found.resize(most);
  return found;
}

}  // namespace canvasstage::recovery
