// Decodes the platform's settings from JSON, for the simulator's adapter and the node alike.
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

// Thrown for input that cannot be decoded; the message names the field.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using JsonValue = rapidjson::Value;

// The functions below throw BadInput where a value is missing, of the wrong type or out of range. `field` is
// the name of the value in the message.
[[noreturn]] void throw_bad_input(const std::string& message);
double number(const JsonValue& value, const char* field);
// Returns `default_value` for null.
double number_or(const JsonValue& value, double default_value, const char* field);
// Returns the number without its fraction; its magnitude may be 1e9 at most.
int integer(const JsonValue& value, const char* field);
std::uint64_t unsigned_integer(const JsonValue& value, const char* field);
std::string_view string_value(const JsonValue& value, const char* field);
// Returns a member of an object, or a JSON null where it is absent or `object` is no object.
const JsonValue& member(const JsonValue& object, const char* key);
const JsonValue& required_member(const JsonValue& object, const char* key);
// Returns the index of a name in a list of the settings, or -1 where the list does not hold it.
int index_of(const std::vector<std::string>& names, std::string_view name);
// Returns the name at an index of a list of the settings, or an empty string for an index out of range.
std::string name_of(const std::vector<std::string>& names, int index);
// Rounds down, so that a deadline is never taken for later than it is. Clamps to kNever and -kNever.
Time time_from_seconds(double seconds);

// Settings that the decision module (policy.h) does not read: names and limits.
struct Terms {
  std::vector<std::string> zones, machine_kinds, use_cases, report_fields;
  std::vector<bool> requires_key;  // for each use case, whether a request without idempotency key is invalid
  std::vector<bool> offered;       // for each use case, false where later settings removed or changed it
  Time max_deadline = 0;           // longest deadline of all use cases
  Time connect_timeout = kSecond;
  Time drain_grace = kSecond;
  bool operator==(const Terms&) const = default;
  // Returns the index of the use case offered under that name, or -1.
  int find_use_case(std::string_view name) const;
};

// Decodes the settings and fills `terms`, which must be default-constructed. Throws BadInput.
Settings decode_settings(const JsonValue& settings, Terms& terms);
// Renumbers newly decoded settings so that each index keeps its meaning across a reload: a use case that was
// changed, or removed and added again with changes, gets a new index. Throws BadInput when there are too many
// use cases.
void preserve_indices(const Terms& previous_terms, const Settings& previous_settings, Terms& terms,
                      Settings& settings);

// Holds the current terms. Any thread may read them; only the reducer's thread replaces them.
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
