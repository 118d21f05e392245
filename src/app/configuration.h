// The configuration file of the node, read at the start and on SIGHUP. A file with any error is rejected as a
// whole.
#pragma once

#include <functional>
#include <string>

#include "core/settings.h"

namespace canvasstage {

// The decoded file, without values from the environment.
struct Configuration {
  std::string name, listen, discovery;
  std::string console;  // empty: the node has no console
  std::uint32_t seed = 0;
  int memory_mb = 0, sockets = 0;
  Terms terms;
  Settings settings;
  rapidjson::Document file;
  std::uint64_t known_list_generation = 0;  // generation of the executor list `known`; 0: the file has none
};

// Decodes and validates the whole configuration. Throws BadInput with the name of the field.
Configuration decode_configuration(const std::string& text);
// Reads and decodes the file. Throws BadInput.
Configuration read_configuration(const std::string& path);
// The address in the environment variable, or `fallback` where the variable is not set: the environment takes
// precedence over the file. Throws BadInput where the value is not an address and a port.
std::string address_from_environment(const char* variable, const std::string& fallback);

// Applies a configuration. Always called with a complete configuration, never with a part.
using ApplyCallback = std::function<void(Settings settings, Terms terms, std::string discovery)>;
// Reads the file again after SIGHUP and applies it. `initial` is the configuration at the start of the
// process: log lines name the fields that differ and need a restart. Returns false, and changes nothing,
// where the file or the recovery settings are invalid; the log has the reason.
bool reload(const std::string& path, const Configuration& initial, const ApplyCallback& apply);

}  // namespace canvasstage
