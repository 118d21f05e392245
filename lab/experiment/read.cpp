#include <algorithm>

#include "experiment/experiment.h"
#include "experiment/fields.h"
#include "experiment/reader.h"

namespace canvasstage::lab {
namespace {

// Applies the fields in `from` to `scenario`; absent ones keep their values.
Scenario read_scenario(const Reader& reader, const toml::table& from, Scenario scenario) {
  reader.fields(from, "scenario.", scenario, {"class", "fault"});
  if (const toml::array* const classes = reader.list(from, "class", "scenario.")) {
    scenario.classes.clear();
    for (const toml::node& node : *classes) {
      const std::string prefix = "scenario.class.";
      if (!node.is_table()) reader.bad("scenario.class", "tables are needed");
      const toml::table& entry = *node.as_table();
      WorkClass work_class;
      reader.fields(entry, prefix, work_class, {"effect", "group"});
      work_class.effect = reader.one_of<Effect>(entry, "effect", prefix, Effect::kIdempotent,
                                                {{"replayable", Effect::kIdempotent},
                                                 {"referenced", Effect::kIdempotentByKey},
                                                 {"single_use", Effect::kAtMostOnce}});
      work_class.idempotency_scope =
          reader.one_of<IdempotencyScope>(entry, "group", prefix, IdempotencyScope::kAll,
                                          {{"all", IdempotencyScope::kAll},
                                           {"zone", IdempotencyScope::kZone},
                                           {"cell", IdempotencyScope::kCell}});
      scenario.classes.push_back(work_class);
    }
  }
  if (const toml::array* const faults = reader.list(from, "fault", "scenario.")) {
    scenario.faults.clear();
    for (const toml::node& node : *faults) {
      const std::string prefix = "scenario.fault.";
      if (!node.is_table()) reader.bad("scenario.fault", "tables are needed");
      const toml::table& entry = *node.as_table();
      Fault fault;
      reader.fields(entry, prefix, fault, {"kind"});
      if (entry.get("kind") == nullptr) reader.bad(prefix + "kind", "is missing");
      using Kind = Fault::Kind;
      fault.kind = reader.one_of<Kind>(entry, "kind", prefix, Kind::kCrash,
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
  // A sweep that would run for more than a day is taken for a mistake.
  constexpr std::size_t kMaxRuns = 2000;
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
  const auto read_strings = [&](const char* key, std::vector<std::string>& into) {
    if (const toml::array* const list = reader.list(sweep, key, "sweep."))
      for (const toml::node& item : *list)
        reader.take(item, std::string("sweep.") + key, into.emplace_back());
  };
  read_strings("policies", result.policies);
  read_strings("measures", result.measures);
  if (result.policies.empty()) result.policies.push_back(result.scenario.policy);
  if (result.measures.empty()) result.measures = {"service", "latency_p99"};
  for (const std::string& measure : result.measures) {
    bool known = false;
    for (const Measure& candidate : measures()) known = known || candidate.name == measure;
    if (!known) reader.bad("sweep.measures", measure + " is not known");
  }
  if (result.field.empty() != result.values.empty())
    reader.bad("sweep.values", "field and values must be given together");
  if (result.field.empty()) result.values = {0};
  if (result.seeds < 1 ||
      result.values.size() * make_rows(result).size() * static_cast<std::size_t>(result.seeds) > kMaxRuns)
    reader.bad("sweep.seeds", "between 1 and " + std::to_string(kMaxRuns) + " runs in all are needed");
  // Validates the base scenario and every derived one before any of them runs.
  try {
    result.scenario.validate();
  } catch (const BadScenario& error) {
    throw BadExperiment(file + ": scenario." + error.what());
  }
  for (const TableRow& row : make_rows(result))
    for (const double value : result.values) try {
        make_scenario(result, row, value).validate();
      } catch (const BadScenario& error) {
        throw BadExperiment(file + ": scenario." + error.what());
      }
  return result;
}

}  // namespace canvasstage::lab
