// Tests of the node's store on a real file: the restored content, the handling of files that cannot be used,
// and the writer thread.
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
    temp_directory = mkdtemp(name.data());
    settings.directory = temp_directory + "/store";
    path = settings.directory + "/" + kStoreFile;
  }
  ~Storage() override { std::filesystem::remove_all(temp_directory); }

  std::unique_ptr<NodeStore> open(const recovery::ClockReading& clocks = {100000, "boot", 50000},
                                  Time now = kNow, const std::string& node = "n0") const {
    return std::make_unique<NodeStore>(settings, node, clocks, now);
  }
  StoreErrorKind open_error(const std::string& node = "n0") const {
    try {
      open({100000, "boot", 50000}, kNow, node);
    } catch (const StoreError& error) {
      EXPECT_NE(std::string(error.what()).find(settings.directory), std::string::npos) << error.what();
      return error.kind;
    }
    ADD_FAILURE() << "the store was opened";
    return StoreErrorKind::kSystem;
  }
  static void write(NodeStore& store, const std::function<void()>& write_content) {
    Transaction transaction(store.database());
    write_content();
    transaction.commit();
  }
  bool exists(const std::string& suffix) const { return std::filesystem::exists(path + suffix); }
  std::string temp_directory, path;
  recovery::RecoverySettings settings;
};

