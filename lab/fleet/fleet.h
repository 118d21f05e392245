// Runs several real nodes as processes. Discovery, the executors, the clients and the proxies between them
// are separate processes too. Each process can lose power (SIGKILL) and be started again at its address.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "faults/fault_table.h"
#include "fleet/effect_ledger.h"
#include "fleet/messages.h"
#include "standins/child_process.h"
#include "standins/node_process.h"

namespace canvasstage::lab::fleet {

// Paths of the executables that a fleet starts.
struct Programs {
  std::string node, standin;
  std::string node_on_lossy_disk, node_with_fault_injection;
};
// Returns the executables in the folder of the running program.
Programs programs_beside();

struct FleetPlan {
  Programs programs;
  int nodes = 6;
  int executors = 8;
  double run_time = 0.02;  // duration of each attempt, in seconds
  double window = 25;      // seconds for which an executor's group recognises a repeated key
  bool proxied_executors = false;
  int executor_processes = 1;  // the executors are spread evenly over them; each can be killed separately
  std::string settings;        // additional fields of every node's settings, each with a leading comma
  bool faulty_system_calls = false;  // every node runs the build with injectable system-call faults
  std::uint64_t seed = 1;
  // Each node has its own store, which outlives the process. `recovery_tables` follows [store] in its
  // settings.
  bool recovery = false;
  std::string recovery_tables;
  // Every node queries every other node, each over a separate proxied link.
  bool peers = false;
  // Additional peers of one node, in the format of the settings: {name = "...", address = "..."}.
  std::function<std::string(int node)> extra_peers = nullptr;
  // Returns additional environment variables of one node (NAME=value).
  std::function<std::vector<std::string>(int node)> environment = nullptr;
};

// The use cases that every node is configured with.
constexpr const char* kIdempotentUseCase = "lookup";
constexpr const char* kKeyedUseCase = "render";  // executors of one zone recognise a repeated key
constexpr const char* kAtMostOnceUseCase = "charge";
constexpr double kDrainGrace = 1.5;  // seconds; `drainGrace` in the nodes' settings

// Owns the processes of a fleet and the event loop that serves them. Not thread-safe.
class Fleet {
 public:
  explicit Fleet(FleetPlan plan);
  Fleet(const Fleet&) = delete;
  ~Fleet();

  // Returns the environment of a node whose disk loses or tears unsynced writes; `torn_share` is the share of
  // torn sectors.
  static std::vector<std::string> lossy_disk(std::uint64_t seed, double torn_share);

  // Each function returns once its processes are ready, and throws StandinError when a process does not
  // start.
  void start_discovery(std::uint64_t generation, const std::vector<ListedExecutor>& list);
  void start_executors();
  void start_clients();
  // Starts the node without waiting until it is ready.
  void start_node(int node);
  void start_all_nodes();
  void stop_discovery() { discovery_.reset(); }
  void stop_executors() { executors_.clear(); }
  // Kills one process of executors, or starts it again with cold executors.
  void kill_executors(int process);
  void restart_executors(int process);
  bool executors_running(int process) const {
    return executors_[static_cast<std::size_t>(process)] != nullptr;
  }
  int executors_in_process(int process) const {
    return first_executor_of(process + 1) - first_executor_of(process);
  }
  int first_executor_of(int process) const { return process * plan_.executors / plan_.executor_processes; }
  void set_attempt_fault(int process, AttemptFault kind, double share);
  // Controls which system calls of a node fail. Requires `faulty_system_calls` in the plan.
  faults::FaultSwitches& faults(int node) { return *faults_[static_cast<std::size_t>(node)]; }
  void stop_node(int node) { nodes_[node].reset(); }
  // Sends SIGKILL to all nodes and discovery at once, and also to the executors for kAll.
  enum class Scope { kExecutorsRun, kAll };
  void lose_power(Scope scope);
  // Configures nodes that are started from now on with this list as their last known one (`known`).
  void configure_known_list(std::uint64_t generation, const std::vector<ListedExecutor>& list);

