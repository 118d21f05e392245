#include "storage/store_writer.h"

#include <time.h>

#include <algorithm>
#include <iterator>
#include <system_error>
#include <utility>

namespace canvasstage::storage {
namespace {

using recovery::RecordOutcome;
using std::chrono::milliseconds;

// Updates other than appends have no waiting caller: they are committed with the next append, or after this
// delay.
constexpr milliseconds kMaxCommitDelay{500};
// The interval of retries for a store that fails or could not be opened.
constexpr milliseconds kRetryInterval{100};
// The size limit of the store counts as reached after this many consecutive probes in which the batch fails
// as full and the smallest write succeeds.
constexpr int kSizeLimitProbes = 3;

// Starts a thread and retries for 10 s, since the system may refuse threads temporarily. Then throws the last
// error.
std::thread start_thread_with_retries(const std::function<void()>& body) {
  constexpr int kMaxTries = 1000;
  constexpr timespec kRetryDelay{0, 10000000};
  for (int tries = 1;; ++tries) try {
      return std::thread(body);
    } catch (const std::system_error&) {
      if (tries == kMaxTries) throw;
      ::nanosleep(&kRetryDelay, nullptr);
    }
}

std::string description_of(const StoreError& error) {
  return std::string(describe(error.kind)) + ": " + error.what();
}

}  // namespace

bool StoreWriter::Batch::empty() const {
  return appends.empty() && to_forget.empty() && to_mark_ended.empty() && !list && !learned;
}

StoreWriter::StoreWriter(std::unique_ptr<NodeStore> store, StoreEvents events)
    : store_(std::move(store)), events_(std::move(events)), state_(State::kNotOpen) {
  set_state(store_ ? State::kWritable : State::kNotOpen);
  thread_ = start_thread_with_retries([this] { run(); });
}

StoreWriter::~StoreWriter() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    wake_up_.notify_all();
  }
  thread_.join();
}

void StoreWriter::set_state(State state) {
  state_ = state;
  accepts_attempts_ = state == State::kWritable || state == State::kFull;
}

// A request without an idempotency key cannot be repeated, so its record would restrict nothing: the attempt
// is sent without a record.
RecordOutcome StoreWriter::outcome_without_record(const recovery::AttemptRecord& record, State state) {
  return state == State::kFull || record.idempotency_key.empty() ? RecordOutcome::kNotRecorded
                                                                 : RecordOutcome::kFailed;
}

void StoreWriter::append(const recovery::AttemptRecord& record, std::function<void(RecordOutcome)> written) {
  State state;
  {
    const std::lock_guard lock(mutex_);
    state = state_;
    if (state == State::kWritable) {
      pending_.appends.push_back({record, std::move(written)});
      wake_up_.notify_one();
      return;
    }
  }
  written(outcome_without_record(record, state));
}

void StoreWriter::forget(const std::vector<recovery::AttemptNumber>& attempts) {
  const std::lock_guard lock(mutex_);
  if (state_ != State::kFull)
    pending_.to_forget.insert(pending_.to_forget.end(), attempts.begin(), attempts.end());
}

void StoreWriter::mark_ended(const recovery::AttemptNumber& attempt) {
  const std::lock_guard lock(mutex_);
  if (state_ != State::kFull) pending_.to_mark_ended.push_back(attempt);
}

void StoreWriter::save(recovery::StoredList list) {
  const std::lock_guard lock(mutex_);
  if (state_ != State::kFull) pending_.list = std::move(list);
}

void StoreWriter::save(recovery::StoredLearned learned) {
  const std::lock_guard lock(mutex_);
  if (state_ != State::kFull) pending_.learned = std::move(learned);
}

void StoreWriter::accept_attempts() {
  const std::lock_guard lock(mutex_);
  if (state_ == State::kAwaitingAcceptance) set_state(State::kWritable);
}

std::uint64_t StoreWriter::commits() const {
  const std::lock_guard lock(mutex_);
  return commits_;
}

milliseconds StoreWriter::wait_time() const {
  return state_ == State::kNotOpen || state_ == State::kFailing ? kRetryInterval : kMaxCommitDelay;
}

