#include "fleet/power_loss.h"

#include <algorithm>
#include <cstdio>

#include "fleet/workload.h"

namespace canvasstage::lab::fleet {
namespace {

constexpr std::uint64_t kGenerationBefore = 41;
constexpr double kReadyTimeout = 30;   // seconds until all nodes listen after the first start
constexpr double kAnswerTimeout = 60;  // seconds until every client has its answer or gives up
// Seconds for which a discovery that lost its state lists no executor.
constexpr double kEmptyListDuration = 5;
constexpr double kDiscoveryDownDuration = 20;  // seconds until discovery restarts
constexpr double kDrainDelay = 3;              // seconds from the complete list to the drain
constexpr double kRestoredShare = 0.9;         // of the planned request rate
constexpr double kSampleInterval = 0.05;       // seconds between two samples of the nodes' state

double seconds_since(LoopTime then) {
  return std::chrono::duration<double>(LoopClock::now() - then).count();
}

bool executors_lose_power(PowerLossCase which) {
  return which == PowerLossCase::kExecutorsCold || which == PowerLossCase::kRepeatsAcrossTheLoss;
}

class PowerLossRun {
 public:
  PowerLossRun(const PowerLossPlan& plan, PowerLossCase which)
      : plan_(plan), which_(which), fleet_(plan.fleet), workload_(fleet_, workload(plan, which)) {}
  PowerLossResult run();

