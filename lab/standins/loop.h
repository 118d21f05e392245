// A single-threaded event loop over epoll with timers, and a non-blocking byte stream on a TCP socket. All
// classes are used from the loop's thread alone.
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

// A stand-in cannot be set up or run: a bad address, a missing program or a system limit.
struct StandinError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using LoopClock = std::chrono::steady_clock;
using LoopTime = LoopClock::time_point;
// Converts seconds to a duration of the loop's clock.
LoopClock::duration seconds_of(double seconds);

// Dispatches descriptor events and timers.
class Loop {
 public:
  Loop();
  // Calls `on_event` whenever the descriptor is readable, its peer has closed, or it is writable and
  // set_write_interest has asked for that. Throws StandinError if epoll refuses the descriptor.
  void watch(int fd, std::function<void()> on_event);
  void set_write_interest(int fd, bool enabled);
  void forget(int fd);  // before the descriptor is closed
  // One-shot timers.
  void at(LoopTime when, std::function<void()> callback);
  void after(double seconds, std::function<void()> callback);
  // Dispatches events and timers until `done` returns true or the timeout expires. Returns whether `done`
  // did.
  bool run(
      double timeout_s, const std::function<bool()>& done = [] { return false; });

 private:
  struct Watch {
    std::uint32_t serial = 0;  // descriptor numbers are reused: drops events of the previous descriptor
    std::shared_ptr<std::function<void()>> on_event;
  };
  void poll_events(int wait_ms);
  void run_timers();
  net::Socket epoll_;
  std::unordered_map<int, Watch> watched_;
  std::multimap<LoopTime, std::function<void()>> timers_;
  std::uint32_t last_serial_ = 0;
};

// TCP payload bytes of one kind of connection, both directions, and the number of connections.
struct Traffic {
  std::uint64_t read = 0, written = 0, connections = 0;
};

// A connected TCP socket with buffered input and output. Owned through StreamRef.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  Stream(Loop& loop, net::Socket socket, Traffic& traffic);
  ~Stream();
  // Calls `on_input` when bytes have been read or the stream has ended.
  void start(std::function<void(Stream&)> on_input);
  void send(std::string_view bytes);
  void reset();  // closes with a TCP reset
  void close();
  bool ended() const { return ended_; }
  bool reached() const { return reached_; }  // connected, and the system has accepted bytes
  std::string in;                            // received and not yet consumed; the owner erases from it

 private:
  void handle_events();
  void flush();
  Loop& loop_;
  net::Socket socket_;
  Traffic& traffic_;
  std::string unsent_;
  bool ended_ = false, reached_ = false, awaits_writable_ = false;
  std::function<void(Stream&)> on_input_;
};

using StreamRef = std::shared_ptr<Stream>;

// Throws StandinError unless the address is 127.x.y.z with a port.
void require_loopback(const std::string& address);
// Do not block. The socket is not open if no connection is pending or the connect fails at once.
net::Socket accept_nonblocking(const net::Socket& listener);
net::Socket connect_nonblocking(const std::string& address);
// One chunk in HTTP chunked transfer coding (RFC 9112, section 7.1).
std::string encode_chunk(std::string_view content);

}  // namespace canvasstage::lab
