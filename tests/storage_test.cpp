// The node's store on a real file: what it gives back, and what becomes of one that cannot be used.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <optional>

#include "storage/clock.h"
#include "storage/node_store.h"
#include "storage/store_writer.h"

namespace canvasstage::storage {
namespace {

constexpr Time kNow = 1000 * kSecond;

recovery::AttemptRecord attempt(std::uint64_t run, std::uint64_t number, Time sent = kNow) {
  recovery::AttemptRecord record;
  record.number = {run, number};
  record.request_id = "request";
  record.idempotency_key = "key-" + std::to_string(number);
  record.use_case = "render";
  record.effect = Effect::kIdempotentByKey;
  record.executor = "s-1";
  record.zone = "a";
  record.cell = 3;
  record.executor_started_at = 5;
  record.sent_at = sent;
  record.idempotency_window = 25 * kSecond;
  return record;
}

struct Storage : testing::Test {
  Storage() {
    std::string name = "/tmp/canvasstage-storage-XXXXXX";
    folder = mkdtemp(name.data());
    settings.directory = folder + "/store";
    path = settings.directory + "/" + kStoreFile;
  }
  ~Storage() override { std::filesystem::remove_all(folder); }

  std::unique_ptr<NodeStore> open(const recovery::ClockReading& clocks = {100000, "boot", 50000},
                                  Time now = kNow, const std::string& node = "n0") const {
    return std::make_unique<NodeStore>(settings, node, clocks, now);
  }
  Defect defect(const std::string& node = "n0") const {
    try {
      open({100000, "boot", 50000}, kNow, node);
    } catch (const StoreError& error) {
      EXPECT_NE(std::string(error.what()).find(settings.directory), std::string::npos) << error.what();
      return error.defect;
    }
    ADD_FAILURE() << "it opens";
    return Defect::kSystem;
  }
  static void write(NodeStore& store, const std::function<void()>& what) {
    Transaction transaction(store.database());
    what();
    transaction.commit();
  }
  bool exists(const std::string& ending) const { return std::filesystem::exists(path + ending); }
  std::string folder, path;
  recovery::RecoverySettings settings;
};

TEST_F(Storage, AllThatWasWrittenComesBackInTheNextRunsTime) {
  {
    const auto store = open();
    EXPECT_EQ(store->run(), 1u);
    EXPECT_FALSE(store->restored().list);
    EXPECT_TRUE(store->restored().attempts.empty());
    write(*store, [&] {
      store->append(attempt(1, 1));
      store->append(attempt(1, 2, kNow + kSecond));
      store->append(attempt(1, 3));
      store->forget({1, 3});
      store->mark_ended({1, 2});
      store->save(recovery::StoredList{"d:1", 41, "{}", kNow + 2 * kSecond});
      store->save(recovery::StoredLearned{"{\"a\":1}", kNow + 3 * kSecond});
      store->save(recovery::StoredList{"d:2", 42, "{\"b\":2}", kNow + 4 * kSecond});
    });
  }
  // 10 s later by the machine's clock, in a process whose own time began elsewhere.
  const Time now = 77 * kSecond;
  const auto store = open({0, "boot", 60000}, now);
  EXPECT_EQ(store->run(), 2u);
  const Restored& restored = store->restored();
  ASSERT_TRUE(restored.list);
  EXPECT_EQ(restored.list->discovery, "d:2");
  EXPECT_EQ(restored.list->generation, 42u);
  EXPECT_EQ(restored.list->content, "{\"b\":2}");
  EXPECT_EQ(restored.list->received_at, now - 6 * kSecond);
  ASSERT_TRUE(restored.learned);
  EXPECT_EQ(restored.learned->content, "{\"a\":1}");
  EXPECT_EQ(restored.learned_age, 7 * kSecond);
  ASSERT_EQ(restored.attempts.size(), 2u);
  const recovery::AttemptRecord& first = restored.attempts[0];
  EXPECT_EQ(first.number, (recovery::AttemptNumber{1, 1}));
  EXPECT_EQ(first.sent_at, now - 10 * kSecond);
  EXPECT_FALSE(first.has_outcome);
  EXPECT_EQ(first.idempotency_key, "key-1");
  EXPECT_EQ(first.executor, "s-1");
  EXPECT_EQ(first.zone, "a");
  EXPECT_EQ(first.cell, 3);
  EXPECT_EQ(first.executor_started_at, 5);
  EXPECT_EQ(first.idempotency_window, 25 * kSecond);
  EXPECT_EQ(first.effect, Effect::kIdempotentByKey);
  EXPECT_TRUE(restored.attempts[1].has_outcome);
  EXPECT_EQ(restored.attempts_of_unknown_age, 0u);
}

TEST_F(Storage, RecordsOfTwoRunsBeforeKeepTheirAge) {
  {
    const auto store = open();
    write(*store, [&] { store->append(attempt(1, 1)); });
  }
  open({0, "boot", 53000}, 5 * kSecond);
  const auto store = open({0, "boot", 56000}, 9 * kSecond);
  EXPECT_EQ(store->run(), 3u);
  ASSERT_EQ(store->restored().attempts.size(), 1u);
  EXPECT_EQ(store->restored().attempts[0].sent_at, 9 * kSecond - 6 * kSecond);
}

TEST_F(Storage, AWallClockThatWasSetBackOverABootMakesWindowsCountAsOver) {
  {
    const auto store = open();
    write(*store, [&] {
      store->append(attempt(1, 1));
      store->save(recovery::StoredLearned{"{}", kNow});
    });
  }
  const auto store = open({90000, "another boot", 4000}, kNow);
  ASSERT_EQ(store->restored().attempts.size(), 1u);
  EXPECT_EQ(store->restored().attempts_of_unknown_age, 1u);
  EXPECT_FALSE(recovery::AttemptLog::within_window(store->restored().attempts[0], kNow));
  EXPECT_FALSE(store->restored().learned_age);
}

// A clock that is an hour ahead after the boot would let the record expire, one that is behind would leave
// its window open: either way a repeat could take effect again.
TEST_F(Storage, OverABootTheAgeOfAnAttemptIsNotKnown) {
  {
    const auto store = open();
    write(*store, [&] {
      store->append(attempt(1, 1));
      store->save(recovery::StoredLearned{"{}", kNow});
    });
  }
  for (const std::int64_t seconds : {10, 3600}) {
    const auto store = open({100000 + seconds * 1000, "another boot", 5000}, kNow);
    ASSERT_EQ(store->restored().attempts.size(), 1u);
    EXPECT_EQ(store->restored().attempts_of_unknown_age, 1u) << seconds;
    recovery::AttemptLog log{recovery::AttemptLogSettings{}};
    log.restore(store->restored().attempts);
    EXPECT_TRUE(log.expire(kNow).empty()) << seconds;
    ASSERT_NE(log.earliest_attempt("key-1"), nullptr);
    EXPECT_FALSE(recovery::AttemptLog::within_window(*log.earliest_attempt("key-1"), kNow)) << seconds;
    EXPECT_EQ(store->restored().learned_age, seconds * kSecond);  // what it is used for breaks no rule
  }
}

TEST_F(Storage, ACorruptFileIsSetAsideAndTheNextStartMakesANewOne) {
  std::filesystem::create_directories(settings.directory);
  std::ofstream(path) << std::string(8192, 'x');
  EXPECT_EQ(defect(), Defect::kCorrupt);
  EXPECT_FALSE(exists(""));
  EXPECT_TRUE(exists(".set-aside-1"));
  EXPECT_EQ(open()->run(), 1u);
  std::ofstream(path, std::ios::trunc) << std::string(8192, 'y');
  EXPECT_EQ(defect(), Defect::kCorrupt);
  EXPECT_TRUE(exists(".set-aside-1"));
  EXPECT_TRUE(exists(".set-aside-2"));
}

TEST_F(Storage, ATruncatedFileIsSetAside) {
  {
    const auto store = open();
    write(*store, [&] {
      for (std::uint64_t i = 1; i < 500; ++i) store->append(attempt(1, i));
    });
  }
  const auto size = std::filesystem::file_size(path);
  ASSERT_GT(size, 3u * 4096);
  std::filesystem::resize_file(path, size / 2);
  EXPECT_EQ(defect(), Defect::kCorrupt);
  EXPECT_TRUE(exists(".set-aside-1"));
  std::ofstream(path, std::ios::trunc).close();
  EXPECT_EQ(defect(), Defect::kCorrupt);
  EXPECT_TRUE(exists(".set-aside-2"));
}

TEST_F(Storage, OneOfAnotherVersionIsSetAside) {
  open();
  Database(path).execute("PRAGMA user_version=2");
  EXPECT_EQ(defect(), Defect::kOtherVersion);
  EXPECT_TRUE(exists(".set-aside-1"));
}

TEST_F(Storage, AnotherNodesStaysWhereItIs) {
  open();
  EXPECT_EQ(defect("n1"), Defect::kOtherNode);
  EXPECT_TRUE(exists(""));
  EXPECT_EQ(open()->run(), 2u);
}

TEST_F(Storage, OneThatIsInUseStaysWhereItIs) {
  const auto first = open();
  EXPECT_EQ(defect(), Defect::kInUse);
  write(*first, [&] { first->append(attempt(1, 1)); });
}

TEST_F(Storage, ADirectoryThatCannotBeMadeIsNamed) {
  std::ofstream(settings.directory) << "a file";
  EXPECT_EQ(defect(), Defect::kSystem);
}

TEST_F(Storage, ItsSizeIsBounded) {
  settings.max_size_mb = 1;
  const auto store = open();
  try {
    for (std::uint64_t i = 1; i < 100000; i += 100)
      write(*store, [&] {
        for (std::uint64_t j = 0; j < 100; ++j) store->append(attempt(1, i + j));
      });
    FAIL() << "it takes all";
  } catch (const StoreError& error) {
    EXPECT_EQ(error.defect, Defect::kFull);
  }
  EXPECT_LE(std::filesystem::file_size(path), 1024u * 1024);
}

TEST_F(Storage, AStoreThatWasHalfMadeIsMadeAnew) {
  std::filesystem::create_directories(settings.directory);
  std::ofstream(path + ".new") << "half";
  EXPECT_EQ(open()->run(), 1u);
}

// --- The writer ---

// Counts what the writer's thread tells.
class Told {
 public:
  std::function<void(recovery::RecordOutcome)> written() {
    return [this](recovery::RecordOutcome outcome) {
      const std::lock_guard lock(mutex_);
      ++(outcome == recovery::RecordOutcome::kDurable       ? durable_
         : outcome == recovery::RecordOutcome::kNotRecorded ? without_
                                                            : failed_);
      changed_.notify_all();
    };
  }
  bool wait(int durable, int without, int failed = 0) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(10),
                             [&] { return durable_ == durable && without_ == without && failed_ == failed; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int durable_ = 0, without_ = 0, failed_ = 0;
};

StoreEvents failing_with(std::function<void(const std::string&)> failed) {
  StoreEvents events;
  events.failed = std::move(failed);
  return events;
}

// No write to a file succeeds, as on a disk that fails.
class FailingDisk {
 public:
  FailingDisk() {
    signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &before_);
    const rlimit none{0, before_.rlim_max};
    setrlimit(RLIMIT_FSIZE, &none);
  }
  ~FailingDisk() { setrlimit(RLIMIT_FSIZE, &before_); }

