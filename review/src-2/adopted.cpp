// Case: a new version that has recovery takes over waiting keyed requests from the version beside it, sends
// them to executors, and is killed while they run. A key is to run in one zone only. TROUBLE=0: no upgrade
// and no kill. TROUBLE=kill: the node has recovery from the start and is killed, without an upgrade.
// TROUBLE=chain: the node has recovery already, and its operators do as docs/power-loss.md says: a new
// version beside the old one serves without the store, "start it once more when the old one has ended"; then
// the kill. Descriptor 3 has to be free at the start: the listening socket of the clients becomes
// descriptor 3.
#include "kit.h"

using namespace kit;

namespace {

// Executors of one zone discard repeats of a key: they give the result of its first run.
struct Zones {
  std::mutex mutex;
  std::map<std::string, std::set<std::string>> zones_of_key;
  std::set<std::string> sent_before;  // keys that came while the executors were busy
  std::atomic<bool> busy{true};       // other dispatchers' jobs hold all slots: a job that is taken waits
};

void serve(int fd, const std::string& name, const std::string& zone, Zones& zones, Record& record) {
  std::string pending;
  for (Message request; read_message(fd, pending, request);) {
    const std::string id = request.field("X-Correlation-Id"), key = request.field("Idempotency-Key");
    if (zones.busy) {
      const std::lock_guard lock(zones.mutex);
      zones.sent_before.insert(key);
      record.line("taken, and waits for a slot: key %s request %s at %s", key.c_str(), id.c_str(),
                  name.c_str());
    }
    send_all(fd, kTaken);
    while (zones.busy) pause(0.005);
    bool first;
    {
      const std::lock_guard lock(zones.mutex);
      first = zones.zones_of_key[key].insert(zone).second;
    }
    record.line("%s key %s request %s at %s zone %s", first ? "run      " : "known    ", key.c_str(),
                id.c_str(), name.c_str(), zone.c_str());
    send_all(fd, job_line(id, name, "\"state\":\"started\""));
    if (first) pause(5);
    const bool told =
        send_all(fd, job_line(id, name, "\"state\":\"done\",\"result\":\"" + key + "\"") + kLastChunk);
    record.line("done      key %s at %s%s", key.c_str(), name.c_str(), told ? "" : " (its node is gone)");
    if (!told) return;
  }
}

}  // namespace

