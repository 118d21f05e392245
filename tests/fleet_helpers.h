// Helpers that set up a small fleet of real nodes, with clients.
#pragma once

#include <gtest/gtest.h>

#include "fleet/fleet.h"
#include "fleet/workload.h"

namespace canvasstage::lab::fleet {

constexpr double kStartTimeout = 20;  // seconds
constexpr std::uint64_t kGeneration = 41;

inline FleetPlan small_fleet(std::uint64_t seed = 1) {
  FleetPlan plan;
  plan.programs = programs_beside();
  plan.nodes = 3;
  plan.executors = 4;
  plan.seed = seed;
  plan.recovery = true;
  return plan;
}

inline void start_nodes(Fleet& fleet) {
  fleet.start_all_nodes();
  ASSERT_TRUE(fleet.run(kStartTimeout, [&] { return fleet.all_listening(); })) << fleet.node_log(0);
}

inline void start_all(Fleet& fleet) {
  fleet.start_executors();
  fleet.start_discovery(kGeneration, fleet.executor_list());
  fleet.start_clients();
  start_nodes(fleet);
}

// Waits until every node has saved its list, so that a power loss does not lose it.
inline void wait_for_saved_lists(Fleet& fleet) {
  constexpr double kSaveDuration = 2;  // seconds; a list is on the disk after at most 0.6 s
  fleet.run(kSaveDuration);
}

}  // namespace canvasstage::lab::fleet
