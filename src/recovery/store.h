// Interface of the store that keeps recovery's state over a power loss. Called on the reducer's thread; no
// function blocks.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "recovery/attempt_log.h"

namespace canvasstage::recovery {

// The executor list that the node holds, in discovery's format.
struct StoredList {
  std::string discovery;  // address of the discovery that sent the list
  std::uint64_t generation = 0;
  std::string content;
  Time received_at = 0;
};

// Learned state of executors, in the format of the handover.
struct StoredLearned {
  std::string content;
  Time as_of = 0;
};

enum class RecordOutcome {
  kDurable,  // survives a power loss
  // The record could not be written. The attempt must not be sent: after a kill nothing would keep a repeat
  // of its request within the idempotency scope and window.
  kFailed,
  // The store is full, or the record has no key to recognise a repeat by. The attempt is sent.
  kNotRecorded
};

class Store {
 public:
  virtual ~Store() = default;
  // Returns whether a record would probably be written now.
  virtual bool accepts_attempts() const = 0;
  // Stores a record. Calls `written` once, from another thread or before returning.
  virtual void append(const AttemptRecord& record, std::function<void(RecordOutcome)> written) = 0;
  virtual void forget(const std::vector<AttemptNumber>& attempts) = 0;
  virtual void mark_ended(const AttemptNumber& attempt) = 0;
  virtual void save(StoredList list) = 0;
  virtual void save(StoredLearned learned) = 0;
};

}  // namespace canvasstage::recovery
