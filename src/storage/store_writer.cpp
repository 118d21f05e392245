#include "storage/store_writer.h"

#include <chrono>
#include <utility>

namespace canvasstage::storage {
namespace {

// Nobody waits for what is no append: it goes along with the next one, or after this long by itself.
constexpr std::chrono::milliseconds kMostDelay{500};

}  // namespace

bool StoreWriter::Batch::empty() const {
  return appends.empty() && forgotten.empty() && ended.empty() && !list && !learned;
}

StoreWriter::StoreWriter(std::unique_ptr<NodeStore> store, std::function<void(const std::string&)> failed)
    : store_(std::move(store)), failed_(std::move(failed)), thread_([this] { run(); }) {}

StoreWriter::~StoreWriter() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
    told_.notify_all();
  }
  thread_.join();
}

void StoreWriter::append(const recovery::AttemptRecord& record, std::function<void(bool durable)> written) {
  {
    const std::lock_guard lock(mutex_);
    if (!broken_) {
      next_.appends.push_back({record, std::move(written)});
      told_.notify_one();
      return;
    }
  }
  written(false);
}

void StoreWriter::forget(const std::vector<recovery::AttemptNumber>& attempts) {
  const std::lock_guard lock(mutex_);
  if (!broken_) next_.forgotten.insert(next_.forgotten.end(), attempts.begin(), attempts.end());
}

void StoreWriter::mark_ended(const recovery::AttemptNumber& attempt) {
  const std::lock_guard lock(mutex_);
  if (!broken_) next_.ended.push_back(attempt);
}

void StoreWriter::save(recovery::StoredList list) {
  const std::lock_guard lock(mutex_);
  if (!broken_) next_.list = std::move(list);
}

void StoreWriter::save(recovery::StoredLearned learned) {
  const std::lock_guard lock(mutex_);
  if (!broken_) next_.learned = std::move(learned);
}

std::uint64_t StoreWriter::commits() const {
  const std::lock_guard lock(mutex_);
  return commits_;
}

void StoreWriter::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    told_.wait_for(lock, kMostDelay, [this] { return ending_ || !next_.appends.empty(); });
    if (next_.empty()) {
      if (ending_) return;
      continue;
    }
    const Batch batch = std::exchange(next_, {});
    if (!broken_) {
      lock.unlock();
      std::string failure;
      try {
        write(batch);
      } catch (const StoreError& error) {
        failure = std::string(words_for(error.defect)) + ": " + error.what();
      }
      if (!failure.empty()) failed_(failure);
      lock.lock();
      broken_ = !failure.empty();
      commits_ += broken_ ? 0 : 1;
    }
    const bool durable = !broken_;
    lock.unlock();
    for (const Append& append : batch.appends) append.written(durable);
    lock.lock();
  }
}

void StoreWriter::write(const Batch& batch) {
  Transaction transaction(store_->database());
  for (const Append& append : batch.appends) store_->append(append.record);
  for (const recovery::AttemptNumber& attempt : batch.ended) store_->mark_ended(attempt);
  for (const recovery::AttemptNumber& attempt : batch.forgotten) store_->forget(attempt);
  if (batch.list) store_->save(*batch.list);
  if (batch.learned) store_->save(*batch.learned);
  transaction.commit();
}

}  // namespace canvasstage::storage
