// A disk that loses or tears what was not synced, for a lab build of the program: a SQLite VFS that registers
// itself as the default one. Writes stay in the process until a sync; a process that is killed takes them
// along.
//
// LAB_DISK_SEED  chance comes from it, a whole number
// LAB_DISK_TEAR  share of the sectors that reach the disk unsynced, 0 to 1
// LAB_DISK_SYNC_MS  how long a sync takes, in milliseconds
// LAB_DISK_FAULT  readonly: files open for reading alone; full: nothing more can be written
//
// Names are not part of it: creating, renaming and deleting a file takes effect at once.
#include <sqlite3.h>
#include <time.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <random>
#include <set>
#include <string>

namespace {

constexpr std::size_t kSector = 512;  // bytes that a disk writes in one piece

struct DiskPlan {
  std::mt19937 random{static_cast<std::uint32_t>(number("LAB_DISK_SEED"))};
  double tear = number("LAB_DISK_TEAR");
  double sync_ms = number("LAB_DISK_SYNC_MS");
  bool read_only = fault() == "readonly", full = fault() == "full";
  static double number(const char* name) {
    const char* const value = std::getenv(name);
    return value == nullptr ? 0 : std::strtod(value, nullptr);
  }
  static std::string fault() {
    const char* const value = std::getenv("LAB_DISK_FAULT");
    return value == nullptr ? "" : value;
  }
  bool tears() { return tear > 0 && std::uniform_real_distribution<double>(0, 1)(random) < tear; }
};

DiskPlan& plan() {
  static DiskPlan the_plan;
  return the_plan;
}

sqlite3_vfs& real_disk() {
  static sqlite3_vfs* const real = sqlite3_vfs_find("unix");
  return *real;
}

// One open file: what the program wrote, and which sectors of it are not on the disk.
struct Content {
  std::string bytes;
  std::set<std::size_t> unsynced;
  bool size_unsynced = false;
};

struct LossyFile {
  sqlite3_file base;
  Content* content;
  sqlite3_file* real;  // behind this struct, in the same memory
};

LossyFile& lossy(sqlite3_file* file) {
  return *reinterpret_cast<LossyFile*>(file);
}

int write_sector(LossyFile& file, std::size_t sector) {
  const std::size_t begin = sector * kSector;
  if (begin >= file.content->bytes.size()) return SQLITE_OK;
  const std::size_t size = std::min(kSector, file.content->bytes.size() - begin);
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
  LossyFile& one = lossy(file);
  write_all(one);  // a process that ends in order loses nothing
  delete one.content;
  return one.real->pMethods->xClose(one.real);
}

int read_file(sqlite3_file* file, void* into, int amount, sqlite3_int64 offset) {
  const std::string& bytes = lossy(file).content->bytes;
  const std::size_t from = std::min(static_cast<std::size_t>(offset), bytes.size());
  const std::size_t there = std::min(static_cast<std::size_t>(amount), bytes.size() - from);
  std::memcpy(into, bytes.data() + from, there);
  if (there == static_cast<std::size_t>(amount)) return SQLITE_OK;
  std::memset(static_cast<char*>(into) + there, 0, static_cast<std::size_t>(amount) - there);
  return SQLITE_IOERR_SHORT_READ;
}

int write_file(sqlite3_file* file, const void* from, int amount, sqlite3_int64 offset) {
  if (plan().full) return SQLITE_FULL;
  LossyFile& one = lossy(file);
  const std::size_t begin = static_cast<std::size_t>(offset), end = begin + static_cast<std::size_t>(amount);
  if (one.content->bytes.size() < end) one.content->bytes.resize(end);
  std::memcpy(one.content->bytes.data() + begin, from, static_cast<std::size_t>(amount));
  for (std::size_t sector = begin / kSector; sector * kSector < end; ++sector) {
    if (plan().tears())
      write_sector(one, sector);
    else
      one.content->unsynced.insert(sector);
  }
  return SQLITE_OK;
}

int truncate_file(sqlite3_file* file, sqlite3_int64 size) {
  Content& content = *lossy(file).content;
  content.bytes.resize(static_cast<std::size_t>(size));
  content.size_unsynced = true;
  return SQLITE_OK;
}

int sync_file(sqlite3_file* file, int flags) {
  LossyFile& one = lossy(file);
  const double sync_ms = plan().sync_ms;
  const timespec pause{0, static_cast<long>(sync_ms * 1e6)};
  if (sync_ms > 0) ::nanosleep(&pause, nullptr);
  if (const int code = write_all(one); code != SQLITE_OK) return code;
  return one.real->pMethods->xSync(one.real, flags);
}

int size_of_file(sqlite3_file* file, sqlite3_int64* size) {
  *size = static_cast<sqlite3_int64>(lossy(file).content->bytes.size());
  return SQLITE_OK;
}

int lock_file(sqlite3_file* file, int level) {
  return lossy(file).real->pMethods->xLock(lossy(file).real, level);
}

int unlock_file(sqlite3_file* file, int level) {
  return lossy(file).real->pMethods->xUnlock(lossy(file).real, level);
}

int check_reserved(sqlite3_file* file, int* reserved) {
  return lossy(file).real->pMethods->xCheckReservedLock(lossy(file).real, reserved);
}

int control_file(sqlite3_file*, int, void*) {
  return SQLITE_NOTFOUND;
}

int sector_size(sqlite3_file*) {
  return kSector;
}

int characteristics(sqlite3_file*) {
  return 0;
}

// Version 1: no shared memory. The program keeps its index of the log in its own, as it locks exclusively.
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
  LossyFile& one = lossy(file);
  one.base.pMethods = nullptr;
  one.real = reinterpret_cast<sqlite3_file*>(reinterpret_cast<char*>(file) + sizeof(LossyFile));
  int code = real_disk().xOpen(&real_disk(), name, one.real, flags, flags_out);
  if (code != SQLITE_OK) return code;
  one.content = new Content;
  code = load(one);
  if (code != SQLITE_OK) {
    delete one.content;
    one.real->pMethods->xClose(one.real);
    return code;
  }
  one.base.pMethods = &kMethods;
  return SQLITE_OK;
}

// Before main, and so before the program opens anything.
struct Registration {
  Registration() {
    sqlite3_initialize();
    static sqlite3_vfs disk = real_disk();
    disk.zName = "lossy";
    disk.szOsFile = static_cast<int>(sizeof(LossyFile)) + real_disk().szOsFile;
    disk.pNext = nullptr;
    disk.xOpen = open_file;
    sqlite3_vfs_register(&disk, 1);
  }
};
const Registration kRegistration;

}  // namespace
