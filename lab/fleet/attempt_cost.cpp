#include "fleet/attempt_cost.h"

#include <cstdio>
#include <cstdlib>

#include "fleet/workload.h"

namespace canvasstage::lab::fleet {
namespace {

constexpr double kStartTimeout = 20;   // seconds until the node listens
constexpr double kWarmUpDuration = 3;  // seconds of load before the measurement
constexpr double kEndTimeout = 10;     // seconds until all requests, or the node, have ended

double quantile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) return 0;
  return sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

FleetPlan fleet_of(const AttemptCostPlan& plan) {
  FleetPlan fleet = plan.fleet;
  fleet.nodes = 1;
  fleet.recovery = true;
  if (!plan.logged) fleet.recovery_tables = "[attempts]\nenabled = false\n";
  if (plan.sync_ms <= 0) return fleet;
  fleet.programs.node = fleet.programs.node_on_lossy_disk;
  fleet.environment = [sync_ms = plan.sync_ms](int) {
    return std::vector<std::string>{"LAB_DISK_SYNC_MS=" + std::to_string(sync_ms)};
  };
  return fleet;
}

}  // namespace

AttemptCost measure(const AttemptCostPlan& plan) {
  Fleet fleet(fleet_of(plan));
  fleet.start_executors();
  fleet.start_discovery(1, fleet.executor_list());
  fleet.start_clients();
  fleet.start_node(0);
  if (!fleet.run(kStartTimeout, [&] { return fleet.all_listening(); }))
    throw StandinError("the node is not listening after 20 s");
  WorkloadPlan load;
  load.rate = plan.rate;
  load.keyed_share = 1;
  Workload warm_up(fleet, load), measured(fleet, load);
  warm_up.start();
  fleet.run(kWarmUpDuration);
  warm_up.stop();
  fleet.run(kEndTimeout, [&] { return warm_up.open() == 0; });
  const double cpu_before = fleet.node(0).cpu_seconds();
  const LoopTime started_at = LoopClock::now();
  measured.start();
  fleet.run(plan.seconds);
  const double seconds = std::chrono::duration<double>(LoopClock::now() - started_at).count();
  AttemptCost cost;
  cost.cpu_share = (fleet.node(0).cpu_seconds() - cpu_before) / seconds;
  cost.memory_mb = fleet.node(0).memory_mb();
  measured.stop();
  fleet.run(kEndTimeout, [&] { return measured.open() == 0; });
  const std::vector<double> latencies = measured.latencies();
  cost.median_ms = quantile(latencies, 0.5) * 1000;
  cost.p99_ms = quantile(latencies, 0.99) * 1000;
  cost.served = measured.answers(200);
  cost.refused = measured.answers(503);
  fleet.node(0).terminate();
  fleet.run(kEndTimeout, [&] { return fleet.node(0).ended(); });
  const double total_seconds =
      std::chrono::duration<double>(LoopClock::now() - started_at).count() + kWarmUpDuration;
  cost.commits = std::atof(fleet.node(0).last_word("recovery: commits of the store").c_str()) / total_seconds;
  return cost;
}

std::string attempt_cost_head() {
  return "logged sync_ms rate  p50_ms p99_ms cpu_share memory_mb commits/s served refused\n";
}

std::string attempt_cost_row(const AttemptCostPlan& plan, const AttemptCost& cost) {
  char row[160];
  std::snprintf(row, sizeof row, "%6s %7.0f %4.0f %7.2f %6.2f %9.4f %9.1f %9.1f %6zu %7zu\n",
                plan.logged ? "yes" : "no", plan.sync_ms, plan.rate, cost.median_ms, cost.p99_ms,
                cost.cpu_share, cost.memory_mb, cost.commits, cost.served, cost.refused);
  return row;
}

}  // namespace canvasstage::lab::fleet
