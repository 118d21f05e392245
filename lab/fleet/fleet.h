// Several real nodes as processes, with discovery, executors, clients and the links between them as processes
// of their own. Any of them can lose power (SIGKILL) and be started again at its address.
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

struct Programs {
  std::string node, standin;
  std::string node_on_lossy_disk, node_with_faults;
};
// Those beside this program.
Programs programs_beside();

struct FleetPlan {
  Programs programs;
  int nodes = 6;
  int executors = 8;
  double run_time = 0.02;  // seconds of each job
  double window = 25;      // seconds in which an executor's group recognises a repeat
  bool proxied_executors = false;
  int executor_processes = 1;        // that share the executors evenly: each can be killed by itself
  std::string settings;              // further fields of every node's settings, each behind a comma
  bool faulty_system_calls = false;  // every node is the lab's build whose system calls can be made to fail
  std::uint64_t seed = 1;
  // Each node has a store of its own that outlives it; these tables of its settings go behind [store].
  bool recovery = false;
  std::string recovery_tables;
  // Every node asks every other one, each over a link of its own.
  bool peers = false;
  // Further peers of one node, as the settings word them: {name = "...", address = "..."}.
  std::function<std::string(int node)> further_peers = nullptr;
  // Adds what belongs to one node alone to its environment (NAME=value).
  std::function<std::vector<std::string>(int node)> environment = nullptr;
};

// The use cases that every node is configured with.
constexpr const char* kIdempotentUseCase = "lookup";
constexpr const char* kKeyedUseCase = "render";  // recognised within one zone
constexpr const char* kAtMostOnceUseCase = "charge";
constexpr double kDrainGrace = 1.5;  // seconds, of the nodes' settings

class Fleet {
 public:
  explicit Fleet(FleetPlan plan);
  Fleet(const Fleet&) = delete;
  ~Fleet();

  // On a disk of its node's own that loses and tears what was not synced.
  static std::vector<std::string> lossy_disk(std::uint64_t seed, double tear);

  // Each returns once the process is ready.
  void start_discovery(std::uint64_t generation, const std::vector<ListedExecutor>& list);
  void start_executors();
  void start_clients();
  // Does not wait.
  void start_node(int node);
  void start_all_nodes();
  void stop_discovery() { discovery_.reset(); }
  void stop_executors() { executors_.clear(); }
  // One process of executors is killed, or started as after a restart of all of them: cold.
  void kill_executors(int process);
  void restart_executors(int process);
  bool executors_run(int process) const { return executors_[static_cast<std::size_t>(process)] != nullptr; }
  int executors_of(int process) const { return process_begin(process + 1) - process_begin(process); }
  int process_begin(int process) const { return process * plan_.executors / plan_.executor_processes; }
  void set_job_fault(int process, AttemptFault kind, double share);
  // Which system calls of a node fail; only where the plan asks for it.
  faults::FaultSwitches& faults(int node) { return *faults_[static_cast<std::size_t>(node)]; }
  void stop_node(int node) { nodes_[node].reset(); }
  // SIGKILL to all nodes and discovery in one moment, and to the executors where they lose power too.
  enum class Scope { kExecutorsRun, kAll };
  void lose_power(Scope scope);
  // Nodes that are started from now on are configured with this list as the one that they had (`known`).
  void configure_known(std::uint64_t generation, const std::vector<ListedExecutor>& list);

  // All executors as they are: active, started when their process was.
  std::vector<ListedExecutor> listed() const;
  void tell_list(std::uint64_t generation, const std::vector<ListedExecutor>& list);
  void set_discovery_link(int node, LinkFault fault, int delay_ms = 0);
  void set_executor_link(int executor, LinkFault fault, int delay_ms = 0);
  void set_peer_link(int from, int to, LinkFault fault, int delay_ms = 0);

  using Answered = std::function<void(int status)>;
  using RequestEnded = std::function<void(const RequestAnswered&)>;
  // Its number and its node's address are filled in; the number is returned.
  std::uint64_t send(int node, SendRequest request, RequestEnded ended);
  std::string correlation_id(std::uint64_t request) const;
  void send(int node, const std::string& use_case, const std::string& idempotency_key, double time_left,
            Answered answered);

  // Keeps what answers are told to for as long as the fleet: a call may be open when its caller has gone.
  void keep(std::shared_ptr<void> listener) { kept_.push_back(std::move(listener)); }
  // Serves all until `done` or for so many seconds; whether it was done.
  bool run(
      double seconds, const std::function<bool()>& done = [] { return false; });
  Loop& loop() { return loop_; }
  // Every job that an executor begins, besides the ledger.
  void observe_jobs(std::function<void(const StartedAttempt&)> begun) { begun_ = std::move(begun); }
  bool started(int node) const { return nodes_[node] != nullptr; }
  bool listening(int node) const;
  bool all_listening() const;
  // How many nodes have this in their log since they were last started.
  int nodes_that_logged(const std::string& words) const;
  NodeProcess& node(int node) { return *nodes_[node]; }
  const EffectLedger& ledger() const { return ledger_; }
  std::uint64_t discovery_calls();
  std::string node_log(int node) const { return nodes_[node] ? nodes_[node]->log() : std::string(); }
  // Where a node keeps its store.
  std::string store_folder(int node) const;
  std::string recovery_settings_path(int node) const;
  // SIGHUP, with the configuration as it was.
  void reload_node(int node);
  const FleetPlan& plan() const { return plan_; }

 private:
  struct Standin {
    std::unique_ptr<ChildProcess> process;
    std::string ready;  // what it told when it was
  };
  std::unique_ptr<Standin> start_standin(std::vector<std::string> arguments,
                                         std::function<void(const std::string&)> told);
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
  std::string known_;  // as the configuration words it; empty: none
  std::vector<std::string> node_addresses_, console_addresses_, executor_addresses_, listed_addresses_;
  std::vector<std::string> links_;  // where they listen: to discovery, to executors, between peers
  std::vector<ListedExecutor> listed_;
  EffectLedger ledger_;
  std::unique_ptr<Standin> discovery_, clients_, proxies_;
  std::vector<std::unique_ptr<Standin>> executors_;
  std::vector<std::unique_ptr<faults::FaultSwitches>> faults_;
  std::function<void(const StartedAttempt&)> begun_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
  std::map<std::uint64_t, RequestEnded> open_;
  std::string clients_identity_;
  std::vector<std::shared_ptr<void>> kept_;
  std::uint64_t requests_ = 0;
  int clients_started_ = 0;
  int faults_set_ = 0, faults_told_ = 0;
  std::uint64_t calls_ = 0;
  bool calls_told_ = false;
};

}  // namespace canvasstage::lab::fleet
