#include "emulator/scenario.h"

#include <cmath>

namespace canvasstage::lab {
namespace {

void require_in_range(const std::string& field, double value, double min, double max) {
  if (!(value >= min && value <= max))
    throw BadScenario(field + ": " + std::to_string(value) + " is not between " + std::to_string(min) +
                      " and " + std::to_string(max));
}

}  // namespace

double Scenario::mean_work() const {
  double sum = 0, shares = 0;
  for (const WorkClass& work_class : classes) {
    sum += work_class.share * work_class.work * work_class.width;
    shares += work_class.share;
  }
  return sum / shares;
}

double Scenario::arrival_rate() const {
  return load * executors * slots * speed / mean_work();
}

void Scenario::validate() const {
  // Far beyond what one machine can emulate: a mistyped value is rejected instead of being run.
  constexpr double kMaxCount = 1e5, kMaxSeconds = 1e6;
  require_in_range("length", length, 0.001, kMaxSeconds);
  require_in_range("warm_up", measurement_start, 0, length);
  require_in_range("nodes", nodes, 1, kMaxCount);
  require_in_range("executors", executors, 1, kMaxCount);
  require_in_range("zones", zones, 1, 64);
  bool known = false;
  for (const char* const policy_name : {"node", "random", "round_robin", "least_outstanding", "d_of_uniform"})
    known = known || policy == policy_name;
  if (!known) throw BadScenario("policy: " + policy + " is not known");
  require_in_range("choices", choice_count, 1, kMaxCount);
  require_in_range("load", load, 1e-6, 100);
  require_in_range("retries", max_retries, 0, 100);
  require_in_range("back_off", retry_backoff, 0, kMaxSeconds);
  require_in_range("leaves", disconnect_share, 0, 1);
  require_in_range("node_skew", node_load_skew, 0, 1);
  require_in_range("node_spread", node_load_cv, 0, 10);
  require_in_range("idle_nodes", idle_node_share, 0, 0.999);
  require_in_range("slots", slots, 1, 1e4);
  require_in_range("queue", queue_capacity, 0, 1e9);
  require_in_range("speed", speed, 1e-6, 1e6);
  require_in_range("speed_spread", speed_cv, 0, 10);
  require_in_range("cold_from", cold_start_share, 0.01, 1);
  require_in_range("warm_span", executor_warm_up, 0, kMaxSeconds);
  require_in_range("delay", same_zone_delay, 0, 100);
  require_in_range("zone_delay", cross_zone_delay, 0, 100);
  require_in_range("jitter", jitter, 0, 10);
  require_in_range("handshake", handshake_work, 0, 100);
  require_in_range("connect_within", connect_timeout, 0.001, 100);
  require_in_range("idle", connection_idle_timeout, 0.001, kMaxSeconds);
  require_in_range("descriptors", descriptor_limit, 16, 1e6);
  require_in_range("clocks_apart", max_clock_offset, 0, 1000);
  require_in_range("list_delay", membership_propagation_delay, 0, kMaxSeconds);
  require_in_range("list_calls", membership_calls_per_second, 0.001, 1e9);
  require_in_range("list_patience", membership_call_timeout, 0, kMaxSeconds);
  require_in_range("ask_within", max_membership_age, 0.1, kMaxSeconds);
  require_in_range("drain_grace", drain_grace, 0, kMaxSeconds);
  require_in_range("most_launches", max_attempts, 1, 1000);
  require_in_range("connection_price", connection_cost, 0, 1000);
  require_in_range("fall_multiple", overload_multiple, 0.01, 1000);
  require_in_range("fall_span", overload_span, 0.001, kMaxSeconds);
  if (classes.empty()) throw BadScenario("class: at least one is needed");
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const WorkClass& work_class = classes[i];
    const std::string prefix = "class." + work_class.name + ".";
    for (std::size_t j = 0; j < i; ++j)
      if (classes[j].name == work_class.name) throw BadScenario("class.name: duplicate " + work_class.name);
    require_in_range(prefix + "share", work_class.share, 1e-9, 1e9);
    require_in_range(prefix + "work", work_class.work, 1e-6, kMaxSeconds);
    require_in_range(prefix + "spread", work_class.work_cv, 0, 100);
    require_in_range(prefix + "agreed", work_class.target_latency, 1e-6, kMaxSeconds);
    require_in_range(prefix + "stretch", work_class.target_latency_per_work, 0, 1e6);
    require_in_range(prefix + "limit", work_class.deadline, 1e-3, kMaxSeconds);
    require_in_range(prefix + "value", work_class.value, 0, 1e9);
    require_in_range(prefix + "late_value", work_class.late_value, 0, 1);
    require_in_range(prefix + "window", work_class.idempotency_window, 0, kMaxSeconds);
    require_in_range(prefix + "width", work_class.width, 1, slots);
  }
  for (const Fault& fault : faults) {
    require_in_range("fault.at", fault.start, 0, length);
    require_in_range("fault.length", fault.duration, 0, kMaxSeconds);
    require_in_range("fault.part", fault.share, 0, 1);
    require_in_range("fault.size", fault.magnitude, 1e-6, 1e6);
    require_in_range("fault.zone", fault.zone, -1, zones - 1);
  }
}

}  // namespace canvasstage::lab
