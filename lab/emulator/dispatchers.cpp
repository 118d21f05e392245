// Dispatchers of the emulator: the real node with effects that act on the emulator, and the baseline
// policies, which only the lab has.
#include <algorithm>
#include <map>
#include <set>

#include "core/node.h"
#include "emulator/emulator.h"

namespace canvasstage::lab {
namespace {

struct RequestPayload final : Payload {
  std::shared_ptr<const EmulatedRequest> request;
};

Settings make_settings(const Scenario& scenario, int zone, int replicas) {
  Settings settings;
  for (const WorkClass& work_class : scenario.classes) {
    UseCase use_case;
    use_case.target_latency = std::max<Time>(1, static_cast<Time>(work_class.target_latency * kSecond));
    use_case.target_latency_per_work = work_class.target_latency_per_work;
    use_case.value = work_class.value;
    use_case.late_value = work_class.late_value;
    use_case.effect = work_class.effect;
    use_case.idempotency_scope = work_class.idempotency_scope;
    use_case.idempotency_window = static_cast<Time>(work_class.idempotency_window * kSecond);
    settings.use_cases.push_back(use_case);
  }
  settings.zone = zone;
  settings.node_count = replicas;
  settings.polls_membership = true;
  settings.max_membership_age = static_cast<Time>(scenario.max_membership_age * kSecond);
  settings.quantum = 20;
  settings.connection_idle_timeout = static_cast<Time>(scenario.connection_idle_timeout * kSecond);
  settings.connection_cost = scenario.connection_cost;
  settings.max_attempts = scenario.max_attempts;
  settings.can_cancel = scenario.can_cancel;
  settings.reports_start = scenario.reports_start;
  settings.cold_start_share = scenario.cold_start_share;
  settings.warm_up_time = static_cast<Time>(scenario.executor_warm_up * kSecond);
  settings.overload_multiple = scenario.overload_multiple;
  settings.overload_span = static_cast<Time>(scenario.overload_span * kSecond);
  return settings;
}

Terms make_terms(const Scenario& scenario) {
  Terms terms;
  double max_deadline = 0;
  for (const WorkClass& work_class : scenario.classes) {
    terms.use_cases.push_back(work_class.name);
    terms.requires_key.push_back(work_class.effect == Effect::kIdempotentByKey);
    terms.offered.push_back(true);
    max_deadline = std::max(max_deadline, work_class.deadline);
  }
  for (int zone = 0; zone < scenario.zones; ++zone) terms.zones.push_back(std::to_string(zone));
  terms.machine_kinds = {"m"};
  terms.max_deadline = static_cast<Time>(max_deadline * kSecond);
  terms.drain_grace = static_cast<Time>(scenario.drain_grace * kSecond);
  return terms;
}

class NodeDispatcher final : public Dispatcher, public Effects {
 public:
  NodeDispatcher(Emulator& emulator, int index, int replicas)
      : emulator_(emulator), index_(index), random_(emulator.node_random_stream(index)) {
    const Scenario& scenario = emulator.scenario();
    // An arbitrary date; with a max_clock_offset the clocks of the nodes differ.
    constexpr Time kBaseTime = 1000000 * kSecond;
    clock_origin_ = kBaseTime + static_cast<Time>(scenario.max_clock_offset * random_.uniform() * kSecond);
    node_ = std::make_unique<Node>(make_settings(scenario, emulator.zone_of_node(index), replicas),
                                   make_terms(scenario), Platform{scenario.descriptor_limit, false, 0},
                                   static_cast<std::uint32_t>(random_.uniform() * 4294967295.0), *this, now(),
                                   "discovery", 1);
  }

