// Recovery from a power loss: the part of Node that obeys its decisions and words what is kept. No I/O.
#include <algorithm>
#include <utility>

#include "core/json_writer.h"
#include "core/node.h"

namespace canvasstage {
namespace {

// What is kept is written at this rate on the mean, in bytes a second, and no more often than this.
constexpr double kSavingRate = 16 * 1024;
constexpr Time kLeastSavingGap = kSecond;
constexpr Time kExpiryGap = kSecond;

Time saving_gap(std::size_t bytes, Time least) {
  return std::max(least, static_cast<Time>(static_cast<double>(bytes) / kSavingRate * kSecond));
}

const char* lifecycle_of(Lifecycle standing) {
  return standing == Lifecycle::kActive ? "active" : "leaving";
}

}  // namespace

// --- The list ---

recovery::ListVerdict Node::check_list(Time now, const recovery::ListSummary& told, bool late) {
  now_ = now;
  if (recovery_ != nullptr) return recovery_->membership.evaluate(now, told, members(), late);
  const bool older = told.generation < roster_version_ || (late && told.generation == roster_version_);
  return older ? recovery::ListVerdict::kRefuse : recovery::ListVerdict::kApply;
}

void Node::confirm_membership(Time now) {
  now_ = now;
  call_discovery(kFirstCall);
}

bool Node::knows_executor(std::string_view id, Time started) const {
  const auto found = executor_indices_.find(std::string(id));
  if (found == executor_indices_.end()) return false;
  const Executor& executor = policy_.executors[static_cast<std::size_t>(found->second)];
  return executor.lifecycle != Lifecycle::kRemoved &&
         places_[static_cast<std::size_t>(found->second)].told_start <= started;
}

std::size_t Node::members() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      policy_.executors, [](const Executor& one) { return one.lifecycle != Lifecycle::kRemoved; }));
}

void Node::defer_removals() {
  for (std::size_t i = 0; i < places_.size(); ++i)
    places_[i].held = policy_.executors[i].lifecycle != Lifecycle::kRemoved;
}

void Node::remove_held_members(Time now) {
  std::size_t removed = 0;
  for (std::size_t i = 0; i < places_.size(); ++i) {
    if (!std::exchange(places_[i].held, false)) continue;
    const Executor& executor = policy_.executors[i];
    if (executor.lifecycle == Lifecycle::kRemoved) continue;
    const int index = static_cast<int>(i);
    close_free_links(index);
    policy_.executor_listed(now, index, executor.zone, executor.machine_kind, executor.cell,
                            Lifecycle::kRemoved, executor.started_at, executor.weight, executor.identity);
    ++removed;
  }
  tell_monitor_of_executors();
  list_changed();
  recovery_->log("recovery: the short list holds, " + std::to_string(removed) + " executors are removed");
}

