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

std::uint64_t tag(int fd, std::uint32_t serial) {
  return std::uint64_t{serial} << 32 | static_cast<std::uint32_t>(fd);
}

sockaddr_in socket_address(const std::string& address) {
  need_loopback(address);
  const std::size_t colon = address.rfind(':');
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &at.sin_addr);
  return at;
}

}  // namespace

LoopClock::duration seconds_of(double seconds) {
  return std::chrono::duration_cast<LoopClock::duration>(std::chrono::duration<double>(seconds));
}

Loop::Loop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  if (!epoll_.is_open()) throw BadStandin("epoll: the system refuses");
}

void Loop::watch(int fd, std::function<void()> told) {
  Watched& one = watched_[fd];
  one.serial = ++serials_;
  one.told = std::make_shared<std::function<void()>>(std::move(told));
  epoll_event event{};
  event.events = EPOLLIN | EPOLLRDHUP;
  event.data.u64 = tag(fd, one.serial);
  if (::epoll_ctl(epoll_.fd(), EPOLL_CTL_ADD, fd, &event) != 0) throw BadStandin("epoll: cannot watch");
}

void Loop::wants_writing(int fd, bool wants) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLRDHUP | (wants ? EPOLLOUT : 0u);
  event.data.u64 = tag(fd, watched_[fd].serial);
  ::epoll_ctl(epoll_.fd(), EPOLL_CTL_MOD, fd, &event);
}

void Loop::forget(int fd) {
  if (watched_.erase(fd) > 0) ::epoll_ctl(epoll_.fd(), EPOLL_CTL_DEL, fd, nullptr);
}

void Loop::at(LoopTime when, std::function<void()> due) {
  timers_.emplace(when, std::move(due));
}

void Loop::after(double seconds, std::function<void()> due) {
  at(LoopClock::now() + seconds_of(seconds), std::move(due));
}

void Loop::run_timers() {
  const LoopTime now = LoopClock::now();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const std::function<void()> due = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    due();
  }
}

void Loop::serve(int wait_ms) {
  epoll_event events[256];
  const int n = ::epoll_wait(epoll_.fd(), events, 256, wait_ms);
  for (int i = 0; i < n; ++i) {
    const auto found = watched_.find(static_cast<int>(events[i].data.u64 & 0xffffffff));
    if (found == watched_.end() || found->second.serial != events[i].data.u64 >> 32) continue;
    const std::shared_ptr<std::function<void()>> told = found->second.told;
    (*told)();
  }
}

bool Loop::run(double seconds, const std::function<bool()>& done) {
  const LoopTime until = LoopClock::now() + seconds_of(seconds);
  while (!done()) {
    const LoopTime now = LoopClock::now();
    if (now >= until) return false;
    const LoopTime next = timers_.empty() ? until : std::min(until, timers_.begin()->first);
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(next - now).count();
    serve(static_cast<int>(std::max<long>(0, wait)));
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

void Stream::start(std::function<void(Stream&)> came) {
  came_ = std::move(came);
  loop_.watch(socket_.fd(), [self = weak_from_this()] {
    if (const StreamRef one = self.lock()) one->move();
  });
}

void Stream::send(std::string_view bytes) {
  if (ended_) return;
  out_.append(bytes);
  flush();
}

void Stream::flush() {
  const long n = socket_.write_some(out_, {});
  if (n > 0) {
    traffic_.written += static_cast<std::uint64_t>(n);
    out_.erase(0, static_cast<std::size_t>(n));
    reached_ = true;
  }
  if (waits_to_write_ == !out_.empty()) return;
  waits_to_write_ = !out_.empty();
  loop_.wants_writing(socket_.fd(), waits_to_write_);
}

void Stream::move() {
  if (!out_.empty()) flush();
  char part[16384];
  long n;
  while ((n = socket_.read(part, sizeof part, MSG_DONTWAIT)) > 0) {
    traffic_.read += static_cast<std::uint64_t>(n);
    in.append(part, static_cast<std::size_t>(n));
  }
  if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) close();
  const auto came = came_;  // it may drop this stream
  if (came) came(*this);
}

void Stream::reset() {
  const linger at_once{1, 0};
  if (!ended_) ::setsockopt(socket_.fd(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
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

void need_loopback(const std::string& address) {
  if (!net::is_address(address) || !address.starts_with("127."))
    throw BadStandin(address + ": not a loopback address");
}

net::Socket accept_now(const net::Socket& listener) {
  return net::Socket(::accept4(listener.fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
}

net::Socket connect_now(const std::string& address) {
  const sockaddr_in to = socket_address(address);
  net::Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (socket.is_open() && ::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 &&
      errno != EINPROGRESS)
    return {};
  return socket;
}

std::string chunk(std::string_view content) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", content.size());
  return std::string(size).append(content).append("\r\n");
}

}  // namespace canvasstage::lab