TEST_F(Storage, NextRunRestoresContentInItsOwnTime) {
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
  // The boot clock is 10 s later, and the process time of the new run has another origin.
  const Time now = 77 * kSecond;
  const auto store = open({0, "boot", 60000}, now);
  EXPECT_EQ(store->run(), 2u);
  const RestoredState& restored = store->restored();
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

TEST_F(Storage, RecordAgeIsKeptOverTwoRestarts) {
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

TEST_F(Storage, WallClockSetBackOverRebootExpiresWindows) {
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

// After a reboot only the wall clock gives an age, and it may be wrong. A clock that is an hour ahead would
// make the record expire, and a clock that is behind would leave its window open: either way a repeated
// request could take effect twice.
TEST_F(Storage, AttemptAgeIsUnknownAfterReboot) {
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
    EXPECT_EQ(store->restored().learned_age,
              seconds * kSecond);  // the learned state affects no guarantee, so the wall clock is sufficient
  }
}

TEST_F(Storage, CorruptFileIsMovedAsideAndRecreated) {
  std::filesystem::create_directories(settings.directory);
  std::ofstream(path) << std::string(8192, 'x');
  EXPECT_EQ(open_error(), StoreErrorKind::kCorrupt);
  EXPECT_FALSE(exists(""));
  EXPECT_TRUE(exists(".set-aside-1"));
  EXPECT_EQ(open()->run(), 1u);
  std::ofstream(path, std::ios::trunc) << std::string(8192, 'y');
  EXPECT_EQ(open_error(), StoreErrorKind::kCorrupt);
  EXPECT_TRUE(exists(".set-aside-1"));
  EXPECT_TRUE(exists(".set-aside-2"));
}

TEST_F(Storage, TruncatedFileIsMovedAside) {
  {
    const auto store = open();
    write(*store, [&] {
      for (std::uint64_t i = 1; i < 500; ++i) store->append(attempt(1, i));
    });
  }
  const auto size = std::filesystem::file_size(path);
  ASSERT_GT(size, 3u * 4096);
  std::filesystem::resize_file(path, size / 2);
  EXPECT_EQ(open_error(), StoreErrorKind::kCorrupt);
  EXPECT_TRUE(exists(".set-aside-1"));
  std::ofstream(path, std::ios::trunc).close();
  EXPECT_EQ(open_error(), StoreErrorKind::kCorrupt);
  EXPECT_TRUE(exists(".set-aside-2"));
}

TEST_F(Storage, FileOfOtherVersionIsMovedAside) {
  open();
  Database(path).execute("PRAGMA user_version=2");
  EXPECT_EQ(open_error(), StoreErrorKind::kVersionMismatch);
  EXPECT_TRUE(exists(".set-aside-1"));
}

TEST_F(Storage, FileOfOtherNodeIsNotMoved) {
  open();
  EXPECT_EQ(open_error("n1"), StoreErrorKind::kNodeMismatch);
  EXPECT_TRUE(exists(""));
  EXPECT_EQ(open()->run(), 2u);
}

TEST_F(Storage, FileInUseIsNotMoved) {
  const auto first = open();
  EXPECT_EQ(open_error(), StoreErrorKind::kInUse);
  write(*first, [&] { first->append(attempt(1, 1)); });
}

TEST_F(Storage, ErrorNamesDirectoryThatCannotBeCreated) {
  std::ofstream(settings.directory) << "a file";
  EXPECT_EQ(open_error(), StoreErrorKind::kSystem);
}

TEST_F(Storage, FileSizeIsLimited) {
  settings.max_size_mb = 1;
  const auto store = open();
  try {
    for (std::uint64_t i = 1; i < 100000; i += 100)
      write(*store, [&] {
        for (std::uint64_t j = 0; j < 100; ++j) store->append(attempt(1, i + j));
      });
    FAIL() << "no write failed";
  } catch (const StoreError& error) {
    EXPECT_EQ(error.kind, StoreErrorKind::kFull);
  }
  EXPECT_LE(std::filesystem::file_size(path), 1024u * 1024);
}

TEST_F(Storage, IncompleteStoreIsCreatedAgain) {
  std::filesystem::create_directories(settings.directory);
  std::ofstream(path + ".new") << "half";
  EXPECT_EQ(open()->run(), 1u);
}

// --- The writer ---

// Counts the outcomes that the writer's thread reports.
class RecordOutcomes {
 public:
  std::function<void(recovery::RecordOutcome)> written() {
    return [this](recovery::RecordOutcome outcome) {
      const std::lock_guard lock(mutex_);
      ++(outcome == recovery::RecordOutcome::kDurable       ? durable_
         : outcome == recovery::RecordOutcome::kNotRecorded ? not_recorded_
                                                            : failed_);
      changed_.notify_all();
    };
  }
  bool wait(int durable, int not_recorded, int failed = 0) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(10), [&] {
      return durable_ == durable && not_recorded_ == not_recorded && failed_ == failed;
    });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int durable_ = 0, not_recorded_ = 0, failed_ = 0;
};

StoreEvents events_with_failure_handler(std::function<void(const std::string&)> failed) {
  StoreEvents events;
  events.failed = std::move(failed);
  return events;
}

// Makes every write to a file fail, as on a disk that fails, by a file size limit of 0.
class FailingDisk {
 public:
  FailingDisk() {
    signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &previous_limit_);
    const rlimit zero_limit{0, previous_limit_.rlim_max};
    setrlimit(RLIMIT_FSIZE, &zero_limit);
  }
  ~FailingDisk() { setrlimit(RLIMIT_FSIZE, &previous_limit_); }

 private:
  rlimit previous_limit_{};
};

TEST_F(Storage, FailingStoreRejectsKeyedAttemptsUntilItRecovers) {
  RecordOutcomes outcomes;
  std::mutex mutex;
  std::condition_variable changed;
  int failures = 0, recoveries = 0;
  const auto count = [&](int& counter) {
    const std::lock_guard lock(mutex);
    ++counter;
    changed.notify_all();
  };
  StoreEvents events;
  events.failed = [&](const std::string&) { count(failures); };
  events.recovered = [&] { count(recoveries); };
  StoreWriter writer(open(), std::move(events));
  auto disk = std::make_optional<FailingDisk>();
  recovery::AttemptRecord without_key = attempt(1, 1);
  without_key.idempotency_key.clear();
  writer.append(attempt(1, 2), outcomes.written());
  EXPECT_TRUE(outcomes.wait(0, 0, 1));
  EXPECT_FALSE(writer.accepts_attempts());
  writer.append(without_key, outcomes.written());
  EXPECT_TRUE(outcomes.wait(0, 1, 1));
  writer.append(attempt(1, 3), outcomes.written());
  EXPECT_TRUE(outcomes.wait(0, 1, 2));
  disk.reset();
  std::unique_lock lock(mutex);
  EXPECT_TRUE(changed.wait_for(lock, std::chrono::seconds(10), [&] { return recoveries == 1; }));
  EXPECT_EQ(failures, 1);
  EXPECT_TRUE(writer.accepts_attempts());
  writer.append(attempt(1, 4), outcomes.written());
  EXPECT_TRUE(outcomes.wait(1, 1, 2));
}

