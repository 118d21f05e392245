// Runs many nodes in virtual time against modelled executors, network, discovery and clients.
// Single-threaded; a run depends on the scenario and the seed alone.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/effects.h"
#include "emulator/chance.h"
#include "emulator/events.h"
#include "emulator/rules.h"
#include "emulator/scenario.h"

namespace canvasstage::lab {

class Emulator;

// A request as a node receives it. A client that retries sends a new one for the same client request.
struct EmulatedRequest {
  Id client = 0;  // client connection; also identifies the request
  std::uint64_t client_request = 0;
  int node = 0, use_case = 0, width = 1;
  double work = 0;
  Microseconds due = 0;
};

// Handles the requests of one node: the real node or a baseline policy.
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;
  virtual void request_arrived(const std::shared_ptr<const EmulatedRequest>& request) = 0;
  // The client's connection is closed; its request, if still open, ends with it.
  virtual void client_closed(Id client) = 0;
  virtual void attempt_accepted(Id) {}
  virtual void attempt_started(Id) {}
  virtual void attempt_ended(Id attempt_id, Outcome outcome, bool connection_kept) = 0;
  // Membership arrives as one call for each executor followed by membership_received().
  virtual void executor_listed(int executor, Lifecycle lifecycle, Microseconds started) = 0;
  virtual void membership_received(bool is_snapshot, std::uint64_t version) = 0;
  virtual void membership_call_failed() {}
};

// Measured requests of one class, by result.
struct ClassResult {
  std::string name;
  std::uint64_t requested = 0, in_time = 0, late = 0, shed = 0, failed = 0, disconnected = 0;
};

// Result of one run.
struct Result {
  std::vector<ClassResult> classes;
  double service = 0;  // value earned / value requested, without disconnected clients
  std::uint64_t requests = 0, attempts = 0, connections = 0, membership_calls = 0, events = 0;
  double attempts_per_request = 0, connections_per_request = 0;
  double latency_mean = 0, latency_p50 = 0, latency_p99 = 0;  // seconds, of successful requests
  // Attempts at the executors: mean number, the same by Little's law (arrival rate times mean stay), and mean
  // stay in seconds of those that ended.
  double mean_occupancy = 0, littles_law_occupancy = 0, mean_stay = 0;
  double peak_to_mean = 0;  // attempts at the fullest executor / mean over executors, sampled
  ColdStartStats cold;
  std::uint64_t violations[kRuleCount] = {};
  std::vector<std::string> violation_messages;
  std::uint64_t violation_count() const {
    return violations[0] + violations[1] + violations[2] + violations[3];
  }
  std::string summary() const;  // all figures as text; equal for equal runs
};

// Emulates one scenario; run() may be called once.
class Emulator {
 public:
  using MakeDispatcher = std::function<std::unique_ptr<Dispatcher>(Emulator&, int node)>;
  // `make` defaults to make_dispatcher(), which follows the policy of the scenario.
  Emulator(Scenario scenario, std::uint64_t seed, MakeDispatcher make = {});
  ~Emulator();
  Result run();

  // Calls for dispatchers.
  const Scenario& scenario() const { return scenario_; }
  EventQueue& events() { return events_; }
  RandomStream node_random_stream(int node) const;
  int zone_of_node(int node) const { return node % scenario_.zones; }
  int zone_of_executor(int executor) const { return executor % scenario_.zones; }
  static int cell_of_executor(int executor) { return executor / 4; }
  // Uses the idle connection that the attempt `reused_connection` left, or opens a new one.
  void start_attempt(int node, Id attempt_id, Id reused_connection, int executor,
                     const std::shared_ptr<const EmulatedRequest>& request);
  void abandon_attempt(int node, Id attempt_id);
  bool is_connection_open(int node, Id attempt_id) const;
  void answer(int node, Id client, Answer answer);
  void watch_membership(int node);

