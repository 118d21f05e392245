// Carries out the core's effects on real sockets, and accepts clients on the listening socket. The maps of
// connections belong to the reducer's thread.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/effects.h"
#include "net/client.h"
#include "net/discovery.h"
#include "net/executor.h"
#include "net/upgrade.h"
#include "net/world.h"
#include "recovery/store.h"

namespace canvasstage::net {

// The side of the node that has sockets. Member functions are for the reducer's thread, except start().
class Server final : public Effects {
 public:
  // `upgrade`: set if another process may hold the same listening socket; otherwise null. `descriptors`: the
  // maximum number of descriptors that the process may have open. `store`: receives the records of attempts
  // before the attempts are sent; null if attempts have no records.
  Server(NodeContext& world, Socket listener, Upgrade* upgrade, int descriptors,
         recovery::Store* store = nullptr);
  // Starts the writer threads and the listener thread.
  void start();
  // Makes every thread end; to be called after the reducer has finished.
  void end_threads();
  // Why the listening socket could not be opened; empty if there was no failure.
  const std::string& failure() const { return failure_; }

  void answer(Id client, Answer answer, const PayloadRef& result, Time retry_after,
              ConnectionDisposition after) override;
  void close_client(Id client, bool finishes) override;
  void close_client_now(Id client, bool finishes) override;
  void start_attempt(const AttemptOrder& order) override;
  void abandon_attempt(Id attempt) override;
  void withdraw_attempt(Id attempt) override;
  bool is_connection_open(Id attempt) override;
  void watch_membership(const std::string& address, std::uint64_t from_version, Time timeout) override;
  void wake_at(Time when, std::uint64_t token) override { world_.reducer.wake_at(when, token); }
  void open_listener() override;
  void close_listener() override;
  void publish(const Metrics& metrics) override { world_.board.publish(metrics); }
  void log(const std::string& line) override { log_note(line); }
  bool has_successor() override { return upgrade_ != nullptr && upgrade_->has_successor(); }
  void begin_handover(std::string knowledge) override;
  void hand_over_request(const TransferredRequest& request) override;
  void hand_over_connection(Id attempt, const std::string& executor, const std::string& address,
                            Time since) override;
  // Takes over what a message from the predecessor hands over; called on the reducer's thread. Throws
  // BadInput if the message is malformed.
  void take_over(Time now, const JsonValue& message, const std::string& bytes, std::vector<Socket> sockets);
  void finish() override { world_.reducer.finish(); }

 private:
  void listen();
  void accept(Socket socket, std::string peer);
  std::function<void()> when_gone(Id client);
  static void start(const std::shared_ptr<ClientConnection>& client, std::function<void()> on_closed);
  std::shared_ptr<ExecutorConnection> new_link();
  void start(const std::shared_ptr<ExecutorConnection>& connection, Id attempt, Outcome without_thread);
  void remove_connection(const ExecutorConnection* connection);
  std::shared_ptr<ClientConnection> take_client(Time now, Socket socket, bool fresh, Time opened,
                                                bool keep_alive, bool open, std::string carry);
  void take_job(Time now, Time as_of, const JsonValue& message, const std::string& bytes,
                std::vector<Socket> sockets);

  NodeContext& world_;
  Socket listener_;  // used only by the listener thread once start() was called
  Upgrade* const upgrade_;
  recovery::Store* const store_;
  const int max_clients_;
  std::atomic<int> clients_open_{0};  // accepted or taken over, and not closed yet
  std::mutex mutex_;
  std::condition_variable state_changed_;
  bool open_requested_ = false;
  std::string failure_;
  std::atomic<bool> close_requested_{false};
  Writers writers_;
  std::unordered_map<Id, std::shared_ptr<ClientConnection>> clients_;
  std::unordered_map<Id, std::shared_ptr<ExecutorConnection>> links_;
  std::shared_ptr<Watch> watch_;
  std::atomic<Id> last_client_{0};
};

}  // namespace canvasstage::net
