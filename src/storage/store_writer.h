// The only thread that writes to the node's store. Updates that arrive while a commit runs are collected and
// committed together, with one sync (group commit).
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

// Callbacks of a StoreWriter. All are called from the writer's thread.
struct StoreEvents {
  // Called when the store starts to fail, with the reason and the file. No attempt with an idempotency key is
  // accepted until the store has recovered.
  std::function<void(const std::string& failure)> failed = [](const std::string&) {};
  // Called when the store can be written again, or could be opened late.
  std::function<void()> recovered = [] {};
  // Opens a store that could not be opened at the start. Throws StoreError.
  std::function<std::unique_ptr<NodeStore>()> open = nullptr;
  // Called after open() succeeded. The owner must restore the content of the store before it calls
  // accept_attempts().
  std::function<void(const NodeStore&)> opened = [](const NodeStore&) {};
};

// The methods may be called from any thread and do not wait for the disk.
class StoreWriter final : public recovery::Store {
 public:
  // `store` is null where it could not be opened yet; then `events.open` is called every 100 ms until it
  // succeeds.
  StoreWriter(std::unique_ptr<NodeStore> store, StoreEvents events);
  // Writes the pending updates where the store can be written, and stops the thread.
  ~StoreWriter() override;

  bool accepts_attempts() const override { return accepts_attempts_; }
  void append(const recovery::AttemptRecord& record,
              std::function<void(recovery::RecordOutcome)> written) override;
  void forget(const std::vector<recovery::AttemptNumber>& attempts) override;
  void mark_ended(const recovery::AttemptNumber& attempt) override;
  void save(recovery::StoredList list) override;
  void save(recovery::StoredLearned learned) override;

  // Starts to accept attempts for a store that was opened late.
  void accept_attempts();
  // The number of successful commits since the start.
  std::uint64_t commits() const;

 private:
  struct Append {
    recovery::AttemptRecord record;
    std::function<void(recovery::RecordOutcome)> written;
  };
  struct Batch {
    std::vector<Append> appends;
    std::vector<recovery::AttemptNumber> to_forget, to_mark_ended;
    std::optional<recovery::StoredList> list;
    std::optional<recovery::StoredLearned> learned;
    bool empty() const;
  };
  enum class State {
    kNotOpen,             // the store could not be opened yet
    kAwaitingAcceptance,  // opened late; accept_attempts() was not called yet
    kWritable,
    kFailing,  // the last write failed and is retried
    kFull      // the size limit is reached: nothing is written any more
  };
  static recovery::RecordOutcome outcome_without_record(const recovery::AttemptRecord& record, State state);
  std::chrono::milliseconds wait_time() const;
  void run();
  void open_late(std::unique_lock<std::mutex>& lock);
  void write_next(std::unique_lock<std::mutex>& lock);
  void requeue(Batch batch);
  void set_state(State state);
  std::optional<StoreError> try_write(const Batch& batch);
  bool exceeds_size_limit(const Batch& batch);
  void write(const Batch& batch);

  std::unique_ptr<NodeStore> store_;
  const StoreEvents events_;
  mutable std::mutex mutex_;
  std::condition_variable wake_up_;
  Batch pending_;
  std::uint64_t commits_ = 0;
  State state_;
  std::atomic<bool> accepts_attempts_{false};
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace canvasstage::storage
