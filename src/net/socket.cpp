#include "net/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <iterator>
#include <stdexcept>

namespace canvasstage::net {
namespace {

bool parse_address(const std::string& address, sockaddr_in& result) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return false;
  std::uint16_t port = 0;
  const char* const end = address.data() + address.size();
  const auto [parsed_end, error] = std::from_chars(address.data() + colon + 1, end, port);
  result = sockaddr_in{};
  result.sin_family = AF_INET;
  result.sin_port = htons(port);
  return error == std::errc() && parsed_end == end &&
         inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) == 1;
}

sockaddr_in read_address(const std::string& address) {
  sockaddr_in result;
  if (!parse_address(address, result)) throw std::runtime_error("not an address and a port: " + address);
  return result;
}

std::string format_address(const sockaddr_in& address) {
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

void disable_send_delay(int fd) {
  const int enabled = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

void set_timeout(int fd, int option, Milliseconds timeout) {
  const timeval value{timeout.count() / 1000, static_cast<suseconds_t>(timeout.count() % 1000 * 1000)};
  ::setsockopt(fd, SOL_SOCKET, option, &value, sizeof value);
}

std::chrono::microseconds send_timeout(int fd) {
  timeval timeout{};
  socklen_t size = sizeof timeout;
  ::getsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, &size);
  return std::chrono::seconds(timeout.tv_sec) + std::chrono::microseconds(timeout.tv_usec);
}

[[noreturn]] void throw_system_error(const std::string& what) {
  throw std::runtime_error(what + ": " + std::strerror(errno));
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

Socket::~Socket() {
  if (fd_ >= 0) ::close(fd_);
}

std::string Socket::address() const {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
  return format_address(at);
}

std::string Socket::peer() const {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getpeername(fd_, reinterpret_cast<sockaddr*>(&at), &size);
  return format_address(at);
}

void Socket::set_send_timeout(Milliseconds timeout) const {
  set_timeout(fd_, SO_SNDTIMEO, timeout);
}

void Socket::set_receive_timeout(Milliseconds timeout) const {
  set_timeout(fd_, SO_RCVTIMEO, timeout);
}

// An interrupted read is repeated if it does not block. An interrupted read that blocks returns EAGAIN before
// its timeout, and the caller checks the clock.
long Socket::read(char* into, std::size_t size, int flags) const {
  const bool waits = (flags & MSG_DONTWAIT) == 0;
  for (;;) {
    const ssize_t n = ::recv(fd_, into, size, flags);
    if (n >= 0 || errno != EINTR) return n;
    if (waits) break;
  }
  errno = EAGAIN;
  return -1;
}

long Socket::read_until(Clock::time_point deadline, char* into, std::size_t size) const {
  for (;;) {
    const long n = read(into, size);
    if (n >= 0 || errno != EAGAIN || Clock::now() >= deadline) return n;
  }
}

bool Socket::wait_readable(Milliseconds timeout) const {
  pollfd poll_entry{fd_, POLLIN, 0};
  return ::poll(&poll_entry, 1, static_cast<int>(timeout.count())) > 0;
}

long Socket::write_some(std::string_view first, std::string_view second) const {
  std::size_t sent = 0;
  while (sent < first.size() + second.size()) {
    iovec parts[2];
    const std::size_t first_sent = std::min(sent, first.size());
    parts[0] = {const_cast<char*>(first.data()) + first_sent, first.size() - first_sent};
    parts[1] = {const_cast<char*>(second.data()) + (sent - first_sent), second.size() - (sent - first_sent)};
    msghdr message{};
    message.msg_iov = parts;
    message.msg_iovlen = 2;
    const ssize_t n = ::sendmsg(fd_, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return errno == EAGAIN || errno == EWOULDBLOCK ? static_cast<long>(sent) : -1;
    sent += static_cast<std::size_t>(n);
  }
  return static_cast<long>(sent);
}

bool Socket::write(std::string_view first, std::string_view second) const {
  const long sent = write_some(first, second);
  if (sent < 0) return false;
  const std::size_t done = static_cast<std::size_t>(sent);
  Clock::time_point last_progress = Clock::now();  // when the kernel last accepted bytes
  for (std::string_view part :
       {first.substr(std::min(done, first.size())), second.substr(done - std::min(done, first.size()))})
    while (!part.empty()) {
      const ssize_t n = ::send(fd_, part.data(), part.size(), MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR && Clock::now() - last_progress < send_timeout(fd_)) continue;
      if (n <= 0) return false;
      last_progress = Clock::now();
      part.remove_prefix(static_cast<std::size_t>(n));
    }
  return true;
}

void Socket::shut_down(int how) const {
  if (fd_ >= 0) ::shutdown(fd_, how);
}

bool Socket::peer_closed() const {
  pollfd poll_entry{fd_, POLLRDHUP, 0};
  int ready;
  do ready = ::poll(&poll_entry, 1, 0);
  while (ready < 0 && errno == EINTR);
  if (ready <= 0) return false;
  if ((poll_entry.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0) return true;
  // POLLRDHUP alone does not show that the peer has closed its side, as shutting down reading in this
  // process sets it as well. The TCP state shows which of the two has happened.
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return true;
  return info.tcpi_state != TCP_ESTABLISHED && info.tcpi_state != TCP_FIN_WAIT1 &&
         info.tcpi_state != TCP_FIN_WAIT2;
}

// The kernel reports the age in milliseconds.
std::chrono::microseconds Socket::time_since_last_bytes() const {
  // No request is older than this; kernels that do not know the age report a larger value.
  constexpr Milliseconds kMaxAge{60000};
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
  const Milliseconds age(info.tcpi_last_data_recv);
  return age <= kMaxAge ? age : Milliseconds(0);
}

Socket Socket::duplicate() const {
  return Socket(::fcntl(fd_, F_DUPFD_CLOEXEC, 0));
}

bool HandoverSignal::enable() {
  event_ = Socket(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
  return event_.is_open();
}

void HandoverSignal::raise() const {
  const std::uint64_t one = 1;
  if (event_.is_open() && ::write(event_.fd(), &one, sizeof one) != sizeof one)
    throw std::runtime_error("cannot raise the handover signal: write to its eventfd failed");
}

bool HandoverSignal::raised_before(const Socket& socket, Clock::time_point deadline) const {
  if (!event_.is_open()) return false;
  for (;;) {
    pollfd both[2] = {{socket.fd(), POLLIN, 0}, {event_.fd(), POLLIN, 0}};
    int timeout_ms = -1;
    if (deadline != Clock::time_point::max()) {
      const auto remaining = std::chrono::ceil<Milliseconds>(deadline - Clock::now());
      timeout_ms = static_cast<int>(std::clamp<Milliseconds::rep>(remaining.count(), 0, 60000));
    }
    const int ready = ::poll(both, 2, timeout_ms);
    if (both[1].revents != 0 && ready > 0) return true;
    if (ready > 0 || (ready == 0 && Clock::now() >= deadline)) return false;
  }
}

bool is_address(const std::string& text) {
  sockaddr_in unused;
  return parse_address(text, unused);
}

Socket try_new_socket() {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (socket.is_open()) disable_send_delay(socket.fd());
  return socket;
}

Socket new_socket() {
  Socket socket = try_new_socket();
  if (!socket.is_open()) throw_system_error("socket");
  return socket;
}

namespace {

// Creates a socket, retrying for 10 s, so that a brief lack of descriptors does not make the start of the
// process fail.
Socket create_socket_with_retry() {
  constexpr timespec kPause{0, 10000000};
  constexpr int kMaxTries = 1000;
  for (int tries = 1;; ++tries) {
    Socket socket = try_new_socket();
    if (socket.is_open()) return socket;
    if (!is_local_resource_error(errno) || tries == kMaxTries) throw_system_error("socket");
    ::nanosleep(&kPause, nullptr);
  }
}

}  // namespace

bool is_local_resource_error(int error) {
  constexpr int kErrors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL};
  return std::ranges::find(kErrors, error) != std::end(kErrors);
}

Socket accept_from(const Socket& listener, std::string& peer) {
  sockaddr_in from{};
  socklen_t size = sizeof from;
  Socket socket(::accept4(listener.fd(), reinterpret_cast<sockaddr*>(&from), &size, SOCK_CLOEXEC));
  if (!socket.is_open()) return socket;
  disable_send_delay(socket.fd());
  peer = format_address(from);
  return socket;
}

Socket bind_to(const std::string& address) {
  const sockaddr_in at = read_address(address);
  Socket socket = create_socket_with_retry();
  const int enabled = 1;
  ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
    throw_system_error("cannot listen on " + address);
  return socket;
}

void start_listening(const Socket& bound) {
  // The kernel reduces this to its own limit. Every client that connects has to get an answer.
  constexpr int kBacklog = 4096;
  if (::listen(bound.fd(), kBacklog) != 0) throw_system_error("cannot listen on " + bound.address());
}

Socket listen_on(const std::string& address) {
  Socket socket = bind_to(address);
  start_listening(socket);
  return socket;
}

Socket inherited_listener(const std::string& number) {
  int fd = -1;
  const char* const end = number.data() + number.size();
  const auto [parsed_end, error] = std::from_chars(number.data(), end, fd);
  if (error != std::errc() || parsed_end != end || fd < 0)
    throw std::runtime_error("not a descriptor number: " + number);
  int listens = 0;
  socklen_t size = sizeof listens;
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0)
    throw std::runtime_error("descriptor " + number + " is not a listening socket");
  ::fcntl(fd, F_SETFD, FD_CLOEXEC);
  return Socket(fd);
}

// After an interruption, another connect() call continues to wait for the connection that the first call
// began. The last call is made after the time is over, because the connection may have been established while
// the process was stopped.
int connect_to(const Socket& socket, const std::string& address, Milliseconds timeout) {
  const sockaddr_in to = read_address(address);
  const Clock::time_point deadline = Clock::now() + timeout;
  Milliseconds remaining = timeout;
  for (bool is_last = false, was_interrupted = false;;) {
    socket.set_send_timeout(std::max(remaining, Milliseconds(1)));
    if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return 0;
    if (was_interrupted && errno == EISCONN) return 0;
    if (errno != EINTR || is_last) return errno;
    was_interrupted = true;
    remaining = std::chrono::ceil<Milliseconds>(deadline - Clock::now());
    is_last = remaining <= Milliseconds(0);
  }
}

}  // namespace canvasstage::net
