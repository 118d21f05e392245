// One play of a measurement: nodes are made, given their list and jobs, told each kind of event, and then
// left alone with their timers.
#include "scale/hollow.h"

namespace canvasstage::lab {
namespace {

using Sums = std::array<Sum, kToldKinds>;
constexpr Time kSettle = kSecond / 2;  // until launches that nobody answers count as silent

Sum& of(Sums& sums, Told kind) {
  return sums[static_cast<std::size_t>(kind)];
}

// Jobs that run, then end; most rounds find connections that were left by those before.
void tell_launches(HollowNode& node, int executors, Sums& sums) {
  constexpr int kRounds = 40;
  const int together = std::min(50, std::max(1, executors / 2));
  for (int round = 0; round < kRounds; ++round) {
    node.timed(of(sums, Told::kArrival), together, [&](std::int64_t) { node.arrive(); });
    const std::vector<Id> launches = node.take_launched();
    for (const Told kind : {Told::kTaken, Told::kStarted, Told::kProgressed, Told::kEnded})
      node.told(kind, launches, of(sums, kind));
  }
}

void tell_lists(HollowNode& node, Sums& sums) {
  constexpr int kRounds = 20;
  for (int round = 0; round < kRounds; ++round) {
    node.timed(of(sums, Told::kOneChange), 1, [&](std::int64_t) { node.list_one(); });
    node.timed(of(sums, Told::kZoneGone), 1, [&](std::int64_t) { node.list_zone_gone(); });
    node.timed(of(sums, Told::kWholeList), 1, [&](std::int64_t) { node.list_all(); });
    node.timed(of(sums, Told::kReload), 1, [&](std::int64_t) { node.reload(); });
  }
}

// Jobs are spread over the nodes in turn; each node's clock goes on by itself.
class Fleet {
 public:
  Fleet(const Size& size, std::uint32_t seed) : size_(size) {
    for (int i = 0; i < size.nodes; ++i) nodes_.push_back(std::make_unique<HollowNode>(size));
    before_ = bytes_in_use();
    const int jobs = (size.open_jobs + size.held_jobs) / size.nodes + 1;
    for (const auto& node : nodes_) node->start(jobs, seed++);
  }

  // Mean over the nodes.
  double bytes() const { return static_cast<double>(bytes_in_use() - before_) / size_.nodes; }
  HollowNode& first() { return *nodes_[0]; }

  void open_jobs() {
    for (int job = 0; job < size_.open_jobs; ++job) {
      HollowNode& node = *nodes_[static_cast<std::size_t>(job % size_.nodes)];
      node.arrive();
      for (const Id launch : node.take_launched()) node.open(launch);
    }
  }
  void hold_jobs() {
    for (int job = 0; job < size_.held_jobs; ++job) {
      HollowNode& node = *nodes_[static_cast<std::size_t>(job % size_.nodes)];
      node.arrive();
      node.take_launched();
    }
  }
  void run(Time span, Sums& sums, Looks* looks = nullptr) {
    for (const auto& node : nodes_) node->run(span, sums, looks);
  }

 private:
  const Size size_;
  std::int64_t before_ = 0;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
};

struct Bytes {
  double listed = 0, open = 0, held = 0;  // of a node: with its list, with open jobs too, with held ones too
};

double ratio(double of, double count) {
  return count > 0 ? of / count : 0;
}

std::vector<Figure> byte_figures(const Size& size, const Bytes& bytes) {
  return {{"listed_bytes", "B", bytes.listed},
          {"open_bytes", "B", bytes.open},
          {"each_open_bytes", "B", ratio((bytes.open - bytes.listed) * size.nodes, size.open_jobs)},
          {"each_held_bytes", "B", ratio(bytes.held * size.nodes, size.held_jobs)}};
}

// What each event that is timed by itself, as those of timers are, holds of the clock's own reading.
Figure clock_figure(HollowNode& node) {
  Sum clock;
  for (int n = 0; n < 1000; ++n) node.timed(clock, 1, [](std::int64_t) {});
  return {"clock_us", "us", clock.each(clock.nanoseconds) / 1000};
}

void add_events(std::vector<Figure>& figures, const Sums& sums) {
  for (std::size_t kind = 0; kind < kToldKinds; ++kind) {
    const std::string name = name_of(static_cast<Told>(kind));
    const Sum& sum = sums[kind];
    figures.push_back({name + "_us", "us", sum.each(sum.nanoseconds) / 1000});
    if (static_cast<Told>(kind) >= Told::kLook) continue;
    figures.push_back({name + "_messages", "", sum.each(sum.messages)});
    figures.push_back({name + "_timers", "", sum.each(sum.timers)});
  }
}

// For each node and emulated second: what the timers made of it.
void add_idle(std::vector<Figure>& figures, const Sums& timed, const Sums& counted, const Looks& looks,
              double node_seconds) {
  double events = 0, nanoseconds = 0;
  for (const Sum& sum : timed) {
    events += static_cast<double>(sum.events);
    nanoseconds += static_cast<double>(sum.nanoseconds);
  }
  const auto count = [&](Told kind) {
    return static_cast<double>(counted[static_cast<std::size_t>(kind)].events) / node_seconds;
  };
  const double each = ratio(static_cast<double>(looks.executors), static_cast<double>(looks.events));
  figures.push_back({"timers_a_second", "", events / node_seconds});
  figures.push_back({"timers_ms_a_second", "ms", nanoseconds / 1e6 / node_seconds});
  figures.push_back({"looks_a_second", "", count(Told::kLook)});
  figures.push_back({"held_timers_a_second", "", count(Told::kHeldTimer)});
  figures.push_back({"executors_a_look", "", each});
  figures.push_back(
      {"picks_a_look", "", ratio(static_cast<double>(looks.picks), static_cast<double>(looks.events))});
  figures.push_back({"executors_looked_at_a_second", "", each * count(Told::kLook)});
}

}  // namespace

std::vector<Figure> play(const Size& size, double end, std::uint32_t seed) {
  const Time span = static_cast<Time>(end * kSecond);
  Sums sums{}, settling{}, counted{};
  Looks looks;
  Bytes bytes;
  Fleet fleet(size, seed);
  bytes.listed = fleet.bytes();
  fleet.open_jobs();
  bytes.open = fleet.bytes();
  tell_launches(fleet.first(), size.executors, sums);
  tell_lists(fleet.first(), sums);
  fleet.run(kSettle, settling);
  bytes.held = fleet.bytes();
  fleet.hold_jobs();
  bytes.held = fleet.bytes() - bytes.held;
  fleet.run(kSettle, settling);
  Sums idle{};
  fleet.run(span, idle);
  fleet.run(span, counted, &looks);
  for (std::size_t kind = 0; kind < kToldKinds; ++kind)
    if (static_cast<Told>(kind) >= Told::kLook) sums[kind] = idle[kind];
  constexpr int kLate = 20;
  fleet.first().timed(of(sums, Told::kLateArrival), kLate, [&](std::int64_t) { fleet.first().arrive(); });
  std::vector<Figure> figures = byte_figures(size, bytes);
  figures.push_back(clock_figure(fleet.first()));
  add_events(figures, sums);
  add_idle(figures, idle, counted, looks, end * size.nodes);
  return figures;
}

}  // namespace canvasstage::lab
