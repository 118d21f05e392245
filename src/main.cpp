// One real node: reads its configuration, builds its parts, and runs the reducer until it is told to stop.
#include <malloc.h>
#include <signal.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>

#include "core/node.h"
#include "net/log.h"
#include "net/server.h"

namespace {

using namespace canvasstage;

constexpr const char* kUsage =
    "usage: canvasstage [--help | --version]\n"
    "One node. NODE_CONFIG names its configuration; NODE_LISTEN and NODE_DISCOVERY, where set, go before "
    "it at the start. SIGHUP reads it again.\n";

// What the file says; the environment is not in it.
struct Configuration {
  std::string name, listen, discovery;
  std::uint32_t seed = 0;
  int memory_mb = 0, sockets = 0;
  Terms terms;
  Settings settings;
  rapidjson::Document file;
  std::uint64_t roster_version = 0;  // of the remembered list; 0: there is none
};

std::string words(const JsonValue& file, const char* key) {
  return std::string(text(needed(file, key), key));
}

std::uint32_t read_seed(const JsonValue& file) {
  const std::string seed = words(file, "seed");
  char* end = nullptr;
  const std::uint64_t value = std::strtoull(seed.c_str(), &end, 16);
  if (seed.empty() || *end != '\0') bad("seed: a hexadecimal number is needed");
  return static_cast<std::uint32_t>(value);
}

int limit(const JsonValue& file, const char* key) {
  const double value = number(needed(needed(file, "limits"), key), key);
  if (!(value >= 1 && value <= 1e7)) bad(std::string("limits.") + key + ": out of range");
  return static_cast<int>(value);
}

std::string address(const std::string& text, const char* key) {
  if (!net::is_address(text)) bad(std::string(key) + ": not an address and a port: " + text);
  return text;
}

// All that can be wrong with the file is found here, at the start and at a reload.
Configuration read_configuration(const char* path) {
  std::ifstream in(path);
  if (!in) bad(std::string("NODE_CONFIG: cannot read ") + path);
  std::stringstream content;
  content << in.rdbuf();
  Configuration c;
  c.file.Parse<rapidjson::kParseFullPrecisionFlag | net::kNotRecursive>(content.str().c_str());
  if (c.file.HasParseError() || !c.file.IsObject()) bad("NODE_CONFIG: not a JSON object");
  c.name = words(c.file, "name");
  c.listen = address(words(c.file, "listen"), "listen");
  c.discovery = address(words(c.file, "discovery"), "discovery");
  c.seed = read_seed(c.file);
  c.memory_mb = limit(c.file, "memory_mb");
  c.sockets = limit(c.file, "sockets");
  c.settings = decode_settings(needed(c.file, "settings"), c.terms);
  const JsonValue& known = member(c.file, "known");
  if (!known.IsNull()) c.roster_version = net::check_list(known);
  return c;
}

std::string from_environment(const char* variable, const std::string& otherwise) {
  const char* const value = std::getenv(variable);
  return value != nullptr ? address(value, variable) : otherwise;
}

// SIGHUP: discovery may have moved, and the file says where to, whatever the environment said at the start.
// The rest waits for the next start.
void reload(const char* path, const Configuration& first, net::Reducer& reducer, Node& node) {
  try {
    const Configuration now_read = read_configuration(path);
    const auto keep = [](bool same, const char* field) {
      if (!same) net::log_note(std::string("reload: ") + field + " stays as it was until the next start");
    };
    keep(now_read.name == first.name, "name");
    keep(now_read.listen == first.listen, "listen");
    keep(now_read.memory_mb == first.memory_mb && now_read.sockets == first.sockets, "limits");
    keep(now_read.settings == first.settings && now_read.terms == first.terms, "settings");
    net::log_note("reload: discovery is " + now_read.discovery);
    reducer.post([&node, discovery = now_read.discovery](Time now) { node.discovery_moved(now, discovery); });
  } catch (const std::exception& failure) {
    net::log_note(std::string("reload: nothing changes: ") + failure.what());
  }
}

void run(const char* path, const sigset_t& signals) {
  const Configuration c = read_configuration(path);
  // Five eighths of the memory may be buffers, a third of them for submissions: a launch needs one, and a
  // submission may have several. Threads and the rest were measured at a tenth of 192 MB, with every
  // descriptor in use.
  const std::size_t buffers =
      static_cast<std::size_t>(c.memory_mb) * 1024 * 1024 / 8 * 5 / net::Buffer::kSize;
  net::BufferPool submissions(buffers / 3), launches(buffers - buffers / 3);
  net::Reducer reducer;  // what is left in its queue goes before the pools
  std::unique_ptr<Node> node;
  Node* seen = nullptr;
  net::World world{reducer, submissions, launches, c.terms, seen};
  const std::string discovery = from_environment("NODE_DISCOVERY", c.discovery);
  net::Socket listener = net::listen_on(from_environment("NODE_LISTEN", c.listen));
  net::start_log(c.name);
  net::Server server(world, std::move(listener));
  const Time start = net::now();
  node = std::make_unique<Node>(c.settings, c.terms, c.sockets, c.seed, server, start, discovery,
                                c.roster_version);
  seen = node.get();
  const JsonValue& known = member(c.file, "known");
  if (!known.IsNull()) net::take_list(*node, start, known, true);
  server.start();
  net::start_thread([&] {
    const timespec look_up{0, 200000000};
    while (!reducer.finished()) {
      const int signal = sigtimedwait(&signals, nullptr, &look_up);
      if (signal == SIGHUP) reload(path, c, reducer, *node);
      if (signal != SIGTERM && signal != SIGINT) continue;
      net::log_note("told to stop");
      reducer.post([&node](Time now) { node->stop(now); });
    }
  });
  reducer.run([&node](Time now, std::uint64_t token) { node->timer_due(now, token); });
  server.end_threads();
  // Longer than any thread looks away; one that is stuck all the same ends with the process.
  const bool ended = net::threads_end_within(net::Milliseconds(1500));
  net::stop_log();
  if (!ended) std::_Exit(0);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 2 && std::string(argv[1]) == "--help") {
    std::cout << kUsage;
    return 0;
  }
  if (argc == 2 && std::string(argv[1]) == "--version") {
    std::cout << "canvasstage " CANVASSTAGE_VERSION "\n";
    return 0;
  }
  const char* const config = std::getenv("NODE_CONFIG");
  if (argc != 1 || config == nullptr) {
    std::cerr << kUsage;
    return 2;
  }
  // Two arenas: hundreds of threads with one each would keep memory that none of them uses.
  mallopt(M_ARENA_MAX, 2);
  signal(SIGPIPE, SIG_IGN);
  // Before the first thread, so that all inherit it and one alone takes the signals.
  sigset_t signals;
  sigemptyset(&signals);
  for (const int one : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, one);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    run(config, signals);
  } catch (const std::exception& failure) {
    std::cerr << "canvasstage: " << failure.what() << '\n';
    return 1;
  }
  return 0;
}
