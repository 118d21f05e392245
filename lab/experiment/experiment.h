// An experiment: a scenario, the field that is swept and the seeds. Read from TOML and validated before it
// runs.
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
  std::string field;           // scenario field that is swept; empty: none
  std::vector<double> values;  // of `field`; a single 0 if no field is swept
  std::vector<std::string> policies;
  std::vector<Scenario> variants;  // named variants of the scenario; none: the scenario alone
  int seeds = 3;
  std::uint64_t first_seed = 1;
  std::vector<std::string> measures;  // shown in the table and the plots
};

// A row of the table: a policy in a variant of the scenario.
struct TableRow {
  std::string name, policy;
  Scenario scenario;
};
std::vector<TableRow> make_rows(const Experiment& experiment);

// Parses and validates an experiment; throws BadExperiment. `file` is named in error messages.
Experiment read_experiment(const std::string& text, const std::string& file);

// Statistics of one measure over the seeds.
struct Cell {
  double median = 0, least = 0, most = 0;  // `median` holds the mean if Measure::mean is set
};

// Needs at least one value. With `mean`, Cell::median holds the mean.
Cell cell_of(std::vector<double> values, bool mean = false);

// Results of an experiment.
struct Table {
  std::string name, field;
  std::vector<std::string> rows, measures;
  std::vector<double> values;
  // By measure, row and value.
  std::vector<std::vector<std::vector<Cell>>> cells;
  std::uint64_t runs = 0, violation_count = 0;
  std::vector<std::string> violation_messages;  // the first ones
};

// Called before each run with the row name, the swept value and the seed.
using Progress = std::function<void(const std::string& row, double value, std::uint64_t seed)>;
Table run_experiment(const Experiment& experiment, const Progress& progress = {});

std::string as_text(const Table& table);
std::string as_csv(const Table& table);
// Plots one measure against the swept field: a curve for each row, with bars from the least to the most over
// the seeds.
std::string as_svg(const Table& table, std::size_t measure);
// Returns the unit of a measure; empty for a plain number.
std::string unit_of(const std::string& measure);

}  // namespace canvasstage::lab
