// Interface of the decision module. Events of a node enter through Policy, and its decisions leave through
// Host. The module depends on the standard library alone and does no locking: calls must not overlap.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace canvasstage {

// A point in time or a duration, in ticks of 0.1 ms. Deadlines are rounded down when they are converted.
using Time = std::int64_t;
constexpr Time kSecond = 10000;
constexpr Time kNever = INT64_MAX / 4;

// How often a request may take effect: any number of times, once per idempotency key, or at most once.
enum class Effect { kIdempotent, kIdempotentByKey, kAtMostOnce };
// Executors that recognise each other's idempotency keys: all, those of one zone, or those of one cell.
enum class IdempotencyScope { kAll, kZone, kCell };
enum class Lifecycle { kActive, kDraining, kRemoved };
// Form of an executor list: changes alone, the whole list, or what the node remembers of an earlier one.
enum class MembershipUpdate { kDelta, kSnapshot, kCached };
// How an attempt ended. kRejected, kUnreachable and kNotSent prove that it never ran.
enum class Outcome {
  kSucceeded,
  kFailed,
  kRejected,
  kTimedOut,
  kUnreachable,
  kConnectionLost,
  kStaleConnection,  // a connection that had been idle broke before the first byte of an answer
  kCancelled,
  kNotSent,
  // The executor calls the request malformed. The fault may be in the request or in the executor.
  kInvalidRequest
};

// Returns whether an attempt with this outcome may have taken effect.
constexpr bool may_have_run(Outcome outcome) {
  return outcome != Outcome::kRejected && outcome != Outcome::kUnreachable && outcome != Outcome::kNotSent;
}

// Terms under which requests of one kind are served.
struct UseCase {
  Time target_latency = kSecond;
  Time deadline = 0;                   // 0: not set
  double target_latency_per_work = 0;  // added to the target latency for each unit of the request's work
  double value = 1;
  double late_value = 0;  // share of the value that an answer after the target latency still earns
  Effect effect = Effect::kIdempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::kAll;
  Time idempotency_window = 0;
  int machine_kind = -1;           // the only kind that can run it; -1: any
  int initial_work_use_case = -1;  // the use case whose learned work is the initial estimate; -1: none
  bool operator==(const UseCase&) const = default;
};

// Configuration of the node that the policy depends on.
struct Settings {
  std::vector<UseCase> use_cases;
  int zone = 0;
  int node_count = 1;
  bool polls_membership = false;
  Time max_membership_age = kNever;
  Time quantum = 0;  // granularity of time, the safety margin before deadlines
  Time connection_idle_timeout = 0;
  double connection_cost = 0;  // cost of opening a connection, in mean values of a request
  int max_attempts = 1;
  bool can_cancel = false;
  Time max_retry_after = 0;         // 0: clients are not told when to retry
  bool reports_acceptance = false;  // executors confirm each request, also one that they queue
  bool reports_start = false;
  bool live_weights = false;  // weights in the executor list fall with an executor's load
  Time progress_interval = 0;
  double cold_start_share = 1;
  Time warm_up_time = 0;
  double overload_multiple = 1;
  Time overload_span = kSecond;
  bool operator==(const Settings&) const = default;
};

// Load that an executor last reported; negative: not reported.
struct Load {
  double free_slots = -1;
};

// A sum whose parts decay exponentially, to 1/e after each time constant. The value is as of updated_at and
// is brought up to date by read() and add().
struct DecayingSum {
  double value = 0;
  Time updated_at = 0;
  double read(Time now, Time time_constant);
  void add(Time now, Time time_constant, double amount);
};

// What the node has learned of an executor beyond the executor list; a handover passes it to the successor.
struct LearnedState {
  double mean_work = 0, mean_latency = 0;  // smoothed over succeeded attempts; their ratio is the speed
  DecayingSum successes, failures;         // outcomes, for the posterior of the success probability
  DecayingSum queue_wait;                  // seconds that the last attempt waited until it started
  // After a failed connection: when attempts may be sent again, and the length of the pause until then.
  Time unreachable_until = 0, unreachable_backoff = 0;
  double max_weight = 0;  // highest weight in the executor list so far
  std::vector<std::pair<Time, double>>
      cold_attempts;  // time and work of attempts sent while cold, for rule 4
};

