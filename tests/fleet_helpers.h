// A small fleet of real nodes that is up and has clients.
#pragma once

#include <gtest/gtest.h>

#include "fleet/fleet.h"
#include "fleet/workload.h"

namespace canvasstage::lab::fleet {

constexpr double kMostStarting = 20;  // seconds that a test waits for the fleet
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
  ASSERT_TRUE(fleet.run(kMostStarting, [&] { return fleet.all_listening(); })) << fleet.node_log(0);
}

inline void start_all(Fleet& fleet) {
  fleet.start_executors();
  fleet.start_discovery(kGeneration, fleet.listed());
  fleet.start_clients();
  start_nodes(fleet);
}

// Every node has written the list that it holds: a power loss takes nothing of it.
inline void wait_for_saved_lists(Fleet& fleet) {
  constexpr double kSaved = 2;  // seconds: a list goes to the disk within 0.1 s and half a second more
  fleet.run(kSaved);
}

}  // namespace canvasstage::lab::fleet
