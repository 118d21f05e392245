// The keys of experiment files with the members that they set, and the available measures.
#pragma once

#include <string>
#include <vector>

#include "experiment/experiment.h"

namespace canvasstage::lab {

// Each overload of for_each_field() calls visit(key, member) for every field of the struct.
template <class Visit>
void for_each_field(Scenario& s, Visit visit) {
  visit("name", s.name);
  visit("length", s.length);
  visit("warm_up", s.measurement_start);
  visit("nodes", s.nodes);
  visit("executors", s.executors);
  visit("zones", s.zones);
  visit("policy", s.policy);
  visit("choices", s.choice_count);
  visit("load", s.load);
  visit("retries", s.max_retries);
  visit("back_off", s.retry_backoff);
  visit("leaves", s.disconnect_share);
  visit("node_skew", s.node_load_skew);
  visit("node_spread", s.node_load_cv);
  visit("idle_nodes", s.idle_node_share);
  visit("slots", s.slots);
  visit("queue", s.queue_capacity);
  visit("speed", s.speed);
  visit("speed_spread", s.speed_cv);
  visit("cold_from", s.cold_start_share);
  visit("warm_span", s.executor_warm_up);
  visit("cancels_running", s.can_cancel_running);
  visit("tells_start", s.reports_start);
  visit("delay", s.same_zone_delay);
  visit("zone_delay", s.cross_zone_delay);
  visit("jitter", s.jitter);
  visit("handshake", s.handshake_work);
  visit("connect_within", s.connect_timeout);
  visit("idle", s.connection_idle_timeout);
  visit("descriptors", s.descriptor_limit);
  visit("clocks_apart", s.max_clock_offset);
  visit("list_delay", s.membership_propagation_delay);
  visit("list_calls", s.membership_calls_per_second);
  visit("list_patience", s.membership_call_timeout);
  visit("ask_within", s.max_membership_age);
  visit("drain_grace", s.drain_grace);
  visit("cancelling", s.can_cancel);
  visit("most_launches", s.max_attempts);
  visit("connection_price", s.connection_cost);
  visit("fall_multiple", s.overload_multiple);
  visit("fall_span", s.overload_span);
}

template <class Visit>
void for_each_field(WorkClass& c, Visit visit) {
  visit("name", c.name);
  visit("share", c.share);
  visit("work", c.work);
  visit("spread", c.work_cv);
  visit("agreed", c.target_latency);
  visit("stretch", c.target_latency_per_work);
  visit("limit", c.deadline);
  visit("value", c.value);
  visit("late_value", c.late_value);
  visit("window", c.idempotency_window);
  visit("width", c.width);
}

template <class Visit>
void for_each_field(Fault& f, Visit visit) {
  visit("at", f.start);
  visit("length", f.duration);
  visit("part", f.share);
  visit("size", f.magnitude);
  visit("zone", f.zone);
}

template <class Visit>
void for_each_field(Experiment& e, Visit visit) {
  visit("field", e.field);
  visit("seeds", e.seeds);
  visit("first_seed", e.first_seed);
}

// A figure of a run that a table or a plot can show.
struct Measure {
  std::string name, unit;
  double (*value_of)(const Result&);
  bool mean = false;  // use the mean over the seeds, where a median says little
};
const std::vector<Measure>& measures();

// Returns the scenario of one table cell. Throws BadScenario if the swept field is not a numeric scenario
// field.
Scenario make_scenario(const Experiment& experiment, const TableRow& row, double value);

}  // namespace canvasstage::lab
