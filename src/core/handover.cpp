// The handover from one process of a node to the next: the part of Node that encodes what the predecessor
// hands over and adopts it in the successor. No I/O.
#include <algorithm>
#include <cstdlib>
#include <utility>

#include "core/json_writer.h"
#include "core/node.h"

namespace canvasstage {
namespace {

// Share of the budgets for cold executors that the predecessor keeps; the successor has the rest.
constexpr double kPredecessorBudgetShare = 1.0 / 16;

// The two processes read different clocks, so times are encoded as ages.
void write_sum(JsonWriter& json, const char* key, Time now, const DecayingSum& sum) {
  json.Key(key);
  json.StartArray();
  json.Double(sum.value);
  json.Int64(now - sum.updated_at);
  json.EndArray();
}

const rapidjson::Value& required_array(const JsonValue& object, const char* key) {
  const JsonValue& value = required_member(object, key);
  if (!value.IsArray()) throw_bad_input(std::string(key) + ": a list is needed");
  return value;
}

// Reads a duration: a whole number of ticks, kNever at most. kNever is rounded up in a double, so the value
// is compared with the rounded one and returned as kNever itself.
Time read_duration(const JsonValue& value, const char* field) {
  constexpr auto kMaxTicks = static_cast<double>(kNever);
  const double ticks = number(value, field);
  if (ticks >= kMaxTicks) return kNever;
  if (ticks <= -kMaxTicks) return -kNever;
  return static_cast<Time>(ticks);
}

DecayingSum read_sum(const JsonValue& object, const char* key, Time now) {
  const JsonValue& pair = required_array(object, key);
  if (pair.Size() != 2) throw_bad_input(std::string(key) + ": two numbers are needed");
  return {number(pair[0], key), now - read_duration(pair[1], key)};
}

}  // namespace

// --- Encoding of an open request ---

std::string encode_request(const TransferredRequest& request, Time now) {
  rapidjson::StringBuffer out;
  JsonWriter json(out);
  const auto write_duration = [&json](const char* key, Time value) {
    write(json, key, static_cast<double>(value));
  };
  const auto write_flag = [&json](const char* key, bool value) {
    json.Key(key);
    json.Bool(value);
  };
  json.StartObject();
  write(json, "id", request.id);
  write(json, "useCase", request.use_case);
  write(json, "machineKind", request.machine_kind);
  write_duration("agreedTime", request.terms.target_latency);
  write_duration("hardLimit", request.terms.deadline);
  write(json, "stretch", request.terms.target_latency_per_work);
  write(json, "billingValue", request.terms.value);
  write(json, "overdueValue", request.terms.late_value);
  write(json, "effect", static_cast<int>(request.terms.effect));
  write(json, "group", static_cast<int>(request.terms.idempotency_scope));
  write_duration("window", request.terms.idempotency_window);
  write(json, "width", request.state.width);
  write(json, "hint", request.state.work_hint);
  write(json, "key", std::to_string(request.state.data_key));
  write_flag("waitedLong", request.state.waited_long);
  write_duration("arrived", now - request.state.arrived_at);
  write_duration("due", request.state.deadline - now);
  json.Key("launches");
  json.StartArray();
  for (const TransferredAttempt& transferred : request.attempts) {
    const Attempt& attempt = transferred.attempt;
    json.StartObject();
    write(json, "executor", transferred.executor);
    write(json, "address", transferred.address);
    write(json, "zone", transferred.zone);
    write(json, "machineKind", transferred.machine_kind);
    write(json, "cell", transferred.cell);
    write_duration("startedAt", transferred.executor_started_at);
    write_duration("sent", now - attempt.sent_at);
    write_duration("began", attempt.started_at < 0 ? -1 : now - attempt.started_at);
    write_duration("heard", now - attempt.last_heard_at);
    write(json, "cost", attempt.work);
    write_flag("pending", attempt.pending);
    write_flag("mayHaveRun", attempt.may_have_run);
    write_flag("blamed", attempt.failure_counted);
    write_flag("taken", attempt.accepted);
    json.EndObject();
  }
  json.EndArray();
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

TransferredRequest decode_request(const JsonValue& from, Time now) {
  const auto read_text = [](const JsonValue& object, const char* key) {
    return std::string(string_value(required_member(object, key), key));
  };
  const auto read_ticks = [](const JsonValue& object, const char* key) {
    return read_duration(required_member(object, key), key);
  };
  const auto read_flag = [](const JsonValue& object, const char* key) {
    const JsonValue& value = required_member(object, key);
    if (!value.IsBool()) throw_bad_input(std::string(key) + ": true or false is needed");
    return value.GetBool();
  };
  const auto read_integer = [](const JsonValue& object, const char* key, int max) {
    const double value = number(required_member(object, key), key);
    if (!(value >= 0 && value <= max)) throw_bad_input(std::string(key) + ": out of range");
    return static_cast<int>(value);
  };
  constexpr int kMaxInteger = 1000000;
  TransferredRequest request;
  request.id = read_text(from, "id");
  request.use_case = read_text(from, "useCase");
  request.machine_kind = read_text(from, "machineKind");
  request.terms.target_latency = read_ticks(from, "agreedTime");
  request.terms.deadline = read_ticks(from, "hardLimit");
  request.terms.target_latency_per_work = number(required_member(from, "stretch"), "stretch");
  request.terms.value = number(required_member(from, "billingValue"), "billingValue");
  request.terms.late_value = number(required_member(from, "overdueValue"), "overdueValue");
  request.terms.effect =
      static_cast<Effect>(read_integer(from, "effect", static_cast<int>(Effect::kAtMostOnce)));
  request.terms.idempotency_scope =
      static_cast<IdempotencyScope>(read_integer(from, "group", static_cast<int>(IdempotencyScope::kCell)));
  request.terms.idempotency_window = read_ticks(from, "window");
  request.state.width = read_integer(from, "width", kMaxInteger);
  request.state.work_hint = number(required_member(from, "hint"), "hint");
  request.state.data_key = std::strtoull(read_text(from, "key").c_str(), nullptr, 10);
  request.state.waited_long = read_flag(from, "waitedLong");
  request.state.arrived_at = now - read_ticks(from, "arrived");
  request.state.deadline = now + read_ticks(from, "due");
  for (const JsonValue& item : required_array(from, "launches").GetArray()) {
    TransferredAttempt transferred;
    transferred.executor = read_text(item, "executor");
    transferred.address = read_text(item, "address");
    transferred.zone = read_text(item, "zone");
    transferred.machine_kind = read_text(item, "machineKind");
    transferred.cell =
        static_cast<int>(std::clamp(number(required_member(item, "cell"), "cell"), -1.0, 1.0 * kMaxInteger));
    transferred.executor_started_at = read_ticks(item, "startedAt");
    Attempt& attempt = transferred.attempt;
    attempt.sent_at = now - read_ticks(item, "sent");
    const Time began = read_ticks(item, "began");
    attempt.started_at = began < 0 ? -1 : now - began;
    attempt.last_heard_at = now - read_ticks(item, "heard");
    attempt.work = number(required_member(item, "cost"), "cost");
    attempt.pending = read_flag(item, "pending");
    attempt.may_have_run = read_flag(item, "mayHaveRun");
    attempt.failure_counted = read_flag(item, "blamed");
    attempt.accepted = read_flag(item, "taken");
    request.attempts.push_back(std::move(transferred));
  }
  return request;
}

// --- In the predecessor ---

std::string Node::encode_knowledge(Time now) {
  rapidjson::StringBuffer out;
  JsonWriter json(out);
  json.StartObject();
  json.Key("executors");
  json.StartArray();
  for (std::size_t i = 0; i < executors_.size(); ++i) {
    const Executor& executor = policy_.executors[i];
    if (executor.lifecycle == Lifecycle::kRemoved) continue;
    json.StartObject();
    write(json, "id", executors_[i].id);
    write(json, "startedAt", static_cast<double>(executors_[i].listed_started_at));
    write(json, "work", executor.mean_work);
    write(json, "latency", executor.mean_latency);
    write(json, "size", executor.max_weight);
    write_sum(json, "good", now, executor.successes);
    write_sum(json, "bad", now, executor.failures);
    write_sum(json, "wait", now, executor.queue_wait);
    write(json, "away", static_cast<double>(executor.unreachable_backoff));
    write(json, "awayFor", static_cast<double>(executor.unreachable_until - now));
    json.Key("coldSends");
    json.StartArray();
    for (const auto& [when, work] : executor.cold_attempts) {
      json.Int64(now - when);
      json.Double(work);
    }
    json.EndArray();
    json.EndObject();
  }
  json.EndArray();
  json.Key("useCases");
  json.StartArray();
  for (std::size_t i = 0; i < terms_.use_cases.size(); ++i) {
    if (!terms_.offered[i]) continue;
    json.StartObject();
    write(json, "name", terms_.use_cases[i]);
    write(json, "work", policy_.learned_work(static_cast<int>(i)));
    write(json, "weight", policy_.learned_work_weight(static_cast<int>(i)));
    json.EndObject();
  }
  json.EndArray();
  json.Key("zones");
  json.StartArray();
  for (std::size_t i = 0; i < policy_.zones.size() && i < terms_.zones.size(); ++i) {
    json.StartObject();
    write(json, "name", terms_.zones[i]);
    write(json, "now", static_cast<double>(policy_.zones[i].min_delay));
    write(json, "before", static_cast<double>(policy_.zones[i].previous_min_delay));
    write(json, "since", static_cast<double>(now - policy_.zones[i].window_started_at));
    json.EndObject();
  }
  json.EndArray();
  json.Key("machineKinds");
  json.StartArray();
  for (std::size_t i = 0; i < policy_.max_parallel_width.size() && i < terms_.machine_kinds.size(); ++i) {
    json.StartObject();
    write(json, "name", terms_.machine_kinds[i]);
    write(json, "widest", policy_.max_parallel_width[i]);
    json.EndObject();
  }
  json.EndArray();
  json.Key("sums");
  json.StartObject();
  policy_.for_each_sum([&](const char* name, DecayingSum& sum) { write_sum(json, name, now, sum); });
  json.EndObject();
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

void Node::begin_handover(Time now) {
  handing_over_ = true;
  policy_.set_cold_budget_share(kPredecessorBudgetShare);
  effects_.begin_handover(encode_knowledge(now));
  for (std::size_t i = 0; i < executors_.size(); ++i) hand_over_idle_connections(static_cast<int>(i));
  for (std::size_t i = 0; i < request_slots_.size(); ++i) hand_over_if_ready(static_cast<int>(i));
}

void Node::hand_over_idle_connections(int executor) {
  ExecutorInfo& info = executors_[executor];
  for (const IdleConnection& connection : info.idle_connections) {
    effects_.hand_over_connection(connection.attempt, info.id, info.address, connection.idle_since);
    --executor_connection_count_;
    policy_.connection_closed(executor);
  }
  info.idle_connections.clear();
}

void Node::attempt_suspended(Time now, Id attempt, PayloadRef read_state) {
  now_ = now;
  const auto found = running_attempts_.find(attempt);
  if (found == running_attempts_.end()) return;
  if (found->second.cancelled)
    return attempt_ended(now, attempt, Outcome::kConnectionLost, nullptr, false, nullptr);
  found->second.read_state = std::move(read_state);
  hand_over_if_ready(found->second.request);
}

// Hands the request over once each of its running attempts is suspended; waits for the end of a cancelled
// one.
void Node::hand_over_if_ready(int request) {
  RequestSlot& slot = request_slots_[request];
  if (slot.ended) return;
  for (const Id id : slot.attempts)
    if (const auto found = running_attempts_.find(id);
        found != running_attempts_.end() && !found->second.read_state)
      return;
  const Request& state = policy_.requests[request];
  TransferredRequest transferred_request;
  transferred_request.client = slot.client;
  transferred_request.id = slot.id;
  transferred_request.use_case = terms_.use_cases[slot.use_case];
  transferred_request.terms = settings_.use_cases[slot.use_case];
  transferred_request.machine_kind = name_of(terms_.machine_kinds, transferred_request.terms.machine_kind);
  transferred_request.payload = slot.payload;
  transferred_request.state = state;
  transferred_request.state.attempts.clear();
  transferred_request.state.deadline = slot.deadline;
  for (std::size_t i = 0; i < state.attempts.size(); ++i) {
    TransferredAttempt transferred;
    transferred.attempt = state.attempts[i];
    const Executor& executor = policy_.executors[transferred.attempt.executor];
    const ExecutorInfo& info = executors_[transferred.attempt.executor];
    transferred.executor = info.id;
    transferred.address = info.address;
    transferred.zone = name_of(terms_.zones, executor.zone);
    transferred.machine_kind = name_of(terms_.machine_kinds, executor.machine_kind);
    transferred.cell = executor.cell;
    transferred.executor_started_at = info.listed_started_at;
    if (const auto found = running_attempts_.find(slot.attempts[i]); found != running_attempts_.end()) {
      transferred.read_state = std::move(found->second.read_state);
      running_attempts_.erase(found);
      --executor_connection_count_;
    }
    transferred_request.attempts.push_back(std::move(transferred));
  }
  effects_.hand_over_request(transferred_request);
  ++metrics_.handed_over;
  clients_.at(slot.client).request = -1;
  slot.ended = true;
  rule_monitor_.request_released(request);
  slot.pending_attempts = 0;
  policy_.request_handed_over(now_, request);
  release_if_finished(request);
}

// --- In the successor ---

void Node::adopt_knowledge(Time now, const JsonValue& knowledge, Time as_of) {
  now_ = now;
  for (const JsonValue& item : required_array(knowledge, "executors").GetArray()) {
    const auto found = executor_indices_.find(std::string(string_value(required_member(item, "id"), "id")));
    if (found == executor_indices_.end()) continue;
    // The executor has restarted since: what was learned no longer applies.
    if (read_duration(required_member(item, "startedAt"), "startedAt") <
        executors_[found->second].listed_started_at)
      continue;
    LearnedState learned;
    learned.mean_work = number(required_member(item, "work"), "work");
    learned.mean_latency = number(required_member(item, "latency"), "latency");
    learned.max_weight = number(required_member(item, "size"), "size");
    learned.successes = read_sum(item, "good", as_of);
    learned.failures = read_sum(item, "bad", as_of);
    learned.queue_wait = read_sum(item, "wait", as_of);
    learned.unreachable_backoff = read_duration(required_member(item, "away"), "away");
    learned.unreachable_until = as_of + read_duration(required_member(item, "awayFor"), "awayFor");
    const JsonValue& sends = required_array(item, "coldSends");
    for (rapidjson::SizeType i = 0; i + 1 < sends.Size(); i += 2)
      learned.cold_attempts.emplace_back(as_of - read_duration(sends[i], "coldSends"),
                                         number(sends[i + 1], "coldSends"));
    policy_.restore_executor(now, found->second, learned);
  }
  for (const JsonValue& item : required_array(knowledge, "useCases").GetArray())
    if (const int index = terms_.find_use_case(string_value(required_member(item, "name"), "name"));
        index >= 0)
      policy_.restore_work(index, number(required_member(item, "work"), "work"),
                           number(required_member(item, "weight"), "weight"));
  for (const JsonValue& item : required_array(knowledge, "zones").GetArray()) {
    const int index = index_of(terms_.zones, string_value(required_member(item, "name"), "name"));
    if (index < 0 || index >= static_cast<int>(policy_.zones.size())) continue;
    Zone& zone = policy_.zones[index];
    zone.min_delay = read_duration(required_member(item, "now"), "now");
    zone.previous_min_delay = read_duration(required_member(item, "before"), "before");
    zone.window_started_at = as_of - read_duration(required_member(item, "since"), "since");
  }
  for (const JsonValue& item : required_array(knowledge, "machineKinds").GetArray()) {
    const int index = index_of(terms_.machine_kinds, string_value(required_member(item, "name"), "name"));
    if (index >= 0 && index < static_cast<int>(policy_.max_parallel_width.size()))
      policy_.max_parallel_width[index] =
          std::max(policy_.max_parallel_width[index], number(required_member(item, "widest"), "widest"));
  }
  const JsonValue& sums = required_member(knowledge, "sums");
  policy_.for_each_sum([&](const char* name, DecayingSum& sum) { sum = read_sum(sums, name, as_of); });
}

Id Node::adopt_connection(Time now, const std::string& executor, const std::string& address,
                          Time idle_since) {
  now_ = now;
  const auto found = executor_indices_.find(executor);
  if (found == executor_indices_.end()) return 0;
  ExecutorInfo& info = executors_[found->second];
  if (info.address != address || policy_.executors[found->second].lifecycle == Lifecycle::kRemoved) return 0;
  const Id id = ++last_attempt_;
  ++executor_connection_count_;
  info.idle_connections.push_back({id, idle_since});
  std::sort(info.idle_connections.begin(), info.idle_connections.end(),
            [](const IdleConnection& a, const IdleConnection& b) { return a.idle_since < b.idle_since; });
  policy_.adopt_connection(found->second, idle_since);
  return id;
}

// Returns the use case under which the request arrived in the predecessor. Where this process does not offer
// it, or offers it with other terms, adds a use case that serves handed-over requests only.
int Node::find_or_add_use_case(const std::string& name, UseCase terms, const std::string& machine_kind) {
  terms.machine_kind = machine_kind.empty() ? -1 : index_of(terms_.machine_kinds, machine_kind);
  for (std::size_t i = 0; i < terms_.use_cases.size(); ++i) {
    terms.initial_work_use_case = settings_.use_cases[i].initial_work_use_case;
    if (terms_.use_cases[i] == name && settings_.use_cases[i] == terms) return static_cast<int>(i);
  }
  terms.initial_work_use_case = terms_.find_use_case(name);
  terms_.use_cases.push_back(name);
  terms_.requires_key.push_back(terms.effect == Effect::kIdempotentByKey);
  terms_.offered.push_back(false);
  settings_.use_cases.push_back(terms);
  add_use_case_metrics();
  policy_.settings_changed(now_, policy_settings(settings_, idle_connection_timeout_));
  return static_cast<int>(terms_.use_cases.size()) - 1;
}

bool Node::adopt_request(Time now, Id client, TransferredRequest request, std::vector<Id>& attempts) {
  now_ = now;
  if (!open_request_ids_.insert(request.id).second) {
    effects_.answer(client, Answer::kRejected, nullptr, 0, ConnectionDisposition::kCloseNow);
    return false;
  }
  ++metrics_.accepted;
  const int use_case = find_or_add_use_case(request.use_case, request.terms, request.machine_kind);
  const int index =
      add_request(client, request.id, use_case, request.state.deadline, std::move(request.payload));
  RequestSlot& slot = request_slots_[index];
  request.state.use_case = use_case;
  request.state.deadline = std::min(request.state.deadline, stop_deadline_);
  for (TransferredAttempt& transferred : request.attempts) {
    auto known = executor_indices_.find(transferred.executor);
    if (known == executor_indices_.end()) {
      // The executor has been removed from the list since.
      executor_listed(now, transferred.executor, transferred.address, transferred.zone,
                      transferred.machine_kind, transferred.cell, Lifecycle::kRemoved,
                      transferred.executor_started_at);
      known = executor_indices_.find(transferred.executor);
    }
    transferred.attempt.executor = known->second;
    request.state.attempts.push_back(transferred.attempt);
    rule_monitor_.restore_attempt(index, known->second, transferred.attempt.sent_at,
                                  transferred.attempt.pending, transferred.attempt.may_have_run);
    if (!transferred.attempt.pending) {
      slot.attempts.push_back(0);
      continue;
    }
    const Id id = ++last_attempt_;
    running_attempts_.emplace(id,
                              RunningAttempt{index, static_cast<int>(slot.attempts.size()), known->second});
    slot.attempts.push_back(id);
    attempts.push_back(id);
    ++slot.pending_attempts;
    ++executor_connection_count_;
    effects_.wake_at(request.state.deadline, kAttemptTokenBit | id);
  }
  policy_.adopt_request(now, index, std::move(request.state));
  return true;
}

// --- In both processes ---

void Node::set_descriptor_share(Time now, int sixteenths) {
  now_ = now;
  Platform shared = platform_;
  shared.max_descriptors = platform_.max_descriptors * sixteenths / 16;
  max_descriptors_ = connection_limit(shared);
  enforce_descriptor_limit();
  if (!handing_over_) policy_.set_cold_budget_share(sixteenths / 16.0);
}

}  // namespace canvasstage
