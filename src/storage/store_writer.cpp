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

// Nobody waits for what is no append: it goes along with the next one, or after this long by itself.
constexpr milliseconds kMostDelay{500};
// How often a store that fails, or could not be opened, is tried again.
constexpr milliseconds kRetry{100};
// So often a write has to fail as full, and the smallest one to succeed, until its own bound is the reason.
constexpr int kBoundTries = 3;

// The system may refuse a thread for a while; after 10 s the last error goes on.
std::thread start_patiently(const std::function<void()>& body) {
  constexpr int kMostStarts = 1000;
  constexpr timespec kPause{0, 10000000};
  for (int starts = 1;; ++starts) try {
      return std::thread(body);
    } catch (const std::system_error&) {
      if (starts == kMostStarts) throw;
      ::nanosleep(&kPause, nullptr);
    }
}

std::string words_of(const StoreError& error) {
  return std::string(words_for(error.defect)) + ": " + error.what();
}

}  // namespace

bool StoreWriter::Batch::empty() const {
  return appends.empty() && forgotten.empty() && ended.empty() && !list && !learned;
}

StoreWriter::StoreWriter(std::unique_ptr<NodeStore> store, StoreEvents events)
    : store_(std::move(store)), events_(std::move(events)), state_(State::kClosed) {
  enter(store_ ? State::kWorks : State::kClosed);
  thread_ = start_patiently([this] { run(); });
}

StoreWriter::~StoreWriter() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
    told_.notify_all();
  }
  thread_.join();
}

void StoreWriter::enter(State state) {
  state_ = state;
  accepts_ = state == State::kWorks || state == State::kFull;
}

// A request without a key cannot be repeated, so that its record binds nothing: it goes without.
RecordOutcome StoreWriter::unwritten(const recovery::AttemptRecord& record, State state) {
  return state == State::kFull || record.idempotency_key.empty() ? RecordOutcome::kNotRecorded
                                                                 : RecordOutcome::kFailed;
}

void StoreWriter::append(const recovery::AttemptRecord& record, std::function<void(RecordOutcome)> written) {
  State state;
  {
    const std::lock_guard lock(mutex_);
    state = state_;
    if (state == State::kWorks) {
      next_.appends.push_back({record, std::move(written)});
      told_.notify_one();
      return;
    }
  }
  written(unwritten(record, state));
}

void StoreWriter::forget(const std::vector<recovery::AttemptNumber>& attempts) {
  const std::lock_guard lock(mutex_);
  if (state_ != State::kFull) next_.forgotten.insert(next_.forgotten.end(), attempts.begin(), attempts.end());
}

void StoreWriter::mark_ended(const recovery::AttemptNumber& attempt) {
  const std::lock_guard lock(mutex_);
  if (state_ != State::kFull) next_.ended.push_back(attempt);
}

void StoreWriter::save(recovery::StoredList list) {
  const std::lock_guard lock(mutex_);
  if (state_ != State::kFull) next_.list = std::move(list);
}

void StoreWriter::save(recovery::StoredLearned learned) {
  const std::lock_guard lock(mutex_);
  if (state_ != State::kFull) next_.learned = std::move(learned);
}

void StoreWriter::accept_attempts() {
  const std::lock_guard lock(mutex_);
  if (state_ == State::kTaken) enter(State::kWorks);
}

std::uint64_t StoreWriter::commits() const {
  const std::lock_guard lock(mutex_);
  return commits_;
}

milliseconds StoreWriter::pause() const {
  return state_ == State::kClosed || state_ == State::kFailing ? kRetry : kMostDelay;
}

void StoreWriter::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    told_.wait_for(lock, pause(),
                   [this] { return ending_ || (state_ == State::kWorks && !next_.appends.empty()); });
    if (ending_ && (next_.empty() || state_ != State::kWorks)) return;
    if (state_ == State::kClosed)
      open_late(lock);
    else if (state_ == State::kFailing || (state_ == State::kWorks && !next_.empty()))
      write_next(lock);
  }
}

void StoreWriter::open_late(std::unique_lock<std::mutex>& lock) {
  lock.unlock();
  std::unique_ptr<NodeStore> opened;
  try {
    opened = events_.open();
  } catch (const StoreError&) {
    // It was told as failing when it could not be opened first.
  }
  lock.lock();
  if (!opened) return;
  store_ = std::move(opened);
  enter(State::kTaken);
  lock.unlock();
  events_.opened(*store_);
  events_.works_again();
  lock.lock();
}

// Where it fails its appends, and those that came meanwhile, are told so; the rest is written with the next
// batch.
void StoreWriter::write_next(std::unique_lock<std::mutex>& lock) {
  Batch batch = std::exchange(next_, {});
  const bool worked = state_ == State::kWorks;
  lock.unlock();
  const std::optional<StoreError> error = try_to_write(batch);
  const bool full = error && error->defect == Defect::kFull && is_beyond_bound(batch);
  lock.lock();
  const State state = !error ? State::kWorks : full ? State::kFull : State::kFailing;
  enter(state);
  if (!error) ++commits_;
  std::vector<Append> appends = std::move(batch.appends);
  if (error) {
    std::ranges::move(next_.appends, std::back_inserter(appends));
    next_.appends.clear();
  }
  if (state == State::kFailing) keep(std::move(batch));
  lock.unlock();
  if (error && (worked || full))
    events_.failed(words_of(*error) + (full ? "; attempts go without records" : "; it is tried again"));
  if (!error && !worked) events_.works_again();
  for (const Append& append : appends)
    append.written(error ? unwritten(append.record, state) : RecordOutcome::kDurable);
  lock.lock();
}

// What was told since goes behind it, and replaces what there is one of.
void StoreWriter::keep(Batch batch) {
  batch.forgotten.insert(batch.forgotten.end(), next_.forgotten.begin(), next_.forgotten.end());
  batch.ended.insert(batch.ended.end(), next_.ended.begin(), next_.ended.end());
  next_.forgotten = std::move(batch.forgotten);
  next_.ended = std::move(batch.ended);
  if (!next_.list) next_.list = std::move(batch.list);
  if (!next_.learned) next_.learned = std::move(batch.learned);
}

std::optional<StoreError> StoreWriter::try_to_write(const Batch& batch) {
  try {
    write(batch);
    return std::nullopt;
  } catch (const StoreError& error) {
    return error;
  }
}

// SQLite says the same of a full disk and of the store's own bound.
bool StoreWriter::is_beyond_bound(const Batch& batch) {
  for (int tries = 0; tries < kBoundTries; ++tries) {
    if (try_to_write({})) return false;
    const std::optional<StoreError> again = try_to_write(batch);
    if (!again || again->defect != Defect::kFull) return false;
  }
  return true;
}

void StoreWriter::write(const Batch& batch) {
  Transaction transaction(store_->database());
  if (batch.empty()) store_->touch();
  for (const Append& append : batch.appends) store_->append(append.record);
  for (const recovery::AttemptNumber& attempt : batch.ended) store_->mark_ended(attempt);
  for (const recovery::AttemptNumber& attempt : batch.forgotten) store_->forget(attempt);
  if (batch.list) store_->save(*batch.list);
  if (batch.learned) store_->save(*batch.learned);
  transaction.commit();
}

}  // namespace canvasstage::storage
