// Stand-ins for the review's cases: a discovery, executors and clients on loopback, and the node's program as
// a process of its own. Blocking sockets, one thread for each connection; standard library and POSIX alone.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

// Milliseconds since the start of the run.
inline double now_ms() {
  return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count();
}

inline void sleep_ms(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline void sleep_until_ms(double at) {
  sleep_ms(at - now_ms());
}

// Whether the run is to contain the disruption.
inline bool trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Thrown where the case cannot run; ends the program with 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The record of the run: one line for each event, with its time.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) throw CannotRun("cannot write " + path);
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.1f ms  ", now_ms());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// --- Sockets ---

// A socket with a receive buffer.
class Connection {
 public:
  explicit Connection(int fd = -1) : fd_(fd) {
    const int enabled = 1;
    if (fd_ >= 0) ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  }
  Connection(Connection&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)), bytes_(std::move(other.bytes_)) {}
  Connection& operator=(Connection&& other) noexcept {
    std::swap(fd_, other.fd_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  ~Connection() { close(); }
  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  bool send(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }
  // Receives more bytes into the buffer. Returns 1, 0 at the end or a reset, -1 at `until_ms`.
  int receive(double until_ms) {
    pollfd entry{fd_, POLLIN, 0};
    for (;;) {
      const double left = until_ms - now_ms();
      const int ready = ::poll(&entry, 1, left <= 0 ? 0 : static_cast<int>(std::min(left, 1e6)) + 1);
      if (ready < 0 && errno == EINTR) continue;
      if (ready == 0 && left > 0) continue;
      if (ready == 0) return -1;
      char part[65536];
      const ssize_t n = ::recv(fd_, part, sizeof part, 0);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return 0;
      bytes_.append(part, static_cast<std::size_t>(n));
      return 1;
    }
  }
  // Reads up to and with the delimiter. Empty at the end or at `until_ms`.
  std::string read_to(std::string_view delimiter, double until_ms) {
    std::size_t at;
    while ((at = bytes_.find(delimiter)) == std::string::npos)
      if (receive(until_ms) <= 0) return {};
    std::string part = bytes_.substr(0, at + delimiter.size());
    bytes_.erase(0, at + delimiter.size());
    return part;
  }
  bool read_exactly(std::size_t size, std::string& into, double until_ms) {
    while (bytes_.size() < size)
      if (receive(until_ms) <= 0) return false;
    into = bytes_.substr(0, size);
    bytes_.erase(0, size);
    return true;
  }

 private:
  int fd_;
  std::string bytes_;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline std::string address_of(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

// Returns a socket that listens on a free loopback port.
inline int listen_anywhere() {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(0);
  if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 512) != 0)
    throw CannotRun("cannot listen on loopback");
  return fd;
}

// Returns a loopback port that is free now.
inline int free_port() {
  const int fd = listen_anywhere();
  const int port = port_of(fd);
  ::close(fd);
  return port;
}

inline Connection connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  Connection connection(fd);
  if (fd < 0 || ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    connection.close();
  return connection;
}

// Accepts connections until the program ends, each served on a thread of its own.
inline void serve(int listener, std::function<void(Connection)> serve_one) {
  std::thread([listener, serve_one = std::move(serve_one)] {
    for (;;) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (errno == EINTR || errno == ECONNABORTED) continue;
        return;
      }
      std::thread([serve_one, fd] { serve_one(Connection(fd)); }).detach();
    }
  }).detach();
}

// --- HTTP ---

// A request or an answer with its body, framed by Content-Length or in chunks.
struct Message {
  std::string start, head, body;
  std::string field(const std::string& name) const {
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) return {};
    const std::size_t from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
  }
  int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

// Reads one message. False at the end of the stream or at `until_ms`.
inline bool read_message(Connection& connection, Message& message, double until_ms) {
  message = Message{};
  message.head = connection.read_to("\r\n\r\n", until_ms);
  if (message.head.empty()) return false;
  message.start = message.head.substr(0, message.head.find("\r\n"));
  if (message.field("Transfer-Encoding") == "chunked") {
    for (;;) {
      const std::string size_line = connection.read_to("\r\n", until_ms);
      if (size_line.empty()) return false;
      const std::size_t size = std::strtoul(size_line.c_str(), nullptr, 16);
      std::string chunk;
      if (!connection.read_exactly(size + 2, chunk, until_ms)) return false;
      if (size == 0) return true;
      message.body += chunk.substr(0, size);
    }
  }
  const std::string length = message.field("Content-Length");
  return length.empty() ||
         connection.read_exactly(std::strtoul(length.c_str(), nullptr, 10), message.body, until_ms);
}

inline std::string chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

inline const std::string kChunkedAnswer =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string kLastChunk = "0\r\n\r\n";

