// One play of a measurement: creates the nodes, sends them their executor list, requests and each kind of
// event, then runs their timers with no further input.
#include "scale/hollow.h"

namespace canvasstage::lab {
namespace {

using TotalsByKind = std::array<EventTotals, kEventKinds>;
constexpr Time kSettleDuration = kSecond / 2;  // until unanswered attempts count as silent

EventTotals& totals_of(TotalsByKind& sums, EventKind kind) {
  return sums[static_cast<std::size_t>(kind)];
}

// Runs requests to their end. Most rounds reuse connections left open by earlier rounds.
void measure_attempts(HollowNode& node, int executors, TotalsByKind& sums) {
  constexpr int kRounds = 40;
  const int batch = std::min(50, std::max(1, executors / 2));
  for (int round = 0; round < kRounds; ++round) {
    node.measure_events(totals_of(sums, EventKind::kArrival), batch,
                        [&](std::int64_t) { node.send_request(); });
    const std::vector<Id> attempts = node.take_started_attempts();
    for (const EventKind kind :
         {EventKind::kAccepted, EventKind::kStarted, EventKind::kProgressed, EventKind::kEnded})
      node.deliver(kind, attempts, totals_of(sums, kind));
  }
}

void measure_updates(HollowNode& node, TotalsByKind& sums) {
  constexpr int kRounds = 20;
  for (int round = 0; round < kRounds; ++round) {
    node.measure_events(totals_of(sums, EventKind::kOneChange), 1,
                        [&](std::int64_t) { node.send_one_change(); });
    node.measure_events(totals_of(sums, EventKind::kZoneRemoved), 1,
                        [&](std::int64_t) { node.remove_zone(); });
    node.measure_events(totals_of(sums, EventKind::kSnapshotList), 1,
                        [&](std::int64_t) { node.send_snapshot(); });
    node.measure_events(totals_of(sums, EventKind::kReload), 1, [&](std::int64_t) { node.reload(); });
  }
}

// Nodes with independent clocks. Requests are assigned to them round-robin.
class Fleet {
 public:
  Fleet(const Size& size, std::uint32_t seed) : size_(size) {
    for (int i = 0; i < size.nodes; ++i) nodes_.push_back(std::make_unique<HollowNode>(size));
    before_ = bytes_in_use();
    const int max_requests = (size.open_jobs + size.held_jobs) / size.nodes + 1;
    for (const auto& node : nodes_) node->start(max_requests, seed++);
  }

  // Mean heap bytes of a node.
  double bytes() const { return static_cast<double>(bytes_in_use() - before_) / size_.nodes; }
  HollowNode& first() { return *nodes_[0]; }

  void start_requests() {
    for (int request = 0; request < size_.open_jobs; ++request) {
      HollowNode& node = *nodes_[static_cast<std::size_t>(request % size_.nodes)];
      node.send_request();
      for (const Id attempt : node.take_started_attempts()) node.accept_and_start(attempt);
    }
  }
  void queue_requests() {
    for (int request = 0; request < size_.held_jobs; ++request) {
      HollowNode& node = *nodes_[static_cast<std::size_t>(request % size_.nodes)];
      node.send_request();
      node.take_started_attempts();
    }
  }
  void run(Time duration, TotalsByKind& sums, ScanCounts* scans = nullptr) {
    for (const auto& node : nodes_) node->run(duration, sums, scans);
  }

