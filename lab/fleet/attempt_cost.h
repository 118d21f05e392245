// Measures what the attempt log costs a node: the latency of its requests, its processor time, memory and
// syncs.
#pragma once

#include <cstdint>
#include <string>

#include "fleet/fleet.h"

namespace canvasstage::lab::fleet {

struct AttemptCostPlan {
  FleetPlan fleet;     // its nodes, recovery and environment are set by the measurement
  double rate = 22;    // requests a second, all keyed
  double seconds = 6;  // that are measured
  bool logged = true;
  double sync_ms = 0;  // of the disk; 0: the machine's own
};

struct AttemptCost {
  double median_ms = 0, high_ms = 0;  // of requests served at the first try; high: the 99th percentile
  double cpu_share = 0;               // of a core
  double memory_mb = 0;               // resident, at the end
  double commits = 0;                 // of the store, a second; each is one sync of its log
  std::size_t served = 0, refused = 0;
};

AttemptCost measure(const AttemptCostPlan& plan);
std::string attempt_cost_head();
std::string attempt_cost_row(const AttemptCostPlan& plan, const AttemptCost& cost);

}  // namespace canvasstage::lab::fleet
