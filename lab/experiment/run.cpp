#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <numeric>
#include <type_traits>

#include "experiment/experiment.h"
#include "experiment/fields.h"

namespace canvasstage::lab {
namespace {

std::string format_number(double value) {
  char buffer[32];
  std::snprintf(buffer, sizeof buffer, "%.4g", value);
  return buffer;
}

}  // namespace

Cell cell_of(std::vector<double> values, bool mean) {
  std::sort(values.begin(), values.end());
  const std::size_t middle = values.size() / 2;
  const double median = values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return {mean ? sum / static_cast<double>(values.size()) : median, values.front(), values.back()};
}

const std::vector<Measure>& measures() {
  static const std::vector<Measure> kAll = {
      {"service", "part of the worth", [](const Result& r) { return r.service; }},
      {"latency_mean", "s", [](const Result& r) { return r.latency_mean; }},
      {"latency_p50", "s", [](const Result& r) { return r.latency_p50; }},
      {"latency_p99", "s", [](const Result& r) { return r.latency_p99; }},
      {"stay", "s", [](const Result& r) { return r.mean_stay; }},
      {"launches", "a request", [](const Result& r) { return r.attempts_per_request; }},
      {"connections", "a request", [](const Result& r) { return r.connections_per_request; }},
      {"list_calls", "", [](const Result& r) { return static_cast<double>(r.membership_calls); }},
      {"most_over_mean", "", [](const Result& r) { return r.peak_to_mean; }},
      {"cold", "executors that started",
       [](const Result& r) { return static_cast<double>(r.cold.executors); }},
      {"cold_fallen", "mean of the runs, executors",
       [](const Result& r) { return static_cast<double>(r.cold.overloaded); }, true},
      {"cold_runs", "part of the runs with a fall",
       [](const Result& r) { return r.cold.overloaded > 0 ? 1.0 : 0.0; }, true},
      {"cold_highest", "of the limit", [](const Result& r) { return r.cold.peak_load; }},
      {"cold_use", "mean of the runs, of N", [](const Result& r) { return r.cold.budget_use; }, true},
  };
  return kAll;
}

std::string unit_of(const std::string& measure) {
  for (const Measure& known : measures())
    if (known.name == measure) return known.unit;
  return "";
}

std::vector<TableRow> make_rows(const Experiment& experiment) {
  std::vector<TableRow> rows;
  for (const std::string& policy : experiment.policies) {
    if (experiment.variants.empty()) rows.push_back({policy, policy, experiment.scenario});
    for (const Scenario& variant : experiment.variants)
      rows.push_back({(experiment.policies.size() > 1 ? policy + " " : "") + variant.name, policy, variant});
  }
  return rows;
}

Scenario make_scenario(const Experiment& experiment, const TableRow& row, double value) {
  Scenario scenario = row.scenario;
  scenario.policy = row.policy;
  if (experiment.field.empty()) return scenario;
  bool found = false;
  for_each_field(scenario, [&](const char* name, auto& member) {
    using Field = std::remove_reference_t<decltype(member)>;
    if (experiment.field != name) return;
    if constexpr (std::is_same_v<Field, double>) {
      member = value;
      found = true;
    } else if constexpr (std::is_same_v<Field, int>) {
      if (value != std::floor(value) || std::abs(value) > 1e9)
        throw BadScenario(experiment.field + ": whole numbers are needed");
      member = static_cast<int>(value);
      found = true;
    }
  });
  if (!found) throw BadScenario(experiment.field + ": not a numeric scenario field");
  return scenario;
}

Table run_experiment(const Experiment& experiment, const Progress& progress) {
  const std::vector<TableRow> rows = make_rows(experiment);
  Table table{experiment.name, experiment.field, {}, experiment.measures, experiment.values, {}, 0, 0, {}};
  for (const TableRow& row : rows) table.rows.push_back(row.name);
  std::vector<const Measure*> shown_measures;
  for (const std::string& name : experiment.measures)
    for (const Measure& measure : measures())
      if (measure.name == name) shown_measures.push_back(&measure);
  table.cells.assign(shown_measures.size(),
                     std::vector(rows.size(), std::vector<Cell>(experiment.values.size())));
  for (std::size_t p = 0; p < rows.size(); ++p)
    for (std::size_t v = 0; v < experiment.values.size(); ++v) {
      std::vector<std::vector<double>> samples(shown_measures.size());
      for (int i = 0; i < experiment.seeds; ++i) {
        const std::uint64_t seed = experiment.first_seed + static_cast<std::uint64_t>(i);
        if (progress) progress(rows[p].name, experiment.values[v], seed);
        Emulator emulator(make_scenario(experiment, rows[p], experiment.values[v]), seed);
        const Result result = emulator.run();
        ++table.runs;
        table.violation_count += result.violation_count();
        for (const std::string& message : result.violation_messages)
          if (table.violation_messages.size() < 20)
            table.violation_messages.push_back(rows[p].name + ": " + message);
        for (std::size_t m = 0; m < shown_measures.size(); ++m)
          samples[m].push_back(shown_measures[m]->value_of(result));
      }
      for (std::size_t m = 0; m < shown_measures.size(); ++m)
        table.cells[m][p][v] = cell_of(std::move(samples[m]), shown_measures[m]->mean);
    }
  return table;
}

std::string as_text(const Table& table) {
  std::string out =
      table.name + ": median (least to most) of the seeds, " + std::to_string(table.runs) + " runs\n";
  char line[256];
  for (std::size_t m = 0; m < table.measures.size(); ++m) {
    const std::string unit = unit_of(table.measures[m]);
    out += "\n" + table.measures[m] + (unit.empty() ? "" : ", " + unit) + "\n";
    std::snprintf(line, sizeof line, "%-20s", table.field.empty() ? "policy" : table.field.c_str());
    out += line;
    for (const double value : table.values) {
      std::snprintf(line, sizeof line, " %26s", table.field.empty() ? "" : format_number(value).c_str());
      out += line;
    }
    out += "\n";
    for (std::size_t p = 0; p < table.rows.size(); ++p) {
      std::snprintf(line, sizeof line, "%-20s", table.rows[p].c_str());
      out += line;
      for (const Cell& cell : table.cells[m][p]) {
        const std::string summary = format_number(cell.median) + " (" + format_number(cell.least) + " to " +
                                    format_number(cell.most) + ")";
        std::snprintf(line, sizeof line, " %26s", summary.c_str());
        out += line;
      }
      out += "\n";
    }
  }
  out += "\nrules broken: " + std::to_string(table.violation_count) + "\n";
  for (const std::string& message : table.violation_messages) out += "  " + message + "\n";
  return out;
}

std::string as_csv(const Table& table) {
  std::string out =
      "measure,policy," + (table.field.empty() ? std::string("value") : table.field) + ",median,least,most\n";
  char line[256];
  for (std::size_t m = 0; m < table.measures.size(); ++m)
    for (std::size_t p = 0; p < table.rows.size(); ++p)
      for (std::size_t v = 0; v < table.values.size(); ++v) {
        const Cell& cell = table.cells[m][p][v];
        std::snprintf(line, sizeof line, "%s,%s,%.9g,%.9g,%.9g,%.9g\n", table.measures[m].c_str(),
                      table.rows[p].c_str(), table.values[v], cell.median, cell.least, cell.most);
        out += line;
      }
  return out;
}

}  // namespace canvasstage::lab
