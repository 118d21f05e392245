// Recovery from a power loss: the part of Node that applies the decisions of recovery:: and encodes what is
// stored. No I/O.
#include <algorithm>
#include <utility>

#include "core/json_writer.h"
#include "core/node.h"

namespace canvasstage {
namespace {

// The list and the learned state are each stored at this mean rate at most; the list also no more often than
// once in kMinSaveInterval, the learned state no more often than its configured interval.
constexpr double kSaveBytesPerSecond = 16 * 1024;
constexpr Time kMinSaveInterval = kSecond;
constexpr Time kExpiryInterval = kSecond;

Time interval_after_save(std::size_t bytes, Time min_interval) {
  return std::max(min_interval,
                  static_cast<Time>(static_cast<double>(bytes) / kSaveBytesPerSecond * kSecond));
}

const char* lifecycle_name(Lifecycle lifecycle) {
  return lifecycle == Lifecycle::kActive ? "active" : "leaving";
}

}  // namespace

// --- Executor list ---

recovery::ListVerdict Node::check_list(Time now, const recovery::ListSummary& summary, bool call_ended) {
  now_ = now;
  if (recovery_ != nullptr) return recovery_->membership.evaluate(now, summary, member_count(), call_ended);
  const bool older =
      summary.generation < membership_version_ || (call_ended && summary.generation == membership_version_);
  return older ? recovery::ListVerdict::kRefuse : recovery::ListVerdict::kApply;
}

void Node::refetch_membership(Time now) {
  now_ = now;
  call_discovery(kFirstCallTimeout);
}

bool Node::lists_executor(std::string_view id, Time started_at) const {
  const auto found = executor_indices_.find(std::string(id));
  if (found == executor_indices_.end()) return false;
  const Executor& executor = policy_.executors[static_cast<std::size_t>(found->second)];
  return executor.lifecycle != Lifecycle::kRemoved &&
         executors_[static_cast<std::size_t>(found->second)].listed_started_at <= started_at;
}

std::size_t Node::member_count() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      policy_.executors, [](const Executor& executor) { return executor.lifecycle != Lifecycle::kRemoved; }));
}

void Node::defer_removals() {
  for (std::size_t i = 0; i < executors_.size(); ++i)
    executors_[i].removal_deferred = policy_.executors[i].lifecycle != Lifecycle::kRemoved;
}

void Node::remove_deferred_members(Time now) {
  std::size_t removed = 0;
  for (std::size_t i = 0; i < executors_.size(); ++i) {
    if (!std::exchange(executors_[i].removal_deferred, false)) continue;
    const Executor& executor = policy_.executors[i];
    if (executor.lifecycle == Lifecycle::kRemoved) continue;
    const int index = static_cast<int>(i);
    close_idle_connections(index);
    policy_.executor_listed(now, index, executor.zone, executor.machine_kind, executor.cell,
                            Lifecycle::kRemoved, executor.started_at, executor.weight, executor.identity);
    ++removed;
  }
  update_rule_monitor();
  mark_list_changed();
  recovery_->log("recovery: hold of the short list is over, " + std::to_string(removed) +
                 " executors removed");
}