// An executor as this node sees it.
struct Executor : LearnedState {
  std::uint64_t last_listed = 0;  // serial of the last executor list that contained it
  Lifecycle lifecycle = Lifecycle::kRemoved;
  int zone = 0, machine_kind = 0, cell = 0;
  std::uint64_t identity = 0;  // the same on all nodes
  double weight = -1;          // last weight in the executor list
  double load_per_core = -1;   // requests per core at the last weight change; negative: unknown
  int attempts_at_weight_change = 0;
  Time started_at = 0;    // 0: unknown, long ago
  int connections = 0;    // open connections, busy or idle
  Time last_used_at = 0;  // when a connection was last used
  // Unfinished attempts of this node, and those of them that are not known to have started.
  int open_attempts = 0, unstarted_attempts = 0;
  double open_work = 0, running_width = 0;
  Time admission_drawn_at = -kNever;
  double admission_draw = 1;  // drawn once per overload span: decides on one attempt to a cold executor
};

// What the node has learned of a zone.
struct Zone {
  // Shortest time from sending an attempt to the first response of an executor of the zone, in the current
  // window and in the previous one.
  Time min_delay = kNever, previous_min_delay = kNever, window_started_at = 0;
  // Executors of the zone found unreachable in a row, without a response from that zone in between.
  DecayingSum unreachable_executors;
  bool excluded = false;  // scratch of select_executor
};

// One sending of a request to an executor.
struct Attempt {
  int executor = 0;
  Time sent_at = 0, started_at = -1, last_heard_at = 0;
  double work = 0;
  bool pending = true, may_have_run = true, failure_counted = false, cancelled = false, accepted = false;
};

// A client's request and its attempts.
struct Request {
  bool open = false, queued = false, waited_long = false;
  std::uint32_t serial = 0;
  int use_case = 0, width = 1;
  double work_hint = 0;
  std::uint64_t data_key = 0;  // key of the data that the request needs; 0: none
  Time arrived_at = 0, deadline = 0;
  std::vector<Attempt> attempts;
};

// Carries out the decisions. The policy calls it from within its own calls.
class Host {
 public:
  virtual ~Host() = default;
  // Sends the request to the executor; the attempt times out at `give_up_at`.
  virtual void start_attempt(int request_index, int executor, Time give_up_at) = 0;
  // Answers that the client may retry after the given time; 0: no time is told.
  virtual void shed(int request_index, Time retry_after) = 0;
  // Answers that the request failed; it may have taken effect.
  virtual void fail(int request_index) = 0;
  virtual void cancel_attempt(int request_index, int attempt_index) = 0;
  // Subscribes to the executor list of discovery.
  virtual void subscribe_to_membership() = 0;
  // Calls Policy::timer_due() with this token at the given time.
  virtual void wake_at(Time when, std::uint64_t token) = 0;
};

// Decides for one node which executor serves a request, when an attempt is retried or cancelled and when a
// request is shed. Executors are drawn with TPD, the algorithm of the paper on minimising the tardiness of
// data-intensive applications (docs/design.md).
class Policy {
 public:
  static constexpr std::uint64_t kQueuedRequestsToken = 1;  // timer of the queued requests

  Policy(Settings settings, Host& host, std::uint32_t seed, Time now);

  // Executor list: one executor_listed() per executor, then one membership_received() that closes the list.
  void executor_listed(Time now, int executor_index, int zone, int machine_kind, int cell,
                       Lifecycle lifecycle, Time started_at, double weight = -1, std::uint64_t identity = 0);
  void membership_received(Time now, MembershipUpdate update);
  void membership_call_failed(Time now);
  void watch_timed_out(Time now);  // the subscription to the executor list was silent too long
  void discovery_moved(Time now);  // discovery has another address

  // `shutdown_deadline` limits the deadline on a node that is to stop.
  void request_arrived(Time now, int request_index, int use_case, Time deadline, double work_hint, int width,
                       std::uint64_t data_key = 0, Time shutdown_deadline = kNever);
  void attempt_accepted(Time now, int request_index, int attempt_index);
  void attempt_started(Time now, int request_index, int attempt_index);
  void attempt_progressed(Time now, int request_index, int attempt_index, double) {
    requests[request_index].attempts[attempt_index].last_heard_at = now;
  }
  void attempt_ended(Time now, int request_index, int attempt_index, Outcome outcome, Time latency,
                     bool is_request_closed, const Load* load);
  void connection_closed(int executor) {  // one that no attempt was using
    executors[executor].connections = std::max(0, executors[executor].connections - 1);
  }
  void client_left(Time now, int request_index);
  // Moves the deadline forward, as the node is to stop; a later deadline is ignored.
  void shorten_deadline(Time now, int request_index, Time deadline);
  // Sets the share of the node's cold budgets that this process may use while another process of the node
  // sends as well.
  void set_cold_budget_share(double share) { cold_budget_share_ = share; }
  // Existing use cases must keep their indices; new ones follow them.
  void settings_changed(Time now, Settings settings);

