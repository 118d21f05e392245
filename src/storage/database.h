// A thin owner of one SQLite connection: errors become typed exceptions, statements end with their scope.
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace canvasstage::storage {

// Why a store cannot be used.
enum class Defect {
  kCorrupt,       // not a database, torn, or its content makes no sense
  kOtherVersion,  // of its schema
  kOtherNode,
  kReadOnly,
  kFull,
  kInUse,  // by another process
  kSystem  // any other error of the system
};
std::string_view words_for(Defect defect);

class StoreError : public std::runtime_error {
 public:
  StoreError(Defect what, const std::string& message) : std::runtime_error(message), defect(what) {}
  const Defect defect;
};

class Database;

// A prepared statement, bound and stepped in order.
class Statement {
 public:
  Statement(Database& database, const char* text);
  Statement& bind(std::int64_t value);
  Statement& bind(const std::string& value);
  // True: there is a row.
  bool step();
  // Steps to the end and can be bound anew.
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

class Database {
 public:
  // Opens a file that exists, or makes it. Throws StoreError.
  explicit Database(const std::string& path);
  void execute(const char* text);
  // The first column of the first row.
  std::int64_t integer(const char* text);
  std::string text(const char* text);
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

// Rolled back unless it was committed.
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
