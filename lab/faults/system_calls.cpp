// System calls that fail as Linux documents, by the table that LAB_FAULTS names. Linked into a lab build of
// the node, these definitions go before the C library's, also for the libraries that the program is linked
// against.
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

// Null as long as the variable is not set.
FaultTable* table() {
  static std::atomic<FaultTable*> mapped{nullptr};
  if (FaultTable* const known = mapped.load(std::memory_order_acquire)) return known;
  const char* const path = std::getenv(canvasstage::lab::faults::kTableVariable);
  if (path == nullptr) return nullptr;
  FaultTable* const found = canvasstage::lab::faults::map_fault_table(path);
  mapped.store(found, std::memory_order_release);
  return found;
}

// Splitmix64; each thread draws from a stream of its own.
std::uint64_t draw() {
  static const std::uint64_t seed = [] {
    const char* const text = std::getenv(canvasstage::lab::faults::kSeedVariable);
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
  }();
  static std::atomic<std::uint64_t> streams{0};
  constexpr std::uint64_t kStep = 0x9e3779b97f4a7c15u;
  thread_local std::uint64_t state = seed * 0xbf58476d1ce4e5b9u + ++streams * 0x94d049bb133111ebu;
  std::uint64_t value = state += kStep;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
  return value ^ (value >> 31);
}

bool strikes(Fault fault) {
  FaultTable* const faults = table();
  if (faults == nullptr) return false;
  const auto place = static_cast<std::size_t>(fault);
  const std::uint32_t share = faults->per_million[place].load(std::memory_order_relaxed);
  if (share == 0 || draw() % 1000000 >= share) return false;
  faults->injected[place].fetch_add(1, std::memory_order_relaxed);
  return true;
}

int one_of(std::initializer_list<int> errors) {
  return errors.begin()[draw() % errors.size()];
}

// Sets errno where that fault strikes.
bool fails(Fault fault, std::initializer_list<int> errors) {
  if (!strikes(fault)) return false;
  errno = one_of(errors);
  return true;
}

bool interrupted() {
  return fails(Fault::kInterrupted, {EINTR});
}

std::size_t transferred(std::size_t size) {
  return size > 1 && strikes(Fault::kShortTransfer) ? 1 + draw() % (size - 1) : size;
}

void hold_up() {
  if (!strikes(Fault::kHeldSend)) return;
  constexpr timespec kHeld{0, 140000000};
  ::nanosleep(&kHeld, nullptr);
}

template <typename Function>
Function* next(Function*, const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const auto real = next(&accept4, "accept4");
  if (interrupted() || fails(Fault::kAccept, {ECONNABORTED, ENFILE, ENOBUFS, EMFILE})) return -1;
  return real(fd, address, size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto real = next(&socket, "socket");
  if (domain == AF_INET && fails(Fault::kSocket, {ENFILE, ENOBUFS, EMFILE})) return -1;
  return real(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto real = next(&connect, "connect");
  if (interrupted() || fails(Fault::kConnect, {EADDRNOTAVAIL, ENOBUFS})) return -1;
  if (fails(Fault::kNoRoute, {ENETUNREACH, EHOSTUNREACH, ETIMEDOUT})) return -1;
  return real(fd, address, size);
}

ssize_t recv(int fd, void* into, size_t size, int flags) {
  static const auto real = next(&recv, "recv");
  if (interrupted()) return -1;
  return real(fd, into, transferred(size), flags);
}

ssize_t send(int fd, const void* from, size_t size, int flags) {
  static const auto real = next(&send, "send");
  if (interrupted()) return -1;
  hold_up();
  return real(fd, from, transferred(size), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto real = next(&sendmsg, "sendmsg");
  if (interrupted()) return -1;
  hold_up();
  const bool plain = message->msg_iovlen > 0 && message->msg_controllen == 0;
  if (!plain || message->msg_iov[0].iov_len < 2) return real(fd, message, flags);
  const std::size_t part = transferred(message->msg_iov[0].iov_len);
  if (part == message->msg_iov[0].iov_len) return real(fd, message, flags);
  iovec beginning{message->msg_iov[0].iov_base, part};
  msghdr shorter = *message;
  shorter.msg_iov = &beginning;
  shorter.msg_iovlen = 1;
  return real(fd, &shorter, flags);
}

int poll(pollfd* waits, nfds_t count, int limit) {
  static const auto real = next(&poll, "poll");
  if (interrupted()) return -1;
  return real(waits, count, limit);
}

int pthread_create(pthread_t* thread, const pthread_attr_t* attributes, void* (*body)(void*),
                   void* argument) noexcept {
  static const auto real = next(&pthread_create, "pthread_create");
  if (strikes(Fault::kThread)) return EAGAIN;
  return real(thread, attributes, body, argument);
}

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static const auto real = next(&clock_gettime, "clock_gettime");
  const int result = real(clock, time);
  FaultTable* const faults = clock == CLOCK_REALTIME && result == 0 ? table() : nullptr;
  if (faults == nullptr) return result;
  constexpr std::int64_t kNanoseconds = 1000000000;
  const std::int64_t ahead = faults->wall_clock_ahead_ms.load(std::memory_order_relaxed) * 1000000;
  const std::int64_t sum = std::int64_t{time->tv_sec} * kNanoseconds + time->tv_nsec + ahead;
  time->tv_sec = sum / kNanoseconds;
  time->tv_nsec = sum % kNanoseconds;
  return result;
}

ssize_t pwrite(int fd, const void* from, size_t size, off_t at) {
  static const auto real = next(&pwrite, "pwrite");
  if (fails(Fault::kDisk, {ENOSPC, EIO})) return -1;
  return real(fd, from, size, at);
}

ssize_t pwrite64(int fd, const void* from, size_t size, off64_t at) {
  static const auto real = next(&pwrite64, "pwrite64");
  if (fails(Fault::kDisk, {ENOSPC, EIO})) return -1;
  return real(fd, from, size, at);
}

int fsync(int fd) {
  static const auto real = next(&fsync, "fsync");
  if (fails(Fault::kDisk, {EIO})) return -1;
  return real(fd);
}

int fdatasync(int fd) {
  static const auto real = next(&fdatasync, "fdatasync");
  if (fails(Fault::kDisk, {EIO, ENOSPC})) return -1;
  return real(fd);
}

}  // extern "C"
