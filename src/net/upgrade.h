// An upgrade under load: the channel over which one process of a node hands its state over to the next. They
// use a Unix socket in a directory that both can access. The new process connects to the running one and then
// listens at that name in its place. Used only where the platform holds the clients' listening socket.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "net/node_context.h"

namespace canvasstage::net {

class Upgrade final : public SuccessorProcess {
 public:
  // One unit of state that is handed over: JSON, the raw bytes that it refers to, and descriptors.
  struct Message {
    std::string json, bytes;
    std::vector<Socket> sockets;
  };
  using MessageHandler = std::function<void(Message)>;  // for each message of the predecessor
  using OverlapHandler = std::function<void(bool)>;     // whether another process runs beside this one

  // `node`: the name of this node. Processes of another node are refused in the handshake. The handlers are
  // called on the channel's threads, and the overlap handler on the caller's thread of start() too.
  Upgrade(std::string node, MessageHandler on_message, OverlapHandler on_overlap)
      : node_(std::move(node)), on_message_(std::move(on_message)), on_overlap_(std::move(on_overlap)) {}
  // Connects to the running process, if any, waits for its handshake for a limited time, and listens for a
  // successor. Returns false where the directory cannot be used, so that no successor can connect.
  bool start(const char* directory);
  bool has_successor() const { return has_successor_; }
  // Queues a message, whose `json` must be a JSON object; the time of composition is added to it. Called on
  // any thread, once there is a successor.
  void send(Message message);
  void hand_over_client(Socket socket, bool fresh, Time since_opened) override;
  // Sends what is queued, for a limited time, and ends the channel's threads.
  void stop();

 private:
  void accept_successors();
  void receive_from_predecessor();
  void send_queued();
  bool handshake(const Socket& socket, bool speaks_first);

  const std::string node_;
  const MessageHandler on_message_;
  const OverlapHandler on_overlap_;
  Socket listener_, predecessor_;
  std::atomic<bool> has_successor_{false}, stopped_{false};
  std::mutex mutex_;
  std::condition_variable changed_;
  Socket successor_;  // used by the sending thread once it is set
  std::deque<Message> queue_;
  bool sending_ = false, send_failed_ = false;
};

// Returns when a message was composed, in this process's time; `now` where the message has no such field.
Time composed_at(const JsonValue& message, Time now);
// Transfers one message over a Unix socket. False where the other side is gone or the message is invalid.
bool send_message(const Socket& socket, const Upgrade::Message& message);
bool receive_message(const Socket& socket, Upgrade::Message& message);

}  // namespace canvasstage::net
