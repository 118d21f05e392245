#include "storage/database.h"

namespace canvasstage::storage {
namespace {

StoreErrorKind kind_of(int code) {
  switch (code & 0xff) {
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
    case SQLITE_MISMATCH:
    case SQLITE_CONSTRAINT:
    case SQLITE_ERROR:  // a table or column of the schema is missing
      return StoreErrorKind::kCorrupt;
    case SQLITE_READONLY:
    case SQLITE_PERM:
    case SQLITE_AUTH:
      return StoreErrorKind::kReadOnly;
    case SQLITE_FULL:
      return StoreErrorKind::kFull;
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      return StoreErrorKind::kInUse;
    default:
      return StoreErrorKind::kSystem;
  }
}

}  // namespace

std::string_view describe(StoreErrorKind kind) {
  switch (kind) {
    case StoreErrorKind::kCorrupt:
      return "corrupt";
    case StoreErrorKind::kVersionMismatch:
      return "of another version";
    case StoreErrorKind::kNodeMismatch:
      return "another node's";
    case StoreErrorKind::kReadOnly:
      return "read-only";
    case StoreErrorKind::kFull:
      return "full";
    case StoreErrorKind::kInUse:
      return "in use by another process";
    case StoreErrorKind::kSystem:
      return "not usable";
  }
  return "";
}

Statement::Statement(Database& database, const char* sql) : database_(database) {
  sqlite3_stmt* prepared = nullptr;
  const int code = sqlite3_prepare_v2(database.database_.get(), sql, -1, &prepared, nullptr);
  statement_.reset(prepared);
  if (code != SQLITE_OK) database.fail(code);
}

Statement& Statement::bind(std::int64_t value) {
  const int code = sqlite3_bind_int64(statement_.get(), ++bound_, value);
  if (code != SQLITE_OK) database_.fail(code);
  return *this;
}

Statement& Statement::bind(const std::string& value) {
  const int code = sqlite3_bind_text(statement_.get(), ++bound_, value.data(), static_cast<int>(value.size()),
                                     SQLITE_TRANSIENT);
  if (code != SQLITE_OK) database_.fail(code);
  return *this;
}

bool Statement::step() {
  const int code = sqlite3_step(statement_.get());
  if (code != SQLITE_ROW && code != SQLITE_DONE) database_.fail(code);
  return code == SQLITE_ROW;
}

void Statement::execute() {
  try {
    while (step()) {
    }
  } catch (const StoreError&) {
    reset();
    throw;
  }
  reset();
}

void Statement::reset() {
  sqlite3_reset(statement_.get());
  bound_ = 0;
}

std::int64_t Statement::integer(int column) const {
  return sqlite3_column_int64(statement_.get(), column);
}

std::string Statement::text(int column) const {
  const auto* const bytes = reinterpret_cast<const char*>(sqlite3_column_text(statement_.get(), column));
  return bytes == nullptr
             ? std::string()
             : std::string(bytes, static_cast<std::size_t>(sqlite3_column_bytes(statement_.get(), column)));
}

Database::Database(const std::string& path) : path_(path) {
  sqlite3* opened = nullptr;
  const int code = sqlite3_open_v2(path.c_str(), &opened,
                                   SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, nullptr);
  database_.reset(opened);
  if (code != SQLITE_OK) fail(code);
  sqlite3_extended_result_codes(opened, 1);
  if (sqlite3_db_readonly(opened, "main") == 1)
    throw StoreError(StoreErrorKind::kReadOnly, path_ + ": could be opened read-only only");
}

void Database::fail(int code) const {
  const std::string reason = database_ ? sqlite3_errmsg(database_.get()) : "out of memory";
  throw StoreError(kind_of(code), path_ + ": " + reason);
}

void Database::execute(const char* sql) {
  const int code = sqlite3_exec(database_.get(), sql, nullptr, nullptr, nullptr);
  if (code != SQLITE_OK) fail(code);
}

std::int64_t Database::integer(const char* sql) {
  Statement statement(*this, sql);
  return statement.step() ? statement.integer(0) : 0;
}

std::string Database::text(const char* sql) {
  Statement statement(*this, sql);
  return statement.step() ? statement.text(0) : std::string();
}

Transaction::Transaction(Database& database) : database_(database) {
  database_.execute("BEGIN IMMEDIATE");
}

Transaction::~Transaction() {
  if (!open_) return;
  try {
    database_.execute("ROLLBACK");
  } catch (const StoreError&) {
    // SQLite has already rolled the transaction back. The error that caused it reaches the caller.
  }
}

void Transaction::commit() {
  database_.execute("COMMIT");
  open_ = false;
}

}  // namespace canvasstage::storage
