// Durable state of one node, read at the next start after a power loss: the executor list, the learned state
// and the attempt log. The state is one SQLite file in a directory named by the operator (WAL,
// synchronous=FULL, exclusive locking).
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

// State that earlier runs stored. All times are converted to the clock of this process.
struct RestoredState {
  std::optional<recovery::StoredList> list;
  std::optional<recovery::StoredLearned> learned;
  std::optional<Time> learned_age;  // empty: the age is unknown
  std::vector<recovery::AttemptRecord> attempts;
  std::size_t attempts_of_unknown_age = 0;  // their idempotency window is treated as expired
};

// Reads and writes the store file. Not thread-safe: one thread may use it at a time.
class NodeStore {
 public:
  // Opens the store of `node`, or creates it where the file does not exist. `now` and `clocks` are the
  // current process time and clock readings. Throws StoreError; a store that is corrupt or has another schema
  // version has been renamed by then and is never deleted.
  NodeStore(const recovery::RecoverySettings& settings, const std::string& node,
            const recovery::ClockReading& clocks, Time now);
  const RestoredState& restored() const { return restored_; }
  // The number of this run: each start of the node gets the next one.
  std::uint64_t run() const { return run_; }

  // The methods below write within a transaction that the caller opens on database(), and throw StoreError.
  Database& database() { return database_; }
  void append(const recovery::AttemptRecord& record);
  // Rewrites the existing node row, to test whether the store can be written.
  void probe_write();
  void forget(const recovery::AttemptNumber& attempt);
  // Records that the attempt has an outcome.
  void mark_ended(const recovery::AttemptNumber& attempt);
  void save(const recovery::StoredList& list);
  void save(const recovery::StoredLearned& learned);

 private:
  void verify(const std::string& node);
  void read_content(const recovery::ClockReading& clocks, Time now);
  void begin_run(const recovery::ClockReading& clocks, Time now);

  Database database_;
  RestoredState restored_;
  std::uint64_t run_ = 0;
  std::optional<Statement> append_, forget_, mark_ended_;
};

}  // namespace canvasstage::storage
