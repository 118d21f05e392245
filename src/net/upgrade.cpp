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

// Raised with every change of what is handed over: two that differ hand over nothing.
constexpr int kVersion = 2;
// A process that is there answers at once, also with a part of a core; one that is stuck keeps nobody long.
constexpr Milliseconds kMostGreeting{1000};
constexpr Milliseconds kLookUp{100};
// Nobody reads: what is not taken by then is lost with this process.
constexpr Milliseconds kMostSending{1000};
// A job with its submission, its client's next one and five readings, each of a buffer at most.
constexpr std::uint32_t kMostWords = 16 * 1024 * 1024;
constexpr std::uint32_t kMostBytes = 8 * Buffer::kSize;
constexpr std::size_t kMostSockets = 16;
constexpr const char* kWordedField = "wordedAtUs";
constexpr const char* kName = "canvasstage.sock";
constexpr const char* kNewName = "canvasstage.sock.new";

sockaddr_un place_of(const std::string& path) {
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  std::snprintf(at.sun_path, sizeof at.sun_path, "%s", path.c_str());
  return at;
}

Socket unix_socket() {
  return Socket(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
}

// All processes of a machine share this clock.
std::int64_t steady_microseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

// All of it, without descriptors.
bool read_all(const Socket& socket, char* into, std::size_t size) {
  while (size > 0) {
    const long n = socket.read(into, size);
    if (n < 0 && errno == EAGAIN) continue;
    if (n <= 0) return false;
    into += n;
    size -= static_cast<std::size_t>(n);
  }
  return true;
}

}  // namespace

Time worded_at(const JsonValue& words, Time now) {
  constexpr std::int64_t kLongest = 60000000;  // microseconds: nothing is on its way for so long
  const JsonValue& worded = member(words, kWordedField);
  if (!worded.IsInt64()) return now;
  const std::int64_t age = std::clamp<std::int64_t>(steady_microseconds() - worded.GetInt64(), 0, kLongest);
  return now - age * kSecond / 1000000;
}

bool send_message(const Socket& socket, const Upgrade::Message& message) {
  const std::uint32_t sizes[3] = {static_cast<std::uint32_t>(message.words.size()),
                                  static_cast<std::uint32_t>(message.bytes.size()),
                                  static_cast<std::uint32_t>(message.sockets.size())};
  if (sizes[0] > kMostWords || sizes[1] > kMostBytes || sizes[2] > kMostSockets) return false;
  alignas(cmsghdr) char control[CMSG_SPACE(kMostSockets * sizeof(int))] = {};
  iovec part{const_cast<std::uint32_t*>(sizes), sizeof sizes};
  msghdr head{};
  head.msg_iov = &part;
  head.msg_iovlen = 1;
  if (sizes[2] > 0) {
    head.msg_control = control;
    head.msg_controllen = CMSG_SPACE(sizes[2] * sizeof(int));
    cmsghdr* const rights = CMSG_FIRSTHDR(&head);
    rights->cmsg_level = SOL_SOCKET;
    rights->cmsg_type = SCM_RIGHTS;
    rights->cmsg_len = CMSG_LEN(sizes[2] * sizeof(int));
    for (std::size_t i = 0; i < sizes[2]; ++i) {
      const int fd = message.sockets[i].fd();
      std::memcpy(CMSG_DATA(rights) + i * sizeof fd, &fd, sizeof fd);
    }
  }
  ssize_t n;
  do n = ::sendmsg(socket.fd(), &head, MSG_NOSIGNAL);
  while (n < 0 && errno == EINTR);
  return n == sizeof sizes && socket.write(message.words, message.bytes);
}

bool receive_message(const Socket& socket, Upgrade::Message& message) {
  std::uint32_t sizes[3];
  alignas(cmsghdr) char control[CMSG_SPACE(kMostSockets * sizeof(int))];
  iovec part{sizes, sizeof sizes};
  msghdr head{};
  head.msg_iov = &part;
  head.msg_iovlen = 1;
  head.msg_control = control;
  head.msg_controllen = sizeof control;
  ssize_t n;
  do n = ::recvmsg(socket.fd(), &head, MSG_CMSG_CLOEXEC);
  while (n < 0 && (errno == EINTR || errno == EAGAIN));
  if (n <= 0) return false;
  message = Upgrade::Message{};
  for (cmsghdr* rights = CMSG_FIRSTHDR(&head); rights != nullptr; rights = CMSG_NXTHDR(&head, rights)) {
    if (rights->cmsg_level != SOL_SOCKET || rights->cmsg_type != SCM_RIGHTS) continue;
    for (std::size_t i = 0; CMSG_LEN((i + 1) * sizeof(int)) <= rights->cmsg_len; ++i) {
      int fd;
      std::memcpy(&fd, CMSG_DATA(rights) + i * sizeof fd, sizeof fd);
      message.sockets.emplace_back(fd);
    }
  }
  const auto got = static_cast<std::size_t>(n);
  if (got < sizeof sizes && !read_all(socket, reinterpret_cast<char*>(sizes) + got, sizeof sizes - got))
    return false;
  if (sizes[0] > kMostWords || sizes[1] > kMostBytes || sizes[2] != message.sockets.size()) return false;
  message.words.resize(sizes[0]);
  message.bytes.resize(sizes[1]);
  return read_all(socket, message.words.data(), sizes[0]) && read_all(socket, message.bytes.data(), sizes[1]);
}

