#include "net/upgrade.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "net/log.h"

namespace canvasstage::net {
namespace {

// Incremented with every change of what is handed over: processes with different versions hand over nothing.
constexpr int kProtocolVersion = 2;
// A running process answers at once, even with a fraction of a core; a stuck one delays the start only this
// long.
constexpr Milliseconds kHandshakeTimeout{1000};
constexpr Milliseconds kStopPollInterval{100};
// If the successor does not read, what it has not accepted by then is lost with this process.
constexpr Milliseconds kSendTimeout{1000};
// A request, the bytes of its client's next request and the answers of five attempts, each of at most one
// buffer.
constexpr std::uint32_t kMaxWordsBytes = 16 * 1024 * 1024;
constexpr std::uint32_t kMaxBytes = 8 * Buffer::kSize;
constexpr std::size_t kMaxSockets = 16;
constexpr const char* kComposedAtField = "wordedAtUs";
constexpr const char* kSocketName = "canvasstage.sock";
constexpr const char* kNewSocketName = "canvasstage.sock.new";

sockaddr_un socket_address(const std::string& path) {
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  std::snprintf(at.sun_path, sizeof at.sun_path, "%s", path.c_str());
  return at;
}

Socket unix_socket() {
  return Socket(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

// All processes of a machine share this clock, so that it can be used in messages between them.
std::int64_t steady_microseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

// Reads exactly `size` bytes, without descriptors. False where the stream ends before.
bool read_all(const Socket& socket, char* data, std::size_t size) {
  while (size > 0) {
    const long result = socket.read(data, size);
    if (result < 0 && errno == EAGAIN) continue;
    if (result <= 0) return false;
    data += result;
    size -= static_cast<std::size_t>(result);
  }
  return true;
}

}  // namespace

Time composed_at(const JsonValue& message, Time now) {
  constexpr std::int64_t kMaxAge = 60000000;  // microseconds; no message is in transit for longer
  const JsonValue& composed_at_field = member(message, kComposedAtField);
  if (!composed_at_field.IsInt64()) return now;
  const std::int64_t age =
      std::clamp<std::int64_t>(steady_microseconds() - composed_at_field.GetInt64(), 0, kMaxAge);
  return now - age * kSecond / 1000000;
}

bool send_message(const Socket& socket, const Upgrade::Message& message) {
  const std::uint32_t sizes[3] = {static_cast<std::uint32_t>(message.json.size()),
                                  static_cast<std::uint32_t>(message.bytes.size()),
                                  static_cast<std::uint32_t>(message.sockets.size())};
  if (sizes[0] > kMaxWordsBytes || sizes[1] > kMaxBytes || sizes[2] > kMaxSockets) return false;
  alignas(cmsghdr) char control[CMSG_SPACE(kMaxSockets * sizeof(int))] = {};
  iovec part{const_cast<std::uint32_t*>(sizes), sizeof sizes};
  msghdr header{};
  header.msg_iov = &part;
  header.msg_iovlen = 1;
  if (sizes[2] > 0) {
    header.msg_control = control;
    header.msg_controllen = CMSG_SPACE(sizes[2] * sizeof(int));
    cmsghdr* const control_message = CMSG_FIRSTHDR(&header);
    control_message->cmsg_level = SOL_SOCKET;
    control_message->cmsg_type = SCM_RIGHTS;
    control_message->cmsg_len = CMSG_LEN(sizes[2] * sizeof(int));
    for (std::size_t i = 0; i < sizes[2]; ++i) {
      const int fd = message.sockets[i].fd();
      std::memcpy(CMSG_DATA(control_message) + i * sizeof fd, &fd, sizeof fd);
    }
  }
  ssize_t result;
  do result = ::sendmsg(socket.fd(), &header, MSG_NOSIGNAL);
  while (result < 0 && errno == EINTR);
  return result == sizeof sizes && socket.write(message.json, message.bytes);
}

bool receive_message(const Socket& socket, Upgrade::Message& message) {
  std::uint32_t sizes[3];
  alignas(cmsghdr) char control[CMSG_SPACE(kMaxSockets * sizeof(int))];
  iovec part{sizes, sizeof sizes};
  msghdr header{};
  header.msg_iov = &part;
  header.msg_iovlen = 1;
  header.msg_control = control;
  header.msg_controllen = sizeof control;
  ssize_t result;
  do result = ::recvmsg(socket.fd(), &header, MSG_CMSG_CLOEXEC);
  while (result < 0 && (errno == EINTR || errno == EAGAIN));
  if (result <= 0) return false;
  message = Upgrade::Message{};
  for (cmsghdr* control_message = CMSG_FIRSTHDR(&header); control_message != nullptr;
       control_message = CMSG_NXTHDR(&header, control_message)) {
    if (control_message->cmsg_level != SOL_SOCKET || control_message->cmsg_type != SCM_RIGHTS) continue;
    for (std::size_t i = 0; CMSG_LEN((i + 1) * sizeof(int)) <= control_message->cmsg_len; ++i) {
      int fd;
      std::memcpy(&fd, CMSG_DATA(control_message) + i * sizeof fd, sizeof fd);
      message.sockets.emplace_back(fd);
    }
  }
  const auto received = static_cast<std::size_t>(result);
  if (received < sizeof sizes &&
      !read_all(socket, reinterpret_cast<char*>(sizes) + received, sizeof sizes - received))
    return false;
  if (sizes[0] > kMaxWordsBytes || sizes[1] > kMaxBytes || sizes[2] != message.sockets.size()) return false;
  message.json.resize(sizes[0]);
  message.bytes.resize(sizes[1]);
  return read_all(socket, message.json.data(), sizes[0]) && read_all(socket, message.bytes.data(), sizes[1]);
}

bool Upgrade::start(const char* directory) {
  if (directory == nullptr) return false;
  // The path goes through the directory's descriptor, as the directory's own path may be too long for a
  // socket address.
  const Socket directory_fd(::open(directory, O_PATH | O_DIRECTORY | O_CLOEXEC));
  if (!directory_fd.is_open()) return false;
  const std::string prefix = "/proc/self/fd/" + std::to_string(directory_fd.fd()) + "/";
  const sockaddr_un name = socket_address(prefix + kSocketName),
                    new_name = socket_address(prefix + kNewSocketName);
  // A socket left behind by a killed process refuses the connection.
  Socket predecessor = unix_socket();
  if (predecessor.is_open() &&
      ::connect(predecessor.fd(), reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0) {
    predecessor_ = std::move(predecessor);
    if (!handshake(predecessor_, true))
      log_note("upgrade: handshake with the running process failed, it hands nothing over");
  }
  listener_ = unix_socket();
  ::unlinkat(directory_fd.fd(), kNewSocketName, 0);
  if (!listener_.is_open() ||
      ::bind(listener_.fd(), reinterpret_cast<const sockaddr*>(&new_name), sizeof new_name) != 0 ||
      ::listen(listener_.fd(), 4) != 0 ||
      ::renameat(directory_fd.fd(), kNewSocketName, directory_fd.fd(), kSocketName) != 0) {
    log_note(std::string("upgrade: cannot listen in the shared directory: ") + std::strerror(errno));
    listener_ = Socket();
  }
  if (listener_.is_open()) {
    start_thread([this] { accept_successors(); });
    start_thread([this] { send_queued(); });
  }
  if (predecessor_.is_open()) {
    on_overlap_(true);
    start_thread([this] { receive_from_predecessor(); });
  }
  return listener_.is_open();
}

// The new process sends first; both send the protocol version and the name of their node, which must agree.
bool Upgrade::handshake(const Socket& socket, bool speaks_first) {
  socket.set_send_timeout(kSendTimeout);
  Message own_greeting, peer_greeting;
  own_greeting.json = "canvasstage " + std::to_string(kProtocolVersion) + " " + node_;
  if (speaks_first && !send_message(socket, own_greeting)) return false;
  if (!socket.wait_readable(kHandshakeTimeout) || !receive_message(socket, peer_greeting)) return false;
  if (!speaks_first && !send_message(socket, own_greeting)) return false;
  return peer_greeting.json == own_greeting.json;
}

void Upgrade::accept_successors() {
  while (!stopped_) {
    if (!listener_.wait_readable(kStopPollInterval)) continue;
    Socket socket(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC));
    if (!socket.is_open()) continue;
    const bool handshake_succeeded = handshake(socket, false);
    log_note(handshake_succeeded
                 ? "upgrade: a new process is there"
                 : "upgrade: a new process is there, but the handshake failed: nothing is handed over to it");
    on_overlap_(true);
    {
      const std::lock_guard lock(mutex_);
      successor_ = std::move(socket);
      send_failed_ = false;
      has_successor_ = handshake_succeeded;
    }
    // The successor sends nothing more; the socket becomes readable when it disconnects.
    while (!stopped_ && !successor_.wait_readable(kStopPollInterval)) {
    }
    if (stopped_) return;
    has_successor_ = false;
    log_note("upgrade: the new process has disconnected");
    on_overlap_(false);
  }
}

void Upgrade::receive_from_predecessor() {
  for (Message message; receive_message(predecessor_, message);) on_message_(std::move(message));
  if (stopped_) return;
  log_note("upgrade: the previous process has ended");
  on_overlap_(false);
}

void Upgrade::hand_over_client(Socket socket, bool fresh, Time since_opened) {
  Message message;
  message.json = std::string(R"({"kind":"client","fresh":)") + (fresh ? "true" : "false") + R"(,"opened":)" +
                 std::to_string(since_opened) + "}";
  message.sockets.push_back(std::move(socket));
  send(std::move(message));
}

void Upgrade::send(Message message) {
  message.json.insert(
      1, std::string("\"") + kComposedAtField + "\":" + std::to_string(steady_microseconds()) + ",");
  const std::lock_guard lock(mutex_);
  queue_.push_back(std::move(message));
  changed_.notify_all();
}

void Upgrade::send_queued() {
  std::unique_lock lock(mutex_);
  for (;;) {
    changed_.wait(lock, [this] { return stopped_ || !queue_.empty(); });
    if (queue_.empty()) return;
    const Message message = std::move(queue_.front());
    queue_.pop_front();
    sending_ = true;
    lock.unlock();
    if (!send_failed_ && !send_message(successor_, message)) {
      send_failed_ = true;
      log_note("upgrade: sending to the new process failed, nothing more is handed over");
    }
    lock.lock();
    sending_ = false;
    changed_.notify_all();
  }
}

void Upgrade::stop() {
  {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, 2 * kSendTimeout, [this] { return queue_.empty() && !sending_; });
    stopped_ = true;
    changed_.notify_all();
  }
  predecessor_.shut_down(SHUT_RDWR);
}

}  // namespace canvasstage::net
