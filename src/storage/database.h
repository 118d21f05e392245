// RAII wrappers of an SQLite connection, its prepared statements and its transactions. SQLite errors are
// thrown as StoreError. Not thread-safe: a connection and its statements belong to one thread at a time.
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace canvasstage::storage {

// Why a store cannot be used.
enum class StoreErrorKind {
  kCorrupt,          // not a database, truncated, or with invalid content
  kVersionMismatch,  // the schema version is not the one of this program
  kNodeMismatch,     // the store belongs to another node
  kReadOnly,
  kFull,
  kInUse,  // locked by another process
  kSystem  // any other error of SQLite or of the operating system
};
// A short description for log lines, such as "read-only".
std::string_view describe(StoreErrorKind kind);

// An error of the store. what() begins with the path of the file.
class StoreError : public std::runtime_error {
 public:
  StoreError(StoreErrorKind error_kind, const std::string& message)
      : std::runtime_error(message), kind(error_kind) {}
  const StoreErrorKind kind;
};

class Database;

// A prepared statement. Each bind() sets the next parameter; the statement must not outlive its database.
class Statement {
 public:
  Statement(Database& database, const char* sql);
  Statement& bind(std::int64_t value);
  Statement& bind(const std::string& value);
  // Advances to the next row. Returns false after the last row.
  bool step();
  // Runs the statement to its end and resets it, also when it fails, so that its parameters can be bound
  // again.
  void execute();
  std::int64_t integer(int column) const;
  std::string text(int column) const;

 private:
  struct Finalize {
    void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
  };
  void reset();
  Database& database_;
  std::unique_ptr<sqlite3_stmt, Finalize> statement_;
  int bound_ = 0;
};

// A connection to one database file. All methods throw StoreError.
class Database {
 public:
  // Opens the file, or creates it where it does not exist.
  explicit Database(const std::string& path);
  void execute(const char* sql);
  // Both return the first column of the first row, or 0 and "" where the query has no row.
  std::int64_t integer(const char* sql);
  std::string text(const char* sql);
  const std::string& path() const { return path_; }

 private:
  friend class Statement;
  [[noreturn]] void fail(int code) const;
  struct Close {
    void operator()(sqlite3* database) const { sqlite3_close(database); }
  };
  const std::string path_;
  std::unique_ptr<sqlite3, Close> database_;
};

// A write transaction (BEGIN IMMEDIATE). The destructor rolls it back unless commit() succeeded.
class Transaction {
 public:
  explicit Transaction(Database& database);
  Transaction(const Transaction&) = delete;
  ~Transaction();
  void commit();

 private:
  Database& database_;
  bool open_ = true;
};

}  // namespace canvasstage::storage
