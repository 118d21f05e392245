// The one thread that writes to the node's store. What was told meanwhile is committed together, with one
// sync.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "recovery/store.h"
#include "storage/node_store.h"

namespace canvasstage::storage {

// All are called from the writer's thread.
struct StoreEvents {
  // The store begins to fail; with its reason and file. Until it works again no attempt with a key is
  // accepted.
  std::function<void(const std::string& failure)> failed = [](const std::string&) {};
  std::function<void()> works_again = [] {};
  // Opens a store that could not be opened at the start; throws StoreError.
  std::function<std::unique_ptr<NodeStore>()> open = nullptr;
  // That was opened: what it held has to be taken in before accept_attempts() is called.
  std::function<void(const NodeStore&)> opened = [](const NodeStore&) {};
};

class StoreWriter final : public recovery::Store {
 public:
  // `store`: null where it could not be opened yet; then `events.open` is tried again and again.
  StoreWriter(std::unique_ptr<NodeStore> store, StoreEvents events);
  // Writes what it was told, and ends.
  ~StoreWriter() override;

  bool accepts_attempts() const override { return accepts_; }
  void append(const recovery::AttemptRecord& record,
              std::function<void(recovery::RecordOutcome)> written) override;
  void forget(const std::vector<recovery::AttemptNumber>& attempts) override;
  void mark_ended(const recovery::AttemptNumber& attempt) override;
  void save(recovery::StoredList list) override;
  void save(recovery::StoredLearned learned) override;

  // A store that was opened late is to be written to from now on.
  void accept_attempts();
  std::uint64_t commits() const;

 private:
  struct Append {
    recovery::AttemptRecord record;
    std::function<void(recovery::RecordOutcome)> written;
  };
  struct Batch {
    std::vector<Append> appends;
    std::vector<recovery::AttemptNumber> forgotten, ended;
    std::optional<recovery::StoredList> list;
    std::optional<recovery::StoredLearned> learned;
    bool empty() const;
  };
  enum class State {
    kClosed,   // not opened yet
    kTaken,    // opened late, and not accepted yet
    kWorks,    //
    kFailing,  // the last write failed: tried again
    kFull      // beyond its bound: nothing is written any more
  };
  static recovery::RecordOutcome unwritten(const recovery::AttemptRecord& record, State state);
  std::chrono::milliseconds pause() const;
  void run();
  void open_late(std::unique_lock<std::mutex>& lock);
  void write_next(std::unique_lock<std::mutex>& lock);
  void keep(Batch batch);
  void enter(State state);
  std::optional<StoreError> try_to_write(const Batch& batch);
  bool is_beyond_bound(const Batch& batch);
  void write(const Batch& batch);

  std::unique_ptr<NodeStore> store_;
  const StoreEvents events_;
  mutable std::mutex mutex_;
  std::condition_variable told_;
  Batch next_;
  std::uint64_t commits_ = 0;
  State state_;
  std::atomic<bool> accepts_{false};
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace canvasstage::storage
