// Reads and checks plan files.
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>

#include "scale/real.h"
#include "standins/executors.h"

namespace canvasstage::lab::real {
namespace {

struct Field {
  const char* name;
  double Setup::*member;
  double min, max;
  bool is_integer;
};

// The bounds protect a shared machine; they are not limits of the product.
constexpr Field kFields[] = {
    {"executors", &Setup::executors, 1, Executors::kMaxExecutors, true},
    {"open_jobs", &Setup::open_jobs, 0, Executors::kMaxOpenAttempts, true},
    {"waiting_jobs", &Setup::waiting_jobs, 0, Executors::kMaxOpenAttempts, true},
    {"rate", &Setup::rate, 0, 1000, false},
    {"run_time", &Setup::run_time, 0, 10, false},
    {"list_changes", &Setup::list_changes, 0, Executors::kMaxExecutors, false},
    {"whole_lists", &Setup::whole_lists, 0, 1, true},
    {"gone", &Setup::gone, 0, Executors::kMaxExecutors, true},
    {"reloads", &Setup::reloads, 0, 600, false},
    {"use_cases", &Setup::use_cases, 1, 1000, true},
    {"progress", &Setup::progress, 0, 60, false},
    {"agreed_time", &Setup::agreed_time, 0.01, 300, false},
    {"sockets", &Setup::sockets, 64, 16384, true},
    {"memory_mb", &Setup::memory_mb, 16, 4096, true},
};
constexpr double kMaxSeconds = 120;
constexpr int kMaxPlays = 20;
constexpr std::size_t kMinSizes = 4, kMaxSizes = 20;

class Reader {
 public:
  Reader(const toml::table& table, std::string file) : table_(table), file_(std::move(file)) {}

  [[noreturn]] void reject(const std::string& field, const std::string& what) const {
    throw BadPlan(file_ + ": " + field + ": " + what);
  }
  const toml::node& require(const char* field) const {
    const toml::node* const node = table_.get(field);
    if (node == nullptr) reject(field, "is missing");
    return *node;
  }
  std::string text(const toml::node& node, const std::string& field) const {
    if (!node.is_string()) reject(field, "a string is needed");
    return *node.value<std::string>();
  }
  std::string choice(const toml::node& node, const std::string& field,
                     std::initializer_list<std::string_view> choices) const {
    std::string value = text(node, field);
    if (std::ranges::find(choices, value) == choices.end()) reject(field, value + " is not known");
    return value;
  }
  double number(const toml::node& node, const std::string& field, double min, double max) const {
    if (!node.is_number()) reject(field, "a number is needed");
    const double value = *node.value<double>();
    if (!(value >= min && value <= max)) {
      char bounds[64];
      std::snprintf(bounds, sizeof bounds, "%g to %g", min, max);
      reject(field, std::string("out of bounds: ") + bounds);
    }
    return value;
  }
  double number(const toml::node& node, const std::string& field_path, const Field& field) const {
    const double value = number(node, field_path, field.min, field.max);
    if (field.is_integer && value != std::floor(value)) reject(field_path, "a whole number is needed");
    return value;
  }
  const Field* find_field(const std::string& name) const {
    const Field* const found = std::ranges::find_if(kFields, [&](const Field& f) { return name == f.name; });
    return found == std::end(kFields) ? nullptr : found;
  }

  Plan plan() const {
    for (const auto& [key, node] : table_) {
      static constexpr std::string_view kKeys[] = {"name",  "sweep",   "sizes", "plays",
                                                   "check", "seconds", "fixed"};
      if (std::ranges::find(kKeys, key.str()) == std::end(kKeys)) reject(std::string(key.str()), "not known");
    }
    Plan plan;
    plan.name = text(require("name"), "name");
    const bool plain = std::ranges::all_of(
        plan.name, [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; });
    if (plan.name.empty() || !plain) reject("name", "a-z, 0-9 and - only: files are named after it");
    plan.sweep = text(require("sweep"), "sweep");
    const Field* const swept = find_field(plan.sweep);
    if (swept == nullptr) reject("sweep", plan.sweep + " is not known");
    read_sizes(plan, *swept);
    plan.plays = static_cast<int>(number(require("plays"), "plays", {"plays", nullptr, 1, kMaxPlays, true}));
    plan.check = number(require("check"), "check", *swept);
    if (std::ranges::find(plan.sizes, plan.check) != plan.sizes.end()) reject("check", "is one of the sizes");
    plan.seconds = number(require("seconds"), "seconds", 0.2, kMaxSeconds);
    read_fixed(plan);
    return plan;
  }

 private:
  void read_sizes(Plan& plan, const Field& swept) const {
    const toml::node& sizes = require("sizes");
    if (!sizes.is_array()) reject("sizes", "a list is needed");
    for (const toml::node& size : *sizes.as_array()) plan.sizes.push_back(number(size, "sizes", swept));
    if (plan.sizes.size() < kMinSizes || plan.sizes.size() > kMaxSizes) reject("sizes", "4 to 20 are needed");
    if (!std::ranges::is_sorted(plan.sizes, std::less_equal<>()))
      reject("sizes", "each larger than the last");
  }
  void read_fixed(Plan& plan) const {
    const toml::node& fixed = require("fixed");
    if (!fixed.is_table()) reject("fixed", "a table is needed");
    for (const auto& [key, node] : *fixed.as_table()) {
      const std::string name(key.str()), field_path = "fixed." + name;
      if (name == plan.sweep) reject(field_path, "is swept");
      if (name == "semantics") {
        plan.fixed.semantics = choice(node, field_path, {"free", "guarded", "single_shot"});
        continue;
      }
      if (name == "waiting_as") {
        plan.fixed.waiting_as = choice(node, field_path, {"hang", "silent"});
        continue;
      }
      const Field* const field = find_field(name);
      if (field == nullptr) reject(field_path, "not known");
      plan.fixed.*field->member = number(node, field_path, *field);
    }
    for (const double size : {plan.sizes.back(), plan.check}) {
      const Setup setup = setup_at(plan, size);
      if (setup.open_jobs + setup.waiting_jobs > Executors::kMaxOpenAttempts)
        reject("open_jobs", "too many with waiting_jobs");
    }
  }
  const toml::table& table_;
  const std::string file_;
};

}  // namespace

Plan read_plan(const std::string& content, const std::string& file) {
  try {
    const toml::table table = toml::parse(content, file);
    return Reader(table, file).plan();
  } catch (const toml::parse_error& error) {
    throw BadPlan(file + ": " + std::string(error.description()));
  }
}

Setup setup_at(const Plan& plan, double size) {
  Setup setup = plan.fixed;
  for (const Field& field : kFields)
    if (plan.sweep == field.name) setup.*field.member = size;
  return setup;
}

}  // namespace canvasstage::lab::real