  // Restores what the predecessor of this process has learned and takes over its open requests. Executors and
  // use cases have to be known by then; adopt_connection() is called once per connection that no attempt
  // uses.
  void restore_executor(Time now, int executor_index, const LearnedState& learned);
  void restore_work(int use_case, double work, double weight);
  void adopt_connection(int executor_index, Time last_used_at);
  void adopt_request(Time now, int request_index, Request adopted);
  // The successor continues the request; this process decides nothing more about it.
  void request_handed_over(Time now, int request_index);
  // Visits every decaying sum that belongs to no executor, with the name it is stored under.
  void for_each_sum(const std::function<void(const char*, DecayingSum&)>& visit);
  void timer_due(Time now, std::uint64_t token);

  // Parts of a decision, public for tests and metrics.
  // Work per second of latency; the mean of the active executors while the executor's own is unknown.
  double speed(const Executor& executor) const;
  void update_mean_speed(const Executor& executor,
                         int sign);  // sign 1 adds it to the mean speed, -1 removes it
  // Delay that the executor's zone adds over the node's own zone; 0 while either is unknown.
  Time zone_delay(const Executor& executor) const;
  // Returns the cost of a new connection as a delay in seconds that lowers the value of a mean request as
  // much.
  double connection_cost_as_delay(Time now, const Request& request);
  // Returns d, the number of candidates that TPD draws for these draw probabilities.
  static int candidate_count(const std::vector<double>& probabilities);
  // Returns the executor for the next attempt, or -1 if none may be used now.
  int select_executor(Time now, const Request& request);
  bool may_attempt(Time now, const Request& request, int executor) {
    return may_attempt_any(now, request) && may_attempt_on(now, request, executors[executor]);
  }
  bool may_shed(const Request& request) const;
  // Returns when the idempotency window of a request ends, counted from its first attempt that may have run;
  // no retry may arrive later. kNever: no limit.
  Time idempotency_window_end(const Request& request) const;
  // Returns whether the metrics count the executor as avoided. Unlike the selection of an executor, which
  // draws the success probability at random, this function uses its mean.
  bool is_avoided(Time now, const Executor& executor) const;
  // Work that this node may send to a cold executor within an overload span, in seconds that an executor of
  // mean speed takes for it.
  double cold_budget(Time now, const Executor& executor) const;
  // Work of a request, in seconds that an executor of mean speed takes for it: the hint of the request, or
  // else the learned mean of its use case.
  double request_work(const Request& request) const;
  // Returns when a request that has not started is no longer worth waiting capacity and is shed or fails.
  Time give_up_time(Time now, const Request& request);

  double learned_work(int use_case) const { return learned_work_[use_case]; }
  double learned_work_weight(int use_case) const { return learned_work_weight_[use_case]; }

  std::vector<Executor> executors;
  std::vector<int> connected_executors;  // executors to which this node may have a connection
  std::vector<Request> requests;         // at the caller's index of the request; indices are reused
  std::vector<Zone> zones;
  // For each machine kind, the highest width seen at once on one executor.
  std::vector<double> max_parallel_width;

