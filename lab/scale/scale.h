// Measurements of cost against size, one TOML file each. The hollow kind drives the real core/Node in one
// process, with Effects that count and nothing behind them.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "experiment/experiment.h"

namespace canvasstage::lab {

// The sizes to design for, with room for one further doubling of executors.
constexpr int kMostExecutors = 6400;  // in one list
constexpr int kMostOpenJobs = 64000;  // that run, or wait for an answer, at all nodes together
constexpr int kMostNodes = 4000;      // in one process
constexpr int kMostZones = 64;        // in eight regions
constexpr int kMostUseCases = 4096;   // the figures' bound of classes
constexpr int kMostPlays = 20;        // of each size
constexpr double kMostEnd = 60;       // emulated seconds
constexpr double kMemoryPart = 0.5;   // of the machine's, by the estimate below
constexpr double kBytesAnExecutor = 1024, kBytesAJob = 2048;  // at a node: an upper estimate, not a figure

// What a node is measured at. Jobs are counted over all nodes.
struct Size {
  int executors = 3200, zones = 29, use_cases = 1, nodes = 1;
  int open_jobs = 0;  // begun, and running to the end
  int held_jobs = 0;  // handed in; no executor has answered yet
  int most_launches = 1;
  bool cancelling = false;
  double progress_every = 0;  // seconds between notes that an executor sends; 0: none
};

struct Measurement {
  std::string name, kind;
  double end = 0;     // emulated seconds through which timers run
  std::string field;  // of Size, swept
  std::vector<int> sizes;
  int check = 0;  // not used for the fit
  int plays = 3;
  std::vector<std::string> plot;  // figures that are drawn
  Size size;
};

// Throws BadExperiment, which names the file and the field, before anything runs.
Measurement read_measurement(const std::string& text, const std::string& file);
Size size_of(const Measurement& measurement, int value);

struct Figure {
  std::string name, unit;
  double value = 0;
};
// One play; `seed` is the nodes'. Names and order of the figures are the same at every size. Figures in us
// are of the thread's CPU clock, all others are counted and the same on every run.
std::vector<Figure> play(const Size& size, double end, std::uint32_t seed);

// A straight line through (sizes, medians) with the least sum of squares.
struct Fit {
  double slope = 0, intercept = 0;
  double residual = 0;  // root of the mean square, in the figure's unit
};
Fit fit(const std::vector<double>& x, const std::vector<double>& y);

struct Row {
  std::string name, unit;
  std::vector<Cell> cells;  // by size, over the plays
  Cell check;
  Fit line;
  double predicted = 0, difference = 0;  // at the check; (run - predicted) / predicted in per cent
};
struct ScaleTable {
  Measurement measurement;
  std::vector<Row> rows;
};
ScaleTable measure(const Measurement& measurement, const std::function<void(int size, int play)>& told = {});
std::string as_text(const ScaleTable& table);
std::string as_csv(const ScaleTable& table);
std::string as_svg(const ScaleTable& table);

// Heap bytes in use by `operator new`, as asked for: without what malloc adds. Counted by the lab's own
// operator new and delete (memory.cpp) for the calling thread.
std::int64_t bytes_in_use();

}  // namespace canvasstage::lab
