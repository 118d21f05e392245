// What one process of a node hands to the next: the part of Node that words it and takes it in. No I/O.
#include <algorithm>
#include <cstdlib>
#include <utility>

#include "core/json_writer.h"
#include "core/node.h"

namespace canvasstage {
namespace {

// Of a cold budget, what a process keeps that hands over: the other one has the rest.
constexpr double kPartOfGoing = 1.0 / 16;

// Two processes read two clocks: all goes by how long ago it was.
void write_sum(JsonWriter& json, const char* key, Time now, const DecayingSum& sum) {
  json.Key(key);
  json.StartArray();
  json.Double(sum.value);
  json.Int64(now - sum.updated_at);
  json.EndArray();
}

const rapidjson::Value& list(const JsonValue& object, const char* key) {
  const JsonValue& value = required_member(object, key);
  if (!value.IsArray()) throw_bad_input(std::string(key) + ": a list is needed");
  return value;
}

// Lengths of time stand as whole numbers of the module's units, kNever at most. A double holds kNever rounded
// up: it is compared as such and given back as itself.
Time length(const JsonValue& value, const char* field) {
  constexpr auto kMost = static_cast<double>(kNever);
  const double units = number(value, field);
  if (units >= kMost) return kNever;
  if (units <= -kMost) return -kNever;
  return static_cast<Time>(units);
}

DecayingSum read_sum(const JsonValue& object, const char* key, Time now) {
  const JsonValue& pair = list(object, key);
  if (pair.Size() != 2) throw_bad_input(std::string(key) + ": two numbers are needed");
  return {number(pair[0], key), now - length(pair[1], key)};
}

}  // namespace

// --- A job in words ---

std::string encode_request(const TransferredRequest& job, Time now) {
  rapidjson::StringBuffer out;
  JsonWriter json(out);
  const auto span = [&json](const char* key, Time value) { write(json, key, static_cast<double>(value)); };
  const auto flag = [&json](const char* key, bool value) {
    json.Key(key);
    json.Bool(value);
  };
  json.StartObject();
  write(json, "id", job.id);
  write(json, "useCase", job.use_case);
  write(json, "machineKind", job.machine_kind);
  span("agreedTime", job.terms.target_latency);
  span("hardLimit", job.terms.deadline);
  write(json, "stretch", job.terms.target_latency_per_work);
  write(json, "billingValue", job.terms.value);
  write(json, "overdueValue", job.terms.late_value);
  write(json, "effect", static_cast<int>(job.terms.effect));
  write(json, "group", static_cast<int>(job.terms.idempotency_scope));
  span("window", job.terms.idempotency_window);
  write(json, "width", job.state.width);
  write(json, "hint", job.state.work_hint);
  write(json, "key", std::to_string(job.state.data_key));
  flag("waitedLong", job.state.waited_long);
  span("arrived", now - job.state.arrived_at);
  span("due", job.state.deadline - now);
  json.Key("launches");
  json.StartArray();
  for (const TransferredAttempt& moved : job.attempts) {
    const Attempt& launch = moved.attempt;
    json.StartObject();
    write(json, "executor", moved.executor);
    write(json, "address", moved.address);
    write(json, "zone", moved.zone);
    write(json, "machineKind", moved.machine_kind);
    write(json, "cell", moved.cell);
    span("startedAt", moved.executor_started_at);
    span("sent", now - launch.sent_at);
    span("began", launch.started_at < 0 ? -1 : now - launch.started_at);
    span("heard", now - launch.last_heard_at);
    write(json, "cost", launch.cost);
    flag("pending", launch.pending);
    flag("mayHaveRun", launch.may_have_run);
    flag("blamed", launch.failure_counted);
    flag("taken", launch.accepted);
    json.EndObject();
  }
  json.EndArray();
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

TransferredRequest decode_request(const JsonValue& from, Time now) {
  const auto words = [](const JsonValue& object, const char* key) {
    return std::string(string_value(required_member(object, key), key));
  };
  const auto span = [](const JsonValue& object, const char* key) {
    return length(required_member(object, key), key);
  };
  const auto flag = [](const JsonValue& object, const char* key) {
    const JsonValue& value = required_member(object, key);
    if (!value.IsBool()) throw_bad_input(std::string(key) + ": true or false is needed");
    return value.GetBool();
  };
  const auto one_of = [](const JsonValue& object, const char* key, int most) {
    const double value = number(required_member(object, key), key);
    if (!(value >= 0 && value <= most)) throw_bad_input(std::string(key) + ": out of range");
    return static_cast<int>(value);
  };
  constexpr int kMost = 1000000;
  TransferredRequest job;
  job.id = words(from, "id");
  job.use_case = words(from, "useCase");
  job.machine_kind = words(from, "machineKind");
  job.terms.target_latency = span(from, "agreedTime");
  job.terms.deadline = span(from, "hardLimit");
  job.terms.target_latency_per_work = number(required_member(from, "stretch"), "stretch");
  job.terms.value = number(required_member(from, "billingValue"), "billingValue");
  job.terms.late_value = number(required_member(from, "overdueValue"), "overdueValue");
  job.terms.effect = static_cast<Effect>(one_of(from, "effect", static_cast<int>(Effect::kAtMostOnce)));
  job.terms.idempotency_scope =
      static_cast<IdempotencyScope>(one_of(from, "group", static_cast<int>(IdempotencyScope::kCell)));
  job.terms.idempotency_window = span(from, "window");
  job.state.width = one_of(from, "width", kMost);
  job.state.work_hint = number(required_member(from, "hint"), "hint");
  job.state.data_key = std::strtoull(words(from, "key").c_str(), nullptr, 10);
  job.state.waited_long = flag(from, "waitedLong");
  job.state.arrived_at = now - span(from, "arrived");
  job.state.deadline = now + span(from, "due");
  for (const JsonValue& one : list(from, "launches").GetArray()) {
    TransferredAttempt moved;
    moved.executor = words(one, "executor");
    moved.address = words(one, "address");
    moved.zone = words(one, "zone");
    moved.machine_kind = words(one, "machineKind");
    moved.cell =
        static_cast<int>(std::clamp(number(required_member(one, "cell"), "cell"), -1.0, 1.0 * kMost));
    moved.executor_started_at = span(one, "startedAt");
    Attempt& launch = moved.attempt;
    launch.sent_at = now - span(one, "sent");
    const Time began = span(one, "began");
    launch.started_at = began < 0 ? -1 : now - began;
    launch.last_heard_at = now - span(one, "heard");
    launch.cost = number(required_member(one, "cost"), "cost");
    launch.pending = flag(one, "pending");
    launch.may_have_run = flag(one, "mayHaveRun");
    launch.failure_counted = flag(one, "blamed");
    launch.accepted = flag(one, "taken");
    job.attempts.push_back(std::move(moved));
  }
  return job;
}

// --- In the process that goes ---

std::string Node::knowledge(Time now) {
  rapidjson::StringBuffer out;
  JsonWriter json(out);
  json.StartObject();
  json.Key("executors");
  json.StartArray();
  for (std::size_t i = 0; i < places_.size(); ++i) {
    const Executor& executor = policy_.executors[i];
    if (executor.lifecycle == Lifecycle::kRemoved) continue;
    json.StartObject();
    write(json, "id", places_[i].id);
    write(json, "startedAt", static_cast<double>(places_[i].told_start));
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
    for (const auto& [when, work] : executor.cold_sends) {
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
    write(json, "since", static_cast<double>(now - policy_.zones[i].span_started_at));
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
  policy_.set_cold_budget_share(kPartOfGoing);
  effects_.begin_handover(knowledge(now));
  for (std::size_t i = 0; i < places_.size(); ++i) hand_over_free_links(static_cast<int>(i));
  for (std::size_t i = 0; i < entries_.size(); ++i) hand_over_if_ready(static_cast<int>(i));
}

void Node::hand_over_free_links(int executor) {
  Place& place = places_[executor];
  for (const FreeLink& link : place.free) {
    effects_.hand_over_connection(link.launch, place.id, place.address, link.since);
    --links_;
    policy_.connection_closed(executor);
  }
  place.free.clear();
}

void Node::attempt_suspended(Time now, Id launch, PayloadRef reading) {
  now_ = now;
  const auto found = running_.find(launch);
  if (found == running_.end()) return;
  if (found->second.cancelled)
    return attempt_ended(now, launch, Outcome::kConnectionLost, nullptr, false, nullptr);
  found->second.reading = std::move(reading);
  hand_over_if_ready(found->second.submission);
}

// Once every launch of it that is out waits for its executor; one that was given up is waited for.
void Node::hand_over_if_ready(int submission) {
  Entry& entry = entries_[submission];
  if (entry.ended) return;
  for (const Id id : entry.launches)
    if (const auto found = running_.find(id); found != running_.end() && !found->second.reading) return;
  const Request& state = policy_.requests[submission];
  TransferredRequest job;
  job.client = entry.client;
  job.id = entry.id;
  job.use_case = terms_.use_cases[entry.use_case];
  job.terms = settings_.use_cases[entry.use_case];
  job.machine_kind = name_of(terms_.machine_kinds, job.terms.machine_kind);
  job.payload = entry.payload;
  job.state = state;
  job.state.attempts.clear();
  job.state.deadline = entry.due;
  for (std::size_t i = 0; i < state.attempts.size(); ++i) {
    TransferredAttempt moved;
    moved.attempt = state.attempts[i];
    const Executor& executor = policy_.executors[moved.attempt.executor];
    const Place& place = places_[moved.attempt.executor];
    moved.executor = place.id;
    moved.address = place.address;
    moved.zone = name_of(terms_.zones, executor.zone);
    moved.machine_kind = name_of(terms_.machine_kinds, executor.machine_kind);
    moved.cell = executor.cell;
    moved.executor_started_at = place.told_start;
    if (const auto found = running_.find(entry.launches[i]); found != running_.end()) {
      moved.read_state = std::move(found->second.reading);
      running_.erase(found);
      --links_;
    }
    job.attempts.push_back(std::move(moved));
  }
  effects_.hand_over_request(job);
  ++figures_.handed_over;
  clients_.at(entry.client).submission = -1;
  entry.ended = true;
  rules_.request_released(submission);
  entry.pending = 0;
  policy_.request_handed_over(now_, submission);
  release_if_over(submission);
}

// --- In the process that comes ---

void Node::adopt_knowledge(Time now, const JsonValue& knowledge, Time as_of) {
  now_ = now;
  for (const JsonValue& one : list(knowledge, "executors").GetArray()) {
    const auto found = executor_indices_.find(std::string(string_value(required_member(one, "id"), "id")));
    if (found == executor_indices_.end()) continue;
    // Another process runs there by now: what was learned is void.
    if (length(required_member(one, "startedAt"), "startedAt") < places_[found->second].told_start) continue;
    LearnedState learned;
    learned.mean_work = number(required_member(one, "work"), "work");
    learned.mean_latency = number(required_member(one, "latency"), "latency");
    learned.max_weight = number(required_member(one, "size"), "size");
    learned.successes = read_sum(one, "good", as_of);
    learned.failures = read_sum(one, "bad", as_of);
    learned.queue_wait = read_sum(one, "wait", as_of);
    learned.unreachable_backoff = length(required_member(one, "away"), "away");
    learned.unreachable_until = as_of + length(required_member(one, "awayFor"), "awayFor");
    const JsonValue& sends = list(one, "coldSends");
    for (rapidjson::SizeType i = 0; i + 1 < sends.Size(); i += 2)
      learned.cold_sends.emplace_back(as_of - length(sends[i], "coldSends"),
                                      number(sends[i + 1], "coldSends"));
    policy_.restore_executor(now, found->second, learned);
  }
  for (const JsonValue& one : list(knowledge, "useCases").GetArray())
    if (const int index = terms_.find_use_case(string_value(required_member(one, "name"), "name"));
        index >= 0)
      policy_.restore_work(index, number(required_member(one, "work"), "work"),
                           number(required_member(one, "weight"), "weight"));
  for (const JsonValue& one : list(knowledge, "zones").GetArray()) {
    const int index = index_of(terms_.zones, string_value(required_member(one, "name"), "name"));
    if (index < 0 || index >= static_cast<int>(policy_.zones.size())) continue;
    Zone& zone = policy_.zones[index];
    zone.min_delay = length(required_member(one, "now"), "now");
    zone.previous_min_delay = length(required_member(one, "before"), "before");
    zone.span_started_at = as_of - length(required_member(one, "since"), "since");
  }
  for (const JsonValue& one : list(knowledge, "machineKinds").GetArray()) {
    const int index = index_of(terms_.machine_kinds, string_value(required_member(one, "name"), "name"));
    if (index >= 0 && index < static_cast<int>(policy_.max_parallel_width.size()))
      policy_.max_parallel_width[index] =
          std::max(policy_.max_parallel_width[index], number(required_member(one, "widest"), "widest"));
  }
  const JsonValue& sums = required_member(knowledge, "sums");
  policy_.for_each_sum([&](const char* name, DecayingSum& sum) { sum = read_sum(sums, name, as_of); });
}

Id Node::adopt_connection(Time now, const std::string& executor, const std::string& address, Time since) {
  now_ = now;
  const auto found = executor_indices_.find(executor);
  if (found == executor_indices_.end()) return 0;
  Place& place = places_[found->second];
  if (place.address != address || policy_.executors[found->second].lifecycle == Lifecycle::kRemoved) return 0;
  const Id id = ++last_launch_;
  ++links_;
  place.free.push_back({id, since});
  std::sort(place.free.begin(), place.free.end(),
            [](const FreeLink& a, const FreeLink& b) { return a.since < b.since; });
  policy_.adopt_connection(found->second, since);
  return id;
}

// The use case that a job came under in the process before; one that is not offered here, or no more, or
// differently, is kept for it alone.
int Node::use_case_like(const std::string& name, UseCase terms, const std::string& machine_kind) {
  terms.machine_kind = machine_kind.empty() ? -1 : index_of(terms_.machine_kinds, machine_kind);
  for (std::size_t i = 0; i < terms_.use_cases.size(); ++i) {
    terms.initial_work_from = settings_.use_cases[i].initial_work_from;
    if (terms_.use_cases[i] == name && settings_.use_cases[i] == terms) return static_cast<int>(i);
  }
  terms.initial_work_from = terms_.find_use_case(name);
  terms_.use_cases.push_back(name);
  terms_.requires_key.push_back(terms.effect == Effect::kIdempotentByKey);
  terms_.offered.push_back(false);
  settings_.use_cases.push_back(terms);
  show_use_cases();
  policy_.settings_changed(now_, on_sockets(settings_, link_idle_));
  return static_cast<int>(terms_.use_cases.size()) - 1;
}

bool Node::adopt_request(Time now, Id client, TransferredRequest job, std::vector<Id>& launches) {
  now_ = now;
  if (!ids_.insert(job.id).second) {
    effects_.answer(client, Answer::kRejected, nullptr, 0, ConnectionDisposition::kCloseNow);
    return false;
  }
  ++figures_.accepted;
  const int use_case = use_case_like(job.use_case, job.terms, job.machine_kind);
  const int index = new_entry(client, job.id, use_case, job.state.deadline, std::move(job.payload));
  Entry& entry = entries_[index];
  job.state.use_case = use_case;
  job.state.deadline = std::min(job.state.deadline, stop_by_);
  for (TransferredAttempt& moved : job.attempts) {
    auto known = executor_indices_.find(moved.executor);
    if (known == executor_indices_.end()) {
      // The list has dropped it meanwhile.
      executor_listed(now, moved.executor, moved.address, moved.zone, moved.machine_kind, moved.cell,
                      Lifecycle::kRemoved, moved.executor_started_at);
      known = executor_indices_.find(moved.executor);
    }
    moved.attempt.executor = known->second;
    job.state.attempts.push_back(moved.attempt);
    rules_.restore_attempt(index, known->second, moved.attempt.sent_at, moved.attempt.pending,
                           moved.attempt.may_have_run);
    if (!moved.attempt.pending) {
      entry.launches.push_back(0);
      continue;
    }
    const Id id = ++last_launch_;
    running_.emplace(id, Running{index, static_cast<int>(entry.launches.size()), known->second});
    entry.launches.push_back(id);
    launches.push_back(id);
    ++entry.pending;
    ++links_;
    effects_.wake_at(job.state.deadline, kLaunchToken | id);
  }
  policy_.adopt_request(now, index, std::move(job.state));
  return true;
}

// --- Either ---

void Node::set_descriptor_share(Time now, int sixteenths) {
  now_ = now;
  Platform part = platform_;
  part.max_descriptors = platform_.max_descriptors * sixteenths / 16;
  most_descriptors_ = usable(part);
  keep_to_descriptors();
  if (!handing_over_) policy_.set_cold_budget_share(sixteenths / 16.0);
}

}  // namespace canvasstage