bool Upgrade::start(const char* folder) {
  if (folder == nullptr) return false;
  // By way of its descriptor, so that no folder's name is too long for a socket's address.
  const Socket place(::open(folder, O_PATH | O_DIRECTORY | O_CLOEXEC));
  if (!place.is_open()) return false;
  const std::string there = "/proc/self/fd/" + std::to_string(place.fd()) + "/";
  const sockaddr_un name = place_of(there + kName), new_name = place_of(there + kNewName);
  // One that a killed process left refuses.
  Socket elder = unix_socket();
  if (elder.is_open() && ::connect(elder.fd(), reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0) {
    elder_ = std::move(elder);
    if (!greet(elder_, true)) log_note("upgrade: the process before this one hands nothing over");
  }
  listener_ = unix_socket();
  ::unlinkat(place.fd(), kNewName, 0);
  if (!listener_.is_open() ||
      ::bind(listener_.fd(), reinterpret_cast<const sockaddr*>(&new_name), sizeof new_name) != 0 ||
      ::listen(listener_.fd(), 4) != 0 || ::renameat(place.fd(), kNewName, place.fd(), kName) != 0) {
    log_note(std::string("upgrade: no socket in the folder: ") + std::strerror(errno));
    listener_ = Socket();
  }
  if (listener_.is_open()) {
    start_thread([this] { meet_successors(); });
    start_thread([this] { write_out(); });
  }
  if (elder_.is_open()) {
    overlap_(true);
    start_thread([this] { follow_elder(); });
  }
  return listener_.is_open();
}

// The one that comes speaks first; both say which node they are, and how they hand over.
bool Upgrade::greet(const Socket& socket, bool first) {
  socket.limit_sending(kMostSending);
  Message mine, theirs;
  mine.words = "canvasstage " + std::to_string(kVersion) + " " + node_;
  if (first && !send_message(socket, mine)) return false;
  if (!socket.readable_within(kMostGreeting) || !receive_message(socket, theirs)) return false;
  if (!first && !send_message(socket, mine)) return false;
  return theirs.words == mine.words;
}

void Upgrade::meet_successors() {
  while (!stopped_) {
    if (!listener_.readable_within(kLookUp)) continue;
    Socket socket(::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC));
    if (!socket.is_open()) continue;
    const bool understood = greet(socket, false);
    log_note(understood ? "upgrade: a new process is there"
                        : "upgrade: a new process is there that nothing can be handed over to");
    overlap_(true);
    {
      const std::lock_guard lock(mutex_);
      successor_ = std::move(socket);
      broken_ = false;
      has_successor_ = understood;
    }
    // Nothing comes from it but its end.
    while (!stopped_ && !successor_.readable_within(kLookUp)) {
    }
    if (stopped_) return;
    has_successor_ = false;
    log_note("upgrade: the new process is gone");
    overlap_(false);
  }
}

void Upgrade::follow_elder() {
  for (Message message; receive_message(elder_, message);) taken_(std::move(message));
  if (stopped_) return;
  log_note("upgrade: the process before this one has ended");
  overlap_(false);
}

void Upgrade::client_moves(Socket socket, bool fresh, Time since_opened) {
  Message message;
  message.words = std::string(R"({"kind":"client","fresh":)") + (fresh ? "true" : "false") + R"(,"opened":)" +
                  std::to_string(since_opened) + "}";
  message.sockets.push_back(std::move(socket));
  send(std::move(message));
}

void Upgrade::send(Message message) {
  message.words.insert(
      1, std::string("\"") + kWordedField + "\":" + std::to_string(steady_microseconds()) + ",");
  const std::lock_guard lock(mutex_);
  queue_.push_back(std::move(message));
  changed_.notify_all();
}

void Upgrade::write_out() {
  std::unique_lock lock(mutex_);
  for (;;) {
    changed_.wait(lock, [this] { return stopped_ || !queue_.empty(); });
    if (queue_.empty()) return;
    const Message message = std::move(queue_.front());
    queue_.pop_front();
    sending_ = true;
    lock.unlock();
    if (!broken_ && !send_message(successor_, message)) {
      broken_ = true;
      log_note("upgrade: the new process takes nothing more");
    }
    lock.lock();
    sending_ = false;
    changed_.notify_all();
  }
}

void Upgrade::stop() {
  {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, 2 * kMostSending, [this] { return queue_.empty() && !sending_; });
    stopped_ = true;
    changed_.notify_all();
  }
  elder_.shut(SHUT_RDWR);
}

}  // namespace canvasstage::net
