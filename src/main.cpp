// The program of a node: reads the configuration, builds the parts of the node, and runs the reducer until a
// signal tells the process to stop.
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
    "Runs one node. NODE_CONFIG names the configuration file; NODE_LISTEN, NODE_DISCOVERY and NODE_CONSOLE, "
    "if set, override it at the start. NODE_INHERITED_FD is the descriptor of an inherited listening socket "
    "for clients. NODE_RECOVERY names the settings of recovery from a power loss. SIGHUP reloads the "
    "configuration file.\n";

// Returns the listening socket for clients: either one that the platform holds and every process of this node
// inherits (`shared` is set), or one of this process. Throws BadInput or std::runtime_error if there is none.
net::Socket client_listener(const Configuration& configuration, bool& shared) {
  const char* const inherited = std::getenv("NODE_INHERITED_FD");
  shared = inherited != nullptr;
  if (!shared) return net::bind_to(address_from_environment("NODE_LISTEN", configuration.listen));
  try {
    return net::inherited_listener(inherited);
  } catch (const std::runtime_error& failure) {
    throw_bad_input(std::string("NODE_INHERITED_FD: ") + failure.what());
  }
}

net::Socket console_listener(const Configuration& configuration) {
  const std::string address = address_from_environment("NODE_CONSOLE", configuration.console);
  return address.empty() ? net::Socket() : net::listen_on(address);
}

