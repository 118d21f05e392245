// What one node keeps on disk for the time after a power loss: the list of executors, what it has learned,
// and its attempt log. One SQLite file in a directory that the operator names (WAL, synchronous=FULL,
// exclusive).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "recovery/clock.h"
#include "recovery/settings.h"
#include "recovery/store.h"
#include "storage/database.h"

namespace canvasstage::storage {

constexpr const char* kStoreFile = "recovery.db";
constexpr int kSchemaVersion = 1;

// What an earlier run left, in this process's time.
struct Restored {
  std::optional<recovery::StoredList> list;
  std::optional<recovery::StoredLearned> learned;
  std::optional<Time> learned_age;  // nothing: it is not known
  std::vector<recovery::AttemptRecord> attempts;
  std::size_t attempts_of_unknown_age = 0;  // their window counts as over
};

// Used by one thread at a time.
class NodeStore {
 public:
  // Opens the node's store, or makes it. Throws StoreError; a store that is corrupt or of another version was
  // renamed by then and is never deleted.
  NodeStore(const recovery::RecoverySettings& settings, const std::string& node,
            const recovery::ClockReading& clocks, Time now);
  const Restored& restored() const { return restored_; }
  std::uint64_t run() const { return run_; }

  // Each in a transaction of the caller's.
  Database& database() { return database_; }
  void append(const recovery::AttemptRecord& record);
  // Writes what is there, in the caller's transaction: whether the store can be written to.
  void touch();
  void forget(const recovery::AttemptNumber& attempt);
  void mark_ended(const recovery::AttemptNumber& attempt);
  void save(const recovery::StoredList& list);
  void save(const recovery::StoredLearned& learned);

 private:
  void check(const std::string& node);
  void read_content(const recovery::ClockReading& clocks, Time now);
  void begin_run(const recovery::ClockReading& clocks, Time now);

  Database database_;
  Restored restored_;
  std::uint64_t run_ = 0;
  std::optional<Statement> append_, forget_, mark_ended_;
};

}  // namespace canvasstage::storage
