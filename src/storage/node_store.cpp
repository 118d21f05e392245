#include "storage/node_store.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <map>
#include <utility>

namespace canvasstage::storage {
namespace {

// One row a start of the node: what the clocks said, beside the process's own time, in which the rows of that
// run are worded.
constexpr const char* kSchema = R"(
CREATE TABLE node(name TEXT NOT NULL);
CREATE TABLE runs(run INTEGER PRIMARY KEY, boot_id TEXT NOT NULL, wall_ms INTEGER NOT NULL,
                  since_boot_ms INTEGER NOT NULL, time INTEGER NOT NULL);
CREATE TABLE list(id INTEGER PRIMARY KEY CHECK(id = 1), run INTEGER NOT NULL, told INTEGER NOT NULL,
                  discovery TEXT NOT NULL, generation INTEGER NOT NULL, content TEXT NOT NULL);
CREATE TABLE learned(id INTEGER PRIMARY KEY CHECK(id = 1), run INTEGER NOT NULL, as_of INTEGER NOT NULL,
                     content TEXT NOT NULL);
CREATE TABLE attempts(run INTEGER NOT NULL, attempt INTEGER NOT NULL, sent INTEGER NOT NULL,
                      window INTEGER NOT NULL, effect INTEGER NOT NULL, ended INTEGER NOT NULL,
                      request_id TEXT NOT NULL, key TEXT NOT NULL, use_case TEXT NOT NULL,
                      executor TEXT NOT NULL, zone TEXT NOT NULL, cell INTEGER NOT NULL,
                      executor_started INTEGER NOT NULL, PRIMARY KEY(run, attempt)) WITHOUT ROWID;
)";
constexpr int kPageSize = 4096;

void use_wal(Database& database) {
  database.execute("PRAGMA locking_mode=EXCLUSIVE");
  database.execute("PRAGMA journal_mode=WAL");
  database.execute("PRAGMA synchronous=FULL");
  database.execute("PRAGMA cache_size=-512");  // KiB
}

// Made under another name and renamed when it is whole: a power loss in between leaves no half of a store.
void make(const std::string& path, const std::string& node) {
  const std::string unfinished = path + ".new";
  for (const char* const ending : {"", "-wal", "-shm", "-journal"})
    std::remove((unfinished + ending).c_str());
  {
    Database database(unfinished);
    database.execute("PRAGMA page_size=4096");
    database.execute("PRAGMA synchronous=FULL");
    Transaction transaction(database);
    database.execute(kSchema);
    Statement(database, "INSERT INTO node VALUES(?)").bind(node).execute();
    database.execute(("PRAGMA user_version=" + std::to_string(kSchemaVersion)).c_str());
    transaction.commit();
  }
  if (std::rename(unfinished.c_str(), path.c_str()) != 0)
    throw StoreError(Defect::kSystem, path + ": " + std::strerror(errno));
}

// Its name and those of its companions, so that the operator finds them together.
std::string set_aside(const std::string& path) {
  std::string aside;
  for (int number = 1;; ++number) {
    aside = path + ".set-aside-" + std::to_string(number);
    if (::access(aside.c_str(), F_OK) != 0) break;
  }
  std::rename(path.c_str(), aside.c_str());
  std::rename((path + "-wal").c_str(), (aside + "-wal").c_str());
  return aside;
}

std::string prepared_path(const recovery::RecoverySettings& settings, const std::string& node) {
  if (::mkdir(settings.directory.c_str(), 0700) != 0 && errno != EEXIST)
    throw StoreError(errno == EROFS || errno == EACCES ? Defect::kReadOnly : Defect::kSystem,
                     settings.directory + ": " + std::strerror(errno));
  std::string path = settings.directory + "/" + kStoreFile;
  struct stat file {};
  if (::stat(path.c_str(), &file) != 0) {
    make(path, node);
  } else if (file.st_size == 0) {
    throw StoreError(Defect::kCorrupt, path + ": truncated, moved to " + set_aside(path));
  }
  return path;
}

// What the process's clock says for a moment of an earlier run.
class RunTimes {
 public:
  RunTimes(Database& database, const recovery::ClockReading& clocks, Time now) : clocks_(clocks), now_(now) {
    Statement rows(database, "SELECT run, boot_id, wall_ms, since_boot_ms, time FROM runs");
    while (rows.step())
      runs_[rows.integer(0)] = {{rows.integer(2), rows.text(1), rows.integer(3)}, rows.integer(4)};
  }
  // By the steady clock alone, which runs within one boot: rules hang on it, and the wall clock may be wrong.
  std::optional<Time> steady_age(std::int64_t run, Time time) const {
    const auto found = runs_.find(run);
    const bool one_boot =
        found != runs_.end() && !clocks_.boot_id.empty() && found->second.clocks.boot_id == clocks_.boot_id;
    if (!one_boot) return std::nullopt;
    return age(run, time);
  }
  std::optional<Time> age(std::int64_t run, Time time) const {
    const auto found = runs_.find(run);
    if (found == runs_.end()) return std::nullopt;
    constexpr Time kMillisecond = kSecond / 1000;
    const std::int64_t into_run_ms = (time - found->second.time) / kMillisecond;
    recovery::ClockReading then = found->second.clocks;
    then.wall_ms += into_run_ms;
    then.since_boot_ms += into_run_ms;
    return recovery::elapsed_between(then, clocks_);
  }
  Time now() const { return now_; }

