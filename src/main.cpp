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
    "it.\n";

rapidjson::Document read_config(const char* path) {
  std::ifstream file(path);
  if (!file) bad(std::string("NODE_CONFIG: cannot read ") + path);
  std::stringstream content;
  content << file.rdbuf();
  rapidjson::Document config;
  config.Parse<rapidjson::kParseFullPrecisionFlag>(content.str().c_str());
  if (config.HasParseError() || !config.IsObject()) bad("NODE_CONFIG: not a JSON object");
  return config;
}

std::string setting(const char* variable, const JsonValue& config, const char* key) {
  const char* const value = std::getenv(variable);
  return value != nullptr ? std::string(value) : std::string(text(needed(config, key), key));
}

std::uint32_t read_seed(const JsonValue& config) {
  const std::string seed(text(needed(config, "seed"), "seed"));
  char* end = nullptr;
  const std::uint64_t value = std::strtoull(seed.c_str(), &end, 16);
  if (seed.empty() || *end != '\0') bad("seed: a hexadecimal number is needed");
  return static_cast<std::uint32_t>(value);
}

int limit(const JsonValue& config, const char* key) {
  const double value = number(needed(needed(config, "limits"), key), key);
  if (value < 1 || value > 1e7) bad(std::string("limits.") + key + ": out of range");
  return static_cast<int>(value);
}

void run(const rapidjson::Document& config) {
  // Before the first thread, so that all inherit it and one alone takes the signal.
  sigset_t stops;
  sigemptyset(&stops);
  sigaddset(&stops, SIGTERM);
  sigaddset(&stops, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stops, nullptr);
  // Five eighths of the memory may be buffers, a third of them for submissions: a launch needs one to read
  // and one for its result. Threads and the rest were measured at a tenth of 192 MB, with every descriptor in
  // use.
  const std::size_t buffers =
      static_cast<std::size_t>(limit(config, "memory_mb")) * 1024 * 1024 / 8 * 5 / net::Buffer::kSize;
  Terms terms;
  Settings settings = decode_settings(needed(config, "settings"), terms);
  net::BufferPool submissions(buffers / 3), launches(buffers - buffers / 3);
  net::Reducer reducer;  // what is left in its queue goes before the pools
  std::unique_ptr<Node> node;
  Node* seen = nullptr;
  net::World world{reducer, submissions, launches, terms, seen};
  net::start_log(std::string(text(needed(config, "name"), "name")));
  net::Server server(world, net::listen_on(setting("NODE_LISTEN", config, "listen")),
                     setting("NODE_DISCOVERY", config, "discovery"));
  const Time start = net::now();
  const JsonValue& known = member(config, "known");
  // All that can be wrong is read before the node starts its first thread.
  const std::uint64_t version = known.IsNull() ? 0 : net::check_list(known);
  node = std::make_unique<Node>(std::move(settings), terms, limit(config, "sockets"), read_seed(config),
                                server, start, version);
  seen = node.get();
  if (!known.IsNull()) net::take_list(*node, start, known, true);
  server.start();
  net::start_thread([&] {
    const timespec look_up{0, 200000000};
    while (!reducer.finished())
      if (sigtimedwait(&stops, nullptr, &look_up) > 0) reducer.post([&node](Time now) { node->stop(now); });
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
  try {
    run(read_config(config));
  } catch (const std::exception& failure) {
    std::cerr << "canvasstage: " << failure.what() << '\n';
    return 1;
  }
  return 0;
}
