// Log of the attempts whose effect must not happen twice, including those that a power loss interrupted.
// Decides which records are kept and which attempt limits where and until when its request may be sent again.
// No I/O, no clock; used on the reducer's thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy.h"

namespace canvasstage::recovery {

// Identifies an attempt: `run` counts the starts of a node on one store, `attempt` the attempts within a run.
struct AttemptNumber {
  std::uint64_t run = 0, attempt = 0;
  bool operator==(const AttemptNumber&) const = default;
};

// Describes an attempt; stored before its first byte is sent.
struct AttemptRecord {
  AttemptNumber number;
  std::string request_id, idempotency_key;  // an empty key: a repeat of the request cannot be recognised
  std::string use_case;
  Effect effect = Effect::kIdempotentByKey;
  std::string executor, zone;
  int cell = -1;
  Time executor_started_at = 0;
  Time sent_at = 0;
  Time idempotency_window = 0;  // from `sent_at`; its idempotency scope recognises a repeat that long
  bool has_outcome = false;     // the outcome was passed on to its client
  bool from_peer = false;       // another node's attempt: neither stored here nor passed on to peers
};

struct AttemptLogSettings {
  Time keep_after_window = 60 * kSecond;  // a record expires this long after its window
  std::size_t max_records = 20000;
};

enum class AttemptEnd {
  kNeverRan,
  kAnswered,   // the outcome was passed on to its client
  kMayHaveRun  // the outcome is unknown
};

class AttemptLog {
 public:
  explicit AttemptLog(AttemptLogSettings settings) : settings_(settings) {}

  // Adds records of earlier runs, their times converted to this process's clock. Where there are more than
  // `max_records`, the latest are kept.
  void restore(std::vector<AttemptRecord> records);
  // Returns false without adding the record where the log is full or holds the attempt already.
  bool add(const AttemptRecord& record);
  // What the store must do with the record of an attempt that ended.
  enum class Change { kNone, kForget, kMarkEnded };
  Change attempt_ended(const AttemptNumber& number, AttemptEnd end);
  // Returns the first attempt with this key that may have run, or null. Its executor determines the
  // idempotency scope of a repeat, and its `sent_at` the start of the window.
  const AttemptRecord* earliest_attempt(const std::string& idempotency_key) const;
  static bool within_window(const AttemptRecord& record, Time now) {
    return now < record.sent_at + record.idempotency_window;
  }
  // Removes expired records and returns their numbers, which the store must forget too.
  std::vector<AttemptNumber> expire(Time now);

  // Returns the number of records without an outcome.
  std::size_t in_doubt() const;
  // Returns the records without an outcome and without a key, the earliest first. A repeat of their requests
  // cannot be recognised, so only the operator can resolve them.
  std::vector<const AttemptRecord*> in_doubt_without_key() const;
  // Returns up to `max_count` attempts that this node sent in runs before `run`, that have a key and no
  // outcome; the latest first. A repeat of such a request may arrive at any node.
  std::vector<const AttemptRecord*> earlier_runs_in_doubt(std::uint64_t run, std::size_t max_count) const;
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
