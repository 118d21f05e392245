#include "fleet/soak.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <utility>

#include "standins/executors.h"

namespace canvasstage::lab::fleet {
namespace {

constexpr double kStepDuration = 0.01;  // seconds between two updates of the run
constexpr double kReadyTimeout = 30;    // seconds until a node is ready
constexpr double kStopTimeout = 4.5;  // seconds from SIGTERM to the end of a node; the platform kills it then
constexpr double kRoutingDelay = 0.3;  // seconds after SIGTERM for which clients still choose the node
constexpr double kAnswerTimeout = 8;   // seconds after the run until every request has ended
// Time left of stalled requests: a node must end these within 3 s, and the client times out half a second
// after this time.
constexpr int kStalledTimeLeftMs = 2800;
constexpr std::uint64_t kFirstGeneration = 100;

double random_between(std::mt19937_64& random, double min, double max) {
  return std::uniform_real_distribution<double>(min, max)(random);
}

class SoakRun {
 public:
  explicit SoakRun(const SoakPlan& plan)
      : plan_(plan), random_(plan.fleet.seed), fleet_(plan.fleet), judge_(kDrainGrace) {
    nodes_.resize(static_cast<std::size_t>(plan.fleet.nodes));
  }

  SoakReport run() {
    fleet_.set_attempt_observer([this](const StartedAttempt& attempt) { judge_.attempt_started(attempt); });
    fleet_.start_executors();
    fleet_.start_discovery(generation_, fleet_.executor_list());
    fleet_.start_clients();
    for (int node = 0; node < plan_.fleet.nodes; ++node) start_node(node);
    step_until([this] { return all_serving(); }, kReadyTimeout);
    started_at_ = LoopClock::now();
    is_running_ = true;
    step_until([] { return false; }, plan_.seconds);
    is_running_ = false;
    end_all_troubles();
    step_until([this] { return all_serving() && judge_.open() == 0; }, kAnswerTimeout + kReadyTimeout);
    for (int node = 0; node < plan_.fleet.nodes; ++node)
      if (nodes_[node].state == NodeState::kServing) stop_node(node, false);
    step_until([this] { return no_node_stopping(); }, kStopTimeout + 1);
    return report();
  }

 private:
  enum class NodeState { kStarting, kServing, kStopping, kNotRunning };
  struct NodeStatus {
    NodeState state = NodeState::kNotRunning;
    LoopTime state_since;
    bool receives_requests = false;  // whether clients send to it
    bool restarts = true;            // whether to start it again once it has stopped
    std::string past_logs;           // of its previous processes
  };
  struct ActiveTrouble {
    Trouble kind;
    int target;
    LoopTime until;
  };

  // --- Time ---

  double now_s() const { return std::chrono::duration<double>(LoopClock::now() - started_at_).count(); }

  template <typename Done>
  void step_until(Done done, double seconds) {
    const LoopTime until = LoopClock::now() + seconds_of(seconds);
    while (!done() && LoopClock::now() < until) {
      fleet_.run(kStepDuration);
      update_nodes();
      if (!is_running_) continue;
      send_requests();
      update_troubles();
    }
  }

  void add_to_timeline(const std::string& event) {
    char at[24];
    std::snprintf(at, sizeof at, "%7.2f ", now_s());
    timeline_ += at + event + "\n";
  }

  // --- Nodes ---

  bool all_serving() const {
    return std::ranges::all_of(nodes_,
                               [](const NodeStatus& node) { return node.state == NodeState::kServing; });
  }
  bool no_node_stopping() const {
    return std::ranges::none_of(nodes_,
                                [](const NodeStatus& node) { return node.state == NodeState::kStopping; });
  }

  void set_state(int node, NodeState state) {
    nodes_[node].state = state;
    nodes_[node].state_since = LoopClock::now();
    nodes_[node].receives_requests = state == NodeState::kServing || state == NodeState::kStopping;
  }

  void start_node(int node) {
    fleet_.start_node(node);
    set_state(node, NodeState::kStarting);
  }

  void stop_node(int node, bool restarts) {
    nodes_[node].restarts = restarts;
    fleet_.node(node).terminate();
    set_state(node, NodeState::kStopping);
  }

  void keep_log(int node) {
    nodes_[node].past_logs += fleet_.node_log(node);
    if (fleet_.node(node).logged("rule violated") > 0)
      judge_.violated("counted", "node " + std::to_string(node) + " logged a violated rule");
  }