void StoreWriter::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    wake_up_.wait_for(lock, wait_time(), [this] {
      return stopping_ || (state_ == State::kWritable && !pending_.appends.empty());
    });
    if (stopping_ && (pending_.empty() || state_ != State::kWritable)) return;
    if (state_ == State::kNotOpen)
      open_late(lock);
    else if (state_ == State::kFailing || (state_ == State::kWritable && !pending_.empty()))
      write_next(lock);
  }
}

void StoreWriter::open_late(std::unique_lock<std::mutex>& lock) {
  lock.unlock();
  std::unique_ptr<NodeStore> opened;
  try {
    opened = events_.open();
  } catch (const StoreError&) {
    // The failure was already logged when the store could not be opened at the start.
  }
  lock.lock();
  if (!opened) return;
  store_ = std::move(opened);
  set_state(State::kAwaitingAcceptance);
  lock.unlock();
  events_.opened(*store_);
  events_.recovered();
  lock.lock();
}

// Writes the pending batch. When the write fails, the callers of its appends, and of the appends that
// arrived during the write, are informed, and the other updates are written with the next batch.
void StoreWriter::write_next(std::unique_lock<std::mutex>& lock) {
  Batch batch = std::exchange(pending_, {});
  const bool was_writable = state_ == State::kWritable;
  lock.unlock();
  const std::optional<StoreError> error = try_write(batch);
  const bool full = error && error->kind == StoreErrorKind::kFull && exceeds_size_limit(batch);
  lock.lock();
  const State state = !error ? State::kWritable : full ? State::kFull : State::kFailing;
  set_state(state);
  if (!error) ++commits_;
  std::vector<Append> appends = std::move(batch.appends);
  if (error) {
    std::ranges::move(pending_.appends, std::back_inserter(appends));
    pending_.appends.clear();
  }
  if (state == State::kFailing) requeue(std::move(batch));
  lock.unlock();
  if (error && (was_writable || full))
    events_.failed(description_of(*error) + (full ? "; attempts go without records" : "; it is tried again"));
  if (!error && !was_writable) events_.recovered();
  for (const Append& append : appends)
    append.written(error ? outcome_without_record(append.record, state) : RecordOutcome::kDurable);
  lock.lock();
}

// Puts a batch that failed before the updates that arrived since. A newer executor list or learned state
// replaces the one of the batch.
void StoreWriter::requeue(Batch batch) {
  batch.to_forget.insert(batch.to_forget.end(), pending_.to_forget.begin(), pending_.to_forget.end());
  batch.to_mark_ended.insert(batch.to_mark_ended.end(), pending_.to_mark_ended.begin(),
                             pending_.to_mark_ended.end());
  pending_.to_forget = std::move(batch.to_forget);
  pending_.to_mark_ended = std::move(batch.to_mark_ended);
  if (!pending_.list) pending_.list = std::move(batch.list);
  if (!pending_.learned) pending_.learned = std::move(batch.learned);
}

std::optional<StoreError> StoreWriter::try_write(const Batch& batch) {
  try {
    write(batch);
    return std::nullopt;
  } catch (const StoreError& error) {
    return error;
  }
}

// SQLite reports a full disk and the size limit of the store (max_page_count) with the same error. On a full
// disk the smallest write fails too.
bool StoreWriter::exceeds_size_limit(const Batch& batch) {
  for (int tries = 0; tries < kSizeLimitProbes; ++tries) {
    if (try_write({})) return false;
    const std::optional<StoreError> batch_error = try_write(batch);
    if (!batch_error || batch_error->kind != StoreErrorKind::kFull) return false;
  }
  return true;
}

void StoreWriter::write(const Batch& batch) {
  Transaction transaction(store_->database());
  if (batch.empty()) store_->probe_write();
  for (const Append& append : batch.appends) store_->append(append.record);
  for (const recovery::AttemptNumber& attempt : batch.to_mark_ended) store_->mark_ended(attempt);
  for (const recovery::AttemptNumber& attempt : batch.to_forget) store_->forget(attempt);
  if (batch.list) store_->save(*batch.list);
  if (batch.learned) store_->save(*batch.learned);
  transaction.commit();
}

}  // namespace canvasstage::storage
