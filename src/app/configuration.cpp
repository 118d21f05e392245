#include "app/configuration.h"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

#include "app/recovery_settings.h"
#include "net/discovery.h"
#include "net/log.h"
#include "net/node_context.h"
#include "net/socket.h"

namespace canvasstage {
namespace {

std::string required_string(const JsonValue& file, const char* key) {
  return std::string(string_value(required_member(file, key), key));
}

std::uint32_t read_seed(const JsonValue& file) {
  const std::string seed = required_string(file, "seed");
  char* end = nullptr;
  const std::uint64_t value = std::strtoull(seed.c_str(), &end, 16);
  if (seed.empty() || *end != '\0') throw_bad_input("seed: a hexadecimal number is needed");
  return static_cast<std::uint32_t>(value);
}

int read_limit(const JsonValue& file, const char* key) {
  const double value = number(required_member(required_member(file, "limits"), key), key);
  if (!(value >= 1 && value <= 1e7)) throw_bad_input(std::string("limits.") + key + ": out of range");
  return static_cast<int>(value);
}

std::string checked_address(const std::string& text, const char* key) {
  if (!net::is_address(text)) throw_bad_input(std::string(key) + ": not an address and a port: " + text);
  return text;
}

}  // namespace

Configuration decode_configuration(const std::string& content) {
  Configuration c;
  c.file.Parse<rapidjson::kParseFullPrecisionFlag | net::kIterativeJsonParse>(content.c_str());
  if (c.file.HasParseError() || !c.file.IsObject()) throw_bad_input("NODE_CONFIG: not a JSON object");
  c.name = required_string(c.file, "name");
  c.listen = checked_address(required_string(c.file, "listen"), "listen");
  c.discovery = checked_address(required_string(c.file, "discovery"), "discovery");
  if (!member(c.file, "console").IsNull())
    c.console = checked_address(required_string(c.file, "console"), "console");
  c.seed = read_seed(c.file);
  c.memory_mb = read_limit(c.file, "memory_mb");
  c.sockets = read_limit(c.file, "sockets");
  c.settings = decode_settings(required_member(c.file, "settings"), c.terms);
  const JsonValue& known = member(c.file, "known");
  if (!known.IsNull()) c.known_list_generation = net::validate_list(known);
  return c;
}

Configuration read_configuration(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw_bad_input("NODE_CONFIG: cannot read " + path);
  std::stringstream content;
  content << in.rdbuf();
  return decode_configuration(content.str());
}

std::string address_from_environment(const char* variable, const std::string& fallback) {
  const char* const value = std::getenv(variable);
  return value != nullptr ? checked_address(value, variable) : fallback;
}

// On a reload the discovery address of the file applies, even where NODE_DISCOVERY set another one at the
// start. Fields that only take effect at the next start are named in the log.
bool reload(const std::string& path, const Configuration& initial, const ApplyCallback& apply) {
  try {
    Configuration updated = read_configuration(path);
    read_recovery_settings();  // changes apply at the next start, but errors are reported now
    const auto log_if_changed = [](bool unchanged, const char* field) {
      if (!unchanged)
        net::log_note(std::string("reload: ") + field + " stays as it was until the next start");
    };
    log_if_changed(updated.name == initial.name, "name");
    log_if_changed(updated.listen == initial.listen, "listen");
    log_if_changed(updated.console == initial.console, "console");
    log_if_changed(updated.memory_mb == initial.memory_mb && updated.sockets == initial.sockets, "limits");
    net::log_note("reload: discovery is " + updated.discovery);
    apply(std::move(updated.settings), std::move(updated.terms), std::move(updated.discovery));
    return true;
  } catch (const std::exception& failure) {
    net::log_note(std::string("reload: nothing changes: ") + failure.what());
    return false;
  }
}

}  // namespace canvasstage
