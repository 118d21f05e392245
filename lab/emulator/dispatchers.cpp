// The real node behind the emulator's effects, and the baselines, which belong to the lab alone.
#include <algorithm>
#include <map>
#include <set>

#include "core/node.h"
#include "emulator/emulator.h"

namespace canvasstage::lab {
namespace {

struct JobPayload final : Payload {
  std::shared_ptr<const Job> job;
};

Settings settings_of(const Scenario& scenario, int zone, int replicas) {
  Settings s;
  for (const WorkClass& one : scenario.classes) {
    UseCase u;
    u.target_latency = std::max<Time>(1, static_cast<Time>(one.agreed * kSecond));
    u.target_latency_per_work = one.stretch;
    u.value = one.value;
    u.late_value = one.late_value;
    u.effect = one.effect;
    u.idempotency_scope = one.group;
    u.idempotency_window = static_cast<Time>(one.window * kSecond);
    s.use_cases.push_back(u);
  }
  s.zone = zone;
  s.node_count = replicas;
  s.polls_membership = true;
  s.max_membership_age = static_cast<Time>(scenario.ask_within * kSecond);
  s.quantum = 20;
  s.connection_idle_timeout = static_cast<Time>(scenario.idle * kSecond);
  s.connection_cost = scenario.connection_price;
  s.max_attempts = scenario.most_launches;
  s.can_cancel = scenario.cancelling;
  s.reports_start = scenario.tells_start;
  s.cold_start_share = scenario.cold_from;
  s.warm_up_time = static_cast<Time>(scenario.warm_span * kSecond);
  s.overload_multiple = scenario.fall_multiple;
  s.overload_span = static_cast<Time>(scenario.fall_span * kSecond);
  return s;
}

Terms terms_of(const Scenario& scenario) {
  Terms t;
  double longest = 0;
  for (const WorkClass& one : scenario.classes) {
    t.use_cases.push_back(one.name);
    t.requires_key.push_back(one.effect == Effect::kIdempotentByKey);
    t.offered.push_back(true);
    longest = std::max(longest, one.limit);
  }
  for (int zone = 0; zone < scenario.zones; ++zone) t.zones.push_back(std::to_string(zone));
  t.machine_kinds = {"m"};
  t.max_deadline = static_cast<Time>(longest * kSecond);
  t.drain_grace = static_cast<Time>(scenario.drain_grace * kSecond);
  return t;
}

class NodeDispatcher final : public Dispatcher, public Effects {
 public:
  NodeDispatcher(Emulator& emulator, int index, int replicas)
      : emulator_(emulator), index_(index), chance_(emulator.chance_of(index)) {
    const Scenario& scenario = emulator.scenario();
    // Some day or other; where clocks are apart each node has its own.
    constexpr Time kToday = 1000000 * kSecond;
    start_ = kToday + static_cast<Time>(scenario.clocks_apart * chance_.uniform() * kSecond);
    node_ = std::make_unique<Node>(settings_of(scenario, emulator.zone_of_node(index), replicas),
                                   terms_of(scenario), Platform{scenario.descriptors, false, 0},
                                   static_cast<std::uint32_t>(chance_.uniform() * 4294967295.0), *this, now(),
                                   "discovery", 1);
  }

  void arrived(const std::shared_ptr<const Job>& job) override {
    const auto payload = std::make_shared<JobPayload>();
    payload->job = job;
    node_->client_opened(now(), job->client);
    node_->request_arrived(now(), job->client, std::to_string(job->client), job->use_case, at(job->due), 0,
                           job->width, payload);
  }
  void client_gone(Id client) override { node_->client_closed(now(), client); }
  void taken(Id launch) override { node_->attempt_accepted(now(), launch); }
  void started(Id launch) override { node_->attempt_started(now(), launch); }
  void ended(Id launch, Outcome outcome, bool kept) override {
    node_->attempt_ended(now(), launch, outcome, nullptr, kept, nullptr);
  }
  void listed(int executor, Lifecycle standing, Micros started) override {
    const std::string name = std::to_string(executor);
    node_->executor_listed(now(), name, name, std::to_string(emulator_.zone_of_executor(executor)), "m",
                           Emulator::cell_of_executor(executor), standing, started < 0 ? 0 : at(started));
  }
  void list_ended(bool whole, std::uint64_t version) override {
    const MembershipUpdate form = first_  ? MembershipUpdate::kCached
                                  : whole ? MembershipUpdate::kSnapshot
                                          : MembershipUpdate::kDelta;
    first_ = false;
    node_->membership_received(now(), form, version);
  }
  void list_refused() override { node_->membership_call_failed(now()); }

  void answer(Id client, Answer answer, const PayloadRef&, Time, ConnectionDisposition) override {
    emulator_.answer(index_, client, answer);
  }
  void close_client(Id, bool) override {}
  void close_client_now(Id, bool) override {}
  void start_attempt(const AttemptOrder& order) override {
    emulator_.launch(index_, order.attempt, order.reused_connection, std::stoi(order.address),
                     static_cast<const JobPayload&>(*order.request).job);
  }
  void abandon_attempt(Id launch) override { emulator_.give_up(index_, launch); }
  void withdraw_attempt(Id) override {}  // each launch has gone at once
  bool is_connection_open(Id launch) override { return emulator_.still_open(index_, launch); }
  void watch_membership(const std::string&, std::uint64_t, Time) override { emulator_.watch(index_); }
  void wake_at(Time when, std::uint64_t token) override {
    if (when >= kNever) return;
    emulator_.events().at((when - start_) * kMicrosAUnit, [this, token] { node_->timer_due(now(), token); });
  }
  void open_listener() override {}
  void close_listener() override {}
  void publish(const Metrics&) override {}
  bool has_successor() override { return false; }
  void begin_handover(std::string) override {}
  void hand_over_request(const TransferredRequest&) override {}
  void hand_over_connection(Id, const std::string&, const std::string&, Time) override {}
  void finish() override {}