 private:
  struct Run {
    recovery::ClockReading clocks;
    Time time = 0;
  };
  std::map<std::int64_t, Run> runs_;
  const recovery::ClockReading& clocks_;
  const Time now_;
};

recovery::AttemptRecord read_attempt(const Statement& row) {
  recovery::AttemptRecord record;
  record.number = {static_cast<std::uint64_t>(row.integer(0)), static_cast<std::uint64_t>(row.integer(1))};
  record.sent_at = row.integer(2);
  record.idempotency_window = row.integer(3);
  record.effect = static_cast<Effect>(row.integer(4));
  record.has_outcome = row.integer(5) != 0;
  record.request_id = row.text(6);
  record.idempotency_key = row.text(7);
  record.use_case = row.text(8);
  record.executor = row.text(9);
  record.zone = row.text(10);
  record.cell = static_cast<int>(row.integer(11));
  record.executor_started_at = row.integer(12);
  return record;
}

}  // namespace

NodeStore::NodeStore(const recovery::RecoverySettings& settings, const std::string& node,
                     const recovery::ClockReading& clocks, Time now)
    : database_(prepared_path(settings, node)) {
  try {
    use_wal(database_);
    check(node);
    const std::int64_t pages = std::int64_t{settings.max_size_mb} * 1024 * 1024 / kPageSize;
    database_.execute(("PRAGMA max_page_count=" + std::to_string(pages)).c_str());
    read_content(clocks, now);
    begin_run(clocks, now);
    append_.emplace(database_, "INSERT INTO attempts VALUES(?,?,?,?,?,?,?,?,?,?,?,?,?)");
    forget_.emplace(database_, "DELETE FROM attempts WHERE run=? AND attempt=?");
    mark_ended_.emplace(database_, "UPDATE attempts SET ended=1 WHERE run=? AND attempt=?");
  } catch (const StoreError& error) {
    if (error.defect != Defect::kCorrupt && error.defect != Defect::kOtherVersion) throw;
    throw StoreError(error.defect, std::string(error.what()) + ", moved to " + set_aside(database_.path()));
  }
}

void NodeStore::check(const std::string& node) {
  const std::string sound = database_.text("PRAGMA integrity_check");
  if (sound != "ok") throw StoreError(Defect::kCorrupt, database_.path() + ": " + sound);
  const std::int64_t version = database_.integer("PRAGMA user_version");
  if (version != kSchemaVersion)
    throw StoreError(Defect::kOtherVersion, database_.path() + ": version " + std::to_string(version) +
                                                ", this program has " + std::to_string(kSchemaVersion));
  const std::string owner = database_.text("SELECT name FROM node");
  if (owner != node) throw StoreError(Defect::kOtherNode, database_.path() + ": belongs to node " + owner);
}

