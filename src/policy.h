// The interface of the decision module: what happens to a node goes in through Policy, what the node decides
// goes out through Host. Depends on the standard library alone.
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

// A point in time or a length of it, in tenths of a millisecond. Deadlines are rounded down on their way in.
using Time = std::int64_t;
constexpr Time kSecond = 10000;
constexpr Time kNever = INT64_MAX / 4;

enum class Effect { kIdempotent, kIdempotentByKey, kAtMostOnce };
enum class IdempotencyScope { kAll, kZone, kCell };
enum class Lifecycle { kActive, kDraining, kRemoved };
enum class MembershipUpdate { kDelta, kSnapshot, kCached };
// How a launch ended. Turned away, unreachable and unsent prove that it never ran.
enum class Outcome {
  kSucceeded,
  kFailed,
  kRejected,
  kTimedOut,
  kUnreachable,
  kConnectionLost,
  kStaleConnection,  // broke before a word of an answer, on a connection that had stood free
  kCancelled,
  kNotSent,
  kInvalidRequest  // the executor says that it is no request: the submission's fault, or this executor's
};

// Whether an attempt that ended so may have taken effect.
constexpr bool may_have_run(Outcome outcome) {
  return outcome != Outcome::kRejected && outcome != Outcome::kUnreachable && outcome != Outcome::kNotSent;
}

struct UseCase {
  Time target_latency = kSecond;
  Time deadline = 0;                   // 0: not told
  double target_latency_per_work = 0;  // the agreed time grows by this multiple of the submission's own work
  double value = 1;
  double late_value = 0;  // the part of it that an answer after the agreed time still earns
  Effect effect = Effect::kIdempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::kAll;
  Time idempotency_window = 0;
  int machine_kind = -1;       // the one kind that runs it; -1: any
  int initial_work_from = -1;  // the use case whose learned work it starts with; -1: none
  bool operator==(const UseCase&) const = default;
};

struct Settings {
  std::vector<UseCase> use_cases;
  int zone = 0;
  int node_count = 1;
  bool polls_membership = false;
  Time max_membership_age = kNever;
  Time quantum = 0;
  Time connection_idle_timeout = 0;
  double connection_cost = 0;  // of one opened, in the mean value of a submission
  int max_attempts = 1;
  bool can_cancel = false;
  Time max_retry_after = 0;         // 0: clients are not told when to come back
  bool reports_acceptance = false;  // that an executor has a submission, be it in its queue
  bool reports_start = false;
  bool live_weights = false;  // the list's weights fall with what an executor holds
  Time progress_interval = 0;
  double cold_start_share = 1;
  Time warm_up_time = 0;
  double overload_multiple = 1;
  Time overload_span = kSecond;
  bool operator==(const Settings&) const = default;
};

// What an executor last said of its load; negative: not reported.
struct Load {
  double free_slots = -1;
};

// A sum whose parts lose weight with time: by 1/e every `life`. Brought up to date when read.
struct DecayingSum {
  double value = 0;
  Time updated_at = 0;
  double read(Time now, Time life);
  void add(Time now, Time life, double amount);
};

// What is known of an executor beyond the list, and goes on in another process of this node.
struct LearnedState {
  double mean_work = 0, mean_latency = 0;  // smoothed, of satisfied launches; their ratio is the speed
  DecayingSum successes, failures;         // outcomes, for the posterior of its chance of success
  DecayingSum queue_wait;                  // seconds that the last launch waited to begin
  Time unreachable_until = 0,
       unreachable_backoff = 0;  // nobody was there: not before then, and for how long that is
  double max_weight = 0;         // the most that the list has weighed it
  std::vector<std::pair<Time, double>> cold_sends;  // work sent while cold, for rule 4
};

struct Executor : LearnedState {
  std::uint64_t last_listed = 0;  // the last list that named it
  Lifecycle lifecycle = Lifecycle::kRemoved;
  int zone = 0, machine_kind = 0, cell = 0;
  std::uint64_t identity = 0;  // the same at all nodes
  double weight = -1;          // last told by the list
  double load_per_core = -1;   // submissions for each core there when it was last weighed; negative: not told
  int attempts_when_weighed = 0;
  Time started_at = 0;    // 0: long ago
  int connections = 0;    // open to it, busy or idle
  Time last_used_at = 0;  // when one was last
  int open_attempts = 0,
      unstarted_attempts = 0;  // own launches unfinished, and of these not known to have begun
  double open_work = 0, running_width = 0;
  Time admission_drawn_at = -kNever;
  double admission_draw = 1;  // drawn for this span: whether one launch may go while it is cold
};

struct Zone {
  // The shortest time until an executor of it was first heard of, in this span and the one before.
  Time min_delay = kNever, previous_min_delay = kNever, span_started_at = 0;
  DecayingSum unanswered_attempts;  // executors of it in turn that were not there, with no word from any of
                                    // it between
  bool excluded = false;            // scratch of select_executor
};

