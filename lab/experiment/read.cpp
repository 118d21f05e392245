#include <algorithm>

#include "experiment/experiment.h"
#include "experiment/fields.h"
#include "experiment/reader.h"

namespace canvasstage::lab {
namespace {

// What is left out stays as it is in `scenario`.
Scenario read_scenario(const Reader& reader, const toml::table& from, Scenario scenario) {
  reader.fields(from, "scenario.", scenario, {"class", "fault"});
  if (const toml::array* const classes = reader.list(from, "class", "scenario.")) {
    scenario.classes.clear();
    for (const toml::node& node : *classes) {
      const std::string at = "scenario.class.";
      if (!node.is_table()) reader.bad("scenario.class", "tables are needed");
      const toml::table& one = *node.as_table();
      WorkClass terms;
      reader.fields(one, at, terms, {"effect", "group"});
      terms.effect = reader.one_of<Effect>(one, "effect", at, Effect::kIdempotent,
                                           {{"replayable", Effect::kIdempotent},
                                            {"referenced", Effect::kIdempotentByKey},
                                            {"single_use", Effect::kAtMostOnce}});
      terms.group = reader.one_of<IdempotencyScope>(one, "group", at, IdempotencyScope::kAll,
                                                    {{"all", IdempotencyScope::kAll},
                                                     {"zone", IdempotencyScope::kZone},
                                                     {"cell", IdempotencyScope::kCell}});
      scenario.classes.push_back(terms);
    }
  }
  if (const toml::array* const faults = reader.list(from, "fault", "scenario.")) {
    scenario.faults.clear();
    for (const toml::node& node : *faults) {
      const std::string at = "scenario.fault.";
      if (!node.is_table()) reader.bad("scenario.fault", "tables are needed");
      const toml::table& one = *node.as_table();
      Fault fault;
      reader.fields(one, at, fault, {"kind"});
      if (one.get("kind") == nullptr) reader.bad(at + "kind", "is missing");
      using Kind = Fault::Kind;
      fault.kind = reader.one_of<Kind>(one, "kind", at, Kind::kCrash,
                                       {{"crash", Kind::kCrash},
                                        {"vanish", Kind::kVanish},
                                        {"hang", Kind::kHang},
                                        {"slow", Kind::kSlow},
                                        {"fail", Kind::kFail},
                                        {"drain", Kind::kDrain},
                                        {"partition", Kind::kPartition},
                                        {"loss", Kind::kLoss},
                                        {"discovery", Kind::kDiscovery},
                                        {"burst", Kind::kBurst}});
      scenario.faults.push_back(fault);
    }
  }
  return scenario;
}

}  // namespace

Experiment read_experiment(const std::string& text, const std::string& file) {
  // A sweep that would not end within a day is a slip.
  constexpr std::size_t kMostRuns = 2000;
  const Reader reader(file);
  const toml::table root = parsed(text, file);
  for (const auto& [key, node] : root)
    if (const std::string_view name = key.str();
        name != "name" && name != "scenario" && name != "variant" && name != "sweep")
      reader.bad(std::string(name), "not known");
  Experiment result;
  if (root.get("name") == nullptr) reader.bad("name", "is missing");
  reader.take(*root.get("name"), "name", result.name);
  if (result.name.empty() ||
      result.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_") != std::string::npos)
    reader.bad("name", "small letters, digits, - and _ are needed: files are named after it");
  result.scenario = read_scenario(reader, reader.table(root, "scenario"), {});
  if (const toml::array* const variants = reader.list(root, "variant", ""))
    for (const toml::node& node : *variants) {
      if (!node.is_table()) reader.bad("variant", "tables are needed");
      if (node.as_table()->get("name") == nullptr) reader.bad("variant.name", "is missing");
      result.variants.push_back(read_scenario(reader, *node.as_table(), result.scenario));
    }
  const toml::table& sweep = reader.table(root, "sweep");
  reader.fields(sweep, "sweep.", result, {"values", "policies", "measures"});
  if (const toml::array* const values = reader.list(sweep, "values", "sweep."))
    for (const toml::node& value : *values) reader.take(value, "sweep.values", result.values.emplace_back());
  const auto words = [&](const char* key, std::vector<std::string>& into) {
    if (const toml::array* const list = reader.list(sweep, key, "sweep."))
      for (const toml::node& word : *list)
        reader.take(word, std::string("sweep.") + key, into.emplace_back());
  };
  words("policies", result.policies);
  words("measures", result.measures);
  if (result.policies.empty()) result.policies.push_back(result.scenario.policy);
  if (result.measures.empty()) result.measures = {"service", "latency_p99"};
  for (const std::string& measure : result.measures) {
    bool known = false;
    for (const Measure& one : measures()) known = known || one.name == measure;
    if (!known) reader.bad("sweep.measures", measure + " is not known");
  }
  if (result.field.empty() != result.values.empty())
    reader.bad("sweep.values", "a field and its values go together");
  if (result.field.empty()) result.values = {0};
  if (result.seeds < 1 ||
      result.values.size() * lines_of(result).size() * static_cast<std::size_t>(result.seeds) > kMostRuns)
    reader.bad("sweep.seeds", "between 1 and " + std::to_string(kMostRuns) + " runs in all are needed");
  // Each scenario that will be run, before any is, and the one that they come from.
  try {
    result.scenario.check();
  } catch (const BadScenario& wrong) {
    throw BadExperiment(file + ": scenario." + wrong.what());
  }
  for (const Line& line : lines_of(result))
    for (const double value : result.values) try {
        scenario_of(result, line, value).check();
      } catch (const BadScenario& wrong) {
        throw BadExperiment(file + ": scenario." + wrong.what());
      }
  return result;
}

}  // namespace canvasstage::lab
