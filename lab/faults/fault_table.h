// A table of the system calls that fail in a program, and how often. The test harness and the program both
// map its file, so that faults can begin and end while the program runs.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace canvasstage::lab::faults {

// The injectable faults, with the affected calls and errors.
enum class Fault {
  kThread,         // pthread_create: EAGAIN
  kAccept,         // accept4: ECONNABORTED, ENFILE, ENOBUFS, EMFILE
  kSocket,         // socket: ENFILE, ENOBUFS, EMFILE
  kConnect,        // connect: EADDRNOTAVAIL, ENOBUFS: errors of the local machine
  kNoRoute,        // connect: ENETUNREACH, EHOSTUNREACH, ETIMEDOUT
  kInterrupted,    // EINTR from accept4, connect, recv, send, sendmsg, poll
  kShortTransfer,  // recv, send and sendmsg transfer only part of the bytes
  kDelayedSend,    // send and sendmsg are delayed by 0.14 s
  kDisk,           // pwrite, fsync, fdatasync: ENOSPC, EIO
  kCount
};
constexpr std::size_t kFaultCount = static_cast<std::size_t>(Fault::kCount);

// The shared memory; a table of zeros injects no fault. Accesses are lock-free.
struct FaultTable {
  std::atomic<std::uint32_t> per_million[kFaultCount];
  std::atomic<std::uint64_t> injected[kFaultCount];
  std::atomic<std::int64_t> wall_clock_offset_ms;
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

// Environment variables: the path of the file, and the seed that determines which calls fail.
constexpr const char* kTableVariable = "LAB_FAULTS";
constexpr const char* kSeedVariable = "LAB_FAULTS_SEED";

// Maps the file, creating it if necessary. Returns null on failure.
FaultTable* map_fault_table(const char* path);

// The test harness's access to the fault table of one program.
class FaultSwitches {
 public:
  // Throws std::runtime_error when the file cannot be created or mapped.
  explicit FaultSwitches(std::string path);
  FaultSwitches(const FaultSwitches&) = delete;
  ~FaultSwitches();
  const std::string& path() const { return path_; }
  // Makes this share of the fault's calls fail from now on, 0 to 1.
  void set(Fault fault, double share);
  // Ends all faults. The wall-clock offset stays set.
  void clear();
  // Shifts the program's CLOCK_REALTIME by this much.
  void set_wall_clock_offset(double seconds);
  // Number of failures injected so far.
  std::uint64_t injected(Fault fault) const;

 private:
  const std::string path_;
  FaultTable* const table_;
};

}  // namespace canvasstage::lab::faults
