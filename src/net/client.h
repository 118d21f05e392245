// Connections from clients. Each has a thread that reads; answers are written at once as far as the kernel
// takes them, and the rest by a few writer threads.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "core/effects.h"
#include "net/log.h"
#include "net/socket.h"
#include "net/world.h"

namespace canvasstage::net {

class ClientConnection;

class Writers {
 public:
  void start();
  void write(std::shared_ptr<ClientConnection> client, std::string rest, bool last);
  void stop();

 private:
  struct Work {
    std::shared_ptr<ClientConnection> client;
    std::string rest;
    bool last;
  };
  void run();
  std::mutex mutex_;
  std::condition_variable added_;
  std::deque<Work> work_;  // one answer for each client at most
  bool stopped_ = false;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(Id id, Socket socket, std::string peer, NodeContext& world);
  // Goes on from another process of this node. What it said since stands in `carry`; open: its submission is.
  void go_on(bool fresh, Time opened, bool keep_alive, bool open, std::string carry);
  Id id() const { return id_; }
  Reason run();  // the thread's, until it ends; why it did
  // Where the system has no thread for it: a look that waits for nothing, in place of run(). What has come is
  // told that it is refused. True: the connection has ended.
  bool turn_away(Reason& reason);
  const std::string& peer() const { return peer_; }

  // The reducer's.
  // `closes`: the connection ends with it, or with the last answer to what has already come behind it.
  // `at_once`: with it, whatever has come.
  void answer(int status, std::string_view extra, const PayloadRef& result, bool closes, bool at_once,
              Writers& writers);
  // Nothing more is to be handed in over it; what has come is served first. `finishes`: also what is half
  // written. Else that is pushed back, and the connection given back at once, as its descriptor is needed.
  void close_when_idle(bool finishes);
  // The same, of one that was told to close and has not: its client's end is waited for no longer.
  void end_now(bool finishes);
  // Tells whether the client has left; from any thread, and after the connection.
  std::function<bool()> left_check();
  void shut();
  // Its submission goes on elsewhere, and it with it.
  void moved();
  const Socket& socket() const { return socket_; }
  const std::string& carry() const { return carry_; }
  bool keep_alive() const { return keep_alive_; }

  // A writer's.
  void write_rest(std::string_view rest, bool last);

 private:
  // What the next byte is; changed under the mutex alone.
  enum class Phase {
    kResting,  // the first of a submission
    kReading,  // of one that has begun
    kOpen,     // behind one that waits for its answer
    kEnded,    // nobody's: our side has ended, and the client hands it in again elsewhere
    kMoved     // another process's
  };
  bool serve_one(Reason& reason);
  bool wait_for_first_byte(Reason& reason);
  bool begin_reading(Reason& reason);
  bool silent_end();
  bool was_cut();
  bool at_hand() const;
  void end_sending(Reason why);
  void end_if_resting();
  void wait_until(Time then);
  bool read_more(ClientRequest& submission, std::size_t& size, Time until, Reason& reason);
  bool read_submission(const std::shared_ptr<ClientRequest>& submission, std::size_t carried, Reason& reason);
  bool hand_in(std::shared_ptr<ClientRequest> submission, const Terms& terms, Reason& reason);
  bool open_submission();
  bool await_answer(Reason& reason);
  bool wait_behind_bytes(std::unique_lock<std::mutex>& lock, Clock::time_point then);
  bool move_idle(Reason& reason);
  int peeking() const;
  bool reject(int status, Reason why, Reason& reason);
  bool answer_last(const std::string& bytes, Reason why, Reason& reason);
  void tell_turned_away();
  void linger();
  bool drop_what_comes(int flags) const;
  Time arrival_of_last_bytes() const;
  void answered(bool last);

  const Id id_;
  const Socket socket_;
  const std::string peer_;
  NodeContext& world_;
  Time opened_ = now();
  bool fresh_ = true;     // nothing whole has come yet
  bool lingers_ = false;  // its last answer may still be on its way
  Time lingers_until_ = 0;
  std::string carry_;  // what came behind the submission that is open
  Time came_ = 0;      // when the last bytes that were read had come in
  bool keep_alive_ = true;
  std::mutex mutex_;
  std::condition_variable answered_;
  Phase phase_ = Phase::kResting;
  Reason ended_for_ = Reason::kIdle;
  bool closes_ = false;  // as soon as nothing that has come is left to be served
  bool cut_ = false;     // what is half written is pushed back
};

}  // namespace canvasstage::net
