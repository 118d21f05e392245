// The one thread that writes to the node's store. What was told meanwhile is committed together, with one
// sync.
#pragma once

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

class StoreWriter final : public recovery::Store {
 public:
  // `failed` is called once, from the writer's thread, with file and reason; from then on nothing is written.
  StoreWriter(std::unique_ptr<NodeStore> store, std::function<void(const std::string&)> failed);
  // Writes what it was told, and ends.
  ~StoreWriter() override;

  void append(const recovery::AttemptRecord& record, std::function<void(bool durable)> written) override;
  void forget(const std::vector<recovery::AttemptNumber>& attempts) override;
  void mark_ended(const recovery::AttemptNumber& attempt) override;
  void save(recovery::StoredList list) override;
  void save(recovery::StoredLearned learned) override;

  std::uint64_t commits() const;

 private:
  struct Append {
    recovery::AttemptRecord record;
    std::function<void(bool)> written;
  };
  struct Batch {
    std::vector<Append> appends;
    std::vector<recovery::AttemptNumber> forgotten, ended;
    std::optional<recovery::StoredList> list;
    std::optional<recovery::StoredLearned> learned;
    bool empty() const;
  };
  void run();
  void write(const Batch& batch);

  std::unique_ptr<NodeStore> store_;
  const std::function<void(const std::string&)> failed_;
  mutable std::mutex mutex_;
  std::condition_variable told_;
  Batch next_;
  std::uint64_t commits_ = 0;
  bool broken_ = false, ending_ = false;
  std::thread thread_;
};

}  // namespace canvasstage::storage
