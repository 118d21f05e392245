#include "fleet/power_loss.h"

#include <algorithm>
#include <cstdio>

#include "fleet/workload.h"

namespace canvasstage::lab::fleet {
namespace {

constexpr std::uint64_t kGenerationBefore = 41;
constexpr double kMostReady = 30;     // seconds until a fleet that starts for the first time serves
constexpr double kMostDraining = 60;  // seconds until every client has its answer or gives up
constexpr double kEmptyFor = 5;       // seconds for which a discovery that forgot stays empty
constexpr double kDownFor = 20;       // seconds
constexpr double kDrainAfter = 3;     // seconds behind the filling of the list
constexpr double kRestoredShare = 0.9;
constexpr double kSample = 0.05;  // seconds between two looks at the nodes

double since(LoopTime then) {
  return std::chrono::duration<double>(LoopClock::now() - then).count();
}

bool executors_lose_power(PowerLossCase which) {
  return which == PowerLossCase::kExecutorsCold || which == PowerLossCase::kRepeatsAcrossTheLoss;
}

class Play {
 public:
  Play(const PowerLossPlan& plan, PowerLossCase which)
      : plan_(plan), which_(which), fleet_(plan.fleet), workload_(fleet_, workload(plan, which)) {}
  PowerLossResult run();

 private:
  static WorkloadPlan workload(const PowerLossPlan& plan, PowerLossCase which);
  void start();
  void lose_power();
  void return_power();
  void tell(std::uint64_t generation, const std::vector<ListedExecutor>& list);
  void drain_one();
  void look();
  void watch_until(double seconds);
  const PowerLossPlan& plan_;
  const PowerLossCase which_;
  Fleet fleet_;
  Workload workload_;
  LoopTime returned_;
  PowerLossResult result_;
  std::uint64_t generation_ = kGenerationBefore;
  std::uint64_t calls_before_ = 0;
  LoopTime calls_at_;
  LoopTime drained_at_;
  bool drained_ = false;
};

WorkloadPlan Play::workload(const PowerLossPlan& plan, PowerLossCase which) {
  WorkloadPlan load;
  load.rate = plan.rate;
  load.time_left = plan.time_left;
  load.repeats_failed = which == PowerLossCase::kRepeatsAcrossTheLoss;
  if (load.repeats_failed) load.keyed_share = 1;
  return load;
}

void Play::start() {
  fleet_.start_executors();
  fleet_.start_discovery(kGenerationBefore, fleet_.listed());
  fleet_.start_clients();
  fleet_.start_all_nodes();
  if (!fleet_.run(kMostReady, [this] { return fleet_.all_listening(); }))
    throw StandinError("the fleet does not come up");
  workload_.start();
  fleet_.run(plan_.before);
}

void Play::lose_power() {
  const std::vector<ListedExecutor> listed = fleet_.listed();
  const bool all = executors_lose_power(which_);
  fleet_.lose_power(all ? Fleet::Scope::kAll : Fleet::Scope::kExecutorsRun);
  if (all) fleet_.start_executors();
  if (which_ != PowerLossCase::kDiscoveryDown) fleet_.configure_known(kGenerationBefore, listed);
}

void Play::tell(std::uint64_t generation, const std::vector<ListedExecutor>& list) {
  generation_ = generation;
  fleet_.tell_list(generation, list);
}

void Play::return_power() {
  const std::vector<ListedExecutor> listed = fleet_.listed();
  if (executors_lose_power(which_)) {
    generation_ = kGenerationBefore + 1;
    fleet_.start_discovery(generation_, listed);
  } else if (which_ == PowerLossCase::kDiscoveryForgot) {
    generation_ = 1;
    fleet_.start_discovery(generation_, {});
    fleet_.loop().after(kEmptyFor, [this, listed] { tell(2, listed); });
    fleet_.loop().after(kEmptyFor + kDrainAfter, [this] { drain_one(); });
  } else if (which_ == PowerLossCase::kDiscoveryDown) {
    fleet_.loop().after(kDownFor, [this, listed] { fleet_.start_discovery(kGenerationBefore, listed); });
  } else {
    fleet_.start_discovery(kGenerationBefore, listed);
  }
  calls_at_ = returned_ = LoopClock::now();
  fleet_.start_all_nodes();
  result_.listening.assign(static_cast<std::size_t>(plan_.fleet.nodes), -1);
}

void Play::drain_one() {
  std::vector<ListedExecutor> list = fleet_.listed();
  list.front().lifecycle = "leaving";
  drained_ = true;
  drained_at_ = LoopClock::now();
  tell(3, list);
}

void Play::look() {
  for (std::size_t i = 0; i < result_.listening.size(); ++i)
    if (result_.listening[i] < 0 && fleet_.listening(static_cast<int>(i)))
      result_.listening[i] = since(returned_);
  if (since(calls_at_) < 1) return;
  const std::uint64_t calls = fleet_.discovery_calls();
  const double span = since(calls_at_);
  if (calls >= calls_before_)
    result_.discovery_calls_peak =
        std::max(result_.discovery_calls_peak, static_cast<double>(calls - calls_before_) / span);
  calls_before_ = calls;
  calls_at_ = LoopClock::now();
}

void Play::watch_until(double seconds) {
  while (since(returned_) < seconds) {
    fleet_.run(kSample);
    look();
  }
}

PowerLossResult Play::run() {
  start();
  lose_power();
  return_power();
  watch_until(plan_.after);
  workload_.stop();
  const LoopTime stopped = LoopClock::now();
  fleet_.run(kMostDraining, [this] { return workload_.open() == 0; });
  result_.first_served = workload_.first_served_after(returned_);
  result_.rate_restored = workload_.rate_reached_after(returned_, kRestoredShare * plan_.rate);
  result_.requests = workload_.requests();
  result_.given_up = workload_.given_up();
  result_.unanswered = workload_.open();
  result_.refused = workload_.answers(503) + workload_.answers(429);
  result_.failed = workload_.answers(502);
  result_.unreachable = workload_.answers(0);
  result_.effects_twice = fleet_.ledger().repeated_effects().size();
  if (drained_)
    result_.drained_sends = fleet_.ledger().begun(0, drained_at_ + seconds_of(kDrainGrace), stopped);
  result_.nodes_with_new_list = fleet_.nodes_that_logged("version " + std::to_string(generation_));
  return result_;
}

std::string number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f", value);
  return value < 0 ? "never" : text;
}

}  // namespace

