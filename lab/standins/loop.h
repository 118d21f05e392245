// One thread that waits for many sockets and timers (epoll), and a stream of bytes that does not block.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>

#include "net/socket.h"

namespace canvasstage::lab {

struct BadStandin : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using LoopClock = std::chrono::steady_clock;
using LoopTime = LoopClock::time_point;
// Seconds as a span of the loop's clock.
LoopClock::duration seconds_of(double seconds);

class Loop {
 public:
  Loop();
  // Calls it whenever the descriptor can be read, ended, or can be written where that was asked for.
  void watch(int fd, std::function<void()> told);
  void wants_writing(int fd, bool wants);
  void forget(int fd);
  void at(LoopTime when, std::function<void()> due);
  void after(double seconds, std::function<void()> due);
  // Serves all until `done` or for so many seconds; true: it was done.
  bool run(
      double seconds, const std::function<bool()>& done = [] { return false; });

 private:
  struct Watched {
    std::uint32_t serial = 0;  // a descriptor's number is used again: an event of the one before is dropped
    std::shared_ptr<std::function<void()>> told;
  };
  void serve(int wait_ms);
  void run_timers();
  net::Socket epoll_;
  std::unordered_map<int, Watched> watched_;
  std::multimap<LoopTime, std::function<void()>> timers_;
  std::uint32_t serials_ = 0;
};

// Bytes that went over a kind of connection, as payload of TCP, and how many connections there were.
struct Traffic {
  std::uint64_t read = 0, written = 0, connections = 0;
};

class Stream : public std::enable_shared_from_this<Stream> {
 public:
  Stream(Loop& loop, net::Socket socket, Traffic& traffic);
  ~Stream();
  // Calls it when something came or the stream ended.
  void start(std::function<void(Stream&)> came);
  void send(std::string_view bytes);
  void reset();  // ends it with a TCP reset
  void close();
  bool ended() const { return ended_; }
  bool reached() const { return reached_; }  // the other end's machine took bytes of it
  std::string in;                            // what has come and was not taken yet

 private:
  void move();
  void flush();
  Loop& loop_;
  net::Socket socket_;
  Traffic& traffic_;
  std::string out_;
  bool ended_ = false, reached_ = false, waits_to_write_ = false;
  std::function<void(Stream&)> came_;
};

using StreamRef = std::shared_ptr<Stream>;

// Throws BadStandin unless it is 127.x.y.z with a port.
void need_loopback(const std::string& address);
// Never blocks; not open where nobody waits or nobody can be reached.
net::Socket accept_now(const net::Socket& listener);
net::Socket connect_now(const std::string& address);
// One chunk of an answer in chunks.
std::string chunk(std::string_view content);

}  // namespace canvasstage::lab
