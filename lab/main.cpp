// The laboratory's command line.
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

int run(const std::string& file, const std::string& folder, bool quiet) {
  const Experiment experiment = read_experiment(content_of(file), file);
  const auto from = std::chrono::steady_clock::now();
  const Table table =
      run_experiment(experiment, [&](const std::string& policy, double value, std::uint64_t seed) {
        if (!quiet)
          std::cerr << policy << " " << experiment.field << " " << value << " seed " << seed << '\n';
      });
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - from;
  std::cout << as_text(table);
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  if (!quiet)
    std::cerr << took.count() << " s for " << static_cast<double>(table.runs) * experiment.scenario.length
              << " emulated seconds, " << used.ru_maxrss / 1024 << " MB at most\n";
  if (!folder.empty()) {
    write_file(folder + "/" + table.name + ".txt", as_text(table));
    write_file(folder + "/" + table.name + ".csv", as_csv(table));
    for (std::size_t m = 0; m < table.measures.size(); ++m)
      write_file(folder + "/" + table.name + "-" + table.measures[m] + ".svg", as_svg(table, m));
  }
  return table.rules_broken == 0 ? 0 : 3;
}

int scale(const std::string& file, const std::string& folder, bool quiet) {
  const Measurement measurement = read_measurement(content_of(file), file);
  const ScaleTable table = measure(measurement, [&](int size, int play) {
    if (!quiet) std::cerr << measurement.field << " " << size << " play " << play << '\n';
  });
  std::cout << as_text(table);
  if (folder.empty()) return 0;
  write_file(folder + "/" + measurement.name + ".txt", as_text(table));
  write_file(folder + "/" + measurement.name + ".csv", as_csv(table));
  write_file(folder + "/" + measurement.name + ".svg", as_svg(table));
  return 0;
}

// A real node among stand-ins; without a program's path the one beside this one.
int measure_real(const std::string& file, const std::string& folder, std::string program, bool quiet) {
  const real::Plan plan = real::read_plan(content_of(file), file);
  if (program.empty())
    program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "canvasstage";
  const real::Result result = real::run(plan, program, [&](double size, int play) {
    if (!quiet) std::cerr << plan.sweep << " " << size << " play " << play + 1 << '\n';
  });
  std::cout << real::as_text(result);
  if (folder.empty()) return 0;
  write_file(folder + "/" + plan.name + ".txt", real::as_text(result));
  write_file(folder + "/" + plan.name + ".csv", real::as_csv(result));
  return 0;
}

// A fleet that loses power, in each case with each seed.
int measure_power_loss(const std::string& folder, const std::string& program, int plays, int nodes,
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
  if (!folder.empty()) write_file(folder + "/power-loss.txt", table);
  return 0;
}

// The attempt log on and off, on disks that sync fast and slowly.
int measure_attempt_cost(const std::string& folder, int plays) {
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
  if (!folder.empty()) write_file(folder + "/attempt-cost.txt", table);
  return 0;
}

