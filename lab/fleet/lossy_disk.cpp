// A simulated disk that loses or tears unsynced writes, for a lab build of the node: a SQLite VFS that
// registers itself as the default VFS. Writes stay in the memory of the process until a sync, so a process
// that is killed loses them. See https://www.sqlite.org/vfs.html.
//
// LAB_DISK_SEED  seed of the random generator, a whole number
// LAB_DISK_TEAR  share of the sectors that reach the disk without a sync, 0 to 1
// LAB_DISK_SYNC_MS  duration of a sync, in milliseconds
// LAB_DISK_FAULT  readonly: files open read-only; full: every write fails
//
// Directory entries are not simulated: creating, renaming and deleting a file takes effect at once.
#include <sqlite3.h>
#include <time.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <random>
#include <set>
#include <string>

namespace {

constexpr std::size_t kSectorSize = 512;  // bytes that the disk writes atomically

struct DiskPlan {
  std::mt19937 random{static_cast<std::uint32_t>(number_from_env("LAB_DISK_SEED"))};
  double torn_share = number_from_env("LAB_DISK_TEAR");
  double sync_ms = number_from_env("LAB_DISK_SYNC_MS");
  bool read_only = fault_from_env() == "readonly", full = fault_from_env() == "full";
  static double number_from_env(const char* name) {
    const char* const value = std::getenv(name);
    return value == nullptr ? 0 : std::strtod(value, nullptr);
  }
  static std::string fault_from_env() {
    const char* const value = std::getenv("LAB_DISK_FAULT");
    return value == nullptr ? "" : value;
  }
  bool should_tear() {
    return torn_share > 0 && std::uniform_real_distribution<double>(0, 1)(random) < torn_share;
  }
};

DiskPlan& plan() {
  static DiskPlan instance;
  return instance;
}

sqlite3_vfs& real_vfs() {
  static sqlite3_vfs* const real = sqlite3_vfs_find("unix");
  return *real;
}

// Content of one open file as the program sees it, and the sectors that are not on the disk yet.
struct Content {
  std::string bytes;
  std::set<std::size_t> unsynced;
  bool size_unsynced = false;
};

struct LossyFile {
  sqlite3_file base;
  Content* content;
  sqlite3_file* real;  // stored directly after this struct, in the memory that SQLite allocates
};

LossyFile& as_lossy(sqlite3_file* file) {
  return *reinterpret_cast<LossyFile*>(file);
}

int write_sector(LossyFile& file, std::size_t sector) {
  const std::size_t begin = sector * kSectorSize;
  if (begin >= file.content->bytes.size()) return SQLITE_OK;
  const std::size_t size = std::min(kSectorSize, file.content->bytes.size() - begin);
  return file.real->pMethods->xWrite(file.real, file.content->bytes.data() + begin, static_cast<int>(size),
                                     static_cast<sqlite3_int64>(begin));
}

int write_all(LossyFile& file) {
  for (const std::size_t sector : file.content->unsynced)
    if (const int code = write_sector(file, sector); code != SQLITE_OK) return code;
  file.content->unsynced.clear();
  if (!file.content->size_unsynced) return SQLITE_OK;
  file.content->size_unsynced = false;
  return file.real->pMethods->xTruncate(file.real, static_cast<sqlite3_int64>(file.content->bytes.size()));
}

int close_file(sqlite3_file* file) {
  LossyFile& lossy_file = as_lossy(file);
  write_all(lossy_file);  // a process that closes its files loses nothing
  delete lossy_file.content;
  return lossy_file.real->pMethods->xClose(lossy_file.real);
}

int read_file(sqlite3_file* file, void* into, int amount, sqlite3_int64 offset) {
  const std::string& bytes = as_lossy(file).content->bytes;
  const std::size_t from = std::min(static_cast<std::size_t>(offset), bytes.size());
  const std::size_t available = std::min(static_cast<std::size_t>(amount), bytes.size() - from);
  std::memcpy(into, bytes.data() + from, available);
  if (available == static_cast<std::size_t>(amount)) return SQLITE_OK;
  std::memset(static_cast<char*>(into) + available, 0, static_cast<std::size_t>(amount) - available);
  return SQLITE_IOERR_SHORT_READ;
}

int write_file(sqlite3_file* file, const void* from, int amount, sqlite3_int64 offset) {
  if (plan().full) return SQLITE_FULL;
  LossyFile& lossy_file = as_lossy(file);
  const std::size_t begin = static_cast<std::size_t>(offset), end = begin + static_cast<std::size_t>(amount);
  if (lossy_file.content->bytes.size() < end) lossy_file.content->bytes.resize(end);
  std::memcpy(lossy_file.content->bytes.data() + begin, from, static_cast<std::size_t>(amount));
  for (std::size_t sector = begin / kSectorSize; sector * kSectorSize < end; ++sector) {
    if (plan().should_tear())
      write_sector(lossy_file, sector);
    else
      lossy_file.content->unsynced.insert(sector);
  }
  return SQLITE_OK;
}

int truncate_file(sqlite3_file* file, sqlite3_int64 size) {
  Content& content = *as_lossy(file).content;
  content.bytes.resize(static_cast<std::size_t>(size));
  content.size_unsynced = true;
  return SQLITE_OK;
}

int sync_file(sqlite3_file* file, int flags) {
  LossyFile& lossy_file = as_lossy(file);
  const double sync_ms = plan().sync_ms;
  const timespec pause{0, static_cast<long>(sync_ms * 1e6)};
  if (sync_ms > 0) ::nanosleep(&pause, nullptr);
  if (const int code = write_all(lossy_file); code != SQLITE_OK) return code;
  return lossy_file.real->pMethods->xSync(lossy_file.real, flags);
}

int size_of_file(sqlite3_file* file, sqlite3_int64* size) {
  *size = static_cast<sqlite3_int64>(as_lossy(file).content->bytes.size());
  return SQLITE_OK;
}

int lock_file(sqlite3_file* file, int level) {
  return as_lossy(file).real->pMethods->xLock(as_lossy(file).real, level);
}

int unlock_file(sqlite3_file* file, int level) {
  return as_lossy(file).real->pMethods->xUnlock(as_lossy(file).real, level);
}

int check_reserved(sqlite3_file* file, int* reserved) {
  return as_lossy(file).real->pMethods->xCheckReservedLock(as_lossy(file).real, reserved);
}

int control_file(sqlite3_file*, int, void*) {
  return SQLITE_NOTFOUND;
}

int sector_size(sqlite3_file*) {
  return kSectorSize;
}

int characteristics(sqlite3_file*) {
  return 0;
}

// Version 1 of the methods has no shared memory: with exclusive locking, SQLite keeps the WAL index in heap
// memory.
constexpr sqlite3_io_methods kMethods = {
    1,         close_file,  read_file,      write_file,   truncate_file, sync_file,       size_of_file,
    lock_file, unlock_file, check_reserved, control_file, sector_size,   characteristics, nullptr,
    nullptr,   nullptr,     nullptr,        nullptr,      nullptr};

int load(LossyFile& file) {
  sqlite3_int64 size = 0;
  if (const int code = file.real->pMethods->xFileSize(file.real, &size); code != SQLITE_OK) return code;
  file.content->bytes.resize(static_cast<std::size_t>(size));
  if (size == 0) return SQLITE_OK;
  return file.real->pMethods->xRead(file.real, file.content->bytes.data(), static_cast<int>(size), 0);
}

int open_file(sqlite3_vfs*, const char* name, sqlite3_file* file, int flags, int* flags_out) {
  if (plan().read_only && (flags & SQLITE_OPEN_READWRITE) != 0) {
    flags &= ~(SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE);
    flags |= SQLITE_OPEN_READONLY;
  }
  LossyFile& lossy_file = as_lossy(file);
  lossy_file.base.pMethods = nullptr;
  lossy_file.real = reinterpret_cast<sqlite3_file*>(reinterpret_cast<char*>(file) + sizeof(LossyFile));
  int code = real_vfs().xOpen(&real_vfs(), name, lossy_file.real, flags, flags_out);
  if (code != SQLITE_OK) return code;
  lossy_file.content = new Content;
  code = load(lossy_file);
  if (code != SQLITE_OK) {
    delete lossy_file.content;
    lossy_file.real->pMethods->xClose(lossy_file.real);
    return code;
  }
  lossy_file.base.pMethods = &kMethods;
  return SQLITE_OK;
}

// Registers the VFS before main, and so before the program opens a database.
struct Registration {
  Registration() {
    sqlite3_initialize();
    static sqlite3_vfs disk = real_vfs();
    disk.zName = "lossy";
    disk.szOsFile = static_cast<int>(sizeof(LossyFile)) + real_vfs().szOsFile;
    disk.pNext = nullptr;
    disk.xOpen = open_file;
    sqlite3_vfs_register(&disk, 1);
  }
};
const Registration kRegistration;

}  // namespace
