#include "core/settings.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>

namespace canvasstage {
namespace {

bool flag(const JsonValue& object, const char* key) {
  const JsonValue& value = member(object, key);
  return value.IsBool() && value.GetBool();
}

double setting(const JsonValue& object, const char* key, double otherwise) {
  return number_or(member(object, key), otherwise, key);
}

void read_names(const JsonValue& list, const char* key, std::vector<std::string>& names) {
  if (list.IsNull()) return;
  if (!list.IsArray()) throw_bad_input(std::string(key) + ": a list is needed");
  for (const JsonValue& name : list.GetArray()) names.emplace_back(string_value(name, key));
}

// A limit that is absent is the one given; below 0 there is none that could be kept.
double limit(const JsonValue& object, const char* key, double otherwise) {
  const double value = setting(object, key, otherwise);
  if (value < 0) throw_bad_input(std::string(key) + ": must not be negative");
  return value;
}

// One of the words, by its place among them.
int one_of(std::string_view word, const char* key, std::initializer_list<std::string_view> words) {
  const auto found = std::ranges::find(words, word);
  if (found == words.end()) throw_bad_input(std::string(key) + ": not known: " + std::string(word));
  return static_cast<int>(found - words.begin());
}

double positive(const JsonValue& object, const char* key) {
  const double value = number(required_member(object, key), key);
  if (!(value > 0)) throw_bad_input(std::string(key) + ": a positive number is needed");
  return value;
}

// Without aliases: `before` is to hold this one as it stands, or it is another one.
bool same_use_case(const UseCase& before, UseCase now) {
  now.initial_work_from = before.initial_work_from;
  return before == now;
}

int index_or_added(std::vector<std::string>& names, const std::string& name) {
  const int index = index_of(names, name);
  if (index >= 0) return index;
  names.push_back(name);
  return static_cast<int>(names.size()) - 1;
}

UseCase decode_use_case(const JsonValue& from, const JsonValue& domain, rapidjson::SizeType i) {
  const JsonValue& stretch = member(domain, "classStretch");
  const JsonValue& kind = member(domain, "classKind");
  UseCase u;
  u.target_latency = time_from_seconds(positive(from, "agreedTime"));
  u.deadline = time_from_seconds(positive(from, "hardLimit"));
  u.target_latency_per_work = setting(from, "aimStretch", 0);
  if (stretch.IsArray() && i < stretch.Size())
    u.target_latency_per_work += number(stretch[i], "domain.classStretch");
  if (kind.IsArray() && i < kind.Size()) u.machine_kind = integer(kind[i], "domain.classKind");
  u.value = setting(from, "billingValue", 1);
  u.late_value = setting(from, "overdueBillingValue", 0);
  constexpr Effect kEffects[] = {Effect::kIdempotent, Effect::kIdempotentByKey, Effect::kAtMostOnce};
  u.effect = kEffects[one_of(string_value(required_member(from, "semantics"), "semantics"), "semantics",
                             {"free", "guarded", "single_shot"})];
  constexpr IdempotencyScope kGroups[] = {IdempotencyScope::kAll, IdempotencyScope::kZone,
                                          IdempotencyScope::kCell};
  if (u.effect == Effect::kIdempotentByKey)
    u.idempotency_scope = kGroups[one_of(string_value(required_member(from, "group"), "group"), "group",
                                         {"all", "zone", "cell"})];
  u.idempotency_window = time_from_seconds(limit(from, "window", 0));
  return u;
}

}  // namespace

void throw_bad_input(const std::string& what) {
  throw BadInput(what);
}

double number(const JsonValue& value, const char* field) {
  if (!value.IsNumber()) throw_bad_input(std::string(field) + ": a number is needed");
  return value.GetDouble();
}

double number_or(const JsonValue& value, double otherwise, const char* field) {
  return value.IsNull() ? otherwise : number(value, field);
}

int integer(const JsonValue& value, const char* field) {
  const double given = number(value, field);
  if (!(std::abs(given) <= 1e9)) throw_bad_input(std::string(field) + ": out of range");
  return static_cast<int>(given);
}

std::uint64_t unsigned_integer(const JsonValue& value, const char* field) {
  if (!value.IsUint64()) throw_bad_input(std::string(field) + ": a whole number is needed");
  return value.GetUint64();
}

std::string_view string_value(const JsonValue& value, const char* field) {
  if (!value.IsString()) throw_bad_input(std::string(field) + ": a string is needed");
  return {value.GetString(), value.GetStringLength()};
}

const JsonValue& member(const JsonValue& object, const char* key) {
  static const JsonValue kNull;
  if (!object.IsObject()) return kNull;
  const auto found = object.FindMember(key);
  return found == object.MemberEnd() ? kNull : found->value;
}

const JsonValue& required_member(const JsonValue& object, const char* key) {
  const JsonValue& value = member(object, key);
  if (value.IsNull()) throw_bad_input(std::string(key) + " is missing");
  return value;
}

int index_of(const std::vector<std::string>& names, std::string_view name) {
  for (std::size_t i = 0; i < names.size(); ++i)
    if (names[i] == name) return static_cast<int>(i);
  return -1;
}

std::string name_of(const std::vector<std::string>& names, int index) {
  return index >= 0 && index < static_cast<int>(names.size()) ? names[static_cast<std::size_t>(index)]
                                                              : std::string();
}

// The nudge undoes the binary fraction.
Time time_from_seconds(double seconds) {
  const double units = seconds * kSecond + 1e-4;
  if (units > static_cast<double>(kNever)) return kNever;
  return units < -static_cast<double>(kNever) ? -kNever : static_cast<Time>(std::floor(units));
}

Settings decode_settings(const JsonValue& settings, Terms& terms) {
  if (!settings.IsObject()) throw_bad_input("settings: an object is needed");
  read_names(member(settings, "zones"), "zones", terms.zones);
  read_names(member(settings, "shapes"), "shapes", terms.machine_kinds);
  read_names(member(member(settings, "report"), "fields"), "report.fields", terms.report_fields);
  Settings s;
  const JsonValue& domain = member(settings, "domain");
  const JsonValue& cases = required_member(settings, "useCases");
  if (!cases.IsArray() || cases.Empty()) throw_bad_input("useCases: a list is needed");
  for (rapidjson::SizeType i = 0; i < cases.Size(); ++i) {
    const std::string_view name = string_value(required_member(cases[i], "name"), "useCases.name");
    if (index_of(terms.use_cases, name) >= 0) throw_bad_input("useCases.name: twice " + std::string(name));
    terms.use_cases.emplace_back(name);
    terms.offered.push_back(true);
    terms.max_deadline = std::max(terms.max_deadline, time_from_seconds(positive(cases[i], "hardLimit")));
    s.use_cases.push_back(decode_use_case(cases[i], domain, i));
    terms.requires_key.push_back(s.use_cases.back().effect == Effect::kIdempotentByKey);
  }
  const JsonValue& locality = member(settings, "locality");
  if (locality.IsString()) s.zone = index_of(terms.zones, string_value(locality, "locality"));
  s.node_count = integer(required_member(settings, "replicasOfMe"), "replicasOfMe");
  if (s.node_count < 1) throw_bad_input("replicasOfMe: at least 1 is needed");
  s.quantum = time_from_seconds(limit(settings, "quantum", 0.001));
  const JsonValue& mode = member(settings, "membershipMode");
  s.polls_membership =
      mode.IsString() && one_of(string_value(mode, "membershipMode"), "membershipMode", {"push", "ask"}) == 1;
  const JsonValue& caps = required_member(settings, "caps");
  s.max_attempts = static_cast<int>(std::min(positive(caps, "mostLaunches"), 1e6));
  if (s.max_attempts < 1) throw_bad_input("mostLaunches: at least 1 is needed");
  s.connection_idle_timeout = time_from_seconds(limit(caps, "connIdle", 0));
  terms.connect_timeout = time_from_seconds(limit(caps, "connectTimeout", 1));
  s.connection_cost = setting(member(settings, "prices"), "handshake", 0);
  s.can_cancel = flag(caps, "cancelling");
  if (flag(caps, "retryAfter")) s.max_retry_after = time_from_seconds(limit(caps, "maxRetryAfter", 0));
  s.reports_start = flag(domain, "tellsStart");
  const JsonValue& weights = member(settings, "weightSource");
  s.live_weights = !weights.IsNull() && string_value(weights, "weightSource") == "live";
  s.progress_interval = time_from_seconds(limit(domain, "progress", 0));
  const JsonValue& rules = required_member(settings, "guarantees");
  s.max_membership_age = time_from_seconds(limit(rules, "askWithin", 1e9));
  terms.drain_grace = time_from_seconds(limit(rules, "drainGrace", 1));
  s.cold_start_share = limit(rules, "coldFrom", 1);
  s.warm_up_time = time_from_seconds(limit(rules, "warmUp", 0));
  s.overload_multiple = limit(rules, "fallMultiple", 1);
  s.overload_span = time_from_seconds(limit(rules, "overloadFor", 1));
  return s;
}

int Terms::find_use_case(std::string_view name) const {
  for (std::size_t i = 0; i < use_cases.size(); ++i)
    if (offered[i] && use_cases[i] == name) return static_cast<int>(i);
  return -1;
}

void preserve_indices(const Terms& terms_before, const Settings& before, Terms& terms, Settings& settings) {
  // A use case costs each process about a hundred bytes for good: far more than anybody renames by hand.
  constexpr std::size_t kMostUseCases = 4096;
  Terms all = terms;
  all.zones = terms_before.zones;
  all.machine_kinds = terms_before.machine_kinds;
  all.use_cases = terms_before.use_cases;
  all.requires_key = terms_before.requires_key;
  all.offered.assign(all.use_cases.size(), false);
  for (const std::string& zone : terms.zones) index_or_added(all.zones, zone);
  if (settings.zone >= 0 && settings.zone < static_cast<int>(terms.zones.size()))
    settings.zone = index_of(all.zones, terms.zones[settings.zone]);
  std::vector<int> kinds;
  for (const std::string& kind : terms.machine_kinds)
    kinds.push_back(index_or_added(all.machine_kinds, kind));
  std::vector<UseCase> cases = before.use_cases;
  for (std::size_t i = 0; i < terms.use_cases.size(); ++i) {
    UseCase now = settings.use_cases[i];
    if (now.machine_kind >= 0 && now.machine_kind < static_cast<int>(kinds.size()))
      now.machine_kind = kinds[now.machine_kind];
    std::size_t at = cases.size();
    for (std::size_t j = 0; j < before.use_cases.size(); ++j) {
      if (terms_before.use_cases[j] != terms.use_cases[i]) continue;
      now.initial_work_from = static_cast<int>(j);
      if (same_use_case(cases[j], now)) at = j;
    }
    if (at < cases.size()) {
      all.offered[at] = true;
      continue;
    }
    cases.push_back(now);
    all.use_cases.push_back(terms.use_cases[i]);
    all.requires_key.push_back(terms.requires_key[i]);
    all.offered.push_back(true);
  }
  if (cases.size() > kMostUseCases) throw_bad_input("useCases: too many different ones since the start");
  settings.use_cases = std::move(cases);
  terms = std::move(all);
}

}  // namespace canvasstage