struct Attempt {
  int executor = 0;
  Time sent_at = 0, started_at = -1, last_heard_at = 0;
  double cost = 0;
  bool pending = true, may_have_run = true, failure_counted = false, cancelled = false, accepted = false;
};

struct Request {
  bool open = false, queued = false, waited_long = false;
  std::uint32_t serial = 0;
  int use_case = 0, width = 1;
  double work_hint = 0;
  std::uint64_t data_key = 0;  // of the data that it needs; 0: none
  Time arrived_at = 0, deadline = 0;
  std::vector<Attempt> attempts;
};

class Host {
 public:
  virtual ~Host() = default;
  virtual void start_attempt(int submission, int executor, Time give_up_at) = 0;
  virtual void shed(int submission, Time stay_away) = 0;
  virtual void fail(int submission) = 0;
  virtual void cancel_attempt(int submission, int launch) = 0;
  virtual void subscribe_to_membership() = 0;
  virtual void wake_at(Time when, std::uint64_t token) = 0;
};

class Policy {
 public:
  static constexpr std::uint64_t kQueuedRequestsToken = 1;  // the wake-up of all that is held

  Policy(Settings settings, Host& host, std::uint32_t seed, Time now);

  // The roster: one call for each entry, then one that closes the list.
  void executor_listed(Time now, int executor, int zone, int kind, int cell, Lifecycle standing, Time started,
                       double weight = -1, std::uint64_t identity = 0);
  void membership_received(Time now, MembershipUpdate form);
  void membership_call_failed(Time now);
  void watch_timed_out(Time now);  // the subscription fell silent
  void discovery_moved(Time now);  // it is to be had elsewhere

  void request_arrived(Time now, int submission, int use_case, Time due, double hint, int width,
                       std::uint64_t key = 0, Time stop_by = kNever);
  void attempt_accepted(Time now, int submission, int launch);
  void attempt_started(Time now, int submission, int launch);
  void attempt_progressed(Time now, int submission, int launch, double) {
    requests[submission].attempts[launch].last_heard_at = now;
  }
  void attempt_ended(Time now, int submission, int launch, Outcome outcome, Time latency, bool settled,
                     const Load* load);
  void connection_closed(int executor) {  // one that no launch was using
    executors[executor].connections = std::max(0, executors[executor].connections - 1);
  }
  void client_left(Time now, int submission);
  void shorten_deadline(Time now, int submission,
                        Time due);  // its hard limit comes earlier: the node is to stop
  // Another process of this node sends too: this part of the node's cold budgets is this one's.
  void set_cold_budget_share(double part) { cold_part_ = part; }
  // Use cases keep their indices; further ones come behind them.
  void settings_changed(Time now, Settings settings);

  // What another process of this node knew, and has open, goes on here. Executors and use cases are known by
  // then; connections that no launch uses are told one by one.
  void restore_executor(Time now, int executor, const LearnedState& learned);
  void restore_work(int use_case, double work, double weight);
  void adopt_connection(int executor, Time used);
  void adopt_request(Time now, int submission, Request open);
  // It goes on in another process: nothing more is decided about it here.
  void request_handed_over(Time now, int submission);
  // All that fades with time and belongs to no executor, by name.
  void for_each_sum(const std::function<void(const char*, DecayingSum&)>& visit);
  void timer_due(Time now, std::uint64_t token);

  // The parts of a decision, open to tests and to whoever wants to look.
  double speed(const Executor& executor) const;
  void count_speed(const Executor& executor, int sign);  // into the mean, or out of it
  Time zone_delay(const Executor& executor) const;
  double connection_cost_as_delay(Time now, const Request& submission);
  static int candidate_count(const std::vector<double>& chances);
  int select_executor(Time now, const Request& submission);
  bool may_attempt(Time now, const Request& submission, int executor) {
    return may_go(now, submission) && may_take(now, submission, executors[executor]);
  }
  bool may_shed(const Request& submission) const;
  // Of a referenced submission, as it was first sent: from then on no further launch may arrive. kNever:
  // none.
  Time idempotency_window_end(const Request& submission) const;
  bool is_avoided(Time now, const Executor& executor) const;  // what an onlooker is told
  double cold_budget(Time now, const Executor& executor) const;
  double request_work(const Request& submission) const;
  Time give_up_time(Time now, const Request& submission);

  double learned_work(int use_case) const { return work_[use_case]; }
  double learned_work_weight(int use_case) const { return work_weight_[use_case]; }

  std::vector<Executor> executors;
  std::vector<int> connected_executors;  // executors that may have a connection of ours
  std::vector<Request> requests;         // by the index that the adapter gives; reused
  std::vector<Zone> zones;
  std::vector<double> max_parallel_width;  // most width seen at once on one executor, by machine kind

