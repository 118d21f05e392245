// Reading of experiment files, their error messages, and the tables that experiments produce.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "experiment/experiment.h"

namespace canvasstage::lab {
namespace {

const std::string kSmallExperiment = R"(
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

std::string error_of(const std::string& text) {
  try {
    read_experiment(text, "file.toml");
  } catch (const BadExperiment& error) {
    return error.what();
  }
  return "";
}

std::string replace_text(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(LabExperiment, ErrorsNameFileAndField) {
  EXPECT_EQ(error_of(kSmallExperiment), "");
  const std::vector<std::pair<std::string, std::string>> rows = {
      {replace_text(kSmallExperiment, "nodes = 2", "nodez = 2"), "scenario.nodez: not known"},
      {replace_text(kSmallExperiment, "nodes = 2", "nodes = \"2\""), "scenario.nodes"},
      {replace_text(kSmallExperiment, "nodes = 2", "nodes = 2.5"), "scenario.nodes"},
      {replace_text(kSmallExperiment, "nodes = 2", "nodes = 0"), "scenario.nodes"},
      {replace_text(kSmallExperiment, "load = 0.6", "load = -1"), "scenario.load"},
      {replace_text(kSmallExperiment, "[0.3, 0.6]", "[0.3, -0.6]"), "scenario.load"},
      {replace_text(kSmallExperiment, "load = 0.6", "load = nan"), "scenario.load"},
      {replace_text(kSmallExperiment, "work = 0.05", "work = 0"), "scenario.class.short.work"},
      {replace_text(kSmallExperiment, "\"replayable\"", "\"free\""), "scenario.class.effect"},
      {replace_text(kSmallExperiment, "kind = \"crash\"", "kind = \"melt\""), "scenario.fault.kind"},
      {replace_text(kSmallExperiment, "kind = \"crash\"\n", ""), "scenario.fault.kind: is missing"},
      {replace_text(kSmallExperiment, "at = 3", "at = 30"), "scenario.fault.at"},
      {replace_text(kSmallExperiment, "field = \"load\"", "field = \"name\""), "scenario.name"},
      {replace_text(kSmallExperiment, "field = \"load\"\n", ""), "sweep.values"},
      {replace_text(kSmallExperiment, "field = \"load\"", "field = \"nodes\""),
       "scenario.nodes: whole numbers"},
      {replace_text(kSmallExperiment, "\"random\"", "\"best\""), "scenario.policy"},
      {replace_text(kSmallExperiment, "seeds = 2", "seeds = 1000000"), "sweep.seeds"},
      {replace_text(kSmallExperiment, "seeds = 2", "seeds = 0"), "sweep.seeds"},
      {replace_text(kSmallExperiment, "seeds = 2", "seeds = 2\nmeasures = [\"joy\"]"), "sweep.measures: joy"},
      {replace_text(kSmallExperiment, "name = \"small\"\n", ""), "name: is missing"},
      {replace_text(kSmallExperiment, "name = \"small\"", "name = \"../small\""), "name"},
      {replace_text(kSmallExperiment, "[scenario]", "[scenari]"), "scenari"},
      {"name = ", "line 1"},
      {"", "name"}};
  for (const auto& [text, field] : rows) {
    const std::string message = error_of(text);
    EXPECT_EQ(message.substr(0, 11), "file.toml: ") << field;
    EXPECT_NE(message.find(field), std::string::npos) << field << "\n" << message;
  }
}

TEST(LabExperiment, VariantChangesOnlyNamedFields) {
  const std::string text = kSmallExperiment +
                           "[[variant]]\nname = \"plain\"\n"
                           "[[variant]]\nname = \"silent\"\ntells_start = false\n";
  const Experiment experiment = read_experiment(text, "file.toml");
  const std::vector<TableRow> rows = make_rows(experiment);
  ASSERT_EQ(rows.size(), 4u);
  EXPECT_EQ(rows[0].name, "node plain");
  EXPECT_EQ(rows[3].name, "random silent");
  EXPECT_TRUE(rows[0].scenario.reports_start);
  EXPECT_FALSE(rows[3].scenario.reports_start);
  EXPECT_EQ(rows[3].scenario.executors, 4);
  EXPECT_EQ(rows[3].scenario.faults.size(), 1u);
  EXPECT_EQ(run_experiment(experiment).rows[3], "random silent");
  EXPECT_NE(error_of(kSmallExperiment + "[[variant]]\nnodes = 3\n").find("variant.name: is missing"),
            std::string::npos);
  EXPECT_NE(error_of(kSmallExperiment + "[[variant]]\nname = \"x\"\nnodez = 3\n").find("nodez: not known"),
            std::string::npos);
}

// Guards against a crash or a foreign exception on malformed input: each prefix of a valid file is read or
// rejected with BadExperiment.
TEST(LabExperiment, TruncatedFileIsReadOrRejected) {
  for (std::size_t cut = 0; cut < kSmallExperiment.size(); ++cut) {
    const std::string message = error_of(kSmallExperiment.substr(0, cut));
    EXPECT_TRUE(message.empty() || message.substr(0, 11) == "file.toml: ") << cut << message;
  }
}

TEST(LabExperiment, SameFileProducesSameTable) {
  const Experiment experiment = read_experiment(kSmallExperiment, "file.toml");
  const Table table = run_experiment(experiment);
  EXPECT_EQ(table.runs, 8u);
  EXPECT_EQ(table.violation_count, 0u) << as_text(table);
  EXPECT_EQ(as_csv(run_experiment(experiment)), as_csv(table));
  const std::string svg = as_svg(table, 0);
  for (const char* const part :
       {"<svg ", "service (part of the worth)", ">load<", ">node<", ">random<", "</svg>"})
    EXPECT_NE(svg.find(part), std::string::npos) << part;
}

// Experiments that CI runs. Their tables are kept beside them and must match to the byte. Three of them
// reproduce fleet incidents whose cost came from what all nodes do together (docs/lab/fleet.md).
class KeptExperiment : public testing::TestWithParam<std::string> {};

TEST_P(KeptExperiment, MatchesKeptTable) {
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
