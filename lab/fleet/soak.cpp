#include "fleet/soak.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <utility>

#include "standins/executors.h"

namespace canvasstage::lab::fleet {
namespace {

constexpr double kStep = 0.01;        // seconds between two looks at the play
constexpr double kStartLimit = 30;    // seconds until a node is ready
constexpr double kStopLimit = 4.5;    // seconds from SIGTERM to the end of a node, as the platform kills then
constexpr double kClientsMove = 0.3;  // seconds after SIGTERM for which clients still choose a node
constexpr double kLastAnswers = 8;    // seconds after the play until every request has ended
constexpr int kBadClientLimit =
    2800;  // milliseconds; half a second later it is overdue, and it is owed an end in 3 s
constexpr std::uint64_t kGeneration = 100;

double random_between(std::mt19937_64& random, double least, double most) {
  return std::uniform_real_distribution<double>(least, most)(random);
}

class Play {
 public:
  explicit Play(const SoakPlan& plan)
      : plan_(plan), random_(plan.fleet.seed), fleet_(plan.fleet), judge_(kDrainGrace) {
    nodes_.resize(static_cast<std::size_t>(plan.fleet.nodes));
  }

  SoakReport run() {
    fleet_.observe_jobs([this](const StartedAttempt& job) { judge_.job_begun(job); });
    fleet_.start_executors();
    fleet_.start_discovery(generation_, fleet_.listed());
    fleet_.start_clients();
    for (int node = 0; node < plan_.fleet.nodes; ++node) start_node(node);
    step_until([this] { return all_serving(); }, kStartLimit);
    begin_ = LoopClock::now();
    playing_ = true;
    step_until([] { return false; }, plan_.seconds);
    playing_ = false;
    end_all_troubles();
    step_until([this] { return all_serving() && judge_.open() == 0; }, kLastAnswers + kStartLimit);
    for (int node = 0; node < plan_.fleet.nodes; ++node)
      if (nodes_[node].state == NodeState::kServing) stop_node(node, false);
    step_until([this] { return nobody_stops(); }, kStopLimit + 1);
    return report();
  }

 private:
  enum class NodeState { kStarting, kServing, kStopping, kGone };
  struct NodeNow {
    NodeState state = NodeState::kGone;
    LoopTime since;
    bool chosen = false;       // clients send to it
    bool starts_again = true;  // once it has stopped
    std::string logs;          // of its processes before this one
  };
  struct Running {
    Trouble kind;
    int place;
    LoopTime until;
  };

  // --- The play's time ---

  double now_s() const { return std::chrono::duration<double>(LoopClock::now() - begin_).count(); }

  template <typename Done>
  void step_until(Done done, double seconds) {
    const LoopTime until = LoopClock::now() + seconds_of(seconds);
    while (!done() && LoopClock::now() < until) {
      fleet_.run(kStep);
      follow_nodes();
      if (!playing_) continue;
      send_requests();
      follow_troubles();
    }
  }

  void note(const std::string& what) {
    char at[24];
    std::snprintf(at, sizeof at, "%7.2f ", now_s());
    timeline_ += at + what + "\n";
  }

  // --- Nodes ---

  bool all_serving() const {
    return std::ranges::all_of(nodes_, [](const NodeNow& one) { return one.state == NodeState::kServing; });
  }
  bool nobody_stops() const {
    return std::ranges::none_of(nodes_, [](const NodeNow& one) { return one.state == NodeState::kStopping; });
  }

  void enter(int node, NodeState state) {
    nodes_[node].state = state;
    nodes_[node].since = LoopClock::now();
    nodes_[node].chosen = state == NodeState::kServing || state == NodeState::kStopping;
  }

  void start_node(int node) {
    fleet_.start_node(node);
    enter(node, NodeState::kStarting);
  }

  void stop_node(int node, bool starts_again) {
    nodes_[node].starts_again = starts_again;
    fleet_.node(node).terminate();
    enter(node, NodeState::kStopping);
  }

  void keep_log(int node) {
    nodes_[node].logs += fleet_.node_log(node);
    if (fleet_.node(node).logged("rule violated") > 0)
      judge_.violated("counted", "node " + std::to_string(node) + " logged a violated rule");
  }

  void follow_nodes() {
    for (int node = 0; node < plan_.fleet.nodes; ++node) follow_node(node);
  }

