// Measures what a fleet does when all of it loses power and comes back in a chosen order.
#pragma once

#include <string>
#include <vector>

#include "fleet/fleet.h"

namespace canvasstage::lab::fleet {

enum class PowerLossCase {
  kDiscoveryAsBefore,     // discovery is back at once with the list that it had
  kDiscoveryForgot,       // back with generation 1 and no executor, all of them 5 s later, then a drain
  kDiscoveryDown,         // 20 s later than the rest
  kExecutorsCold,         // the executors lost power too
  kRepeatsAcrossTheLoss,  // every client repeats each keyed request until it is served
};
constexpr PowerLossCase kPowerLossCases[] = {
    PowerLossCase::kDiscoveryAsBefore, PowerLossCase::kDiscoveryForgot, PowerLossCase::kDiscoveryDown,
    PowerLossCase::kExecutorsCold, PowerLossCase::kRepeatsAcrossTheLoss};
const char* name_of(PowerLossCase which);

struct PowerLossPlan {
  FleetPlan fleet;
  double rate = 120;     // requests a second over all nodes
  double before = 3;     // seconds of service before the loss
  double after = 30;     // seconds that are watched from the return of the nodes on
  double time_left = 5;  // seconds that each try tells its node
};

// Times in seconds from the moment in which the nodes were started again; negative: never.
struct PowerLossResult {
  double first_served = -1, rate_restored = -1;  // restored: nine in ten of the requests a second of before
  std::vector<double> listening;                 // of each node
  std::size_t requests = 0, given_up = 0, unanswered = 0;
  std::size_t refused = 0, failed = 0, unreachable = 0;  // tries
  std::size_t effects_twice = 0;
  double discovery_calls_peak = 0;  // in one second
  int drained_sends = -1;           // to a draining executor after the grace; negative: none drained
  int nodes_with_new_list = 0;      // that took a list of the generation told last
};

PowerLossResult play(const PowerLossPlan& plan, PowerLossCase which);
std::string table_head();
std::string table_row(PowerLossCase which, std::uint64_t seed, const PowerLossResult& result);

}  // namespace canvasstage::lab::fleet
