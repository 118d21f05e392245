// Command line of canvasstage-lab.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "experiment/experiment.h"
#include "fleet/attempt_cost.h"
#include "fleet/power_loss.h"
#include "fleet/soak.h"
#include "scale/real.h"
#include "scale/scale.h"

namespace {

using namespace canvasstage::lab;

std::string content_of(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw BadExperiment(path + ": cannot be read");
  std::stringstream content;
  content << in.rdbuf();
  return content.str();
}

void write_file(const std::string& path, const std::string& content) {
  std::ofstream out(path);
  out << content;
  if (!out.flush()) throw BadExperiment(path + ": cannot be written");
}

int run(const std::string& file, const std::string& directory, bool quiet) {
  const Experiment experiment = read_experiment(content_of(file), file);
  const auto start = std::chrono::steady_clock::now();
  const Table table =
      run_experiment(experiment, [&](const std::string& policy, double value, std::uint64_t seed) {
        if (!quiet)
          std::cerr << policy << " " << experiment.field << " " << value << " seed " << seed << '\n';
      });
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  std::cout << as_text(table);
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  if (!quiet)
    std::cerr << elapsed.count() << " s for " << static_cast<double>(table.runs) * experiment.scenario.length
              << " emulated seconds, " << usage.ru_maxrss / 1024 << " MB at most\n";
  if (!directory.empty()) {
    write_file(directory + "/" + table.name + ".txt", as_text(table));
    write_file(directory + "/" + table.name + ".csv", as_csv(table));
    for (std::size_t m = 0; m < table.measures.size(); ++m)
      write_file(directory + "/" + table.name + "-" + table.measures[m] + ".svg", as_svg(table, m));
  }
  return table.violation_count == 0 ? 0 : 3;
}

int scale(const std::string& file, const std::string& directory, bool quiet) {
  const Measurement measurement = read_measurement(content_of(file), file);
  const ScaleTable table = measure(measurement, [&](int size, int play) {
    if (!quiet) std::cerr << measurement.field << " " << size << " play " << play << '\n';
  });
  std::cout << as_text(table);
  if (directory.empty()) return 0;
  write_file(directory + "/" + measurement.name + ".txt", as_text(table));
  write_file(directory + "/" + measurement.name + ".csv", as_csv(table));
  write_file(directory + "/" + measurement.name + ".svg", as_svg(table));
  return 0;
}

// Measures a real node with stand-ins. Without a program's path, uses canvasstage in this program's
// directory.
int measure_real(const std::string& file, const std::string& directory, std::string program, bool quiet) {
  const real::Plan plan = real::read_plan(content_of(file), file);
  if (program.empty())
    program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "canvasstage";
  const real::Result result = real::run(plan, program, [&](double size, int play) {
    if (!quiet) std::cerr << plan.sweep << " " << size << " play " << play + 1 << '\n';
  });
  std::cout << real::as_text(result);
  if (directory.empty()) return 0;
  write_file(directory + "/" + plan.name + ".txt", real::as_text(result));
  write_file(directory + "/" + plan.name + ".csv", real::as_csv(result));
  return 0;
}

// Plays each power-loss case with each seed.
int measure_power_loss(const std::string& directory, const std::string& program, int plays, int nodes,
                       bool recovery) {
  std::string table = fleet::table_head();
  std::cout << table << std::flush;
  for (const fleet::PowerLossCase which : fleet::kPowerLossCases)
    for (int seed = 1; seed <= plays; ++seed) {
      fleet::PowerLossPlan plan;
      plan.fleet.programs = fleet::programs_beside();
      if (!program.empty()) plan.fleet.programs.node = program;
      plan.fleet.nodes = nodes;
      plan.fleet.recovery = recovery;
      plan.fleet.seed = static_cast<std::uint64_t>(seed);
      const std::string row = table_row(which, plan.fleet.seed, fleet::play(plan, which));
      table += row;
      std::cout << row << std::flush;
    }
  if (!directory.empty()) write_file(directory + "/power-loss.txt", table);
  return 0;
}

// Measures the cost of the attempt log, off and on, for several durations of a disk sync.
int measure_attempt_cost(const std::string& directory, int plays) {
  std::string table = fleet::attempt_cost_head();
  std::cout << table << std::flush;
  constexpr std::pair<bool, double> kDisks[] = {{false, 0}, {true, 0}, {true, 1}, {true, 5}, {true, 20}};
  for (const double rate : {22.0, 200.0})
    for (const auto& [logged, sync_ms] : kDisks)
      for (int seed = 1; seed <= plays; ++seed) {
        fleet::AttemptCostPlan plan;
        plan.fleet.programs = fleet::programs_beside();
        plan.fleet.seed = static_cast<std::uint64_t>(seed);
        plan.rate = rate;
        plan.logged = logged;
        plan.sync_ms = sync_ms;
        const std::string row = attempt_cost_row(plan, fleet::measure(plan));
        table += row;
        std::cout << row << std::flush;
      }
  if (!directory.empty()) write_file(directory + "/attempt-cost.txt", table);
  return 0;
}

// Plays a fleet with overlapping faults for each seed. Returns 1 if any play violated a rule.
int soak(const std::string& directory, int first_seed, int plays, double seconds, const std::string& only) {
  std::string table = fleet::soak_table_head();
  std::cout << table << std::flush;
  std::size_t violations = 0;
  for (int i = 0; i < plays; ++i) {
    const auto seed = static_cast<std::uint64_t>(first_seed + i);
    fleet::SoakPlan plan = fleet::usual_soak(seed);
    plan.seconds = seconds;
    if (!only.empty())
      std::erase_if(plan.troubles, [&](fleet::Trouble trouble) {
        return ("," + only + ",").find("," + std::string(name_of(trouble)) + ",") == std::string::npos;
      });
    if (plan.troubles.empty()) throw std::runtime_error("--only: no such trouble: " + only);
    const fleet::SoakReport report = fleet::play(plan);
    std::string row = fleet::soak_table_row(seed, report);
    for (const std::string& violation : report.violations) row += "         " + violation + "\n";
    table += row;
    std::cout << row << std::flush;
    violations += report.violations.size();
    if (directory.empty()) continue;
    std::string logs = report.timeline;
    for (const std::string& log : report.logs) logs += "\n" + log;
    write_file(directory + "/soak-" + std::to_string(seed) + ".log", logs);
  }
  if (!directory.empty()) write_file(directory + "/soak.txt", table);
  return violations > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("canvasstage-lab: experiments and measurements of canvasstage nodes, emulated and real");
  app.require_subcommand(1);
  std::string file, directory, program;
  bool quiet = false;
  CLI::App* const run_command = app.add_subcommand("run", "run an experiment and print its table");
  run_command->add_option("experiment", file, "a TOML file")->required();
  run_command->add_option("--out", directory, "directory for the table as text and CSV, and for the plots");
  run_command->add_flag("--quiet", quiet, "print the table alone, which is the same for the same file");
  CLI::App* const check_command = app.add_subcommand("check", "read an experiment and report errors in it");
  check_command->add_option("experiment", file, "a TOML file")->required();
  CLI::App* const scale_command = app.add_subcommand("scale", "measure cost against size");
  scale_command->add_option("measurement", file, "a TOML file")->required();
  scale_command->add_option("--out", directory, "directory for the table as text and CSV, and for the plot");
  scale_command->add_flag("--quiet", quiet, "do not print progress");
  CLI::App* const scale_real_command =
      app.add_subcommand("scale-real", "measure a real node process with stand-ins over several sizes");
  scale_real_command->add_option("measurement", file, "a TOML file")->required();
  scale_real_command->add_option("--out", directory, "directory for the metrics as text and CSV");
  scale_real_command->add_option(
      "--program", program, "path of the node's program; by default canvasstage in this program's directory");
  scale_real_command->add_flag("--quiet", quiet, "do not print progress");
  int plays = 5, nodes = 6;
  bool recovery = false;
  CLI::App* const power_loss_command =
      app.add_subcommand("power-loss", "measure a fleet of real nodes that all lose power");
  power_loss_command->add_option("--out", directory, "directory for the table as text");
  power_loss_command->add_option(
      "--program", program, "path of the node's program; by default canvasstage in this program's directory");
  power_loss_command->add_option("--plays", plays, "plays of each case, each with its own seed")
      ->check(CLI::Range(1, 100));
  power_loss_command->add_option("--nodes", nodes, "nodes in the fleet")->check(CLI::Range(1, 100));
  power_loss_command->add_flag("--recovery", recovery, "give each node its own store");
  CLI::App* const attempt_cost_command =
      app.add_subcommand("attempt-cost", "measure the cost of the attempt log of a real node");
  attempt_cost_command->add_option("--out", directory, "directory for the table as text");
  attempt_cost_command->add_option("--plays", plays, "plays of each row")->check(CLI::Range(1, 100));
  int first_seed = 1;
  double seconds = 20;
  std::string only;
  CLI::App* const soak_command = app.add_subcommand(
      "soak", "play a fleet of real processes with overlapping faults and check the rules");
  soak_command->add_option("--out", directory, "directory for the table and the logs of each play");
  soak_command->add_option("--seed", first_seed, "seed of the first play")->check(CLI::Range(1, 1000000));
  soak_command->add_option("--plays", plays, "number of plays; each uses the next seed")
      ->check(CLI::Range(1, 1000));
  soak_command->add_option("--seconds", seconds, "duration of each play")->check(CLI::Range(1, 600));
  soak_command->add_option("--only", only, "comma-separated names of the only faults to inject");
  CLI11_PARSE(app, argc, argv);
  try {
    if (soak_command->parsed()) return soak(directory, first_seed, plays, seconds, only);
    if (attempt_cost_command->parsed()) return measure_attempt_cost(directory, plays);
    if (power_loss_command->parsed()) return measure_power_loss(directory, program, plays, nodes, recovery);
    if (scale_real_command->parsed()) return measure_real(file, directory, program, quiet);
    if (run_command->parsed()) return run(file, directory, quiet);
    if (scale_command->parsed()) return scale(file, directory, quiet);
    read_experiment(content_of(file), file);
    std::cout << file << ": sound\n";
  } catch (const std::exception& failure) {
    std::cerr << "canvasstage-lab: " << failure.what() << '\n';
    return 1;
  }
  return 0;
}
