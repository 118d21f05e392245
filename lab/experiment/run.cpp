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

std::string number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", value);
  return text;
}

}  // namespace

Cell cell_of(std::vector<double> values, bool mean) {
  std::sort(values.begin(), values.end());
  const std::size_t half = values.size() / 2;
  const double median = values.size() % 2 == 1 ? values[half] : (values[half - 1] + values[half]) / 2;
  const double sum = std::accumulate(values.begin(), values.end(), 0.0);
  return {mean ? sum / static_cast<double>(values.size()) : median, values.front(), values.back()};
}

const std::vector<Measure>& measures() {
  static const std::vector<Measure> kAll = {
      {"service", "part of the worth", [](const Result& r) { return r.service; }},
      {"latency_mean", "s", [](const Result& r) { return r.latency_mean; }},
      {"latency_p50", "s", [](const Result& r) { return r.latency_p50; }},
      {"latency_p99", "s", [](const Result& r) { return r.latency_p99; }},
      {"stay", "s", [](const Result& r) { return r.stay; }},
      {"launches", "a request", [](const Result& r) { return r.launches_a_request; }},
      {"connections", "a request", [](const Result& r) { return r.connections_a_request; }},
      {"list_calls", "", [](const Result& r) { return static_cast<double>(r.list_calls); }},
      {"most_over_mean", "", [](const Result& r) { return r.most_over_mean; }},
      {"cold", "executors that started",
       [](const Result& r) { return static_cast<double>(r.cold.executors); }},
      {"cold_fallen", "mean of the runs, executors",
       [](const Result& r) { return static_cast<double>(r.cold.fallen); }, true},
      {"cold_runs", "part of the runs with a fall",
       [](const Result& r) { return r.cold.fallen > 0 ? 1.0 : 0.0; }, true},
      {"cold_highest", "of the limit", [](const Result& r) { return r.cold.highest; }},
      {"cold_use", "mean of the runs, of N", [](const Result& r) { return r.cold.use; }, true},
  };
  return kAll;
}

std::string unit_of(const std::string& measure) {
  for (const Measure& one : measures())
    if (one.name == measure) return one.unit;
  return "";
}

std::vector<Line> lines_of(const Experiment& experiment) {
  std::vector<Line> lines;
  for (const std::string& policy : experiment.policies) {
    if (experiment.variants.empty()) lines.push_back({policy, policy, experiment.scenario});
    for (const Scenario& variant : experiment.variants)
      lines.push_back({(experiment.policies.size() > 1 ? policy + " " : "") + variant.name, policy, variant});
  }
  return lines;
}

Scenario scenario_of(const Experiment& experiment, const Line& line, double value) {
  Scenario scenario = line.scenario;
  scenario.policy = line.policy;
  if (experiment.field.empty()) return scenario;
  bool found = false;
  each_field(scenario, [&](const char* name, auto& member) {
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
  if (!found) throw BadScenario(experiment.field + ": no number of a scenario");
  return scenario;
}

Table run_experiment(const Experiment& experiment, const Progress& progress) {
  const std::vector<Line> lines = lines_of(experiment);
  Table table{experiment.name, experiment.field, {}, experiment.measures, experiment.values, {}, 0, 0, {}};
  for (const Line& line : lines) table.lines.push_back(line.name);
  std::vector<const Measure*> shown;
  for (const std::string& name : experiment.measures)
    for (const Measure& one : measures())
      if (one.name == name) shown.push_back(&one);
  table.cells.assign(shown.size(), std::vector(lines.size(), std::vector<Cell>(experiment.values.size())));
  for (std::size_t p = 0; p < lines.size(); ++p)
    for (std::size_t v = 0; v < experiment.values.size(); ++v) {
      std::vector<std::vector<double>> seen(shown.size());
      for (int i = 0; i < experiment.seeds; ++i) {
        const std::uint64_t seed = experiment.first_seed + static_cast<std::uint64_t>(i);
        if (progress) progress(lines[p].name, experiment.values[v], seed);
        Emulator emulator(scenario_of(experiment, lines[p], experiment.values[v]), seed);
        const Result result = emulator.run();
        ++table.runs;
        table.rules_broken += result.rules_broken();
        for (const std::string& words : result.broken_words)
          if (table.broken_words.size() < 20) table.broken_words.push_back(lines[p].name + ": " + words);
        for (std::size_t m = 0; m < shown.size(); ++m) seen[m].push_back(shown[m]->of(result));
      }
      for (std::size_t m = 0; m < shown.size(); ++m)
        table.cells[m][p][v] = cell_of(std::move(seen[m]), shown[m]->mean);
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
      std::snprintf(line, sizeof line, " %26s", table.field.empty() ? "" : number(value).c_str());
      out += line;
    }
    out += "\n";
    for (std::size_t p = 0; p < table.lines.size(); ++p) {
      std::snprintf(line, sizeof line, "%-20s", table.lines[p].c_str());
      out += line;
      for (const Cell& cell : table.cells[m][p]) {
        const std::string words =
            number(cell.median) + " (" + number(cell.least) + " to " + number(cell.most) + ")";
        std::snprintf(line, sizeof line, " %26s", words.c_str());
        out += line;
      }
      out += "\n";
    }
  }
  out += "\nrules broken: " + std::to_string(table.rules_broken) + "\n";
  for (const std::string& words : table.broken_words) out += "  " + words + "\n";
  return out;
}

std::string as_csv(const Table& table) {
  std::string out =
      "measure,policy," + (table.field.empty() ? std::string("value") : table.field) + ",median,least,most\n";
  char line[256];
  for (std::size_t m = 0; m < table.measures.size(); ++m)
    for (std::size_t p = 0; p < table.lines.size(); ++p)
      for (std::size_t v = 0; v < table.values.size(); ++v) {
        const Cell& cell = table.cells[m][p][v];
        std::snprintf(line, sizeof line, "%s,%s,%.9g,%.9g,%.9g,%.9g\n", table.measures[m].c_str(),
                      table.lines[p].c_str(), table.values[v], cell.median, cell.least, cell.most);
        out += line;
      }
  return out;
}

}  // namespace canvasstage::lab