  void update_nodes() {
    for (int node = 0; node < plan_.fleet.nodes; ++node) update_node(node);
  }

  void update_node(int node) {
    NodeStatus& status = nodes_[node];
    const double seconds_in_state =
        std::chrono::duration<double>(LoopClock::now() - status.state_since).count();
    const std::string name = "node " + std::to_string(node);
    switch (status.state) {
      case NodeState::kNotRunning:
        return;
      case NodeState::kStarting:
        if (fleet_.listening(node)) return set_state(node, NodeState::kServing);
        if (fleet_.node(node).ended()) return on_crashed(node, "ended while it was starting");
        if (seconds_in_state > kReadyTimeout) on_crashed(node, "is not ready after 30 s");
        return;
      case NodeState::kServing:
        if (fleet_.node(node).ended()) on_crashed(node, "ended unexpectedly");
        return;
      case NodeState::kStopping:
        if (seconds_in_state > kRoutingDelay) status.receives_requests = false;
        if (fleet_.node(node).ended()) return on_stopped(node);
        if (seconds_in_state > kStopTimeout) {
          judge_.violated("stop",
                          name + " still runs " + std::to_string(seconds_in_state) + " s after SIGTERM");
          judge_.node_killed(node, steady_us());
          fleet_.node(node).kill();
          restart(node);
        }
    }
  }

  void on_crashed(int node, const std::string& reason) {
    judge_.violated("crash", "node " + std::to_string(node) + " " + reason);
    add_to_timeline("node " + std::to_string(node) + " " + reason);
    judge_.node_killed(node, steady_us());
    restart(node);
  }

  void on_stopped(int node) {
    if (const int status = fleet_.node(node).exit_status(); status != 0)
      judge_.violated("stop",
                      "node " + std::to_string(node) + " exited with status " + std::to_string(status));
    restart(node);
  }

  void restart(int node) {
    keep_log(node);
    fleet_.stop_node(node);
    if (nodes_[node].restarts)
      start_node(node);
    else
      set_state(node, NodeState::kNotRunning);
  }

  // --- Clients ---

  void send_requests() {
    due_requests_ += plan_.rate * std::chrono::duration<double>(LoopClock::now() - sent_until_).count();
    sent_until_ = LoopClock::now();
    // Limits the burst after a pause of the harness itself.
    due_requests_ = std::min(due_requests_, plan_.rate);
    for (; due_requests_ >= 1; due_requests_ -= 1) send_one();
  }

  // Returns the node on which troubles concentrate, so that they overlap there; it changes every `focus`
  // seconds.
  int focus_node() {
    if (LoopClock::now() >= focus_until_) {
      focus_ = static_cast<int>(random_() % static_cast<std::size_t>(plan_.fleet.nodes));
      focus_until_ = LoopClock::now() + seconds_of(plan_.focus);
    }
    return focus_;
  }

  int pick_node() {
    if (nodes_[focus_node()].receives_requests && random_() % 3 == 0) return focus_;
    std::vector<int> candidates;
    for (int node = 0; node < plan_.fleet.nodes; ++node)
      if (nodes_[node].receives_requests) candidates.push_back(node);
    return candidates.empty() ? -1 : candidates[random_() % candidates.size()];
  }

  void send_one() {
    SoakRequest request;
    const auto kind = random_() % 3;
    request.sent.use_case = kind == 0 ? kIdempotentUseCase : kind == 1 ? kKeyedUseCase : kAtMostOnceUseCase;
    if (kind == 1)
      request.sent.idempotency_key =
          "soak-" + std::to_string(plan_.fleet.seed) + "-" + std::to_string(++keys_);
    request.at_most_once = kind == 2;
    request.sent.time_left_ms = static_cast<int>(random_between(random_, 200, 3000));
    if (random_between(random_, 0, 1) < plan_.stalling) {
      request.sent.stalls = true;
      request.sent.time_left_ms = kStalledTimeLeftMs;
    } else if (random_between(random_, 0, 1) < plan_.disconnecting)
      request.sent.disconnect_after_ms = static_cast<int>(random_between(random_, 1, 120));
    request.node = -1;
    const int tries_left = is_in_attempt_log(request) ? 40 : 6;
    send(std::move(request), tries_left);
  }

  // Whether the node still knows the attempts of the request after it was killed.
  bool is_in_attempt_log(const SoakRequest& request) const {
    return plan_.fleet.recovery && !request.sent.idempotency_key.empty();
  }

