// The decisions of one node. select_executor() implements TPD (docs/design.md). Around it: is_suspect
// (health), check_progress (retries), give_up_time (shedding), update_capacity_left (shared capacity),
// dispatch_queued, find_preferred_executors (data keys), find_eligible (connections), cold_budget,
// subscribe_if_due.
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

// Decay of outcomes, waits and arrivals: a few times as long as the first signs of a transient fault.
constexpr Time kHealthTimeConstant = 8 * kSecond;

double uniform(std::mt19937& random) {
  return (static_cast<double>(random()) + 0.5) / 4294967296.0;
}

constexpr std::uint64_t kHousekeepingToken = 0;      // timer of the housekeeping
constexpr std::uint64_t kSubscriptionToken = 2;      // timer of the next subscription to the executor list
constexpr Time kHousekeepingInterval = kSecond / 4;  // short enough to renew the subscription in time
constexpr int kRequestIndexBits = 24;  // low bits of a request's timer token; its serial fills the others
constexpr Time kLookupInterval = kSecond / 20;  // pause until a waiting request looks for an executor again
// Failed lookups allowed within kLookupInterval: 8 over 512 executors each take more than 1.6 % of a core.
constexpr int kMaxFailedLookups = 4;
// With a lower probability to be answered on time a request is not worth the capacity under overload.
constexpr double kMinOnTimeProbability = 0.8;

}  // namespace

double DecayingSum::read(Time now, Time time_constant) {
  if (now > updated_at) {
    value *= std::exp(-static_cast<double>(now - updated_at) / static_cast<double>(time_constant));
    updated_at = now;
  }
  return value;
}

void DecayingSum::add(Time now, Time time_constant, double amount) {
  read(now, time_constant);
  value += amount;
}

Policy::Policy(Settings settings, Host& host, std::uint32_t seed, Time now)
    : settings_(std::move(settings)),
      host_(host),
      random_(seed),
      learned_work_(settings_.use_cases.size(), 1.0),
      learned_work_weight_(settings_.use_cases.size(), 0.0) {
  // The timer delays the first subscription until the caller has passed on the remembered executor list.
  host_.wake_at(now, kHousekeepingToken);
}

// --- Executor list ---

void Policy::executor_listed(Time now, int executor_index, int zone, int machine_kind, int cell,
                             Lifecycle lifecycle, Time started_at, double weight, std::uint64_t identity) {
  for (int added = static_cast<int>(executors.size()); added <= executor_index; ++added) {
    executors.emplace_back();
    shuffled_executors_.push_back(added);
    std::swap(shuffled_executors_.back(), shuffled_executors_[random_() % shuffled_executors_.size()]);
  }
  if (zone >= static_cast<int>(zones.size())) zones.resize(zone + 1);
  if (machine_kind >= static_cast<int>(max_parallel_width.size()))
    max_parallel_width.resize(machine_kind + 1, 1.0);
  Executor& executor = executors[executor_index];
  // The executor has restarted: what was learned of its health and load is void.
  if (executor.last_listed > 0 && started_at > executor.started_at) {
    executor.successes = executor.failures = DecayingSum{};
    executor.unreachable_until = executor.unreachable_backoff = 0;
    mark_alive(executor);
    executor.load_per_core = -1;
    executor.cold_attempts.clear();
  }
  update_mean_speed(executor, -1);
  executor.last_listed = membership_serial_ + 1;
  executor.zone = zone;
  executor.machine_kind = machine_kind;
  executor.cell = cell;
  executor.identity = identity;
  update_weight(executor, weight);
  executor.lifecycle = lifecycle;
  executor.started_at = std::min(std::max(executor.started_at, started_at), now);
  if (is_cold(now, executor) && std::ranges::find(cold_executors_, executor_index) == cold_executors_.end())
    cold_executors_.push_back(executor_index);
  update_mean_speed(executor, 1);
}

// A live weight is the executor's size divided by 1 + its load per core, the requests of all nodes included.
void Policy::update_weight(Executor& executor, double weight) {
  if (!settings_.live_weights || !std::isfinite(weight) || weight <= 0) return;
  const double previous_weight = std::exchange(executor.weight, weight);
  if (weight == previous_weight) return;
  // A weight that jumps counts only once it is repeated: a size that is far too large would make the executor
  // look loaded for good, with no capacity left.
  constexpr double kMaxWeightRatio = 4;
  if (previous_weight > 0 && weight > kMaxWeightRatio * std::max(executor.max_weight, previous_weight))
    return;
  executor.max_weight = std::max(executor.max_weight, weight);
  executor.load_per_core = executor.max_weight / weight - 1;
  executor.attempts_at_weight_change = executor.open_attempts;
  weights_changed_ = true;
}

constexpr Time kMaxLoadAge = 5 * kSecond;  // weights arrive about every second

bool Policy::has_current_load(Time now, const Executor& executor) const {
  return executor.load_per_core >= 0 && now - capacity_updated_at_ < kMaxLoadAge;
}

// Highest load per core at which an executor still has capacity left: its queue may take half of the time
// that a request of the most urgent use case can wait.
double Policy::max_load_per_core(const Executor& executor) const {
  constexpr double kSlackShare = 0.5;
  return 1 + kSlackShare * seconds(min_slack_) / mean_work_ * speed(executor);
}

// Recomputes the capacity left from new weights. All nodes see the same free capacity in the same delayed
// list, so a node sends no more than its share of it when demand exceeds it.
void Policy::update_capacity_left(Time now) {
  constexpr double kContentionRatio = 1.5;  // demand over capacity
  if (!std::exchange(weights_changed_, false)) return;
  const double elapsed_seconds = std::min(2.0, seconds(now - capacity_updated_at_));
  capacity_updated_at_ = now;
  double capacity = 0;
  for (const Executor& executor : executors)
    if (executor.lifecycle == Lifecycle::kActive && executor.load_per_core >= 0)
      capacity +=
          parallel_width(executor) * std::max(0.0, max_load_per_core(executor) - executor.load_per_core);
  capacity /= settings_.node_count;
  const double demand = static_cast<double>(queued_.size()) + arrivals_.read(now, kHealthTimeConstant) /
                                                                  seconds(kHealthTimeConstant) *
                                                                  elapsed_seconds;
  capacity_left_ =
      demand <= kContentionRatio * capacity ? kUnlimitedCapacity : std::floor(capacity + uniform(random_));
}

bool Policy::is_cold(Time now, const Executor& executor) const {
  return executor.started_at > 0 &&
         now - executor.started_at < settings_.warm_up_time + settings_.overload_span;
}

void Policy::membership_received(Time now, MembershipUpdate update) {
  ++membership_serial_;
  if (update == MembershipUpdate::kSnapshot)
    for (Executor& executor : executors)
      if (executor.last_listed != membership_serial_) {
        update_mean_speed(executor, -1);
        executor.lifecycle = Lifecycle::kRemoved;
      }
  if (update != MembershipUpdate::kCached) {
    subscribed_ = true;
    subscription_backoff_ = 0;
  } else if (!subscribed_ && !executors.empty()) {
    // No request is served before discovery or a peer has supplied a list.
    schedule_subscription(now, 0, seconds(subscription_spread(0)) * uniform(random_));
  }
  update_capacity_left(now);
  dispatch_queued(now);
}

// Time over which the nodes spread their calls. Discovery serves the calls of all nodes one after another: it
// answered 210 calls that came within a second in 2.6 s.
Time Policy::subscription_spread(Time min_spread) const {
  constexpr Time kTimePerNode = kSecond / 100;
  return std::clamp(settings_.node_count * kTimePerNode, std::min(min_spread, max_subscription_backoff()),
                    max_subscription_backoff());
}

