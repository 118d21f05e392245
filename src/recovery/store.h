// What recovery writes down for the time after a power loss. Called on the reducer's thread; nothing waits.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "recovery/attempt_log.h"

namespace canvasstage::recovery {

// The list of executors that the node holds, in discovery's form.
struct StoredList {
  std::string discovery;  // the address that told it
  std::uint64_t generation = 0;
  std::string content;
  Time received_at = 0;
};

// What the node has learned of its executors, as the handover words it.
struct StoredLearned {
  std::string content;
  Time as_of = 0;
};

enum class RecordOutcome {
  kDurable,  // it survives a power loss
  kFailed,   // it could not be written: the attempt is not to go, as a repeat after a kill would not be bound
  kNotRecorded  // it is not kept, as the store is beyond its bound or nothing could be bound by it: the
                // attempt goes
};

class Store {
 public:
  virtual ~Store() = default;
  // Whether a record would be written now, as far as is known.
  virtual bool accepts_attempts() const = 0;
  // `written` is called once, from another thread or at once.
  virtual void append(const AttemptRecord& record, std::function<void(RecordOutcome)> written) = 0;
  virtual void forget(const std::vector<AttemptNumber>& attempts) = 0;
  virtual void mark_ended(const AttemptNumber& attempt) = 0;
  virtual void save(StoredList list) = 0;
  virtual void save(StoredLearned learned) = 0;
};

}  // namespace canvasstage::recovery
