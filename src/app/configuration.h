// The configuration: read as a whole, at the start and at SIGHUP, or not at all.
#pragma once

#include <functional>
#include <string>

#include "core/settings.h"

namespace canvasstage {

// What the file says; the environment is not in it.
struct Configuration {
  std::string name, listen, discovery;
  std::string console;  // empty: there is none
  std::uint32_t seed = 0;
  int memory_mb = 0, sockets = 0;
  Terms terms;
  Settings settings;
  rapidjson::Document file;
  std::uint64_t roster_version = 0;  // of the remembered list; 0: there is none
};

// Throws BadInput that names the field: all that can be wrong with the text is found here.
Configuration decode_configuration(const std::string& text);
Configuration read_configuration(const std::string& path);
// An address that the environment names, where it does; it goes before the file's.
std::string from_environment(const char* variable, const std::string& otherwise);

// Called with what is to hold from now on; never with a part of it.
using Apply = std::function<void(Settings settings, Terms terms, std::string discovery)>;
// Reads the file again as SIGHUP asks for it; `first` is what the process started with. False: something was
// wrong with it, and nothing changes.
bool reload(const std::string& path, const Configuration& first, const Apply& apply);

}  // namespace canvasstage