  // Sends the request and resends it when it was refused. A request in the attempt log is also resent when
  // its node was killed, and always to the same node.
  void send(SoakRequest request, int tries_left) {
    if (request.node < 0) request.node = pick_node();
    if (request.node < 0) return;
    const auto id = std::make_shared<std::string>();
    const std::uint64_t number =
        fleet_.send(request.node, request.sent, [this, id, request, tries_left](const RequestResult& end) {
          judge_.request_ended(*id, end);
          const bool refused = end.end == RequestEnd::kUnreachable || end.status == 503 || end.status == 429;
          const bool cut_off = end.end == RequestEnd::kConnectionLost && is_in_attempt_log(request);
          if ((!refused && !cut_off) || tries_left == 0 || !is_running_) return;
          SoakRequest again = request;
          if (!cut_off && !is_in_attempt_log(request)) again.node = -1;
          fleet_.loop().after(0.1, [this, again, tries_left] { send(again, tries_left - 1); });
        });
    *id = fleet_.correlation_id(number);
    judge_.request_sent(*id, std::move(request));
  }

  // --- Troubles ---

  void update_troubles() {
    for (std::size_t i = active_troubles_.size(); i > 0; --i) {
      if (LoopClock::now() < active_troubles_[i - 1].until) continue;
      const ActiveTrouble expired = active_troubles_[i - 1];
      active_troubles_.erase(active_troubles_.begin() + static_cast<std::ptrdiff_t>(i - 1));
      end_trouble(expired);
    }
    if (static_cast<int>(active_troubles_.size()) >= plan_.troubles_at_once ||
        LoopClock::now() < next_trouble_at_)
      return;
    next_trouble_at_ = LoopClock::now() + seconds_of(random_between(random_, 0, 0.15));
    start_trouble(plan_.troubles[random_() % plan_.troubles.size()]);
  }

  void end_all_troubles() {
    for (const ActiveTrouble& trouble : std::exchange(active_troubles_, {})) end_trouble(trouble);
  }

  bool is_active(Trouble kind, int target) const {
    return std::ranges::any_of(active_troubles_, [&](const ActiveTrouble& trouble) {
      return trouble.kind == kind && trouble.target == target;
    });
  }

  int pick_target(Trouble kind) {
    switch (kind) {
      case Trouble::kDiscoveryDown:
      case Trouble::kBurst:
        return 0;
      case Trouble::kExecutorLink:
        return static_cast<int>(random_() % static_cast<std::size_t>(plan_.fleet.executors));
      case Trouble::kExecutorsCrash:
      case Trouble::kExecutorsDrain:
      case Trouble::kAttemptFault:
        return static_cast<int>(random_() % static_cast<std::size_t>(plan_.fleet.executor_processes));
      default:
        if (random_() % 3 > 0) return focus_node();
        return static_cast<int>(random_() % static_cast<std::size_t>(plan_.fleet.nodes));
    }
  }

  void start_trouble(Trouble kind) {
    const int target = pick_target(kind);
    if (is_active(kind, target)) return;
    const double seconds = apply_trouble(kind, target);
    if (seconds < 0) return;
    ++trouble_counts_[name_of(kind)];
    add_to_timeline(std::string(name_of(kind)) + " " + std::to_string(target) + " for " +
                    std::to_string(seconds) + " s");
    active_troubles_.push_back({kind, target, LoopClock::now() + seconds_of(seconds)});
  }

  bool serving(int node) const { return nodes_[node].state == NodeState::kServing; }

