// The four rules, checked from outside: by what was sent, what a node had been told by then, and what clients
// got. Shares nothing with the nodes' own guards.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "emulator/events.h"
#include "emulator/scenario.h"

namespace canvasstage::lab {

enum class Rule { kOneAnswer, kNoRepeat, kDrain, kCold };
constexpr std::size_t kRules = 4;

// What all nodes together sent to executors that had just started. In requests of mean work: N is what the
// settings allow for the capacity of the moment in one fall_span, the limit is N + 2 sqrt(N) + 2.
struct ColdCount {
  std::uint64_t executors = 0, fallen = 0;  // starts, and those with more than the limit in any span
  double highest = 0;                       // sent in a span, in limits
  double use = 0;                           // sent in the whole warm-up by what N allows; mean of the starts
};

class Rules {
 public:
  explicit Rules(const Scenario& scenario);

  void executor_is(int executor, int zone, int cell, double capacity);
  // From then on it is cold.
  void executor_started(int executor, Micros now);
  // The node's list holds it as ready, or no more.
  void told(int node, int executor, bool ready, Micros now);

  void taken(std::uint64_t job, int use_case, Micros due);
  void launched(std::uint64_t job, std::uint64_t launch, int node, int executor, double work, Micros now);
  // The node was told how it ended, and that proves that it never ran.
  void never_ran(std::uint64_t job, std::uint64_t launch);
  // Its connection is closed or it has ended: no longer out.
  void not_out(std::uint64_t job, std::uint64_t launch);
  void answered(std::uint64_t job, bool pushed_back, Micros now);
  void client_left(std::uint64_t job);
  // The run is over: whoever should have been answered by now was.
  void ended(Micros now);

  std::uint64_t broken(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  std::uint64_t broken() const;
  const std::vector<std::string>& first_words() const { return words_; }
  const ColdCount& cold() const { return cold_; }

 private:
  struct Sent {
    std::uint64_t launch;
    int executor;
    Micros when;
    bool may_have_run = true, out = true;
  };
  struct Job {
    int use_case = 0;
    Micros due = 0;
    bool over = false;
    std::vector<Sent> sent;
  };
  struct Executor {
    int zone = 0, cell = 0;
    double capacity = 1;
    Micros started = -1;
    std::deque<std::pair<Micros, double>> cold;
    double cold_sum = 0;
    // In requests of mean work: of the last span, their sum, of the whole warm-up, and the highest in limits.
    std::deque<std::pair<Micros, double>> requests;
    double in_span = 0, in_all = 0, highest = 0;
  };
  void breaks(Rule rule, Micros now, const std::string& what);
  void check_repeat(const Job& job, int executor, Micros now);
  void check_cold(Executor& executor, int index, double work, Micros now);
  void count_cold(Executor& executor, int use_case, Micros now);
  double allowed(const Executor& executor, double part) const;
  void end_of_cold(Executor& executor, Micros now);

  const Scenario& scenario_;
  std::vector<Executor> executors_;
  std::unordered_map<std::uint64_t, Job> jobs_;
  std::unordered_map<std::uint64_t, Micros> not_ready_since_;  // by node and executor
  std::array<std::uint64_t, kRules> counts_{};
  std::vector<std::string> words_;
  ColdCount cold_;
};

}  // namespace canvasstage::lab
