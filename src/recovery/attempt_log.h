// What a node knows of attempts whose effect may not happen twice, also of those that a power loss cut off.
// It decides which records are kept, and which attempt binds a repeat. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy.h"

namespace canvasstage::recovery {

// Counts the starts of a node on one store, and the attempts within one start.
struct AttemptNumber {
  std::uint64_t run = 0, attempt = 0;
  bool operator==(const AttemptNumber&) const = default;
};

// One attempt as it is written down before its first byte goes out.
struct AttemptRecord {
  AttemptNumber number;
  std::string request_id, idempotency_key;  // no key: the request cannot be recognised
  std::string use_case;
  Effect effect = Effect::kIdempotentByKey;
  std::string executor, zone;
  int cell = -1;
  Time executor_started_at = 0;
  Time sent_at = 0;
  Time idempotency_window = 0;  // in which its group recognises a repeat, from `sent_at` on
  bool has_outcome = false;     // with an outcome that its client was told
  bool from_peer = false;       // another node's: it is told nobody, and is not in this node's store
};

struct AttemptLogSettings {
  Time keep_after_window = 60 * kSecond;  // a record goes so long after its window
  std::size_t max_records = 20000;
};

enum class AttemptEnd {
  kNeverRan,
  kAnswered,   // its client was told the outcome
  kMayHaveRun  // nobody knows
};

class AttemptLog {
 public:
  explicit AttemptLog(AttemptLogSettings settings) : settings_(settings) {}

  // Records of an earlier run, in this process's time.
  void restore(std::vector<AttemptRecord> records);
  // False: there are too many, and it is not kept.
  bool add(const AttemptRecord& record);
  // What the store is to do with its record now.
  enum class Change { kNone, kForget, kMarkEnded };
  Change attempt_ended(const AttemptNumber& number, AttemptEnd end);
  // The first attempt of this key that may have run: it sets the group and the window. Null: there is none.
  const AttemptRecord* earliest_attempt(const std::string& idempotency_key) const;
  static bool within_window(const AttemptRecord& record, Time now) {
    return now < record.sent_at + record.idempotency_window;
  }
  // Forgets what is too old to matter, and tells the store which.
  std::vector<AttemptNumber> expire(Time now);

  // Without an outcome.
  std::size_t in_doubt() const;
  // Of these, the ones of requests that cannot be recognised: nothing but the operator can settle them.
  std::vector<const AttemptRecord*> without_key() const;
  // This node's attempts of runs before this one, in doubt, that a repeat could meet; the latest first, and
  // so many at the most.
  std::vector<const AttemptRecord*> left_in_doubt(std::uint64_t run, std::size_t most) const;
  std::size_t size() const { return records_.size(); }

 private:
  struct Hash {
    std::size_t operator()(const AttemptNumber& number) const {
      return std::hash<std::uint64_t>()(number.run * 0x9e3779b97f4a7c15u ^ number.attempt);
    }
  };
  void erase(const AttemptNumber& number);
  Time expires(const AttemptRecord& record) const {
    return record.sent_at + record.idempotency_window + settings_.keep_after_window;
  }

  const AttemptLogSettings settings_;
  std::unordered_map<AttemptNumber, AttemptRecord, Hash> records_;
  std::unordered_multimap<std::string, AttemptNumber> by_key_;
};

}  // namespace canvasstage::recovery