std::string Node::encode_membership() const {
  rapidjson::StringBuffer out;
  JsonWriter json(out);
  json.StartObject();
  json.Key("generation");
  json.Uint64(membership_version_);
  json.Key("reset");
  json.Bool(true);
  json.Key("instances");
  json.StartArray();
  for (std::size_t i = 0; i < executors_.size(); ++i) {
    const Executor& executor = policy_.executors[i];
    if (executor.lifecycle == Lifecycle::kRemoved) continue;
    json.StartObject();
    write(json, "instanceId", executors_[i].id);
    write(json, "hostPort", executors_[i].address);
    write(json, "zone", name_of(terms_.zones, executor.zone));
    write(json, "machineType", name_of(terms_.machine_kinds, executor.machine_kind));
    json.Key("cell");
    json.Int(executor.cell);
    json.Key("lifecycle");
    json.String(lifecycle_name(executor.lifecycle));
    json.Key("startedAtMs");
    json.Int64(executors_[i].listed_started_at / (kSecond / 1000));
    json.EndObject();
  }
  json.EndArray();
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

// --- Learned state ---

void Node::restore_learned(Time now, const JsonValue& knowledge, Time age) {
  adopt_knowledge(now, knowledge, now - age);
  double speed_sum = 0;
  int count = 0;
  for (const Executor& executor : policy_.executors) {
    if (executor.mean_latency <= 0) continue;
    speed_sum += executor.mean_work / executor.mean_latency;
    ++count;
  }
  if (count == 0) return;
  const double mean_speed = speed_sum / count;
  for (std::size_t i = 0; i < policy_.executors.size(); ++i) {
    LearnedState learned = policy_.executors[i];
    if (learned.mean_latency <= 0) continue;
    const double speed = recovery::decayed_speed(learned.mean_work / learned.mean_latency, mean_speed, age,
                                                 recovery_->learned);
    learned.mean_work = speed * learned.mean_latency;
    learned.cold_attempts.clear();  // restore_executor keeps those it has already
    policy_.restore_executor(now, static_cast<int>(i), learned);
    executors_[i].restored = true;
  }
}

// --- Attempts ---

bool Node::logs_attempts(int use_case) const {
  return recovery_ != nullptr && recovery_->attempts &&
         settings_.use_cases[static_cast<std::size_t>(use_case)].effect != Effect::kIdempotent;
}

// Returns the index of the executor that the attempt was sent to; adds an executor that no list names from
// the record, as removed. Returns -1 if the executor has moved to another zone or cell: whether it would
// recognise a repeated request there is unknown.
int Node::find_or_add_executor(Time now, const recovery::AttemptRecord& attempt) {
  auto known = executor_indices_.find(attempt.executor);
  if (known == executor_indices_.end()) {
    executor_listed(now, attempt.executor, "", attempt.zone, "", attempt.cell, Lifecycle::kRemoved,
                    attempt.executor_started_at);
    known = executor_indices_.find(attempt.executor);
  }
  const Executor& executor = policy_.executors[static_cast<std::size_t>(known->second)];
  const bool is_same_place =
      name_of(terms_.zones, executor.zone) == attempt.zone && executor.cell == attempt.cell;
  return is_same_place ? known->second : -1;
}

// Returns whether Policy could send a retry at all: the idempotency window is open and there is an active
// executor that would recognise the repeated request.
bool Node::may_repeat(Time now, const recovery::AttemptRecord& earlier, const UseCase& use_case,
                      int executor) const {
  if (executor < 0 || settings_.max_attempts < 2) return false;
  if (now + settings_.quantum >=
      earlier.sent_at + std::min(earlier.idempotency_window, use_case.idempotency_window))
    return false;
  const Executor& earlier_executor = policy_.executors[static_cast<std::size_t>(executor)];
  return std::ranges::any_of(policy_.executors, [&](const Executor& candidate) {
    return candidate.lifecycle == Lifecycle::kActive &&
           (use_case.idempotency_scope != IdempotencyScope::kZone ||
            candidate.zone == earlier_executor.zone) &&
           (use_case.idempotency_scope != IdempotencyScope::kCell || candidate.cell == earlier_executor.cell);
  });
}

// Sheds a request that is idempotent by key while no attempt record can be stored: after a kill of the
// process, nothing would bind a repeat of the request to the executors that recognise it.
bool Node::shed_without_record(int request) {
  const RequestSlot& slot = request_slots_[request];
  const Effect effect = settings_.use_cases[static_cast<std::size_t>(slot.use_case)].effect;
  if (effect != Effect::kIdempotentByKey || recovery_->store == nullptr) return false;
  if (recovery_->store->accepts_attempts()) return false;
  answer(request, Answer::kShed, nullptr, std::min(settings_.max_retry_after, kSecond));
  return true;
}

// Sheds a request whose key is unknown to this node while a peer that has not answered yet may know it: sent
// now, the request could reach another group of executors than its first attempt. Nothing has run here.
bool Node::shed_before_peers_answered(Time now, int request) {
  const UseCase& use_case = settings_.use_cases[request_slots_[request].use_case];
  if (!recovery_->peers || use_case.idempotency_scope == IdempotencyScope::kAll) return false;
  if (!recovery_->peers->may_know_attempt(now, use_case.idempotency_window)) return false;
  answer(request, Answer::kShed, nullptr,
         std::min(settings_.max_retry_after, recovery_->peers->settings().poll_interval));
  return true;
}

// Handles a request with the key of an earlier request of which an attempt may have run: continues it as a
// retry of that attempt, or answers it as failed at once. Sheds it while a peer may still know the key.
// Returns false if nothing is known of the key, so that the request may be sent.
bool Node::continue_earlier_attempt(Time now, int request, double work_hint, int width,
                                    std::uint64_t data_key) {
  RequestSlot& slot = request_slots_[request];
  if (slot.idempotency_key.empty()) return false;
  const recovery::AttemptRecord* const earlier = recovery_->attempts->earliest_attempt(slot.idempotency_key);
  if (earlier == nullptr) return shed_before_peers_answered(now, request);
  const int executor = find_or_add_executor(now, *earlier);
  if (!may_repeat(now, *earlier, settings_.use_cases[slot.use_case], executor)) {
    answer(request, Answer::kFailed, nullptr, 0);
    return true;
  }
  Attempt attempt;
  attempt.executor = executor;
  attempt.sent_at = attempt.last_heard_at = earlier->sent_at;
  attempt.pending = false;
  attempt.may_have_run = true;
  Request state;
  state.use_case = slot.use_case;
  state.width = width;
  state.work_hint = work_hint;
  state.data_key = data_key;
  state.arrived_at = now;
  state.deadline = std::min(slot.deadline, stop_deadline_);
  state.attempts.push_back(attempt);
  slot.attempts.push_back(0);
  rule_monitor_.restore_attempt(request, executor, attempt.sent_at, attempt.pending, attempt.may_have_run);
  policy_.adopt_request(now, request, std::move(state));
  return true;
}

std::shared_ptr<const recovery::AttemptRecord> Node::log_attempt(Id attempt, int request, int executor) {
  const RequestSlot& slot = request_slots_[request];
  const Executor& target = policy_.executors[static_cast<std::size_t>(executor)];
  const UseCase& use_case = settings_.use_cases[slot.use_case];
  recovery::AttemptRecord record;
  record.number = {recovery_->run, attempt};
  record.request_id = slot.id;
  if (use_case.effect == Effect::kIdempotentByKey) record.idempotency_key = slot.idempotency_key;
  record.use_case = terms_.use_cases[slot.use_case];
  record.effect = use_case.effect;
  record.executor = executors_[executor].id;
  record.zone = name_of(terms_.zones, target.zone);
  record.cell = target.cell;
  record.executor_started_at = executors_[executor].listed_started_at;
  record.sent_at = now_;
  record.idempotency_window = use_case.effect == Effect::kIdempotentByKey ? use_case.idempotency_window : 0;
  if (!recovery_->attempts->add(record)) {
    recovery_->log("recovery: attempt log full, attempt of request " + slot.id + " sent without a record");
    return nullptr;
  }
  return std::make_shared<const recovery::AttemptRecord>(std::move(record));
}

void Node::record_attempt_end(Id attempt, bool may_have_run, Outcome outcome) {
  const recovery::AttemptNumber number{recovery_->run, attempt};
  const recovery::AttemptEnd end = outcome == Outcome::kSucceeded ? recovery::AttemptEnd::kAnswered
                                   : may_have_run                 ? recovery::AttemptEnd::kMayHaveRun
                                                                  : recovery::AttemptEnd::kNeverRan;
  const recovery::AttemptLog::Change change = recovery_->attempts->attempt_ended(number, end);
  if (recovery_->store == nullptr) return;
  if (change == recovery::AttemptLog::Change::kForget) recovery_->store->forget({number});
  if (change == recovery::AttemptLog::Change::kMarkEnded) recovery_->store->mark_ended(number);
}

// --- Time ---

void Node::tick_recovery(Time now) {
  publish_to_peers(now);
  if (!listening_) open_listener_if_settled(now);
  if (const std::optional<Time> until = recovery_->membership.hold_until(); until && now >= *until) {
    recovery_->membership.end_hold();
    remove_deferred_members(now);
  }
  if (recovery_->store == nullptr) return;
  if (list_unsaved_ && has_membership_ && now >= save_list_at_) save_list(now);
  if (has_membership_ && now >= save_learned_at_) save_learned(now);
  if (!recovery_->attempts || now < expire_attempts_at_) return;
  expire_attempts_at_ = now + kExpiryInterval;
  const std::vector<recovery::AttemptNumber> expired = recovery_->attempts->expire(now);
  if (!expired.empty()) recovery_->store->forget(expired);
}

void Node::save_list(Time now) {
  recovery::StoredList list{discovery_address_, membership_version_, encode_membership(), now};
  list_unsaved_ = false;
  save_list_at_ = now + interval_after_save(list.content.size(), kMinSaveInterval);
  recovery_->store->save(std::move(list));
}

void Node::save_learned(Time now) {
  recovery::StoredLearned learned{encode_knowledge(now), now};
  save_learned_at_ = now + interval_after_save(learned.content.size(), recovery_->learned.save_interval);
  recovery_->store->save(std::move(learned));
}

}  // namespace canvasstage