TEST_F(Storage, ProbeWriteReachesTheFile) {
  const auto store = open();
  const FailingDisk disk;
  EXPECT_THROW(write(*store, [&] { store->probe_write(); }), StoreError);
}

TEST_F(Storage, StoreUnavailableAtStartIsOpenedLater) {
  RecordOutcomes outcomes;
  std::atomic<int> tries{0};
  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t run = 0;
  StoreEvents events;
  events.open = [&]() -> std::unique_ptr<NodeStore> {
    if (++tries < 3) throw StoreError(StoreErrorKind::kSystem, "not yet");
    return open();
  };
  events.opened = [&](const NodeStore& store) {
    const std::lock_guard lock(mutex);
    run = store.run();
    changed.notify_all();
  };
  StoreWriter writer(nullptr, std::move(events));
  writer.append(attempt(1, 1), outcomes.written());
  EXPECT_TRUE(outcomes.wait(0, 0, 1));
  {
    std::unique_lock lock(mutex);
    EXPECT_TRUE(changed.wait_for(lock, std::chrono::seconds(10), [&] { return run == 1; }));
  }
  EXPECT_FALSE(writer.accepts_attempts());  // the content of the store was not restored yet
  writer.accept_attempts();
  EXPECT_TRUE(writer.accepts_attempts());
  writer.append(attempt(1, 2), outcomes.written());
  EXPECT_TRUE(outcomes.wait(1, 0, 1));
}

TEST_F(Storage, WriterContentIsRestoredByNextRun) {
  RecordOutcomes outcomes;
  {
    StoreWriter writer(
        open(), events_with_failure_handler([](const std::string& failure) { ADD_FAILURE() << failure; }));
    for (std::uint64_t i = 1; i <= 100; ++i) writer.append(attempt(1, i), outcomes.written());
    EXPECT_TRUE(outcomes.wait(100, 0));
    EXPECT_LT(writer.commits(), 100u);  // several appends share one commit
    writer.forget({{1, 1}, {1, 2}});
    writer.save(recovery::StoredList{"d:1", 7, "{}", kNow});
  }
  const auto store = open();
  EXPECT_EQ(store->restored().attempts.size(), 98u);
  EXPECT_EQ(store->restored().list->generation, 7u);
}

TEST_F(Storage, FullStoreReportsOnceAndAllowsAttempts) {
  settings.max_size_mb = 1;
  RecordOutcomes outcomes;
  std::atomic<int> failures{0};
  {
    StoreWriter writer(open(), events_with_failure_handler([&](const std::string& failure) {
                         EXPECT_TRUE(failure.starts_with("full: " + path)) << failure;
                         ++failures;
                       }));
    recovery::StoredList list{"d:1", 7, std::string(2 * 1024 * 1024, 'x'), kNow};
    writer.save(list);
    writer.append(attempt(1, 1), outcomes.written());
    EXPECT_TRUE(outcomes.wait(0, 1));
    writer.append(attempt(1, 2), outcomes.written());
    EXPECT_TRUE(outcomes.wait(0, 2));
    writer.save(list);
  }
  EXPECT_EQ(failures, 1);
}

TEST(StorageClock, ReadsAllClocks) {
  const recovery::ClockReading clocks = read_clocks();
  EXPECT_GT(clocks.wall_ms, 0);
  EXPECT_GT(clocks.since_boot_ms, 0);
  EXPECT_FALSE(clocks.boot_id.empty());
}

}  // namespace
}  // namespace canvasstage::storage
