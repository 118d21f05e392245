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

const char* lifecycle_of(Standing standing) {
  return standing == Standing::kReady ? "active" : "leaving";
}

}  // namespace

// --- The list ---

recovery::ListVerdict Node::list_told(Time now, const recovery::ListSummary& told, bool late) {
  now_ = now;
  if (recovery_ != nullptr) return recovery_->membership.list_told(now, told, members(), late);
  const bool older = told.generation < roster_version_ || (late && told.generation == roster_version_);
  return older ? recovery::ListVerdict::kRefuse : recovery::ListVerdict::kApply;
}

void Node::confirm_list(Time now) {
  now_ = now;
  call_discovery(kFirstCall);
}

bool Node::knows_executor(std::string_view id, Time started) const {
  const auto found = executor_indices_.find(std::string(id));
  if (found == executor_indices_.end()) return false;
  const Executor& executor = policy_.executors[static_cast<std::size_t>(found->second)];
  return executor.standing != Standing::kGone &&
         places_[static_cast<std::size_t>(found->second)].told_start <= started;
}

std::size_t Node::members() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      policy_.executors, [](const Executor& one) { return one.standing != Standing::kGone; }));
}

void Node::hold_members() {
  for (std::size_t i = 0; i < places_.size(); ++i)
    places_[i].held = policy_.executors[i].standing != Standing::kGone;
}

void Node::remove_held_members(Time now) {
  std::size_t removed = 0;
  for (std::size_t i = 0; i < places_.size(); ++i) {
    if (!std::exchange(places_[i].held, false)) continue;
    const Executor& executor = policy_.executors[i];
    if (executor.standing == Standing::kGone) continue;
    const int index = static_cast<int>(i);
    close_free_links(index);
    policy_.executor_listed(now, index, executor.zone, executor.kind, executor.cell, Standing::kGone,
                            executor.started, executor.weight, executor.identity);
    ++removed;
  }
  tell_monitor_of_executors();
  list_changed();
  recovery_->note("recovery: the short list holds, " + std::to_string(removed) + " executors are removed");
}

std::string Node::list_in_words() const {
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
    if (executor.standing == Standing::kGone) continue;
    json.StartObject();
    write(json, "instanceId", places_[i].id);
    write(json, "hostPort", places_[i].address);
    write(json, "zone", name_of(terms_.zones, executor.zone));
    write(json, "machineType", name_of(terms_.machine_kinds, executor.kind));
    json.Key("cell");
    json.Int(executor.cell);
    json.Key("lifecycle");
    json.String(lifecycle_of(executor.standing));
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
  knowledge_taken_over(now, knowledge, now - age);
  double sum = 0;
  int count = 0;
  for (const Executor& executor : policy_.executors) {
    if (executor.latency <= 0) continue;
    sum += executor.work / executor.latency;
    ++count;
  }
  if (count == 0) return;
  const double mean = sum / count;
  for (std::size_t i = 0; i < policy_.executors.size(); ++i) {
    Learned learned = policy_.executors[i];
    if (learned.latency <= 0) continue;
    const double speed = recovery::faded_speed(learned.work / learned.latency, mean, age, recovery_->learned);
    learned.work = speed * learned.latency;
    learned.cold_sends.clear();  // executor_learned keeps those of before
    policy_.executor_learned(now, static_cast<int>(i), learned);
    places_[i].restored = true;
  }
}

// --- Attempts ---

bool Node::logs_attempts(int use_case) const {
  return recovery_ != nullptr && recovery_->attempts &&
         settings_.use_cases[static_cast<std::size_t>(use_case)].effect != Effect::kReplayable;
}

