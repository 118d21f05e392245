// Which system calls of a program are to fail, and how often: a file that the rig and the program both map,
// so that faults can begin and end while the program runs.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace canvasstage::lab::faults {

enum class Fault {
  kThread,         // pthread_create: EAGAIN
  kAccept,         // accept4: ECONNABORTED, ENFILE, ENOBUFS, EMFILE
  kSocket,         // socket: ENFILE, ENOBUFS, EMFILE
  kConnect,        // connect: EADDRNOTAVAIL, ENOBUFS, this machine's own trouble
  kNoRoute,        // connect: ENETUNREACH, EHOSTUNREACH, ETIMEDOUT
  kInterrupted,    // EINTR from accept4, connect, recv, send, sendmsg, poll
  kShortTransfer,  // recv, send and sendmsg move a part of the bytes
  kHeldSend,       // the process is held up for 0.14 s before bytes go out
  kDisk,           // pwrite, fsync, fdatasync: ENOSPC, EIO
  kCount
};
constexpr std::size_t kFaults = static_cast<std::size_t>(Fault::kCount);

// Lock-free in shared memory; all zeros: no fault.
struct FaultTable {
  std::atomic<std::uint32_t> per_million[kFaults];
  std::atomic<std::uint64_t> injected[kFaults];
  std::atomic<std::int64_t> wall_clock_ahead_ms;
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

// The environment's names of the file, and of the seed that says which calls fail.
constexpr const char* kTableVariable = "LAB_FAULTS";
constexpr const char* kSeedVariable = "LAB_FAULTS_SEED";

// Maps the file, which is made where it is not there; null where it cannot be had.
FaultTable* map_fault_table(const char* path);

// The rig's side of one program.
class FaultSwitches {
 public:
  // Throws std::runtime_error where the file cannot be made.
  explicit FaultSwitches(std::string path);
  FaultSwitches(const FaultSwitches&) = delete;
  ~FaultSwitches();
  const std::string& path() const { return path_; }
  // `share` of such calls fail from now on, 0 to 1.
  void set(Fault fault, double share);
  // Every fault ends; the wall clock stays as it was set.
  void clear();
  void set_wall_clock_ahead(double seconds);
  std::uint64_t injected(Fault fault) const;

 private:
  const std::string path_;
  FaultTable* const table_;
};

}  // namespace canvasstage::lab::faults