void run(const char* path, const sigset_t& signals) {
  const Configuration configuration = read_configuration(path);
  const std::optional<recovery::RecoverySettings> recovery_settings = read_recovery_settings();
  // Buffers may take five eighths of the memory, a third of them for requests: each attempt needs a buffer,
  // and a request may have several attempts. Threads and everything else take a tenth of 192 MB with every
  // descriptor in use.
  const std::size_t buffer_count =
      static_cast<std::size_t>(configuration.memory_mb) * 1024 * 1024 / 8 * 5 / net::Buffer::kSize;
  net::BufferPool request_buffers(buffer_count / 3), attempt_buffers(buffer_count - buffer_count / 3);
  net::Reducer reducer;  // declared after the pools, since events left in its queue may hold buffers
  std::unique_ptr<Node> node;
  Node* node_pointer = nullptr;
  CurrentTerms terms(configuration.terms);
  MetricsBoard board;
  net::HandoverSignal handover_signal;
  net::NodeContext context{reducer, request_buffers, attempt_buffers, terms,
                           board,   handover_signal, nullptr,         node_pointer};
  if (recovery_settings)
    RecoveryWiring::reject_self_as_peer(*recovery_settings, configuration.name,
                                        address_from_environment("NODE_CONSOLE", configuration.console));
  const std::string discovery = address_from_environment("NODE_DISCOVERY", configuration.discovery);
  bool shared = false;
  net::Socket listener = client_listener(configuration, shared);
  std::unique_ptr<net::Console> console;
  if (net::Socket socket = console_listener(configuration); socket.is_open())
    console = std::make_unique<net::Console>(std::move(socket), board);
  net::start_log(configuration.name);
  if (console) net::log_note("console on " + console->address());

  std::unique_ptr<net::Server> server;
  std::atomic<bool> predecessor_leaving{false};
  const auto share_limits = [&](int sixteenths) {
    request_buffers.set_limit(buffer_count / 3 * sixteenths / 16);
    attempt_buffers.set_limit((buffer_count - buffer_count / 3) * sixteenths / 16);
    reducer.post([&node, sixteenths](Time now) { node->set_descriptor_share(now, sixteenths); });
  };
  const auto take_over = [&](net::Upgrade::Message message) {
    // The predecessor has begun to leave: its connections and requests are coming here, and it keeps few
    // descriptors and buffers.
    if (!predecessor_leaving.exchange(true)) share_limits(15);
    const auto held_message = std::make_shared<net::Upgrade::Message>(std::move(message));
    reducer.post([&server, held_message](Time now) {
      try {
        rapidjson::Document document;
        document.Parse<net::kIterativeJsonParse>(held_message->json.data(), held_message->json.size());
        server->take_over(now, document, held_message->bytes, std::move(held_message->sockets));
      } catch (const BadInput& input) {
        net::log_note(std::string("upgrade: message from the predecessor rejected: ") + input.what());
      }
    });
  };
  std::unique_ptr<net::Upgrade> upgrade;
  if (shared) {
    upgrade = std::make_unique<net::Upgrade>(configuration.name, take_over,
                                             [&](bool overlap) { share_limits(overlap ? 8 : 16); });
    context.successor = upgrade.get();
  }
  const Time start = net::now();
  std::unique_ptr<RecoveryWiring> recovery;
  if (recovery_settings)
    recovery = std::make_unique<RecoveryWiring>(*recovery_settings, configuration.name, start,
                                                [&reducer](auto event) { reducer.post(std::move(event)); });
  server = std::make_unique<net::Server>(context, std::move(listener), upgrade.get(), configuration.sockets,
                                         recovery ? recovery->store() : nullptr);
  const Platform platform{configuration.sockets, shared, console ? net::Console::kMaxConnections + 1 : 0};
  node = std::make_unique<Node>(
      configuration.settings, configuration.terms, platform, configuration.seed, *server, start, discovery,
      recovery && recovery->generation() > 0 ? recovery->generation() : configuration.known_list_generation);
  node_pointer = node.get();
  const JsonValue& known = member(configuration.file, "known");
  if (recovery)
    recovery->restore(*node, start, known, discovery);
  else if (!known.IsNull())
    net::apply_list(*node, start, known, net::ListSource::kCached);
  if (upgrade && (!handover_signal.enable() || !upgrade->start(std::getenv("TMPDIR")))) {
    net::log_note("upgrade: cannot exchange messages with another process; using half of the limits");
    share_limits(8);
  }
  server->start();
  if (console && recovery) console->set_peer_answers(recovery->publish_peer_answers());
  if (console) net::start_thread([&console] { console->run(); });
  std::unique_ptr<net::PeerPoller> peer_poller;
  if (recovery && !recovery_settings->peers.nodes.empty()) {
    peer_poller = std::make_unique<net::PeerPoller>(context, recovery_settings->peers,
                                                    start + recovery_settings->peers.poll_duration);
    peer_poller->start();
  }
  const auto apply = [&](Settings settings, Terms new_terms, std::string address) {
    reducer.post([&, settings = std::move(settings), new_terms = std::move(new_terms),
                  address = std::move(address)](Time now) {
      try {
        node->settings_changed(now, settings, new_terms);
      } catch (const BadInput& input) {
        net::log_note(std::string("reload: nothing changes: ") + input.what());
        return node->reload_rejected();
      }
      terms.replace(std::make_shared<const Terms>(node->terms()));
      node->discovery_moved(now, address);
    });
  };
  net::start_thread([&] {
    const timespec poll_interval{0, 200000000};
    while (!reducer.finished()) {
      const int signal = sigtimedwait(&signals, nullptr, &poll_interval);
      if (signal == SIGHUP && !reload(path, configuration, apply))
        reducer.post([&node](Time) { node->reload_rejected(); });
      if (signal != SIGTERM && signal != SIGINT) continue;
      net::log_note("told to stop");
      reducer.post([&node](Time now) { node->stop(now); });
    }
  });
  reducer.run([&node](Time now, std::uint64_t token) { node->timer_due(now, token); });
  if (upgrade) upgrade->stop();
  if (peer_poller) peer_poller->stop();
  server->end_threads();
  if (console) console->stop();
  // Longer than the longest wait of a thread that does not check for the end. A thread that is stuck
  // nevertheless ends with the process.
  const bool threads_ended = net::wait_for_threads(net::Milliseconds(1500));
  recovery.reset();  // writes what is still queued
  net::stop_log();
  if (!server->failure().empty()) throw std::runtime_error(server->failure());
  if (!threads_ended) std::_Exit(0);
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
  // Two malloc arenas: with one per thread, hundreds of threads would retain memory that none of them uses.
  mallopt(M_ARENA_MAX, 2);
  signal(SIGPIPE, SIG_IGN);
  // Blocked before the first thread starts, so that all threads inherit the mask and one thread alone takes
  // the signals.
  sigset_t signals;
  sigemptyset(&signals);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, number);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    run(config, signals);
  } catch (const std::exception& failure) {
    std::cerr << "canvasstage: " << failure.what() << '\n';
    return 1;
  }
  return 0;
}