void NodeStore::read_content(const recovery::ClockReading& clocks, Time now) {
  const RunTimes times(database_, clocks, now);
  Statement list(database_, "SELECT run, told, discovery, generation, content FROM list");
  if (list.step()) {
    const std::optional<Time> age = times.age(list.integer(0), list.integer(1));
    restored_.list = recovery::StoredList{list.text(2), static_cast<std::uint64_t>(list.integer(3)),
                                          list.text(4), age ? now - *age : -kNever};
  }
  Statement learned(database_, "SELECT run, as_of, content FROM learned");
  if (learned.step()) {
    restored_.learned_age = times.age(learned.integer(0), learned.integer(1));
    restored_.learned =
        recovery::StoredLearned{learned.text(2), now - restored_.learned_age.value_or(kNever)};
  }
  Statement attempts(database_,
                     "SELECT run, attempt, sent, window, effect, ended, request_id, key, use_case, executor,"
                     " zone, cell, executor_started FROM attempts");
  while (attempts.step()) {
    recovery::AttemptRecord record = read_attempt(attempts);
    const std::optional<Time> age = times.steady_age(attempts.integer(0), record.sent_at);
    if (!age) ++restored_.attempts_of_unknown_age;
    record.sent_at = now - age.value_or(record.idempotency_window);
    restored_.attempts.push_back(std::move(record));
  }
}

void NodeStore::begin_run(const recovery::ClockReading& clocks, Time now) {
  Transaction transaction(database_);
  const std::int64_t run = database_.integer("SELECT coalesce(max(run), 0) + 1 FROM runs");
  database_.execute(
      "DELETE FROM runs WHERE run NOT IN (SELECT run FROM attempts UNION SELECT run FROM list UNION"
      " SELECT run FROM learned)");
  Statement(database_, "INSERT INTO runs VALUES(?,?,?,?,?)")
      .bind(run)
      .bind(clocks.boot_id)
      .bind(clocks.wall_ms)
      .bind(clocks.since_boot_ms)
      .bind(now)
      .execute();
  transaction.commit();
  run_ = static_cast<std::uint64_t>(run);
}

void NodeStore::append(const recovery::AttemptRecord& record) {
  append_->bind(static_cast<std::int64_t>(record.number.run))
      .bind(static_cast<std::int64_t>(record.number.attempt))
      .bind(record.sent_at)
      .bind(record.idempotency_window)
      .bind(static_cast<std::int64_t>(record.effect))
      .bind(std::int64_t{record.has_outcome})
      .bind(record.request_id)
      .bind(record.idempotency_key)
      .bind(record.use_case)
      .bind(record.executor)
      .bind(record.zone)
      .bind(std::int64_t{record.cell})
      .bind(record.executor_started_at)
      .execute();
}

// SQLite writes nothing where a row stays as it is: it is made anew.
void NodeStore::touch() {
  const std::string node = database_.text("SELECT name FROM node");
  database_.execute("DELETE FROM node");
  Statement(database_, "INSERT INTO node VALUES(?)").bind(node).execute();
}

void NodeStore::forget(const recovery::AttemptNumber& attempt) {
  forget_->bind(static_cast<std::int64_t>(attempt.run))
      .bind(static_cast<std::int64_t>(attempt.attempt))
      .execute();
}

void NodeStore::mark_ended(const recovery::AttemptNumber& attempt) {
  mark_ended_->bind(static_cast<std::int64_t>(attempt.run))
      .bind(static_cast<std::int64_t>(attempt.attempt))
      .execute();
}

void NodeStore::save(const recovery::StoredList& list) {
  Statement(database_, "INSERT OR REPLACE INTO list VALUES(1,?,?,?,?,?)")
      .bind(static_cast<std::int64_t>(run_))
      .bind(list.received_at)
      .bind(list.discovery)
      .bind(static_cast<std::int64_t>(list.generation))
      .bind(list.content)
      .execute();
}

void NodeStore::save(const recovery::StoredLearned& learned) {
  Statement(database_, "INSERT OR REPLACE INTO learned VALUES(1,?,?,?)")
      .bind(static_cast<std::int64_t>(run_))
      .bind(learned.as_of)
      .bind(learned.content)
      .execute();
}

}  // namespace canvasstage::storage
