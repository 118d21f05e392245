// System calls that fail with errors that Linux documents, according to the table that LAB_FAULTS names.
// Linked into a lab build of the node, these definitions take precedence over the C library's, also for the
// libraries that the program is linked against.
#include <dlfcn.h>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <initializer_list>

#include "faults/fault_table.h"

namespace {

using canvasstage::lab::faults::Fault;
using canvasstage::lab::faults::FaultTable;

// Returns null while the variable is not set or the file cannot be mapped.
FaultTable* table() {
  static std::atomic<FaultTable*> mapped{nullptr};
  if (FaultTable* const known_table = mapped.load(std::memory_order_acquire)) return known_table;
  const char* const path = std::getenv(canvasstage::lab::faults::kTableVariable);
  if (path == nullptr) return nullptr;
  FaultTable* const mapped_table = canvasstage::lab::faults::map_fault_table(path);
  mapped.store(mapped_table, std::memory_order_release);
  return mapped_table;
}

// Returns a random number from SplitMix64 (Steele, Lea, Flood 2014); each thread has its own stream.
std::uint64_t draw() {
  static const std::uint64_t seed = [] {
    const char* const text = std::getenv(canvasstage::lab::faults::kSeedVariable);
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
  }();
  static std::atomic<std::uint64_t> streams{0};
  constexpr std::uint64_t kIncrement = 0x9e3779b97f4a7c15u;
  thread_local std::uint64_t state = seed * 0xbf58476d1ce4e5b9u + ++streams * 0x94d049bb133111ebu;
  std::uint64_t value = state += kIncrement;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
  return value ^ (value >> 31);
}

// Decides whether this call fails, and counts it if so.
bool should_inject(Fault fault) {
  FaultTable* const faults = table();
  if (faults == nullptr) return false;
  const auto index = static_cast<std::size_t>(fault);
  const std::uint32_t share = faults->per_million[index].load(std::memory_order_relaxed);
  if (share == 0 || draw() % 1000000 >= share) return false;
  faults->injected[index].fetch_add(1, std::memory_order_relaxed);
  return true;
}

int pick_error(std::initializer_list<int> errors) {
  return errors.begin()[draw() % errors.size()];
}

// Sets errno to one of `errors` and returns true if the fault is injected.
bool inject_errno(Fault fault, std::initializer_list<int> errors) {
  if (!should_inject(fault)) return false;
  errno = pick_error(errors);
  return true;
}

bool interrupted() {
  return inject_errno(Fault::kInterrupted, {EINTR});
}

// Returns how many of the bytes to transfer.
std::size_t transfer_size(std::size_t size) {
  return size > 1 && should_inject(Fault::kShortTransfer) ? 1 + draw() % (size - 1) : size;
}

void delay_send() {
  if (!should_inject(Fault::kDelayedSend)) return;
  constexpr timespec kDelay{0, 140000000};
  ::nanosleep(&kDelay, nullptr);
}

// Returns the next definition of the symbol, usually the C library's.
template <typename Function>
Function* next_definition(Function*, const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const auto real = next_definition(&accept4, "accept4");
  if (interrupted() || inject_errno(Fault::kAccept, {ECONNABORTED, ENFILE, ENOBUFS, EMFILE})) return -1;
  return real(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto real = next_definition(&socket, "socket");
  if (domain == AF_INET && inject_errno(Fault::kSocket, {ENFILE, ENOBUFS, EMFILE})) return -1;
  return real(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto real = next_definition(&connect, "connect");
  if (interrupted() || inject_errno(Fault::kConnect, {EADDRNOTAVAIL, ENOBUFS})) return -1;
  if (inject_errno(Fault::kNoRoute, {ENETUNREACH, EHOSTUNREACH, ETIMEDOUT})) return -1;
  return real(fd, address, size);
}

ssize_t recv(int fd, void* into, size_t size, int flags) {
  static const auto real = next_definition(&recv, "recv");
  if (interrupted()) return -1;
  return real(fd, into, transfer_size(size), flags);
}

ssize_t send(int fd, const void* from, size_t size, int flags) {
  static const auto real = next_definition(&send, "send");
  if (interrupted()) return -1;
  delay_send();
  return real(fd, from, transfer_size(size), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto real = next_definition(&sendmsg, "sendmsg");
  if (interrupted()) return -1;
  delay_send();
  const bool plain = message->msg_iovlen > 0 && message->msg_controllen == 0;
  if (!plain || message->msg_iov[0].iov_len < 2) return real(fd, message, flags);
  const std::size_t part = transfer_size(message->msg_iov[0].iov_len);
  if (part == message->msg_iov[0].iov_len) return real(fd, message, flags);
  iovec first_part{message->msg_iov[0].iov_base, part};
  msghdr shorter = *message;
  shorter.msg_iov = &first_part;
  shorter.msg_iovlen = 1;
  return real(fd, &shorter, flags);
}

int poll(pollfd* descriptors, nfds_t count, int timeout_ms) {
  static const auto real = next_definition(&poll, "poll");
  if (interrupted()) return -1;
  return real(descriptors, count, timeout_ms);
}

int pthread_create(pthread_t* thread, const pthread_attr_t* attributes, void* (*body)(void*),
                   void* argument) noexcept {
  static const auto real = next_definition(&pthread_create, "pthread_create");
  if (should_inject(Fault::kThread)) return EAGAIN;
  return real(thread, attributes, body, argument);
}

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static const auto real = next_definition(&clock_gettime, "clock_gettime");
  const int result = real(clock, time);
  FaultTable* const faults = clock == CLOCK_REALTIME && result == 0 ? table() : nullptr;
  if (faults == nullptr) return result;
  constexpr std::int64_t kNanosecondsPerSecond = 1000000000;
  const std::int64_t offset_ns = faults->wall_clock_offset_ms.load(std::memory_order_relaxed) * 1000000;
  const std::int64_t sum = std::int64_t{time->tv_sec} * kNanosecondsPerSecond + time->tv_nsec + offset_ns;
  time->tv_sec = sum / kNanosecondsPerSecond;
  time->tv_nsec = sum % kNanosecondsPerSecond;
  return result;
}

ssize_t pwrite(int fd, const void* from, size_t size, off_t at) {
  static const auto real = next_definition(&pwrite, "pwrite");
  if (inject_errno(Fault::kDisk, {ENOSPC, EIO})) return -1;
  return real(fd, from, size, at);
}

ssize_t pwrite64(int fd, const void* from, size_t size, off64_t at) {
  static const auto real = next_definition(&pwrite64, "pwrite64");
  if (inject_errno(Fault::kDisk, {ENOSPC, EIO})) return -1;
  return real(fd, from, size, at);
}

int fsync(int fd) {
  static const auto real = next_definition(&fsync, "fsync");
  if (inject_errno(Fault::kDisk, {EIO})) return -1;
  return real(fd);
}

int fdatasync(int fd) {
  static const auto real = next_definition(&fdatasync, "fdatasync");
  if (inject_errno(Fault::kDisk, {EIO, ENOSPC})) return -1;
  return real(fd);
}

}  // extern "C"
