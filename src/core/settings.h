// The settings as the platform words them, decoded once; the simulator's adapter and the real node share it.
#pragma once

#include <rapidjson/document.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy.h"

namespace canvasstage {

// Input that cannot be read; the message names the field.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using JsonValue = rapidjson::Value;

[[noreturn]] void throw_bad_input(const std::string& what);
double number(const JsonValue& value, const char* field);
double number_or(const JsonValue& value, double otherwise, const char* field);
int integer(const JsonValue& value, const char* field);  // cut to one
std::uint64_t unsigned_integer(const JsonValue& value, const char* field);
std::string_view string_value(const JsonValue& value, const char* field);
// An object's member, or null where it is absent.
const JsonValue& member(const JsonValue& object, const char* key);
const JsonValue& required_member(const JsonValue& object, const char* key);
// The place of a name among those that the settings list; -1: none.
int index_of(const std::vector<std::string>& names, std::string_view name);
// The name at a place among those; empty where there is none.
std::string name_of(const std::vector<std::string>& names, int index);
// Rounded down, so that a deadline is never taken for later than it is.
Time time_from_seconds(double seconds);

// What the settings name or fix beside what the module reads.
struct Terms {
  std::vector<std::string> zones, machine_kinds, use_cases, report_fields;
  std::vector<bool> requires_key;  // by use case: a submission without its reference is no submission
  std::vector<bool> offered;       // by use case: false for those that later settings no longer hold
  Time max_deadline = 0;
  Time connect_timeout = kSecond;
  Time drain_grace = kSecond;
  bool operator==(const Terms&) const = default;
  // The use case that new submissions of that name come under; -1: none.
  int find_use_case(std::string_view name) const;
};

Settings decode_settings(const JsonValue& settings, Terms& terms);
// Renumbers settings that were just decoded, so that each index goes on meaning what it meant before: one use
// case that changed, or came back changed, gets an index of its own. Throws BadInput where these run out.
void preserve_indices(const Terms& terms_before, const Settings& before, Terms& terms, Settings& settings);

// The terms that hold now: read by any thread, replaced by the reducer.
class CurrentTerms {
 public:
  explicit CurrentTerms(Terms terms) : terms_(std::make_shared<const Terms>(std::move(terms))) {}
  std::shared_ptr<const Terms> read() const {
    const std::lock_guard lock(mutex_);
    return terms_;
  }
  void replace(std::shared_ptr<const Terms> terms) {
    const std::lock_guard lock(mutex_);
    terms_.swap(terms);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const Terms> terms_;
};

}  // namespace canvasstage
