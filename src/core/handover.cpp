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
  json.Int64(now - sum.at);
  json.EndArray();
}

const rapidjson::Value& list(const JsonValue& object, const char* key) {
  const JsonValue& value = needed(object, key);
  if (!value.IsArray()) bad(std::string(key) + ": a list is needed");
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
  if (pair.Size() != 2) bad(std::string(key) + ": two numbers are needed");
  return {number(pair[0], key), now - length(pair[1], key)};
}

}  // namespace

// --- A job in words ---

std::string written(const MovedJob& job, Time now) {
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
  span("agreedTime", job.terms.agreed_time);
  span("hardLimit", job.terms.hard_limit);
  write(json, "stretch", job.terms.stretch);
  write(json, "billingValue", job.terms.billing_value);
  write(json, "overdueValue", job.terms.overdue_value);
  write(json, "effect", static_cast<int>(job.terms.effect));
  write(json, "group", static_cast<int>(job.terms.group));
  span("window", job.terms.window);
  write(json, "width", job.state.width);
  write(json, "hint", job.state.hint);
  write(json, "key", std::to_string(job.state.key));
  flag("waitedLong", job.state.waited_long);
  span("arrived", now - job.state.arrived);
  span("due", job.state.due - now);
  json.Key("launches");
  json.StartArray();
  for (const MovedLaunch& moved : job.launches) {
    const Launch& launch = moved.launch;
    json.StartObject();
    write(json, "executor", moved.executor);
    write(json, "address", moved.address);
    write(json, "zone", moved.zone);
    write(json, "machineKind", moved.machine_kind);
    write(json, "cell", moved.cell);
    span("startedAt", moved.executor_started);
    span("sent", now - launch.sent);
    span("began", launch.began < 0 ? -1 : now - launch.began);
    span("heard", now - launch.heard);
    write(json, "cost", launch.cost);
    flag("pending", launch.pending);
    flag("mayHaveRun", launch.may_have_run);
    flag("blamed", launch.blamed);
    flag("taken", launch.taken);
    json.EndObject();
  }
  json.EndArray();
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

MovedJob read_job(const JsonValue& from, Time now) {
  const auto words = [](const JsonValue& object, const char* key) {
    return std::string(text(needed(object, key), key));
  };
  const auto span = [](const JsonValue& object, const char* key) { return length(needed(object, key), key); };
  const auto flag = [](const JsonValue& object, const char* key) {
    const JsonValue& value = needed(object, key);
    if (!value.IsBool()) bad(std::string(key) + ": true or false is needed");
    return value.GetBool();
  };
  const auto one_of = [](const JsonValue& object, const char* key, int most) {
    const double value = number(needed(object, key), key);
    if (!(value >= 0 && value <= most)) bad(std::string(key) + ": out of range");
    return static_cast<int>(value);
  };
  constexpr int kMost = 1000000;
  MovedJob job;
  job.id = words(from, "id");
  job.use_case = words(from, "useCase");
  job.machine_kind = words(from, "machineKind");
  job.terms.agreed_time = span(from, "agreedTime");
  job.terms.hard_limit = span(from, "hardLimit");
  job.terms.stretch = number(needed(from, "stretch"), "stretch");
  job.terms.billing_value = number(needed(from, "billingValue"), "billingValue");
  job.terms.overdue_value = number(needed(from, "overdueValue"), "overdueValue");
  job.terms.effect = static_cast<Effect>(one_of(from, "effect", static_cast<int>(Effect::kSingleUse)));
  job.terms.group = static_cast<Group>(one_of(from, "group", static_cast<int>(Group::kCell)));
  job.terms.window = span(from, "window");
  job.state.width = one_of(from, "width", kMost);
  job.state.hint = number(needed(from, "hint"), "hint");
  job.state.key = std::strtoull(words(from, "key").c_str(), nullptr, 10);
  job.state.waited_long = flag(from, "waitedLong");
  job.state.arrived = now - span(from, "arrived");
  job.state.due = now + span(from, "due");
  for (const JsonValue& one : list(from, "launches").GetArray()) {
    MovedLaunch moved;
    moved.executor = words(one, "executor");
    moved.address = words(one, "address");
    moved.zone = words(one, "zone");
    moved.machine_kind = words(one, "machineKind");
    moved.cell = static_cast<int>(std::clamp(number(needed(one, "cell"), "cell"), -1.0, 1.0 * kMost));
    moved.executor_started = span(one, "startedAt");
    Launch& launch = moved.launch;
    launch.sent = now - span(one, "sent");
    const Time began = span(one, "began");
    launch.began = began < 0 ? -1 : now - began;
    launch.heard = now - span(one, "heard");
    launch.cost = number(needed(one, "cost"), "cost");
    launch.pending = flag(one, "pending");
    launch.may_have_run = flag(one, "mayHaveRun");
    launch.blamed = flag(one, "blamed");
    launch.taken = flag(one, "taken");
    job.launches.push_back(std::move(moved));
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
    if (executor.standing == Standing::kGone) continue;
    json.StartObject();
    write(json, "id", places_[i].id);
    write(json, "startedAt", static_cast<double>(places_[i].told_start));
    write(json, "work", executor.work);
    write(json, "latency", executor.latency);
    write(json, "size", executor.size);
    write_sum(json, "good", now, executor.good);
    write_sum(json, "bad", now, executor.bad);
    write_sum(json, "wait", now, executor.wait);
    write(json, "away", static_cast<double>(executor.away));
    write(json, "awayFor", static_cast<double>(executor.away_until - now));
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
    write(json, "work", policy_.work_of(static_cast<int>(i)));
    write(json, "weight", policy_.work_weight_of(static_cast<int>(i)));
    json.EndObject();
  }
  json.EndArray();
  json.Key("zones");
  json.StartArray();
  for (std::size_t i = 0; i < policy_.zones.size() && i < terms_.zones.size(); ++i) {
    json.StartObject();
    write(json, "name", terms_.zones[i]);
    write(json, "now", static_cast<double>(policy_.zones[i].now));
    write(json, "before", static_cast<double>(policy_.zones[i].before));
    write(json, "since", static_cast<double>(now - policy_.zones[i].since));
    json.EndObject();
  }
  json.EndArray();
  json.Key("machineKinds");
  json.StartArray();
  for (std::size_t i = 0; i < policy_.widest.size() && i < terms_.machine_kinds.size(); ++i) {
    json.StartObject();
    write(json, "name", terms_.machine_kinds[i]);
    write(json, "widest", policy_.widest[i]);
    json.EndObject();
  }
  json.EndArray();
  json.Key("sums");
  json.StartObject();
  policy_.each_sum([&](const char* name, DecayingSum& sum) { write_sum(json, name, now, sum); });
  json.EndObject();
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

void Node::begin_handover(Time now) {
  handing_over_ = true;
  policy_.take_cold_part(kPartOfGoing);
  effects_.begin_handover(knowledge(now));
  for (std::size_t i = 0; i < places_.size(); ++i) hand_over_free_links(static_cast<int>(i));
  for (std::size_t i = 0; i < entries_.size(); ++i) hand_over_if_ready(static_cast<int>(i));
}

void Node::hand_over_free_links(int executor) {
  Place& place = places_[executor];
  for (const FreeLink& link : place.free) {
    effects_.hand_over_link(link.launch, place.id, place.address, link.since);
    --links_;
    policy_.connection_closed(executor);
  }
  place.free.clear();
}

void Node::launch_parked(Time now, Id launch, PayloadRef reading) {
  now_ = now;
  const auto found = running_.find(launch);
  if (found == running_.end()) return;
  if (found->second.cancelled) return launch_ended(now, launch, Outcome::kBroken, nullptr, false, nullptr);
  found->second.reading = std::move(reading);
  hand_over_if_ready(found->second.submission);
}

// Once every launch of it that is out waits for its executor; one that was given up is waited for.
void Node::hand_over_if_ready(int submission) {
  Entry& entry = entries_[submission];
  if (entry.ended) return;
  for (const Id id : entry.launches)
    if (const auto found = running_.find(id); found != running_.end() && !found->second.reading) return;
  const Submission& state = policy_.submissions[submission];
  MovedJob job;
  job.client = entry.client;
  job.id = entry.id;
  job.use_case = terms_.use_cases[entry.use_case];
  job.terms = settings_.use_cases[entry.use_case];
  job.machine_kind = name_of(terms_.machine_kinds, job.terms.machine_kind);
  job.submission = entry.payload;
  job.state = state;
  job.state.launches.clear();
  job.state.due = entry.due;
  for (std::size_t i = 0; i < state.launches.size(); ++i) {
    MovedLaunch moved;
    moved.launch = state.launches[i];
    const Executor& executor = policy_.executors[moved.launch.executor];
    const Place& place = places_[moved.launch.executor];
    moved.executor = place.id;
    moved.address = place.address;
    moved.zone = name_of(terms_.zones, executor.zone);
    moved.machine_kind = name_of(terms_.machine_kinds, executor.kind);
    moved.cell = executor.cell;
    moved.executor_started = place.told_start;
    if (const auto found = running_.find(entry.launches[i]); found != running_.end()) {
      moved.reading = std::move(found->second.reading);
      running_.erase(found);
      --links_;
    }
    job.launches.push_back(std::move(moved));
  }
  effects_.hand_over(job);
  ++figures_.handed_over;
  clients_.at(entry.client).submission = -1;
  entry.ended = true;
  rules_.request_over(submission);
  entry.pending = 0;
  policy_.submission_handed_over(now_, submission);
  release_if_over(submission);
}

// --- In the process that comes ---

void Node::knowledge_taken_over(Time now, const JsonValue& knowledge, Time as_of) {
  now_ = now;
  for (const JsonValue& one : list(knowledge, "executors").GetArray()) {
    const auto found = executor_indices_.find(std::string(text(needed(one, "id"), "id")));
    if (found == executor_indices_.end()) continue;
    // Another process runs there by now: what was learned is void.
    if (length(needed(one, "startedAt"), "startedAt") < places_[found->second].told_start) continue;
    Learned learned;
    learned.work = number(needed(one, "work"), "work");
    learned.latency = number(needed(one, "latency"), "latency");
    learned.size = number(needed(one, "size"), "size");
    learned.good = read_sum(one, "good", as_of);
    learned.bad = read_sum(one, "bad", as_of);
    learned.wait = read_sum(one, "wait", as_of);
    learned.away = length(needed(one, "away"), "away");
    learned.away_until = as_of + length(needed(one, "awayFor"), "awayFor");
    const JsonValue& sends = list(one, "coldSends");
    for (rapidjson::SizeType i = 0; i + 1 < sends.Size(); i += 2)
      learned.cold_sends.emplace_back(as_of - length(sends[i], "coldSends"),
                                      number(sends[i + 1], "coldSends"));
    policy_.executor_learned(now, found->second, learned);
  }
  for (const JsonValue& one : list(knowledge, "useCases").GetArray())
    if (const int index = terms_.use_case_named(text(needed(one, "name"), "name")); index >= 0)
      policy_.work_learned(index, number(needed(one, "work"), "work"),
                           number(needed(one, "weight"), "weight"));
  for (const JsonValue& one : list(knowledge, "zones").GetArray()) {
    const int index = index_of(terms_.zones, text(needed(one, "name"), "name"));
    if (index < 0 || index >= static_cast<int>(policy_.zones.size())) continue;
    Zone& zone = policy_.zones[index];
    zone.now = length(needed(one, "now"), "now");
    zone.before = length(needed(one, "before"), "before");
    zone.since = as_of - length(needed(one, "since"), "since");
  }
  for (const JsonValue& one : list(knowledge, "machineKinds").GetArray()) {
    const int index = index_of(terms_.machine_kinds, text(needed(one, "name"), "name"));
    if (index >= 0 && index < static_cast<int>(policy_.widest.size()))
      policy_.widest[index] = std::max(policy_.widest[index], number(needed(one, "widest"), "widest"));
  }
  const JsonValue& sums = needed(knowledge, "sums");
  policy_.each_sum([&](const char* name, DecayingSum& sum) { sum = read_sum(sums, name, as_of); });
}

Id Node::link_taken_over(Time now, const std::string& executor, const std::string& address, Time since) {
  now_ = now;
  const auto found = executor_indices_.find(executor);
  if (found == executor_indices_.end()) return 0;
  Place& place = places_[found->second];
  if (place.address != address || policy_.executors[found->second].standing == Standing::kGone) return 0;
  const Id id = ++last_launch_;
  ++links_;
  place.free.push_back({id, since});
  std::sort(place.free.begin(), place.free.end(),
            [](const FreeLink& a, const FreeLink& b) { return a.since < b.since; });
  policy_.connection_taken_over(found->second, since);
  return id;
}

// The use case that a job came under in the process before; one that is not offered here, or no more, or
// differently, is kept for it alone.
int Node::use_case_like(const std::string& name, UseCase terms, const std::string& machine_kind) {
  terms.machine_kind = machine_kind.empty() ? -1 : index_of(terms_.machine_kinds, machine_kind);
  for (std::size_t i = 0; i < terms_.use_cases.size(); ++i) {
    terms.learned_from = settings_.use_cases[i].learned_from;
    if (terms_.use_cases[i] == name && settings_.use_cases[i] == terms) return static_cast<int>(i);
  }
  terms.learned_from = terms_.use_case_named(name);
  terms_.use_cases.push_back(name);
  terms_.referenced.push_back(terms.effect == Effect::kReferenced);
  terms_.offered.push_back(false);
  settings_.use_cases.push_back(terms);
  show_use_cases();
  policy_.settings_changed(now_, on_sockets(settings_, link_idle_));
  return static_cast<int>(terms_.use_cases.size()) - 1;
}

bool Node::job_taken_over(Time now, Id client, MovedJob job, std::vector<Id>& launches) {
  now_ = now;
  if (!ids_.insert(job.id).second) {
    effects_.answer(client, Answer::kRejected, nullptr, 0, After::kEnd);
    return false;
  }
  ++figures_.taken;
  const int use_case = use_case_like(job.use_case, job.terms, job.machine_kind);
  const int index = new_entry(client, job.id, use_case, job.state.due, std::move(job.submission));
  Entry& entry = entries_[index];
  job.state.use_case = use_case;
  job.state.due = std::min(job.state.due, stop_by_);
  for (MovedLaunch& moved : job.launches) {
    auto known = executor_indices_.find(moved.executor);
    if (known == executor_indices_.end()) {
      // The list has dropped it meanwhile.
      executor_listed(now, moved.executor, moved.address, moved.zone, moved.machine_kind, moved.cell,
                      Standing::kGone, moved.executor_started);
      known = executor_indices_.find(moved.executor);
    }
    moved.launch.executor = known->second;
    job.state.launches.push_back(moved.launch);
    rules_.attempt_known(index, known->second, moved.launch.sent, moved.launch.pending,
                         moved.launch.may_have_run);
    if (!moved.launch.pending) {
      entry.launches.push_back(0);
      continue;
    }
    const Id id = ++last_launch_;
    running_.emplace(id, Running{index, static_cast<int>(entry.launches.size()), known->second});
    entry.launches.push_back(id);
    launches.push_back(id);
    ++entry.pending;
    ++links_;
    effects_.wake_at(job.state.due, kLaunchToken | id);
  }
  policy_.submission_taken_over(now, index, std::move(job.state));
  return true;
}

// --- Either ---

void Node::limits_shared(Time now, int sixteenths) {
  now_ = now;
  Platform part = platform_;
  part.descriptors = platform_.descriptors * sixteenths / 16;
  most_descriptors_ = usable(part);
  keep_to_descriptors();
  if (!handing_over_) policy_.take_cold_part(sixteenths / 16.0);
}

}  // namespace canvasstage
