// Stand-ins and helpers for the cases of the second review: a record, loopback sockets, HTTP/1.1 as the
// protocol page describes it, discovery, clients, and node processes started with the deploy file's command.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

inline double seconds() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}
inline void pause(double duration) {
  std::this_thread::sleep_for(std::chrono::duration<double>(duration));
}

[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::_Exit(2);
}

// --- Record: what was sent, answered and run ---

class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) cannot_run("cannot write " + path);
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.4f %s\n", seconds(), text);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// --- Sockets ---

struct Fd {
  int fd = -1;
  explicit Fd(int f = -1) : fd(f) {}
  Fd(Fd&& other) noexcept : fd(std::exchange(other.fd, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd, other.fd);
    return *this;
  }
  ~Fd() {
    if (fd >= 0) ::close(fd);
  }
};

inline sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}

inline Fd listen_on_free_port(int& port) {
  Fd socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(socket.fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = loopback(port);
  if (::bind(socket.fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(socket.fd, 256) != 0)
    cannot_run("no port to listen on");
  socklen_t size = sizeof at;
  ::getsockname(socket.fd, reinterpret_cast<sockaddr*>(&at), &size);
  port = ntohs(at.sin_port);
  return socket;
}

// A port that is free now; the node binds it a moment later.
inline int free_port() {
  int port = 0;
  const Fd socket = listen_on_free_port(port);
  return port;
}

inline Fd connect_to(int port) {
  Fd socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in at = loopback(port);
  if (::connect(socket.fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return Fd();
  const int on = 1;
  ::setsockopt(socket.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Returns the number of bytes received, 0 at the end, -1 for an error, -2 if nothing came in time.
inline long receive(int fd, std::string& into, double timeout) {
  pollfd entry{fd, POLLIN, 0};
  if (::poll(&entry, 1, timeout < 0 ? -1 : static_cast<int>(timeout * 1000)) <= 0) return -2;
  char part[65536];
  const ssize_t n = ::recv(fd, part, sizeof part, 0);
  if (n > 0) into.append(part, static_cast<std::size_t>(n));
  return n;
}

// --- HTTP ---

struct Message {
  std::string start, head, body;
  std::string field(const std::string& name) const {
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) return "";
    const std::size_t from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
  }
};

// Reads one message with a Content-Length from the connection; `pending` keeps what came behind it.
inline bool read_message(int fd, std::string& pending, Message& message, double timeout = -1) {
  const double until = seconds() + timeout;
  for (;;) {
    const std::size_t end = pending.find("\r\n\r\n");
    if (end != std::string::npos) {
      message.head = pending.substr(0, end + 4);
      message.start = message.head.substr(0, message.head.find("\r\n"));
      const std::string length = message.field("Content-Length");
      const std::size_t size = length.empty() ? 0 : std::stoul(length);
      if (pending.size() >= end + 4 + size) {
        message.body = pending.substr(end + 4, size);
        pending.erase(0, end + 4 + size);
        return true;
      }
    }
    const double left = timeout < 0 ? -1 : until - seconds();
    if (timeout >= 0 && left <= 0) return false;
    if (receive(fd, pending, left) <= 0) return false;
  }
}

inline std::string chunk(const std::string& text) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// The head of an answer of an executor that has taken a job, and a line of it.
inline const std::string kTaken = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string kLastChunk = "0\r\n\r\n";
inline std::string job_line(const std::string& id, const std::string& from, const std::string& rest) {
  return chunk("{\"id\":\"" + id + "\",\"from\":\"" + from + "\"," + rest + "}\n");
}

// --- Server with a thread for each connection ---

class Server {
 public:
  using Serve = std::function<void(int fd)>;
  explicit Server(Serve serve, int port = 0)
      : port_(port), listener_(listen_on_free_port(port_)), serve_(std::move(serve)) {
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void accept_all() {
    for (;;) {
      const int fd = ::accept4(listener_.fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] {
        const Fd owner(fd);
        serve_(fd);
      }).detach();
    }
  }
  int port_;
  Fd listener_;
  Serve serve_;
};

// --- Discovery: the whole list to each caller, then an empty line every 2 s ---

struct Listed {
  std::string id, address, zone;
  int cell = 0;
};

class Discovery {
 public:
  explicit Discovery(std::vector<Listed> executors, std::uint64_t generation = 41)
      : list_(encode(executors, generation)), server_([this](int fd) { serve(fd); }) {}
  std::string address() const { return server_.address(); }

 private:
  static std::string encode(const std::vector<Listed>& executors, std::uint64_t generation) {
    std::string list = "{\"generation\":" + std::to_string(generation) + ",\"reset\":true,\"instances\":[";
    for (std::size_t i = 0; i < executors.size(); ++i)
      list += std::string(i > 0 ? "," : "") + "{\"instanceId\":\"" + executors[i].id + "\",\"hostPort\":\"" +
              executors[i].address + "\",\"zone\":\"" + executors[i].zone +
              "\",\"machineType\":\"m1\",\"cell\":" + std::to_string(executors[i].cell) +
              ",\"lifecycle\":\"active\",\"weight\":1.0,\"startedAtMs\":0}";
    return list + "]}";
  }
  void serve(int fd) const {
    std::string pending;
    Message call;
    if (!read_message(fd, pending, call, 10)) return;
    if (call.start.find("stream=1") == std::string::npos) {
      send_all(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list_.size()) + "\r\n\r\n" + list_);
      return;
    }
    if (!send_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list_ + "\n"))) return;
    for (;;) {
      if (receive(fd, pending, 2) != -2) return;
      if (!send_all(fd, chunk("\n"))) return;
    }
  }
  const std::string list_;
  Server server_;
};

// --- Node processes ---

class Node {
 public:
  // `command`: the deploy file's `run`, started by /bin/sh -c from the root of the repository.
  Node(std::string name, std::string command, std::string log_path,
       std::map<std::string, std::string> environment)
      : name_(std::move(name)),
        command_(std::move(command)),
        log_path_(std::move(log_path)),
        environment_(std::move(environment)) {}
  ~Node() { kill_now(); }
  void start() {
    pid_ = ::fork();
    if (pid_ < 0) cannot_run("fork");
    if (pid_ > 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the node ends with the driver, however that ends
    const int log = ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, 1);
    ::dup2(log, 2);
    for (const auto& [key, value] : environment_) ::setenv(key.c_str(), value.c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", command_.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  void send_signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  void kill_now() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  // Returns whether the process has ended; its wait status is then known.
  bool has_ended(int& status) {
    if (pid_ <= 0) return true;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  int pid() const { return pid_; }

 private:
  std::string name_, command_, log_path_;
  std::map<std::string, std::string> environment_;
  int pid_ = -1;
};

// Returns the status of `GET path`, or 0 if there is no answer.
inline int get_status(int port, const std::string& path) {
  const Fd socket = connect_to(port);
  if (socket.fd < 0) return 0;
  if (!send_all(socket.fd, "GET " + path + " HTTP/1.1\r\nHost: backend.local\r\n\r\n")) return 0;
  std::string pending;
  Message answer;
  if (!read_message(socket.fd, pending, answer, 2) || answer.start.size() < 12) return 0;
  return std::atoi(answer.start.c_str() + 9);
}

inline void wait_until_ready(int port, const std::string& path, const std::string& what,
                             double timeout = 15) {
  const double until = seconds() + timeout;
  while (get_status(port, path) != 200) {
    if (seconds() > until) cannot_run(what + " is not ready");
    pause(0.05);
  }
}

// --- Client ---

struct Request {
  std::string path, id, key, body = "job";
  int time_left_ms = 5000;
  bool repeat = false;
  std::string encode() const {
    return "POST " + path + " HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: " + id +
           "\r\nX-Account: acme\r\nX-Time-Left: " + std::to_string(time_left_ms) + "m\r\n" +
           (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n") + (repeat ? "X-Repeat: 1\r\n" : "") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
};

struct Answer {
  int status = 0;  // 0: no answer; -1: the connection was refused; -2: it ended or was reset
  std::string body;
};

// Sends the request over a new connection and waits for its answer.
inline Answer ask(int port, const Request& request, double timeout) {
  const Fd socket = connect_to(port);
  if (socket.fd < 0) return {-1, ""};
  std::string pending;
  Message answer;
  if (!send_all(socket.fd, request.encode())) return {-2, ""};
  const double until = seconds() + timeout;
  if (!read_message(socket.fd, pending, answer, timeout)) return {seconds() >= until ? 0 : -2, ""};
  return {answer.start.size() < 12 ? -2 : std::atoi(answer.start.c_str() + 9), answer.body};
}

inline void write_file(const std::string& path, const std::string& content) {
  std::ofstream(path) << content;
}

inline std::string required_env(const char* name) {
  const char* const value = std::getenv(name);
  if (value == nullptr) cannot_run(std::string(name) + " is not set");
  return value;
}

inline bool with_trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace kit