 private:
  rlimit before_{};
};

TEST_F(Storage, AWriterWhoseStoreFailsLetsNoKeyGoUntilItWorksAgain) {
  Told told;
  std::mutex mutex;
  std::condition_variable changed;
  int failures = 0, returns = 0;
  const auto count = [&](int& which) {
    const std::lock_guard lock(mutex);
    ++which;
    changed.notify_all();
  };
  StoreEvents events;
  events.failed = [&](const std::string&) { count(failures); };
  events.works_again = [&] { count(returns); };
  StoreWriter writer(open(), std::move(events));
  auto disk = std::make_optional<FailingDisk>();
  recovery::AttemptRecord without_key = attempt(1, 1);
  without_key.idempotency_key.clear();
  writer.append(attempt(1, 2), told.written());
  EXPECT_TRUE(told.wait(0, 0, 1));
  EXPECT_FALSE(writer.accepts_attempts());
  writer.append(without_key, told.written());
  EXPECT_TRUE(told.wait(0, 1, 1));
  writer.append(attempt(1, 3), told.written());
  EXPECT_TRUE(told.wait(0, 1, 2));
  disk.reset();
  std::unique_lock lock(mutex);
  EXPECT_TRUE(changed.wait_for(lock, std::chrono::seconds(10), [&] { return returns == 1; }));
  EXPECT_EQ(failures, 1);
  EXPECT_TRUE(writer.accepts_attempts());
  writer.append(attempt(1, 4), told.written());
  EXPECT_TRUE(told.wait(1, 1, 2));
}

TEST_F(Storage, ATouchIsWrittenToTheFile) {
  const auto store = open();
  const FailingDisk disk;
  EXPECT_THROW(write(*store, [&] { store->touch(); }), StoreError);
}

TEST_F(Storage, OneThatCannotBeOpenedAtTheStartIsOpenedLater) {
  Told told;
  std::atomic<int> tries{0};
  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t run = 0;
  StoreEvents events;
  events.open = [&]() -> std::unique_ptr<NodeStore> {
    if (++tries < 3) throw StoreError(Defect::kSystem, "not yet");
    return open();
  };
  events.opened = [&](const NodeStore& store) {
    const std::lock_guard lock(mutex);
    run = store.run();
    changed.notify_all();
  };
  StoreWriter writer(nullptr, std::move(events));
  writer.append(attempt(1, 1), told.written());
  EXPECT_TRUE(told.wait(0, 0, 1));
  {
    std::unique_lock lock(mutex);
    EXPECT_TRUE(changed.wait_for(lock, std::chrono::seconds(10), [&] { return run == 1; }));
  }
  EXPECT_FALSE(writer.accepts_attempts());  // what it held is not taken in yet
  writer.accept_attempts();
  EXPECT_TRUE(writer.accepts_attempts());
  writer.append(attempt(1, 2), told.written());
  EXPECT_TRUE(told.wait(1, 0, 1));
}

TEST_F(Storage, WhatTheWriterToldToBeWrittenIsThereInTheNextRun) {
  Told told;
  {
    StoreWriter writer(open(), failing_with([](const std::string& failure) { ADD_FAILURE() << failure; }));
    for (std::uint64_t i = 1; i <= 100; ++i) writer.append(attempt(1, i), told.written());
    EXPECT_TRUE(told.wait(100, 0));
    EXPECT_LT(writer.commits(), 100u);  // many in one
    writer.forget({{1, 1}, {1, 2}});
    writer.save(recovery::StoredList{"d:1", 7, "{}", kNow});
  }
  const auto store = open();
  EXPECT_EQ(store->restored().attempts.size(), 98u);
  EXPECT_EQ(store->restored().list->generation, 7u);
}

TEST_F(Storage, AWriterWhoseStoreIsFullSaysSoOnceAndLetsAttemptsGo) {
  settings.max_size_mb = 1;
  Told told;
  std::atomic<int> failures{0};
  {
    StoreWriter writer(open(), failing_with([&](const std::string& failure) {
                         EXPECT_TRUE(failure.starts_with("full: " + path)) << failure;
                         ++failures;
                       }));
    recovery::StoredList list{"d:1", 7, std::string(2 * 1024 * 1024, 'x'), kNow};
    writer.save(list);
    writer.append(attempt(1, 1), told.written());
    EXPECT_TRUE(told.wait(0, 1));
    writer.append(attempt(1, 2), told.written());
    EXPECT_TRUE(told.wait(0, 2));
    writer.save(list);
  }
  EXPECT_EQ(failures, 1);
}

TEST(StorageClock, ReadsAllThree) {
  const recovery::ClockReading clocks = read_clocks();
  EXPECT_GT(clocks.wall_ms, 0);
  EXPECT_GT(clocks.since_boot_ms, 0);
  EXPECT_FALSE(clocks.boot_id.empty());
}

}  // namespace
}  // namespace canvasstage::storage