 private:
  void dispatch_or_queue(Time now, int request_index);
  void check_progress(Time now, int request_index);
  void dispatch_queued(Time now);
  void schedule_queue_check(Time now);
  void send_attempt(Time now, int request_index, int executor_index);
  void schedule_check(Time when, int request_index);
  void cancel_pending_attempt(int request_index);
  void give_up(Time now, int request_index, bool shed_if_allowed);
  void remove_from_queue(int request_index);
  void close_attempt(Time now, Request& request, Attempt& attempt);
  void add_running_width(Executor& executor, const Request& request);
  void subscribe_if_due(Time now);
  void schedule_subscription(Time now, Time backoff, double delay_seconds);
  Time subscription_spread(Time min_spread) const;
  Time max_subscription_backoff() const;
  void run_housekeeping(Time now);
  double value_per_work(const Request& request) const;
  Time latest_start(const Request& request, double probability) const;
  double on_time_probability(Time now, const Request& request) const;
  bool is_overloaded(Time now);
  bool has_capacity_left(const Executor& executor) const;
  void record_zone_delay(Time now, const Executor& executor, Time delay);
  void mark_alive(const Executor& executor);
  void draw_excluded_zones(Time now);
  void count_failure(Time now, Attempt& attempt);
  void mark_unreachable(Time now, Executor& executor);
  double mean_slack(const Request& request) const;
  static bool has_pending_attempt(const Request& request) {
    return !request.attempts.empty() && request.attempts.back().pending;
  }
  // Returns whether the rules that concern no particular executor allow an attempt.
  bool may_attempt_any(Time now, const Request& request) const;
  bool may_attempt_on(Time now, const Request& request, Executor& executor);
  int select_executor_limited(Time now, const Request& request);
  static const Attempt* first_possible_run(const Request& request);  // first attempt that may have run
  Time progress_timeout() const;
  Time queue_wait_time_constant() const;
  void record_queue_wait(Time now, Attempt& attempt);
  void cancel_stalled_attempt(Time now, int request_index, bool is_silent);
  double mean_speed() const;
  bool has_idle_connection(Time now, const Executor& executor) const;
  bool passes_admission_draw(Time now, Executor& executor, double work, double budget);
  void find_eligible(Time now, const Request& request, bool connected_or_cold_only, bool check_health);
  void scan_for_eligible(Time now, const Request& request, const std::vector<int>& indices,
                         bool check_health);
  bool is_sufficient_alone(Time now, const Request& request, Executor& executor);
  bool is_cold(Time now, const Executor& executor) const;
  double expected_queue_wait(Time now, Executor& executor);
  bool is_eligible(Time now, const Request& request, int executor_index, bool check_health);
  Time compute_min_slack() const;
  void update_capacity_left(Time now);
  bool has_current_load(Time now, const Executor& executor) const;
  double max_load_per_core(const Executor& executor) const;
  double parallel_width(const Executor& executor) const;
  void record_key_work(Time now, std::uint64_t data_key, double work);
  std::size_t rank_executors_by_key(Time now, const Request& request);
  std::size_t find_preferred_executors(Time now, const Request& request);
  void update_weight(Executor& executor, double weight);
  bool is_suspect(Time now, Executor& executor);
  void record_load(const Executor& executor, const Load* load);

  Settings settings_;
  Host& host_;
  std::mt19937 random_;
  // Learned work of each use case, in seconds that an executor of mean speed takes, and the number of
  // samples behind it.
  std::vector<double> learned_work_, learned_work_weight_;
  std::vector<int> queued_;            // requests without an attempt, in order of queueing
  Time next_queue_check_ = -kNever;    // when the next check of the queue is or was due
  DecayingSum arrivals_, long_waits_;  // recent requests: all, and those that waited too long to be on time
  DecayingSum arrived_value_, arrived_work_;  // sums of recent requests: value / work is what capacity earns
  DecayingSum start_wait_sum_, start_count_;  // seconds until the start, and number of attempts
  DecayingSum acceptance_wait_sum_, acceptance_count_;  // seconds until acceptance, and number of attempts
  double mean_work_ = 1;          // of recent requests, in seconds that an executor of mean speed takes
  Time min_slack_ = kNever;       // how long a request of the most urgent use case may wait
  bool weights_changed_ = false;  // a weight has changed since capacity_left_ was computed
  Time capacity_updated_at_ = -kNever;
  static constexpr double kUnlimitedCapacity = 1e9;  // in attempts
  double capacity_left_ = kUnlimitedCapacity;  // attempts that this node may send until the next weights
  double cold_budget_share_ = 1;               // this process's share of the node's cold budgets
  DecayingSum keyed_work_;                     // work of recent requests with a data key
  double speed_sum_ = 0;                       // over active executors of known speed
  int speed_count_ = 0;
  std::uint64_t membership_serial_ = 0;  // serial of the last list; tells which executors a snapshot lacks
  bool subscribed_ = false;
  Time overload_seen_at_ = -kNever;
  Time failed_lookups_since_ = -kNever;  // since then failed_lookups_ lookups in a row found no executor
  int failed_lookups_ = 0;
  static constexpr Time kWatchWasSilent = -1;  // in place of a backoff: the last watch was silent
  Time next_subscription_at_ = 0, subscription_backoff_ = 0;
  std::uint32_t last_serial_ = 0;
  std::vector<int> shuffled_executors_;               // all executors, in this node's random order
  std::vector<int> cold_executors_;                   // cold when they were listed; may have warmed up since
  std::vector<int> scan_order_, eligible_;            // scratch of select_executor
  std::vector<std::pair<double, int>> ranks_;         // scratch of select_executor
  std::map<std::uint64_t, DecayingSum> work_by_key_;  // recent work per data key
  Time latest_useful_start_ = 0;                      // scratch of select_executor: latest useful start
  std::vector<double> probabilities_, delays_;        // scratch of select_executor
};

}  // namespace canvasstage
