// Blocking sockets that close themselves.
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

class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  int fd() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }
  std::string address() const;  // its own
  std::string peer() const;     // the other end's
  void limit_sending(Milliseconds limit) const;
  void limit_reading(Milliseconds limit) const;  // 0: none
  // Fills what it can: -1 with errno, or 0 at the end of the stream. EAGAIN before the limit: the process was
  // stopped and goes on, which ends every limited wait; whoever waits looks at the clock.
  long read(char* into, std::size_t size, int flags = 0) const;
  // The same, but begins anew until then where the limit came early.
  long read_until(Clock::time_point then, char* into, std::size_t size) const;
  // Whether there is something to read, or somebody to accept.
  bool readable_within(Milliseconds limit) const;
  // Whether all went to the kernel.
  bool write(std::string_view first, std::string_view second) const;
  // As much as goes without waiting; -1: the connection is broken.
  long write_some(std::string_view first, std::string_view second) const;
  void shut(int how) const;
  // Whether the other end has ended its sending, or the connection is broken; also behind bytes that are not
  // read yet, and after our own end of reading.
  bool peer_closed() const;
  // How long ago the last bytes came in, whether they were read or not; of a connection that has had some.
  std::chrono::microseconds since_last_bytes() const;
  // A second descriptor for the same connection; not open where the system has none.
  Socket duplicate() const;

 private:
  int fd_ = -1;
};

// Told once, from then on seen by every wait. Not enabled it is never told, and no wait asks for it.
class HandoverSignal {
 public:
  bool enable();
  bool enabled() const { return event_.is_open(); }
  void tell() const;
  // Waits until there is something to read, until then, or until it is told: true.
  bool told_before(const Socket& socket, Clock::time_point then) const;

 private:
  Socket event_;
};

bool is_address(const std::string& text);
// Listening, making and connecting throw std::runtime_error where the address cannot be read or the system
// refuses.
Socket listen_on(const std::string& address);
// The two halves of that: before the second whoever connects is refused, and goes elsewhere at once.
Socket bind_to(const std::string& address);
void start_listening(const Socket& bound);
// A listening socket that was left open for this process under a number. Throws where that is none.
Socket inherited_listener(const std::string& number);
Socket new_socket();
// The same; not open, with errno, where the system refuses.
Socket socket_if_any();
// Whether such an error of socket() or connect() is this machine's want of descriptors, ports or memory: it
// says nothing of the other end.
bool is_local_resource_error(int error);
// Not open, with errno, where nobody came or the system refuses.
Socket accept_from(const Socket& listener, std::string& peer);
// 0 or errno.
int connect_to(const Socket& socket, const std::string& address, Milliseconds within);

}  // namespace canvasstage::net
