#include "core/settings.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>

namespace canvasstage {
namespace {

bool bool_or_false(const JsonValue& object, const char* key) {
  const JsonValue& value = member(object, key);
  return value.IsBool() && value.GetBool();
}

double member_number_or(const JsonValue& object, const char* key, double default_value) {
  return number_or(member(object, key), default_value, key);
}

void append_names(const JsonValue& list, const char* key, std::vector<std::string>& names) {
  if (list.IsNull()) return;
  if (!list.IsArray()) throw_bad_input(std::string(key) + ": a list is needed");
  for (const JsonValue& name : list.GetArray()) names.emplace_back(string_value(name, key));
}

// Returns a limit, or `default_value` where it is absent. Throws BadInput for a negative limit, which nothing
// could satisfy.
double non_negative_or(const JsonValue& object, const char* key, double default_value) {
  const double value = member_number_or(object, key, default_value);
  if (value < 0) throw_bad_input(std::string(key) + ": must not be negative");
  return value;
}

// Returns the index of `value` in `allowed`.
int index_in(std::string_view value, const char* key, std::initializer_list<std::string_view> allowed) {
  const auto found = std::ranges::find(allowed, value);
  if (found == allowed.end()) throw_bad_input(std::string(key) + ": unknown value: " + std::string(value));
  return static_cast<int>(found - allowed.begin());
}

double required_positive(const JsonValue& object, const char* key) {
  const double value = number(required_member(object, key), key);
  if (!(value > 0)) throw_bad_input(std::string(key) + ": a positive number is needed");
  return value;
}

// Compares all fields but `initial_work_use_case`, which only says where the learned work of a new index
// starts.
bool equal_except_initial_work(const UseCase& previous, UseCase current) {
  current.initial_work_use_case = previous.initial_work_use_case;
  return previous == current;
}

int find_or_append(std::vector<std::string>& names, const std::string& name) {
  const int index = index_of(names, name);
  if (index >= 0) return index;
  names.push_back(name);
  return static_cast<int>(names.size()) - 1;
}

UseCase decode_use_case(const JsonValue& json, const JsonValue& domain, rapidjson::SizeType i) {
  const JsonValue& stretches = member(domain, "classStretch");
  const JsonValue& kinds = member(domain, "classKind");
  UseCase use_case;
  use_case.target_latency = time_from_seconds(required_positive(json, "agreedTime"));
  use_case.deadline = time_from_seconds(required_positive(json, "hardLimit"));
  use_case.target_latency_per_work = member_number_or(json, "aimStretch", 0);
  if (stretches.IsArray() && i < stretches.Size())
    use_case.target_latency_per_work += number(stretches[i], "domain.classStretch");
  if (kinds.IsArray() && i < kinds.Size()) use_case.machine_kind = integer(kinds[i], "domain.classKind");
  use_case.value = member_number_or(json, "billingValue", 1);
  use_case.late_value = member_number_or(json, "overdueBillingValue", 0);
  constexpr Effect kEffects[] = {Effect::kIdempotent, Effect::kIdempotentByKey, Effect::kAtMostOnce};
  use_case.effect = kEffects[index_in(string_value(required_member(json, "semantics"), "semantics"),
                                      "semantics", {"free", "guarded", "single_shot"})];
  constexpr IdempotencyScope kScopes[] = {IdempotencyScope::kAll, IdempotencyScope::kZone,
                                          IdempotencyScope::kCell};
  if (use_case.effect == Effect::kIdempotentByKey)
    use_case.idempotency_scope = kScopes[index_in(string_value(required_member(json, "group"), "group"),
                                                  "group", {"all", "zone", "cell"})];
  use_case.idempotency_window = time_from_seconds(non_negative_or(json, "window", 0));
  return use_case;
}

}  // namespace

void throw_bad_input(const std::string& message) {
  throw BadInput(message);
}

double number(const JsonValue& value, const char* field) {
  if (!value.IsNumber()) throw_bad_input(std::string(field) + ": a number is needed");
  return value.GetDouble();
}

double number_or(const JsonValue& value, double default_value, const char* field) {
  return value.IsNull() ? default_value : number(value, field);
}

int integer(const JsonValue& value, const char* field) {
  const double unrounded_value = number(value, field);
  if (!(std::abs(unrounded_value) <= 1e9)) throw_bad_input(std::string(field) + ": out of range");
  return static_cast<int>(unrounded_value);
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

// 1e-4 ticks are added so that a decimal fraction whose binary form is slightly too small is not rounded down
// to the tick before.
Time time_from_seconds(double seconds) {
  const double ticks = seconds * kSecond + 1e-4;
  if (ticks > static_cast<double>(kNever)) return kNever;
  return ticks < -static_cast<double>(kNever) ? -kNever : static_cast<Time>(std::floor(ticks));
}

Settings decode_settings(const JsonValue& settings, Terms& terms) {
  if (!settings.IsObject()) throw_bad_input("settings: an object is needed");
  append_names(member(settings, "zones"), "zones", terms.zones);
  append_names(member(settings, "shapes"), "shapes", terms.machine_kinds);
  append_names(member(member(settings, "report"), "fields"), "report.fields", terms.report_fields);
  Settings decoded;
  const JsonValue& domain = member(settings, "domain");
  const JsonValue& use_cases = required_member(settings, "useCases");
  if (!use_cases.IsArray() || use_cases.Empty()) throw_bad_input("useCases: a list is needed");
  for (rapidjson::SizeType i = 0; i < use_cases.Size(); ++i) {
    const std::string_view name = string_value(required_member(use_cases[i], "name"), "useCases.name");
    if (index_of(terms.use_cases, name) >= 0)
      throw_bad_input("useCases.name: duplicate name " + std::string(name));
    terms.use_cases.emplace_back(name);
    terms.offered.push_back(true);
    terms.max_deadline =
        std::max(terms.max_deadline, time_from_seconds(required_positive(use_cases[i], "hardLimit")));
    decoded.use_cases.push_back(decode_use_case(use_cases[i], domain, i));
    terms.requires_key.push_back(decoded.use_cases.back().effect == Effect::kIdempotentByKey);
  }
  const JsonValue& locality = member(settings, "locality");
  if (locality.IsString()) decoded.zone = index_of(terms.zones, string_value(locality, "locality"));
  decoded.node_count = integer(required_member(settings, "replicasOfMe"), "replicasOfMe");
  if (decoded.node_count < 1) throw_bad_input("replicasOfMe: must be at least 1");
  decoded.quantum = time_from_seconds(non_negative_or(settings, "quantum", 0.001));
  const JsonValue& mode = member(settings, "membershipMode");
  decoded.polls_membership = mode.IsString() && index_in(string_value(mode, "membershipMode"),
                                                         "membershipMode", {"push", "ask"}) == 1;
  const JsonValue& caps = required_member(settings, "caps");
  decoded.max_attempts = static_cast<int>(std::min(required_positive(caps, "mostLaunches"), 1e6));
  if (decoded.max_attempts < 1) throw_bad_input("mostLaunches: must be at least 1");
  decoded.connection_idle_timeout = time_from_seconds(non_negative_or(caps, "connIdle", 0));
  terms.connect_timeout = time_from_seconds(non_negative_or(caps, "connectTimeout", 1));
  decoded.connection_cost = member_number_or(member(settings, "prices"), "handshake", 0);
  decoded.can_cancel = bool_or_false(caps, "cancelling");
  if (bool_or_false(caps, "retryAfter"))
    decoded.max_retry_after = time_from_seconds(non_negative_or(caps, "maxRetryAfter", 0));
  decoded.reports_start = bool_or_false(domain, "tellsStart");
  const JsonValue& weights = member(settings, "weightSource");
  decoded.live_weights = !weights.IsNull() && string_value(weights, "weightSource") == "live";
  decoded.progress_interval = time_from_seconds(non_negative_or(domain, "progress", 0));
  const JsonValue& guarantees = required_member(settings, "guarantees");
  decoded.max_membership_age = time_from_seconds(non_negative_or(guarantees, "askWithin", 1e9));
  terms.drain_grace = time_from_seconds(non_negative_or(guarantees, "drainGrace", 1));
  decoded.cold_start_share = non_negative_or(guarantees, "coldFrom", 1);
  decoded.warm_up_time = time_from_seconds(non_negative_or(guarantees, "warmUp", 0));
  decoded.overload_multiple = non_negative_or(guarantees, "fallMultiple", 1);
  decoded.overload_span = time_from_seconds(non_negative_or(guarantees, "overloadFor", 1));
  return decoded;
}

int Terms::find_use_case(std::string_view name) const {
  for (std::size_t i = 0; i < use_cases.size(); ++i)
    if (offered[i] && use_cases[i] == name) return static_cast<int>(i);
  return -1;
}

void preserve_indices(const Terms& previous_terms, const Settings& previous_settings, Terms& terms,
                      Settings& settings) {
  // Indices are never released, so each use case takes about 100 bytes for the life of the process. An
  // operator who edits the settings by hand stays far below this limit.
  constexpr std::size_t kMaxUseCases = 4096;
  Terms merged_terms = terms;
  merged_terms.zones = previous_terms.zones;
  merged_terms.machine_kinds = previous_terms.machine_kinds;
  merged_terms.use_cases = previous_terms.use_cases;
  merged_terms.requires_key = previous_terms.requires_key;
  merged_terms.offered.assign(merged_terms.use_cases.size(), false);
  for (const std::string& zone : terms.zones) find_or_append(merged_terms.zones, zone);
  if (settings.zone >= 0 && settings.zone < static_cast<int>(terms.zones.size()))
    settings.zone = index_of(merged_terms.zones, terms.zones[settings.zone]);
  std::vector<int> kind_indices;
  for (const std::string& kind : terms.machine_kinds)
    kind_indices.push_back(find_or_append(merged_terms.machine_kinds, kind));
  std::vector<UseCase> merged_use_cases = previous_settings.use_cases;
  for (std::size_t i = 0; i < terms.use_cases.size(); ++i) {
    UseCase use_case = settings.use_cases[i];
    if (use_case.machine_kind >= 0 && use_case.machine_kind < static_cast<int>(kind_indices.size()))
      use_case.machine_kind = kind_indices[use_case.machine_kind];
    std::size_t match = merged_use_cases.size();
    for (std::size_t j = 0; j < previous_settings.use_cases.size(); ++j) {
      if (previous_terms.use_cases[j] != terms.use_cases[i]) continue;
      use_case.initial_work_use_case = static_cast<int>(j);
      if (equal_except_initial_work(merged_use_cases[j], use_case)) match = j;
    }
    if (match < merged_use_cases.size()) {
      merged_terms.offered[match] = true;
      continue;
    }
    merged_use_cases.push_back(use_case);
    merged_terms.use_cases.push_back(terms.use_cases[i]);
    merged_terms.requires_key.push_back(terms.requires_key[i]);
    merged_terms.offered.push_back(true);
  }
  if (merged_use_cases.size() > kMaxUseCases)
    throw_bad_input("useCases: too many distinct use cases since the process started");
  settings.use_cases = std::move(merged_use_cases);
  terms = std::move(merged_terms);
}

}  // namespace canvasstage