  void follow_node(int node) {
    NodeNow& one = nodes_[node];
    const double since = std::chrono::duration<double>(LoopClock::now() - one.since).count();
    const std::string name = "node " + std::to_string(node);
    switch (one.state) {
      case NodeState::kGone:
        return;
      case NodeState::kStarting:
        if (fleet_.listening(node)) return enter(node, NodeState::kServing);
        if (fleet_.node(node).ended()) return crashed(node, "does not start");
        if (since > kStartLimit) crashed(node, "is not ready in 30 s");
        return;
      case NodeState::kServing:
        if (fleet_.node(node).ended()) crashed(node, "ends by itself");
        return;
      case NodeState::kStopping:
        if (since > kClientsMove) one.chosen = false;
        if (fleet_.node(node).ended()) return stopped(node);
        if (since > kStopLimit) {
          judge_.violated("stop", name + " runs " + std::to_string(since) + " s after SIGTERM");
          judge_.node_killed(node, steady_us());
          fleet_.node(node).kill();
          restart(node);
        }
    }
  }

  void crashed(int node, const std::string& how) {
    judge_.violated("crash", "node " + std::to_string(node) + " " + how);
    note("node " + std::to_string(node) + " " + how);
    judge_.node_killed(node, steady_us());
    restart(node);
  }

  void stopped(int node) {
    if (const int status = fleet_.node(node).exit_status(); status != 0)
      judge_.violated("stop", "node " + std::to_string(node) + " exits with " + std::to_string(status));
    restart(node);
  }

  void restart(int node) {
    keep_log(node);
    fleet_.stop_node(node);
    if (nodes_[node].starts_again)
      start_node(node);
    else
      enter(node, NodeState::kGone);
  }

  // --- Clients ---

  void send_requests() {
    owed_ += plan_.rate * std::chrono::duration<double>(LoopClock::now() - sent_until_).count();
    sent_until_ = LoopClock::now();
    owed_ = std::min(owed_, plan_.rate);  // after a pause of the rig itself
    for (; owed_ >= 1; owed_ -= 1) send_one();
  }

  // Troubles cross where they meet: at one node for a while, then at another.
  int focus_node() {
    if (LoopClock::now() >= focus_until_) {
      focus_ = static_cast<int>(random_() % static_cast<std::size_t>(plan_.fleet.nodes));
      focus_until_ = LoopClock::now() + seconds_of(plan_.focus);
    }
    return focus_;
  }

  int chosen_node() {
    if (nodes_[focus_node()].chosen && random_() % 3 == 0) return focus_;
    std::vector<int> chosen;
    for (int node = 0; node < plan_.fleet.nodes; ++node)
      if (nodes_[node].chosen) chosen.push_back(node);
    return chosen.empty() ? -1 : chosen[random_() % chosen.size()];
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
    if (random_between(random_, 0, 1) < plan_.halting) {
      request.sent.halts = true;
      request.sent.time_left_ms = kBadClientLimit;
    } else if (random_between(random_, 0, 1) < plan_.leaving)
      request.sent.leave_after_ms = static_cast<int>(random_between(random_, 1, 120));
    request.node = -1;
    const int tries = bound_by_log(request) ? 40 : 6;
    send(std::move(request), tries);
  }

  // Whether its node knows of its attempts also after it was killed.
  bool bound_by_log(const SoakRequest& request) const {
    return plan_.fleet.recovery && !request.sent.idempotency_key.empty();
  }

  // A refused request is handed in again, a key also where its node was killed: at that node, once it is
  // back.
  void send(SoakRequest request, int tries) {
    if (request.node < 0) request.node = chosen_node();
    if (request.node < 0) return;
    const auto id = std::make_shared<std::string>();
    const std::uint64_t number =
        fleet_.send(request.node, request.sent, [this, id, request, tries](const RequestAnswered& end) {
          judge_.request_ended(*id, end);
          const bool refused = end.end == RequestEnd::kUnreachable || end.status == 503 || end.status == 429;
          const bool cut_off = end.end == RequestEnd::kBroken && bound_by_log(request);
          if ((!refused && !cut_off) || tries == 0 || !playing_) return;
          SoakRequest again = request;
          if (!cut_off && !bound_by_log(request)) again.node = -1;
          fleet_.loop().after(0.1, [this, again, tries] { send(again, tries - 1); });
        });
    *id = fleet_.correlation_id(number);
    judge_.request_sent(*id, std::move(request));
  }

  // --- Troubles ---

  void follow_troubles() {
    for (std::size_t i = running_.size(); i > 0; --i) {
      if (LoopClock::now() < running_[i - 1].until) continue;
      const Running over = running_[i - 1];
      running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i - 1));
      end(over);
    }
    if (static_cast<int>(running_.size()) >= plan_.troubles_at_once || LoopClock::now() < next_) return;
    next_ = LoopClock::now() + seconds_of(random_between(random_, 0, 0.15));
    begin(plan_.troubles[random_() % plan_.troubles.size()]);
  }

  void end_all_troubles() {
    for (const Running& one : std::exchange(running_, {})) end(one);
  }

