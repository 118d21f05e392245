// Reads typed fields from a TOML table. Errors are BadExperiment and name the file and the field.
#pragma once

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <sstream>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "experiment/experiment.h"

namespace canvasstage::lab {

// Parses TOML; throws BadExperiment with the position of a syntax error.
inline toml::table parsed(const std::string& text, const std::string& file) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    std::ostringstream position;
    position << error.source().begin;
    throw BadExperiment(file + ": " + position.str() + ": " + std::string(error.description()));
  }
}

// Reads the fields of one file; `file` is named in errors.
class Reader {
 public:
  explicit Reader(std::string file) : file_(std::move(file)) {}

  // Throws BadExperiment.
  [[noreturn]] void bad(const std::string& field, const std::string& message) const {
    throw BadExperiment(file_ + ": " + field + ": " + message);
  }

  // Returns the table under `key`, which must be present.
  const toml::table& table(const toml::table& from, const std::string& key) const {
    const toml::node* const node = from.get(key);
    if (node == nullptr || !node->is_table()) bad(key, "a table is needed");
    return *node->as_table();
  }

  // Converts a TOML node to the type of `into`; `field` is named in errors.
  template <class Value>
  void take(const toml::node& node, const std::string& field, Value& into) const {
    if constexpr (std::is_same_v<Value, std::string>) {
      if (!node.is_string()) bad(field, "a string is needed");
      into = *node.value<std::string>();
    } else if constexpr (std::is_same_v<Value, bool>) {
      if (!node.is_boolean()) bad(field, "true or false is needed");
      into = *node.value<bool>();
    } else if constexpr (std::is_same_v<Value, double>) {
      if (!node.is_number()) bad(field, "a number is needed");
      into = *node.value<double>();
      if (!std::isfinite(into)) bad(field, "a finite number is needed");
    } else {
      if (!node.is_integer()) bad(field, "a whole number is needed");
      const std::int64_t value = *node.value<std::int64_t>();
      if (value < -1000000000 || value > 1000000000)
        bad(field, "out of range: not between -1000000000 and 1000000000");
      into = static_cast<Value>(value);
    }
  }

  // Reads every key of the table into the field of that name; an unknown key is an error. Keys in `ignored`
  // are skipped: the caller reads them.
  template <class Target>
  void fields(const toml::table& from, const std::string& prefix, Target& into,
              const std::vector<std::string>& ignored = {}) const {
    for (const auto& [key, node] : from) {
      const std::string name(key.str());
      if (std::find(ignored.begin(), ignored.end(), name) != ignored.end()) continue;
      bool found = false;
      for_each_field(into, [&, &value = node](const char* field, auto& member) {
        if (name != field) return;
        found = true;
        take(value, prefix + name, member);
      });
      if (!found) bad(prefix + name, "not known");
    }
  }

  // Returns null if the key is absent.
  const toml::array* list(const toml::table& from, const std::string& key, const std::string& prefix) const {
    const toml::node* const node = from.get(key);
    if (node == nullptr) return nullptr;
    if (!node->is_array()) bad(prefix + key, "a list is needed");
    return node->as_array();
  }

  // Maps the string under `key` to a choice; returns `fallback` if the key is absent.
  template <class Choice>
  Choice one_of(const toml::table& from, const std::string& key, const std::string& prefix, Choice fallback,
                const std::vector<std::pair<std::string, Choice>>& choices) const {
    const toml::node* const node = from.get(key);
    if (node == nullptr) return fallback;
    std::string value_name;
    take(*node, prefix + key, value_name);
    std::string known;
    for (const auto& [name, choice] : choices) {
      if (name == value_name) return choice;
      known += (known.empty() ? "" : ", ") + name;
    }
    bad(prefix + key, value_name + " is not one of " + known);
  }

 private:
  const std::string file_;
};

}  // namespace canvasstage::lab
