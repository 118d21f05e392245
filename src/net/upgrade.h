// A new version under load: what two processes of one node say to each other. They meet at a Unix socket in a
// folder that both have. The one that comes connects to the one that is there, and takes its place for those
// to come. Silent unless the platform holds the clients' listening socket.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "net/world.h"

namespace canvasstage::net {

class Upgrade final : public SuccessorProcess {
 public:
  // JSON, bytes behind it, and descriptors: one thing that is handed over.
  struct Message {
    std::string words, bytes;
    std::vector<Socket> sockets;
  };
  using Taken = std::function<void(Message)>;  // from the process before
  using Overlap = std::function<void(bool)>;   // another process runs beside this one, or no more

  // `node`: processes of another one are not spoken to.
  Upgrade(std::string node, Taken taken, Overlap overlap)
      : node_(std::move(node)), taken_(std::move(taken)), overlap_(std::move(overlap)) {}
  // Meets the process that is there, if any; waits for its word, but not long. False: nobody can be met, as
  // the folder is not to be used.
  bool start(const char* folder);
  bool has_successor() const { return has_successor_; }
  // From any thread, once there is an successor.
  // Its words are a JSON object; when it was worded goes along.
  void send(Message message);
  void client_moves(Socket socket, bool fresh, Time since_opened) override;
  // Sends what is left, as long as that goes, and ends its threads.
  void stop();

 private:
  void meet_successors();
  void follow_elder();
  void write_out();
  bool greet(const Socket& socket, bool first);

  const std::string node_;
  const Taken taken_;
  const Overlap overlap_;
  Socket listener_, elder_;
  std::atomic<bool> has_successor_{false}, stopped_{false};
  std::mutex mutex_;
  std::condition_variable changed_;
  Socket successor_;  // the sender's once it is there
  std::deque<Message> queue_;
  bool sending_ = false, broken_ = false;
};

// When the words of a message were worded, in this process's time; now, where they do not say.
Time worded_at(const JsonValue& words, Time now);
// One message over a Unix socket; false: the other side is gone, or what came is none.
bool send_message(const Socket& socket, const Upgrade::Message& message);
bool receive_message(const Socket& socket, Upgrade::Message& message);

}  // namespace canvasstage::net
