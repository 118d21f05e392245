// Parameters of an emulated fleet and its load. Durations are in seconds, rates per second; work is in
// seconds on an executor of speed 1. Keys in experiment files differ from the member names: see
// experiment/fields.h.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "policy.h"

namespace canvasstage::lab {

// A parameter is out of range; the message starts with its key.
struct BadScenario : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One kind of request; becomes a use case in the settings of a node.
struct WorkClass {
  std::string name = "job";
  double share = 1;
  double work = 0.1;   // mean
  double work_cv = 1;  // coefficient of variation; 1: exponential, 0: constant, else log-normal
  // An answer is in time within target_latency + target_latency_per_work * work of the request.
  double target_latency = 1;
  double target_latency_per_work = 2;
  double deadline = 5;  // the client waits no longer than this
  double value = 1;
  double late_value = 0;  // share of `value` earned by a late answer
  Effect effect = Effect::kIdempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::kAll;
  double idempotency_window = 10;
  int width = 1;  // slots that a request occupies
};

// A fault that lasts from `start` for `duration`. The affected executors are drawn from the seed unless a
// zone is given.
struct Fault {
  enum class Kind {
    kCrash,      // connections break and new ones are refused; the executor returns cold
    kVanish,     // the executor does not respond; its open connections break when it returns
    kHang,       // the executor accepts attempts and starts none
    kSlow,       // `magnitude` divides the speed of the executor
    kFail,       // attempts fail at once with probability `magnitude`
    kDrain,      // the executor is listed as draining, then removed, and returns cold
    kPartition,  // no message passes between the zone and the others
    kLoss,       // messages are lost with probability `share`, and their connections break
    kDiscovery,  // discovery is down
    kBurst,      // the arrival rate is multiplied by `magnitude`
  };
  Kind kind = Kind::kCrash;
  double start = 0, duration = 1;
  double share = 0.1;  // of the executors, rounded up
  double magnitude = 1;
  int zone = -1;  // -1: none given
};

// The fleet, its network, the load and the faults of one run.
struct Scenario {
  std::string name = "scenario";
  // Arrivals stop at `length`; requests sent before measurement_start are not measured.
  double length = 60, measurement_start = 5;
  int nodes = 2, executors = 8, zones = 1;
  std::string policy = "node";  // node, random, round_robin, least_outstanding, d_of_uniform
  int choice_count = 2;         // candidates that d_of_uniform draws
  double load = 0.5;            // share of the capacity of all executors
  std::vector<WorkClass> classes{WorkClass{}};
  // A client retries after a shed answer, and after any failure of an idempotent request.
  double max_retries = 0, retry_backoff = 0.05;
  double disconnect_share = 0;  // share of the clients that disconnect before the deadline
  double node_load_skew = 0;    // uneven traffic: 0 equal shares, 1 up to twice the mean
  double node_load_cv = 0;      // uneven traffic: coefficient of variation of a log-normal factor
  double idle_node_share = 0;   // share of the nodes that receive no traffic

  int slots = 4, queue_capacity = 16;
  double speed = 1, speed_cv = 0;  // speed is drawn once for each executor
  // Share of the full capacity right after a start, and the time in which it grows to all of it.
  double cold_start_share = 0.5, executor_warm_up = 0;
  bool can_cancel_running = true;
  bool reports_start = true;  // executors report the start of an attempt to its node

  // One-way network delay; jitter adds up to this share of it.
  double same_zone_delay = 0.0002, cross_zone_delay = 0.005, jitter = 0.1;
  double handshake_work = 0;  // work at the executor for a new connection
  double connect_timeout = 0.25, connection_idle_timeout = 30;
  int descriptor_limit = 1024;
  double max_clock_offset = 0;  // the clock of a node is ahead by up to this

  double membership_propagation_delay = 0.5;  // until discovery learns of a change
  double membership_calls_per_second = 1000;  // capacity of discovery
  // Discovery refuses a call that would wait longer; the call uses capacity all the same.
  double membership_call_timeout = 1;
  double max_membership_age = 10, drain_grace = 1.5;
  bool can_cancel = true;
  int max_attempts = 5;
  double connection_cost = 0;
  double overload_multiple = 3, overload_span = 1.5;
  std::vector<Fault> faults;

  double mean_work() const;     // mean over the classes of work times slots
  double arrival_rate() const;  // requests per second at `load`
  // Throws BadScenario if a parameter is out of range.
  void validate() const;
};

}  // namespace canvasstage::lab