  bool runs(Trouble kind, int place) const {
    return std::ranges::any_of(running_,
                               [&](const Running& one) { return one.kind == kind && one.place == place; });
  }

  int place_for(Trouble kind) {
    switch (kind) {
      case Trouble::kDiscoveryDown:
      case Trouble::kBurst:
        return 0;
      case Trouble::kExecutorLink:
        return static_cast<int>(random_() % static_cast<std::size_t>(plan_.fleet.executors));
      case Trouble::kExecutorsCrash:
      case Trouble::kExecutorsDrain:
      case Trouble::kJobFault:
        return static_cast<int>(random_() % static_cast<std::size_t>(plan_.fleet.executor_processes));
      default:
        if (random_() % 3 > 0) return focus_node();
        return static_cast<int>(random_() % static_cast<std::size_t>(plan_.fleet.nodes));
    }
  }

  void begin(Trouble kind) {
    const int place = place_for(kind);
    if (runs(kind, place)) return;
    const double seconds = begin_at(kind, place);
    if (seconds < 0) return;
    ++counts_[name_of(kind)];
    note(std::string(name_of(kind)) + " " + std::to_string(place) + " for " + std::to_string(seconds) + " s");
    running_.push_back({kind, place, LoopClock::now() + seconds_of(seconds)});
  }

  bool serving(int node) const { return nodes_[node].state == NodeState::kServing; }

  // How long it is to last; negative: it does not fit now.
  double begin_at(Trouble kind, int place) {
    switch (kind) {
      case Trouble::kStopNode:
        if (!serving(place)) return -1;
        stop_node(place, true);
        return 0;
      case Trouble::kKillNode:
        if (!fleet_.started(place) || nodes_[place].state == NodeState::kGone) return -1;
        judge_.node_killed(place, steady_us());
        fleet_.node(place).kill();
        nodes_[place].starts_again = true;
        restart(place);
        return 0;
      case Trouble::kReloadNode:
        if (!serving(place)) return -1;
        for (int i = 0; i < 3; ++i) fleet_.reload_node(place);
        return 0;
      case Trouble::kHoldNode:
        if (!serving(place)) return -1;
        fleet_.node(place).pause();
        return random_between(random_, 0.05, 0.13);
      case Trouble::kDiscoveryLink: {
        constexpr LinkFault kFaults[] = {LinkFault::kCut, LinkFault::kSilent, LinkFault::kDelay,
                                         LinkFault::kReset};
        fleet_.set_discovery_link(place, kFaults[random_() % std::size(kFaults)], 300);
        return random_between(random_, 0.5, 4);
      }
      case Trouble::kDiscoveryDown:
        fleet_.stop_discovery();
        discovery_up_ = false;
        return random_between(random_, 0.2, 4);
      case Trouble::kExecutorLink: {
        constexpr LinkFault kFaults[] = {LinkFault::kCut, LinkFault::kSilent, LinkFault::kDelay,
                                         LinkFault::kReset};
        fleet_.set_executor_link(place, kFaults[random_() % std::size(kFaults)], 100);
        const double seconds = random_between(random_, 0.2, 3);
        constexpr double kLate = 0.5;  // of the rig itself, and the delay of the link
        judge_.link_holds(static_cast<std::size_t>(place), steady_us(),
                          steady_us() + static_cast<std::int64_t>((seconds + kLate) * 1e6));
        return seconds;
      }
      case Trouble::kExecutorsCrash:
        if (!fleet_.executors_run(place)) return -1;
        fleet_.kill_executors(place);
        return random_between(random_, 0.1, 2);
      case Trouble::kExecutorsDrain:
        set_drain(place, true);
        return random_between(random_, 2, 10);
      case Trouble::kJobFault: {
        constexpr AttemptFault kFaults[] = {AttemptFault::kRefuse, AttemptFault::kHang, AttemptFault::kSilent,
                                            AttemptFault::kReset};
        fleet_.set_job_fault(place, kFaults[random_() % std::size(kFaults)], random_between(random_, 0.1, 1));
        return random_between(random_, 0.5, 3);
      }
      case Trouble::kSystemCalls: {
        constexpr faults::Fault kFaults[] = {faults::Fault::kAccept,      faults::Fault::kSocket,
                                             faults::Fault::kConnect,     faults::Fault::kNoRoute,
                                             faults::Fault::kInterrupted, faults::Fault::kShortTransfer,
                                             faults::Fault::kHeldSend};
        for (int i = 0; i < 2; ++i) {
          const faults::Fault fault = kFaults[random_() % std::size(kFaults)];
          fleet_.faults(place).set(
              fault, fault == faults::Fault::kHeldSend ? 0.02 : random_between(random_, 0.05, 0.4));
        }
        return random_between(random_, 1, 5);
      }
      case Trouble::kThreadsRefused:
        fleet_.faults(place).set(faults::Fault::kThread, random_between(random_, 0.05, 0.5));
        return random_between(random_, 0.5, 3);
      case Trouble::kDisk:
        if (!plan_.fleet.recovery) return -1;
        fleet_.faults(place).set(faults::Fault::kDisk, 1);
        return random_between(random_, 0.3, 3);
      case Trouble::kWallClock: {
        constexpr double kSteps[] = {-3600, -5, 0, 5, 3600};
        fleet_.faults(place).set_wall_clock_ahead(kSteps[random_() % std::size(kSteps)]);
        return 0;
      }
      case Trouble::kBurst:
        for (int i = 0; i < static_cast<int>(plan_.rate / 2); ++i) send_one();
        return 0.5;
    }
    return -1;
  }

