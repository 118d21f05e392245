// Takes typed fields out of a TOML table and names file and field of what is wrong.
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

// Throws BadExperiment with the place where it's no TOML.
inline toml::table parsed(const std::string& text, const std::string& file) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    std::ostringstream at;
    at << error.source().begin;
    throw BadExperiment(file + ": " + at.str() + ": " + std::string(error.description()));
  }
}

class Reader {
 public:
  explicit Reader(std::string file) : file_(std::move(file)) {}

  [[noreturn]] void bad(const std::string& field, const std::string& what) const {
    throw BadExperiment(file_ + ": " + field + ": " + what);
  }

  const toml::table& table(const toml::table& from, const std::string& key) const {
    const toml::node* const node = from.get(key);
    if (node == nullptr || !node->is_table()) bad(key, "a table is needed");
    return *node->as_table();
  }

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
      if (value < -1000000000 || value > 1000000000) bad(field, "out of range");
      into = static_cast<Value>(value);
    }
  }

  // Every key has to be one of the fields; `extra` are read by others.
  template <class Of>
  void fields(const toml::table& from, const std::string& at, Of& into,
              const std::vector<std::string>& extra = {}) const {
    for (const auto& [key, node] : from) {
      const std::string name(key.str());
      if (std::find(extra.begin(), extra.end(), name) != extra.end()) continue;
      bool found = false;
      each_field(into, [&, &value = node](const char* field, auto& member) {
        if (name != field) return;
        found = true;
        take(value, at + name, member);
      });
      if (!found) bad(at + name, "not known");
    }
  }

  const toml::array* list(const toml::table& from, const std::string& key, const std::string& at) const {
    const toml::node* const node = from.get(key);
    if (node == nullptr) return nullptr;
    if (!node->is_array()) bad(at + key, "a list is needed");
    return node->as_array();
  }

  template <class Choice>
  Choice one_of(const toml::table& from, const std::string& key, const std::string& at, Choice otherwise,
                const std::vector<std::pair<std::string, Choice>>& choices) const {
    const toml::node* const node = from.get(key);
    if (node == nullptr) return otherwise;
    std::string word;
    take(*node, at + key, word);
    std::string known;
    for (const auto& [name, choice] : choices) {
      if (name == word) return choice;
      known += (known.empty() ? "" : ", ") + name;
    }
    bad(at + key, word + " is none of " + known);
  }

 private:
  const std::string file_;
};

}  // namespace canvasstage::lab
