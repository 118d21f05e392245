#include <sys/sysinfo.h>

#include <set>
#include <sstream>

#include "experiment/reader.h"
#include "scale/scale.h"

namespace canvasstage::lab {
// Reader finds these by argument-dependent lookup.
template <class Visit>
void for_each_field(Size& s, Visit visit) {
  visit("executors", s.executors);
  visit("zones", s.zones);
  visit("use_cases", s.use_cases);
  visit("nodes", s.nodes);
  visit("open_jobs", s.open_jobs);
  visit("held_jobs", s.held_jobs);
  visit("most_launches", s.most_launches);
  visit("cancelling", s.cancelling);
  visit("progress_every", s.progress_every);
}

template <class Visit>
void for_each_field(Measurement& m, Visit visit) {
  visit("name", m.name);
  visit("kind", m.kind);
  visit("end", m.end);
  visit("field", m.field);
  visit("check", m.check);
  visit("plays", m.plays);
}

namespace {

const std::set<std::string> kSweepableFields = {"executors", "open_jobs", "held_jobs",
                                                "zones",     "use_cases", "nodes"};

double machine_memory_bytes() {
  struct sysinfo machine {};
  sysinfo(&machine);
  return static_cast<double>(machine.totalram) * machine.mem_unit;
}

void check_size(const Reader& reader, Size size) {
  const auto check_bounds = [&](const char* field, int value, int min, int max) {
    if (value < min || value > max)
      reader.bad(std::string("size.") + field, std::to_string(value) + " is not between " +
                                                   std::to_string(min) + " and " + std::to_string(max));
  };
  check_bounds("executors", size.executors, 1, kMaxExecutors);
  check_bounds("zones", size.zones, 1, kMaxZones);
  check_bounds("use_cases", size.use_cases, 1, kMaxUseCases);
  check_bounds("nodes", size.nodes, 1, kMaxNodes);
  check_bounds("open_jobs", size.open_jobs, 0, kMaxOpenRequests);
  check_bounds("held_jobs", size.held_jobs, 0, kMaxOpenRequests - size.open_jobs);
  check_bounds("most_launches", size.most_launches, 1, 16);
  if (size.progress_every < 0 || size.progress_every > kMaxEndSeconds)
    reader.bad("size.progress_every", "between 0 and 60 s are needed");
  const double bytes = kBytesPerExecutor * size.nodes * size.executors +
                       kBytesPerRequest * (static_cast<double>(size.open_jobs) + size.held_jobs);
  if (bytes > kMaxMemoryShare * machine_memory_bytes())
    reader.bad("size.nodes", "more than half of the machine's memory would be needed");
}

void check_measurement(const Reader& reader, const Measurement& m, const toml::table& root) {
  for (const char* const field : {"name", "kind", "end", "field", "sizes", "check"})
    if (root.get(field) == nullptr) reader.bad(field, "is missing");
  if (m.kind != "hollow") reader.bad("kind", m.kind + " is not hollow");
  if (m.name.empty() ||
      m.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_") != std::string::npos)
    reader.bad("name", "only a-z, 0-9, - and _ are allowed: files are named after it");
  if (m.end <= 0 || m.end > kMaxEndSeconds)
    reader.bad("end", "more than 0 and up to 60 emulated seconds are needed");
  if (!kSweepableFields.contains(m.field)) reader.bad("field", m.field + " cannot be swept");
  if (std::set<int>(m.sizes.begin(), m.sizes.end()).size() < 4 || m.sizes.size() > 20)
    reader.bad("sizes", "at least four different ones are needed, and 20 at most");
  if (std::ranges::find(m.sizes, m.check) != m.sizes.end())
    reader.bad("check", "a size that is not used for the fit is needed");
  if (m.plays < 1 || m.plays > kMaxPlays) reader.bad("plays", "between 1 and 20 are needed");
  for (const int value : m.sizes) check_size(reader, size_of(m, value));
  check_size(reader, size_of(m, m.check));
}

// The names of the metrics are the same at every size, so a small play yields them.
void check_plot(const Reader& reader, const Measurement& m) {
  const std::vector<Metric> metrics = play({.executors = 4, .zones = 1}, 0.1, 1);
  for (const std::string& name : m.plot)
    if (std::ranges::find(metrics, name, &Metric::name) == metrics.end())
      reader.bad("plot", name + " is not a metric");
  if (m.plot.empty()) reader.bad("plot", "at least one metric is needed");
}

}  // namespace

Size size_of(const Measurement& measurement, int value) {
  Size size = measurement.size;
  for_each_field(size, [&](const char* name, auto& member) {
    if constexpr (std::is_same_v<decltype(member), int&>)
      if (measurement.field == name) member = value;
  });
  return size;
}

Measurement read_measurement(const std::string& text, const std::string& file) {
  const Reader reader(file);
  const toml::table root = parsed(text, file);
  Measurement result;
  reader.fields(root, "", result, {"sizes", "size", "plot"});
  if (const toml::array* const sizes = reader.list(root, "sizes", ""))
    for (const toml::node& size : *sizes) reader.take(size, "sizes", result.sizes.emplace_back());
  if (const toml::array* const plot = reader.list(root, "plot", ""))
    for (const toml::node& metric : *plot) reader.take(metric, "plot", result.plot.emplace_back());
  if (root.get("size") != nullptr) reader.fields(reader.table(root, "size"), "size.", result.size);
  check_measurement(reader, result, root);
  check_plot(reader, result);
  return result;
}

}  // namespace canvasstage::lab
