#include "emulator/emulator.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <utility>

namespace canvasstage::lab {
namespace {

// One stream of chance for each purpose.
enum Purpose : std::uint64_t { kArrivals = 1, kWork, kNetwork, kFaults, kClients, kSpeeds, kNode };

// A job that an executor cannot run is known to fail at once.
constexpr Micros kFailsWithin = 1000;
// A warm-up in so many steps: what runs meanwhile is rated anew at each.
constexpr int kWarmSteps = 20;
constexpr double kSampleEvery = 0.1;

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
      cut_(static_cast<std::size_t>(scenario_.zones), false) {
  scenario_.check();
  Chance speeds(seed, kSpeeds);
  for (int i = 0; i < scenario_.executors; ++i) {
    ExecutorState& executor = executors_[static_cast<std::size_t>(i)];
    executor.speed = scenario_.speed_spread > 0 ? speeds.lognormal(scenario_.speed, scenario_.speed_spread)
                                                : scenario_.speed;
    rules_.executor_is(i, zone_of_executor(i), cell_of_executor(i), executor.speed * scenario_.slots);
  }
  share_traffic(speeds);
  for (const WorkClass& one : scenario_.classes) result_.classes.push_back({one.name});
  if (!make) make = make_dispatcher;
  for (int i = 0; i < scenario_.nodes; ++i) nodes_[static_cast<std::size_t>(i)].dispatcher = make(*this, i);
  for (const Fault& fault : scenario_.faults) arrange(fault);
}

Emulator::~Emulator() = default;

// Which node gets how much; at least one gets something.
void Emulator::share_traffic(Chance& chance) {
  std::vector<double> parts;
  for (int i = 0; i < scenario_.nodes; ++i) {
    parts.push_back(1 + scenario_.node_skew * (2 * chance.uniform() - 1));
    if (scenario_.node_spread > 0) parts.back() *= chance.lognormal(1, scenario_.node_spread);
  }
  const auto idle = static_cast<std::size_t>(scenario_.idle_nodes * scenario_.nodes);
  std::vector<std::size_t> order(parts.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  for (std::size_t i = 0; i < idle; ++i) {
    std::swap(order[i], order[i + chance.below(order.size() - i)]);
    parts[order[i]] = 0;
  }
  weights_.resize(parts.size());
  std::partial_sum(parts.begin(), parts.end(), weights_.begin());
}

Chance Emulator::chance_of(int node) const {
  return Chance(seed_, kNode, static_cast<std::uint64_t>(node));
}

Result Emulator::run() {
  // Each node begins with the list in hand, as with a remembered one.
  for (int node = 0; node < scenario_.nodes; ++node) {
    Dispatcher& dispatcher = *nodes_[static_cast<std::size_t>(node)].dispatcher;
    for (int i = 0; i < scenario_.executors; ++i) dispatcher.listed(i, Lifecycle::kActive, -1);
    dispatcher.list_ended(true, version_);
  }
  next_arrival();
  events_.after(micros(kSampleEvery), [this] { sample(); });
  events_.run_until(micros(scenario_.length));
  const Micros measured_until = events_.now();
  count_there(0);
  const double there = there_sum_ / in_seconds(measured_until);
  // What is open has its limit to come; no rule ends with the arrivals.
  double longest = 0;
  for (const WorkClass& one : scenario_.classes) longest = std::max(longest, one.limit);
  events_.run_until(micros(scenario_.length + longest + 1));
  rules_.ended(events_.now());

  result_.events = events_.handled();
  result_.service = worth_asked_ > 0 ? worth_earned_ / worth_asked_ : 1;
  const double requests = std::max<double>(1, static_cast<double>(last_request_));  // with the warm-up's
  result_.launches_a_request = static_cast<double>(result_.launches) / requests;
  result_.connections_a_request = static_cast<double>(result_.connections) / requests;
  std::sort(latencies_.begin(), latencies_.end());
  if (!latencies_.empty()) {
    result_.latency_mean =
        std::accumulate(latencies_.begin(), latencies_.end(), 0.0) / static_cast<double>(latencies_.size());
    result_.latency_p50 = latencies_[latencies_.size() / 2];
    result_.latency_p99 = latencies_[latencies_.size() * 99 / 100];
  }
  result_.there = there;
  result_.stay = went_ > 0 ? stay_sum_ / static_cast<double>(went_) : 0;
  result_.rate_by_stay = static_cast<double>(came_) / in_seconds(measured_until) * result_.stay;
  result_.most_over_mean = samples_ > 0 ? over_mean_sum_ / static_cast<double>(samples_) : 0;
  for (std::size_t i = 0; i < kRules; ++i) result_.broken[i] = rules_.broken(static_cast<Rule>(i));
  result_.broken_words = rules_.first_words();
  result_.cold = rules_.cold();
  return result_;
}

// --- The network ---

Micros Emulator::delay(int zone, int other) {
  const double base = zone == other ? scenario_.delay : scenario_.zone_delay;
  return scenario_.jitter > 0 ? micros(base * (1 + scenario_.jitter * network_.uniform())) : micros(base);
}

bool Emulator::apart(int zone, int other) const {
  return zone != other && (cut_[static_cast<std::size_t>(zone)] || cut_[static_cast<std::size_t>(other)]);
}

// From an executor to the node. What is lost breaks the connection; what meets a partition is never heard of.
void Emulator::tell(const AttemptRef& attempt, std::function<void()> what) {
  const int from = zone_of_executor(attempt->executor), to = zone_of_node(attempt->node);
  if (loss_ > 0 && network_.happens(loss_)) {
    end_at_node(attempt, Outcome::kConnectionLost, false);
    return cancel(attempt);
  }
  events_.after(delay(from, to), [this, attempt, from, to, what = std::move(what)] {
    if (!attempt->told_end && !apart(from, to)) what();
  });
}

void Emulator::tell_end(const AttemptRef& attempt, Outcome outcome, bool kept) {
  tell(attempt, [this, attempt, outcome, kept] { end_at_node(attempt, outcome, kept); });
}

void Emulator::end_at_node(const AttemptRef& attempt, Outcome outcome, bool kept) {
  if (attempt->told_end) return;
  attempt->told_end = true;
  NodeState& node = nodes_[static_cast<std::size_t>(attempt->node)];
  node.attempts.erase(attempt->launch);
  const std::uint64_t job = attempt->job->client;
  rules_.not_out(job, attempt->launch);
  if (outcome == Outcome::kRejected || outcome == Outcome::kUnreachable || outcome == Outcome::kNotSent)
    rules_.never_ran(job, attempt->launch);
  if (kept) node.free[attempt->launch] = {attempt->executor, attempt->life, events_.now()};
  node.dispatcher->ended(attempt->launch, outcome, kept);
}

void Emulator::launch(int node, Id launch, Id over, int executor, const std::shared_ptr<const Job>& job) {
  NodeState& from = nodes_[static_cast<std::size_t>(node)];
  const auto attempt = std::make_shared<Attempt>();
  attempt->node = node;
  attempt->executor = executor;
  attempt->launch = launch;
  attempt->job = job;
  from.attempts[launch] = attempt;
  ++result_.launches;
  rules_.launched(job->client, launch, node, executor, job->work * job->width, events_.now());
  if (const auto free = from.free.find(over); free != from.free.end()) {
    attempt->life = free->second.life;
    attempt->reused = attempt->connected = true;
    from.free.erase(free);
    return send(attempt);
  }
  ++result_.connections;
  connect(attempt);
}

void Emulator::connect(const AttemptRef& attempt) {
  const int here = zone_of_node(attempt->node), there = zone_of_executor(attempt->executor);
  const Micros asked = events_.now();
  events_.after(delay(here, there), [this, attempt, here, there, asked] {
    const ExecutorState& executor = executors_[static_cast<std::size_t>(attempt->executor)];
    if (apart(here, there) || executor.silent) {
      events_.at(asked + micros(scenario_.connect_within),
                 [this, attempt] { end_at_node(attempt, Outcome::kUnreachable, false); });
      return;
    }
    const bool up = executor.up;
    attempt->life = executor.life;
    events_.after(delay(there, here), [this, attempt, up] {
      if (!up) return end_at_node(attempt, Outcome::kUnreachable, false);
      if (attempt->told_end) return;
      attempt->connected = true;
      send(attempt);
    });
  });
}

void Emulator::send(const AttemptRef& attempt) {
  const int here = zone_of_node(attempt->node), there = zone_of_executor(attempt->executor);
  if (loss_ > 0 && network_.happens(loss_)) {
    events_.after(2 * delay(here, there),
                  [this, attempt] { end_at_node(attempt, Outcome::kConnectionLost, false); });
    return;
  }
  events_.after(delay(here, there), [this, attempt, here, there] {
    if (!apart(here, there)) come(attempt);
  });
}

void Emulator::give_up(int node, Id launch) {
  NodeState& from = nodes_[static_cast<std::size_t>(node)];
  from.free.erase(launch);
  const auto found = from.attempts.find(launch);
  if (found == from.attempts.end()) return;
  const AttemptRef attempt = found->second;
  from.attempts.erase(found);
  attempt->told_end = true;
  rules_.not_out(attempt->job->client, launch);
  const int here = zone_of_node(node), there = zone_of_executor(attempt->executor);
  events_.after(delay(here, there), [this, attempt, here, there] {
    if (!apart(here, there)) cancel(attempt);
  });
  events_.after(0, [this, node, launch] {
    nodes_[static_cast<std::size_t>(node)].dispatcher->ended(launch, Outcome::kConnectionLost, false);
  });
}

bool Emulator::still_open(int node, Id launch) const {
  const NodeState& from = nodes_[static_cast<std::size_t>(node)];
  const auto found = from.free.find(launch);
  if (found == from.free.end()) return false;
  const Connection& connection = found->second;
  const ExecutorState& executor = executors_[static_cast<std::size_t>(connection.executor)];
  // A machine that vanished says nothing of its connections; they look open.
  return connection.life == executor.life && (executor.up || executor.silent) &&
         events_.now() - connection.used < micros(scenario_.idle);
}

// --- Executors ---

void Emulator::come(const AttemptRef& attempt) {
  ExecutorState& executor = executors_[static_cast<std::size_t>(attempt->executor)];
  if (executor.silent) return;
  if (!executor.up || executor.life != attempt->life)
    return tell_end(attempt, attempt->reused ? Outcome::kStaleConnection : Outcome::kConnectionLost, false);
  // Given up before it came, or on its way: the end of its connection is right behind it.
  if (attempt->told_end) return;
  if (executor.failing > 0 && faults_.happens(executor.failing)) {
    events_.after(kFailsWithin, [this, attempt] { tell_end(attempt, Outcome::kFailed, true); });
    return;
  }
  const bool fits = executor.used + attempt->job->width <= scenario_.slots && executor.queue.empty();
  if (executor.draining || (!fits && static_cast<int>(executor.queue.size()) >= scenario_.queue))
    return tell_end(attempt, Outcome::kRejected, true);
  attempt->queued = true;
  attempt->came = events_.now();
  attempt->left = attempt->job->work + (attempt->reused ? 0 : scenario_.handshake);
  executor.queue.push_back(attempt);
  ++came_;
  count_there(1);
  tell(attempt, [this, attempt] {
    nodes_[static_cast<std::size_t>(attempt->node)].dispatcher->taken(attempt->launch);
  });
  begin_what_fits(attempt->executor);
}

void Emulator::begin_what_fits(int index) {
  ExecutorState& executor = executors_[static_cast<std::size_t>(index)];
  while (executor.up && !executor.hung && !executor.queue.empty() &&
         executor.used + executor.queue.front()->job->width <= scenario_.slots) {
    const AttemptRef attempt = executor.queue.front();
    executor.queue.pop_front();
    attempt->queued = false;
    attempt->running = true;
    attempt->rated = events_.now();
    executor.used += attempt->job->width;
    executor.running.push_back(attempt);
    if (scenario_.tells_start)
      tell(attempt, [this, attempt] {
        nodes_[static_cast<std::size_t>(attempt->node)].dispatcher->started(attempt->launch);
      });
    // A message that was lost may have taken it away again.
    if (attempt->running) schedule_end(index, attempt);
  }
}

double Emulator::rate(const ExecutorState& executor) const {
  double part = 1;
  if (executor.started >= 0 && scenario_.warm_span > 0) {
    const double age = in_seconds(events_.now() - executor.started) / scenario_.warm_span;
    part = scenario_.cold_from + (1 - scenario_.cold_from) * std::min(1.0, age);
  }
  return executor.speed * part / executor.slow;
}

void Emulator::schedule_end(int index, const AttemptRef& attempt) {
  const std::uint64_t serial = ++attempt->serial;
  const double span = attempt->left / rate(executors_[static_cast<std::size_t>(index)]);
  events_.after(micros(span), [this, index, attempt, serial] {
    if (!attempt->running || attempt->serial != serial) return;
    leaves_executor(attempt);
    tell_end(attempt, Outcome::kSucceeded, true);
    begin_what_fits(index);
  });
}

// What runs has done so much since it was looked at last.
void Emulator::reckon_up_to_now(const ExecutorState& executor) {
  for (const AttemptRef& attempt : executor.running) {
    attempt->left =
        std::max(0.0, attempt->left - in_seconds(events_.now() - attempt->rated) * rate(executor));
    attempt->rated = events_.now();
  }
}

// What is left was reckoned up to now with the old speed; the ends follow from the new one.
void Emulator::rate_again(int index) {
  for (const AttemptRef& attempt : executors_[static_cast<std::size_t>(index)].running)
    schedule_end(index, attempt);
}

void Emulator::leaves_executor(const AttemptRef& attempt) {
  ExecutorState& executor = executors_[static_cast<std::size_t>(attempt->executor)];
  if (attempt->running) {
    std::erase(executor.running, attempt);
    executor.used -= attempt->job->width;
  } else if (attempt->queued) {
    executor.queue.erase(std::find(executor.queue.begin(), executor.queue.end(), attempt));
  } else {
    return;
  }
  attempt->running = attempt->queued = false;
  count_there(-1);
  ++went_;
  stay_sum_ += in_seconds(events_.now() - attempt->came);
}

void Emulator::cancel(const AttemptRef& attempt) {
  if (attempt->running && !scenario_.cancels_running) return;
  leaves_executor(attempt);
  begin_what_fits(attempt->executor);
}

void Emulator::break_all(int index) {
  ExecutorState& executor = executors_[static_cast<std::size_t>(index)];
  ++executor.life;
  std::vector<AttemptRef> there(executor.queue.begin(), executor.queue.end());
  there.insert(there.end(), executor.running.begin(), executor.running.end());
  for (const AttemptRef& attempt : there) {
    leaves_executor(attempt);
    tell_end(attempt, Outcome::kConnectionLost, false);
  }
}

void Emulator::begin_cold(int index) {
  ExecutorState& executor = executors_[static_cast<std::size_t>(index)];
  executor.started = events_.now();
  rules_.executor_started(index, events_.now());
  if (scenario_.warm_span > 0) warm_further(index);
}

void Emulator::warm_further(int index) {
  const Micros started = executors_[static_cast<std::size_t>(index)].started;
  events_.after(micros(scenario_.warm_span / kWarmSteps), [this, index, started] {
    ExecutorState& executor = executors_[static_cast<std::size_t>(index)];
    if (executor.started != started) return;
    reckon_up_to_now(executor);
    rate_again(index);
    if (events_.now() - started < micros(scenario_.warm_span)) warm_further(index);
  });
}

// --- Discovery ---

// From now on discovery has it so; those that watch are told.
void Emulator::list(int index, Lifecycle standing) {
  ExecutorState& executor = executors_[static_cast<std::size_t>(index)];
  executor.listed = standing;
  executor.changed = ++version_;
  if (!discovery_up_) return;
  for (int node = 0; node < scenario_.nodes; ++node) {
    const NodeState& one = nodes_[static_cast<std::size_t>(node)];
    if (!one.watching) continue;
    events_.after(delay(0, zone_of_node(node)), [this, node, index, standing, started = executor.started,
                                                 version = version_, call = one.watch] {
      NodeState& to = nodes_[static_cast<std::size_t>(node)];
      if (!to.watching || to.watch != call) return;
      rules_.told(node, index, standing == Lifecycle::kActive, events_.now());
      to.dispatcher->listed(index, standing, started);
      to.dispatcher->list_ended(false, version);
    });
  }
}

void Emulator::watch(int node) {
  NodeState& from = nodes_[static_cast<std::size_t>(node)];
  const std::uint64_t call = from.watch = ++calls_;
  from.watching = false;
  ++result_.list_calls;
  const Micros came = events_.now() + delay(zone_of_node(node), 0);
  events_.at(came, [this, node, call] {
    const Micros begins = std::max(discovery_free_, events_.now());
    const Micros patience = micros(scenario_.list_patience);
    const bool too_long = begins - events_.now() > patience;
    // One that has waited too long costs a turn all the same.
    if (discovery_up_) discovery_free_ = begins + micros(1 / scenario_.list_calls);
    if (!discovery_up_ || too_long) {
      events_.after(delay(0, zone_of_node(node)) + (too_long ? patience : 0), [this, node, call] {
        if (nodes_[static_cast<std::size_t>(node)].watch == call)
          nodes_[static_cast<std::size_t>(node)].dispatcher->list_refused();
      });
      return;
    }
    events_.at(discovery_free_, [this, node, call] { send_list(node, call); });
  });
}

void Emulator::send_list(int node, std::uint64_t call) {
  std::vector<std::pair<Lifecycle, Micros>> entries;
  for (const ExecutorState& executor : executors_) entries.emplace_back(executor.listed, executor.started);
  nodes_[static_cast<std::size_t>(node)].watching = true;
  events_.after(delay(0, zone_of_node(node)),
                [this, node, call, entries = std::move(entries), version = version_] {
                  NodeState& to = nodes_[static_cast<std::size_t>(node)];
                  if (to.watch != call) return;
                  for (std::size_t i = 0; i < entries.size(); ++i) {
                    const int index = static_cast<int>(i);
                    rules_.told(node, index, entries[i].first == Lifecycle::kActive, events_.now());
                    if (entries[i].first != Lifecycle::kRemoved)
                      to.dispatcher->listed(index, entries[i].first, entries[i].second);
                  }
                  to.dispatcher->list_ended(true, version);
                });
}

// --- Clients ---

void Emulator::next_arrival() {
  const double rate = scenario_.arrivals() * burst_;
  events_.after(micros(arrivals_.exponential(1 / rate)), [this] {
    if (events_.now() >= micros(scenario_.length)) return;
    const std::uint64_t number = ++last_request_;
    Request& request = requests_[number];
    double shares = 0;
    for (const WorkClass& one : scenario_.classes) shares += one.share;
    double at = work_.uniform() * shares;
    while (request.use_case + 1 < static_cast<int>(scenario_.classes.size()) &&
           (at -= scenario_.classes[static_cast<std::size_t>(request.use_case)].share) >= 0)
      ++request.use_case;
    const WorkClass& terms = scenario_.classes[static_cast<std::size_t>(request.use_case)];
    request.work = terms.spread == 0   ? terms.work
                   : terms.spread == 1 ? work_.exponential(terms.work)
                                       : work_.lognormal(terms.work, terms.spread);
    request.sent = events_.now();
    request.measured = events_.now() >= micros(scenario_.warm_up);
    if (request.measured) {
      ++result_.requests;
      ++result_.classes[static_cast<std::size_t>(request.use_case)].asked;
    }
    submit(number);
    next_arrival();
  });
}

void Emulator::submit(std::uint64_t number) {
  Request& request = requests_.at(number);
  const WorkClass& terms = scenario_.classes[static_cast<std::size_t>(request.use_case)];
  ++request.tries;
  const auto job = std::make_shared<Job>();
  job->client = ++last_client_;
  job->request = number;
  const double at = clients_.uniform() * weights_.back();
  job->node = static_cast<int>(std::upper_bound(weights_.begin(), weights_.end(), at) - weights_.begin());
  job->use_case = request.use_case;
  job->width = terms.width;
  job->work = request.work;
  job->due = request.sent + micros(terms.limit);
  open_[job->client] = job;
  rules_.taken(job->client, request.use_case, job->due);
  if (clients_.happens(scenario_.leaves)) {
    const Micros when = request.sent + micros(clients_.between(0, terms.limit));
    events_.at(when, [this, client = job->client, node = job->node, number] {
      if (open_.erase(client) == 0) return;
      rules_.client_left(client);
      nodes_[static_cast<std::size_t>(node)].dispatcher->client_gone(client);
      const auto found = requests_.find(number);
      if (found->second.measured) ++result_.classes[static_cast<std::size_t>(found->second.use_case)].left;
      requests_.erase(found);
    });
  }
  nodes_[static_cast<std::size_t>(job->node)].dispatcher->arrived(job);
}

void Emulator::answer(int node, Id client, Answer answer) {
  const auto found = open_.find(client);
  const bool pushed_back = answer == Answer::kShed;
  if (found == open_.end()) {
    rules_.answered(client, pushed_back, events_.now());  // once too often, or to nobody
    return;
  }
  const std::uint64_t request = found->second->request;
  open_.erase(found);
  rules_.answered(client, pushed_back, events_.now());
  events_.after(
      0, [this, node, client] { nodes_[static_cast<std::size_t>(node)].dispatcher->client_gone(client); });
  settle(request, answer);
}

void Emulator::settle(std::uint64_t number, Answer answer) {
  Request& request = requests_.at(number);
  const WorkClass& terms = scenario_.classes[static_cast<std::size_t>(request.use_case)];
  const bool again = answer == Answer::kShed || terms.effect == Effect::kIdempotent;
  const Micros then = events_.now() + micros(scenario_.back_off * clients_.between(0.5, 1.5));
  if (answer != Answer::kSucceeded && again && request.tries <= static_cast<int>(scenario_.retries) &&
      then < request.sent + micros(terms.limit)) {
    events_.at(then, [this, number] { submit(number); });
    return;
  }
  if (request.measured) {
    ClassResult& into = result_.classes[static_cast<std::size_t>(request.use_case)];
    const double took = in_seconds(events_.now() - request.sent);
    worth_asked_ += terms.value;
    if (answer == Answer::kSucceeded) {
      const bool in_time = took <= terms.agreed + terms.stretch * request.work;
      ++(in_time ? into.in_time : into.late);
      worth_earned_ += terms.value * (in_time ? 1 : terms.late_value);
      latencies_.push_back(took);
    } else {
      ++(answer == Answer::kShed ? into.refused : into.failed);
    }
  }
  requests_.erase(number);
}

// --- Faults ---

std::vector<int> Emulator::struck(const Fault& fault) {
  std::vector<int> from, result;
  for (int i = 0; i < scenario_.executors; ++i)
    if (fault.zone < 0 || zone_of_executor(i) == fault.zone) from.push_back(i);
  if (fault.zone >= 0) return from;
  const auto count = static_cast<std::size_t>(std::ceil(fault.part * static_cast<double>(from.size())));
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(from[i], from[i + faults_.below(from.size() - i)]);
    result.push_back(from[i]);
  }
  return result;
}

void Emulator::arrange(const Fault& fault) {
  const Micros begins = micros(fault.at), ends = micros(fault.at + fault.length);
  const Micros known = micros(scenario_.list_delay);
  const auto cut = [this](int zone, bool is_cut) {
    for (std::size_t i = 0; i < cut_.size(); ++i)
      if (zone < 0 ? i == 0 : static_cast<int>(i) == zone) cut_[i] = is_cut;
  };
  switch (fault.kind) {
    case Fault::Kind::kPartition:
      events_.at(begins, [cut, zone = fault.zone] { cut(zone, true); });
      events_.at(ends, [cut, zone = fault.zone] { cut(zone, false); });
      return;
    case Fault::Kind::kLoss:
      events_.at(begins, [this, part = fault.part] { loss_ = part; });
      events_.at(ends, [this] { loss_ = 0; });
      return;
    case Fault::Kind::kBurst:
      events_.at(begins, [this, size = fault.size] { burst_ = size; });
      events_.at(ends, [this] { burst_ = 1; });
      return;
    case Fault::Kind::kDiscovery:
      events_.at(begins, [this] {
        discovery_up_ = false;
        for (int node = 0; node < scenario_.nodes; ++node) {
          NodeState& one = nodes_[static_cast<std::size_t>(node)];
          if (!std::exchange(one.watching, false)) continue;
          one.watch = ++calls_;
          events_.after(delay(0, zone_of_node(node)),
                        [this, node] { nodes_[static_cast<std::size_t>(node)].dispatcher->list_refused(); });
        }
      });
      events_.at(ends, [this] { discovery_up_ = true; });
      return;
    default:
      break;
  }
  for (const int index : struck(fault)) {
    ExecutorState& executor = executors_[static_cast<std::size_t>(index)];
    const auto restart = [this, &executor, index] {
      executor.up = true;
      executor.draining = false;
      begin_cold(index);
    };
    const auto listed = [this, index](Lifecycle standing) {
      return [this, index, standing] { list(index, standing); };
    };
    const auto change_rate = [this, &executor, index](double slow) {
      reckon_up_to_now(executor);
      executor.slow = slow;
      rate_again(index);
    };
    switch (fault.kind) {
      case Fault::Kind::kCrash:
        events_.at(begins, [this, &executor, index] {
          executor.up = false;
          break_all(index);
        });
        events_.at(ends, restart);
        if (ends - begins > known) events_.at(begins + known, listed(Lifecycle::kRemoved));
        events_.at(ends + known, listed(Lifecycle::kActive));
        break;
      case Fault::Kind::kVanish:
        events_.at(begins, [&executor] { executor.silent = true; });
        events_.at(ends, [this, &executor, index] {
          executor.silent = false;
          break_all(index);
        });
        break;
      case Fault::Kind::kHang:
        events_.at(begins, [&executor] { executor.hung = true; });
        events_.at(ends, [this, &executor, index] {
          executor.hung = false;
          begin_what_fits(index);
        });
        break;
      case Fault::Kind::kSlow:
        events_.at(begins, [change_rate, size = fault.size] { change_rate(size); });
        events_.at(ends, [change_rate] { change_rate(1); });
        break;
      case Fault::Kind::kFail:
        events_.at(begins, [&executor, size = fault.size] { executor.failing = std::min(1.0, size); });
        events_.at(ends, [&executor] { executor.failing = 0; });
        break;
      case Fault::Kind::kDrain:
        events_.at(begins, [&executor] { executor.draining = true; });
        events_.at(begins, listed(Lifecycle::kDraining));
        events_.at(ends, [this, &executor, index] {
          executor.up = false;
          break_all(index);
        });
        events_.at(ends, listed(Lifecycle::kRemoved));
        events_.at(ends + known, restart);
        events_.at(ends + 2 * known, listed(Lifecycle::kActive));
        break;
      default:
        break;
    }
  }
}

// --- Figures ---

void Emulator::count_there(int change) {
  there_sum_ += there_ * in_seconds(events_.now() - there_since_);
  there_since_ = events_.now();
  there_ += change;
}

void Emulator::sample() {
  double sum = 0, most = 0;
  for (const ExecutorState& executor : executors_) {
    const double there = static_cast<double>(executor.queue.size() + executor.running.size());
    sum += there;
    most = std::max(most, there);
  }
  if (sum > 0) {
    over_mean_sum_ += most * static_cast<double>(executors_.size()) / sum;
    ++samples_;
  }
  if (events_.now() < micros(scenario_.length)) events_.after(micros(kSampleEvery), [this] { sample(); });
}

std::string Result::words() const {
  std::string out;
  char line[256];
  const auto add = [&out, &line](int) { out += line; };
  for (const ClassResult& one : classes)
    add(std::snprintf(
        line, sizeof line, "%s asked %llu in time %llu late %llu refused %llu failed %llu left %llu\n",
        one.name.c_str(), static_cast<unsigned long long>(one.asked),
        static_cast<unsigned long long>(one.in_time), static_cast<unsigned long long>(one.late),
        static_cast<unsigned long long>(one.refused), static_cast<unsigned long long>(one.failed),
        static_cast<unsigned long long>(one.left)));
  add(std::snprintf(line, sizeof line,
                    "service %.6f launches %llu connections %llu list calls %llu events %llu\n", service,
                    static_cast<unsigned long long>(launches), static_cast<unsigned long long>(connections),
                    static_cast<unsigned long long>(list_calls), static_cast<unsigned long long>(events)));
  add(std::snprintf(line, sizeof line, "latency mean %.6f p50 %.6f p99 %.6f s\n", latency_mean, latency_p50,
                    latency_p99));
  add(std::snprintf(line, sizeof line,
                    "at the executors %.6f, by Little's law %.6f; stay %.6f s, most %.4f times the mean\n",
                    there, rate_by_stay, stay, most_over_mean));
  add(std::snprintf(line, sizeof line, "cold %llu, fallen %llu, highest %.6f of the limit, use %.6f\n",
                    static_cast<unsigned long long>(cold.executors),
                    static_cast<unsigned long long>(cold.fallen), cold.highest, cold.use));
  add(std::snprintf(line, sizeof line, "rules broken: %llu answers, %llu repeats, %llu drains, %llu cold\n",
                    static_cast<unsigned long long>(broken[0]), static_cast<unsigned long long>(broken[1]),
                    static_cast<unsigned long long>(broken[2]), static_cast<unsigned long long>(broken[3])));
  for (const std::string& words : broken_words) out += "  " + words + "\n";
  return out;
}

}  // namespace canvasstage::lab
