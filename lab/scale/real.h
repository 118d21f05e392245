// Measures one real node process against stand-ins, over the sizes of one swept parameter.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace canvasstage::lab::real {

// The message names the file and the field.
struct BadPlan : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What surrounds the node in one play. Any of the numbers can be swept.
struct Setup {
  double executors = 100;   // in discovery's list
  double open_jobs = 0;     // taken by their executors, which tell of a start and go on running
  double waiting_jobs = 0;  // handed in after those, and begun by no executor (waiting_as)
  double rate = 0;          // jobs handed in a second while the node is busy
  double run_time = 0.05;   // seconds, of those
  double list_changes = 0;  // entries that change, a second
  double whole_lists = 0;   // 1: each change tells the whole list
  double gone = 0;          // executors that leave in one list, in the middle of the quiet window
  double reloads = 0;       // a minute, in the quiet window
  double use_cases = 1;     // in the configuration; the node knows no tenants, so a tenant stands as one
  double sockets = 1024;    // limits.sockets of the node
  double memory_mb = 192;   // limits.memory_mb of the node
  double progress = 2;  // seconds between two words of an executor on a running job; 0: none but the first
  double agreed_time = 120;         // seconds, of the use cases
  std::string waiting_as = "hang";  // executors read them and do not answer; silent: take them (200), no more
  std::string semantics = "free";   // of the use cases: free, guarded, single_shot
};

struct Plan {
  std::string name, sweep;
  std::vector<double> sizes;  // at least 4, each larger than the one before
  int plays = 0;              // for each size
  double check = 0;           // a size that is not fitted: predicted and run
  double seconds = 0;         // of the quiet window, and of the busy one where there is a rate
  Setup fixed;
};

// Reads a whole file and refuses what is unknown, missing or out of bounds before anything runs.
Plan read_plan(const std::string& content, const std::string& file);
Setup setup_at(const Plan& plan, double size);

using Figures = std::map<std::string, double>;  // by the measure's name
struct Measure {
  std::string name, unit, what;
};
const std::vector<Measure>& measures();

// One play; throws where the node does not come up or the stand-ins cannot.
Figures play(const Setup& setup, double seconds, const std::string& program);

struct Line {
  double slope = 0, intercept = 0;
  double residual = 0;  // root of the mean square of what the line leaves
};
// Least squares over points (size, figure).
Line fitted(const std::vector<std::pair<double, double>>& points);

struct Result {
  Plan plan;
  std::map<double, std::vector<Figures>> plays;  // by size, the check size too
};
Result run(const Plan& plan, const std::string& program,
           const std::function<void(double size, int play)>& told);
std::string as_text(const Result& result);
std::string as_csv(const Result& result);

}  // namespace canvasstage::lab::real
