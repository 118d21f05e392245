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
#include "net/node_context.h"
#include "net/upgrade.h"
#include "recovery/store.h"

namespace canvasstage::net {

// The side of the node that has sockets. Member functions are for the reducer's thread, except start().
class Server final : public Effects {
 public:
  // `upgrade`: set if another process may hold the same listening socket; otherwise null. `descriptors`: the
  // maximum number of descriptors that the process may have open. `store`: receives the records of attempts
  // before the attempts are sent; null if attempts have no records.
  Server(NodeContext& context, Socket listener, Upgrade* upgrade, int descriptors,
         recovery::Store* store = nullptr);
  // Starts the writer threads and the listener thread.
  void start();
  // Makes every thread end; to be called after the reducer has finished.
  void end_threads();
  // Why the listening socket could not be opened; empty if there was no failure.
  const std::string& failure() const { return failure_; }

  void answer(Id client, Answer answer, const PayloadRef& result, Time retry_after,
              ConnectionDisposition disposition) override;
  void close_client(Id client, bool finish_partial_request) override;
  void close_client_now(Id client, bool finish_partial_request) override;
  void start_attempt(const AttemptOrder& order) override;
  void abandon_attempt(Id attempt) override;
  void withdraw_attempt(Id attempt) override;
  bool is_connection_open(Id attempt) override;
  void watch_membership(const std::string& address, std::uint64_t from_version, Time timeout) override;
  void wake_at(Time when, std::uint64_t token) override { context_.reducer.wake_at(when, token); }
  void open_listener() override;
  void close_listener() override;
  void publish_metrics(const Metrics& metrics) override { context_.metrics_board.publish(metrics); }
  void log(const std::string& line) override { log_note(line); }
  bool has_successor() override { return upgrade_ != nullptr && upgrade_->has_successor(); }
  void begin_handover(std::string knowledge) override;
  void hand_over_request(const TransferredRequest& request) override;
  void hand_over_connection(Id attempt, const std::string& executor, const std::string& address,
                            Time idle_since) override;
  // Takes over what a message from the predecessor hands over; called on the reducer's thread. Throws
  // BadInput if the message is malformed.
  void take_over(Time now, const JsonValue& message, const std::string& bytes, std::vector<Socket> sockets);
  void finish() override { context_.reducer.finish(); }

 private:
  void listen();
  void accept(Socket socket, std::string peer);
  std::function<void()> on_client_closed(Id client);
  static void start(const std::shared_ptr<ClientConnection>& client, std::function<void()> on_closed);
  std::shared_ptr<ExecutorConnection> new_executor_connection();
  void start(const std::shared_ptr<ExecutorConnection>& connection, Id attempt, Outcome without_thread);
  void remove_connection(const ExecutorConnection* connection);
  std::shared_ptr<ClientConnection> adopt_client(Time now, Socket socket, bool fresh, Time opened,
                                                 bool keep_alive, bool open, std::string pipelined_bytes);
  void adopt_request(Time now, Time as_of, const JsonValue& message, const std::string& bytes,
                     std::vector<Socket> sockets);

  NodeContext& context_;
  Socket listener_;  // used only by the listener thread once start() was called
  Upgrade* const upgrade_;
  recovery::Store* const store_;
  const int max_clients_;
  std::atomic<int> open_clients_{0};  // accepted or taken over, and not closed yet
  std::mutex mutex_;
  std::condition_variable state_changed_;
  bool open_requested_ = false;
  std::string failure_;
  std::atomic<bool> close_requested_{false};
  Writers writers_;
  std::unordered_map<Id, std::shared_ptr<ClientConnection>> clients_;
  std::unordered_map<Id, std::shared_ptr<ExecutorConnection>> executor_connections_;
  std::shared_ptr<MembershipWatch> watch_;
  std::atomic<Id> last_client_id_{0};
};

}  // namespace canvasstage::net
