// What is emulated. Spans are seconds, rates are for each second; work is seconds on an executor of speed 1.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "policy.h"

namespace canvasstage::lab {

struct BadScenario : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct WorkClass {
  std::string name = "job";
  double share = 1;
  double work = 0.1;   // mean
  double spread = 1;   // coefficient of variation; 1: exponential, 0: always the mean, else log-normal
  double agreed = 1;   // in time by then, and
  double stretch = 2;  // this multiple of its own work
  double limit = 5;    // the client waits no longer
  double value = 1;
  double late_value = 0;  // the part that is earned late
  Effect effect = Effect::kIdempotent;
  IdempotencyScope group = IdempotencyScope::kAll;
  double window = 10;
  int width = 1;  // slots
};

// From `at` on for `length`; what it strikes is drawn from the seed unless a zone is named.
struct Fault {
  enum class Kind {
    kCrash,      // connections break, new ones are refused; comes back cold
    kVanish,     // says nothing; connections that were open break when it is back
    kHang,       // takes jobs and does not begin them
    kSlow,       // by `size`
    kFail,       // this part of its jobs fails at once
    kDrain,      // leaves the list in order, and comes back cold
    kPartition,  // nothing passes between the zone and the others
    kLoss,       // this part of the messages is lost, and their connection breaks
    kDiscovery,  // discovery is down
    kBurst,      // arrivals times `size`
  };
  Kind kind = Kind::kCrash;
  double at = 0, length = 1;
  double part = 0.1;  // of the executors
  double size = 1;
  int zone = -1;
};

struct Scenario {
  std::string name = "scenario";
  double length = 60, warm_up = 5;  // what comes before that is not measured
  int nodes = 2, executors = 8, zones = 1;
  std::string policy = "node";  // node, random, round_robin, least_outstanding, d_of_uniform
  int choices = 2;              // of d_of_uniform
  double load = 0.5;            // of what all executors can do
  std::vector<WorkClass> classes{WorkClass{}};
  double retries = 0, back_off = 0.05;  // after a refusal
  double leaves = 0;                    // this part of the clients goes away before its limit
  double node_skew = 0;                 // of traffic between nodes: 0 alike, 1 up to twice the mean
  double node_spread = 0;               // the same, log-normal: coefficient of variation
  double idle_nodes = 0;                // this part of the nodes gets nothing

  int slots = 4, queue = 16;
  double speed = 1, speed_spread = 0;     // coefficient of variation, drawn once for each executor
  double cold_from = 0.5, warm_span = 0;  // capacity after a start, and how long it takes to grow to the full
  bool cancels_running = true;
  bool tells_start = true;  // executors tell a node that its submission has begun

  double delay = 0.0002, zone_delay = 0.005, jitter = 0.1;  // one way; jitter is a part of it
  double handshake = 0;                                     // work at the executor for a new connection
  double connect_within = 0.25, idle = 30;
  int descriptors = 1024;
  double clocks_apart = 0;  // a node's clock is off by up to this

  double list_delay = 0.5;   // until discovery knows
  double list_calls = 1000;  // that it answers a second
  double list_patience = 1;  // it refuses a call that has waited longer, which costs a turn all the same
  double ask_within = 10, drain_grace = 1.5;
  bool cancelling = true;
  int most_launches = 5;
  double connection_price = 0;
  double fall_multiple = 3, fall_span = 1.5;
  std::vector<Fault> faults;

  double mean_work() const;  // of a job, over its slots
  double arrivals() const;   // a second, from the load
  // Throws with the field named.
  void check() const;
};

}  // namespace canvasstage::lab
