// Blocking TCP sockets over IPv4, owned by objects that close them. Addresses are written "a.b.c.d:port".
#pragma once

#include <sys/uio.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace canvasstage::net {

using Milliseconds = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// Owns a socket's descriptor and closes it. Several threads may use the same socket at once, except to move
// or destroy it.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  int fd() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }
  std::string address() const;  // the local address
  std::string peer() const;     // the remote address
  // Set the timeouts of blocking sends and reads; 0: no timeout.
  void set_send_timeout(Milliseconds timeout) const;
  void set_receive_timeout(Milliseconds timeout) const;
  // Reads up to `size` bytes. Returns their number, 0 at the end of the stream, or -1 with errno. EAGAIN may
  // come before the timeout, because every wait with a timeout ends when a stopped process continues;
  // callers have to check the clock.
  long read(char* into, std::size_t size, int flags = 0) const;
  // Reads as read() does, but reads again until `deadline` if the read timed out early.
  long read_until(Clock::time_point deadline, char* into, std::size_t size) const;
  // Waits until there are bytes to read or a connection to accept; returns whether there are.
  bool wait_readable(Milliseconds timeout) const;
  // Sends both parts, blocking. Returns whether the kernel accepted all bytes.
  bool write(std::string_view first, std::string_view second) const;
  // Sends as many bytes as possible without blocking. Returns their number, or -1 if the connection is
  // broken.
  long write_some(std::string_view first, std::string_view second) const;
  void shut_down(int how) const;
  // Returns whether the peer has closed its sending side or the connection is broken. Also works while there
  // are unread bytes, and after this process has shut down reading.
  bool peer_closed() const;
  // Returns how long ago the last bytes arrived, whether or not they were read. The connection must have
  // received some.
  std::chrono::microseconds time_since_last_bytes() const;
  // Returns a second descriptor for the same connection, or a closed socket if the system has no descriptor.
  Socket duplicate() const;

 private:
  int fd_ = -1;
};

// Tells all waiting threads that this process hands over its connections. Once raised, the signal stays
// raised. A signal that is not enabled is never raised, and waits ignore it.
class HandoverSignal {
 public:
  // Returns false if the system has no descriptor for it.
  bool enable();
  bool enabled() const { return event_.is_open(); }
  // Raises the signal. Throws std::runtime_error if that fails.
  void raise() const;
  // Waits until the socket is readable, until `deadline`, or until the signal is raised. Returns true in the
  // last case.
  bool raised_before(const Socket& socket, Clock::time_point deadline) const;

 private:
  Socket event_;
};

bool is_address(const std::string& text);
// The functions below that listen, create a socket or connect throw std::runtime_error if the address is
// malformed or the system refuses, unless they return an error.
Socket listen_on(const std::string& address);
// The two steps of listen_on(). Until the second, connections are refused, so that clients go to another node
// at once.
Socket bind_to(const std::string& address);
void start_listening(const Socket& bound);
// Returns the listening socket that this process inherited under the given descriptor number. Throws
// std::runtime_error if it is not a listening socket.
Socket inherited_listener(const std::string& number);
Socket new_socket();
// Like new_socket(), but returns a closed socket and sets errno if the system refuses.
Socket try_new_socket();
// Returns whether an error of socket(), accept() or connect() means that this machine lacks descriptors,
// ports or memory. Such an error tells nothing about the peer.
bool is_local_resource_error(int error);
// Returns a closed socket and sets errno if no client has connected or the system refuses.
Socket accept_from(const Socket& listener, std::string& peer);
// Connects within the given time. Returns 0 or an errno value; throws only if the address is malformed.
int connect_to(const Socket& socket, const std::string& address, Milliseconds timeout);

}  // namespace canvasstage::net
