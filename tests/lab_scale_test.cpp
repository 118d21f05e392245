// Cost against size. The tests check counts that hold at every size, never times, and the checks of
// measurement files.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "scale/scale.h"

namespace canvasstage::lab {
namespace {

const std::string kSmall = R"(
name = "small"
kind = "hollow"
end = 0.2
field = "executors"
sizes = [4, 8, 16, 32]
check = 64
plays = 2
plot = ["arrival_us"]
[size]
zones = 3
)";

std::string measurement_error(const std::string& text) {
  try {
    read_measurement(text, "file.toml");
  } catch (const BadExperiment& error) {
    return error.what();
  }
  return "";
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

double metric_value(const std::vector<Metric>& metrics, const std::string& name) {
  for (const Metric& metric : metrics)
    if (metric.name == name) return metric.value;
  ADD_FAILURE() << name;
  return -1;
}

TEST(LabScale, ErrorNamesFileAndField) {
  EXPECT_EQ(measurement_error(kSmall), "");
  const std::vector<std::pair<std::string, std::string>> rows = {
      {replaced(kSmall, "end = 0.2", ""), "file.toml: end: is missing"},
      {replaced(kSmall, "end = 0.2", "end = 0"), "end"},
      {replaced(kSmall, "end = 0.2", "end = 61"), "end"},
      {replaced(kSmall, "check = 64", ""), "check: is missing"},
      {replaced(kSmall, "check = 64", "check = 16"), "check"},
      {replaced(kSmall, "plays = 2", "playz = 2"), "file.toml: playz: not known"},
      {replaced(kSmall, "zones = 3", "zonez = 3"), "file.toml: size.zonez: not known"},
      {replaced(kSmall, "zones = 3", "zones = 65"), "size.zones: 65"},
      {replaced(kSmall, "zones = 3", "open_jobs = 64001"), "size.open_jobs: 64001"},
      {replaced(kSmall, "zones = 3", "open_jobs = 64000\nheld_jobs = 1"), "size.held_jobs: 1"},
      {replaced(kSmall, "check = 64", "check = 6401"), "size.executors: 6401"},
      {replaced(kSmall, "[4, 8, 16, 32]", "[4, 8, 16, 6401]"), "size.executors: 6401"},
      {replaced(kSmall, "[4, 8, 16, 32]", "[4, 8, 16, 16]"), "sizes"},
      {replaced(kSmall, "\"executors\"", "\"most_launches\""), "field: most_launches"},
      {replaced(kSmall, "\"hollow\"", "\"holow\""), "kind: holow"},
      {replaced(kSmall, "arrival_us", "arrival_ms"), "plot: arrival_ms"},
      {replaced(kSmall, "plays = 2", "plays = 0"), "plays"}};
  for (const auto& [text, message] : rows)
    EXPECT_NE(measurement_error(text).find(message), std::string::npos) << message;
  EXPECT_NE(measurement_error(kSmall + "nodes = 4000\nuse_cases = 5000").find("size.use_cases: 5000"),
            std::string::npos);
}

TEST(LabScale, EveryHollowFileIsValid) {
  int files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(CANVASSTAGE_SOURCES "/lab/scale")) {
    if (entry.path().extension() != ".toml") continue;
    std::stringstream text;
    text << std::ifstream(entry.path()).rdbuf();
    if (text.str().find("kind = \"hollow\"") == std::string::npos) continue;
    EXPECT_NO_THROW(read_measurement(text.str(), entry.path().string()));
    ++files;
  }
  EXPECT_GT(files, 10);
}

TEST(LabScale, HeapBytesAreCountedAsRequested) {
  const std::int64_t before = bytes_in_use();
  auto block = std::make_unique<char[]>(1001);
  EXPECT_EQ(bytes_in_use(), before + 1001);
  block.reset();
  EXPECT_EQ(bytes_in_use(), before);
}

TEST(LabScale, CountsAreReproducible) {
  const Size size{.executors = 400, .nodes = 3, .open_jobs = 300, .held_jobs = 30};
  const std::vector<Metric> first = play(size, 0.5, 7), second = play(size, 0.5, 7);
  ASSERT_EQ(first.size(), second.size());
  for (std::size_t i = 0; i < first.size(); ++i)
    if (first[i].unit != "us" && first[i].unit != "ms") {
      EXPECT_EQ(first[i].value, second[i].value) << first[i].name;
    }
}

TEST(LabScale, ExecutorListFitsMemoryBudget) {
  const double list_bytes = metric_value(play({}, 0.1, 1), "listed_bytes");
  EXPECT_LE(list_bytes, 4 << 20);
  EXPECT_GE(list_bytes, 3200 * 500);
  EXPECT_EQ(metric_value(play({.nodes = 3}, 0.1, 1), "listed_bytes"), list_bytes);
  const std::vector<Metric> running = play({.open_jobs = 3765}, 0.1, 1);
  EXPECT_EQ(metric_value(running, "listed_bytes"), list_bytes);
  EXPECT_LE(metric_value(running, "each_open_bytes"), 600);
}

TEST(LabScale, MessagesAndTimersAreIndependentOfSize) {
  for (const int executors : {100, 3200})
    for (const int open : {0, 1000}) {
      const std::vector<Metric> metrics = play({.executors = executors, .open_jobs = open}, 1, 1);
      EXPECT_EQ(metric_value(metrics, "arrival_messages"), 1);  // the start of the attempt
      EXPECT_EQ(metric_value(metrics, "arrival_timers"), 3);    // deadline, request timer, attempt timeout
      EXPECT_EQ(metric_value(metrics, "ended_messages"), 1);    // the answer
      for (const char* const silent :
           {"taken", "started", "progressed", "one_change", "whole_list", "reload"}) {
        EXPECT_EQ(metric_value(metrics, silent + std::string("_messages")), 0) << silent;
        EXPECT_EQ(metric_value(metrics, silent + std::string("_timers")), 0) << silent;
      }
      EXPECT_EQ(metric_value(metrics, "timers_a_second"), 14);  // ten ticks of the node, four of its policy
    }
}

TEST(LabScale, RequestTimerRateIsBounded) {
  for (const int queued : {20, 40}) {
    const std::vector<Metric> metrics = play({.executors = 400, .held_jobs = queued}, 1, 1);
    EXPECT_GT(metric_value(metrics, "looks_a_second"), 0);
    EXPECT_LE(metric_value(metrics, "looks_a_second"), 20 * queued);
    EXPECT_LE(metric_value(metrics, "executors_a_look"), 400 - queued);
  }
}

// Requests whose attempts are used up cannot go to any executor. Each of their timers once scanned the whole
// executor list all the same.
TEST(LabScale, ExhaustedRequestsScanNoExecutors) {
  for (const int queued : {20, 200}) {
    const std::vector<Metric> metrics = play({.executors = 3200, .held_jobs = queued}, 1, 1);
    EXPECT_EQ(metric_value(metrics, "looks_a_second"), 20 * queued);
    EXPECT_EQ(metric_value(metrics, "executors_looked_at_a_second"), 0);
    EXPECT_EQ(metric_value(metrics, "picks_a_look"), 0);
  }
}

// Many queued requests may start a further attempt while no executor has capacity left. The cost must not
// grow with the product of executors and queued requests: a few failed scans in turn stand for all of them,
// and each scan sees only part of the list.
TEST(LabScale, ScansOfManyQueuedRequestsAreBounded) {
  // Per second: events that may free capacity (queued timers, ticks) and request timers; times failed scans,
  // passes over the list and executors of a pass.
  constexpr double kMaxExecutorsPerSecond = (50 + 14 + 20) * 4 * 2 * 512;
  for (const int executors : {200, 1600}) {
    const std::vector<Metric> metrics =
        play({.executors = executors, .held_jobs = executors + 400, .most_launches = 16, .cancelling = true},
             1, 1);
    EXPECT_LE(metric_value(metrics, "executors_looked_at_a_second"), kMaxExecutorsPerSecond) << executors;
    EXPECT_GT(metric_value(metrics, "picks_a_look"), 0);
  }
}

TEST(LabScale, SuccessfulScanSeesAtMostSixtyFourExecutors) {
  const std::vector<Metric> metrics =
      play({.executors = 400, .held_jobs = 20, .most_launches = 16, .cancelling = true}, 1, 1);
  EXPECT_GT(metric_value(metrics, "executors_a_look"), 0);
  EXPECT_LE(metric_value(metrics, "executors_a_look"), 64);
  EXPECT_LE(metric_value(metrics, "picks_a_look"), 1);
}

// A started attempt that cannot be cancelled must not cause a scan for another executor.
TEST(LabScale, AttemptWithoutCancellationCausesNoScan) {
  EXPECT_EQ(metric_value(play({.executors = 400, .held_jobs = 20, .most_launches = 4}, 1, 1), "picks_a_look"),
            0);
}

// Most requests wait for executors that have not answered; a timer for each would make the cost grow with
// them.
TEST(LabScale, QueuedRequestsShareOneTimer) {
  for (const int queued : {200, 400}) {
    const std::vector<Metric> metrics = play({.executors = 100, .held_jobs = queued}, 1, 1);
    EXPECT_EQ(metric_value(metrics, "held_timers_a_second"), 50);
    EXPECT_LE(metric_value(metrics, "looks_a_second"), 20 * 100);
  }
}

TEST(LabScale, LineIsFittedByLeastSquares) {
  const Fit exact = fit({1, 2, 4}, {5, 8, 14});
  EXPECT_DOUBLE_EQ(exact.slope, 3);
  EXPECT_DOUBLE_EQ(exact.intercept, 2);
  EXPECT_NEAR(exact.residual, 0, 1e-12);
  const Fit rough = fit({0, 1, 2, 3}, {1, 3, 2, 4});
  EXPECT_DOUBLE_EQ(rough.slope, 0.8);
  EXPECT_DOUBLE_EQ(rough.intercept, 1.3);
  EXPECT_NEAR(rough.residual, std::sqrt(0.45), 1e-12);
}

TEST(LabScale, TableShowsPredictionBesideRun) {
  const ScaleTable table = measure(read_measurement(kSmall, "file.toml"));
  const auto row = std::ranges::find(table.rows, "arrival_timers", &Row::name);
  ASSERT_NE(row, table.rows.end());
  EXPECT_EQ(row->cells.size(), 4u);
  EXPECT_EQ(row->check.median, 3);
  EXPECT_NEAR(row->predicted, 3, 1e-9);
  EXPECT_NE(as_text(table).find("64 predicted"), std::string::npos);
  EXPECT_NE(as_csv(table).find("arrival_timers,,64,check,3,3,3,"), std::string::npos);
  EXPECT_NE(as_svg(table).find("arrival_us"), std::string::npos);
}

}  // namespace
}  // namespace canvasstage::lab