  void request_arrived(const std::shared_ptr<const EmulatedRequest>& request) override {
    const auto payload = std::make_shared<RequestPayload>();
    payload->request = request;
    node_->client_opened(now(), request->client);
    node_->request_arrived(now(), request->client, std::to_string(request->client), request->use_case,
                           to_node_time(request->due), 0, request->width, payload);
  }
  void client_closed(Id client) override { node_->client_closed(now(), client); }
  void attempt_accepted(Id attempt_id) override { node_->attempt_accepted(now(), attempt_id); }
  void attempt_started(Id attempt_id) override { node_->attempt_started(now(), attempt_id); }
  void attempt_ended(Id attempt_id, Outcome outcome, bool connection_kept) override {
    node_->attempt_ended(now(), attempt_id, outcome, nullptr, connection_kept, nullptr);
  }
  void executor_listed(int executor, Lifecycle lifecycle, Microseconds started) override {
    const std::string name = std::to_string(executor);
    node_->executor_listed(now(), name, name, std::to_string(emulator_.zone_of_executor(executor)), "m",
                           Emulator::cell_of_executor(executor), lifecycle,
                           started < 0 ? 0 : to_node_time(started));
  }
  void membership_received(bool is_snapshot, std::uint64_t version) override {
    const MembershipUpdate update = first_list_   ? MembershipUpdate::kCached
                                    : is_snapshot ? MembershipUpdate::kSnapshot
                                                  : MembershipUpdate::kDelta;
    first_list_ = false;
    node_->membership_received(now(), update, version);
  }
  void membership_call_failed() override { node_->membership_call_failed(now()); }

  void answer(Id client, Answer answer, const PayloadRef&, Time, ConnectionDisposition) override {
    emulator_.answer(index_, client, answer);
  }
  void close_client(Id, bool) override {}
  void close_client_now(Id, bool) override {}
  void start_attempt(const AttemptOrder& order) override {
    emulator_.start_attempt(index_, order.attempt, order.reused_connection, std::stoi(order.address),
                            static_cast<const RequestPayload&>(*order.request).request);
  }
  void abandon_attempt(Id attempt_id) override { emulator_.abandon_attempt(index_, attempt_id); }
  void withdraw_attempt(Id) override {}  // the emulator sends each attempt at once
  bool is_connection_open(Id attempt_id) override { return emulator_.is_connection_open(index_, attempt_id); }
  void watch_membership(const std::string&, std::uint64_t, Time) override {
    emulator_.watch_membership(index_);
  }
  void wake_at(Time when, std::uint64_t token) override {
    if (when >= kNever) return;
    emulator_.events().schedule_at((when - clock_origin_) * kMicrosecondsPerTick,
                                   [this, token] { node_->timer_due(now(), token); });
  }
  void open_listener() override {}
  void close_listener() override {}
  void publish_metrics(const Metrics&) override {}
  bool has_successor() override { return false; }
  void begin_handover(std::string) override {}
  void hand_over_request(const TransferredRequest&) override {}
  void hand_over_connection(Id, const std::string&, const std::string&, Time) override {}
  void finish() override {}

 private:
  static constexpr Microseconds kMicrosecondsPerTick = kMicrosecondsPerSecond / kSecond;
  Time to_node_time(Microseconds time) const { return clock_origin_ + time / kMicrosecondsPerTick; }
  Time now() const { return to_node_time(emulator_.events().now()); }

  Emulator& emulator_;
  const int index_;
  RandomStream random_;
  Time clock_origin_ = 0;
  bool first_list_ = true;
  std::unique_ptr<Node> node_;
};

// A baseline policy: makes one attempt for each request, at an executor listed as active, and never retries.
class Baseline final : public Dispatcher {
 public:
  Baseline(Emulator& emulator, int index)
      : emulator_(emulator), index_(index), random_(emulator.node_random_stream(index)) {
    emulator_.events().schedule_after(0, [this] { emulator_.watch_membership(index_); });
  }

