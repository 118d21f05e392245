// Measurements of cost against size, each described by one TOML file. The kind `hollow` drives the real
// core/Node in one process; its Effects only count calls. A play is one run of a measurement at one size.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "experiment/experiment.h"

namespace canvasstage::lab {

// Largest sizes that the design covers, with room for one further doubling of the executors.
constexpr int kMaxExecutors = 6400;      // in one executor list
constexpr int kMaxOpenRequests = 64000;  // running or waiting for an answer, over all nodes
constexpr int kMaxNodes = 4000;          // in one process
constexpr int kMaxZones = 64;            // spread over eight regions
constexpr int kMaxUseCases = 4096;       // the metrics' limit of classes
constexpr int kMaxPlays = 20;            // at each size
constexpr double kMaxEndSeconds = 60;    // emulated seconds
// Share of the machine's memory that a size may need by the two estimates below.
constexpr double kMaxMemoryShare = 0.5;
constexpr double kBytesPerExecutor = 1024,
                 kBytesPerRequest = 2048;  // at a node: upper estimates, not measurements

// The size at which nodes are measured. Requests are counted over all nodes. Members are named as in the
// file.
struct Size {
  int executors = 3200, zones = 29, use_cases = 1, nodes = 1;
  int open_jobs = 0;  // requests whose attempt runs until the end
  int held_jobs = 0;  // requests sent that no executor has answered
  int most_launches = 1;
  bool cancelling = false;
  double progress_every = 0;  // seconds between an executor's progress reports; 0: none
};

// The content of a measurement file.
struct Measurement {
  std::string name, kind;
  double end = 0;     // emulated seconds for which the timers run
  std::string field;  // the member of Size that is swept
  std::vector<int> sizes;
  int check = 0;  // a size that is left out of the fit and predicted from it
  int plays = 3;
  std::vector<std::string> plot;  // names of the metrics to draw
  Size size;
};

// Throws BadExperiment with the file and the field of the first error, before anything runs.
Measurement read_measurement(const std::string& text, const std::string& file);
Size size_of(const Measurement& measurement, int value);

// A measured quantity.
struct Metric {
  std::string name, unit;
  double value = 0;
};
// Runs one play; the nodes' random seeds start at `seed`. Names and order of the metrics are the same at
// every size. Metrics in us or ms are CPU time of the thread; all others are counts and the same on every
// run.
std::vector<Metric> play(const Size& size, double end, std::uint32_t seed);

// A straight line fitted by least squares.
struct Fit {
  double slope = 0, intercept = 0;
  double residual = 0;  // root mean square, in the metric's unit
};
Fit fit(const std::vector<double>& x, const std::vector<double>& y);

// One metric over all sizes.
struct Row {
  std::string name, unit;
  std::vector<Cell> cells;  // by size, each over all plays
  Cell check;
  Fit line;
  double predicted = 0,
         difference_percent = 0;  // at the check size; (run - predicted) / |predicted| in per cent
};
struct ScaleTable {
  Measurement measurement;
  std::vector<Row> rows;
};
// Runs all plays and fits a line to each metric. `on_play_started` is called before each counted play.
ScaleTable measure(const Measurement& measurement,
                   const std::function<void(int size, int play)>& on_play_started = {});
std::string as_text(const ScaleTable& table);
std::string as_csv(const ScaleTable& table);
std::string as_svg(const ScaleTable& table);

// Heap bytes allocated by `operator new` and not freed, as requested, without malloc's overhead. Counted per
// calling thread by the lab's own operator new and delete (memory.cpp).
std::int64_t bytes_in_use();

}  // namespace canvasstage::lab