// A line of an executor's answer.
inline std::string state_line(const std::string& id, const std::string& from, const std::string& state,
                              const std::string& more = "") {
  return "{\"id\":\"" + id + "\",\"from\":\"" + from + "\",\"state\":\"" + state + "\"" + more + "}\n";
}

// A client's request.
inline std::string request_text(const std::string& use_case, const std::string& id, int time_left_ms,
                                const std::string& key = "", const std::string& body = "{}") {
  return "POST /" + use_case + "/7f3a9c21 HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: " + id +
         "\r\nX-Time-Left: " + std::to_string(time_left_ms) + "m\r\n" +
         (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n") +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// --- Discovery ---

struct Listed {
  std::string id;
  int port = 0;
  std::string zone = "hobart", lifecycle = "active";
  int cell = 1;
  std::string machine_kind = "big-box";
};

// Gives the whole list to each watch, again at each change, and an empty line each second.
class Discovery {
 public:
  explicit Discovery(std::vector<Listed> list) : list_(std::move(list)), listener_(listen_anywhere()) {
    serve(listener_, [this](Connection connection) { watch(std::move(connection)); });
  }
  int port() const { return port_of(listener_); }
  void replace(std::vector<Listed> list) {
    const std::lock_guard lock(mutex_);
    list_ = std::move(list);
    ++generation_;
  }

 private:
  std::string text(int& generation) {
    const std::lock_guard lock(mutex_);
    generation = generation_;
    std::string out = "{\"generation\":" + std::to_string(generation_) + ",\"reset\":true,\"instances\":[";
    for (std::size_t i = 0; i < list_.size(); ++i)
      out += std::string(i > 0 ? "," : "") + "{\"instanceId\":\"" + list_[i].id + "\",\"hostPort\":\"" +
             address_of(list_[i].port) + "\",\"zone\":\"" + list_[i].zone + "\",\"machineType\":\"" +
             list_[i].machine_kind + "\",\"cell\":" + std::to_string(list_[i].cell) + ",\"lifecycle\":\"" +
             list_[i].lifecycle + "\",\"weight\":1.0,\"startedAtMs\":0}";
    return out + "]}\n";
  }
  void watch(Connection connection) {
    Message call;
    if (!read_message(connection, call, now_ms() + 5000)) return;
    if (!connection.send(kChunkedAnswer)) return;
    int sent = -1;
    for (double empty_line_at = 0;;) {
      int generation = 0;
      const std::string list = text(generation);
      if (generation != sent) {
        if (!connection.send(chunk(list))) return;
        sent = generation;
        empty_line_at = now_ms() + 1000;
      } else if (now_ms() >= empty_line_at) {
        if (!connection.send(chunk("\n"))) return;
        empty_line_at = now_ms() + 1000;
      }
      sleep_ms(20);
    }
  }
  std::mutex mutex_;
  std::vector<Listed> list_;
  int generation_ = 1;
  const int listener_;
};

// --- Executors ---

// Listens on a free port and passes each request to `handle`, one at a time on each connection. `handle`
// returns false to close the connection.
class Executor {
 public:
  using Handler = std::function<bool(Executor&, Connection&, const Message&)>;
  Executor(std::string id, Handler handle)
      : id_(std::move(id)), handle_(std::move(handle)), listener_(listen_anywhere()) {
    serve(listener_, [this](Connection connection) {
      for (Message request; read_message(connection, request, 1e9);)
        if (!handle_(*this, connection, request)) return;
    });
  }
  const std::string& id() const { return id_; }
  int port() const { return port_of(listener_); }

 private:
  const std::string id_;
  const Handler handle_;
  const int listener_;
};

// --- The node ---

// A process of the node's program, started from the project's root by the deploy file's command. Killed at
// the end.
class Node {
 public:
  struct Options {
    std::string config;                  // path
    std::string log;                     // path of its log
    std::vector<std::string> variables;  // NAME=VALUE
    int inherited_listener = -1;         // becomes descriptor 3
  };
  explicit Node(const Options& options) {
    if (::access("build/canvasstage", X_OK) != 0)
      throw CannotRun("build/canvasstage is missing: build it first");
    const int log = ::open(options.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    pid_ = ::fork();
    if (pid_ < 0) throw CannotRun("cannot start a process");
    if (pid_ > 0) {
      ::close(log);
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with this program, whatever happens to it
    ::dup2(log, 1);
    ::dup2(log, 2);
    if (options.inherited_listener == 3) ::fcntl(3, F_SETFD, 0);
    if (options.inherited_listener >= 0) ::dup2(options.inherited_listener, 3);
    ::setenv("NODE_CONFIG", options.config.c_str(), 1);
    for (const std::string& variable : options.variables) ::putenv(::strdup(variable.c_str()));
    ::execl("/bin/sh", "sh", "-c", "exec build/canvasstage", static_cast<char*>(nullptr));
    ::_exit(127);
  }
  Node(const Node&) = delete;
  ~Node() { kill(); }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  // Whether the process still runs; takes its end where it has ended.
  bool runs() {
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
    return pid_ > 0;
  }

 private:
  pid_t pid_ = -1;
};

// Whether `GET path` at the port is answered with 200.
inline bool answers_200(int port, const std::string& path) {
  Connection connection = connect_to(port);
  Message answer;
  return connection.is_open() && connection.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n") &&
         read_message(connection, answer, now_ms() + 1000) && answer.status() == 200;
}

// Starts a node and waits until its second address says that it is ready. `options` gets the port of that
// address. A port that was free may be taken by the time the node binds it: the node ends then, and other
// ports are tried.
inline std::unique_ptr<Node> start_node(const std::function<Node::Options(int console)>& options) {
  constexpr double kStartMs = 8000;
  constexpr int kTries = 10;
  for (int tries = 0; tries < kTries; ++tries) {
    const int console = free_port();
    auto node = std::make_unique<Node>(options(console));
    for (const double until = now_ms() + kStartMs; node->runs(); sleep_ms(20)) {
      if (answers_200(console, "/_ready")) return node;
      if (now_ms() > until) throw CannotRun("a node is not ready in time");
    }
  }
  throw CannotRun("a node does not start");
}

inline void write_file(const std::string& path, const std::string& content) {
  std::FILE* const file = std::fopen(path.c_str(), "w");
  if (file == nullptr || std::fwrite(content.data(), 1, content.size(), file) != content.size())
    throw CannotRun("cannot write " + path);
  std::fclose(file);
}

// A folder of its own in the system's temporary folder, removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    path_ = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(path_.data()) == nullptr) throw CannotRun("cannot make " + path_);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { remove(); }
  void remove() const {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// The settings of a small deployment with two sites, as the platform hands them over. `use_cases` is the
// inside of their list; `kinds` and `kind_of_use_case` name the machine kinds and the one that each use case
// needs.
inline std::string settings_text(const std::string& use_cases, const std::string& kinds = R"("big-box")",
                                 const std::string& kind_of_use_case = "-1,-1") {
  return R"({"useCases":[)" + use_cases +
         R"(],"replicasOfMe":4,"me":0,"membershipMode":"ask","kindOfService":"jobs","weightSource":"rough",)"
         R"("locality":"hobart","zones":["hobart","launceston"],"shapes":[)" +
         kinds +
         R"(],"quantum":0.002,)"
         R"("caps":{"mostLaunches":5,"connIdle":30,"connectTimeout":0.25,"cancelling":true,"secondCopies":false,)"
         R"("retryAfter":false,"maxRetryAfter":2.0},)"
         R"("domain":{"classKind":[)" +
         kind_of_use_case +
         R"(],"classStretch":[1.75,1.75],"tellsStart":true,"progress":2.0},)"
         R"("guarantees":{"askWithin":10,"coldFrom":0.3,"drainGrace":1.5,"fallMultiple":3,"graceToAnswer":0.008,)"
         R"("overloadFor":1.5,"warmUp":8.8}})";
}

// Two use cases of these settings: one that may run again, and one that must never run twice.
inline const std::string kLookup =
    R"({"name":"lookup","agreedTime":0.25,"hardLimit":5,"billingValue":5,"overdueBillingValue":0.5,"semantics":"free"})";
inline const std::string kSingleUse =
    R"({"name":"phase-run","agreedTime":1,"hardLimit":15,"billingValue":8,"overdueBillingValue":0.2,)"
    R"("semantics":"single_shot"})";

inline std::string config_text(const std::string& name, int listen, int discovery, int console,
                               const std::string& settings, const std::string& seed = "8c1f30d27a5be964") {
  return R"({"name":")" + name + R"(","listen":")" + address_of(listen) + R"(","discovery":")" +
         address_of(discovery) + R"(","console":")" + address_of(console) + R"(","seed":")" + seed +
         R"(","limits":{"memory_mb":192,"sockets":1024},"settings":)" + settings + "}";
}

// Removes the folder and ends the program with the result, at once: the threads of the stand-ins go on to the
// end and use what the case has built.
[[noreturn]] inline void finish(int result, const TemporaryFolder& folder) {
  folder.remove();
  std::fflush(nullptr);
  std::_Exit(result);
}

// Runs the case, which ends the program by finish(): with 0 where the rule held, 1 where it was broken. Ends
// it with 2 where the case could not run.
[[noreturn]] inline void run_case(const std::function<void()>& play) {
  constexpr unsigned kLimitSeconds = 115;
  ::signal(SIGPIPE, SIG_IGN);
  ::signal(SIGALRM, [](int) { std::_Exit(2); });
  ::alarm(kLimitSeconds);
  std::set_terminate([] { std::_Exit(2); });
  try {
    play();
  } catch (const std::exception& failure) {
    std::fprintf(stderr, "the case cannot run: %s\n", failure.what());
  }
  std::fflush(nullptr);
  std::_Exit(2);
}

}  // namespace rig
