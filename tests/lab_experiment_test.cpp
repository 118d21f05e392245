// Experiments: what a file may say, and what comes of it.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "experiment/experiment.h"

namespace canvasstage::lab {
namespace {

const std::string kSmall = R"(
name = "small"
[scenario]
nodes = 2
executors = 4
length = 10
load = 0.6
[[scenario.class]]
name = "short"
work = 0.05
effect = "replayable"
[[scenario.fault]]
kind = "crash"
at = 3
length = 2
part = 0.25
[sweep]
field = "load"
values = [0.3, 0.6]
policies = ["node", "random"]
seeds = 2
)";

std::string wrong_with(const std::string& text) {
  try {
    read_experiment(text, "file.toml");
  } catch (const BadExperiment& wrong) {
    return wrong.what();
  }
  return "";
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(LabExperiment, WhatIsWrongIsNamedByFileAndField) {
  EXPECT_EQ(wrong_with(kSmall), "");
  const std::vector<std::pair<std::string, std::string>> rows = {
      {replaced(kSmall, "nodes = 2", "nodez = 2"), "scenario.nodez: not known"},
      {replaced(kSmall, "nodes = 2", "nodes = \"2\""), "scenario.nodes"},
      {replaced(kSmall, "nodes = 2", "nodes = 2.5"), "scenario.nodes"},
      {replaced(kSmall, "nodes = 2", "nodes = 0"), "scenario.nodes"},
      {replaced(kSmall, "load = 0.6", "load = -1"), "scenario.load"},
      {replaced(kSmall, "[0.3, 0.6]", "[0.3, -0.6]"), "scenario.load"},
      {replaced(kSmall, "load = 0.6", "load = nan"), "scenario.load"},
      {replaced(kSmall, "work = 0.05", "work = 0"), "scenario.class.short.work"},
      {replaced(kSmall, "\"replayable\"", "\"free\""), "scenario.class.effect"},
      {replaced(kSmall, "kind = \"crash\"", "kind = \"melt\""), "scenario.fault.kind"},
      {replaced(kSmall, "kind = \"crash\"\n", ""), "scenario.fault.kind: is missing"},
      {replaced(kSmall, "at = 3", "at = 30"), "scenario.fault.at"},
      {replaced(kSmall, "field = \"load\"", "field = \"name\""), "scenario.name"},
      {replaced(kSmall, "field = \"load\"\n", ""), "sweep.values"},
      {replaced(kSmall, "field = \"load\"", "field = \"nodes\""), "scenario.nodes: whole numbers"},
      {replaced(kSmall, "\"random\"", "\"best\""), "scenario.policy"},
      {replaced(kSmall, "seeds = 2", "seeds = 1000000"), "sweep.seeds"},
      {replaced(kSmall, "seeds = 2", "seeds = 0"), "sweep.seeds"},
      {replaced(kSmall, "seeds = 2", "seeds = 2\nmeasures = [\"joy\"]"), "sweep.measures: joy"},
      {replaced(kSmall, "name = \"small\"\n", ""), "name: is missing"},
      {replaced(kSmall, "name = \"small\"", "name = \"../small\""), "name"},
      {replaced(kSmall, "[scenario]", "[scenari]"), "scenari"},
      {"name = ", "line 1"},
      {"", "name"}};
  for (const auto& [text, field] : rows) {
    const std::string message = wrong_with(text);
    EXPECT_EQ(message.substr(0, 11), "file.toml: ") << field;
    EXPECT_NE(message.find(field), std::string::npos) << field << "\n" << message;
  }
}

TEST(LabExperiment, AVariantIsALineAndChangesOnlyWhatItNames) {
  const std::string text = kSmall +
                           "[[variant]]\nname = \"plain\"\n"
                           "[[variant]]\nname = \"silent\"\ntells_start = false\n";
  const Experiment experiment = read_experiment(text, "file.toml");
  const std::vector<Line> lines = lines_of(experiment);
  ASSERT_EQ(lines.size(), 4u);
  EXPECT_EQ(lines[0].name, "node plain");
  EXPECT_EQ(lines[3].name, "random silent");
  EXPECT_TRUE(lines[0].scenario.tells_start);
  EXPECT_FALSE(lines[3].scenario.tells_start);
  EXPECT_EQ(lines[3].scenario.executors, 4);
  EXPECT_EQ(lines[3].scenario.faults.size(), 1u);
  EXPECT_EQ(run_experiment(experiment).lines[3], "random silent");
  EXPECT_NE(wrong_with(kSmall + "[[variant]]\nnodes = 3\n").find("variant.name: is missing"),
            std::string::npos);
  EXPECT_NE(wrong_with(kSmall + "[[variant]]\nname = \"x\"\nnodez = 3\n").find("nodez: not known"),
            std::string::npos);
}

// Every cut of a sound file is read or refused, and never anything else.
TEST(LabExperiment, AFileThatIsCutAnywhereIsReadOrRefused) {
  for (std::size_t cut = 0; cut < kSmall.size(); ++cut) {
    const std::string message = wrong_with(kSmall.substr(0, cut));
    EXPECT_TRUE(message.empty() || message.substr(0, 11) == "file.toml: ") << cut << message;
  }
}

TEST(LabExperiment, TheSameFileGivesTheSameTable) {
  const Experiment experiment = read_experiment(kSmall, "file.toml");
  const Table table = run_experiment(experiment);
  EXPECT_EQ(table.runs, 8u);
  EXPECT_EQ(table.rules_broken, 0u) << as_text(table);
  EXPECT_EQ(as_csv(run_experiment(experiment)), as_csv(table));
  const std::string svg = as_svg(table, 0);
  for (const char* const part :
       {"<svg ", "service (part of the worth)", ">load<", ">node<", ">random<", "</svg>"})
    EXPECT_NE(svg.find(part), std::string::npos) << part;
}

// Those that CI runs: their tables are kept beside them, to the byte. Three are troubles of a fleet whose
// cost was in what all nodes do together (docs/lab/fleet.md).
class KeptExperiment : public testing::TestWithParam<std::string> {};

TEST_P(KeptExperiment, GivesItsTable) {
  const std::string path = std::string(CANVASSTAGE_SOURCES) + "/lab/experiments/" + GetParam();
  const auto content = [](const std::string& file) {
    std::stringstream all;
    all << std::ifstream(file).rdbuf();
    return all.str();
  };
  const std::string text = content(path + ".toml");
  ASSERT_FALSE(text.empty());
  EXPECT_EQ(as_text(run_experiment(read_experiment(text, GetParam() + ".toml"))), content(path + ".txt"));
}

INSTANTIATE_TEST_SUITE_P(LabExperiment, KeptExperiment, testing::Values("kept", "start", "zone", "replaced"),
                         [](const auto& one) { return one.param; });

}  // namespace
}  // namespace canvasstage::lab
