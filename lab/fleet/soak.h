// Soak test: runs a few dozen real processes under load with overlapping troubles. Nodes are stopped, killed,
// paused and reloaded, links break, executors crash, hang and drain, discovery disappears, system calls fail,
// clocks are stepped and clients disconnect. The seed determines the kind, time and target of each trouble.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "fleet/soak_judge.h"

namespace canvasstage::lab::fleet {

// A kind of disturbance that the soak test injects.
enum class Trouble {
  kStopNode,
  kKillNode,
  kReloadNode,
  kHoldNode,
  kDiscoveryLink,
  kDiscoveryDown,
  kExecutorLink,
  kExecutorsCrash,
  kExecutorsDrain,
  kAttemptFault,
  kSystemCalls,
  kThreadsRefused,
  kDisk,
  kWallClock,
  kBurst
};
constexpr Trouble kTroubles[] = {Trouble::kStopNode,     Trouble::kKillNode,       Trouble::kReloadNode,
                                 Trouble::kHoldNode,     Trouble::kDiscoveryLink,  Trouble::kDiscoveryDown,
                                 Trouble::kExecutorLink, Trouble::kExecutorsCrash, Trouble::kExecutorsDrain,
                                 Trouble::kAttemptFault, Trouble::kSystemCalls,    Trouble::kThreadsRefused,
                                 Trouble::kDisk,         Trouble::kWallClock,      Trouble::kBurst};
const char* name_of(Trouble trouble);

struct SoakPlan {
  FleetPlan fleet;
  double seconds = 20;
  double rate = 400;            // requests per second over all nodes
  double disconnecting = 0.15;  // share of the requests whose client disconnects early
  double stalling = 0.01;    // share of the requests whose client sends half of them and keeps the connection
  int troubles_at_once = 6;  // maximum; each begins and ends independently
  // Seconds for which one node gets most troubles and about a third of the requests.
  double focus = 3;
  std::vector<Trouble> troubles{std::begin(kTroubles), std::end(kTroubles)};
};

struct SoakReport {
  std::vector<std::string> violations;
  SoakCounts counts;
  std::map<std::string, int> troubles;  // number of starts, by name
  std::uint64_t failed_calls = 0;       // injected system-call failures
  std::string timeline;                 // one line per trouble
  std::vector<std::string> logs;        // by node, over all its processes
};

// Returns the default plan: 16 nodes and 16 executors in 8 processes.
SoakPlan usual_soak(std::uint64_t seed);
// Runs the soak test; returns once all troubles, requests and nodes have ended or timed out.
SoakReport play(const SoakPlan& plan);
std::string soak_table_head();
std::string soak_table_row(std::uint64_t seed, const SoakReport& report);

}  // namespace canvasstage::lab::fleet
