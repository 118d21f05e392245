// An experiment: a scenario, what is swept, and over how many seeds. Read from TOML; checked before it runs.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "emulator/emulator.h"

namespace canvasstage::lab {

// The message names the file and the field.
struct BadExperiment : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Experiment {
  std::string name;
  Scenario scenario;
  std::string field;           // of the scenario, swept
  std::vector<double> values;  // of it; one and no field: nothing is swept
  std::vector<std::string> policies;
  std::vector<Scenario> variants;  // of the scenario, by their names; none: the scenario alone
  int seeds = 3;
  std::uint64_t first_seed = 1;
  std::vector<std::string> measures;  // what the table and the plots show
};

// A line of the table: a policy in a variant of the scenario.
struct Line {
  std::string name, policy;
  Scenario scenario;
};
std::vector<Line> lines_of(const Experiment& experiment);

// `file` is named in messages.
Experiment read_experiment(const std::string& text, const std::string& file);

struct Cell {
  double median = 0, least = 0, most = 0;  // the mean in place of the median where the measure's unit says so
};

// At least one value; `mean`: their mean in place of the median.
Cell cell_of(std::vector<double> values, bool mean = false);

struct Table {
  std::string name, field;
  std::vector<std::string> lines, measures;
  std::vector<double> values;
  // By measure, line and value.
  std::vector<std::vector<std::vector<Cell>>> cells;
  std::uint64_t runs = 0, rules_broken = 0;
  std::vector<std::string> broken_words;
};

using Progress = std::function<void(const std::string& line, double value, std::uint64_t seed)>;
Table run_experiment(const Experiment& experiment, const Progress& progress = {});

std::string as_text(const Table& table);
std::string as_csv(const Table& table);
// One measure against what was swept, a line for each of the table's, from least to most over the seeds.
std::string as_svg(const Table& table, std::size_t measure);
// Its unit, for an axis; empty: a plain number.
std::string unit_of(const std::string& measure);

}  // namespace canvasstage::lab