// Plays of many processes with overlapping troubles; 1 where a rule was broken on any seed.
int soak(const std::string& folder, int first_seed, int plays, double seconds, const std::string& only) {
  std::string table = fleet::soak_table_head();
  std::cout << table << std::flush;
  std::size_t violations = 0;
  for (int i = 0; i < plays; ++i) {
    const auto seed = static_cast<std::uint64_t>(first_seed + i);
    fleet::SoakPlan plan = fleet::usual_soak(seed);
    plan.seconds = seconds;
    if (!only.empty())
      std::erase_if(plan.troubles, [&](fleet::Trouble one) {
        return ("," + only + ",").find("," + std::string(name_of(one)) + ",") == std::string::npos;
      });
    if (plan.troubles.empty()) throw std::runtime_error("--only: no such trouble: " + only);
    const fleet::SoakReport report = fleet::play(plan);
    std::string row = fleet::soak_table_row(seed, report);
    for (const std::string& one : report.violations) row += "         " + one + "\n";
    table += row;
    std::cout << row << std::flush;
    violations += report.violations.size();
    if (folder.empty()) continue;
    std::string logs = report.timeline;
    for (const std::string& log : report.logs) logs += "\n" + log;
    write_file(folder + "/soak-" + std::to_string(seed) + ".log", logs);
  }
  if (!folder.empty()) write_file(folder + "/soak.txt", table);
  return violations > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("canvasstage's laboratory: many nodes in virtual time");
  app.require_subcommand(1);
  std::string file, folder, program;
  bool quiet = false;
  CLI::App* const running = app.add_subcommand("run", "runs an experiment and prints its table");
  running->add_option("experiment", file, "a TOML file")->required();
  running->add_option("--out", folder, "a folder for the table as text and CSV, and the plots");
  running->add_flag("--quiet", quiet, "the table alone, the same for the same file");
  CLI::App* const checking =
      app.add_subcommand("check", "reads an experiment and says what is wrong with it");
  checking->add_option("experiment", file, "a TOML file")->required();
  CLI::App* const scaling = app.add_subcommand("scale", "measures cost against size");
  scaling->add_option("measurement", file, "a TOML file")->required();
  scaling->add_option("--out", folder, "a folder for the table as text and CSV, and the plot");
  scaling->add_flag("--quiet", quiet, "no word of progress");
  CLI::App* const scaling_real =
      app.add_subcommand("scale-real", "measures a real node process against stand-ins over sizes");
  scaling_real->add_option("measurement", file, "a TOML file")->required();
  scaling_real->add_option("--out", folder, "a folder for the figures as text and CSV");
  scaling_real->add_option("--program", program, "the node's program; otherwise canvasstage beside this one");
  scaling_real->add_flag("--quiet", quiet, "no progress");
  int plays = 5, nodes = 6;
  bool recovery = false;
  CLI::App* const power_loss =
      app.add_subcommand("power-loss", "measures a fleet of real nodes that all lose power");
  power_loss->add_option("--out", folder, "a folder for the table as text");
  power_loss->add_option("--program", program, "the node's program; otherwise canvasstage beside this one");
  power_loss->add_option("--plays", plays, "plays of each case, each with a seed of its own")
      ->check(CLI::Range(1, 100));
  power_loss->add_option("--nodes", nodes, "nodes of the fleet")->check(CLI::Range(1, 100));
  power_loss->add_flag("--recovery", recovery, "each node keeps a store of its own");
  CLI::App* const attempt_cost =
      app.add_subcommand("attempt-cost", "measures what the attempt log costs a real node");
  attempt_cost->add_option("--out", folder, "a folder for the table as text");
  attempt_cost->add_option("--plays", plays, "plays of each row")->check(CLI::Range(1, 100));
  int first_seed = 1;
  double seconds = 20;
  std::string only;
  CLI::App* const soaking =
      app.add_subcommand("soak", "plays many real processes with overlapping troubles, judged by the rules");
  soaking->add_option("--out", folder, "a folder for the table, and the logs of each play");
  soaking->add_option("--seed", first_seed, "the first seed")->check(CLI::Range(1, 1000000));
  soaking->add_option("--plays", plays, "plays, each with the next seed")->check(CLI::Range(1, 1000));
  soaking->add_option("--seconds", seconds, "of each play")->check(CLI::Range(1, 600));
  soaking->add_option("--only", only, "these troubles alone, by name, with commas between");
  CLI11_PARSE(app, argc, argv);
  try {
    if (soaking->parsed()) return soak(folder, first_seed, plays, seconds, only);
    if (attempt_cost->parsed()) return measure_attempt_cost(folder, plays);
    if (power_loss->parsed()) return measure_power_loss(folder, program, plays, nodes, recovery);
    if (scaling_real->parsed()) return measure_real(file, folder, program, quiet);
    if (running->parsed()) return run(file, folder, quiet);
    if (scaling->parsed()) return scale(file, folder, quiet);
    read_experiment(content_of(file), file);
    std::cout << file << ": sound\n";
  } catch (const std::exception& failure) {
    std::cerr << "canvasstage-lab: " << failure.what() << '\n';
    return 1;
  }
  return 0;
}