// Changes of the list count as known to the node 6 s after a call has failed; with this limit three more
// calls fit in before (docs/races.md).
Time Policy::max_subscription_backoff() const {
  return std::min(settings_.max_membership_age / 2, kSecond * 3 / 2);
}

void Policy::schedule_subscription(Time now, Time backoff, double delay_seconds) {
  subscribed_ = false;
  subscription_backoff_ = backoff;
  next_subscription_at_ = now + from_seconds(delay_seconds);
  host_.wake_at(next_subscription_at_, kSubscriptionToken);
}

void Policy::membership_call_failed(Time now) {
  const Time backoff =
      std::clamp(2 * subscription_backoff_, subscription_spread(kSecond / 2), max_subscription_backoff());
  schedule_subscription(now, backoff, seconds(backoff) * (0.5 + uniform(random_) / 2));
}

// A membership change that a silent watch misses counts as known to the node 6 s after the watch became
// silent, so the node subscribes again within 0.3 s; discovery answered all of 300 calls made within that
// time.
void Policy::watch_timed_out(Time now) {
  schedule_subscription(now, kWatchWasSilent,
                        subscription_backoff_ == kWatchWasSilent ? 0 : 0.3 * uniform(random_));
}

void Policy::discovery_moved(Time now) {
  schedule_subscription(now, 0, 0);
  subscribe_if_due(now);
}

void Policy::subscribe_if_due(Time now) {
  if (!settings_.polls_membership || subscribed_ || now < next_subscription_at_) return;
  host_.subscribe_to_membership();
  next_subscription_at_ = now + settings_.max_membership_age / 2;  // in case no answer comes
}

void Policy::run_housekeeping(Time now) {
  subscribe_if_due(now);
  // Without recent weights capacity is released only by ended attempts, so a node with no attempts of its own
  // gets capacity for one.
  if (now - capacity_updated_at_ >= kMaxLoadAge) capacity_left_ = std::max(capacity_left_, 1.0);
  dispatch_queued(now);
  host_.wake_at(now + kHousekeepingInterval, kHousekeepingToken);
}

// --- TPD ---

