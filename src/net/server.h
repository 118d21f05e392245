// The core's effects on real sockets, and the listener. Its maps belong to the reducer's thread.
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

class Server final : public Effects {
 public:
  // `upgrade`: where another process may hold the same listening socket; else null. `descriptors`: the most
  // that the process may have open.
  // `store`: where the attempts that have a record are written first; null: there are none.
  Server(NodeContext& world, Socket listener, Upgrade* upgrade, int descriptors,
         recovery::Store* store = nullptr);
  void start();
  // After the reducer has finished: ends every thread.
  void end_threads();
  const std::string& failure() const { return failure_; }  // why it could not listen; empty: it could

  void answer(Id client, Answer answer, const PayloadRef& result, Time stay_away,
              ConnectionDisposition after) override;
  void close_client(Id client, bool finishes) override;
  void close_client_now(Id client, bool finishes) override;
  void start_attempt(const AttemptOrder& order) override;
  void abandon_attempt(Id launch) override;
  void withdraw_attempt(Id launch) override;
  bool is_connection_open(Id launch) override;
  void watch_membership(const std::string& address, std::uint64_t from_version, Time within) override;
  void wake_at(Time when, std::uint64_t token) override { world_.reducer.wake_at(when, token); }
  void open_listener() override;
  void close_listener() override;
  void publish(const Metrics& figures) override { world_.board.publish(figures); }
  void log(const std::string& line) override { log_note(line); }
  bool has_successor() override { return upgrade_ != nullptr && upgrade_->has_successor(); }
  void begin_handover(std::string knowledge) override;
  void hand_over_request(const TransferredRequest& job) override;
  void hand_over_connection(Id launch, const std::string& executor, const std::string& address,
                            Time since) override;
  // What the process before this one hands over, on the reducer's thread.
  void take_over(Time now, const JsonValue& words, const std::string& bytes, std::vector<Socket> sockets);
  void finish() override { world_.reducer.finish(); }

 private:
  void listen();
  void accept(Socket socket, std::string peer);
  std::function<void()> when_gone(Id client);
  static void start(const std::shared_ptr<ClientConnection>& client, std::function<void()> gone);
  std::shared_ptr<ExecutorConnection> new_link();
  void start(const std::shared_ptr<ExecutorConnection>& link, Id attempt, Outcome without_thread);
  void forget(const ExecutorConnection* link);
  std::shared_ptr<ClientConnection> take_client(Time now, Socket socket, bool fresh, Time opened,
                                                bool keep_alive, bool open, std::string carry);
  void take_job(Time now, Time as_of, const JsonValue& words, const std::string& bytes,
                std::vector<Socket> sockets);

  NodeContext& world_;
  Socket listener_;  // the listener thread's
  Upgrade* const upgrade_;
  recovery::Store* const store_;
  const int most_clients_;
  std::atomic<int> clients_open_{0};  // accepted, and not closed yet
  std::mutex mutex_;
  std::condition_variable changed_;
  bool opened_ = false;
  std::string failure_;
  std::atomic<bool> closing_{false};
  Writers writers_;
  std::unordered_map<Id, std::shared_ptr<ClientConnection>> clients_;
  std::unordered_map<Id, std::shared_ptr<ExecutorConnection>> links_;
  std::shared_ptr<Watch> watch_;
  std::atomic<Id> last_client_{0};
};

}  // namespace canvasstage::net