 private:
  const Size size_;
  std::int64_t before_ = 0;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
};

struct Bytes {
  double membership = 0, running = 0,
         queued = 0;  // of a node: with its list; with running requests too; added by queued requests
};

double ratio(double total, double count) {
  return count > 0 ? total / count : 0;
}

std::vector<Metric> byte_metrics(const Size& size, const Bytes& bytes) {
  return {{"listed_bytes", "B", bytes.membership},
          {"open_bytes", "B", bytes.running},
          {"each_open_bytes", "B", ratio((bytes.running - bytes.membership) * size.nodes, size.open_jobs)},
          {"each_held_bytes", "B", ratio(bytes.queued * size.nodes, size.held_jobs)}};
}

// Cost of the clock reading that is contained in each event timed on its own, as timer events are.
Metric clock_metric(HollowNode& node) {
  EventTotals clock;
  for (int n = 0; n < 1000; ++n) node.measure_events(clock, 1, [](std::int64_t) {});
  return {"clock_us", "us", clock.per_event(clock.nanoseconds) / 1000};
}

void add_event_metrics(std::vector<Metric>& metrics, const TotalsByKind& sums) {
  for (std::size_t kind = 0; kind < kEventKinds; ++kind) {
    const std::string name = name_of(static_cast<EventKind>(kind));
    const EventTotals& totals = sums[kind];
    metrics.push_back({name + "_us", "us", totals.per_event(totals.nanoseconds) / 1000});
    if (static_cast<EventKind>(kind) >= EventKind::kRequestTimer) continue;
    metrics.push_back({name + "_messages", "", totals.per_event(totals.messages)});
    metrics.push_back({name + "_timers", "", totals.per_event(totals.timers)});
  }
}

// Cost of the timers per node and emulated second.
void add_timer_metrics(std::vector<Metric>& metrics, const TotalsByKind& timed, const TotalsByKind& counted,
                       const ScanCounts& scans, double node_seconds) {
  double events = 0, nanoseconds = 0;
  for (const EventTotals& totals : timed) {
    events += static_cast<double>(totals.events);
    nanoseconds += static_cast<double>(totals.nanoseconds);
  }
  const auto count = [&](EventKind kind) {
    return static_cast<double>(counted[static_cast<std::size_t>(kind)].events) / node_seconds;
  };
  const double each = ratio(static_cast<double>(scans.executors), static_cast<double>(scans.events));
  metrics.push_back({"timers_a_second", "", events / node_seconds});
  metrics.push_back({"timers_ms_a_second", "ms", nanoseconds / 1e6 / node_seconds});
  metrics.push_back({"looks_a_second", "", count(EventKind::kRequestTimer)});
  metrics.push_back({"held_timers_a_second", "", count(EventKind::kQueuedTimer)});
  metrics.push_back({"executors_a_look", "", each});
  metrics.push_back(
      {"picks_a_look", "", ratio(static_cast<double>(scans.picks), static_cast<double>(scans.events))});
  metrics.push_back({"executors_looked_at_a_second", "", each * count(EventKind::kRequestTimer)});
}

}  // namespace

std::vector<Metric> play(const Size& size, double end, std::uint32_t seed) {
  const Time duration = static_cast<Time>(end * kSecond);
  TotalsByKind sums{}, ignored{}, counted{};
  ScanCounts scans;
  Bytes bytes;
  Fleet fleet(size, seed);
  bytes.membership = fleet.bytes();
  fleet.start_requests();
  bytes.running = fleet.bytes();
  measure_attempts(fleet.first(), size.executors, sums);
  measure_updates(fleet.first(), sums);
  fleet.run(kSettleDuration, ignored);
  bytes.queued = fleet.bytes();
  fleet.queue_requests();
  bytes.queued = fleet.bytes() - bytes.queued;
  fleet.run(kSettleDuration, ignored);
  TotalsByKind idle{};
  fleet.run(duration, idle);
  fleet.run(duration, counted, &scans);
  for (std::size_t kind = 0; kind < kEventKinds; ++kind)
    if (static_cast<EventKind>(kind) >= EventKind::kRequestTimer) sums[kind] = idle[kind];
  constexpr int kLateArrivals = 20;
  fleet.first().measure_events(totals_of(sums, EventKind::kLateArrival), kLateArrivals,
                               [&](std::int64_t) { fleet.first().send_request(); });
  std::vector<Metric> metrics = byte_metrics(size, bytes);
  metrics.push_back(clock_metric(fleet.first()));
  add_event_metrics(metrics, sums);
  add_timer_metrics(metrics, idle, counted, scans, end * size.nodes);
  return metrics;
}

}  // namespace canvasstage::lab
