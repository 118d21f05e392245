// Measures one node process with stand-ins for its clients, executors and discovery, over the sizes of one
// swept parameter. A play is one run at one size.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace canvasstage::lab::real {

// An invalid plan file. The message names the file and the field.
struct BadPlan : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The environment of the node in one play. Members are named as in the plan file; any number can be swept.
struct Setup {
  double executors = 100;    // in the executor list
  double open_jobs = 0;      // requests whose attempts report a start and keep running
  double waiting_jobs = 0;   // requests sent after open_jobs; no executor starts them (see waiting_as)
  double rate = 0;           // requests per second in the busy window
  double run_time = 0.05;    // seconds that an attempt runs in the busy window
  double list_changes = 0;   // entries that change per second
  double whole_lists = 0;    // 1: each change sends the whole list
  double gone = 0;           // executors removed in one update, in the middle of the idle window
  double reloads = 0;        // per minute, in the idle window
  double use_cases = 1;      // in the configuration; stands for tenants too, which the node does not know
  double sockets = 1024;     // limits.sockets of the node
  double memory_mb = 192;    // limits.memory_mb of the node
  double progress = 2;       // seconds between progress reports of an attempt; 0: one at the start
  double agreed_time = 120;  // target latency of the use cases, in seconds
  std::string waiting_as = "hang";  // hang: executors read and never answer; silent: they answer 200 only
  std::string semantics = "free";   // of the use cases: free, guarded or single_shot
};

// The content of a plan file.
struct Plan {
  std::string name, sweep;
  std::vector<double> sizes;  // at least 4, strictly ascending
  int plays = 0;              // at each size
  double check = 0;           // a size that is run and predicted, but left out of the fit
  double seconds = 0;         // length of the idle window, and of the busy one if `rate` is set
  Setup fixed;
};

// Reads a plan file. Throws BadPlan for a key or value that is unknown, missing or out of bounds.
Plan read_plan(const std::string& content, const std::string& file);
Setup setup_at(const Plan& plan, double size);

using MetricValues = std::map<std::string, double>;  // by the metric's name
// A metric with its unit and its description in the table.
struct MetricDefinition {
  std::string name, unit, what;
};
const std::vector<MetricDefinition>& metric_definitions();

// Runs one play. Throws StandinError if the node does not start or exits, or a stand-in cannot run.
MetricValues play(const Setup& setup, double seconds, const std::string& program);

struct Line {
  double slope = 0, intercept = 0;
  double residual = 0;  // root mean square of the deviations
};
// Fits a line by least squares to points (size, value).
Line fit_line(const std::vector<std::pair<double, double>>& points);

struct Result {
  Plan plan;
  std::map<double, std::vector<MetricValues>> plays;  // by size, including the check size
};
Result run(const Plan& plan, const std::string& program,
           const std::function<void(double size, int play)>& on_play_started);
std::string as_text(const Result& result);
std::string as_csv(const Result& result);

}  // namespace canvasstage::lab::real