  void end(const Running& over) {
    switch (over.kind) {
      case Trouble::kHoldNode:
        if (fleet_.started(over.place)) fleet_.node(over.place).resume();
        return;
      case Trouble::kDiscoveryLink:
        judge_.discovery_back(steady_us());
        return fleet_.set_discovery_link(over.place, LinkFault::kNone);
      case Trouble::kDiscoveryDown:
        fleet_.start_discovery(++generation_, listed_now());
        discovery_up_ = true;
        judge_.discovery_back(steady_us());
        return;
      case Trouble::kExecutorLink:
        return fleet_.set_executor_link(over.place, LinkFault::kNone);
      case Trouble::kExecutorsCrash:
        fleet_.restart_executors(over.place);
        return tell_list();
      case Trouble::kExecutorsDrain:
        return set_drain(over.place, false);
      case Trouble::kJobFault:
        return fleet_.set_job_fault(over.place, AttemptFault::kHang, 0);
      case Trouble::kSystemCalls:
      case Trouble::kThreadsRefused:
      case Trouble::kDisk:
        return fleet_.faults(over.place).clear();
      default:
        return;
    }
  }

  // --- The list ---

  std::vector<ListedExecutor> listed_now() const {
    std::vector<ListedExecutor> list = fleet_.listed();
    for (const int process : drained_)
      for (int i = fleet_.process_begin(process); i < fleet_.process_begin(process + 1); ++i)
        list[static_cast<std::size_t>(i)].lifecycle = "leaving";
    return list;
  }

  void tell_list() {
    if (discovery_up_) fleet_.tell_list(++generation_, listed_now());
  }

  void set_drain(int process, bool drains) {
    std::erase(drained_, process);
    if (drains) drained_.push_back(process);
    for (int i = fleet_.process_begin(process); i < fleet_.process_begin(process + 1); ++i)
      if (drains)
        judge_.executor_drains(static_cast<std::size_t>(i), steady_us());
      else
        judge_.executor_active(static_cast<std::size_t>(i));
    tell_list();
  }

  SoakReport report() {
    judge_.finish();
    SoakReport report;
    for (const std::string& key : fleet_.ledger().repeated_effects())
      judge_.violated("twice", key + " takes effect in two groups:" + judge_.history(key));
    for (int node = 0; node < plan_.fleet.nodes; ++node) {
      if (fleet_.started(node)) keep_log(node);
      report.logs.push_back(nodes_[node].logs);
      for (std::size_t fault = 0; fault < faults::kFaults; ++fault)
        report.failed_calls += fleet_.faults(node).injected(static_cast<faults::Fault>(fault));
    }
    report.violations = judge_.violations();
    report.counts = judge_.counts();
    report.troubles = counts_;
    report.timeline = timeline_;
    return report;
  }

  const SoakPlan plan_;
  std::mt19937_64 random_;
  Fleet fleet_;
  SoakJudge judge_;
  std::vector<NodeNow> nodes_;
  std::vector<Running> running_;
  std::vector<int> drained_;  // processes of executors
  std::map<std::string, int> counts_;
  std::string timeline_;
  std::uint64_t generation_ = kGeneration, keys_ = 0;
  double owed_ = 0;
  bool playing_ = false, discovery_up_ = true;
  int focus_ = 0;
  LoopTime focus_until_;
  LoopTime begin_ = LoopClock::now(), sent_until_ = LoopClock::now(), next_ = LoopClock::now();
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
  plan.fleet.recovery = seed % 2 == 0;  // the attempt log and a disk that fails, on every other seed
  plan.fleet.run_time = 0.05;
  return plan;
}

SoakReport play(const SoakPlan& plan) {
  return Play(plan).run();
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
                c.unreachable, c.left, c.cut_off, c.jobs,
                static_cast<unsigned long long>(report.failed_calls), troubles, report.violations.size());
  return row;
}

}  // namespace canvasstage::lab::fleet