int main() {
  int port = 0;
  const Fd listener = listen_on_free_port(port);  // held by the platform
  if (listener.fd != 3) cannot_run("descriptor 3 is not free");
  const char* const variable = std::getenv("TROUBLE");
  const std::string trouble = variable == nullptr ? "1" : variable;
  const std::string folder = required_env("CASE"), temporary = required_env("CASE_TMP");
  Record record(folder + "/record.txt");
  Zones zones;
  Server first([&](int fd) { serve(fd, "s-01", "a", zones, record); });
  Server second([&](int fd) { serve(fd, "s-02", "b", zones, record); });
  Discovery discovery({{"s-01", first.address(), "a", 1}, {"s-02", second.address(), "b", 2}});
  // The values of deploy/recovery.toml, with the node's directory; no peers.
  write_file(temporary + "/recovery.toml",
             "[store]\ndirectory = \"" + temporary +
                 "/store\"\nmax_size_mb = 64\n"
                 "[attempts]\nenabled = true\nkeep_after_window_s = 60\nmax_records = 20000\n"
                 "[learned]\nsave_every_s = 5\nfade_s = 600\nmax_age_s = 86400\n"
                 "[membership]\nshort_list_hold_s = 15\nshort_list_share = 0.5\n");
  std::vector<std::unique_ptr<Node>> nodes;
  const auto start = [&](bool recovery) {
    const std::string number = std::to_string(nodes.size() + 1);
    const std::string config = temporary + "/config-" + number + ".json";
    const int console = free_port();
    write_file(config,
               "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + std::to_string(port) +
                   "\",\"console\":\"127.0.0.1:" + std::to_string(console) + "\",\"discovery\":\"" +
                   discovery.address() + "\",\"seed\":\"8c1f30d27a5be96" + number +
                   "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                   "\"settings\":{\"useCases\":[{\"name\":\"phase-run\",\"agreedTime\":10,\"hardLimit\":30,"
                   "\"semantics\":\"guarded\",\"group\":\"zone\",\"window\":40}],\"replicasOfMe\":1,"
                   "\"membershipMode\":\"ask\",\"zones\":[\"a\",\"b\"],\"locality\":\"a\","
                   "\"shapes\":[\"m1\"],\"quantum\":0.002,\"clients\":{\"marksRetry\":true},"
                   "\"domain\":{\"tellsStart\":true},"
                   "\"caps\":{\"mostLaunches\":5,\"connIdle\":30,\"connectTimeout\":0.25,"
                   "\"cancelling\":true,\"secondCopies\":false},"
                   "\"guarantees\":{\"askWithin\":10,\"drainGrace\":1.5,\"graceToAnswer\":0.008}}}");
    std::map<std::string, std::string> environment{
        {"NODE_CONFIG", config}, {"TMPDIR", temporary}, {"NODE_INHERITED_FD", "3"}};
    if (recovery) environment["NODE_RECOVERY"] = temporary + "/recovery.toml";
    ::fcntl(listener.fd, F_SETFD, 0);
    nodes.push_back(
        std::make_unique<Node>("n0", required_env("RUN"), temporary + "/log-" + number, environment));
    nodes.back()->start();
    ::fcntl(listener.fd, F_SETFD, FD_CLOEXEC);
    wait_until_ready(console, "/_ready", "process " + number);
    record.line("process %s is ready, recovery %s", number.c_str(), recovery ? "on" : "off");
  };
  const auto upgrade = [&] {
    start(true);
    Node& old = *nodes[nodes.size() - 2];
    old.send_signal(SIGTERM);
    record.line("SIGTERM to process %zu", nodes.size() - 1);
    int status = 0;
    for (const double until = seconds() + 4; !old.has_ended(status); pause(0.02))
      if (seconds() > until) cannot_run("the old process stays");
    record.line("process %zu has ended", nodes.size() - 1);
  };
  start(trouble == "kill" || trouble == "chain");
  if (trouble == "chain") upgrade();

  constexpr int kKeys = 24;
  // A client whose node was unreachable repeats its request, as does one that was refused.
  const auto play_client = [&](int i) {
    char key[40];
    std::snprintf(key, sizeof key, "5c0f6e1a2b3d4c59a8b7c6d5e4f303%02d", i);
    const double until = seconds() + 29;
    for (int attempt = 0; seconds() < until; ++attempt) {
      char id[40];
      std::snprintf(id, sizeof id, "9b1f03aa5c7e%02d%02d", attempt, i);
      record.line("client %d sends %s key %s", i, id, key);
      const Answer answer = ask(port,
                                {.path = "/phase-run/7f3a9c21e0b4d655",
                                 .id = id,
                                 .key = key,
                                 .time_left_ms = 12000,
                                 .repeat = attempt > 0},
                                13);
      record.line("client %d gets %d", i, answer.status);
      if (answer.status >= 0 && answer.status != 429 && answer.status != 503) return;
      pause(0.5);
    }
  };
  std::vector<std::thread> clients;
  for (int i = 0; i < kKeys; ++i) clients.emplace_back(play_client, i);
  pause(0.5);
  if (trouble == "1" || trouble == "chain") upgrade();
  record.line("the executors have free slots");
  zones.busy = false;
  if (trouble != "0") {
    pause(1.5);
    record.line("process %zu is killed", nodes.size());
    nodes.back()->kill_now();
    pause(0.2);
    start(true);
  }
  for (std::thread& client : clients) client.join();
  pause(0.5);
  int status = 0;
  if (nodes.back()->has_ended(status)) cannot_run("the node has ended");
  for (const std::unique_ptr<Node>& node : nodes) node->kill_now();
  int counted = 0, twice = 0;
  const std::lock_guard lock(zones.mutex);
  for (const auto& [key, places] : zones.zones_of_key) {
    if (zones.sent_before.contains(key)) continue;  // sent by the version before, perhaps without a record
    ++counted;
    twice += places.size() > 1 ? 1 : 0;
  }
  record.line("keys first sent by the last version %d, run in both zones %d", counted, twice);
  if (counted == 0) cannot_run("no key waited for the new version");
  std::printf("%d of %d keys were run in both zones\n", twice, counted);
  std::fflush(stdout);
  std::_Exit(twice > 0 ? 1 : 0);
}