 private:
  struct Attempt {
    int node = 0, executor = 0;
    Id id = 0;
    std::shared_ptr<const EmulatedRequest> request;
    std::uint64_t incarnation = 0;  // of the executor process at the other end of the connection
    bool reused = false, end_reported = false, connected = false;
    bool queued = false, running = false;
    double remaining_work = 0;  // seconds at speed 1
    Microseconds progress_updated_at = 0, arrived_at = 0;
    std::uint64_t completion_serial = 0;  // of the scheduled completion; older ones are ignored
  };
  using AttemptRef = std::shared_ptr<Attempt>;
  struct Connection {
    int executor = 0;
    std::uint64_t incarnation = 0;
    Microseconds last_used = 0;
  };
  struct NodeState {
    std::unique_ptr<Dispatcher> dispatcher;
    std::unordered_map<Id, AttemptRef> attempts;
    std::unordered_map<Id, Connection> idle_connections;
    std::uint64_t watch_call = 0;  // the current call; responses to older ones are ignored
    bool watching = false;
    double weight = 1;
  };
  struct ExecutorState {
    double speed = 1;
    Microseconds started = -1;  // start of the process; -1: before the run
    bool up = true, silent = false, hung = false, draining = false;
    double slowdown = 1, failure_probability = 0;
    std::uint64_t incarnation = 1;
    int used_slots = 0;
    std::deque<AttemptRef> queue;
    std::vector<AttemptRef> running;
    Lifecycle lifecycle = Lifecycle::kActive;  // as listed by discovery
    std::uint64_t changed_version = 0;         // membership version of the last change
  };
  struct ClientRequest {
    int use_case = 0;
    double work = 0;
    Microseconds sent_at = 0;
    int try_count = 0;
    bool measured = false;
  };

  // Network.
  Microseconds delay(int zone, int other);
  bool is_partitioned(int zone, int other) const;
  void send_to_node(const AttemptRef& attempt, std::function<void()> deliver);
  void report_end(const AttemptRef& attempt, Outcome outcome, bool connection_kept);
  void end_attempt(const AttemptRef& attempt, Outcome outcome, bool connection_kept);
  void connect(const AttemptRef& attempt);
  void send(const AttemptRef& attempt);
  // Executors.
  void accept_attempt(const AttemptRef& attempt);
  void start_queued_attempts(int executor);
  double execution_rate(const ExecutorState& executor) const;
  void update_progress(const ExecutorState& executor);
  void reschedule_completions(int executor);
  void schedule_completion(int executor, const AttemptRef& attempt);
  void cancel(const AttemptRef& attempt);
  void remove_from_executor(const AttemptRef& attempt);
  void break_connections(int executor);
  void start_cold(int executor);
  void schedule_warm_up_step(int executor);
  // Discovery.
  void update_lifecycle(int executor, Lifecycle lifecycle);
  void send_membership(int node, std::uint64_t call);
  // Clients.
  void distribute_traffic(RandomStream& random);
  void schedule_next_arrival();
  void send_request(std::uint64_t number);
  void finish_request(std::uint64_t number, Answer answer);
  // Faults.
  void schedule_fault(const Fault& fault);
  std::vector<int> select_executors(const Fault& fault);
  void update_occupancy(int change);
  void sample_load();

  Scenario scenario_;
  const std::uint64_t seed_;
  EventQueue events_;
  RuleChecker rules_;
  RandomStream arrivals_, work_, network_, faults_, clients_;
  std::vector<NodeState> nodes_;
  std::vector<ExecutorState> executors_;
  std::vector<double> cumulative_weights_;  // running sums of the nodes' traffic shares
  std::unordered_map<std::uint64_t, ClientRequest> client_requests_;
  std::unordered_map<Id, std::shared_ptr<const EmulatedRequest>> open_requests_;  // by client
  std::uint64_t last_client_request_ = 0, version_ = 1, last_watch_call_ = 0;
  Id last_client_ = 0;
  Microseconds discovery_free_at_ = 0;
  bool discovery_up_ = true;
  std::vector<bool> partitioned_zones_;  // by zone
  double loss_probability_ = 0, arrival_multiple_ = 1;

  Result result_;
  std::vector<double> latencies_;
  double value_requested_ = 0, value_earned_ = 0;
  int occupancy_ = 0;
  Microseconds occupancy_since_ = 0;
  double occupancy_sum_ = 0, stay_sum_ = 0;
  std::uint64_t arrived_count_ = 0, departed_count_ = 0, sample_count_ = 0;
  double peak_to_mean_sum_ = 0;
};

// Creates the dispatcher that the policy of the scenario names.
std::unique_ptr<Dispatcher> make_dispatcher(Emulator& emulator, int node);
// Creates the real node, configured for this many replicas.
std::unique_ptr<Dispatcher> make_node(Emulator& emulator, int node, int replicas);

}  // namespace canvasstage::lab
