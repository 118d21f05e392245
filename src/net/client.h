// Connections from clients. Each connection has a thread that reads. The reducer's thread writes as much of
// an answer as the kernel accepts without blocking; a few writer threads send the remainder.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "core/effects.h"
#include "net/log.h"
#include "net/node_context.h"
#include "net/socket.h"

namespace canvasstage::net {

class ClientConnection;

// The threads that finish answers which the kernel did not accept whole. All member functions may be called
// from any thread.
class Writers {
 public:
  void start();
  // Queues the unsent part of an answer. `is_last`: the connection ends after it.
  void write(std::shared_ptr<ClientConnection> client, std::string remainder, bool is_last);
  // Ends the threads once the queue is empty.
  void stop();

 private:
  struct Work {
    std::shared_ptr<ClientConnection> client;
    std::string remainder;
    bool is_last;
  };
  void run();
  std::mutex mutex_;
  std::condition_variable work_added_;
  std::deque<Work> work_;  // at most one answer per client
  bool stopped_ = false;
};

// A connection from a client, over which requests are read and answered one at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(Id id, Socket socket, std::string peer, NodeContext& context);
  // Continues a connection that another process of this node handed over; to be called before run().
  // `pipelined_bytes` holds the bytes that the client sent behind its request; `is_open`: a request is
  // waiting for its answer.
  void resume(bool fresh, Time opened, bool keep_alive, bool is_open, std::string pipelined_bytes);
  Id id() const { return id_; }
  // Serves the connection on the calling thread until it ends, and returns why it ended.
  Reason run();
  // Non-blocking substitute for run() while the system has no thread for the connection; called repeatedly.
  // Answers a request that has arrived with 503. Returns true once the connection has ended, with the reason.
  bool refuse_without_thread(Reason& reason);
  const std::string& peer() const { return peer_; }

  // The functions from here to keep_alive() are for the reducer's thread, except where noted.
  //
  // Sends the answer to the open request. `closes`: the connection ends after this answer, or after the last
  // answer to requests that have already arrived behind it. `at_once`: it ends after this answer in any case.
  // `extra_fields`: further header fields, each with its line end.
  void answer(int status, std::string_view extra_fields, const PayloadRef& result, bool closes, bool at_once,
              Writers& writers);
  // Closes the connection as soon as the requests that have arrived are served. `finish_partial_request`: a
  // partially received request is read to its end and served as well. Otherwise that request is shed, and the
  // connection closes at once because its descriptor is needed.
  void close_when_idle(bool finish_partial_request);
  // Closes a connection that was told to close and is still open. Does the same as close_when_idle(), except
  // that the connection's thread no longer waits for the client to close its side.
  void close_now(bool finish_partial_request);
  // Returns a function that tells whether the client has disconnected. The function may be called from any
  // thread and may outlive the connection.
  std::function<bool()> client_left_check();
  // Shuts down both directions, unless the connection was handed over.
  void shut_down();
  // Marks the connection, with its open request, as handed over to another process.
  void mark_handed_over();
  const Socket& socket() const { return socket_; }
  const std::string& pipelined_bytes() const { return pipelined_bytes_; }
  bool keep_alive() const { return keep_alive_; }

  // Sends the remainder of an answer, blocking; called by a writer thread.
  void write_remainder(std::string_view remainder, bool is_last);

 private:
  // What the next byte received belongs to. Changed only while mutex_ is held.
  enum class Phase {
    kAwaitingRequest,  // the first byte of a request
    kReadingRequest,   // a partially received request
    kAwaitingAnswer,   // a later request; the current one waits for its answer
    kEnded,            // ignored: the node has ended its side, so the client submits the request elsewhere
    kMoved             // read by the process that took over the connection
  };
  bool serve_request(Reason& reason);
  bool wait_for_first_byte(Reason& reason);
  bool begin_request(Reason& reason);
  bool end_if_silent();
  bool should_shed_partial();
  bool has_unserved_bytes() const;
  void end_sending(Reason end_reason);
  void end_if_idle();
  void set_read_deadline(Time deadline);
  bool read_more(ClientRequest& request, std::size_t& size, Time deadline, Reason& reason);
  bool read_request(const std::shared_ptr<ClientRequest>& request, std::size_t carried, Reason& reason);
  bool submit_request(std::shared_ptr<ClientRequest> request, const Terms& terms, Reason& reason);
  bool open_request();
  bool await_answer(Reason& reason);
  bool wait_with_unread_bytes(std::unique_lock<std::mutex>& lock, Clock::time_point deadline);
  bool hand_over_idle(Reason& reason);
  int peek_flags() const;
  bool reject(int status, Reason end_reason, Reason& reason);
  bool send_last_answer(const std::string& bytes, Reason end_reason, Reason& reason);
  void report_shed_unread();
  void linger();
  bool discard_received(int flags) const;
  Time arrival_of_last_bytes() const;
  void answer_written(bool is_last);

  const Id id_;
  const Socket socket_;
  const std::string peer_;
  NodeContext& context_;
  Time opened_ = now();
  bool fresh_ = true;           // no complete request has arrived yet
  bool should_linger_ = false;  // the last answer may still be in transit
  Time linger_deadline_ = 0;
  std::string pipelined_bytes_;  // bytes received behind the open request
  Time last_bytes_at_ = 0;       // when the last bytes that were read had arrived
  bool keep_alive_ = true;
  std::mutex mutex_;
  std::condition_variable phase_changed_;
  Phase phase_ = Phase::kAwaitingRequest;
  Reason end_reason_ = Reason::kIdle;
  bool close_requested_ = false;      // the connection ends once all requests that have arrived are served
  bool should_shed_partial_ = false;  // a partially received request is shed
};

}  // namespace canvasstage::net