// The executor that the attempt went to. One that no list names is known by its record alone. Negative: it
// has moved to another zone or cell, and whether it would recognise a repeat there is not known.
int Node::executor_of(Time now, const recovery::AttemptRecord& attempt) {
  auto known = executor_indices_.find(attempt.executor);
  if (known == executor_indices_.end()) {
    executor_listed(now, attempt.executor, "", attempt.zone, "", attempt.cell, Standing::kGone,
                    attempt.executor_started);
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
  if (executor < 0 || settings_.most_launches < 2) return false;
  if (now + settings_.quantum >= earlier.sent + std::min(earlier.window, use_case.window)) return false;
  const Executor& ran = policy_.executors[static_cast<std::size_t>(executor)];
  return std::ranges::any_of(policy_.executors, [&](const Executor& one) {
    return one.standing == Standing::kReady && (use_case.group != Group::kZone || one.zone == ran.zone) &&
           (use_case.group != Group::kCell || one.cell == ran.cell);
  });
}

// Where no record can be written an attempt with a key is not sent: after a kill nothing would bind its
// repeat.
bool Node::refused_without_record(int submission) {
  const Entry& entry = entries_[submission];
  const Effect effect = settings_.use_cases[static_cast<std::size_t>(entry.use_case)].effect;
  if (effect != Effect::kReferenced || recovery_->store == nullptr) return false;
  if (recovery_->store->accepts_attempts()) return false;
  answer(submission, Answer::kPushedBack, nullptr, std::min(settings_.longest_stay_away, kSecond));
  return true;
}

// A key that this node does not know may be one that a peer does, which was not heard yet: sent now it could
// reach another group than its first attempt. It is refused, and nothing has run here.
bool Node::refused_before_peers(Time now, int submission) {
  const UseCase& use_case = settings_.use_cases[entries_[submission].use_case];
  if (!recovery_->peers || use_case.group == Group::kAll) return false;
  if (!recovery_->peers->may_know_attempt(now, use_case.window)) return false;
  answer(submission, Answer::kPushedBack, nullptr,
         std::min(settings_.longest_stay_away, recovery_->peers->settings().ask_every));
  return true;
}

// A request with the key of an earlier one, of which an attempt may have run: it goes on as that one would,
// or is answered as failed at once. False: nothing is known of its key, and it may go.
bool Node::arrives_after_attempt(Time now, int submission, double hint, int width, std::uint64_t key) {
  Entry& entry = entries_[submission];
  if (entry.idempotency_key.empty()) return false;
  const recovery::AttemptRecord* const earlier = recovery_->attempts->earliest(entry.idempotency_key);
  if (earlier == nullptr) return refused_before_peers(now, submission);
  const int executor = executor_of(now, *earlier);
  if (!may_follow(now, *earlier, settings_.use_cases[entry.use_case], executor)) {
    answer(submission, Answer::kAborted, nullptr, 0);
    return true;
  }
  Launch launch;
  launch.executor = executor;
  launch.sent = launch.heard = earlier->sent;
  launch.pending = false;
  launch.may_have_run = true;
  Submission state;
  state.use_case = entry.use_case;
  state.width = width;
  state.hint = hint;
  state.key = key;
  state.arrived = now;
  state.due = std::min(entry.due, stop_by_);
  state.launches.push_back(launch);
  entry.launches.push_back(0);
  rules_.attempt_known(submission, executor, launch.sent, launch.pending, launch.may_have_run);
  policy_.submission_taken_over(now, submission, std::move(state));
  return true;
}

std::shared_ptr<const recovery::AttemptRecord> Node::log_attempt(Id launch, int submission, int executor) {
  const Entry& entry = entries_[submission];
  const Executor& to = policy_.executors[static_cast<std::size_t>(executor)];
  const UseCase& use_case = settings_.use_cases[entry.use_case];
  recovery::AttemptRecord record;
  record.number = {recovery_->run, launch};
  record.request_id = entry.id;
  if (use_case.effect == Effect::kReferenced) record.idempotency_key = entry.idempotency_key;
  record.use_case = terms_.use_cases[entry.use_case];
  record.effect = use_case.effect;
  record.executor = places_[executor].id;
  record.zone = name_of(terms_.zones, to.zone);
  record.cell = to.cell;
  record.executor_started = places_[executor].told_start;
  record.sent = now_;
  record.window = use_case.effect == Effect::kReferenced ? use_case.window : 0;
  if (!recovery_->attempts->add(record)) {
    recovery_->note("recovery: the attempt log is full, attempt " + entry.id + " goes without a record");
    return nullptr;
  }
  return std::make_shared<const recovery::AttemptRecord>(std::move(record));
}

void Node::attempt_ended(Id launch, bool may_have_run, Outcome outcome) {
  const recovery::AttemptNumber number{recovery_->run, launch};
  const recovery::AttemptEnd end = outcome == Outcome::kSatisfied ? recovery::AttemptEnd::kAnswered
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
    recovery_->membership.hold_over();
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
  recovery::StoredList list{discovery_, roster_version_, list_in_words(), now};
  list_unsaved_ = false;
  save_list_at_ = now + saving_gap(list.content.size(), kLeastSavingGap);
  recovery_->store->save(std::move(list));
}

void Node::save_learned(Time now) {
  recovery::StoredLearned learned{knowledge(now), now};
  save_learned_at_ = now + saving_gap(learned.content.size(), recovery_->learned.save_every);
  recovery_->store->save(std::move(learned));
}

}  // namespace canvasstage
