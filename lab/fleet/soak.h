// A play of a few dozen real processes under load in which troubles overlap: nodes are stopped, killed, held
// up and told new settings, links break, executors crash, hang and drain, discovery goes away, system calls
// fail, clocks are stepped, clients leave. Which, when and where follows from the seed.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "fleet/soak_judge.h"

namespace canvasstage::lab::fleet {

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
  kJobFault,
  kSystemCalls,
  kThreadsRefused,
  kDisk,
  kWallClock,
  kBurst
};
constexpr Trouble kTroubles[] = {Trouble::kStopNode,     Trouble::kKillNode,       Trouble::kReloadNode,
                                 Trouble::kHoldNode,     Trouble::kDiscoveryLink,  Trouble::kDiscoveryDown,
                                 Trouble::kExecutorLink, Trouble::kExecutorsCrash, Trouble::kExecutorsDrain,
                                 Trouble::kJobFault,     Trouble::kSystemCalls,    Trouble::kThreadsRefused,
                                 Trouble::kDisk,         Trouble::kWallClock,      Trouble::kBurst};
const char* name_of(Trouble trouble);

struct SoakPlan {
  FleetPlan fleet;
  double seconds = 20;
  double rate = 400;         // requests a second over all nodes
  double leaving = 0.15;     // share of the requests whose client leaves early
  double halting = 0.01;     // share whose client writes half of it and stays
  int troubles_at_once = 6;  // each begins and ends by itself
  double focus = 3;          // seconds for which one node gets most troubles, and a third of the requests
  std::vector<Trouble> troubles{std::begin(kTroubles), std::end(kTroubles)};
};

struct SoakReport {
  std::vector<std::string> violations;
  SoakCounts counts;
  std::map<std::string, int> troubles;  // how often each began
  std::uint64_t failed_calls = 0;       // system calls that were made to fail
  std::string timeline;                 // a line for each trouble
  std::vector<std::string> logs;        // of each node, of all its processes
};

// Nodes, executors and links of a usual soak.
SoakPlan usual_soak(std::uint64_t seed);
SoakReport play(const SoakPlan& plan);
std::string soak_table_head();
std::string soak_table_row(std::uint64_t seed, const SoakReport& report);

}  // namespace canvasstage::lab::fleet
