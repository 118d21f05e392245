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
  const auto [stopped, error] = std::from_chars(address.data() + colon + 1, end, port);
  result = sockaddr_in{};
  result.sin_family = AF_INET;
  result.sin_port = htons(port);
  return error == std::errc() && stopped == end &&
         inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) == 1;
}

sockaddr_in read_address(const std::string& address) {
  sockaddr_in result;
  if (!parse_address(address, result)) throw std::runtime_error("not an address and a port: " + address);
  return result;
}

std::string written_out(const sockaddr_in& address) {
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

void send_at_once(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void limit(int fd, int option, Milliseconds limit) {
  const timeval value{limit.count() / 1000, static_cast<suseconds_t>(limit.count() % 1000 * 1000)};
  ::setsockopt(fd, SOL_SOCKET, option, &value, sizeof value);
}

std::chrono::microseconds sending_limit(int fd) {
  timeval value{};
  socklen_t size = sizeof value;
  ::getsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &value, &size);
  return std::chrono::seconds(value.tv_sec) + std::chrono::microseconds(value.tv_usec);
}

[[noreturn]] void fail(const std::string& what) {
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
  return written_out(at);
}

std::string Socket::peer() const {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getpeername(fd_, reinterpret_cast<sockaddr*>(&at), &size);
  return written_out(at);
}

void Socket::limit_sending(Milliseconds value) const {
  limit(fd_, SO_SNDTIMEO, value);
}

void Socket::limit_reading(Milliseconds value) const {
  limit(fd_, SO_RCVTIMEO, value);
}

// One that does not wait is repeated: it says what is there. One that waits has ended early, and its caller
// looks at the clock.
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

long Socket::read_until(Clock::time_point then, char* into, std::size_t size) const {
  for (;;) {
    const long n = read(into, size);
    if (n >= 0 || errno != EAGAIN || Clock::now() >= then) return n;
  }
}

bool Socket::readable_within(Milliseconds limit) const {
  pollfd one{fd_, POLLIN, 0};
  return ::poll(&one, 1, static_cast<int>(limit.count())) > 0;
}

long Socket::write_some(std::string_view first, std::string_view second) const {
  std::size_t sent = 0;
  while (sent < first.size() + second.size()) {
    iovec parts[2];
    const std::size_t of_first = std::min(sent, first.size());
    parts[0] = {const_cast<char*>(first.data()) + of_first, first.size() - of_first};
    parts[1] = {const_cast<char*>(second.data()) + (sent - of_first), second.size() - (sent - of_first)};
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
  Clock::time_point since = Clock::now();  // something was taken last
  for (std::string_view part :
       {first.substr(std::min(done, first.size())), second.substr(done - std::min(done, first.size()))})
    while (!part.empty()) {
      const ssize_t n = ::send(fd_, part.data(), part.size(), MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR && Clock::now() - since < sending_limit(fd_)) continue;
      if (n <= 0) return false;
      since = Clock::now();
      part.remove_prefix(static_cast<std::size_t>(n));
    }
  return true;
}

void Socket::shut(int how) const {
  if (fd_ >= 0) ::shutdown(fd_, how);
}

bool Socket::peer_closed() const {
  pollfd one{fd_, POLLRDHUP, 0};
  int ready;
  do ready = ::poll(&one, 1, 0);
  while (ready < 0 && errno == EINTR);
  if (ready <= 0) return false;
  if ((one.revents & (POLLERR | POLLHUP | POLLNVAL)) != 0) return true;
  // Our own end of reading looks alike there.
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return true;
  return info.tcpi_state != TCP_ESTABLISHED && info.tcpi_state != TCP_FIN_WAIT1 &&
         info.tcpi_state != TCP_FIN_WAIT2;
}

// The kernel tells it in milliseconds.
std::chrono::microseconds Socket::since_last_bytes() const {
  constexpr Milliseconds kLongest{
      60000};  // nobody's request is older, and a system that does not know says more
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
  const Milliseconds age(info.tcpi_last_data_recv);
  return age <= kLongest ? age : Milliseconds(0);
}

Socket Socket::duplicate() const {
  return Socket(::fcntl(fd_, F_DUPFD_CLOEXEC, 0));
}

bool HandoverSignal::enable() {
  event_ = Socket(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
  return event_.is_open();
}

void HandoverSignal::tell() const {
  const std::uint64_t one = 1;
  if (event_.is_open() && ::write(event_.fd(), &one, sizeof one) != sizeof one)
    throw std::runtime_error("an event that cannot be told");
}

bool HandoverSignal::told_before(const Socket& socket, Clock::time_point then) const {
  if (!event_.is_open()) return false;
  for (;;) {
    pollfd both[2] = {{socket.fd(), POLLIN, 0}, {event_.fd(), POLLIN, 0}};
    int left = -1;
    if (then != Clock::time_point::max()) {
      const auto span = std::chrono::ceil<Milliseconds>(then - Clock::now());
      left = static_cast<int>(std::clamp<Milliseconds::rep>(span.count(), 0, 60000));
    }
    const int ready = ::poll(both, 2, left);
    if (both[1].revents != 0 && ready > 0) return true;
    if (ready > 0 || (ready == 0 && Clock::now() >= then)) return false;
  }
}

bool is_address(const std::string& text) {
  sockaddr_in unused;
  return parse_address(text, unused);
}

Socket socket_if_any() {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (socket.is_open()) send_at_once(socket.fd());
  return socket;
}

Socket new_socket() {
  Socket socket = socket_if_any();
  if (!socket.is_open()) fail("socket");
  return socket;
}

namespace {

// The start of a process is not to fail for a moment's want of descriptors.
Socket awaited_socket() {
  constexpr timespec kPause{0, 10000000};
  constexpr int kMostTries = 1000;
  for (int tries = 1;; ++tries) {
    Socket socket = socket_if_any();
    if (socket.is_open()) return socket;
    if (!is_local_resource_error(errno) || tries == kMostTries) fail("socket");
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
  send_at_once(socket.fd());
  peer = written_out(from);
  return socket;
}

Socket bind_to(const std::string& address) {
  const sockaddr_in at = read_address(address);
  Socket socket = awaited_socket();
  const int on = 1;
  ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(socket.fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
    fail("cannot listen on " + address);
  return socket;
}

void start_listening(const Socket& bound) {
  // As many as the system allows: whoever connects is to get an answer.
  constexpr int kBacklog = 4096;
  if (::listen(bound.fd(), kBacklog) != 0) fail("cannot listen on " + bound.address());
}

Socket listen_on(const std::string& address) {
  Socket socket = bind_to(address);
  start_listening(socket);
  return socket;
}

Socket inherited_listener(const std::string& number) {
  int fd = -1;
  const char* const end = number.data() + number.size();
  const auto [stopped, error] = std::from_chars(number.data(), end, fd);
  if (error != std::errc() || stopped != end || fd < 0)
    throw std::runtime_error("not a descriptor's number: " + number);
  int listens = 0;
  socklen_t size = sizeof listens;
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0)
    throw std::runtime_error("descriptor " + number + " is no listening socket");
  ::fcntl(fd, F_SETFD, FD_CLOEXEC);
  return Socket(fd);
}

// A further call goes on waiting for what the first began. The last one comes when the time is over: it may
// have come up while the process was stopped.
int connect_to(const Socket& socket, const std::string& address, Milliseconds within) {
  const sockaddr_in to = read_address(address);
  const Clock::time_point until = Clock::now() + within;
  Milliseconds left = within;
  for (bool last = false, interrupted = false;;) {
    socket.limit_sending(std::max(left, Milliseconds(1)));
    if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return 0;
    if (interrupted && errno == EISCONN) return 0;
    if (errno != EINTR || last) return errno;
    interrupted = true;
    left = std::chrono::ceil<Milliseconds>(until - Clock::now());
    last = left <= Milliseconds(0);
  }
}

}  // namespace canvasstage::net
