// The decisions of one node. The ordinary path is TPD (docs/design.md): select_executor(). Beside it:
// doubted, further, give_up_time, share_room, serve_held, find_homes, find_ready, cold_budget, follow_list.
#include "policy.h"

#include <algorithm>
#include <cmath>

namespace canvasstage {
namespace {

double seconds(Time time) {
  return static_cast<double>(time) / kSecond;
}
Time from_seconds(double value) {
  return static_cast<Time>(value * kSecond);
}

constexpr Time kHealthLife = 8 * kSecond;  // a few times the length of a passing trouble's first signs

double uniform(std::mt19937& random) {
  return (static_cast<double>(random()) + 0.5) / 4294967296.0;
}

constexpr std::uint64_t kTickToken = 0;  // the wake-up of the node's own housekeeping
constexpr std::uint64_t kAskToken = 2;   // and that of the next call for the list
constexpr Time kTick = kSecond / 4;      // often enough to ask for the list again in time
constexpr int kIndexBits = 24;
constexpr Time kLookUp = kSecond / 20;  // how soon one that waits is looked at again
constexpr int kMostInVain = 4;          // of these in it; 8 in 512 executors each are over 1.6 % of a core
constexpr double kGiveWayChance = 0.8;  // less is not worth a place in a crowd; 0.7 to 0.85 fare alike

}  // namespace

double DecayingSum::read(Time now, Time life) {
  if (now > updated_at) {
    value *= std::exp(-static_cast<double>(now - updated_at) / static_cast<double>(life));
    updated_at = now;
  }
  return value;
}

void DecayingSum::add(Time now, Time life, double amount) {
  read(now, life);
  value += amount;
}

Policy::Policy(Settings settings, Host& host, std::uint32_t seed, Time now)
    : settings_(std::move(settings)),
      host_(host),
      random_(seed),
      work_(settings_.use_cases.size(), 1.0),
      work_weight_(settings_.use_cases.size(), 0.0) {
  // Not at once: what the node remembers of the roster is told first.
  host_.wake_at(now, kTickToken);
}

// --- Following the list ---

void Policy::executor_listed(Time now, int index, int zone, int kind, int cell, Lifecycle standing,
                             Time started, double weight, std::uint64_t identity) {
  for (int added = static_cast<int>(executors.size()); added <= index; ++added) {
    executors.emplace_back();
    order_.push_back(added);
    std::swap(order_.back(), order_[random_() % order_.size()]);
  }
  if (zone >= static_cast<int>(zones.size())) zones.resize(zone + 1);
  if (kind >= static_cast<int>(max_parallel_width.size())) max_parallel_width.resize(kind + 1, 1.0);
  Executor& executor = executors[index];
  // A process that has restarted is a new one: what was learned of its health and load is void.
  if (executor.last_listed > 0 && started > executor.started_at) {
    executor.successes = executor.failures = DecayingSum{};
    executor.unreachable_until = executor.unreachable_backoff = 0;
    word_from(executor);
    executor.load_per_core = -1;
    executor.cold_sends.clear();
  }
  count_speed(executor, -1);
  executor.last_listed = list_ + 1;
  executor.zone = zone;
  executor.machine_kind = kind;
  executor.cell = cell;
  executor.identity = identity;
  weigh(executor, weight);
  executor.lifecycle = standing;
  executor.started_at = std::min(std::max(executor.started_at, started), now);
  if (cold(now, executor) && std::ranges::find(newcomers_, index) == newcomers_.end())
    newcomers_.push_back(index);
  count_speed(executor, 1);
}

// A live weight is the size divided by 1 + what is held for each core, by all nodes together.
void Policy::weigh(Executor& executor, double weight) {
  if (!settings_.live_weights || !std::isfinite(weight) || weight <= 0) return;
  const double before = std::exchange(executor.weight, weight);
  if (weight == before) return;
  // One that jumps counts once it is told again: a size that is far too large would leave no room there.
  constexpr double kMostJump = 4;
  if (before > 0 && weight > kMostJump * std::max(executor.max_weight, before)) return;
  executor.max_weight = std::max(executor.max_weight, weight);
  executor.load_per_core = executor.max_weight / weight - 1;
  executor.attempts_when_weighed = executor.open_attempts;
  weighed_ = true;
}

constexpr Time kFresh = 5 * kSecond;  // weights come every second or so

bool Policy::tells_held(Time now, const Executor& executor) const {
  return executor.load_per_core >= 0 && now - shared_at_ < kFresh;
}

// The longest queue in the list that still is room: half of what the most urgent can wait; 1/4 and 1 lose.
double Policy::most_held(const Executor& executor) const {
  constexpr double kPart = 0.5;
  return 1 + kPart * seconds(leeway_) / mean_work_ * speed(executor);
}

// All nodes see the same room in one late list: where more is asked for, this one sends no more than its
// part.
void Policy::share_room(Time now) {
  constexpr double kCrowded = 1.5;  // 1 and 2 fare alike
  if (!std::exchange(weighed_, false)) return;
  const double period = std::min(2.0, seconds(now - shared_at_));
  shared_at_ = now;
  double room = 0;
  for (const Executor& executor : executors)
    if (executor.lifecycle == Lifecycle::kActive && executor.load_per_core >= 0)
      room += width(executor) * std::max(0.0, most_held(executor) - executor.load_per_core);
  room /= settings_.node_count;
  const double asked =
      static_cast<double>(held_.size()) + arrivals_.read(now, kHealthLife) / seconds(kHealthLife) * period;
  room_ = asked <= kCrowded * room ? kPlenty : std::floor(room + uniform(random_));
}

bool Policy::cold(Time now, const Executor& executor) const {
  return executor.started_at > 0 &&
         now - executor.started_at < settings_.warm_up_time + settings_.overload_span;
}

void Policy::membership_received(Time now, MembershipUpdate form) {
  ++list_;
  if (form == MembershipUpdate::kSnapshot)
    for (Executor& executor : executors)
      if (executor.last_listed != list_) {
        count_speed(executor, -1);
        executor.lifecycle = Lifecycle::kRemoved;
      }
  if (form != MembershipUpdate::kCached) {
    subscribed_ = true;
    ask_pause_ = 0;
  } else if (!subscribed_ && !executors.empty()) {
    ask_again(now, 0, seconds(asking_span(0)) * uniform(random_));  // nobody is served before
  }
  share_room(now);
  serve_held(now);
}

// Discovery works through all nodes' calls in turn: of 210 within a second all were answered in 2.6 s.
Time Policy::asking_span(Time least) const {
  constexpr Time kTurn = kSecond / 100;
  return std::clamp(settings_.node_count * kTurn, std::min(least, longest_pause()), longest_pause());
}

// What happens meanwhile counts as told 6 s after a call has failed: three more fit in (docs/races.md).
Time Policy::longest_pause() const {
  return std::min(settings_.max_membership_age / 2, kSecond * 3 / 2);
}

void Policy::ask_again(Time now, Time pause, double spread) {
  subscribed_ = false;
  ask_pause_ = pause;
  next_ask_ = now + from_seconds(spread);
  host_.wake_at(next_ask_, kAskToken);
}

void Policy::membership_call_failed(Time now) {
  const Time pause = std::clamp(2 * ask_pause_, asking_span(kSecond / 2), longest_pause());
  ask_again(now, pause, seconds(pause) * (0.5 + uniform(random_) / 2));
}

// What a silent one misses counts as told 6 s after it fell silent; 300 calls in 0.3 s were all answered.
void Policy::watch_timed_out(Time now) {
  ask_again(now, kSilent, ask_pause_ == kSilent ? 0 : 0.3 * uniform(random_));
}

void Policy::discovery_moved(Time now) {
  ask_again(now, 0, 0);
  follow_list(now);
}

void Policy::follow_list(Time now) {
  if (!settings_.polls_membership || subscribed_ || now < next_ask_) return;
  host_.subscribe_to_membership();
  next_ask_ = now + settings_.max_membership_age / 2;  // in case no answer comes at all
}

void Policy::tick(Time now) {
  follow_list(now);
  if (now - shared_at_ >= kFresh)
    room_ = std::max(room_, 1.0);  // no weights come; what ends gives its place back
  serve_held(now);
  host_.wake_at(now + kTick, kTickToken);
}

// --- TPD ---

void Policy::count_speed(const Executor& executor, int sign) {
  if (executor.mean_latency <= 0 || executor.lifecycle != Lifecycle::kActive) return;
  speed_sum_ += sign * executor.mean_work / executor.mean_latency;
  speed_count_ += sign;
}

double Policy::mean_speed() const {
  return speed_count_ > 0 ? speed_sum_ / speed_count_ : 1.0;
}

double Policy::speed(const Executor& executor) const {
  return executor.mean_latency > 0 ? executor.mean_work / executor.mean_latency : mean_speed();
}

double Policy::request_work(const Request& submission) const {
  return submission.work_hint > 0 ? submission.work_hint : work_[submission.use_case];
}

constexpr Time kDelaySpan = 10 * kSecond;  // in it each zone is heard of at low traffic

void Policy::heard_from(Time now, const Executor& executor, Time delay) {
  if (executor.zone < 0) return;
  Zone& zone = zones[executor.zone];
  if (now - zone.span_started_at > kDelaySpan) {
    zone.previous_min_delay = now - zone.span_started_at > 2 * kDelaySpan ? kNever : zone.min_delay;
    zone.min_delay = kNever;
    zone.span_started_at = now;
  }
  zone.min_delay = std::min(zone.min_delay, delay);
}

Time Policy::zone_delay(const Executor& executor) const {
  if (executor.zone == settings_.zone || executor.zone < 0 || settings_.zone < 0 ||
      settings_.zone >= static_cast<int>(zones.size()))
    return 0;
  const Zone &zone = zones[executor.zone], &ours = zones[settings_.zone];
  const Time there = std::min(zone.min_delay, zone.previous_min_delay),
             here = std::min(ours.min_delay, ours.previous_min_delay);
  return there == kNever || here == kNever ? 0 : std::max<Time>(0, there - here);
}

// The number of candidates: the smallest integer in [(1 - epsilon) f, (1 + epsilon) f], from 2 to K.
int Policy::candidate_count(const std::vector<double>& chances) {
  constexpr double kEpsilon = 0.1;  // 0.05, 0.3 and 0.5 are no better on the three deployments together
  const int count = static_cast<int>(chances.size());
  if (count <= 2) return count;
  const auto [least, most] = std::minmax_element(chances.begin(), chances.end());
  const double alpha = 1.0 / (count * *least);
  const double beta = count * *most;
  double f = 1.0;  // the limit for equal chances
  if (alpha > 1.0 + 1e-9 && beta > 1.0 + 1e-9)
    f = std::log((alpha * beta - 1) / (alpha - 1)) / std::log((alpha * beta - 1) / (alpha * beta - beta));
  if (!std::isfinite(f)) return count;
  const double lower = std::min((1 - kEpsilon) * f, static_cast<double>(count));
  return std::clamp(static_cast<int>(std::ceil(lower)), 2, count);
}

// A launch's wait until it began tells of the queue that all nodes make, which drains by runs.
Time Policy::wait_life() const {
  constexpr double kRuns = 2;
  return std::max<Time>(1, from_seconds(kRuns * mean_work_));
}

void Policy::saw_wait(Time now, Attempt& launch) {
  Executor& executor = executors[launch.executor];
  executor.queue_wait = {std::max(0.0, seconds(now - launch.sent_at - zone_delay(executor))), now};
}

constexpr Time kNoQueue = kSecond / 40;  // a wait without a queue: a handshake, jitter, beats of the clock

// Seconds that one sent now is likely to wait there, by the list, else by the last one.
double Policy::wait_at(Time now, Executor& executor) {
  if (!tells_held(now, executor)) return executor.queue_wait.read(now, wait_life());
  const double more = executor.open_attempts - executor.attempts_when_weighed + 1;
  return std::max(0.0, executor.load_per_core - 1 + more / width(executor)) * mean_work_ / speed(executor);
}

double Policy::width(const Executor& executor) const {
  return executor.machine_kind >= 0 ? max_parallel_width[executor.machine_kind] : 1.0;
}

// With little traffic nearly every launch would open a connection, and what is learned would be old at the
// next: while this many connected ones have room, no other is ready. TPD's least d; 3, 4 and 6 lose.
constexpr std::size_t kLeastReady = 2;

bool Policy::connected(Time now, const Executor& executor) const {
  return executor.connections > executor.open_attempts &&
         now - executor.last_used_at < settings_.connection_idle_timeout;
}

constexpr Time kMostAway = kSecond;  // one launch a second shows soon enough that somebody is back

// What a new connection costs, as the delay that lowers the worth of a usual submission of this kind as much.
double Policy::connection_cost_as_delay(Time now, const Request& submission) {
  if (settings_.connection_cost <= 0) return 0;
  const UseCase& use_case = settings_.use_cases[submission.use_case];
  const double value = asked_value_.read(now, kHealthLife) / std::max(1e-9, arrivals_.read(now, kHealthLife));
  const double falls = std::max(1e-9, use_case.value * std::max(0.1, 1 - use_case.late_value));
  return settings_.connection_cost * value / falls * mean_leeway(submission);
}

// Fills the ready set from the whole roster, or from the connected and, as none would meet them, the cold.
void Policy::find_ready(Time now, const Request& submission, bool connected_only, bool ask_health) {
  ready_.clear();
  if (!connected_only) return look_through(now, submission, order_, ask_health);
  std::erase_if(connected_executors,
                [&](int i) { return !connected(now, executors[i]) && executors[i].open_attempts == 0; });
  std::erase_if(newcomers_, [&](int i) { return !cold(now, executors[i]); });
  near_.clear();
  for (const std::vector<int>* const some : {&connected_executors, &newcomers_})
    for (const int i : *some)
      if (connected(now, executors[i]) == (some == &connected_executors)) near_.push_back(i);
  look_through(now, submission, near_, ask_health);
}

// A look at all of a large fleet costs too much: from a random place in an order of this node's own.
void Policy::look_through(Time now, const Request& submission, const std::vector<int>& from,
                          bool ask_health) {
  constexpr std::size_t kLooks = 64;       // two drawn of 64 are hardly worse than two of all
  constexpr std::size_t kMostLooks = 512;  // of three that alone may take it one is met at most looks
  if (from.empty()) return;
  std::size_t at = random_() % from.size();
  for (std::size_t n = 0; n < std::min(from.size(), ready_.size() < kLeastReady ? kMostLooks : kLooks); ++n) {
    const int i = from[at];
    at = at + 1 < from.size() ? at + 1 : 0;
    if (ready(now, submission, i, ask_health)) ready_.push_back(i);
  }
}

bool Policy::ready(Time now, const Request& submission, int i, bool ask_health) {
  // Whoever has launches behind it has few left, and none for one more look where nobody was.
  const bool looks = submission.attempts.empty();
  Executor& executor = executors[i];
  return has_room(executor) &&
         now >= executor.unreachable_until + (looks || executor.unreachable_backoff == 0
                                                  ? 0
                                                  : kMostAway - executor.unreachable_backoff) &&
         now + from_seconds(wait_at(now, executor)) <=
             (tells_held(now, executor) ? std::min(latest_, now + leeway_) : latest_) &&
         may_take(now, submission, executor) &&
         (!ask_health ||
          (std::ranges::find(submission.attempts, i, &Attempt::executor) == submission.attempts.end() &&
           !doubted(now, executor) && (executor.zone < 0 || !zones[executor.zone].excluded)));
}

// How long anything may wait in a queue that all share: as long as the most urgent use case can.
Time Policy::shortest_leeway() const {
  Request usual{.use_case = 0, .deadline = kNever, .attempts = {}};
  Time least = kNever;
  for (; usual.use_case < static_cast<int>(settings_.use_cases.size()); ++usual.use_case)
    least = std::min(least, last_start(usual, kGiveWayChance));
  return least;
}

std::uint64_t mixed(std::uint64_t value) {
  value = (value ^ (value >> 31)) * 0x9e3779b97f4a7c15u;
  value = (value ^ (value >> 29)) * 0xbf58476d1ce4e5b9u;
  return value ^ (value >> 32);
}

constexpr Time kKeyLife = 60 * kSecond;  // popularity is learned from little traffic
constexpr std::size_t kMostKeys = 1024;

void Policy::count_key(Time now, std::uint64_t key, double work) {
  keyed_work_.add(now, kKeyLife, work);
  if (keys_.size() >= kMostKeys && !keys_.contains(key)) keys_.erase(keys_.begin());
  keys_[key].add(now, kKeyLife, work);
}

// Where executors keep data every node has to send a key's work to the same few: rendezvous hashing by the
// list's sizes puts all in an order, near_, and the first are homes, as many as the key's part of work needs.
std::size_t Policy::rank_by_key(Time now, const Request& submission) {
  ranks_.clear();
  double all = 0;
  for (std::size_t i = 0; i < executors.size(); ++i) {
    const Executor& executor = executors[i];
    if (executor.lifecycle != Lifecycle::kActive || executor.max_weight <= 0) continue;
    const double u = static_cast<double>(mixed(mixed(executor.identity) ^ submission.data_key) >> 11) + 0.5;
    ranks_.emplace_back(-std::log(std::ldexp(u, -53)) / executor.max_weight, static_cast<int>(i));
    all += executor.max_weight;
  }
  std::ranges::sort(ranks_);
  const auto found = keys_.find(submission.data_key);
  double part = 0;  // without this one: a key seen once is not popular
  if (found != keys_.end())
    part = (found->second.read(now, kKeyLife) - request_work(submission)) / keyed_work_.read(now, kKeyLife);
  near_.clear();
  std::size_t homes = 0;
  double sum = 0;
  for (const auto& [rank, i] : ranks_) {
    if (near_.empty() || sum < part * all) ++homes;
    near_.push_back(i);
    sum += executors[i].max_weight;
  }
  return homes;
}

// Fills the ready set with the key's homes, or those behind them, of short queues; how many keep it.
std::size_t Policy::find_homes(Time now, const Request& submission) {
  constexpr double kShort = 1.5;  // mean runs; 0.25 sends too much away from its data, 1 to 3 fare alike
  ready_.clear();
  if (submission.data_key == 0 || !settings_.live_weights) return 0;
  const std::size_t homes = rank_by_key(now, submission);
  std::size_t at_home = 0;
  for (std::size_t n = 0; n < near_.size() && (n < homes || ready_.size() < kLeastReady); ++n) {
    if (ready(now, submission, near_[n], true) && wait_at(now, executors[near_[n]]) <= kShort * mean_work_)
      ready_.push_back(near_[n]);
    if (n < homes) at_home = ready_.size();
  }
  return ready_.empty() ? 0 : std::max<std::size_t>(at_home, 1);
}

// Where connections have a price a single connected executor is enough while it is expected to end no later
// than a stranger of the usual speed and wait with a new connection. Else every node opened a second.
bool Policy::keeps_to(Time now, const Request& submission, Executor& executor) {
  if (settings_.connection_cost <= 0) return false;
  const double work = request_work(submission), v = speed(executor);
  const double usual = start_wait_.read(now, kHealthLife) / std::max(1.0, starts_.read(now, kHealthLife));
  return (executor.open_work + work) / v + executor.queue_wait.read(now, wait_life()) <=
         work / mean_speed() + usual + connection_cost_as_delay(now, submission);
}

// The one function that picks an executor, for a first launch or a further one; -1: none may be had now.
int Policy::select_executor(Time now, const Request& submission) {
  if (room_ < 1 || !may_go(now, submission)) return -1;
  latest_ = std::max(last_start(submission, kGiveWayChance), now + kNoQueue);
  draw_zones(now);
  const std::size_t at_home = find_homes(now, submission);
  if (ready_.empty()) {
    find_ready(now, submission, true, true);
    if (ready_.size() < kLeastReady &&
        !(ready_.size() == 1 && keeps_to(now, submission, executors[ready_[0]])))
      find_ready(now, submission, false, true);
    if (ready_.empty()) find_ready(now, submission, false, false);
  }
  if (ready_.empty()) return -1;
  const double work = request_work(submission), price = connection_cost_as_delay(now, submission);
  constexpr double kFetch = 1;  // mean runs, with what it costs others; 0.25 loses, 0.7 to 2 fare alike
  const double fetch = at_home > 0 ? kFetch * mean_work_ : 0;
  double sum = 0;
  chances_.clear();
  delays_.clear();
  for (const int i : ready_) {
    const double p = work / speed(executors[i]);
    delays_.push_back(seconds(zone_delay(executors[i])) + (connected(now, executors[i]) ? 0 : price) +
                      (delays_.size() < at_home ? 0 : fetch));
    chances_.push_back(work / (p + delays_.back()));
    sum += chances_.back();
  }
  for (double& chance : chances_) chance /= sum;
  int best = -1;
  double least = 0, left = 1;
  for (int draws = candidate_count(chances_); draws > 0; --draws) {
    double at = uniform(random_) * left;
    std::size_t drawn = chances_.size();
    for (std::size_t i = 0; i < chances_.size(); ++i) {
      if (chances_[i] <= 0) continue;
      drawn = i;
      at -= chances_[i];
      if (at < 0) break;
    }
    Executor& executor = executors[ready_[drawn]];
    const double v = speed(executor);
    const double queued = (tells_held(now, executor) ? 0 : executor.open_work / v) + wait_at(now, executor);
    const double finish = queued + work / v + delays_[drawn];
    if (best < 0 || finish < least) {
      best = ready_[drawn];
      least = finish;
    }
    left -= chances_[drawn];
    chances_[drawn] = 0;
  }
  return best;
}

// For what waits: where so many in turn have found nobody the others hardly would, until room appears or for
// a look-up. 250 that waited for 3,200 executors took 0.7 of a core, hundreds held a small node all of it.
int Policy::pick_unless_in_vain(Time now, const Request& submission) {
  if (now - vain_since_ >= kLookUp) in_vain_ = 0;
  if (in_vain_ == 0) vain_since_ = now;
  const int to = in_vain_ < kMostInVain ? select_executor(now, submission) : -1;
  in_vain_ = to >= 0 ? 0 : in_vain_ + 1;
  return to;
}

// --- The four rules ---

bool Policy::may_go(Time now, const Request& submission) const {
  if (!submission.open || now >= submission.deadline) return false;  // rule 1
  if (static_cast<int>(submission.attempts.size()) >= settings_.max_attempts || pending(submission))
    return false;
  // Rule 2: what may have run goes again only as the use case allows; the first such launch sets the group.
  const Effect effect = settings_.use_cases[submission.use_case].effect;
  if (effect == Effect::kAtMostOnce && first_run(submission) != nullptr) return false;
  return now + settings_.quantum < idempotency_window_end(submission);
}

bool Policy::may_take(Time now, const Request& submission, Executor& executor) {
  if (executor.lifecycle != Lifecycle::kActive) return false;  // rule 3; the grace is slack, not a target
  const UseCase& use_case = settings_.use_cases[submission.use_case];
  if (use_case.machine_kind >= 0 && executor.machine_kind != use_case.machine_kind) return false;
  const Attempt* const ran = use_case.effect == Effect::kIdempotentByKey ? first_run(submission) : nullptr;
  if (ran != nullptr && use_case.idempotency_scope == IdempotencyScope::kZone &&
      executors[ran->executor].zone != executor.zone)
    return false;
  if (ran != nullptr && use_case.idempotency_scope == IdempotencyScope::kCell &&
      executors[ran->executor].cell != executor.cell)
    return false;
  // Rule 4: a cold executor gets no more than our share of what it can surely bear. One by the mean of n
  // costs is n / (n - 1) of the true number on the mean, without end for n = 1; there 4 keeps a node going.
  if (!cold(now, executor)) return true;
  const double seen = submission.work_hint > 0 ? 0 : work_weight_[submission.use_case];
  const double work =
      request_work(submission) * submission.width * (seen < 1 ? 1 : seen / std::max(0.25, seen - 1));
  double sent = work;
  for (const auto& [when, earlier] : executor.cold_sends)
    if (now - when <= settings_.overload_span) sent += earlier;
  const double budget = cold_budget(now, executor);
  return sent <= budget || (sent <= work && wins_cold_start(now, executor, work, budget));
}

const Attempt* Policy::first_run(const Request& submission) {
  const auto ran = std::ranges::find(submission.attempts, true, &Attempt::may_have_run);
  return ran == submission.attempts.end() ? nullptr : &*ran;
}

Time Policy::idempotency_window_end(const Request& submission) const {
  const UseCase& use_case = settings_.use_cases[submission.use_case];
  const Attempt* const ran = use_case.effect == Effect::kIdempotentByKey ? first_run(submission) : nullptr;
  return ran != nullptr && !ran->pending ? ran->sent_at + use_case.idempotency_window : kNever;
}

// Where our share is less than one launch, one goes with the chance share / work, drawn once for each span:
// all nodes together send what the shares allow on the mean. Only small work, as a few heavy ones spread far.
bool Policy::wins_cold_start(Time now, Executor& executor, double work, double budget) {
  constexpr double kLeastParts = 4;  // a sum of four spreads by half; 2 and 8 fare alike
  if (work * kLeastParts > budget * settings_.node_count) return false;
  if (now - executor.admission_drawn_at > settings_.overload_span) {
    executor.admission_drawn_at = now;
    executor.admission_draw = uniform(random_);
  }
  // A node with less than one submission for each executor, of late, hardly ever has one for this.
  const double use = std::min(1.0, arrivals_.read(now, kHealthLife) / std::max(1, speed_count_));
  return executor.admission_draw * work * use < budget;
}

bool Policy::may_shed(const Request& submission) const {
  const UseCase& use_case = settings_.use_cases[submission.use_case];
  return use_case.effect == Effect::kIdempotent ||
         (use_case.effect == Effect::kIdempotentByKey &&
          use_case.idempotency_scope == IdempotencyScope::kAll) ||
         first_run(submission) == nullptr;
}

// What this node may send a cold executor within any span: its share of all, for the least possible capacity.
double Policy::cold_budget(Time now, const Executor& executor) const {
  constexpr double kSlack = 0.8;  // handshakes and probes are work too
  const double age = std::max(0.0, seconds(now - settings_.overload_span - executor.started_at));
  const double warm = settings_.warm_up_time > 0 ? std::min(1.0, age / seconds(settings_.warm_up_time)) : 1.0;
  const double part = settings_.cold_start_share + (1 - settings_.cold_start_share) * warm;
  return cold_part_ * kSlack * settings_.overload_multiple / settings_.node_count * part * speed(executor) *
         width(executor) * seconds(settings_.overload_span);
}

// --- Health ---

void Policy::blame(Time now, Attempt& launch) {
  if (launch.failure_counted) return;
  launch.failure_counted = true;
  executors[launch.executor].failures.add(now, kHealthLife, 1);
}

// Executors of a zone that in turn are not there leave its others out too, by a draw: half of all went to
// such.
constexpr Time kZoneLife = 2 * kSecond;

void Policy::draw_zones(Time now) {
  constexpr double kInDoubt = 1.5;  // a single executor that is gone says nothing of its zone
  if (zones.size() < 2) return;     // nobody else is left where all stand in one
  for (Zone& zone : zones) {
    const double unanswered = zone.unanswered_attempts.read(now, kZoneLife);
    zone.excluded = unanswered >= kInDoubt && uniform(random_) > std::exp2(-unanswered);
  }
}

void Policy::word_from(const Executor& executor) {
  if (executor.zone >= 0) zones[executor.zone].unanswered_attempts.value = 0;
}

// Whoever refuses a connection is the first to be free again: four dead of nine took all launches. So for a
// pause, which grows, nothing goes there. Launches that find it together are one look.
void Policy::nobody_there(Time now, Executor& executor) {
  constexpr Time kFirst = kSecond / 20;  // a single connection that did not come up costs little
  if (now < executor.unreachable_until) return;
  if (executor.unreachable_backoff == 0 && executor.zone >= 0)
    zones[executor.zone].unanswered_attempts.add(now, kZoneLife, 1);
  executor.unreachable_backoff = std::clamp(2 * executor.unreachable_backoff, kFirst, kMostAway);
  executor.unreachable_until = now + executor.unreachable_backoff;
}

constexpr double kNoDoubt = 0.3;      // so little that went wrong is forgotten
constexpr double kSoundChance = 0.6;  // of success

// Drawn from the posterior of its chance of success: a doubtful executor is never quite forgotten.
bool Policy::doubted(Time now, Executor& executor) {
  if (executor.failures.value < kNoDoubt || executor.failures.read(now, kHealthLife) < kNoDoubt) return false;
  std::gamma_distribution<double> wins(1 + executor.successes.read(now, kHealthLife)),
      losses(1 + executor.failures.value);
  const double win = wins(random_);
  return win / (win + losses(random_)) < kSoundChance;
}

bool Policy::is_avoided(Time now, const Executor& executor) const {
  if (now < executor.unreachable_until) return true;
  DecayingSum good = executor.successes, bad = executor.failures;
  const double wins = 1 + good.read(now, kHealthLife), losses = 1 + bad.read(now, kHealthLife);
  return losses >= 1 + kNoDoubt && wins < kSoundChance * (wins + losses);
}

// --- Launches ---

// More than one launch that has not begun would only move the queue to where it has no order of ours.
bool Policy::has_room(const Executor& executor) const {
  return !settings_.reports_start || executor.unstarted_attempts < 1;
}

void Policy::send(Time now, int index, int to) {
  Request& submission = requests[index];
  Executor& executor = executors[to];
  Attempt launch;
  launch.executor = to;
  launch.sent_at = launch.last_heard_at = now;
  launch.cost = request_work(submission);
  submission.attempts.push_back(launch);
  if (std::find(connected_executors.begin(), connected_executors.end(), to) == connected_executors.end())
    connected_executors.push_back(to);
  if (now - executor.last_used_at >= settings_.connection_idle_timeout) executor.connections = 0;
  executor.last_used_at = now;
  ++executor.open_attempts;
  executor.connections = std::max(executor.connections, executor.open_attempts);
  ++executor.unstarted_attempts;
  room_ -= 1;
  executor.open_work += launch.cost;
  std::erase_if(executor.cold_sends,
                [&](const auto& sent) { return now - sent.first > settings_.overload_span; });
  if (cold(now, executor)) executor.cold_sends.emplace_back(now, launch.cost * submission.width);
  host_.start_attempt(index, to, submission.deadline);
  wake(now + kSecond / 10, index);  // sooner than any patience; 25 and 300 ms fare alike
}

void Policy::close_launch(Time now, Request& submission, Attempt& launch) {
  launch.pending = false;
  Executor& executor = executors[launch.executor];
  --executor.open_attempts;
  executor.open_work = executor.open_attempts == 0 ? 0 : executor.open_work - launch.cost;
  if (launch.started_at < 0) {
    if (settings_.reports_start) saw_wait(now, launch);
    --executor.unstarted_attempts;
  } else {
    executor.running_width -= submission.width;
  }
}

void Policy::wake(Time when, int index) {
  host_.wake_at(when, std::uint64_t{requests[index].serial} << kIndexBits | static_cast<unsigned>(index));
}

void Policy::cancel_pending(int index) {
  Request& submission = requests[index];
  if (!settings_.can_cancel || !pending(submission) || submission.attempts.back().cancelled) return;
  submission.attempts.back().cancelled = true;
  host_.cancel_attempt(index, static_cast<int>(submission.attempts.size()) - 1);
}

void Policy::place(Time now, int index) {
  Request& submission = requests[index];
  const int to = select_executor(now, submission);
  if (to >= 0) return send(now, index, to);
  if (submission.queued) return;
  submission.queued = true;
  held_.push_back(index);
  look_at_held(now);
}

// One look for all: one for each of them took a node 24 s of CPU in a minute with some 500 held.
void Policy::look_at_held(Time now) {
  if (held_.empty() || now < held_look_) return;
  held_look_ = now + kSecond / 50;
  host_.wake_at(held_look_, kQueuedRequestsToken);
}

// What the mean one of its use case may wait beyond its agreed time and still be in time.
double Policy::mean_leeway(const Request& submission) const {
  const UseCase& use_case = settings_.use_cases[submission.use_case];
  return request_work(submission) * std::max(0.1, use_case.target_latency_per_work - 1 / mean_speed());
}

// The moment until which a start still leaves this chance of ending within the agreed time. The own work is
// taken to spread exponentially about its use case's mean; it is the short ones that a wait makes late.
Time Policy::last_start(const Request& submission, double chance) const {
  const UseCase& use_case = settings_.use_cases[submission.use_case];
  return std::min(submission.deadline - from_seconds(request_work(submission) / mean_speed()),
                  submission.arrived_at + use_case.target_latency +
                      from_seconds(mean_leeway(submission) * std::log(1 / chance)));
}

double Policy::chance_in_time(Time now, const Request& submission) const {
  const Time over = now - submission.arrived_at - settings_.use_cases[submission.use_case].target_latency;
  return over <= 0 ? 1 : std::exp(-seconds(over) / mean_leeway(submission));
}

// Told by how long the oldest held submission has waited, and for a while after, as the crowd is still there.
bool Policy::overloaded(Time now) {
  constexpr Time kLongWait = kSecond / 20;  // longer than a beat of the clock and a round trip
  if (!held_.empty() && now - requests[held_.front()].arrived_at > kLongWait) overload_seen_ = now;
  return now - overload_seen_ < kSecond;
}

double Policy::value_per_work(const Request& submission) const {
  return settings_.use_cases[submission.use_case].value / (request_work(submission) * submission.width);
}

// While its chance to be in time, times its value per work, is worth the room to the usual submission here.
Time Policy::give_up_time(Time now, const Request& submission) {
  const UseCase& use_case = settings_.use_cases[submission.use_case];
  const Time limit = submission.deadline - 2 * settings_.quantum;
  const bool crowded = overloaded(now);
  if (!crowded && use_case.late_value > 0) return limit;
  const double usual =
      asked_value_.read(now, kHealthLife) / std::max(1e-9, asked_work_.read(now, kHealthLife));
  // What would be aborted is lost for good, while whoever is pushed back comes again.
  constexpr double kAborted = 0.5;
  const double needed = (crowded ? kGiveWayChance : 0.6) * (may_shed(submission) ? 1 : kAborted) * usual /
                        value_per_work(submission);
  // What a late answer earns is earned for sure: the chance has to make up for the rest alone.
  if (needed <= use_case.late_value) return limit;
  const double chance = (needed - use_case.late_value) / std::max(1e-9, 1 - use_case.late_value);
  // One that is worth less than the room even if surely in time may begin at once or not at all, where this
  // part of the last ones waited until their chance fell; a short crowd passes. 0.3 and 0 lose.
  constexpr double kMuchWaiting = 0.15;
  if (crowded && chance > 1 &&
      waited_.read(now, kHealthLife) > kMuchWaiting * arrivals_.read(now, kHealthLife))
    return now;
  return std::min(limit, last_start(submission, std::clamp(chance, 0.05, 0.95)));
}

// Held submissions go out as room appears, the most valuable for their work first.
void Policy::serve_held(Time now) {
  in_vain_ = 0;  // what calls for it may have made room
  if (held_.empty()) return;
  if (now >= held_look_)
    for (const int index : std::vector<int>(held_))
      if (now >= give_up_time(now, requests[index])) end(now, index, true);
  if (room_ < 1 || std::none_of(executors.begin(), executors.end(), [&](Executor& e) {
        return e.lifecycle == Lifecycle::kActive && has_room(e) &&
               (!tells_held(now, e) || from_seconds(wait_at(now, e)) <= leeway_);
      }))
    return;
  std::vector<std::pair<double, int>> order;
  for (const int index : held_) {
    const Request& submission = requests[index];
    const double chance = chance_in_time(now, submission);
    const double part = chance + (1 - chance) * settings_.use_cases[submission.use_case].late_value;
    order.emplace_back(-value_per_work(submission) * part, index);
  }
  std::ranges::stable_sort(order, {}, &std::pair<double, int>::first);
  for (const auto& [key, index] : order)
    if (const int to = pick_unless_in_vain(now, requests[index]); to >= 0) {
      let_go(index);
      send(now, index, to);
    }
}

void Policy::let_go(int index) {
  if (requests[index].queued) std::erase(held_, index);
  requests[index].queued = false;
}

void Policy::end(Time now, int index, bool push_back) {
  Request& submission = requests[index];
  if (!submission.open) return;
  submission.open = false;
  let_go(index);
  push_back = push_back && may_shed(submission);
  cancel_pending(index);
  if (!push_back) return host_.fail(index);
  host_.shed(index, now - overload_seen_ < kSecond ? settings_.max_retry_after : 0);
}

// --- What happens ---

void Policy::request_arrived(Time now, int index, int use_case, Time due, double hint, int width,
                             std::uint64_t key, Time stop_by) {
  if (index >= static_cast<int>(requests.size())) requests.resize(index + 1);
  Request& submission = requests[index];
  submission = {.open = true,
                .serial = ++serial_,
                .use_case = use_case,
                .width = width,
                .work_hint = hint,
                .data_key = key,
                .arrived_at = now,
                .deadline = std::min(due, stop_by),
                .attempts = {}};
  // A node that stood still finds what came meanwhile: what is left of the hard limit tells how long ago,
  // less than half of it of little patience. Not on sockets today: clients that wait for less lost 0.05.
  const Time limit = settings_.use_cases[use_case].deadline;
  if (settings_.live_weights && due - now > limit / 2) submission.arrived_at = std::min(now, due - limit);
  arrivals_.add(now, kHealthLife, 1);
  asked_value_.add(now, kHealthLife, settings_.use_cases[use_case].value);
  asked_work_.add(now, kHealthLife, request_work(submission) * submission.width);
  mean_work_ = asked_work_.value / arrivals_.value;
  leeway_ = shortest_leeway();
  if (key != 0 && settings_.live_weights) count_key(now, key, request_work(submission));
  wake(submission.deadline - 2 * settings_.quantum, index);
  place(now, index);
}

// A multiple of what launches have waited of late, so that a trouble shared by all blames nobody.
static Time long_wait(Time now, DecayingSum& waits, DecayingSum& launches, Time least) {
  constexpr double kMultiple = 5;  // a queue's wait spreads widely
  const double count = launches.read(now, kHealthLife);
  const double mean = count > 0.5 ? waits.read(now, kHealthLife) / count : 0.1;
  return std::max(least, from_seconds(kMultiple * mean));
}

// How long one that has begun may go without progress: one note may come late, a second one is missing.
Time Policy::progress_patience() const {
  return settings_.progress_interval * 3 / 2 + kSecond / 10;
}

constexpr double kNearlyEaten = 0.9;  // chance, below which a waiting launch is taken back

// How long a launch may go unbegun before its executor is held to be silent: a handshake, a crossing and a
// pause; until it is taken, which waits in no queue: of 438 over sockets the slowest took 69 ms.
constexpr Time kLeastStart = kSecond * 3 / 10, kLeastTaken = kSecond * 15 / 100;

// Looks at a submission that may need a further launch, or has come near its hard limit without one.
void Policy::further(Time now, int index) {
  Request& submission = requests[index];
  Attempt* const launch = pending(submission) ? &submission.attempts.back() : nullptr;
  const bool begun = launch != nullptr && launch->started_at >= 0;
  const Time eaten = last_start(submission, kNearlyEaten);
  bool stuck = launch != nullptr, silent = false;
  Time next = kNever;
  if (launch != nullptr && settings_.reports_acceptance && !launch->accepted) {
    const Time until = launch->sent_at + long_wait(now, taken_wait_, taken_, kLeastTaken);
    silent = now >= until;
    if (!silent) next = until;  // never a time that is past: the timer would be due again at once
    if (silent && !launch->failure_counted) nobody_there(now, executors[launch->executor]);
    if (silent) blame(now, *launch);
  }
  if (launch != nullptr && !silent) {
    if (!begun && eaten > now) next = std::min(next, eaten);
    if (begun ? settings_.progress_interval == 0 : !settings_.reports_start) {
      stuck = false;
    } else if (const Time until =
                   launch->last_heard_at +
                   (begun ? progress_patience() : long_wait(now, start_wait_, starts_, kLeastStart));
               now < until) {
      stuck = !begun;
      next = std::min(next, until);
    } else {
      blame(now, *launch);
    }
  }
  if (!begun && settings_.reports_start) {
    // Where many nodes queue at the executors none holds anything: what waits there, unblamed, is held too.
    if (launch != nullptr && !launch->failure_counted && now >= eaten) {
      overload_seen_ = now;
      if (!submission.waited_long) waited_.add(now, kHealthLife, 1);
      submission.waited_long = true;
    }
    const Time until = give_up_time(now, submission);
    if (now >= until) return end(now, index, true);
    next = std::min(next, until);
  } else if (launch == nullptr && now >= submission.deadline - 2 * settings_.quantum) {
    return end(now, index, true);
  }
  if (stuck) seek_elsewhere(now, index, silent);
  // One that nobody has, or that fell silent as it ran, is looked at again soon where nobody else may be had.
  if (stuck && (silent || begun) && !launch->cancelled)
    next = std::min(
        next, now + from_seconds(seconds(kLookUp) * (in_vain_ < kMostInVain ? 1 : 1 + uniform(random_))));
  if (next < submission.deadline) wake(next, index);
}

// A launch that does not move is taken back if anybody else has room.
void Policy::seek_elsewhere(Time now, int index, bool silent) {
  Request& submission = requests[index];
  Attempt& launch = submission.attempts.back();
  if (!settings_.can_cancel || launch.cancelled) return;
  if (launch.started_at < 0 && !silent &&
      (overloaded(now) || now < last_start(submission, kNearlyEaten) || submission.attempts.size() > 1))
    return;
  launch.pending = false;
  const bool elsewhere = pick_unless_in_vain(now, submission) >= 0;
  launch.pending = true;
  if (elsewhere) cancel_pending(index);
}

void Policy::attempt_accepted(Time now, int index, int number) {
  Attempt& launch = requests[index].attempts[number];
  if (!launch.pending || launch.accepted) return;
  launch.accepted = true;
  word_from(executors[launch.executor]);
  taken_wait_.add(now, kHealthLife, seconds(now - launch.sent_at));
  taken_.add(now, kHealthLife, 1);
}

void Policy::count_running(Executor& executor, const Request& submission) {
  executor.running_width += submission.width;
  if (executor.machine_kind >= 0)
    max_parallel_width[executor.machine_kind] =
        std::max(max_parallel_width[executor.machine_kind], executor.running_width);
}

void Policy::attempt_started(Time now, int index, int number) {
  Request& submission = requests[index];
  Attempt& launch = submission.attempts[number];
  if (!launch.pending || launch.started_at >= 0) return;
  launch.accepted = true;
  launch.started_at = launch.last_heard_at = now;
  Executor& executor = executors[launch.executor];
  word_from(executor);
  --executor.unstarted_attempts;
  count_running(executor, submission);
  start_wait_.add(now, kHealthLife, seconds(now - launch.sent_at));
  starts_.add(now, kHealthLife, 1);
  heard_from(now, executor, now - launch.sent_at);
  saw_wait(now, launch);
  if (settings_.progress_interval > 0 && submission.open) wake(now + progress_patience(), index);
  serve_held(now);
}

// The slots that were free at once are there; a report is noisy, so a part of one does not count.
void Policy::take_load(const Executor& executor, const Load* load) {
  constexpr double kMost = 1e4;
  if (load == nullptr || executor.machine_kind < 0 || !(load->free_slots < kMost)) return;
  max_parallel_width[executor.machine_kind] =
      std::max(max_parallel_width[executor.machine_kind], std::floor(load->free_slots));
}

void Policy::attempt_ended(Time now, int index, int number, Outcome outcome, Time latency, bool settled,
                           const Load* load) {
  // Who fails at once has the shortest queue and keeps winning: an error must outweigh its last successes.
  constexpr double kErrorWeight = 3;
  constexpr double kLittleWeight = 0.5;  // one success makes up for two of them
  constexpr double kSpeedWeight = 0.2;   // the design page's start
  constexpr double kCostWeight = 0.02;   // costs spread widely; a heavy one must not move the mean far
  Request& submission = requests[index];
  Attempt& launch = submission.attempts[number];
  if (!launch.pending) return;
  close_launch(now, submission, launch);
  launch.may_have_run = may_have_run(outcome);
  Executor& executor = executors[launch.executor];
  if (!tells_held(now, executor) || executor.load_per_core <= most_held(executor)) room_ += 1;
  executor.last_used_at = now;
  const bool answered = outcome == Outcome::kSucceeded || outcome == Outcome::kFailed ||
                        outcome == Outcome::kRejected || outcome == Outcome::kInvalidRequest;
  answered ? word_from(executor) : connection_closed(launch.executor);  // it takes its connection with it
  take_load(executor, load);
  switch (outcome) {
    case Outcome::kSucceeded: {
      executor.successes.add(now, kHealthLife, 1);
      executor.unreachable_backoff = 0;
      heard_from(now, executor, latency);
      const double took = std::max(1e-4, seconds(latency));
      const double mean = mean_speed();
      count_speed(executor, -1);
      if (executor.mean_latency <= 0) {
        executor.mean_work = launch.cost;
        executor.mean_latency = launch.cost / mean;
      }
      const double run = launch.started_at >= 0 ? std::max(1e-4, seconds(now - launch.started_at)) : took;
      const double work = run * executor.mean_work / executor.mean_latency / mean;
      executor.mean_work += kSpeedWeight * (launch.cost - executor.mean_work);
      executor.mean_latency += kSpeedWeight * (took - executor.mean_latency);
      count_speed(executor, 1);
      const double weight = ++work_weight_[submission.use_case];
      work_[submission.use_case] += std::max(kCostWeight, 1 / weight) * (work - work_[submission.use_case]);
      break;
    }
    case Outcome::kUnreachable:
      nobody_there(now, executor);
      [[fallthrough]];
    case Outcome::kFailed:
      executor.failures.add(now, kHealthLife, kErrorWeight);
      break;
    // A process that dies takes all connections along; one that breaks while others stay tells of the way.
    case Outcome::kConnectionLost:
      executor.failures.add(now, kHealthLife, executor.connections > 0 ? kLittleWeight : kErrorWeight);
      break;
    case Outcome::kRejected:
    case Outcome::kInvalidRequest:
      executor.failures.add(now, kHealthLife, kLittleWeight);
      break;
    case Outcome::kTimedOut:
      blame(now, launch);
      break;
    default:  // cancelled, unsent, or a connection that may have died any time since it was used last
      break;
  }
  if (settled) submission.open = false;
  if (!submission.open) {
    let_go(index);
    cancel_pending(index);
  } else if (now >= submission.deadline - settings_.quantum) {
    end(now, index, true);
  } else if (!pending(submission)) {
    // What may go again waits for room, also where it may no longer be pushed back.
    const bool spent =
        static_cast<int>(submission.attempts.size()) >= settings_.max_attempts ||
        (settings_.use_cases[submission.use_case].effect == Effect::kAtMostOnce && !may_shed(submission));
    spent ? end(now, index, true) : place(now, index);
  }
  serve_held(now);
}

void Policy::client_left(Time, int index) {
  requests[index].open = false;
  let_go(index);
  cancel_pending(index);
}

void Policy::shorten_deadline(Time now, int index, Time due) {
  Request& submission = requests[index];
  if (!submission.open || submission.deadline <= due) return;
  submission.deadline = due;
  wake(std::max(now, due - 2 * settings_.quantum), index);
}

// Those above a lower number of launches launch no more; with nothing out they are over at once.
void Policy::settings_changed(Time now, Settings settings) {
  settings_ = std::move(settings);
  if (!settings_.live_weights) {
    room_ = kPlenty;
    for (Executor& executor : executors) executor.load_per_core = executor.weight = -1;
  }
  for (std::size_t i = work_.size(); i < settings_.use_cases.size(); ++i) {
    const int from = settings_.use_cases[i].initial_work_from;
    work_.push_back(from >= 0 ? work_[from] : 1.0);
    work_weight_.push_back(from >= 0 ? work_weight_[from] : 0.0);
  }
  for (std::size_t i = 0; i < requests.size(); ++i)
    if (requests[i].open && !pending(requests[i]) &&
        static_cast<int>(requests[i].attempts.size()) >= settings_.max_attempts)
      end(now, static_cast<int>(i), true);
}

void Policy::restore_executor(Time now, int index, const LearnedState& learned) {
  Executor& executor = executors[index];
  count_speed(executor, -1);
  LearnedState before = std::exchange(static_cast<LearnedState&>(executor), learned);
  executor.max_weight = std::max(executor.max_weight, before.max_weight);
  std::erase_if(before.cold_sends,
                [&](const auto& sent) { return now - sent.first > settings_.overload_span; });
  executor.cold_sends.insert(executor.cold_sends.end(), before.cold_sends.begin(), before.cold_sends.end());
  count_speed(executor, 1);
}

void Policy::restore_work(int use_case, double work, double weight) {
  work_[use_case] = work;
  work_weight_[use_case] = weight;
}

void Policy::adopt_connection(int index, Time used) {
  Executor& executor = executors[index];
  ++executor.connections;
  executor.last_used_at = std::max(executor.last_used_at, used);
  if (std::find(connected_executors.begin(), connected_executors.end(), index) == connected_executors.end())
    connected_executors.push_back(index);
}

void Policy::adopt_request(Time now, int index, Request open) {
  if (index >= static_cast<int>(requests.size())) requests.resize(index + 1);
  Request& submission = requests[index];
  submission = std::move(open);
  submission.open = true;
  submission.queued = false;
  submission.serial = ++serial_;
  wake(submission.deadline - 2 * settings_.quantum, index);
  if (!pending(submission)) return place(now, index);
  const Attempt& launch = submission.attempts.back();
  adopt_connection(launch.executor, now);
  Executor& executor = executors[launch.executor];
  ++executor.open_attempts;
  executor.open_work += launch.cost;
  if (launch.started_at < 0)
    ++executor.unstarted_attempts;
  else
    count_running(executor, submission);
  wake(now, index);
}

void Policy::request_handed_over(Time now, int index) {
  Request& submission = requests[index];
  submission.open = false;
  let_go(index);
  if (!pending(submission)) return;
  close_launch(now, submission, submission.attempts.back());
  connection_closed(submission.attempts.back().executor);
}

void Policy::for_each_sum(const std::function<void(const char*, DecayingSum&)>& visit) {
  const std::pair<const char*, DecayingSum*> sums[] = {
      {"arrivals", &arrivals_},    {"waited", &waited_},        {"askedValue", &asked_value_},
      {"askedWork", &asked_work_}, {"startWait", &start_wait_}, {"starts", &starts_},
      {"takenWait", &taken_wait_}, {"taken", &taken_}};
  for (const auto& [name, sum] : sums) visit(name, *sum);
}

void Policy::timer_due(Time now, std::uint64_t token) {
  if (token == kTickToken) return tick(now);
  if (token == kAskToken) return follow_list(now);
  if (token == kQueuedRequestsToken) {
    serve_held(now);
    return look_at_held(now);
  }
  const std::uint64_t index = token & ((1u << kIndexBits) - 1);
  if (index >= requests.size()) return;
  const Request& submission = requests[index];
  if (submission.open && submission.serial == token >> kIndexBits) further(now, static_cast<int>(index));
}

}  // namespace canvasstage
