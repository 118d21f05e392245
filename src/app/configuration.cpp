#include "app/configuration.h"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

#include "app/recovery_settings.h"
#include "net/discovery.h"
#include "net/log.h"
#include "net/socket.h"
#include "net/world.h"

namespace canvasstage {
namespace {

std::string words(const JsonValue& file, const char* key) {
  return std::string(string_value(required_member(file, key), key));
}

std::uint32_t read_seed(const JsonValue& file) {
  const std::string seed = words(file, "seed");
  char* end = nullptr;
  const std::uint64_t value = std::strtoull(seed.c_str(), &end, 16);
  if (seed.empty() || *end != '\0') throw_bad_input("seed: a hexadecimal number is needed");
  return static_cast<std::uint32_t>(value);
}

int limit(const JsonValue& file, const char* key) {
  const double value = number(required_member(required_member(file, "limits"), key), key);
  if (!(value >= 1 && value <= 1e7)) throw_bad_input(std::string("limits.") + key + ": out of range");
  return static_cast<int>(value);
}

std::string address(const std::string& text, const char* key) {
  if (!net::is_address(text)) throw_bad_input(std::string(key) + ": not an address and a port: " + text);
  return text;
}

}  // namespace

Configuration decode_configuration(const std::string& content) {
  Configuration c;
  c.file.Parse<rapidjson::kParseFullPrecisionFlag | net::kNotRecursive>(content.c_str());
  if (c.file.HasParseError() || !c.file.IsObject()) throw_bad_input("NODE_CONFIG: not a JSON object");
  c.name = words(c.file, "name");
  c.listen = address(words(c.file, "listen"), "listen");
  c.discovery = address(words(c.file, "discovery"), "discovery");
  if (!member(c.file, "console").IsNull()) c.console = address(words(c.file, "console"), "console");
  c.seed = read_seed(c.file);
  c.memory_mb = limit(c.file, "memory_mb");
  c.sockets = limit(c.file, "sockets");
  c.settings = decode_settings(required_member(c.file, "settings"), c.terms);
  const JsonValue& known = member(c.file, "known");
  if (!known.IsNull()) c.roster_version = net::check_list(known);
  return c;
}

Configuration read_configuration(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw_bad_input("NODE_CONFIG: cannot read " + path);
  std::stringstream content;
  content << in.rdbuf();
  return decode_configuration(content.str());
}

std::string from_environment(const char* variable, const std::string& otherwise) {
  const char* const value = std::getenv(variable);
  return value != nullptr ? address(value, variable) : otherwise;
}

// The file says where discovery is, whatever the environment said at the start. What only a start can change
// is named and waits for one.
bool reload(const std::string& path, const Configuration& first, const Apply& apply) {
  try {
    Configuration now = read_configuration(path);
    read_recovery_settings();  // a change waits for the next start; what is wrong is to be heard of now
    const auto keep = [](bool same, const char* field) {
      if (!same) net::log_note(std::string("reload: ") + field + " stays as it was until the next start");
    };
    keep(now.name == first.name, "name");
    keep(now.listen == first.listen, "listen");
    keep(now.console == first.console, "console");
    keep(now.memory_mb == first.memory_mb && now.sockets == first.sockets, "limits");
    net::log_note("reload: discovery is " + now.discovery);
    apply(std::move(now.settings), std::move(now.terms), std::move(now.discovery));
    return true;
  } catch (const std::exception& failure) {
    net::log_note(std::string("reload: nothing changes: ") + failure.what());
    return false;
  }
}

}  // namespace canvasstage
