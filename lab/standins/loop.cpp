#include "standins/loop.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>

namespace canvasstage::lab {
namespace {

std::uint64_t event_tag(int fd, std::uint32_t serial) {
  return std::uint64_t{serial} << 32 | static_cast<std::uint32_t>(fd);
}

sockaddr_in socket_address(const std::string& address) {
  require_loopback(address);
  const std::size_t colon = address.rfind(':');
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
  return result;
}

}  // namespace

LoopClock::duration seconds_of(double seconds) {
  return std::chrono::duration_cast<LoopClock::duration>(std::chrono::duration<double>(seconds));
}

Loop::Loop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_.is_open()) throw StandinError("epoll_create1 failed");
}

void Loop::watch(int fd, std::function<void()> on_event) {
  Watch& watched = watched_[fd];
  watched.serial = ++last_serial_;
  watched.on_event = std::make_shared<std::function<void()>>(std::move(on_event));
  epoll_event event{};
  event.events = EPOLLIN | EPOLLRDHUP;
  event.data.u64 = event_tag(fd, watched.serial);
  if (::epoll_ctl(epoll_.fd(), EPOLL_CTL_ADD, fd, &event) != 0)
    throw StandinError("epoll_ctl cannot add the descriptor");
}

void Loop::set_write_interest(int fd, bool enabled) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLRDHUP | (enabled ? EPOLLOUT : 0u);
  event.data.u64 = event_tag(fd, watched_[fd].serial);
  ::epoll_ctl(epoll_.fd(), EPOLL_CTL_MOD, fd, &event);
}

void Loop::forget(int fd) {
  if (watched_.erase(fd) > 0) ::epoll_ctl(epoll_.fd(), EPOLL_CTL_DEL, fd, nullptr);
}

void Loop::at(LoopTime when, std::function<void()> callback) {
  timers_.emplace(when, std::move(callback));
}

void Loop::after(double seconds, std::function<void()> callback) {
  at(LoopClock::now() + seconds_of(seconds), std::move(callback));
}

void Loop::run_timers() {
  const LoopTime now = LoopClock::now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const std::function<void()> callback = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    callback();
  }
}

void Loop::poll_events(int wait_ms) {
  epoll_event events[256];
  const int n = ::epoll_wait(epoll_.fd(), events, 256, wait_ms);
  for (int i = 0; i < n; ++i) {
    const auto found = watched_.find(static_cast<int>(events[i].data.u64 & 0xffffffff));
    if (found == watched_.end() || found->second.serial != events[i].data.u64 >> 32) continue;
    const std::shared_ptr<std::function<void()>> on_event = found->second.on_event;
    (*on_event)();
  }
}

bool Loop::run(double timeout_s, const std::function<bool()>& done) {
  const LoopTime stop_at = LoopClock::now() + seconds_of(timeout_s);
  while (!done()) {
    const LoopTime now = LoopClock::now();
    if (now >= stop_at) return false;
    const LoopTime next = timers_.empty() ? stop_at : std::min(stop_at, timers_.begin()->first);
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(next - now).count();
    poll_events(static_cast<int>(std::max<long>(0, wait)));
    run_timers();
  }
  return true;
}

// --- Stream ---

Stream::Stream(Loop& loop, net::Socket socket, Traffic& traffic)
    : loop_(loop), socket_(std::move(socket)), traffic_(traffic) {
  const int on = 1;
  ::setsockopt(socket_.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ++traffic_.connections;
}

Stream::~Stream() {
  close();
}

void Stream::start(std::function<void(Stream&)> on_input) {
  on_input_ = std::move(on_input);
  loop_.watch(socket_.fd(), [self = weak_from_this()] {
    if (const StreamRef stream = self.lock()) stream->handle_events();
  });
}

void Stream::send(std::string_view bytes) {
  if (ended_) return;
  unsent_.append(bytes);
  flush();
}

void Stream::flush() {
  const long n = socket_.write_some(unsent_, {});
  if (n > 0) {
    traffic_.written += static_cast<std::uint64_t>(n);
    unsent_.erase(0, static_cast<std::size_t>(n));
    reached_ = true;
  }
  if (awaits_writable_ == !unsent_.empty()) return;
  awaits_writable_ = !unsent_.empty();
  loop_.set_write_interest(socket_.fd(), awaits_writable_);
}

void Stream::handle_events() {
  if (!unsent_.empty()) flush();
  char buffer[16384];
  long n;
  while ((n = socket_.read(buffer, sizeof buffer, MSG_DONTWAIT)) > 0) {
    traffic_.read += static_cast<std::uint64_t>(n);
    in.append(buffer, static_cast<std::size_t>(n));
  }
  if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) close();
  const auto on_input = on_input_;  // a copy: the callback may destroy this stream
  if (on_input) on_input(*this);
}

void Stream::reset() {
  const linger immediate{1, 0};
  if (!ended_) ::setsockopt(socket_.fd(), SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
  close();
}

void Stream::close() {
  if (ended_) return;
  ended_ = true;
  loop_.forget(socket_.fd());
  net::Socket closing;
  std::swap(closing, socket_);
}

// --- Addresses ---

void require_loopback(const std::string& address) {
  if (!net::is_address(address) || !address.starts_with("127."))
    throw StandinError(address + ": not a loopback address");
}

net::Socket accept_nonblocking(const net::Socket& listener) {
  return net::Socket(::accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
}

net::Socket connect_nonblocking(const std::string& address) {
  const sockaddr_in to = socket_address(address);
  net::Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (socket.is_open() && ::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 &&
      errno != EINPROGRESS)
    return {};
  return socket;
}

std::string encode_chunk(std::string_view content) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", content.size());
  return std::string(size).append(content).append("\r\n");
}

}  // namespace canvasstage::lab
