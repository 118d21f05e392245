// Connections from clients. Each has a thread that reads; answers are written at once as far as the kernel
// takes them, and the rest by a few writer threads.
#pragma once

#include <condition_variable>
#include <deque>
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
  ClientConnection(Id id, Socket socket, std::string peer, World& world);
  // Goes on from another process of this node. What it said since stands in `carry`; open: its submission is.
  void go_on(bool fresh, Time opened, bool keep_alive, bool open, std::string carry);
  Id id() const { return id_; }
  Reason run();  // the thread's, until it ends; why it did
  const std::string& peer() const { return peer_; }

  // The reducer's.
  void answer(int status, std::string_view extra, const ParcelRef& result, bool last, Writers& writers);
  void close_when_idle(bool finishes);
  void shut();
  // Its submission goes on elsewhere, and it with it.
  void moved();
  const Socket& socket() const { return socket_; }
  const std::string& carry() const { return carry_; }
  bool keep_alive() const { return keep_alive_; }

  // A writer's.
  void write_rest(std::string_view rest, bool last);

 private:
  bool serve_one(Reason& reason);
  void wait_until(Time then);
  bool may_finish();
  bool read_more(Submitted& submission, std::size_t& size, Time until, Reason& reason);
  bool read_submission(const std::shared_ptr<Submitted>& submission, std::size_t carried, Reason& reason);
  bool hand_in(std::shared_ptr<Submitted> submission, const Terms& terms, Reason& reason);
  bool await_answer(Reason& reason);
  bool wait_behind_bytes(std::unique_lock<std::mutex>& lock, Clock::time_point then);
  bool move_idle(Reason& reason);
  Clock::time_point by_clock(Time then) const;
  int peeking() const;
  bool reject(int status, Reason why, Reason& reason);
  void tell_turned_away();
  void linger();
  void answered(bool last);

  const Id id_;
  const Socket socket_;
  const std::string peer_;
  World& world_;
  Time opened_ = now();
  bool fresh_ = true;     // nothing whole has come yet
  bool lingers_ = false;  // its last answer may still be on its way
  std::string carry_;     // what came behind the submission that is open
  bool keep_alive_ = true;
  std::mutex mutex_;
  std::condition_variable answered_;
  bool open_ = false, last_ = false, reading_shut_ = false, may_finish_ = false, moved_ = false;
};

}  // namespace canvasstage::net
