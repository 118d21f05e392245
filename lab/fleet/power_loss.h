// Measures how a fleet recovers when all of it loses power and restarts in a given order.
#pragma once

#include <string>
#include <vector>

#include "fleet/fleet.h"

namespace canvasstage::lab::fleet {

enum class PowerLossCase {
  kDiscoveryAsBefore,     // discovery restarts at once with its old list
  kDiscoveryForgot,       // restarts with generation 1 and an empty list; full list 5 s later, then a drain
  kDiscoveryDown,         // discovery restarts 20 s after the rest
  kExecutorsCold,         // the executors lose power too
  kRepeatsAcrossTheLoss,  // as kExecutorsCold; clients resend each keyed request until it is served
};
constexpr PowerLossCase kPowerLossCases[] = {
    PowerLossCase::kDiscoveryAsBefore, PowerLossCase::kDiscoveryForgot, PowerLossCase::kDiscoveryDown,
    PowerLossCase::kExecutorsCold, PowerLossCase::kRepeatsAcrossTheLoss};
const char* name_of(PowerLossCase which);

struct PowerLossPlan {
  FleetPlan fleet;
  double rate = 120;     // requests per second over all nodes
  double before = 3;     // seconds of service before the loss
  double after = 30;     // seconds of observation from the restart of the nodes
  double time_left = 5;  // seconds, as sent with each try
};

// Times are in seconds from the restart of the nodes; negative: never.
struct PowerLossResult {
  double first_served = -1, rate_restored = -1;  // restored: 90 % of the request rate
  std::vector<double> listening;                 // time of each node
  std::size_t requests = 0, given_up = 0, unanswered = 0;
  std::size_t refused = 0, failed = 0, unreachable = 0;  // counted per try
  std::size_t effects_twice = 0;
  double discovery_calls_peak = 0;  // highest rate, calls per second
  // Attempts started at the draining executor after its grace period; negative: none was drained.
  int drained_sends = -1;
  int nodes_with_new_list = 0;  // nodes that adopted the list of the last published generation
};

PowerLossResult play(const PowerLossPlan& plan, PowerLossCase which);
std::string table_head();
std::string table_row(PowerLossCase which, std::uint64_t seed, const PowerLossResult& result);

}  // namespace canvasstage::lab::fleet