 private:
  void place(Time now, int submission);
  void further(Time now, int submission);
  void serve_held(Time now);
  void look_at_held(Time now);
  void send(Time now, int submission, int executor);
  void wake(Time when, int submission);
  void cancel_pending(int submission);
  void end(Time now, int submission, bool push_back);
  void let_go(int submission);
  void close_launch(Time now, Request& submission, Attempt& launch);
  void count_running(Executor& executor, const Request& submission);
  void follow_list(Time now);
  void ask_again(Time now, Time pause, double spread);
  Time asking_span(Time least) const;
  Time longest_pause() const;
  void tick(Time now);
  double value_per_work(const Request& submission) const;
  Time last_start(const Request& submission, double chance) const;
  double chance_in_time(Time now, const Request& submission) const;
  bool overloaded(Time now);
  bool has_room(const Executor& executor) const;
  void heard_from(Time now, const Executor& executor, Time delay);
  void word_from(const Executor& executor);
  void draw_zones(Time now);
  void blame(Time now, Attempt& launch);
  void nobody_there(Time now, Executor& executor);
  double mean_leeway(const Request& submission) const;
  static bool pending(const Request& submission) {
    return !submission.attempts.empty() && submission.attempts.back().pending;
  }
  // Whether no rule forbids it to all executors alike; else nobody is looked for.
  bool may_go(Time now, const Request& submission) const;
  bool may_take(Time now, const Request& submission, Executor& executor);
  int pick_unless_in_vain(Time now, const Request& submission);
  static const Attempt* first_run(const Request& submission);  // the first that may have run
  Time progress_patience() const;
  Time wait_life() const;
  void saw_wait(Time now, Attempt& launch);
  void seek_elsewhere(Time now, int submission, bool silent);
  double mean_speed() const;
  bool connected(Time now, const Executor& executor) const;
  bool wins_cold_start(Time now, Executor& executor, double work, double budget);
  void find_ready(Time now, const Request& submission, bool connected_only, bool ask_health);
  void look_through(Time now, const Request& submission, const std::vector<int>& from, bool ask_health);
  bool keeps_to(Time now, const Request& submission, Executor& executor);
  bool cold(Time now, const Executor& executor) const;
  double wait_at(Time now, Executor& executor);
  bool ready(Time now, const Request& submission, int executor, bool ask_health);
  Time shortest_leeway() const;
  void share_room(Time now);
  bool tells_held(Time now, const Executor& executor) const;
  double most_held(const Executor& executor) const;
  double width(const Executor& executor) const;
  void count_key(Time now, std::uint64_t key, double work);
  std::size_t rank_by_key(Time now, const Request& submission);
  std::size_t find_homes(Time now, const Request& submission);
  void weigh(Executor& executor, double weight);
  bool doubted(Time now, Executor& executor);
  void take_load(const Executor& executor, const Load* load);

  Settings settings_;
  Host& host_;
  std::mt19937 random_;
  std::vector<double> work_, work_weight_;  // learned cost of each use case, in seconds on the mean executor
  std::vector<int> held_;                   // submissions without a launch, in order of arrival
  Time held_look_ = -kNever;                // when the next look at them is due, or was
  DecayingSum arrivals_, waited_;           // of late, all and those that waited until their chance fell
  DecayingSum asked_value_, asked_work_;    // of late, to tell what room is worth
  DecayingSum start_wait_, starts_;         // seconds until launches began, and how many
  DecayingSum taken_wait_, taken_;          // seconds until they were taken, and how many
  double mean_work_ = 1;                    // of what was asked of late
  Time leeway_ = kNever;                    // how long the most urgent use case may wait
  bool weighed_ = false;                    // a weight has changed since the room was shared
  Time shared_at_ = -kNever;
  static constexpr double kPlenty = 1e9;
  double room_ = kPlenty;   // launches that this node may send until the next weights
  double cold_part_ = 1;    // of what this node may send to cold executors
  DecayingSum keyed_work_;  // asked of late with a key
  double speed_sum_ = 0;    // of the ready executors whose speed is known
  int speed_count_ = 0;
  std::uint64_t list_ = 0;  // counts the lists, to tell who is absent from a whole one
  bool subscribed_ = false;
  Time overload_seen_ = -kNever;
  Time vain_since_ = -kNever;  // since then so many in turn have looked for an executor and found none
  int in_vain_ = 0;
  static constexpr Time kSilent = -1;  // in place of a pause: the last call or subscription fell silent
  Time next_ask_ = 0, ask_pause_ = 0;
  std::uint32_t serial_ = 0;
  std::vector<int> order_;                     // all executors, as this node goes through them
  std::vector<int> newcomers_;                 // those that were cold when they were listed, and may be still
  std::vector<int> near_, ready_;              // scratch of select_executor
  std::vector<std::pair<double, int>> ranks_;  // scratch of select_executor
  std::map<std::uint64_t, DecayingSum> keys_;  // work asked of late for each key
  Time latest_ = 0;                            // scratch of select_executor: the last start that is of use
  std::vector<double> chances_, delays_;       // scratch of select_executor
};

}  // namespace canvasstage
