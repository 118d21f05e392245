// One real node: reads its configuration, builds its parts, and runs the reducer until it is told to stop.
#include <malloc.h>
#include <signal.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <string>

#include "app/configuration.h"
#include "app/recovery_settings.h"
#include "app/recovery_wiring.h"
#include "core/node.h"
#include "net/console.h"
#include "net/log.h"
#include "net/peers.h"
#include "net/server.h"
#include "net/upgrade.h"

namespace {

using namespace canvasstage;

constexpr const char* kUsage =
    "usage: canvasstage [--help | --version]\n"
    "One node. NODE_CONFIG names its configuration; NODE_LISTEN, NODE_DISCOVERY and NODE_CONSOLE, where set, "
    "go before it at the start. NODE_INHERITED_FD names a listening socket to take clients from. "
    "NODE_RECOVERY names the settings of recovery from a power loss. SIGHUP reads the file again.\n";

// The clients' listening socket: one that the platform holds and every process of this node inherits, or one
// of its own.
net::Socket client_listener(const Configuration& c, bool& shared) {
  const char* const inherited = std::getenv("NODE_INHERITED_FD");
  shared = inherited != nullptr;
  if (!shared) return net::bind_to(from_environment("NODE_LISTEN", c.listen));
  try {
    return net::inherited_listener(inherited);
  } catch (const std::runtime_error& failure) {
    throw_bad_input(std::string("NODE_INHERITED_FD: ") + failure.what());
  }
}

net::Socket console_listener(const Configuration& c) {
  const std::string address = from_environment("NODE_CONSOLE", c.console);
  return address.empty() ? net::Socket() : net::listen_on(address);
}

void run(const char* path, const sigset_t& signals) {
  const Configuration c = read_configuration(path);
  const std::optional<recovery::RecoverySettings> recovery_settings = read_recovery_settings();
  // Five eighths of the memory may be buffers, a third of them for submissions: a launch needs one, and a
  // submission may have several. Threads and the rest were measured at a tenth of 192 MB, with every
  // descriptor in use.
  const std::size_t buffers =
      static_cast<std::size_t>(c.memory_mb) * 1024 * 1024 / 8 * 5 / net::Buffer::kSize;
  net::BufferPool submissions(buffers / 3), launches(buffers - buffers / 3);
  net::Reducer reducer;  // what is left in its queue goes before the pools
  std::unique_ptr<Node> node;
  Node* seen = nullptr;
  CurrentTerms terms(c.terms);
  MetricsBoard board;
  net::HandoverSignal parting;
  net::NodeContext world{reducer, submissions, launches, terms, board, parting, nullptr, seen};
  if (recovery_settings)
    RecoveryWiring::refuse_itself(*recovery_settings, c.name, from_environment("NODE_CONSOLE", c.console));
  const std::string discovery = from_environment("NODE_DISCOVERY", c.discovery);
  bool shared = false;
  net::Socket listener = client_listener(c, shared);
  std::unique_ptr<net::Console> console;
  if (net::Socket second = console_listener(c); second.is_open())
    console = std::make_unique<net::Console>(std::move(second), board);
  net::start_log(c.name);
  if (console) net::log_note("console on " + console->address());

  std::unique_ptr<net::Server> server;
  std::atomic<bool> elder_goes{false};
  const auto share_limits = [&](int sixteenths) {
    submissions.limit(buffers / 3 * sixteenths / 16);
    launches.limit((buffers - buffers / 3) * sixteenths / 16);
    reducer.post([&node, sixteenths](Time now) { node->set_descriptor_share(now, sixteenths); });
  };
  const auto take_over = [&](net::Upgrade::Message message) {
    // It has begun to go: what it had is coming here, and little is left there.
    if (!elder_goes.exchange(true)) share_limits(15);
    const auto held = std::make_shared<net::Upgrade::Message>(std::move(message));
    reducer.post([&server, held](Time now) {
      try {
        rapidjson::Document words;
        words.Parse<net::kNotRecursive>(held->words.data(), held->words.size());
        server->take_over(now, words, held->bytes, std::move(held->sockets));
      } catch (const BadInput& input) {
        net::log_note(std::string("upgrade: not taken over: ") + input.what());
      }
    });
  };
  std::unique_ptr<net::Upgrade> upgrade;
  if (shared) {
    upgrade = std::make_unique<net::Upgrade>(c.name, take_over,
                                             [&](bool overlap) { share_limits(overlap ? 8 : 16); });
    world.successor = upgrade.get();
  }
  const Time start = net::now();
  std::unique_ptr<RecoveryWiring> recovery;
  if (recovery_settings)
    recovery = std::make_unique<RecoveryWiring>(*recovery_settings, c.name, start,
                                                [&reducer](auto event) { reducer.post(std::move(event)); });
  server = std::make_unique<net::Server>(world, std::move(listener), upgrade.get(), c.sockets,
                                         recovery ? recovery->store() : nullptr);
  const Platform platform{c.sockets, shared, console ? net::Console::kRoom + 1 : 0};
  node = std::make_unique<Node>(
      c.settings, c.terms, platform, c.seed, *server, start, discovery,
      recovery && recovery->generation() > 0 ? recovery->generation() : c.roster_version);
  seen = node.get();
  const JsonValue& known = member(c.file, "known");
  if (recovery)
    recovery->restore(*node, start, known, discovery);
  else if (!known.IsNull())
    net::take_list(*node, start, known, net::ListSource::kCached);
  if (upgrade && (!parting.enable() || !upgrade->start(std::getenv("TMPDIR")))) {
    net::log_note("upgrade: no other process can be met, this one keeps to half of its limits");
    share_limits(8);
  }
  server->start();
  if (console && recovery) console->answer_peers(recovery->publish_answers());
  if (console) net::start_thread([&console] { console->run(); });
  std::unique_ptr<net::PeerCalls> peer_calls;
  if (recovery && !recovery_settings->peers.nodes.empty()) {
    peer_calls = std::make_unique<net::PeerCalls>(world, recovery_settings->peers,
                                                  start + recovery_settings->peers.poll_duration);
    peer_calls->start();
  }
  const auto apply = [&](Settings settings, Terms now_terms, std::string address) {
    reducer.post([&, settings = std::move(settings), now_terms = std::move(now_terms),
                  address = std::move(address)](Time now) {
      try {
        node->settings_changed(now, settings, now_terms);
      } catch (const BadInput& input) {
        net::log_note(std::string("reload: nothing changes: ") + input.what());
        return node->reload_rejected();
      }
      terms.replace(std::make_shared<const Terms>(node->terms()));
      node->discovery_moved(now, address);
    });
  };
  net::start_thread([&] {
    const timespec look_up{0, 200000000};
    while (!reducer.finished()) {
      const int signal = sigtimedwait(&signals, nullptr, &look_up);
      if (signal == SIGHUP && !reload(path, c, apply))
        reducer.post([&node](Time) { node->reload_rejected(); });
      if (signal != SIGTERM && signal != SIGINT) continue;
      net::log_note("told to stop");
      reducer.post([&node](Time now) { node->stop(now); });
    }
  });
  reducer.run([&node](Time now, std::uint64_t token) { node->timer_due(now, token); });
  if (upgrade) upgrade->stop();
  if (peer_calls) peer_calls->stop();
  server->end_threads();
  if (console) console->stop();
  // Longer than any thread looks away; one that is stuck all the same ends with the process.
  const bool ended = net::threads_end_within(net::Milliseconds(1500));
  recovery.reset();  // what it was told last is written
  net::stop_log();
  if (!server->failure().empty()) throw std::runtime_error(server->failure());
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