  // All executors as active, with the start time of their process.
  std::vector<ListedExecutor> executor_list() const;
  void publish_list(std::uint64_t generation, const std::vector<ListedExecutor>& list);
  void set_discovery_link(int node, LinkFault fault, int delay_ms = 0);
  void set_executor_link(int executor, LinkFault fault, int delay_ms = 0);
  void set_peer_link(int from, int to, LinkFault fault, int delay_ms = 0);

  using StatusCallback = std::function<void(int status)>;
  using EndCallback = std::function<void(const RequestResult&)>;
  // Sends `request` after setting its number and its node's address. Returns the number.
  std::uint64_t send(int node, SendRequest request, EndCallback on_end);
  std::string correlation_id(std::uint64_t request) const;
  void send(int node, const std::string& use_case, const std::string& idempotency_key, double time_left,
            StatusCallback on_status);

  // Keeps `listener` alive as long as the fleet: a request may still be open when its sender goes out of
  // scope.
  void retain(std::shared_ptr<void> listener) { retained_.push_back(std::move(listener)); }
  // Runs the event loop until `done` returns true or `seconds` have passed. Returns whether `done` returned
  // true.
  bool run(
      double seconds, const std::function<bool()>& done = [] { return false; });
  Loop& loop() { return loop_; }
  // Sets a callback for each attempt that an executor starts, in addition to the ledger.
  void set_attempt_observer(std::function<void(const StartedAttempt&)> observer) {
    attempt_observer_ = std::move(observer);
  }
  bool started(int node) const { return nodes_[node] != nullptr; }
  bool listening(int node) const;
  bool all_listening() const;
  // Counts the nodes whose log contains `text` since their last start.
  int nodes_that_logged(const std::string& text) const;
  NodeProcess& node(int node) { return *nodes_[node]; }
  const EffectLedger& ledger() const { return ledger_; }
  std::uint64_t discovery_calls();
  std::string node_log(int node) const { return nodes_[node] ? nodes_[node]->log() : std::string(); }
  // Folder of the node's store.
  std::string store_folder(int node) const;
  std::string recovery_settings_path(int node) const;
  // Sends SIGHUP with an unchanged configuration.
  void reload_node(int node);
  const FleetPlan& plan() const { return plan_; }

 private:
  struct Standin {
    std::unique_ptr<ChildProcess> process;
    std::string ready;  // arguments of its "ready" message; empty before
  };
  std::unique_ptr<Standin> start_standin(std::vector<std::string> arguments,
                                         std::function<void(const std::string&)> on_line);
  std::unique_ptr<Standin> start_executor_process(int process);
  std::string configuration(int node) const;
  void write_recovery_settings(int node) const;
  void start_proxies();
  std::size_t peer_link(int from, int to) const;
  std::string peer_settings(int node) const;
  void set_link(std::size_t link, LinkFault fault, int delay_ms);

  FleetPlan plan_;
  Loop loop_;
  std::string folder_;
  std::string discovery_address_;
  std::string known_list_;  // configuration field with a leading comma; empty if there is none
  std::vector<std::string> node_addresses_, console_addresses_, executor_addresses_, listed_addresses_;
  // Listening addresses of the proxies: to discovery, to executors, between peers.
  std::vector<std::string> link_addresses_;
  std::vector<ListedExecutor> executor_list_;
  EffectLedger ledger_;
  std::unique_ptr<Standin> discovery_, clients_, proxies_;
  std::vector<std::unique_ptr<Standin>> executors_;
  std::vector<std::unique_ptr<faults::FaultSwitches>> faults_;
  std::function<void(const StartedAttempt&)> attempt_observer_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
  std::map<std::uint64_t, EndCallback> open_requests_;
  std::string clients_identity_;
  std::vector<std::shared_ptr<void>> retained_;
  std::uint64_t requests_ = 0;
  int clients_started_ = 0;
  int link_faults_sent_ = 0, link_faults_confirmed_ = 0;
  std::uint64_t discovery_calls_ = 0;
  bool discovery_calls_received_ = false;
};

}  // namespace canvasstage::lab::fleet
