// What a file may say.
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
  double least, most;
  bool whole;
};

// Bounds of one machine that others use too, not of the product.
constexpr Field kFields[] = {
    {"executors", &Setup::executors, 1, Executors::kMostExecutors, true},
    {"open_jobs", &Setup::open_jobs, 0, Executors::kMostOpenJobs, true},
    {"waiting_jobs", &Setup::waiting_jobs, 0, Executors::kMostOpenJobs, true},
    {"rate", &Setup::rate, 0, 1000, false},
    {"run_time", &Setup::run_time, 0, 10, false},
    {"list_changes", &Setup::list_changes, 0, Executors::kMostExecutors, false},
    {"whole_lists", &Setup::whole_lists, 0, 1, true},
    {"gone", &Setup::gone, 0, Executors::kMostExecutors, true},
    {"reloads", &Setup::reloads, 0, 600, false},
    {"use_cases", &Setup::use_cases, 1, 1000, true},
    {"progress", &Setup::progress, 0, 60, false},
    {"agreed_time", &Setup::agreed_time, 0.01, 300, false},
    {"sockets", &Setup::sockets, 64, 16384, true},
    {"memory_mb", &Setup::memory_mb, 16, 4096, true},
};
constexpr double kMostSeconds = 120;
constexpr int kMostPlays = 20;
constexpr std::size_t kFewestSizes = 4, kMostSizes = 20;

class Reader {
 public:
  Reader(const toml::table& table, std::string file) : table_(table), file_(std::move(file)) {}

  [[noreturn]] void bad(const std::string& field, const std::string& what) const {
    throw BadPlan(file_ + ": " + field + ": " + what);
  }
  const toml::node& needed(const char* field) const {
    const toml::node* const node = table_.get(field);
    if (node == nullptr) bad(field, "is missing");
    return *node;
  }
  std::string text(const toml::node& node, const std::string& field) const {
    if (!node.is_string()) bad(field, "a string is needed");
    return *node.value<std::string>();
  }
  std::string one_of(const toml::node& node, const std::string& field,
                     std::initializer_list<std::string_view> words) const {
    std::string word = text(node, field);
    if (std::ranges::find(words, word) == words.end()) bad(field, word + " is not known");
    return word;
  }
  double number(const toml::node& node, const std::string& field, double least, double most) const {
    if (!node.is_number()) bad(field, "a number is needed");
    const double value = *node.value<double>();
    if (!(value >= least && value <= most)) {
      char bounds[64];
      std::snprintf(bounds, sizeof bounds, "%g to %g", least, most);
      bad(field, std::string("out of bounds: ") + bounds);
    }
    return value;
  }
  double number(const toml::node& node, const std::string& at, const Field& field) const {
    const double value = number(node, at, field.least, field.most);
    if (field.whole && value != std::floor(value)) bad(at, "a whole number is needed");
    return value;
  }
  const Field* known(const std::string& name) const {
    const Field* const found = std::ranges::find_if(kFields, [&](const Field& f) { return name == f.name; });
    return found == std::end(kFields) ? nullptr : found;
  }

  Plan plan() const {
    for (const auto& [key, node] : table_) {
      static constexpr std::string_view kKeys[] = {"name",  "sweep",   "sizes", "plays",
                                                   "check", "seconds", "fixed"};
      if (std::ranges::find(kKeys, key.str()) == std::end(kKeys)) bad(std::string(key.str()), "not known");
    }
    Plan plan;
    plan.name = text(needed("name"), "name");
    const bool plain = std::ranges::all_of(
        plan.name, [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; });
    if (plan.name.empty() || !plain) bad("name", "a-z, 0-9 and - only: files are named after it");
    plan.sweep = text(needed("sweep"), "sweep");
    const Field* const swept = known(plan.sweep);
    if (swept == nullptr) bad("sweep", plan.sweep + " is not known");
    read_sizes(plan, *swept);
    plan.plays = static_cast<int>(number(needed("plays"), "plays", {"plays", nullptr, 1, kMostPlays, true}));
    plan.check = number(needed("check"), "check", *swept);
    if (std::ranges::find(plan.sizes, plan.check) != plan.sizes.end()) bad("check", "is one of the sizes");
    plan.seconds = number(needed("seconds"), "seconds", 0.2, kMostSeconds);
    read_fixed(plan);
    return plan;
  }

 private:
  void read_sizes(Plan& plan, const Field& swept) const {
    const toml::node& sizes = needed("sizes");
    if (!sizes.is_array()) bad("sizes", "a list is needed");
    for (const toml::node& size : *sizes.as_array()) plan.sizes.push_back(number(size, "sizes", swept));
    if (plan.sizes.size() < kFewestSizes || plan.sizes.size() > kMostSizes)
      bad("sizes", "4 to 20 are needed");
    if (!std::ranges::is_sorted(plan.sizes, std::less_equal<>())) bad("sizes", "each larger than the last");
  }
  void read_fixed(Plan& plan) const {
    const toml::node& fixed = needed("fixed");
    if (!fixed.is_table()) bad("fixed", "a table is needed");
    for (const auto& [key, node] : *fixed.as_table()) {
      const std::string name(key.str()), at = "fixed." + name;
      if (name == plan.sweep) bad(at, "is swept");
      if (name == "semantics") {
        plan.fixed.semantics = one_of(node, at, {"free", "guarded", "single_shot"});
        continue;
      }
      if (name == "waiting_as") {
        plan.fixed.waiting_as = one_of(node, at, {"hang", "silent"});
        continue;
      }
      const Field* const field = known(name);
      if (field == nullptr) bad(at, "not known");
      plan.fixed.*field->member = number(node, at, *field);
    }
    for (const double size : {plan.sizes.back(), plan.check}) {
      const Setup setup = setup_at(plan, size);
      if (setup.open_jobs + setup.waiting_jobs > Executors::kMostOpenJobs)
        bad("open_jobs", "too many with waiting_jobs");
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
  } catch (const toml::parse_error& wrong) {
    throw BadPlan(file + ": " + std::string(wrong.description()));
  }
}

Setup setup_at(const Plan& plan, double size) {
  Setup setup = plan.fixed;
  for (const Field& field : kFields)
    if (plan.sweep == field.name) setup.*field.member = size;
  return setup;
}

}  // namespace canvasstage::lab::real