  // Starts the trouble and returns its duration in seconds; negative: the trouble does not apply now.
  double apply_trouble(Trouble kind, int target) {
    switch (kind) {
      case Trouble::kStopNode:
        if (!serving(target)) return -1;
        stop_node(target, true);
        return 0;
      case Trouble::kKillNode:
        if (!fleet_.started(target) || nodes_[target].state == NodeState::kNotRunning) return -1;
        judge_.node_killed(target, steady_us());
        fleet_.node(target).kill();
        nodes_[target].restarts = true;
        restart(target);
        return 0;
      case Trouble::kReloadNode:
        if (!serving(target)) return -1;
        for (int i = 0; i < 3; ++i) fleet_.reload_node(target);
        return 0;
      case Trouble::kHoldNode:
        if (!serving(target)) return -1;
        fleet_.node(target).pause();
        return random_between(random_, 0.05, 0.13);
      case Trouble::kDiscoveryLink: {
        constexpr LinkFault kFaults[] = {LinkFault::kCut, LinkFault::kSilent, LinkFault::kDelay,
                                         LinkFault::kReset};
        fleet_.set_discovery_link(target, kFaults[random_() % std::size(kFaults)], 300);
        return random_between(random_, 0.5, 4);
      }
      case Trouble::kDiscoveryDown:
        fleet_.stop_discovery();
        is_discovery_up_ = false;
        return random_between(random_, 0.2, 4);
      case Trouble::kExecutorLink: {
        constexpr LinkFault kFaults[] = {LinkFault::kCut, LinkFault::kSilent, LinkFault::kDelay,
                                         LinkFault::kReset};
        fleet_.set_executor_link(target, kFaults[random_() % std::size(kFaults)], 100);
        const double seconds = random_between(random_, 0.2, 3);
        constexpr double kSlack = 0.5;  // seconds, for delays of the harness and of the link
        judge_.link_delayed(static_cast<std::size_t>(target), steady_us(),
                            steady_us() + static_cast<std::int64_t>((seconds + kSlack) * 1e6));
        return seconds;
      }
      case Trouble::kExecutorsCrash:
        if (!fleet_.executors_running(target)) return -1;
        fleet_.kill_executors(target);
        return random_between(random_, 0.1, 2);
      case Trouble::kExecutorsDrain:
        set_draining(target, true);
        return random_between(random_, 2, 10);
      case Trouble::kAttemptFault: {
        constexpr AttemptFault kFaults[] = {AttemptFault::kRefuse, AttemptFault::kHang, AttemptFault::kSilent,
                                            AttemptFault::kReset};
        fleet_.set_attempt_fault(target, kFaults[random_() % std::size(kFaults)],
                                 random_between(random_, 0.1, 1));
        return random_between(random_, 0.5, 3);
      }
      case Trouble::kSystemCalls: {
        constexpr faults::Fault kFaults[] = {faults::Fault::kAccept,      faults::Fault::kSocket,
                                             faults::Fault::kConnect,     faults::Fault::kNoRoute,
                                             faults::Fault::kInterrupted, faults::Fault::kShortTransfer,
                                             faults::Fault::kDelayedSend};
        for (int i = 0; i < 2; ++i) {
          const faults::Fault fault = kFaults[random_() % std::size(kFaults)];
          fleet_.faults(target).set(
              fault, fault == faults::Fault::kDelayedSend ? 0.02 : random_between(random_, 0.05, 0.4));
        }
        return random_between(random_, 1, 5);
      }
      case Trouble::kThreadsRefused:
        fleet_.faults(target).set(faults::Fault::kThread, random_between(random_, 0.05, 0.5));
        return random_between(random_, 0.5, 3);
      case Trouble::kDisk:
        if (!plan_.fleet.recovery) return -1;
        fleet_.faults(target).set(faults::Fault::kDisk, 1);
        return random_between(random_, 0.3, 3);
      case Trouble::kWallClock: {
        constexpr double kSteps[] = {-3600, -5, 0, 5, 3600};
        fleet_.faults(target).set_wall_clock_offset(kSteps[random_() % std::size(kSteps)]);
        return 0;
      }
      case Trouble::kBurst:
        for (int i = 0; i < static_cast<int>(plan_.rate / 2); ++i) send_one();
        return 0.5;
    }
    return -1;
  }

  void end_trouble(const ActiveTrouble& expired) {
    switch (expired.kind) {
      case Trouble::kHoldNode:
        if (fleet_.started(expired.target)) fleet_.node(expired.target).resume();
        return;
      case Trouble::kDiscoveryLink:
        judge_.discovery_reachable(steady_us());
        return fleet_.set_discovery_link(expired.target, LinkFault::kNone);
      case Trouble::kDiscoveryDown:
        fleet_.start_discovery(++generation_, current_list());
        is_discovery_up_ = true;
        judge_.discovery_reachable(steady_us());
        return;
      case Trouble::kExecutorLink:
        return fleet_.set_executor_link(expired.target, LinkFault::kNone);
      case Trouble::kExecutorsCrash:
        fleet_.restart_executors(expired.target);
        return publish_list();
      case Trouble::kExecutorsDrain:
        return set_draining(expired.target, false);
      case Trouble::kAttemptFault:
        return fleet_.set_attempt_fault(expired.target, AttemptFault::kHang, 0);
      case Trouble::kSystemCalls:
      case Trouble::kThreadsRefused:
      case Trouble::kDisk:
        return fleet_.faults(expired.target).clear();
      default:
        return;
    }
  }

