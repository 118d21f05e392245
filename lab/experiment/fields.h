// The fields of what is read from a file, by name, and what can be measured.
#pragma once

#include <string>
#include <vector>

#include "experiment/experiment.h"

namespace canvasstage::lab {

template <class Visit>
void each_field(Scenario& s, Visit visit) {
  visit("name", s.name);
  visit("length", s.length);
  visit("warm_up", s.warm_up);
  visit("nodes", s.nodes);
  visit("executors", s.executors);
  visit("zones", s.zones);
  visit("policy", s.policy);
  visit("choices", s.choices);
  visit("load", s.load);
  visit("retries", s.retries);
  visit("back_off", s.back_off);
  visit("leaves", s.leaves);
  visit("node_skew", s.node_skew);
  visit("node_spread", s.node_spread);
  visit("idle_nodes", s.idle_nodes);
  visit("slots", s.slots);
  visit("queue", s.queue);
  visit("speed", s.speed);
  visit("speed_spread", s.speed_spread);
  visit("cold_from", s.cold_from);
  visit("warm_span", s.warm_span);
  visit("cancels_running", s.cancels_running);
  visit("tells_start", s.tells_start);
  visit("delay", s.delay);
  visit("zone_delay", s.zone_delay);
  visit("jitter", s.jitter);
  visit("handshake", s.handshake);
  visit("connect_within", s.connect_within);
  visit("idle", s.idle);
  visit("descriptors", s.descriptors);
  visit("clocks_apart", s.clocks_apart);
  visit("list_delay", s.list_delay);
  visit("list_calls", s.list_calls);
  visit("list_patience", s.list_patience);
  visit("ask_within", s.ask_within);
  visit("drain_grace", s.drain_grace);
  visit("cancelling", s.cancelling);
  visit("most_launches", s.most_launches);
  visit("connection_price", s.connection_price);
  visit("fall_multiple", s.fall_multiple);
  visit("fall_span", s.fall_span);
}

template <class Visit>
void each_field(WorkClass& c, Visit visit) {
  visit("name", c.name);
  visit("share", c.share);
  visit("work", c.work);
  visit("spread", c.spread);
  visit("agreed", c.agreed);
  visit("stretch", c.stretch);
  visit("limit", c.limit);
  visit("value", c.value);
  visit("late_value", c.late_value);
  visit("window", c.window);
  visit("width", c.width);
}

template <class Visit>
void each_field(Fault& f, Visit visit) {
  visit("at", f.at);
  visit("length", f.length);
  visit("part", f.part);
  visit("size", f.size);
  visit("zone", f.zone);
}

template <class Visit>
void each_field(Experiment& e, Visit visit) {
  visit("field", e.field);
  visit("seeds", e.seeds);
  visit("first_seed", e.first_seed);
}

struct Measure {
  std::string name, unit;
  double (*of)(const Result&);
  bool mean = false;  // over the seeds, where a median says little
};
const std::vector<Measure>& measures();

// The scenario of one cell of the table; throws BadScenario where the swept field is none.
Scenario scenario_of(const Experiment& experiment, const Line& line, double value);

}  // namespace canvasstage::lab