void Policy::update_mean_speed(const Executor& executor, int sign) {
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

double Policy::request_work(const Request& request) const {
  return request.work_hint > 0 ? request.work_hint : learned_work_[request.use_case];
}

constexpr Time kDelayWindow = 10 * kSecond;  // long enough for a response from each zone at low traffic

void Policy::record_zone_delay(Time now, const Executor& executor, Time delay) {
  if (executor.zone < 0) return;
  Zone& zone = zones[executor.zone];
  if (now - zone.window_started_at > kDelayWindow) {
    zone.previous_min_delay = now - zone.window_started_at > 2 * kDelayWindow ? kNever : zone.min_delay;
    zone.min_delay = kNever;
    zone.window_started_at = now;
  }
  zone.min_delay = std::min(zone.min_delay, delay);
}

Time Policy::zone_delay(const Executor& executor) const {
  if (executor.zone == settings_.zone || executor.zone < 0 || settings_.zone < 0 ||
      settings_.zone >= static_cast<int>(zones.size()))
    return 0;
  const Zone &zone = zones[executor.zone], &own_zone = zones[settings_.zone];
  const Time zone_min_delay = std::min(zone.min_delay, zone.previous_min_delay),
             own_min_delay = std::min(own_zone.min_delay, own_zone.previous_min_delay);
  return zone_min_delay == kNever || own_min_delay == kNever
             ? 0
             : std::max<Time>(0, zone_min_delay - own_min_delay);
}

// The number of candidates is the smallest integer in [(1 - epsilon) f, (1 + epsilon) f], within [2, K] for K
// executors.
int Policy::candidate_count(const std::vector<double>& probabilities) {
  constexpr double kEpsilon = 0.1;
  const int count = static_cast<int>(probabilities.size());
  if (count <= 2) return count;
  const auto [min_probability, max_probability] =
      std::minmax_element(probabilities.begin(), probabilities.end());
  const double alpha = 1.0 / (count * *min_probability);
  const double beta = count * *max_probability;
  double f = 1.0;  // the limit for equal probabilities
  if (alpha > 1.0 + 1e-9 && beta > 1.0 + 1e-9)
    f = std::log((alpha * beta - 1) / (alpha - 1)) / std::log((alpha * beta - 1) / (alpha * beta - beta));
  if (!std::isfinite(f)) return count;
  const double lower = std::min((1 - kEpsilon) * f, static_cast<double>(count));
  return std::clamp(static_cast<int>(std::ceil(lower)), 2, count);
}

// Decay of an observed queue wait. The wait of an attempt shows the queue that all nodes build at the
// executor, which drains at the pace of runs.
Time Policy::queue_wait_time_constant() const {
  constexpr double kMeanRuns = 2;
  return std::max<Time>(1, from_seconds(kMeanRuns * mean_work_));
}

void Policy::record_queue_wait(Time now, Attempt& attempt) {
  Executor& executor = executors[attempt.executor];
  executor.queue_wait = {std::max(0.0, seconds(now - attempt.sent_at - zone_delay(executor))), now};
}

constexpr Time kMaxUnqueuedWait = kSecond / 40;  // covers a handshake, jitter and clock ticks

// Returns the seconds that an attempt sent now is expected to wait at the executor: from its listed load if
// that is current, else from the wait of the last attempt.
double Policy::expected_queue_wait(Time now, Executor& executor) {
  if (!has_current_load(now, executor)) return executor.queue_wait.read(now, queue_wait_time_constant());
  const double new_attempts = executor.open_attempts - executor.attempts_at_weight_change + 1;
  return std::max(0.0, executor.load_per_core - 1 + new_attempts / parallel_width(executor)) * mean_work_ /
         speed(executor);
}

double Policy::parallel_width(const Executor& executor) const {
  return executor.machine_kind >= 0 ? max_parallel_width[executor.machine_kind] : 1.0;
}

// While this many executors with an idle connection are eligible, no others are considered. Otherwise nearly
// every attempt would open a connection at low traffic, and what is learned of an executor would be outdated
// at the next attempt. Two is the smallest d of TPD.
constexpr std::size_t kMinEligible = 2;

bool Policy::has_idle_connection(Time now, const Executor& executor) const {
  return executor.connections > executor.open_attempts &&
         now - executor.last_used_at < settings_.connection_idle_timeout;
}

// One attempt per second detects a recovered executor soon enough.
constexpr Time kMaxUnreachableBackoff = kSecond;

// Expresses the cost of a new connection as the delay in seconds that lowers the value of a mean request of
// the use case as much.
double Policy::connection_cost_as_delay(Time now, const Request& request) {
  if (settings_.connection_cost <= 0) return 0;
  const UseCase& use_case = settings_.use_cases[request.use_case];
  const double mean_value = arrived_value_.read(now, kHealthTimeConstant) /
                            std::max(1e-9, arrivals_.read(now, kHealthTimeConstant));
  const double value_at_stake = std::max(1e-9, use_case.value * std::max(0.1, 1 - use_case.late_value));
  return settings_.connection_cost * mean_value / value_at_stake * mean_slack(request);
}

// Fills eligible_ from all executors, or from those with an idle connection and the cold ones. The cold ones
// are included because they have no connection and nodes with enough connections would never send to them.
void Policy::find_eligible(Time now, const Request& request, bool connected_or_cold_only, bool check_health) {
  eligible_.clear();
  if (!connected_or_cold_only) return scan_for_eligible(now, request, shuffled_executors_, check_health);
  std::erase_if(connected_executors, [&](int i) {
    return !has_idle_connection(now, executors[i]) && executors[i].open_attempts == 0;
  });
  std::erase_if(cold_executors_, [&](int i) { return !is_cold(now, executors[i]); });
  scan_order_.clear();
  for (const std::vector<int>* const source : {&connected_executors, &cold_executors_})
    for (const int i : *source)
      if (has_idle_connection(now, executors[i]) == (source == &connected_executors))
        scan_order_.push_back(i);
  scan_for_eligible(now, request, scan_order_, check_health);
}

// Adds eligible executors among the given ones to eligible_, starting at a random position. The scan is
// limited since looking at all executors of a large fleet costs too much.
void Policy::scan_for_eligible(Time now, const Request& request, const std::vector<int>& indices,
                               bool check_health) {
  constexpr std::size_t kUsualScanLimit = 64;  // two drawn of 64 are hardly worse than two drawn of all
  // While too few are eligible: if only three executors may take the request, most scans still find one of
  // them.
  constexpr std::size_t kMaxScanLimit = 512;
  if (indices.empty()) return;
  std::size_t position = random_() % indices.size();
  for (std::size_t n = 0;
       n < std::min(indices.size(), eligible_.size() < kMinEligible ? kMaxScanLimit : kUsualScanLimit); ++n) {
    const int i = indices[position];
    position = position + 1 < indices.size() ? position + 1 : 0;
    if (is_eligible(now, request, i, check_health)) eligible_.push_back(i);
  }
}

bool Policy::is_eligible(Time now, const Request& request, int executor_index, bool check_health) {
  // A retry waits until an unreachable executor has been left alone for the maximum backoff: few attempts of
  // the request remain, and none is to be spent on probing it.
  const bool is_first_attempt = request.attempts.empty();
  Executor& executor = executors[executor_index];
  return has_capacity_left(executor) &&
         now >= executor.unreachable_until + (is_first_attempt || executor.unreachable_backoff == 0
                                                  ? 0
                                                  : kMaxUnreachableBackoff - executor.unreachable_backoff) &&
         now + from_seconds(expected_queue_wait(now, executor)) <=
             (has_current_load(now, executor) ? std::min(latest_useful_start_, now + min_slack_)
                                              : latest_useful_start_) &&
         may_attempt_on(now, request, executor) &&
         (!check_health ||
          (std::ranges::find(request.attempts, executor_index, &Attempt::executor) ==
               request.attempts.end() &&
           !is_suspect(now, executor) && (executor.zone < 0 || !zones[executor.zone].excluded)));
}

// How long a request may wait in a queue that all use cases share: as long as the most urgent one can.
Time Policy::compute_min_slack() const {
  Request typical{.use_case = 0, .deadline = kNever, .attempts = {}};
  Time min_slack = kNever;
  for (; typical.use_case < static_cast<int>(settings_.use_cases.size()); ++typical.use_case)
    min_slack = std::min(min_slack, latest_start(typical, kMinOnTimeProbability));
  return min_slack;
}

// Mixes the bits of a value, for rendezvous hashing.
std::uint64_t mix_bits(std::uint64_t value) {
  value = (value ^ (value >> 31)) * 0x9e3779b97f4a7c15u;
  value = (value ^ (value >> 29)) * 0xbf58476d1ce4e5b9u;
  return value ^ (value >> 32);
}

constexpr Time kKeyTimeConstant = 60 * kSecond;  // long, as popularity has to be learned from little traffic
constexpr std::size_t kMaxKeys = 1024;

void Policy::record_key_work(Time now, std::uint64_t data_key, double work) {
  keyed_work_.add(now, kKeyTimeConstant, work);
  if (work_by_key_.size() >= kMaxKeys && !work_by_key_.contains(data_key))
    work_by_key_.erase(work_by_key_.begin());
  work_by_key_[data_key].add(now, kKeyTimeConstant, work);
}

// Executors keep data, so all nodes have to send the work of a key to the same few executors. Rendezvous
// hashing (Thaler and Ravishankar), weighted by the listed sizes, orders all executors in scan_order_.
// Returns how many at its head are preferred: as many as the key's share of the work needs.
std::size_t Policy::rank_executors_by_key(Time now, const Request& request) {
  ranks_.clear();
  double total_weight = 0;
  for (std::size_t i = 0; i < executors.size(); ++i) {
    const Executor& executor = executors[i];
    if (executor.lifecycle != Lifecycle::kActive || executor.max_weight <= 0) continue;
    const double u =
        static_cast<double>(mix_bits(mix_bits(executor.identity) ^ request.data_key) >> 11) + 0.5;
    ranks_.emplace_back(-std::log(std::ldexp(u, -53)) / executor.max_weight, static_cast<int>(i));
    total_weight += executor.max_weight;
  }
  std::ranges::sort(ranks_);
  const auto found = work_by_key_.find(request.data_key);
  double work_share = 0;  // without this request: a key seen once is not popular
  if (found != work_by_key_.end())
    work_share = (found->second.read(now, kKeyTimeConstant) - request_work(request)) /
                 keyed_work_.read(now, kKeyTimeConstant);
  scan_order_.clear();
  std::size_t preferred_count = 0;
  double weight_sum = 0;
  for (const auto& [rank, i] : ranks_) {
    if (scan_order_.empty() || weight_sum < work_share * total_weight) ++preferred_count;
    scan_order_.push_back(i);
    weight_sum += executors[i].max_weight;
  }
  return preferred_count;
}

// Fills eligible_ with executors of short queues: the preferred ones of the request's key and, if those are
// too few, the next in the key's order. Returns how many of eligible_, from its head, count as keeping the
// data.
std::size_t Policy::find_preferred_executors(Time now, const Request& request) {
  // Longest expected queue wait at an executor that is used for a request's data key, as a multiple of the
  // mean work of a request. At a limit of 0.25 too many requests went to executors that did not hold their
  // data.
  constexpr double kMaxPreferredWait = 1.5;
  eligible_.clear();
  if (request.data_key == 0 || !settings_.live_weights) return 0;
  const std::size_t preferred_count = rank_executors_by_key(now, request);
  std::size_t eligible_preferred = 0;
  for (std::size_t n = 0; n < scan_order_.size() && (n < preferred_count || eligible_.size() < kMinEligible);
       ++n) {
    if (is_eligible(now, request, scan_order_[n], true) &&
        expected_queue_wait(now, executors[scan_order_[n]]) <= kMaxPreferredWait * mean_work_)
      eligible_.push_back(scan_order_[n]);
    if (n < preferred_count) eligible_preferred = eligible_.size();
  }
  return eligible_.empty() ? 0 : std::max<std::size_t>(eligible_preferred, 1);
}

// If connections have a cost, a single executor with an idle connection is enough while it is expected to
// finish no later than an executor of mean speed and mean wait would over a new connection. Without this rule
// every node opened a second connection.
bool Policy::is_sufficient_alone(Time now, const Request& request, Executor& executor) {
  if (settings_.connection_cost <= 0) return false;
  const double work = request_work(request), own_speed = speed(executor);
  const double mean_start_wait = start_wait_sum_.read(now, kHealthTimeConstant) /
                                 std::max(1.0, start_count_.read(now, kHealthTimeConstant));
  return (executor.open_work + work) / own_speed +
             executor.queue_wait.read(now, queue_wait_time_constant()) <=
         work / mean_speed() + mean_start_wait + connection_cost_as_delay(now, request);
}

// TPD, for first attempts and for retries: draws d candidates with probabilities by learned speed, discounted
// by delay, and takes the one with the earliest estimated finish.
int Policy::select_executor(Time now, const Request& request) {
  if (capacity_left_ < 1 || !may_attempt_any(now, request)) return -1;
  latest_useful_start_ = std::max(latest_start(request, kMinOnTimeProbability), now + kMaxUnqueuedWait);
  draw_excluded_zones(now);
  const std::size_t preferred_count = find_preferred_executors(now, request);
  if (eligible_.empty()) {
    find_eligible(now, request, true, true);
    if (eligible_.size() < kMinEligible &&
        !(eligible_.size() == 1 && is_sufficient_alone(now, request, executors[eligible_[0]])))
      find_eligible(now, request, false, true);
    if (eligible_.empty()) find_eligible(now, request, false, false);
  }
  if (eligible_.empty()) return -1;
  const double work = request_work(request), connection_delay = connection_cost_as_delay(now, request);
  // Delay counted for an executor that does not hold the request's data, as a multiple of the mean work of a
  // request. It includes what the transfer of the data costs other requests.
  constexpr double kFetchCost = 1;
  const double fetch_delay = preferred_count > 0 ? kFetchCost * mean_work_ : 0;
  double weight_sum = 0;
  probabilities_.clear();
  delays_.clear();
  for (const int i : eligible_) {
    const double run_time = work / speed(executors[i]);
    delays_.push_back(seconds(zone_delay(executors[i])) +
                      (has_idle_connection(now, executors[i]) ? 0 : connection_delay) +
                      (delays_.size() < preferred_count ? 0 : fetch_delay));
    probabilities_.push_back(work / (run_time + delays_.back()));
    weight_sum += probabilities_.back();
  }
  for (double& probability : probabilities_) probability /= weight_sum;
  int best = -1;
  double min_finish_time = 0, probability_left = 1;
  for (int draws = candidate_count(probabilities_); draws > 0; --draws) {
    double threshold = uniform(random_) * probability_left;
    std::size_t drawn = probabilities_.size();
    for (std::size_t i = 0; i < probabilities_.size(); ++i) {
      if (probabilities_[i] <= 0) continue;
      drawn = i;
      threshold -= probabilities_[i];
      if (threshold < 0) break;
    }
    Executor& executor = executors[eligible_[drawn]];
    const double executor_speed = speed(executor);
    const double queue_wait = (has_current_load(now, executor) ? 0 : executor.open_work / executor_speed) +
                              expected_queue_wait(now, executor);
    const double finish_time = queue_wait + work / executor_speed + delays_[drawn];
    if (best < 0 || finish_time < min_finish_time) {
      best = eligible_[drawn];
      min_finish_time = finish_time;
    }
    probability_left -= probabilities_[drawn];
    probabilities_[drawn] = 0;
  }
  return best;
}

// Looks up an executor for a waiting request. After kMaxFailedLookups lookups in a row have failed, the next
// ones would hardly succeed and are skipped until capacity may have appeared or kLookupInterval has passed.
// Without this limit 250 requests waiting for 3,200 executors took 0.7 of a core, and hundreds took all of a
// small node.
int Policy::select_executor_limited(Time now, const Request& request) {
  if (now - failed_lookups_since_ >= kLookupInterval) failed_lookups_ = 0;
  if (failed_lookups_ == 0) failed_lookups_since_ = now;
  const int executor_index = failed_lookups_ < kMaxFailedLookups ? select_executor(now, request) : -1;
  failed_lookups_ = executor_index >= 0 ? 0 : failed_lookups_ + 1;
  return executor_index;
}

// --- The four rules ---

bool Policy::may_attempt_any(Time now, const Request& request) const {
  if (!request.open || now >= request.deadline) return false;  // rule 1
  if (static_cast<int>(request.attempts.size()) >= settings_.max_attempts || has_pending_attempt(request))
    return false;
  // Rule 2: a request that may have run is retried only as its use case allows. The first attempt that may
  // have run determines the zone or cell of the later ones.
  const Effect effect = settings_.use_cases[request.use_case].effect;
  if (effect == Effect::kAtMostOnce && first_possible_run(request) != nullptr) return false;
  return now + settings_.quantum < idempotency_window_end(request);
}

bool Policy::may_attempt_on(Time now, const Request& request, Executor& executor) {
  if (executor.lifecycle != Lifecycle::kActive) return false;  // rule 3; its grace period is only slack
  const UseCase& use_case = settings_.use_cases[request.use_case];
  if (use_case.machine_kind >= 0 && executor.machine_kind != use_case.machine_kind) return false;
  const Attempt* const earlier_run =
      use_case.effect == Effect::kIdempotentByKey ? first_possible_run(request) : nullptr;
  if (earlier_run != nullptr && use_case.idempotency_scope == IdempotencyScope::kZone &&
      executors[earlier_run->executor].zone != executor.zone)
    return false;
  if (earlier_run != nullptr && use_case.idempotency_scope == IdempotencyScope::kCell &&
      executors[earlier_run->executor].cell != executor.cell)
    return false;
  // Rule 4: a cold executor gets no more than this node's share of the work that it can certainly bear. The
  // count that a budget allows by the mean of n observed costs is on average n / (n - 1) times the true
  // count, unbounded for n = 1; there the factor 4 lets a node still send.
  if (!is_cold(now, executor)) return true;
  const double sample_count = request.work_hint > 0 ? 0 : learned_work_weight_[request.use_case];
  const double work = request_work(request) * request.width *
                      (sample_count < 1 ? 1 : sample_count / std::max(0.25, sample_count - 1));
  double sent_work = work;
  for (const auto& [when, earlier_work] : executor.cold_attempts)
    if (now - when <= settings_.overload_span) sent_work += earlier_work;
  const double budget = cold_budget(now, executor);
  return sent_work <= budget || (sent_work <= work && passes_admission_draw(now, executor, work, budget));
}

const Attempt* Policy::first_possible_run(const Request& request) {
  const auto found = std::ranges::find(request.attempts, true, &Attempt::may_have_run);
  return found == request.attempts.end() ? nullptr : &*found;
}

Time Policy::idempotency_window_end(const Request& request) const {
  const UseCase& use_case = settings_.use_cases[request.use_case];
  const Attempt* const earlier_run =
      use_case.effect == Effect::kIdempotentByKey ? first_possible_run(request) : nullptr;
  return earlier_run != nullptr && !earlier_run->pending ? earlier_run->sent_at + use_case.idempotency_window
                                                         : kNever;
}

// Admission draw for a cold executor if this node's share is less than one attempt: one attempt goes with the
// probability share / work, drawn once per overload span, so that all nodes together send on average what the
// shares allow. Only for small work, as the sum of a few heavy attempts varies widely.
bool Policy::passes_admission_draw(Time now, Executor& executor, double work, double budget) {
  // Attempts that the budget of all nodes has to hold; a sum of four deviates by half.
  constexpr double kMinTotalAttempts = 4;
  if (work * kMinTotalAttempts > budget * settings_.node_count) return false;
  if (now - executor.admission_drawn_at > settings_.overload_span) {
    executor.admission_drawn_at = now;
    executor.admission_draw = uniform(random_);
  }
  // A node with less than one recent request per executor rarely has one for this executor.
  const double use_probability =
      std::min(1.0, arrivals_.read(now, kHealthTimeConstant) / std::max(1, speed_count_));
  return executor.admission_draw * work * use_probability < budget;
}

bool Policy::may_shed(const Request& request) const {
  const UseCase& use_case = settings_.use_cases[request.use_case];
  return use_case.effect == Effect::kIdempotent ||
         (use_case.effect == Effect::kIdempotentByKey &&
          use_case.idempotency_scope == IdempotencyScope::kAll) ||
         first_possible_run(request) == nullptr;
}

// The node's share of the work that the executor can bear within any overload span, at its lowest possible
// capacity.
double Policy::cold_budget(Time now, const Executor& executor) const {
  constexpr double kSafetyFactor = 0.8;  // leaves room for the work of handshakes and probes
  const double age = std::max(0.0, seconds(now - settings_.overload_span - executor.started_at));
  const double warm_share =
      settings_.warm_up_time > 0 ? std::min(1.0, age / seconds(settings_.warm_up_time)) : 1.0;
  const double capacity_share = settings_.cold_start_share + (1 - settings_.cold_start_share) * warm_share;
  return cold_budget_share_ * kSafetyFactor * settings_.overload_multiple / settings_.node_count *
         capacity_share * speed(executor) * parallel_width(executor) * seconds(settings_.overload_span);
}

// --- Health ---

void Policy::count_failure(Time now, Attempt& attempt) {
  if (attempt.failure_counted) return;
  attempt.failure_counted = true;
  executors[attempt.executor].failures.add(now, kHealthTimeConstant, 1);
}

constexpr Time kZoneTimeConstant = 2 * kSecond;

// Excludes a zone with a probability that rises with the number of its executors that were unreachable in a
// row. Without this exclusion half of all attempts went to unreachable executors.
void Policy::draw_excluded_zones(Time now) {
  constexpr double kMinUnanswered = 1.5;  // one unreachable executor says nothing about its zone
  if (zones.size() < 2) return;           // no executors would be left
  for (Zone& zone : zones) {
    const double unanswered = zone.unreachable_executors.read(now, kZoneTimeConstant);
    zone.excluded = unanswered >= kMinUnanswered && uniform(random_) > std::exp2(-unanswered);
  }
}

void Policy::mark_alive(const Executor& executor) {
  if (executor.zone >= 0) zones[executor.zone].unreachable_executors.value = 0;
}

// Sends nothing to the executor for a pause that doubles each time. An executor that refuses connections is
// always the first to be free again: four such executors of nine used to take all attempts. Failures during
// the pause, of attempts that were sent before it, count as one failure with the one that began the pause.
void Policy::mark_unreachable(Time now, Executor& executor) {
  constexpr Time kMinUnreachableBackoff = kSecond / 20;  // one failed connection costs little
  if (now < executor.unreachable_until) return;
  if (executor.unreachable_backoff == 0 && executor.zone >= 0)
    zones[executor.zone].unreachable_executors.add(now, kZoneTimeConstant, 1);
  executor.unreachable_backoff =
      std::clamp(2 * executor.unreachable_backoff, kMinUnreachableBackoff, kMaxUnreachableBackoff);
  executor.unreachable_until = now + executor.unreachable_backoff;
}

// An executor is not suspect while its weighted sum of failures, which decays with kHealthTimeConstant, is
// below this limit.
constexpr double kMinFailures = 0.3;
constexpr double kMinSuccessProbability = 0.6;  // success probability below which an executor is suspect

// Draws from the posterior of the executor's success probability, so that a suspect executor still gets an
// attempt now and then.
bool Policy::is_suspect(Time now, Executor& executor) {
  if (executor.failures.value < kMinFailures ||
      executor.failures.read(now, kHealthTimeConstant) < kMinFailures)
    return false;
  std::gamma_distribution<double> success_draw(1 + executor.successes.read(now, kHealthTimeConstant)),
      failure_draw(1 + executor.failures.value);
  const double success_sample = success_draw(random_);
  return success_sample / (success_sample + failure_draw(random_)) < kMinSuccessProbability;
}

bool Policy::is_avoided(Time now, const Executor& executor) const {
  if (now < executor.unreachable_until) return true;
  DecayingSum successes = executor.successes, failures = executor.failures;
  const double success_weight = 1 + successes.read(now, kHealthTimeConstant),
               failure_weight = 1 + failures.read(now, kHealthTimeConstant);
  return failure_weight >= 1 + kMinFailures &&
         success_weight < kMinSuccessProbability * (success_weight + failure_weight);
}

// --- Attempts ---

// A second unstarted attempt would only move the queue to the executor, where the node can't order it.
bool Policy::has_capacity_left(const Executor& executor) const {
  return !settings_.reports_start || executor.unstarted_attempts < 1;
}

void Policy::send_attempt(Time now, int request_index, int executor_index) {
  Request& request = requests[request_index];
  Executor& executor = executors[executor_index];
  Attempt attempt;
  attempt.executor = executor_index;
  attempt.sent_at = attempt.last_heard_at = now;
  attempt.work = request_work(request);
  request.attempts.push_back(attempt);
  if (std::find(connected_executors.begin(), connected_executors.end(), executor_index) ==
      connected_executors.end())
    connected_executors.push_back(executor_index);
  if (now - executor.last_used_at >= settings_.connection_idle_timeout) executor.connections = 0;
  executor.last_used_at = now;
  ++executor.open_attempts;
  executor.connections = std::max(executor.connections, executor.open_attempts);
  ++executor.unstarted_attempts;
  capacity_left_ -= 1;
  executor.open_work += attempt.work;
  std::erase_if(executor.cold_attempts,
                [&](const auto& sent) { return now - sent.first > settings_.overload_span; });
  if (is_cold(now, executor)) executor.cold_attempts.emplace_back(now, attempt.work * request.width);
  host_.start_attempt(request_index, executor_index, request.deadline);
  schedule_check(now + kSecond / 10, request_index);  // earlier than any timeout of the attempt
}

void Policy::close_attempt(Time now, Request& request, Attempt& attempt) {
  attempt.pending = false;
  Executor& executor = executors[attempt.executor];
  --executor.open_attempts;
  executor.open_work = executor.open_attempts == 0 ? 0 : executor.open_work - attempt.work;
  if (attempt.started_at < 0) {
    if (settings_.reports_start) record_queue_wait(now, attempt);
    --executor.unstarted_attempts;
  } else {
    executor.running_width -= request.width;
  }
}

void Policy::schedule_check(Time when, int request_index) {
  host_.wake_at(when, std::uint64_t{requests[request_index].serial} << kRequestIndexBits |
                          static_cast<unsigned>(request_index));
}

void Policy::cancel_pending_attempt(int request_index) {
  Request& request = requests[request_index];
  if (!settings_.can_cancel || !has_pending_attempt(request) || request.attempts.back().cancelled) return;
  request.attempts.back().cancelled = true;
  host_.cancel_attempt(request_index, static_cast<int>(request.attempts.size()) - 1);
}

void Policy::dispatch_or_queue(Time now, int request_index) {
  Request& request = requests[request_index];
  const int executor_index = select_executor(now, request);
  if (executor_index >= 0) return send_attempt(now, request_index, executor_index);
  if (request.queued) return;
  request.queued = true;
  queued_.push_back(request_index);
  schedule_queue_check(now);
}

// Schedules one check for all queued requests. A check for each of about 500 queued requests took a node 24 s
// of CPU time per minute.
void Policy::schedule_queue_check(Time now) {
  if (queued_.empty() || now < next_queue_check_) return;
  next_queue_check_ = now + kSecond / 50;
  host_.wake_at(next_queue_check_, kQueuedRequestsToken);
}

// Seconds beyond the target latency of its use case that a request may take on average and still be on time,
// as the target latency grows with the work.
double Policy::mean_slack(const Request& request) const {
  const UseCase& use_case = settings_.use_cases[request.use_case];
  return request_work(request) * std::max(0.1, use_case.target_latency_per_work - 1 / mean_speed());
}

// Returns the latest start that still leaves this probability of an answer within the target latency. The
// work of a request is taken as exponentially distributed about the mean of its use case; a wait makes the
// short ones late.
Time Policy::latest_start(const Request& request, double probability) const {
  const UseCase& use_case = settings_.use_cases[request.use_case];
  return std::min(request.deadline - from_seconds(request_work(request) / mean_speed()),
                  request.arrived_at + use_case.target_latency +
                      from_seconds(mean_slack(request) * std::log(1 / probability)));
}

double Policy::on_time_probability(Time now, const Request& request) const {
  const Time time_over_target =
      now - request.arrived_at - settings_.use_cases[request.use_case].target_latency;
  return time_over_target <= 0 ? 1 : std::exp(-seconds(time_over_target) / mean_slack(request));
}

// Overload shows in the wait of the oldest queued request. It is assumed to last for a second after the last
// sign.
bool Policy::is_overloaded(Time now) {
  constexpr Time kOverloadWait = kSecond / 20;  // longer than a clock tick and a round trip
  if (!queued_.empty() && now - requests[queued_.front()].arrived_at > kOverloadWait) overload_seen_at_ = now;
  return now - overload_seen_at_ < kSecond;
}

double Policy::value_per_work(const Request& request) const {
  return settings_.use_cases[request.use_case].value / (request_work(request) * request.width);
}

// A request waits while its probability of being on time, times its value per work, is worth the capacity
// compared with a mean request of this node.
Time Policy::give_up_time(Time now, const Request& request) {
  const UseCase& use_case = settings_.use_cases[request.use_case];
  const Time answer_deadline = request.deadline - 2 * settings_.quantum;
  const bool under_overload = is_overloaded(now);
  if (!under_overload && use_case.late_value > 0) return answer_deadline;
  const double mean_value_per_work = arrived_value_.read(now, kHealthTimeConstant) /
                                     std::max(1e-9, arrived_work_.read(now, kHealthTimeConstant));
  // A request that would fail is lost for good, while the client of a shed request retries.
  constexpr double kFailDiscount = 0.5;
  const double needed_value = (under_overload ? kMinOnTimeProbability : 0.6) *
                              (may_shed(request) ? 1 : kFailDiscount) * mean_value_per_work /
                              value_per_work(request);
  // A late answer earns its late value in any case, so the probability has to earn only the rest.
  if (needed_value <= use_case.late_value) return answer_deadline;
  const double probability = (needed_value - use_case.late_value) / std::max(1e-9, 1 - use_case.late_value);
  // A request that is worth less than the capacity even if certainly on time is given up as soon as it waits,
  // if this share of the recent requests waited too long to be on time. A short overload is waited out.
  constexpr double kMaxLongWaitShare = 0.15;
  if (under_overload && probability > 1 &&
      long_waits_.read(now, kHealthTimeConstant) >
          kMaxLongWaitShare * arrivals_.read(now, kHealthTimeConstant))
    return now;
  return std::min(answer_deadline, latest_start(request, std::clamp(probability, 0.05, 0.95)));
}

// Sends queued requests as capacity appears, those of the highest value per work first.
void Policy::dispatch_queued(Time now) {
  failed_lookups_ = 0;  // the event behind this call may have released capacity
  if (queued_.empty()) return;
  if (now >= next_queue_check_)
    for (const int request_index : std::vector<int>(queued_))
      if (now >= give_up_time(now, requests[request_index])) give_up(now, request_index, true);
  if (capacity_left_ < 1 || std::none_of(executors.begin(), executors.end(), [&](Executor& executor) {
        return executor.lifecycle == Lifecycle::kActive && has_capacity_left(executor) &&
               (!has_current_load(now, executor) ||
                from_seconds(expected_queue_wait(now, executor)) <= min_slack_);
      }))
    return;
  std::vector<std::pair<double, int>> order;
  for (const int request_index : queued_) {
    const Request& request = requests[request_index];
    const double probability = on_time_probability(now, request);
    const double value_share =
        probability + (1 - probability) * settings_.use_cases[request.use_case].late_value;
    order.emplace_back(-value_per_work(request) * value_share, request_index);
  }
  std::ranges::stable_sort(order, {}, &std::pair<double, int>::first);
  for (const auto& [priority, request_index] : order)
    if (const int executor_index = select_executor_limited(now, requests[request_index]);
        executor_index >= 0) {
      remove_from_queue(request_index);
      send_attempt(now, request_index, executor_index);
    }
}

void Policy::remove_from_queue(int request_index) {
  if (requests[request_index].queued) std::erase(queued_, request_index);
  requests[request_index].queued = false;
}

void Policy::give_up(Time now, int request_index, bool shed_if_allowed) {
  Request& request = requests[request_index];
  if (!request.open) return;
  request.open = false;
  remove_from_queue(request_index);
  shed_if_allowed = shed_if_allowed && may_shed(request);
  cancel_pending_attempt(request_index);
  if (!shed_if_allowed) return host_.fail(request_index);
  host_.shed(request_index, now - overload_seen_at_ < kSecond ? settings_.max_retry_after : 0);
}

// --- Events ---

void Policy::request_arrived(Time now, int request_index, int use_case, Time deadline, double work_hint,
                             int width, std::uint64_t data_key, Time shutdown_deadline) {
  if (request_index >= static_cast<int>(requests.size())) requests.resize(request_index + 1);
  Request& request = requests[request_index];
  request = {.open = true,
             .serial = ++last_serial_,
             .use_case = use_case,
             .width = width,
             .work_hint = work_hint,
             .data_key = data_key,
             .arrived_at = now,
             .deadline = std::min(deadline, shutdown_deadline),
             .attempts = {}};
  // A node that was suspended finds the requests that came while it was suspended. The time left until the
  // deadline shows how long ago a request came; if less than half of the use case's deadline is left, the
  // client itself has a shorter timeout. On sockets this is not applied, as it lowers the service of clients
  // with short deadlines.
  const Time use_case_deadline = settings_.use_cases[use_case].deadline;
  if (settings_.live_weights && deadline - now > use_case_deadline / 2)
    request.arrived_at = std::min(now, deadline - use_case_deadline);
  arrivals_.add(now, kHealthTimeConstant, 1);
  arrived_value_.add(now, kHealthTimeConstant, settings_.use_cases[use_case].value);
  arrived_work_.add(now, kHealthTimeConstant, request_work(request) * request.width);
  mean_work_ = arrived_work_.value / arrivals_.value;
  min_slack_ = compute_min_slack();
  if (data_key != 0 && settings_.live_weights) record_key_work(now, data_key, request_work(request));
  schedule_check(request.deadline - 2 * settings_.quantum, request_index);
  dispatch_or_queue(now, request_index);
}

// Returns a timeout as a multiple of the recent mean wait of attempts, so that a slowdown of all executors
// counts against none of them.
static Time wait_timeout(Time now, DecayingSum& wait_sum, DecayingSum& wait_count, Time min_timeout) {
  constexpr double kWaitMultiple = 5;  // waits in a queue vary widely
  const double count = wait_count.read(now, kHealthTimeConstant);
  const double mean_wait = count > 0.5 ? wait_sum.read(now, kHealthTimeConstant) / count : 0.1;
  return std::max(min_timeout, from_seconds(kWaitMultiple * mean_wait));
}

// How long a started attempt may go without progress: one report may be late, and the second must not be
// missing.
Time Policy::progress_timeout() const {
  return settings_.progress_interval * 3 / 2 + kSecond / 10;
}

// Probability of an on-time answer below which an attempt that has not started is moved to another executor.
constexpr double kRetryProbability = 0.9;

// Minimum timeouts after which an executor counts as silent: until the start of an attempt, covering a
// handshake, a zone crossing and a pause; and until its acceptance, which waits in no queue (of 438 attempts
// over sockets the slowest acceptance took 69 ms).
constexpr Time kMinStartTimeout = kSecond * 3 / 10, kMinAcceptanceTimeout = kSecond * 15 / 100;

// Checks whether the attempt of a request is stalled, whether the request needs a retry, and whether its
// deadline or give-up time has come.
void Policy::check_progress(Time now, int request_index) {
  Request& request = requests[request_index];
  Attempt* const attempt = has_pending_attempt(request) ? &request.attempts.back() : nullptr;
  const bool has_started = attempt != nullptr && attempt->started_at >= 0;
  const Time retry_from = latest_start(request, kRetryProbability);
  bool is_stalled = attempt != nullptr, is_silent = false;
  Time next_check = kNever;
  if (attempt != nullptr && settings_.reports_acceptance && !attempt->accepted) {
    const Time timeout_at =
        attempt->sent_at + wait_timeout(now, acceptance_wait_sum_, acceptance_count_, kMinAcceptanceTimeout);
    is_silent = now >= timeout_at;
    if (!is_silent) next_check = timeout_at;  // never in the past: the timer would be due again at once
    if (is_silent && !attempt->failure_counted) mark_unreachable(now, executors[attempt->executor]);
    if (is_silent) count_failure(now, *attempt);
  }
  if (attempt != nullptr && !is_silent) {
    if (!has_started && retry_from > now) next_check = std::min(next_check, retry_from);
    if (has_started ? settings_.progress_interval == 0 : !settings_.reports_start) {
      is_stalled = false;
    } else if (const Time timeout_at =
                   attempt->last_heard_at +
                   (has_started ? progress_timeout()
                                : wait_timeout(now, start_wait_sum_, start_count_, kMinStartTimeout));
               now < timeout_at) {
      is_stalled = !has_started;
      next_check = std::min(next_check, timeout_at);
    } else {
      count_failure(now, *attempt);
    }
  }
  if (!has_started && settings_.reports_start) {
    // When many nodes queue at the executors, their own queues are empty: an attempt that waits at an
    // executor without a counted failure is a sign of overload as well.
    if (attempt != nullptr && !attempt->failure_counted && now >= retry_from) {
      overload_seen_at_ = now;
      if (!request.waited_long) long_waits_.add(now, kHealthTimeConstant, 1);
      request.waited_long = true;
    }
    const Time give_up_at = give_up_time(now, request);
    if (now >= give_up_at) return give_up(now, request_index, true);
    next_check = std::min(next_check, give_up_at);
  } else if (attempt == nullptr && now >= request.deadline - 2 * settings_.quantum) {
    return give_up(now, request_index, true);
  }
  if (is_stalled) cancel_stalled_attempt(now, request_index, is_silent);
  // If a stalled attempt was not cancelled, for instance because no other executor was available, its
  // request is checked again soon. This applies to an attempt that the executor has not accepted in time,
  // and to an attempt that has started and then became silent.
  if (is_stalled && (is_silent || has_started) && !attempt->cancelled)
    next_check = std::min(
        next_check, now + from_seconds(seconds(kLookupInterval) *
                                       (failed_lookups_ < kMaxFailedLookups ? 1 : 1 + uniform(random_))));
  if (next_check < request.deadline) schedule_check(next_check, request_index);
}

// Cancels a stalled attempt if another executor may take the request.
void Policy::cancel_stalled_attempt(Time now, int request_index, bool is_silent) {
  Request& request = requests[request_index];
  Attempt& attempt = request.attempts.back();
  if (!settings_.can_cancel || attempt.cancelled) return;
  if (attempt.started_at < 0 && !is_silent &&
      (is_overloaded(now) || now < latest_start(request, kRetryProbability) || request.attempts.size() > 1))
    return;
  attempt.pending = false;
  const bool has_alternative = select_executor_limited(now, request) >= 0;
  attempt.pending = true;
  if (has_alternative) cancel_pending_attempt(request_index);
}

void Policy::attempt_accepted(Time now, int request_index, int attempt_index) {
  Attempt& attempt = requests[request_index].attempts[attempt_index];
  if (!attempt.pending || attempt.accepted) return;
  attempt.accepted = true;
  mark_alive(executors[attempt.executor]);
  acceptance_wait_sum_.add(now, kHealthTimeConstant, seconds(now - attempt.sent_at));
  acceptance_count_.add(now, kHealthTimeConstant, 1);
}

void Policy::add_running_width(Executor& executor, const Request& request) {
  executor.running_width += request.width;
  if (executor.machine_kind >= 0)
    max_parallel_width[executor.machine_kind] =
        std::max(max_parallel_width[executor.machine_kind], executor.running_width);
}

void Policy::attempt_started(Time now, int request_index, int attempt_index) {
  Request& request = requests[request_index];
  Attempt& attempt = request.attempts[attempt_index];
  if (!attempt.pending || attempt.started_at >= 0) return;
  attempt.accepted = true;
  attempt.started_at = attempt.last_heard_at = now;
  Executor& executor = executors[attempt.executor];
  mark_alive(executor);
  --executor.unstarted_attempts;
  add_running_width(executor, request);
  start_wait_sum_.add(now, kHealthTimeConstant, seconds(now - attempt.sent_at));
  start_count_.add(now, kHealthTimeConstant, 1);
  record_zone_delay(now, executor, now - attempt.sent_at);
  record_queue_wait(now, attempt);
  if (settings_.progress_interval > 0 && request.open)
    schedule_check(now + progress_timeout(), request_index);
  dispatch_queued(now);
}

// Slots that were reported free at once exist. Reports are noisy, so a fraction of a slot doesn't count.
void Policy::record_load(const Executor& executor, const Load* load) {
  constexpr double kMaxFreeSlots = 1e4;
  if (load == nullptr || executor.machine_kind < 0 || !(load->free_slots < kMaxFreeSlots)) return;
  max_parallel_width[executor.machine_kind] =
      std::max(max_parallel_width[executor.machine_kind], std::floor(load->free_slots));
}

void Policy::attempt_ended(Time now, int request_index, int attempt_index, Outcome outcome, Time latency,
                           bool is_request_closed, const Load* load) {
  // An executor that fails at once has the shortest queue and would keep being selected, so a failure must
  // outweigh its latest successes.
  constexpr double kFailureWeight = 3;
  constexpr double kMinorFailureWeight = 0.5;  // one success makes up for two minor failures
  constexpr double kSpeedSmoothing = 0.2;      // initial value of docs/design.md
  constexpr double kWorkSmoothing = 0.02;  // work varies widely; one heavy request must not move the mean far
  Request& request = requests[request_index];
  Attempt& attempt = request.attempts[attempt_index];
  if (!attempt.pending) return;
  close_attempt(now, request, attempt);
  attempt.may_have_run = may_have_run(outcome);
  Executor& executor = executors[attempt.executor];
  if (!has_current_load(now, executor) || executor.load_per_core <= max_load_per_core(executor))
    capacity_left_ += 1;
  executor.last_used_at = now;
  const bool was_answered = outcome == Outcome::kSucceeded || outcome == Outcome::kFailed ||
                            outcome == Outcome::kRejected || outcome == Outcome::kInvalidRequest;
  was_answered ? mark_alive(executor)
               : connection_closed(attempt.executor);  // an attempt without an answer loses its connection
  record_load(executor, load);
  switch (outcome) {
    case Outcome::kSucceeded: {
      executor.successes.add(now, kHealthTimeConstant, 1);
      executor.unreachable_backoff = 0;
      record_zone_delay(now, executor, latency);
      const double latency_seconds = std::max(1e-4, seconds(latency));
      const double fleet_speed = mean_speed();
      update_mean_speed(executor, -1);
      if (executor.mean_latency <= 0) {
        executor.mean_work = attempt.work;
        executor.mean_latency = attempt.work / fleet_speed;
      }
      const double run_seconds =
          attempt.started_at >= 0 ? std::max(1e-4, seconds(now - attempt.started_at)) : latency_seconds;
      const double work = run_seconds * executor.mean_work / executor.mean_latency / fleet_speed;
      executor.mean_work += kSpeedSmoothing * (attempt.work - executor.mean_work);
      executor.mean_latency += kSpeedSmoothing * (latency_seconds - executor.mean_latency);
      update_mean_speed(executor, 1);
      const double sample_count = ++learned_work_weight_[request.use_case];
      learned_work_[request.use_case] +=
          std::max(kWorkSmoothing, 1 / sample_count) * (work - learned_work_[request.use_case]);
      break;
    }
    case Outcome::kUnreachable:
      mark_unreachable(now, executor);
      [[fallthrough]];
    case Outcome::kFailed:
      executor.failures.add(now, kHealthTimeConstant, kFailureWeight);
      break;
    // A process that dies loses all its connections; if only one breaks, the cause is probably the network
    // path.
    case Outcome::kConnectionLost:
      executor.failures.add(now, kHealthTimeConstant,
                            executor.connections > 0 ? kMinorFailureWeight : kFailureWeight);
      break;
    case Outcome::kRejected:
    case Outcome::kInvalidRequest:
      executor.failures.add(now, kHealthTimeConstant, kMinorFailureWeight);
      break;
    case Outcome::kTimedOut:
      count_failure(now, attempt);
      break;
    default:  // cancelled, not sent, or a connection that may have died at any time since its last use
      break;
  }
  if (is_request_closed) request.open = false;
  if (!request.open) {
    remove_from_queue(request_index);
    cancel_pending_attempt(request_index);
  } else if (now >= request.deadline - settings_.quantum) {
    give_up(now, request_index, true);
  } else if (!has_pending_attempt(request)) {
    // A request whose effect allows a retry waits for capacity for it, even if the request may no longer be
    // shed because an attempt may have run. Only an at-most-once request ends in that case.
    const bool is_exhausted =
        static_cast<int>(request.attempts.size()) >= settings_.max_attempts ||
        (settings_.use_cases[request.use_case].effect == Effect::kAtMostOnce && !may_shed(request));
    is_exhausted ? give_up(now, request_index, true) : dispatch_or_queue(now, request_index);
  }
  dispatch_queued(now);
}

void Policy::client_left(Time, int request_index) {
  requests[request_index].open = false;
  remove_from_queue(request_index);
  cancel_pending_attempt(request_index);
}

void Policy::shorten_deadline(Time now, int request_index, Time deadline) {
  Request& request = requests[request_index];
  if (!request.open || request.deadline <= deadline) return;
  request.deadline = deadline;
  schedule_check(std::max(now, deadline - 2 * settings_.quantum), request_index);
}

// If the new settings lower the limit of attempts per request, a request that has reached the new limit gets
// no retry. If it has no pending attempt either, it ends at once.
void Policy::settings_changed(Time now, Settings settings) {
  settings_ = std::move(settings);
  if (!settings_.live_weights) {
    capacity_left_ = kUnlimitedCapacity;
    for (Executor& executor : executors) executor.load_per_core = executor.weight = -1;
  }
  for (std::size_t i = learned_work_.size(); i < settings_.use_cases.size(); ++i) {
    const int source = settings_.use_cases[i].initial_work_use_case;
    learned_work_.push_back(source >= 0 ? learned_work_[source] : 1.0);
    learned_work_weight_.push_back(source >= 0 ? learned_work_weight_[source] : 0.0);
  }
  for (std::size_t i = 0; i < requests.size(); ++i)
    if (requests[i].open && !has_pending_attempt(requests[i]) &&
        static_cast<int>(requests[i].attempts.size()) >= settings_.max_attempts)
      give_up(now, static_cast<int>(i), true);
}

void Policy::restore_executor(Time now, int executor_index, const LearnedState& learned) {
  Executor& executor = executors[executor_index];
  update_mean_speed(executor, -1);
  LearnedState previous = std::exchange(static_cast<LearnedState&>(executor), learned);
  executor.max_weight = std::max(executor.max_weight, previous.max_weight);
  std::erase_if(previous.cold_attempts,
                [&](const auto& sent) { return now - sent.first > settings_.overload_span; });
  executor.cold_attempts.insert(executor.cold_attempts.end(), previous.cold_attempts.begin(),
                                previous.cold_attempts.end());
  update_mean_speed(executor, 1);
}

void Policy::restore_work(int use_case, double work, double weight) {
  learned_work_[use_case] = work;
  learned_work_weight_[use_case] = weight;
}

void Policy::adopt_connection(int executor_index, Time last_used_at) {
  Executor& executor = executors[executor_index];
  ++executor.connections;
  executor.last_used_at = std::max(executor.last_used_at, last_used_at);
  if (std::find(connected_executors.begin(), connected_executors.end(), executor_index) ==
      connected_executors.end())
    connected_executors.push_back(executor_index);
}

void Policy::adopt_request(Time now, int request_index, Request adopted) {
  if (request_index >= static_cast<int>(requests.size())) requests.resize(request_index + 1);
  Request& request = requests[request_index];
  request = std::move(adopted);
  request.open = true;
  request.queued = false;
  request.serial = ++last_serial_;
  schedule_check(request.deadline - 2 * settings_.quantum, request_index);
  if (!has_pending_attempt(request)) return dispatch_or_queue(now, request_index);
  const Attempt& attempt = request.attempts.back();
  adopt_connection(attempt.executor, now);
  Executor& executor = executors[attempt.executor];
  ++executor.open_attempts;
  executor.open_work += attempt.work;
  if (attempt.started_at < 0)
    ++executor.unstarted_attempts;
  else
    add_running_width(executor, request);
  schedule_check(now, request_index);
}

void Policy::request_handed_over(Time now, int request_index) {
  Request& request = requests[request_index];
  request.open = false;
  remove_from_queue(request_index);
  if (!has_pending_attempt(request)) return;
  close_attempt(now, request, request.attempts.back());
  connection_closed(request.attempts.back().executor);
}

void Policy::for_each_sum(const std::function<void(const char*, DecayingSum&)>& visit) {
  const std::pair<const char*, DecayingSum*> sums[] = {{"arrivals", &arrivals_},
                                                       {"waited", &long_waits_},
                                                       {"askedValue", &arrived_value_},
                                                       {"askedWork", &arrived_work_},
                                                       {"startWait", &start_wait_sum_},
                                                       {"starts", &start_count_},
                                                       {"takenWait", &acceptance_wait_sum_},
                                                       {"taken", &acceptance_count_}};
  for (const auto& [name, sum] : sums) visit(name, *sum);
}

void Policy::timer_due(Time now, std::uint64_t token) {
  if (token == kHousekeepingToken) return run_housekeeping(now);
  if (token == kSubscriptionToken) return subscribe_if_due(now);
  if (token == kQueuedRequestsToken) {
    dispatch_queued(now);
    return schedule_queue_check(now);
  }
  const std::uint64_t request_index = token & ((1u << kRequestIndexBits) - 1);
  if (request_index >= requests.size()) return;
  const Request& request = requests[request_index];
  if (request.open && request.serial == token >> kRequestIndexBits)
    check_progress(now, static_cast<int>(request_index));
}

}  // namespace canvasstage