 private:
  static constexpr Micros kMicrosAUnit = kMicrosASecond / kSecond;
  Time at(Micros time) const { return start_ + time / kMicrosAUnit; }
  Time now() const { return at(emulator_.events().now()); }

  Emulator& emulator_;
  const int index_;
  Chance chance_;
  Time start_ = 0;
  bool first_ = true;
  std::unique_ptr<Node> node_;
};

// One launch for each job, at an executor that the list holds as ready.
class Baseline final : public Dispatcher {
 public:
  Baseline(Emulator& emulator, int index)
      : emulator_(emulator), index_(index), chance_(emulator.chance_of(index)) {
    emulator_.events().after(0, [this] { emulator_.watch(index_); });
  }

  void arrived(const std::shared_ptr<const Job>& job) override {
    const int executor = choose();
    if (executor < 0) return emulator_.answer(index_, job->client, Answer::kShed);
    const Id launch = ++last_;
    Id over = 0;
    std::vector<Id>& free = free_[static_cast<std::size_t>(executor)];
    while (over == 0 && !free.empty()) {
      if (emulator_.still_open(index_, free.back())) over = free.back();
      free.pop_back();
    }
    ++open_[static_cast<std::size_t>(executor)];
    launches_[launch] = {job, executor};
    by_client_[job->client] = launch;
    emulator_.launch(index_, launch, over, executor, job);
    emulator_.events().at(job->due, [this, launch] {
      const auto found = launches_.find(launch);
      if (found == launches_.end()) return;
      const Id client = found->second.job->client;
      drop(found);
      emulator_.give_up(index_, launch);
      emulator_.answer(index_, client, Answer::kFailed);
    });
  }
  void client_gone(Id client) override {
    const auto open = by_client_.find(client);
    if (open == by_client_.end()) return;
    const Id launch = open->second;
    if (const auto found = launches_.find(launch); found != launches_.end()) drop(found);
    emulator_.give_up(index_, launch);
  }
  void ended(Id launch, Outcome outcome, bool kept) override {
    const auto found = launches_.find(launch);
    if (found == launches_.end()) return;
    const Entry entry = found->second;
    drop(found);
    if (kept) free_[static_cast<std::size_t>(entry.executor)].push_back(launch);
    const bool never = outcome == Outcome::kRejected || outcome == Outcome::kUnreachable;
    emulator_.answer(index_, entry.job->client,
                     outcome == Outcome::kSucceeded ? Answer::kSucceeded
                     : never                        ? Answer::kShed
                                                    : Answer::kFailed);
  }
  void listed(int executor, Lifecycle standing, Micros) override {
    const auto index = static_cast<std::size_t>(executor);
    if (index >= open_.size()) {
      open_.resize(index + 1);
      free_.resize(index + 1);
    }
    if (standing == Lifecycle::kActive)
      named_.insert(executor);
    else
      ready_.erase(executor);
  }
  void list_ended(bool whole, std::uint64_t) override {
    if (whole) ready_.clear();
    ready_.insert(named_.begin(), named_.end());
    named_.clear();
    order_.assign(ready_.begin(), ready_.end());
  }
  void list_refused() override {
    emulator_.events().after(micros(chance_.between(0.5, 1.5)), [this] { emulator_.watch(index_); });
  }

 private:
  struct Entry {
    std::shared_ptr<const Job> job;
    int executor = 0;
  };
  void drop(std::map<Id, Entry>::iterator entry) {
    --open_[static_cast<std::size_t>(entry->second.executor)];
    by_client_.erase(entry->second.job->client);
    launches_.erase(entry);
  }
  int least_of(std::size_t draws) {
    int best = -1;
    for (std::size_t i = 0; i < draws; ++i) {
      // Distinct ones: each draw takes the drawn one out of the way of the next.
      std::swap(order_[i], order_[i + chance_.below(order_.size() - i)]);
      if (best < 0 || open_[static_cast<std::size_t>(order_[i])] < open_[static_cast<std::size_t>(best)])
        best = order_[i];
    }
    return best;
  }
  int choose() {
    if (order_.empty()) return -1;
    const std::string& policy = emulator_.scenario().policy;
    if (policy == "round_robin") return order_[next_++ % order_.size()];
    if (policy == "random") return order_[chance_.below(order_.size())];
    if (policy == "least_outstanding") return least_of(order_.size());
    return least_of(std::min(order_.size(), static_cast<std::size_t>(emulator_.scenario().choices)));
  }

  Emulator& emulator_;
  const int index_;
  Chance chance_;
  std::map<Id, Entry> launches_;
  std::map<Id, Id> by_client_;
  std::vector<int> open_;
  std::vector<std::vector<Id>> free_;
  std::set<int> ready_, named_;
  std::vector<int> order_;
  std::size_t next_ = 0;
  Id last_ = 0;
};

}  // namespace

std::unique_ptr<Dispatcher> make_dispatcher(Emulator& emulator, int node) {
  const Scenario& scenario = emulator.scenario();
  if (scenario.policy == "node") return make_node(emulator, node, scenario.nodes);
  return std::make_unique<Baseline>(emulator, node);
}

std::unique_ptr<Dispatcher> make_node(Emulator& emulator, int node, int replicas) {
  return std::make_unique<NodeDispatcher>(emulator, node, replicas);
}

}  // namespace canvasstage::lab
