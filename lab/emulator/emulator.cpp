#include "emulator/emulator.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <utility>

namespace canvasstage::lab {
namespace {

// Purposes of the random streams.
enum Purpose : std::uint64_t { kArrivals = 1, kWork, kNetwork, kFaults, kClients, kSpeeds, kNode };

// An executor reports a failing attempt after 1 ms, without running it.
constexpr Microseconds kFailureDelay = 1000;
// Number of steps in which the speed of a cold executor grows; running attempts are rescheduled at each.
constexpr int kWarmUpSteps = 20;
constexpr double kSampleIntervalSeconds = 0.1;

}  // namespace

Emulator::Emulator(Scenario scenario, std::uint64_t seed, MakeDispatcher make)
    : scenario_(std::move(scenario)),
      seed_(seed),
      rules_(scenario_),
      arrivals_(seed, kArrivals),
      work_(seed, kWork),
      network_(seed, kNetwork),
      faults_(seed, kFaults),
      clients_(seed, kClients),
      nodes_(static_cast<std::size_t>(scenario_.nodes)),
      executors_(static_cast<std::size_t>(scenario_.executors)),
      partitioned_zones_(static_cast<std::size_t>(scenario_.zones), false) {
  scenario_.validate();
  RandomStream speeds(seed, kSpeeds);
  for (int i = 0; i < scenario_.executors; ++i) {
    ExecutorState& executor = executors_[static_cast<std::size_t>(i)];
    executor.speed =
        scenario_.speed_cv > 0 ? speeds.lognormal(scenario_.speed, scenario_.speed_cv) : scenario_.speed;
    rules_.add_executor(i, zone_of_executor(i), cell_of_executor(i), executor.speed * scenario_.slots);
  }
  distribute_traffic(speeds);
  for (const WorkClass& work_class : scenario_.classes) result_.classes.push_back({work_class.name});
  if (!make) make = make_dispatcher;
  for (int i = 0; i < scenario_.nodes; ++i) nodes_[static_cast<std::size_t>(i)].dispatcher = make(*this, i);
  for (const Fault& fault : scenario_.faults) schedule_fault(fault);
}

Emulator::~Emulator() = default;

// Draws the traffic share of each node. At least one node receives traffic, as idle_node_share is below 1.
void Emulator::distribute_traffic(RandomStream& random) {
  std::vector<double> weights;
  for (int i = 0; i < scenario_.nodes; ++i) {
    weights.push_back(1 + scenario_.node_load_skew * (2 * random.uniform() - 1));
    if (scenario_.node_load_cv > 0) weights.back() *= random.lognormal(1, scenario_.node_load_cv);
  }
  const auto idle = static_cast<std::size_t>(scenario_.idle_node_share * scenario_.nodes);
  std::vector<std::size_t> order(weights.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  for (std::size_t i = 0; i < idle; ++i) {
    std::swap(order[i], order[i + random.index_below(order.size() - i)]);
    weights[order[i]] = 0;
  }
  cumulative_weights_.resize(weights.size());
  std::partial_sum(weights.begin(), weights.end(), cumulative_weights_.begin());
}

RandomStream Emulator::node_random_stream(int node) const {
  return RandomStream(seed_, kNode, static_cast<std::uint64_t>(node));
}

Result Emulator::run() {
  // Each node starts with a complete membership, as after a restart with a cached one.
  for (int node = 0; node < scenario_.nodes; ++node) {
    Dispatcher& dispatcher = *nodes_[static_cast<std::size_t>(node)].dispatcher;
    for (int i = 0; i < scenario_.executors; ++i) dispatcher.executor_listed(i, Lifecycle::kActive, -1);
    dispatcher.membership_received(true, version_);
  }
  schedule_next_arrival();
  events_.schedule_after(to_microseconds(kSampleIntervalSeconds), [this] { sample_load(); });
  events_.run_until(to_microseconds(scenario_.length));
  const Microseconds measurement_end = events_.now();
  update_occupancy(0);
  const double mean_occupancy = occupancy_sum_ / to_seconds(measurement_end);
  // Requests still open are run to their deadlines, so that the rules cover them as well.
  double max_deadline = 0;
  for (const WorkClass& work_class : scenario_.classes)
    max_deadline = std::max(max_deadline, work_class.deadline);
  events_.run_until(to_microseconds(scenario_.length + max_deadline + 1));
  rules_.run_ended(events_.now());

  result_.events = events_.handled_count();
  result_.service = value_requested_ > 0 ? value_earned_ / value_requested_ : 1;
  const double requests =
      std::max<double>(1, static_cast<double>(last_client_request_));  // including unmeasured ones
  result_.attempts_per_request = static_cast<double>(result_.attempts) / requests;
  result_.connections_per_request = static_cast<double>(result_.connections) / requests;
  std::sort(latencies_.begin(), latencies_.end());
  if (!latencies_.empty()) {
    result_.latency_mean =
        std::accumulate(latencies_.begin(), latencies_.end(), 0.0) / static_cast<double>(latencies_.size());
    result_.latency_p50 = latencies_[latencies_.size() / 2];
    result_.latency_p99 = latencies_[latencies_.size() * 99 / 100];
  }
  result_.mean_occupancy = mean_occupancy;
  result_.mean_stay = departed_count_ > 0 ? stay_sum_ / static_cast<double>(departed_count_) : 0;
  result_.littles_law_occupancy =
      static_cast<double>(arrived_count_) / to_seconds(measurement_end) * result_.mean_stay;
  result_.peak_to_mean = sample_count_ > 0 ? peak_to_mean_sum_ / static_cast<double>(sample_count_) : 0;
  for (std::size_t i = 0; i < kRuleCount; ++i)
    result_.violations[i] = rules_.violations(static_cast<Rule>(i));
  result_.violation_messages = rules_.messages();
  result_.cold = rules_.cold();
  return result_;
}

// --- Network ---

Microseconds Emulator::delay(int zone, int other) {
  const double base = zone == other ? scenario_.same_zone_delay : scenario_.cross_zone_delay;
  return scenario_.jitter > 0 ? to_microseconds(base * (1 + scenario_.jitter * network_.uniform()))
                              : to_microseconds(base);
}

bool Emulator::is_partitioned(int zone, int other) const {
  return zone != other && (partitioned_zones_[static_cast<std::size_t>(zone)] ||
                           partitioned_zones_[static_cast<std::size_t>(other)]);
}

// Delivers a message from an executor to a node. A lost message breaks the connection; a message that meets a
// partition is dropped without notice.
void Emulator::send_to_node(const AttemptRef& attempt, std::function<void()> deliver) {
  const int from = zone_of_executor(attempt->executor), to = zone_of_node(attempt->node);
  if (loss_probability_ > 0 && network_.bernoulli(loss_probability_)) {
    end_attempt(attempt, Outcome::kConnectionLost, false);
    return cancel(attempt);
  }
  events_.schedule_after(delay(from, to), [this, attempt, from, to, deliver = std::move(deliver)] {
    if (!attempt->end_reported && !is_partitioned(from, to)) deliver();
  });
}

void Emulator::report_end(const AttemptRef& attempt, Outcome outcome, bool connection_kept) {
  send_to_node(attempt,
               [this, attempt, outcome, connection_kept] { end_attempt(attempt, outcome, connection_kept); });
}

void Emulator::end_attempt(const AttemptRef& attempt, Outcome outcome, bool connection_kept) {
  if (attempt->end_reported) return;
  attempt->end_reported = true;
  NodeState& node = nodes_[static_cast<std::size_t>(attempt->node)];
  node.attempts.erase(attempt->id);
  const std::uint64_t request = attempt->request->client;
  rules_.attempt_closed(request, attempt->id);
  if (outcome == Outcome::kRejected || outcome == Outcome::kUnreachable || outcome == Outcome::kNotSent)
    rules_.attempt_not_run(request, attempt->id);
  if (connection_kept)
    node.idle_connections[attempt->id] = {attempt->executor, attempt->incarnation, events_.now()};
  node.dispatcher->attempt_ended(attempt->id, outcome, connection_kept);
}

void Emulator::start_attempt(int node, Id attempt_id, Id reused_connection, int executor,
                             const std::shared_ptr<const EmulatedRequest>& request) {
  NodeState& from = nodes_[static_cast<std::size_t>(node)];
  const auto attempt = std::make_shared<Attempt>();
  attempt->node = node;
  attempt->executor = executor;
  attempt->id = attempt_id;
  attempt->request = request;
  from.attempts[attempt_id] = attempt;
  ++result_.attempts;
  rules_.attempt_started(request->client, attempt_id, node, executor, request->work * request->width,
                         events_.now());
  if (const auto idle = from.idle_connections.find(reused_connection); idle != from.idle_connections.end()) {
    attempt->incarnation = idle->second.incarnation;
    attempt->reused = attempt->connected = true;
    from.idle_connections.erase(idle);
    return send(attempt);
  }
  ++result_.connections;
  connect(attempt);
}

void Emulator::connect(const AttemptRef& attempt) {
  const int node_zone = zone_of_node(attempt->node), executor_zone = zone_of_executor(attempt->executor);
  const Microseconds started_at = events_.now();
  events_.schedule_after(
      delay(node_zone, executor_zone), [this, attempt, node_zone, executor_zone, started_at] {
        const ExecutorState& executor = executors_[static_cast<std::size_t>(attempt->executor)];
        if (is_partitioned(node_zone, executor_zone) || executor.silent) {
          events_.schedule_at(started_at + to_microseconds(scenario_.connect_timeout),
                              [this, attempt] { end_attempt(attempt, Outcome::kUnreachable, false); });
          return;
        }
        const bool up = executor.up;
        attempt->incarnation = executor.incarnation;
        events_.schedule_after(delay(executor_zone, node_zone), [this, attempt, up] {
          if (!up) return end_attempt(attempt, Outcome::kUnreachable, false);
          if (attempt->end_reported) return;
          attempt->connected = true;
          send(attempt);
        });
      });
}

void Emulator::send(const AttemptRef& attempt) {
  const int node_zone = zone_of_node(attempt->node), executor_zone = zone_of_executor(attempt->executor);
  if (loss_probability_ > 0 && network_.bernoulli(loss_probability_)) {
    events_.schedule_after(2 * delay(node_zone, executor_zone),
                           [this, attempt] { end_attempt(attempt, Outcome::kConnectionLost, false); });
    return;
  }
  events_.schedule_after(delay(node_zone, executor_zone), [this, attempt, node_zone, executor_zone] {
    if (!is_partitioned(node_zone, executor_zone)) accept_attempt(attempt);
  });
}

void Emulator::abandon_attempt(int node, Id attempt_id) {
  NodeState& from = nodes_[static_cast<std::size_t>(node)];
  from.idle_connections.erase(attempt_id);
  const auto found = from.attempts.find(attempt_id);
  if (found == from.attempts.end()) return;
  const AttemptRef attempt = found->second;
  from.attempts.erase(found);
  attempt->end_reported = true;
  rules_.attempt_closed(attempt->request->client, attempt_id);
  const int node_zone = zone_of_node(node), executor_zone = zone_of_executor(attempt->executor);
  events_.schedule_after(delay(node_zone, executor_zone), [this, attempt, node_zone, executor_zone] {
    if (!is_partitioned(node_zone, executor_zone)) cancel(attempt);
  });
  events_.schedule_after(0, [this, node, attempt_id] {
    nodes_[static_cast<std::size_t>(node)].dispatcher->attempt_ended(attempt_id, Outcome::kConnectionLost,
                                                                     false);
  });
}

bool Emulator::is_connection_open(int node, Id attempt_id) const {
  const NodeState& from = nodes_[static_cast<std::size_t>(node)];
  const auto found = from.idle_connections.find(attempt_id);
  if (found == from.idle_connections.end()) return false;
  const Connection& connection = found->second;
  const ExecutorState& executor = executors_[static_cast<std::size_t>(connection.executor)];
  // A silent machine sends no reset, so its connections still look open.
  return connection.incarnation == executor.incarnation && (executor.up || executor.silent) &&
         events_.now() - connection.last_used < to_microseconds(scenario_.connection_idle_timeout);
}

// --- Executors ---

void Emulator::accept_attempt(const AttemptRef& attempt) {
  ExecutorState& executor = executors_[static_cast<std::size_t>(attempt->executor)];
  if (executor.silent) return;
  if (!executor.up || executor.incarnation != attempt->incarnation)
    return report_end(attempt, attempt->reused ? Outcome::kStaleConnection : Outcome::kConnectionLost, false);
  // The attempt was abandoned before or while it was sent; the close of its connection follows.
  if (attempt->end_reported) return;
  if (executor.failure_probability > 0 && faults_.bernoulli(executor.failure_probability)) {
    events_.schedule_after(kFailureDelay, [this, attempt] { report_end(attempt, Outcome::kFailed, true); });
    return;
  }
  const bool fits =
      executor.used_slots + attempt->request->width <= scenario_.slots && executor.queue.empty();
  if (executor.draining || (!fits && static_cast<int>(executor.queue.size()) >= scenario_.queue_capacity))
    return report_end(attempt, Outcome::kRejected, true);
  attempt->queued = true;
  attempt->arrived_at = events_.now();
  attempt->remaining_work = attempt->request->work + (attempt->reused ? 0 : scenario_.handshake_work);
  executor.queue.push_back(attempt);
  ++arrived_count_;
  update_occupancy(1);
  send_to_node(attempt, [this, attempt] {
    nodes_[static_cast<std::size_t>(attempt->node)].dispatcher->attempt_accepted(attempt->id);
  });
  start_queued_attempts(attempt->executor);
}

void Emulator::start_queued_attempts(int index) {
  ExecutorState& executor = executors_[static_cast<std::size_t>(index)];
  while (executor.up && !executor.hung && !executor.queue.empty() &&
         executor.used_slots + executor.queue.front()->request->width <= scenario_.slots) {
    const AttemptRef attempt = executor.queue.front();
    executor.queue.pop_front();
    attempt->queued = false;
    attempt->running = true;
    attempt->progress_updated_at = events_.now();
    executor.used_slots += attempt->request->width;
    executor.running.push_back(attempt);
    if (scenario_.reports_start)
      send_to_node(attempt, [this, attempt] {
        nodes_[static_cast<std::size_t>(attempt->node)].dispatcher->attempt_started(attempt->id);
      });
    // If the start report was lost, the attempt has been cancelled already.
    if (attempt->running) schedule_completion(index, attempt);
  }
}

double Emulator::execution_rate(const ExecutorState& executor) const {
  double capacity_share = 1;
  if (executor.started >= 0 && scenario_.executor_warm_up > 0) {
    const double age = to_seconds(events_.now() - executor.started) / scenario_.executor_warm_up;
    capacity_share = scenario_.cold_start_share + (1 - scenario_.cold_start_share) * std::min(1.0, age);
  }
  return executor.speed * capacity_share / executor.slowdown;
}

void Emulator::schedule_completion(int index, const AttemptRef& attempt) {
  const std::uint64_t completion_serial = ++attempt->completion_serial;
  const double span = attempt->remaining_work / execution_rate(executors_[static_cast<std::size_t>(index)]);
  events_.schedule_after(to_microseconds(span), [this, index, attempt, completion_serial] {
    if (!attempt->running || attempt->completion_serial != completion_serial) return;
    remove_from_executor(attempt);
    report_end(attempt, Outcome::kSucceeded, true);
    start_queued_attempts(index);
  });
}

// Reduces the remaining work of running attempts by what was done since the last update.
void Emulator::update_progress(const ExecutorState& executor) {
  for (const AttemptRef& attempt : executor.running) {
    attempt->remaining_work =
        std::max(0.0, attempt->remaining_work - to_seconds(events_.now() - attempt->progress_updated_at) *
                                                    execution_rate(executor));
    attempt->progress_updated_at = events_.now();
  }
}

// Schedules completions anew after a change of speed. update_progress() must have been called with the old
// speed.
void Emulator::reschedule_completions(int index) {
  for (const AttemptRef& attempt : executors_[static_cast<std::size_t>(index)].running)
    schedule_completion(index, attempt);
}

void Emulator::remove_from_executor(const AttemptRef& attempt) {
  ExecutorState& executor = executors_[static_cast<std::size_t>(attempt->executor)];
  if (attempt->running) {
    std::erase(executor.running, attempt);
    executor.used_slots -= attempt->request->width;
  } else if (attempt->queued) {
    executor.queue.erase(std::find(executor.queue.begin(), executor.queue.end(), attempt));
  } else {
    return;
  }
  attempt->running = attempt->queued = false;
  update_occupancy(-1);
  ++departed_count_;
  stay_sum_ += to_seconds(events_.now() - attempt->arrived_at);
}

void Emulator::cancel(const AttemptRef& attempt) {
  if (attempt->running && !scenario_.can_cancel_running) return;
  remove_from_executor(attempt);
  start_queued_attempts(attempt->executor);
}

void Emulator::break_connections(int index) {
  ExecutorState& executor = executors_[static_cast<std::size_t>(index)];
  ++executor.incarnation;
  std::vector<AttemptRef> open_attempts(executor.queue.begin(), executor.queue.end());
  open_attempts.insert(open_attempts.end(), executor.running.begin(), executor.running.end());
  for (const AttemptRef& attempt : open_attempts) {
    remove_from_executor(attempt);
    report_end(attempt, Outcome::kConnectionLost, false);
  }
}

void Emulator::start_cold(int index) {
  ExecutorState& executor = executors_[static_cast<std::size_t>(index)];
  executor.started = events_.now();
  rules_.executor_started(index, events_.now());
  if (scenario_.executor_warm_up > 0) schedule_warm_up_step(index);
}

void Emulator::schedule_warm_up_step(int index) {
  const Microseconds started = executors_[static_cast<std::size_t>(index)].started;
  events_.schedule_after(to_microseconds(scenario_.executor_warm_up / kWarmUpSteps), [this, index, started] {
    ExecutorState& executor = executors_[static_cast<std::size_t>(index)];
    if (executor.started != started) return;
    update_progress(executor);
    reschedule_completions(index);
    if (events_.now() - started < to_microseconds(scenario_.executor_warm_up)) schedule_warm_up_step(index);
  });
}

// --- Discovery ---

// Changes the listed lifecycle of an executor and notifies the nodes that watch.
void Emulator::update_lifecycle(int index, Lifecycle lifecycle) {
  ExecutorState& executor = executors_[static_cast<std::size_t>(index)];
  executor.lifecycle = lifecycle;
  executor.changed_version = ++version_;
  if (!discovery_up_) return;
  for (int node = 0; node < scenario_.nodes; ++node) {
    const NodeState& state = nodes_[static_cast<std::size_t>(node)];
    if (!state.watching) continue;
    events_.schedule_after(
        delay(0, zone_of_node(node)), [this, node, index, lifecycle, started = executor.started,
                                       version = version_, call = state.watch_call] {
          NodeState& to = nodes_[static_cast<std::size_t>(node)];
          if (!to.watching || to.watch_call != call) return;
          rules_.membership_reported(node, index, lifecycle == Lifecycle::kActive, events_.now());
          to.dispatcher->executor_listed(index, lifecycle, started);
          to.dispatcher->membership_received(false, version);
        });
  }
}

void Emulator::watch_membership(int node) {
  NodeState& from = nodes_[static_cast<std::size_t>(node)];
  const std::uint64_t call = from.watch_call = ++last_watch_call_;
  from.watching = false;
  ++result_.membership_calls;
  const Microseconds arrival = events_.now() + delay(zone_of_node(node), 0);
  events_.schedule_at(arrival, [this, node, call] {
    const Microseconds service_start = std::max(discovery_free_at_, events_.now());
    const Microseconds timeout = to_microseconds(scenario_.membership_call_timeout);
    const bool timed_out = service_start - events_.now() > timeout;
    // A call that times out uses capacity all the same.
    if (discovery_up_)
      discovery_free_at_ = service_start + to_microseconds(1 / scenario_.membership_calls_per_second);
    if (!discovery_up_ || timed_out) {
      events_.schedule_after(delay(0, zone_of_node(node)) + (timed_out ? timeout : 0), [this, node, call] {
        if (nodes_[static_cast<std::size_t>(node)].watch_call == call)
          nodes_[static_cast<std::size_t>(node)].dispatcher->membership_call_failed();
      });
      return;
    }
    events_.schedule_at(discovery_free_at_, [this, node, call] { send_membership(node, call); });
  });
}

void Emulator::send_membership(int node, std::uint64_t call) {
  std::vector<std::pair<Lifecycle, Microseconds>> entries;
  for (const ExecutorState& executor : executors_) entries.emplace_back(executor.lifecycle, executor.started);
  nodes_[static_cast<std::size_t>(node)].watching = true;
  events_.schedule_after(
      delay(0, zone_of_node(node)), [this, node, call, entries = std::move(entries), version = version_] {
        NodeState& to = nodes_[static_cast<std::size_t>(node)];
        if (to.watch_call != call) return;
        for (std::size_t i = 0; i < entries.size(); ++i) {
          const int index = static_cast<int>(i);
          rules_.membership_reported(node, index, entries[i].first == Lifecycle::kActive, events_.now());
          if (entries[i].first != Lifecycle::kRemoved)
            to.dispatcher->executor_listed(index, entries[i].first, entries[i].second);
        }
        to.dispatcher->membership_received(true, version);
      });
}

// --- Clients ---

void Emulator::schedule_next_arrival() {
  const double rate = scenario_.arrival_rate() * arrival_multiple_;
  events_.schedule_after(to_microseconds(arrivals_.exponential(1 / rate)), [this] {
    if (events_.now() >= to_microseconds(scenario_.length)) return;
    const std::uint64_t number = ++last_client_request_;
    ClientRequest& client_request = client_requests_[number];
    double shares = 0;
    for (const WorkClass& work_class : scenario_.classes) shares += work_class.share;
    double at = work_.uniform() * shares;
    while (client_request.use_case + 1 < static_cast<int>(scenario_.classes.size()) &&
           (at -= scenario_.classes[static_cast<std::size_t>(client_request.use_case)].share) >= 0)
      ++client_request.use_case;
    const WorkClass& work_class = scenario_.classes[static_cast<std::size_t>(client_request.use_case)];
    client_request.work = work_class.work_cv == 0   ? work_class.work
                          : work_class.work_cv == 1 ? work_.exponential(work_class.work)
                                                    : work_.lognormal(work_class.work, work_class.work_cv);
    client_request.sent_at = events_.now();
    client_request.measured = events_.now() >= to_microseconds(scenario_.measurement_start);
    if (client_request.measured) {
      ++result_.requests;
      ++result_.classes[static_cast<std::size_t>(client_request.use_case)].requested;
    }
    send_request(number);
    schedule_next_arrival();
  });
}

void Emulator::send_request(std::uint64_t number) {
  ClientRequest& client_request = client_requests_.at(number);
  const WorkClass& work_class = scenario_.classes[static_cast<std::size_t>(client_request.use_case)];
  ++client_request.try_count;
  const auto request = std::make_shared<EmulatedRequest>();
  request->client = ++last_client_;
  request->client_request = number;
  const double at = clients_.uniform() * cumulative_weights_.back();
  request->node =
      static_cast<int>(std::upper_bound(cumulative_weights_.begin(), cumulative_weights_.end(), at) -
                       cumulative_weights_.begin());
  request->use_case = client_request.use_case;
  request->width = work_class.width;
  request->work = client_request.work;
  request->due = client_request.sent_at + to_microseconds(work_class.deadline);
  open_requests_[request->client] = request;
  rules_.request_accepted(request->client, client_request.use_case, request->due);
  if (clients_.bernoulli(scenario_.disconnect_share)) {
    const Microseconds when =
        client_request.sent_at + to_microseconds(clients_.uniform_between(0, work_class.deadline));
    events_.schedule_at(when, [this, client = request->client, node = request->node, number] {
      if (open_requests_.erase(client) == 0) return;
      rules_.client_disconnected(client);
      nodes_[static_cast<std::size_t>(node)].dispatcher->client_closed(client);
      const auto found = client_requests_.find(number);
      if (found->second.measured)
        ++result_.classes[static_cast<std::size_t>(found->second.use_case)].disconnected;
      client_requests_.erase(found);
    });
  }
  nodes_[static_cast<std::size_t>(request->node)].dispatcher->request_arrived(request);
}

void Emulator::answer(int node, Id client, Answer answer) {
  const auto found = open_requests_.find(client);
  const bool shed = answer == Answer::kShed;
  if (found == open_requests_.end()) {
    rules_.answered(client, shed, events_.now());  // a duplicate, or the client has disconnected
    return;
  }
  const std::uint64_t client_request = found->second->client_request;
  open_requests_.erase(found);
  rules_.answered(client, shed, events_.now());
  events_.schedule_after(
      0, [this, node, client] { nodes_[static_cast<std::size_t>(node)].dispatcher->client_closed(client); });
  finish_request(client_request, answer);
}

void Emulator::finish_request(std::uint64_t number, Answer answer) {
  ClientRequest& client_request = client_requests_.at(number);
  const WorkClass& work_class = scenario_.classes[static_cast<std::size_t>(client_request.use_case)];
  const bool may_retry = answer == Answer::kShed || work_class.effect == Effect::kIdempotent;
  const Microseconds retry_at =
      events_.now() + to_microseconds(scenario_.retry_backoff * clients_.uniform_between(0.5, 1.5));
  if (answer != Answer::kSucceeded && may_retry &&
      client_request.try_count <= static_cast<int>(scenario_.max_retries) &&
      retry_at < client_request.sent_at + to_microseconds(work_class.deadline)) {
    events_.schedule_at(retry_at, [this, number] { send_request(number); });
    return;
  }
  if (client_request.measured) {
    ClassResult& into = result_.classes[static_cast<std::size_t>(client_request.use_case)];
    const double latency = to_seconds(events_.now() - client_request.sent_at);
    value_requested_ += work_class.value;
    if (answer == Answer::kSucceeded) {
      const bool in_time =
          latency <= work_class.target_latency + work_class.target_latency_per_work * client_request.work;
      ++(in_time ? into.in_time : into.late);
      value_earned_ += work_class.value * (in_time ? 1 : work_class.late_value);
      latencies_.push_back(latency);
    } else {
      ++(answer == Answer::kShed ? into.shed : into.failed);
    }
  }
  client_requests_.erase(number);
}

// --- Faults ---

std::vector<int> Emulator::select_executors(const Fault& fault) {
  std::vector<int> from, result;
  for (int i = 0; i < scenario_.executors; ++i)
    if (fault.zone < 0 || zone_of_executor(i) == fault.zone) from.push_back(i);
  if (fault.zone >= 0) return from;
  const auto count = static_cast<std::size_t>(std::ceil(fault.share * static_cast<double>(from.size())));
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(from[i], from[i + faults_.index_below(from.size() - i)]);
    result.push_back(from[i]);
  }
  return result;
}

void Emulator::schedule_fault(const Fault& fault) {
  const Microseconds start = to_microseconds(fault.start),
                     end = to_microseconds(fault.start + fault.duration);
  const Microseconds membership_delay = to_microseconds(scenario_.membership_propagation_delay);
  const auto set_partitioned = [this](int zone, bool partitioned) {
    for (std::size_t i = 0; i < partitioned_zones_.size(); ++i)
      if (zone < 0 ? i == 0 : static_cast<int>(i) == zone) partitioned_zones_[i] = partitioned;
  };
  switch (fault.kind) {
    case Fault::Kind::kPartition:
      events_.schedule_at(start, [set_partitioned, zone = fault.zone] { set_partitioned(zone, true); });
      events_.schedule_at(end, [set_partitioned, zone = fault.zone] { set_partitioned(zone, false); });
      return;
    case Fault::Kind::kLoss:
      events_.schedule_at(start, [this, share = fault.share] { loss_probability_ = share; });
      events_.schedule_at(end, [this] { loss_probability_ = 0; });
      return;
    case Fault::Kind::kBurst:
      events_.schedule_at(start, [this, magnitude = fault.magnitude] { arrival_multiple_ = magnitude; });
      events_.schedule_at(end, [this] { arrival_multiple_ = 1; });
      return;
    case Fault::Kind::kDiscovery:
      events_.schedule_at(start, [this] {
        discovery_up_ = false;
        for (int node = 0; node < scenario_.nodes; ++node) {
          NodeState& state = nodes_[static_cast<std::size_t>(node)];
          if (!std::exchange(state.watching, false)) continue;
          state.watch_call = ++last_watch_call_;
          events_.schedule_after(delay(0, zone_of_node(node)), [this, node] {
            nodes_[static_cast<std::size_t>(node)].dispatcher->membership_call_failed();
          });
        }
      });
      events_.schedule_at(end, [this] { discovery_up_ = true; });
      return;
    default:
      break;
  }
  for (const int index : select_executors(fault)) {
    ExecutorState& executor = executors_[static_cast<std::size_t>(index)];
    const auto restart = [this, &executor, index] {
      executor.up = true;
      executor.draining = false;
      start_cold(index);
    };
    const auto lifecycle_update = [this, index](Lifecycle lifecycle) {
      return [this, index, lifecycle] { update_lifecycle(index, lifecycle); };
    };
    const auto change_rate = [this, &executor, index](double slowdown) {
      update_progress(executor);
      executor.slowdown = slowdown;
      reschedule_completions(index);
    };
    switch (fault.kind) {
      case Fault::Kind::kCrash:
        events_.schedule_at(start, [this, &executor, index] {
          executor.up = false;
          break_connections(index);
        });
        events_.schedule_at(end, restart);
        if (end - start > membership_delay)
          events_.schedule_at(start + membership_delay, lifecycle_update(Lifecycle::kRemoved));
        events_.schedule_at(end + membership_delay, lifecycle_update(Lifecycle::kActive));
        break;
      case Fault::Kind::kVanish:
        events_.schedule_at(start, [&executor] { executor.silent = true; });
        events_.schedule_at(end, [this, &executor, index] {
          executor.silent = false;
          break_connections(index);
        });
        break;
      case Fault::Kind::kHang:
        events_.schedule_at(start, [&executor] { executor.hung = true; });
        events_.schedule_at(end, [this, &executor, index] {
          executor.hung = false;
          start_queued_attempts(index);
        });
        break;
      case Fault::Kind::kSlow:
        events_.schedule_at(start, [change_rate, magnitude = fault.magnitude] { change_rate(magnitude); });
        events_.schedule_at(end, [change_rate] { change_rate(1); });
        break;
      case Fault::Kind::kFail:
        events_.schedule_at(start, [&executor, magnitude = fault.magnitude] {
          executor.failure_probability = std::min(1.0, magnitude);
        });
        events_.schedule_at(end, [&executor] { executor.failure_probability = 0; });
        break;
      case Fault::Kind::kDrain:
        events_.schedule_at(start, [&executor] { executor.draining = true; });
        events_.schedule_at(start, lifecycle_update(Lifecycle::kDraining));
        events_.schedule_at(end, [this, &executor, index] {
          executor.up = false;
          break_connections(index);
        });
        events_.schedule_at(end, lifecycle_update(Lifecycle::kRemoved));
        events_.schedule_at(end + membership_delay, restart);
        events_.schedule_at(end + 2 * membership_delay, lifecycle_update(Lifecycle::kActive));
        break;
      default:
        break;
    }
  }
}

// --- Metrics ---

void Emulator::update_occupancy(int change) {
  occupancy_sum_ += occupancy_ * to_seconds(events_.now() - occupancy_since_);
  occupancy_since_ = events_.now();
  occupancy_ += change;
}

void Emulator::sample_load() {
  double sum = 0, max_load = 0;
  for (const ExecutorState& executor : executors_) {
    const double load = static_cast<double>(executor.queue.size() + executor.running.size());
    sum += load;
    max_load = std::max(max_load, load);
  }
  if (sum > 0) {
    peak_to_mean_sum_ += max_load * static_cast<double>(executors_.size()) / sum;
    ++sample_count_;
  }
  if (events_.now() < to_microseconds(scenario_.length))
    events_.schedule_after(to_microseconds(kSampleIntervalSeconds), [this] { sample_load(); });
}

std::string Result::summary() const {
  std::string out;
  char line[256];
  const auto add = [&out, &line](int) { out += line; };
  for (const ClassResult& class_result : classes)
    add(std::snprintf(line, sizeof line,
                      "%s requested %llu in time %llu late %llu shed %llu failed %llu disconnected %llu\n",
                      class_result.name.c_str(), static_cast<unsigned long long>(class_result.requested),
                      static_cast<unsigned long long>(class_result.in_time),
                      static_cast<unsigned long long>(class_result.late),
                      static_cast<unsigned long long>(class_result.shed),
                      static_cast<unsigned long long>(class_result.failed),
                      static_cast<unsigned long long>(class_result.disconnected)));
  add(std::snprintf(
      line, sizeof line, "service %.6f attempts %llu connections %llu membership calls %llu events %llu\n",
      service, static_cast<unsigned long long>(attempts), static_cast<unsigned long long>(connections),
      static_cast<unsigned long long>(membership_calls), static_cast<unsigned long long>(events)));
  add(std::snprintf(line, sizeof line, "latency mean %.6f p50 %.6f p99 %.6f s\n", latency_mean, latency_p50,
                    latency_p99));
  add(std::snprintf(line, sizeof line,
                    "at the executors %.6f, by Little's law %.6f; stay %.6f s, peak %.4f times the mean\n",
                    mean_occupancy, littles_law_occupancy, mean_stay, peak_to_mean));
  add(std::snprintf(line, sizeof line,
                    "cold %llu, overloaded %llu, peak %.6f of the limit, budget use %.6f\n",
                    static_cast<unsigned long long>(cold.executors),
                    static_cast<unsigned long long>(cold.overloaded), cold.peak_load, cold.budget_use));
  add(std::snprintf(
      line, sizeof line, "rules broken: %llu answers, %llu repeats, %llu drains, %llu cold\n",
      static_cast<unsigned long long>(violations[0]), static_cast<unsigned long long>(violations[1]),
      static_cast<unsigned long long>(violations[2]), static_cast<unsigned long long>(violations[3])));
  for (const std::string& message : violation_messages) out += "  " + message + "\n";
  return out;
}

}  // namespace canvasstage::lab
