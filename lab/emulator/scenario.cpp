#include "emulator/scenario.h"

#include <cmath>

namespace canvasstage::lab {
namespace {

void in_range(const std::string& field, double value, double least, double most) {
  if (!(value >= least && value <= most))
    throw BadScenario(field + ": " + std::to_string(value) + " is not between " + std::to_string(least) +
                      " and " + std::to_string(most));
}

}  // namespace

double Scenario::mean_work() const {
  double sum = 0, shares = 0;
  for (const WorkClass& one : classes) {
    sum += one.share * one.work * one.width;
    shares += one.share;
  }
  return sum / shares;
}

double Scenario::arrivals() const {
  return load * executors * slots * speed / mean_work();
}

void Scenario::check() const {
  // Far more than a machine has room for; what is asked for by mistake is to be refused, not tried.
  constexpr double kMost = 1e5, kLongest = 1e6;
  in_range("length", length, 0.001, kLongest);
  in_range("warm_up", warm_up, 0, length);
  in_range("nodes", nodes, 1, kMost);
  in_range("executors", executors, 1, kMost);
  in_range("zones", zones, 1, 64);
  bool known = false;
  for (const char* const word : {"node", "random", "round_robin", "least_outstanding", "d_of_uniform"})
    known = known || policy == word;
  if (!known) throw BadScenario("policy: " + policy + " is not known");
  in_range("choices", choices, 1, kMost);
  in_range("load", load, 1e-6, 100);
  in_range("retries", retries, 0, 100);
  in_range("back_off", back_off, 0, kLongest);
  in_range("leaves", leaves, 0, 1);
  in_range("node_skew", node_skew, 0, 1);
  in_range("node_spread", node_spread, 0, 10);
  in_range("idle_nodes", idle_nodes, 0, 0.999);
  in_range("slots", slots, 1, 1e4);
  in_range("queue", queue, 0, 1e9);
  in_range("speed", speed, 1e-6, 1e6);
  in_range("speed_spread", speed_spread, 0, 10);
  in_range("cold_from", cold_from, 0.01, 1);
  in_range("warm_span", warm_span, 0, kLongest);
  in_range("delay", delay, 0, 100);
  in_range("zone_delay", zone_delay, 0, 100);
  in_range("jitter", jitter, 0, 10);
  in_range("handshake", handshake, 0, 100);
  in_range("connect_within", connect_within, 0.001, 100);
  in_range("idle", idle, 0.001, kLongest);
  in_range("descriptors", descriptors, 16, 1e6);
  in_range("clocks_apart", clocks_apart, 0, 1000);
  in_range("list_delay", list_delay, 0, kLongest);
  in_range("list_calls", list_calls, 0.001, 1e9);
  in_range("list_patience", list_patience, 0, kLongest);
  in_range("ask_within", ask_within, 0.1, kLongest);
  in_range("drain_grace", drain_grace, 0, kLongest);
  in_range("most_launches", most_launches, 1, 1000);
  in_range("connection_price", connection_price, 0, 1000);
  in_range("fall_multiple", fall_multiple, 0.01, 1000);
  in_range("fall_span", fall_span, 0.001, kLongest);
  if (classes.empty()) throw BadScenario("class: at least one is needed");
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const WorkClass& one = classes[i];
    const std::string at = "class." + one.name + ".";
    for (std::size_t j = 0; j < i; ++j)
      if (classes[j].name == one.name) throw BadScenario("class.name: twice " + one.name);
    in_range(at + "share", one.share, 1e-9, 1e9);
    in_range(at + "work", one.work, 1e-6, kLongest);
    in_range(at + "spread", one.spread, 0, 100);
    in_range(at + "agreed", one.agreed, 1e-6, kLongest);
    in_range(at + "stretch", one.stretch, 0, 1e6);
    in_range(at + "limit", one.limit, 1e-3, kLongest);
    in_range(at + "value", one.value, 0, 1e9);
    in_range(at + "late_value", one.late_value, 0, 1);
    in_range(at + "window", one.window, 0, kLongest);
    in_range(at + "width", one.width, 1, slots);
  }
  for (const Fault& fault : faults) {
    in_range("fault.at", fault.at, 0, length);
    in_range("fault.length", fault.length, 0, kLongest);
    in_range("fault.part", fault.part, 0, 1);
    in_range("fault.size", fault.size, 1e-6, 1e6);
    in_range("fault.zone", fault.zone, -1, zones - 1);
  }
}

}  // namespace canvasstage::lab