std::string Node::encode_membership() const {
  rapidjson::StringBuffer out;
  JsonWriter json(out);
  json.StartObject();
  json.Key("generation");
  json.Uint64(roster_version_);
  json.Key("reset");
  json.Bool(true);
  json.Key("instances");
  json.StartArray();
  for (std::size_t i = 0; i < places_.size(); ++i) {
    const Executor& executor = policy_.executors[i];
    if (executor.lifecycle == Lifecycle::kRemoved) continue;
    json.StartObject();
    write(json, "instanceId", places_[i].id);
    write(json, "hostPort", places_[i].address);
    write(json, "zone", name_of(terms_.zones, executor.zone));
    write(json, "machineType", name_of(terms_.machine_kinds, executor.machine_kind));
    json.Key("cell");
    json.Int(executor.cell);
    json.Key("lifecycle");
    json.String(lifecycle_of(executor.lifecycle));
    json.Key("startedAtMs");
    json.Int64(places_[i].told_start / (kSecond / 1000));
    json.EndObject();
  }
  json.EndArray();
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

// --- What was learned ---

void Node::restore_learned(Time now, const JsonValue& knowledge, Time age) {
  adopt_knowledge(now, knowledge, now - age);
  double sum = 0;
  int count = 0;
  for (const Executor& executor : policy_.executors) {
    if (executor.mean_latency <= 0) continue;
    sum += executor.mean_work / executor.mean_latency;
    ++count;
  }
  if (count == 0) return;
  const double mean = sum / count;
  for (std::size_t i = 0; i < policy_.executors.size(); ++i) {
    LearnedState learned = policy_.executors[i];
    if (learned.mean_latency <= 0) continue;
    const double speed =
        recovery::decayed_speed(learned.mean_work / learned.mean_latency, mean, age, recovery_->learned);
    learned.mean_work = speed * learned.mean_latency;
    learned.cold_sends.clear();  // restore_executor keeps those of before
    policy_.restore_executor(now, static_cast<int>(i), learned);
    places_[i].restored = true;
  }
}

// --- Attempts ---

bool Node::logs_attempts(int use_case) const {
  return recovery_ != nullptr && recovery_->attempts &&
         settings_.use_cases[static_cast<std::size_t>(use_case)].effect != Effect::kIdempotent;
}

// The executor that the attempt went to. One that no list names is known by its record alone. Negative: it
// has moved to another zone or cell, and whether it would recognise a repeat there is not known.
int Node::executor_of(Time now, const recovery::AttemptRecord& attempt) {
  auto known = executor_indices_.find(attempt.executor);
  if (known == executor_indices_.end()) {
    executor_listed(now, attempt.executor, "", attempt.zone, "", attempt.cell, Lifecycle::kRemoved,
                    attempt.executor_started_at);
    known = executor_indices_.find(attempt.executor);
  }
  const Executor& executor = policy_.executors[static_cast<std::size_t>(known->second)];
  const bool same = name_of(terms_.zones, executor.zone) == attempt.zone && executor.cell == attempt.cell;
  return same ? known->second : -1;
}

// Whether the module could send a repeat at all: the window is open, and somebody is there who would
// recognise it.
bool Node::may_follow(Time now, const recovery::AttemptRecord& earlier, const UseCase& use_case,
                      int executor) const {
  if (executor < 0 || settings_.max_attempts < 2) return false;
  if (now + settings_.quantum >=
      earlier.sent_at + std::min(earlier.idempotency_window, use_case.idempotency_window))
    return false;
  const Executor& ran = policy_.executors[static_cast<std::size_t>(executor)];
  return std::ranges::any_of(policy_.executors, [&](const Executor& one) {
    return one.lifecycle == Lifecycle::kActive &&
           (use_case.idempotency_scope != IdempotencyScope::kZone || one.zone == ran.zone) &&
           (use_case.idempotency_scope != IdempotencyScope::kCell || one.cell == ran.cell);
  });
}

// Where no record can be written an attempt with a key is not sent: after a kill nothing would bind its
// repeat.
bool Node::refused_without_record(int submission) {
  const Entry& entry = entries_[submission];
  const Effect effect = settings_.use_cases[static_cast<std::size_t>(entry.use_case)].effect;
  if (effect != Effect::kIdempotentByKey || recovery_->store == nullptr) return false;
  if (recovery_->store->accepts_attempts()) return false;
  answer(submission, Answer::kShed, nullptr, std::min(settings_.max_retry_after, kSecond));
  return true;
}

// A key that this node does not know may be one that a peer does, which was not heard yet: sent now it could
// reach another group than its first attempt. It is refused, and nothing has run here.
bool Node::refused_before_peers(Time now, int submission) {
  const UseCase& use_case = settings_.use_cases[entries_[submission].use_case];
  if (!recovery_->peers || use_case.idempotency_scope == IdempotencyScope::kAll) return false;
  if (!recovery_->peers->may_know_attempt(now, use_case.idempotency_window)) return false;
  answer(submission, Answer::kShed, nullptr,
         std::min(settings_.max_retry_after, recovery_->peers->settings().poll_interval));
  return true;
}

// A request with the key of an earlier one, of which an attempt may have run: it goes on as that one would,
// or is answered as failed at once. False: nothing is known of its key, and it may go.
bool Node::arrives_after_attempt(Time now, int submission, double hint, int width, std::uint64_t key) {
  Entry& entry = entries_[submission];
  if (entry.idempotency_key.empty()) return false;
  const recovery::AttemptRecord* const earlier = recovery_->attempts->earliest_attempt(entry.idempotency_key);
  if (earlier == nullptr) return refused_before_peers(now, submission);
  const int executor = executor_of(now, *earlier);
  if (!may_follow(now, *earlier, settings_.use_cases[entry.use_case], executor)) {
    answer(submission, Answer::kFailed, nullptr, 0);
    return true;
  }
  Attempt launch;
  launch.executor = executor;
  launch.sent_at = launch.last_heard_at = earlier->sent_at;
  launch.pending = false;
  launch.may_have_run = true;
  Request state;
  state.use_case = entry.use_case;
  state.width = width;
  state.work_hint = hint;
  state.data_key = key;
  state.arrived_at = now;
  state.deadline = std::min(entry.due, stop_by_);
  state.attempts.push_back(launch);
  entry.launches.push_back(0);
  rules_.restore_attempt(submission, executor, launch.sent_at, launch.pending, launch.may_have_run);
  policy_.adopt_request(now, submission, std::move(state));
  return true;
}

std::shared_ptr<const recovery::AttemptRecord> Node::log_attempt(Id launch, int submission, int executor) {
  const Entry& entry = entries_[submission];
  const Executor& to = policy_.executors[static_cast<std::size_t>(executor)];
  const UseCase& use_case = settings_.use_cases[entry.use_case];
  recovery::AttemptRecord record;
  record.number = {recovery_->run, launch};
  record.request_id = entry.id;
  if (use_case.effect == Effect::kIdempotentByKey) record.idempotency_key = entry.idempotency_key;
  record.use_case = terms_.use_cases[entry.use_case];
  record.effect = use_case.effect;
  record.executor = places_[executor].id;
  record.zone = name_of(terms_.zones, to.zone);
  record.cell = to.cell;
  record.executor_started_at = places_[executor].told_start;
  record.sent_at = now_;
  record.idempotency_window = use_case.effect == Effect::kIdempotentByKey ? use_case.idempotency_window : 0;
  if (!recovery_->attempts->add(record)) {
    recovery_->log("recovery: the attempt log is full, attempt " + entry.id + " goes without a record");
    return nullptr;
  }
  return std::make_shared<const recovery::AttemptRecord>(std::move(record));
}

void Node::record_attempt_end(Id launch, bool may_have_run, Outcome outcome) {
  const recovery::AttemptNumber number{recovery_->run, launch};
  const recovery::AttemptEnd end = outcome == Outcome::kSucceeded ? recovery::AttemptEnd::kAnswered
                                   : may_have_run                 ? recovery::AttemptEnd::kMayHaveRun
                                                                  : recovery::AttemptEnd::kNeverRan;
  const recovery::AttemptLog::Change change = recovery_->attempts->attempt_ended(number, end);
  if (recovery_->store == nullptr) return;
  if (change == recovery::AttemptLog::Change::kForget) recovery_->store->forget({number});
  if (change == recovery::AttemptLog::Change::kMarkEnded) recovery_->store->mark_ended(number);
}

// --- Time ---

void Node::recovery_tick(Time now) {
  publish_to_peers(now);
  if (!listening_) open_if_settled(now);
  if (const std::optional<Time> until = recovery_->membership.hold_until(); until && now >= *until) {
    recovery_->membership.end_hold();
    remove_held_members(now);
  }
  if (recovery_->store == nullptr) return;
  if (list_unsaved_ && have_roster_ && now >= save_list_at_) save_list(now);
  if (have_roster_ && now >= save_learned_at_) save_learned(now);
  if (!recovery_->attempts || now < expire_attempts_at_) return;
  expire_attempts_at_ = now + kExpiryGap;
  const std::vector<recovery::AttemptNumber> expired = recovery_->attempts->expire(now);
  if (!expired.empty()) recovery_->store->forget(expired);
}

void Node::save_list(Time now) {
  recovery::StoredList list{discovery_, roster_version_, encode_membership(), now};
  list_unsaved_ = false;
  save_list_at_ = now + saving_gap(list.content.size(), kLeastSavingGap);
  recovery_->store->save(std::move(list));
}

void Node::save_learned(Time now) {
  recovery::StoredLearned learned{knowledge(now), now};
  save_learned_at_ = now + saving_gap(learned.content.size(), recovery_->learned.save_interval);
  recovery_->store->save(std::move(learned));
}

}  // namespace canvasstage