 private:
  static WorkloadPlan workload(const PowerLossPlan& plan, PowerLossCase which);
  void start();
  void lose_power();
  void restore_power();
  void publish_list(std::uint64_t generation, const std::vector<ListedExecutor>& list);
  void drain_first_executor();
  void sample();
  void watch_until(double seconds);
  const PowerLossPlan& plan_;
  const PowerLossCase which_;
  Fleet fleet_;
  Workload workload_;
  LoopTime restarted_at_;
  PowerLossResult result_;
  std::uint64_t generation_ = kGenerationBefore;
  std::uint64_t calls_before_ = 0;
  LoopTime calls_sampled_at_;
  LoopTime drained_at_;
  bool has_drained_ = false;
};

WorkloadPlan PowerLossRun::workload(const PowerLossPlan& plan, PowerLossCase which) {
  WorkloadPlan load;
  load.rate = plan.rate;
  load.time_left = plan.time_left;
  load.resends_failed = which == PowerLossCase::kRepeatsAcrossTheLoss;
  if (load.resends_failed) load.keyed_share = 1;
  return load;
}

void PowerLossRun::start() {
  fleet_.start_executors();
  fleet_.start_discovery(kGenerationBefore, fleet_.executor_list());
  fleet_.start_clients();
  fleet_.start_all_nodes();
  if (!fleet_.run(kReadyTimeout, [this] { return fleet_.all_listening(); }))
    throw StandinError("the fleet is not listening after 30 s");
  workload_.start();
  fleet_.run(plan_.before);
}

void PowerLossRun::lose_power() {
  const std::vector<ListedExecutor> executor_list = fleet_.executor_list();
  const bool executors_too = executors_lose_power(which_);
  fleet_.lose_power(executors_too ? Fleet::Scope::kAll : Fleet::Scope::kExecutorsRun);
  if (executors_too) fleet_.start_executors();
  if (which_ != PowerLossCase::kDiscoveryDown) fleet_.configure_known_list(kGenerationBefore, executor_list);
}

void PowerLossRun::publish_list(std::uint64_t generation, const std::vector<ListedExecutor>& list) {
  generation_ = generation;
  fleet_.publish_list(generation, list);
}

void PowerLossRun::restore_power() {
  const std::vector<ListedExecutor> executor_list = fleet_.executor_list();
  if (executors_lose_power(which_)) {
    generation_ = kGenerationBefore + 1;
    fleet_.start_discovery(generation_, executor_list);
  } else if (which_ == PowerLossCase::kDiscoveryForgot) {
    generation_ = 1;
    fleet_.start_discovery(generation_, {});
    fleet_.loop().after(kEmptyListDuration, [this, executor_list] { publish_list(2, executor_list); });
    fleet_.loop().after(kEmptyListDuration + kDrainDelay, [this] { drain_first_executor(); });
  } else if (which_ == PowerLossCase::kDiscoveryDown) {
    fleet_.loop().after(kDiscoveryDownDuration,
                        [this, executor_list] { fleet_.start_discovery(kGenerationBefore, executor_list); });
  } else {
    fleet_.start_discovery(kGenerationBefore, executor_list);
  }
  calls_sampled_at_ = restarted_at_ = LoopClock::now();
  fleet_.start_all_nodes();
  result_.listening.assign(static_cast<std::size_t>(plan_.fleet.nodes), -1);
}

void PowerLossRun::drain_first_executor() {
  std::vector<ListedExecutor> list = fleet_.executor_list();
  list.front().lifecycle = "leaving";
  has_drained_ = true;
  drained_at_ = LoopClock::now();
  publish_list(3, list);
}

void PowerLossRun::sample() {
  for (std::size_t i = 0; i < result_.listening.size(); ++i)
    if (result_.listening[i] < 0 && fleet_.listening(static_cast<int>(i)))
      result_.listening[i] = seconds_since(restarted_at_);
  if (seconds_since(calls_sampled_at_) < 1) return;
  const std::uint64_t calls = fleet_.discovery_calls();
  const double span = seconds_since(calls_sampled_at_);
  if (calls >= calls_before_)
    result_.discovery_calls_peak =
        std::max(result_.discovery_calls_peak, static_cast<double>(calls - calls_before_) / span);
  calls_before_ = calls;
  calls_sampled_at_ = LoopClock::now();
}

void PowerLossRun::watch_until(double seconds) {
  while (seconds_since(restarted_at_) < seconds) {
    fleet_.run(kSampleInterval);
    sample();
  }
}

PowerLossResult PowerLossRun::run() {
  start();
  lose_power();
  restore_power();
  watch_until(plan_.after);
  workload_.stop();
  const LoopTime stopped = LoopClock::now();
  fleet_.run(kAnswerTimeout, [this] { return workload_.open() == 0; });
  result_.first_served = workload_.first_served_after(restarted_at_);
  result_.rate_restored = workload_.rate_reached_after(restarted_at_, kRestoredShare * plan_.rate);
  result_.requests = workload_.requests();
  result_.given_up = workload_.given_up();
  result_.unanswered = workload_.open();
  result_.refused = workload_.answers(503) + workload_.answers(429);
  result_.failed = workload_.answers(502);
  result_.unreachable = workload_.answers(0);
  result_.effects_twice = fleet_.ledger().repeated_effects().size();
  if (has_drained_)
    result_.drained_sends =
        fleet_.ledger().attempts_started(0, drained_at_ + seconds_of(kDrainGrace), stopped);
  result_.nodes_with_new_list = fleet_.nodes_that_logged("version " + std::to_string(generation_));
  return result_;
}

std::string format_value(double value) {
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
  return PowerLossRun(plan, which).run();
}

std::string table_head() {
  return "case                 seed first rate90 listen-first listen-last requests gave-up open  503   502   "
         "  0"
         " twice calls/s drained-sends new-list\n";
}

std::string table_row(PowerLossCase which, std::uint64_t seed, const PowerLossResult& result) {
  const auto [first, last] = std::ranges::minmax(result.listening);
  char row[200];
  std::snprintf(
      row, sizeof row, "%-20s %4llu %5s %6s %12s %11s %8zu %7zu %4zu %4zu %5zu %5zu %5zu %7s %13d %8d\n",
      name_of(which), static_cast<unsigned long long>(seed), format_value(result.first_served).c_str(),
      format_value(result.rate_restored).c_str(), format_value(first).c_str(), format_value(last).c_str(),
      result.requests, result.given_up, result.unanswered, result.refused, result.failed, result.unreachable,
      result.effects_twice, format_value(result.discovery_calls_peak).c_str(), result.drained_sends,
      result.nodes_with_new_list);
  return row;
}

}  // namespace canvasstage::lab::fleet