  // --- Executor list ---

  std::vector<ListedExecutor> current_list() const {
    std::vector<ListedExecutor> list = fleet_.executor_list();
    for (const int process : draining_processes_)
      for (int i = fleet_.first_executor_of(process); i < fleet_.first_executor_of(process + 1); ++i)
        list[static_cast<std::size_t>(i)].lifecycle = "leaving";
    return list;
  }

  void publish_list() {
    if (is_discovery_up_) fleet_.publish_list(++generation_, current_list());
  }

  void set_draining(int process, bool drains) {
    std::erase(draining_processes_, process);
    if (drains) draining_processes_.push_back(process);
    for (int i = fleet_.first_executor_of(process); i < fleet_.first_executor_of(process + 1); ++i)
      if (drains)
        judge_.executor_drains(static_cast<std::size_t>(i), steady_us());
      else
        judge_.executor_active(static_cast<std::size_t>(i));
    publish_list();
  }

  SoakReport report() {
    judge_.finish();
    SoakReport report;
    for (const std::string& key : fleet_.ledger().repeated_effects())
      judge_.violated("twice", key + " took effect more than once:" + judge_.history(key));
    for (int node = 0; node < plan_.fleet.nodes; ++node) {
      if (fleet_.started(node)) keep_log(node);
      report.logs.push_back(nodes_[node].past_logs);
      for (std::size_t fault = 0; fault < faults::kFaultCount; ++fault)
        report.failed_calls += fleet_.faults(node).injected(static_cast<faults::Fault>(fault));
    }
    report.violations = judge_.violations();
    report.counts = judge_.counts();
    report.troubles = trouble_counts_;
    report.timeline = timeline_;
    return report;
  }

  const SoakPlan plan_;
  std::mt19937_64 random_;
  Fleet fleet_;
  SoakJudge judge_;
  std::vector<NodeStatus> nodes_;
  std::vector<ActiveTrouble> active_troubles_;
  std::vector<int> draining_processes_;  // executor processes that are draining
  std::map<std::string, int> trouble_counts_;
  std::string timeline_;
  std::uint64_t generation_ = kFirstGeneration, keys_ = 0;
  double due_requests_ = 0;
  bool is_running_ = false, is_discovery_up_ = true;
  int focus_ = 0;
  LoopTime focus_until_;
  LoopTime started_at_ = LoopClock::now(), sent_until_ = LoopClock::now(),
           next_trouble_at_ = LoopClock::now();
};

}  // namespace

const char* name_of(Trouble trouble) {
  static constexpr const char* kNames[] = {"stop-node",     "kill-node",       "reload-node",
                                           "hold-node",     "discovery-link",  "discovery-down",
                                           "executor-link", "executors-crash", "executors-drain",
                                           "job-fault",     "system-calls",    "threads-refused",
                                           "disk",          "wall-clock",      "burst"};
  return kNames[static_cast<std::size_t>(trouble)];
}

SoakPlan usual_soak(std::uint64_t seed) {
  SoakPlan plan;
  plan.fleet.programs = programs_beside();
  plan.fleet.nodes = 16;
  plan.fleet.executors = 16;
  plan.fleet.executor_processes = 8;
  plan.fleet.proxied_executors = true;
  plan.fleet.faulty_system_calls = true;
  plan.fleet.seed = seed;
  plan.fleet.recovery = seed % 2 == 0;  // attempt log and disk faults for every other seed
  plan.fleet.run_time = 0.05;
  return plan;
}

SoakReport play(const SoakPlan& plan) {
  return SoakRun(plan).run();
}

std::string soak_table_head() {
  return "  seed requests   served  refused   failed unreached     left  cut off     jobs failed calls  "
         "troubles"
         " violations\n";
}

std::string soak_table_row(std::uint64_t seed, const SoakReport& report) {
  int troubles = 0;
  for (const auto& [name, count] : report.troubles) troubles += count;
  const SoakCounts& c = report.counts;
  char row[200];
  std::snprintf(row, sizeof row, "%6llu %8zu %8zu %8zu %8zu %9zu %8zu %8zu %8zu %12llu %9d %10zu\n",
                static_cast<unsigned long long>(seed), c.requests, c.served, c.refused, c.failed,
                c.unreachable, c.disconnected, c.cut_off, c.attempts,
                static_cast<unsigned long long>(report.failed_calls), troubles, report.violations.size());
  return row;
}

}  // namespace canvasstage::lab::fleet