  void request_arrived(const std::shared_ptr<const EmulatedRequest>& request) override {
    const int executor = choose_executor();
    if (executor < 0) return emulator_.answer(index_, request->client, Answer::kShed);
    const Id attempt_id = ++last_attempt_id_;
    Id reused_connection = 0;
    std::vector<Id>& idle = idle_connections_[static_cast<std::size_t>(executor)];
    while (reused_connection == 0 && !idle.empty()) {
      if (emulator_.is_connection_open(index_, idle.back())) reused_connection = idle.back();
      idle.pop_back();
    }
    ++outstanding_[static_cast<std::size_t>(executor)];
    attempts_[attempt_id] = {request, executor};
    attempt_by_client_[request->client] = attempt_id;
    emulator_.start_attempt(index_, attempt_id, reused_connection, executor, request);
    emulator_.events().schedule_at(request->due, [this, attempt_id] {
      const auto found = attempts_.find(attempt_id);
      if (found == attempts_.end()) return;
      const Id client = found->second.request->client;
      remove_attempt(found);
      emulator_.abandon_attempt(index_, attempt_id);
      emulator_.answer(index_, client, Answer::kFailed);
    });
  }
  void client_closed(Id client) override {
    const auto found_client = attempt_by_client_.find(client);
    if (found_client == attempt_by_client_.end()) return;
    const Id attempt_id = found_client->second;
    if (const auto found = attempts_.find(attempt_id); found != attempts_.end()) remove_attempt(found);
    emulator_.abandon_attempt(index_, attempt_id);
  }
  void attempt_ended(Id attempt_id, Outcome outcome, bool connection_kept) override {
    const auto found = attempts_.find(attempt_id);
    if (found == attempts_.end()) return;
    const OpenAttempt attempt = found->second;
    remove_attempt(found);
    if (connection_kept) idle_connections_[static_cast<std::size_t>(attempt.executor)].push_back(attempt_id);
    const bool not_run = outcome == Outcome::kRejected || outcome == Outcome::kUnreachable;
    emulator_.answer(index_, attempt.request->client,
                     outcome == Outcome::kSucceeded ? Answer::kSucceeded
                     : not_run                      ? Answer::kShed
                                                    : Answer::kFailed);
  }
  void executor_listed(int executor, Lifecycle lifecycle, Microseconds) override {
    const auto index = static_cast<std::size_t>(executor);
    if (index >= outstanding_.size()) {
      outstanding_.resize(index + 1);
      idle_connections_.resize(index + 1);
    }
    if (lifecycle == Lifecycle::kActive)
      listed_.insert(executor);
    else
      active_.erase(executor);
  }
  void membership_received(bool is_snapshot, std::uint64_t) override {
    if (is_snapshot) active_.clear();
    active_.insert(listed_.begin(), listed_.end());
    listed_.clear();
    candidates_.assign(active_.begin(), active_.end());
  }
  void membership_call_failed() override {
    emulator_.events().schedule_after(to_microseconds(random_.uniform_between(0.5, 1.5)),
                                      [this] { emulator_.watch_membership(index_); });
  }

 private:
  struct OpenAttempt {
    std::shared_ptr<const EmulatedRequest> request;
    int executor = 0;
  };
  void remove_attempt(std::map<Id, OpenAttempt>::iterator attempt) {
    --outstanding_[static_cast<std::size_t>(attempt->second.executor)];
    attempt_by_client_.erase(attempt->second.request->client);
    attempts_.erase(attempt);
  }
  int least_outstanding_of(std::size_t draws) {
    int best = -1;
    for (std::size_t i = 0; i < draws; ++i) {
      // Draws without replacement: each drawn candidate is moved in front of those still to be drawn.
      std::swap(candidates_[i], candidates_[i + random_.index_below(candidates_.size() - i)]);
      if (best < 0 || outstanding_[static_cast<std::size_t>(candidates_[i])] <
                          outstanding_[static_cast<std::size_t>(best)])
        best = candidates_[i];
    }
    return best;
  }
  int choose_executor() {
    if (candidates_.empty()) return -1;
    const std::string& policy = emulator_.scenario().policy;
    if (policy == "round_robin") return candidates_[next_candidate_++ % candidates_.size()];
    if (policy == "random") return candidates_[random_.index_below(candidates_.size())];
    if (policy == "least_outstanding") return least_outstanding_of(candidates_.size());
    return least_outstanding_of(
        std::min(candidates_.size(), static_cast<std::size_t>(emulator_.scenario().choice_count)));
  }

  Emulator& emulator_;
  const int index_;
  RandomStream random_;
  std::map<Id, OpenAttempt> attempts_;
  std::map<Id, Id> attempt_by_client_;
  std::vector<int> outstanding_;
  std::vector<std::vector<Id>> idle_connections_;
  std::set<int> active_, listed_;
  std::vector<int> candidates_;
  std::size_t next_candidate_ = 0;
  Id last_attempt_id_ = 0;
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
