// Measures the cost of the attempt log for a node: request latency, CPU time, memory and store commits.
#pragma once

#include <cstdint>
#include <string>

#include "fleet/fleet.h"

namespace canvasstage::lab::fleet {

struct AttemptCostPlan {
  FleetPlan fleet;     // the measurement sets its nodes, recovery and environment
  double rate = 22;    // requests per second, all keyed
  double seconds = 6;  // duration of the measurement, in seconds
  bool logged = true;  // whether the attempt log is enabled
  double sync_ms = 0;  // simulated duration of a disk sync; 0: uses the real disk
};

struct AttemptCost {
  double median_ms = 0, p99_ms = 0;  // latency of requests served at the first try
  double cpu_share = 0;              // of one CPU core
  double memory_mb = 0;              // resident memory at the end
  double commits = 0;                // commits of the store per second; each one syncs its log once
  std::size_t served = 0, refused = 0;
};

AttemptCost measure(const AttemptCostPlan& plan);
std::string attempt_cost_head();
std::string attempt_cost_row(const AttemptCostPlan& plan, const AttemptCost& cost);

}  // namespace canvasstage::lab::fleet
