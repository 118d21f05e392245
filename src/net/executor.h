// A connection to an executor. Its thread waits for an attempt, connects, writes the request, reads the
// answer to its end and posts the outcome to the reducer; then it waits for the next attempt.
#pragma once

#include <array>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "core/effects.h"
#include "net/log.h"
#include "net/node_context.h"
#include "net/socket.h"

namespace canvasstage::net {

// How far an attempt's answer has been read, and the connection that the rest arrives on. Handed over to
// another process of the same node.
struct ReadState final : Payload {
  mutable Socket socket;  // moved out when it is handed over or reading resumes
  bool has_head = false;  // the status was 200, and `bytes` holds the beginning of a line
  bool keep_alive = false, reused = false;
  std::array<std::uint64_t, 5> body_position{};  // the value of http::BodyReader::position()
  std::string bytes;
};

// The public functions are called on the reducer's thread unless stated otherwise.
class ExecutorConnection {
 public:
  ExecutorConnection(NodeContext& context, Milliseconds connect_timeout)
      : context_(context), connect_timeout_(connect_timeout) {}
  // The body of the connection's thread. Returns when the connection is closed or handed over.
  void run();

  // Starts an attempt. At most one attempt is in progress; the next may start once the last has ended.
  // `write_by`: a request whose first byte is not written by then is not sent. `needs_record`: the request is
  // not sent before record_written() is called for this attempt.
  void start_attempt(Id id, const std::string& address, PayloadRef request, Time give_up_at,
                     Time write_by = kNever, bool needs_record = false);
  // Tells the connection that the record of the attempt is stored, so its request may be sent. Called on any
  // thread.
  void record_written(Id id);
  // Tells the connection that the record of the attempt could not be stored, so its request is not sent.
  // Called on any thread.
  void record_failed(Id id);
  // Cancels the attempt unless its first byte may have been sent.
  void withdraw();
  // Reads on where another process of this node stopped.
  void resume(Id id, const std::string& address, PayloadRef request,
              std::shared_ptr<const ReadState> read_state);
  // Takes over an idle connection from another process of this node.
  void adopt_idle_socket(Id id, const std::string& address, Socket socket);
  // Ends this object and returns its socket, which is open only if the connection was idle.
  Socket release_idle_socket();
  // Cancels the attempt in progress and closes the connection.
  void abandon();
  // Whether the peer has left the connection open; does not wait. An idle connection with unread bytes does
  // not count as open.
  bool is_open();

 private:
  struct Work {
    Id id = 0;
    std::string address;
    std::shared_ptr<const ClientRequest> request;
    Time give_up_at = 0, write_by = 0;
    std::shared_ptr<const ReadState> read_state = nullptr;
    bool needs_record = false;
  };
  struct AttemptState {
    Outcome outcome = Outcome::kConnectionLost;
    bool reported = false;         // the end was posted to the reducer
    bool connection_kept = false;  // the connection can carry another attempt
    bool complete = false;         // the answer was read to its end
    bool reused = false;           // the request went over a connection that was idle before
    bool suspended = false;        // another process reads the rest of the answer
    Reason reason = Reason::kConnectionBroken;
  };
  void run_attempt(AttemptState& attempt);
  bool connect(AttemptState& attempt);
  bool is_socket_stale() const;
  void delay_after_local_error();
  bool was_given_up();
  bool client_has_left() const;
  void shut_down();  // requires mutex_; wakes the thread, which then closes the socket
  void wait_for_record();
  bool write(AttemptState& attempt);
  void read_answer(AttemptState& attempt, std::string_view prefix = {});
  void resume_reading(AttemptState& attempt);
  Buffer wait_for_buffer();
  void suspend(bool has_head, bool keep_alive, const http::BodyReader& reader, std::string_view bytes,
               AttemptState& attempt);
  bool read_more(char* data, std::size_t capacity, std::size_t& size, AttemptState& attempt);
  void read_body(bool keep_alive, http::BodyReader& reader, Buffer& buffer, std::size_t content_start,
                 std::size_t raw_start, std::size_t size, AttemptState& attempt);
  void read_tail(http::BodyReader& reader, AttemptState& attempt);
  void handle_line(std::string_view line, bool connection_kept, Buffer& buffer, AttemptState& attempt);
  void close_socket(Reason reason);
  void report_end(Outcome outcome, PayloadRef result, bool connection_kept, double free_slots,
                  AttemptState& attempt);

  NodeContext& context_;
  const Milliseconds connect_timeout_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Socket socket_;
  bool given_up_ = false, idle_ = false;
  bool may_have_sent_ = false;  // a byte of the request may have been sent
  Id written_record_id_ = 0;    // the last attempt for which record_written() was called
  Id failed_record_id_ = 0;     // the last attempt for which record_failed() was called
  std::optional<Work> next_work_;
  Work work_;                        // this and the following members belong to the thread
  Clock::time_point read_deadline_;  // deadline for reading the answer that is being read
  bool may_suspend_ = false;         // the attempt has not ended, so a handover suspends it
};

}  // namespace canvasstage::net