const char* name_of(PowerLossCase which) {
  switch (which) {
    case PowerLossCase::kDiscoveryAsBefore:
      return "discovery-as-before";
    case PowerLossCase::kDiscoveryForgot:
      return "discovery-forgot";
    case PowerLossCase::kDiscoveryDown:
      return "discovery-down";
    case PowerLossCase::kExecutorsCold:
      return "executors-cold";
    case PowerLossCase::kRepeatsAcrossTheLoss:
      return "repeats";
  }
  return "";
}

PowerLossResult play(const PowerLossPlan& plan, PowerLossCase which) {
  return Play(plan, which).run();
}

std::string table_head() {
  return "case                 seed first rate90 listen-first listen-last requests gave-up open  503   502   "
         "  0"
         " twice calls/s drained-sends new-list\n";
}

std::string table_row(PowerLossCase which, std::uint64_t seed, const PowerLossResult& result) {
  const auto [first, last] = std::ranges::minmax(result.listening);
  char row[200];
  std::snprintf(row, sizeof row,
                "%-20s %4llu %5s %6s %12s %11s %8zu %7zu %4zu %4zu %5zu %5zu %5zu %7s %13d %8d\n",
                name_of(which), static_cast<unsigned long long>(seed), number(result.first_served).c_str(),
                number(result.rate_restored).c_str(), number(first).c_str(), number(last).c_str(),
                result.requests, result.given_up, result.unanswered, result.refused, result.failed,
                result.unreachable, result.effects_twice, number(result.discovery_calls_peak).c_str(),
                result.drained_sends, result.nodes_with_new_list);
  return row;
}

}  // namespace canvasstage::lab::fleet
