// Cases: two nodes with recovery, each the other's peer, lose power and come back; clients of the first node
// repeat their requests, by key, where the front leads them. A key is to run in one zone only. The platform's
// stand-in mounts a node's disk by a link to its backing folder.
//   power_loss answered     the clients' link is cut before the answers come; power is lost 2 s later
//   power_loss late-store   power is lost under the requests; the first node's disk is mounted 6 s late
// TROUBLE=0: none of it. TROUBLE=loss: power is lost under the requests, and nothing else happens.
#include "kit.h"

using namespace kit;

namespace {

// Executors of one zone discard repeats of a key: they give the result of its first run.
struct Zones {
  std::mutex mutex;
  std::map<std::string, std::set<std::string>> zones_of_key;
};

void serve(int fd, const std::string& name, const std::string& zone, Zones& zones, Record& record) {
  std::string pending;
  for (Message request; read_message(fd, pending, request);) {
    const std::string id = request.field("X-Correlation-Id"), key = request.field("Idempotency-Key");
    bool first;
    {
      const std::lock_guard lock(zones.mutex);
      first = zones.zones_of_key[key].insert(zone).second;
    }
    record.line("%s key %s request %s at %s zone %s", first ? "run      " : "known    ", key.c_str(),
                id.c_str(), name.c_str(), zone.c_str());
    send_all(fd, kTaken + job_line(id, name, "\"state\":\"started\""));
    if (first) pause(0.8);
    const bool told =
        send_all(fd, job_line(id, name, "\"state\":\"done\",\"result\":\"" + key + "\"") + kLastChunk);
    record.line("done      key %s at %s%s", key.c_str(), name.c_str(), told ? "" : " (its node is gone)");
    if (!told) return;
  }
}

// The clients' link to a node. While it is cut, bytes of either side wait; at its return connections are
// reset.
class Link {
 public:
  explicit Link(int target) : target_(target), server_([this](int fd) { serve(fd); }) {}
  int port() const { return server_.port(); }
  void cut() { cut_ = true; }
  void reset_all() { reset_ = true; }

 private:
  void serve(int client) {
    const Fd node = connect_to(target_);
    if (node.fd < 0) return;
    while (!reset_) {
      if (cut_) {
        pause(0.01);
        continue;
      }
      pollfd both[2] = {{client, POLLIN, 0}, {node.fd, POLLIN, 0}};
      ::poll(both, 2, 10);
      if (cut_) continue;
      for (int side = 0; side < 2; ++side) {
        if (both[side].revents == 0) continue;
        std::string bytes;
        if (receive(both[side].fd, bytes, 0) <= 0 || !send_all(both[1 - side].fd, bytes)) return;
      }
    }
    const linger at_once{1, 0};
    ::setsockopt(client, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  }
  const int target_;
  std::atomic<bool> cut_{false}, reset_{false};
  Server server_;
};

struct Place {
  std::string name, folder;
  int port = free_port(), console = free_port();
};

// `seed`: new with each start, as the platform gives it.
void configure(const Place& place, const Place& peer, const Discovery& discovery, int seed) {
  write_file(place.folder + "/config.json",
             "{\"name\":\"" + place.name + "\",\"listen\":\"127.0.0.1:" + std::to_string(place.port) +
                 "\",\"console\":\"127.0.0.1:" + std::to_string(place.console) + "\",\"discovery\":\"" +
                 discovery.address() + "\",\"seed\":\"8c1f30d27a5be96" + std::to_string(seed) +
                 "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                 "\"settings\":{\"useCases\":[{\"name\":\"phase-run\",\"agreedTime\":2,\"hardLimit\":30,"
                 "\"semantics\":\"guarded\",\"group\":\"zone\",\"window\":40}],\"replicasOfMe\":2,"
                 "\"membershipMode\":\"ask\",\"zones\":[\"a\",\"b\"],\"locality\":\"a\",\"shapes\":[\"m1\"],"
                 "\"quantum\":0.002,\"clients\":{\"marksRetry\":true},"
                 "\"caps\":{\"mostLaunches\":5,\"connIdle\":30,\"connectTimeout\":0.25,\"cancelling\":true,"
                 "\"secondCopies\":false},"
                 "\"guarantees\":{\"askWithin\":10,\"drainGrace\":1.5,\"graceToAnswer\":0.008}}}");
  // The values of deploy/recovery.toml, with this node's directory and its peer.
  write_file(
      place.folder + "/recovery.toml",
      "[store]\ndirectory = \"" + place.folder +
          "/disk/store\"\nmax_size_mb = 64\n"
          "[attempts]\nenabled = true\nkeep_after_window_s = 60\nmax_records = 20000\n"
          "[learned]\nsave_every_s = 5\nfade_s = 600\nmax_age_s = 86400\n"
          "[membership]\nshort_list_hold_s = 15\nshort_list_share = 0.5\n"
          "[peers]\nnodes = [{name = \"" +
          peer.name + "\", address = \"127.0.0.1:" + std::to_string(peer.console) +
          "\"}]\nask_every_s = 1\nask_for_s = 60\ntimeout_s = 0.5\npatience_s = 2\nmax_answer_kb = 1024\n");
}

}  // namespace

int main(int argc, char** argv) {
  const bool answered = argc == 2 && std::string(argv[1]) == "answered";
  const bool late_store = argc == 2 && std::string(argv[1]) == "late-store";
  if (!answered && !late_store) cannot_run("answered or late-store");
  const char* const variable = std::getenv("TROUBLE");
  const std::string trouble = variable == nullptr ? "1" : variable;
  const bool loses_power = trouble != "0", all_trouble = loses_power && trouble != "loss";
  const std::string folder = required_env("CASE"), temporary = required_env("CASE_TMP");
  Record record(folder + "/record.txt");
  Zones zones;
  Server first([&](int fd) { serve(fd, "s-01", "a", zones, record); });
  Server second([&](int fd) { serve(fd, "s-02", "b", zones, record); });
  Discovery discovery({{"s-01", first.address(), "a", 1}, {"s-02", second.address(), "b", 2}});
  const Place n0{"n0", temporary + "/n0"}, n1{"n1", temporary + "/n1"};
  for (const Place* const place : {&n0, &n1})
    for (const char* const name : {"", "/backing"}) ::mkdir((place->folder + name).c_str(), 0700);
  const auto mount = [](const Place& place) {
    if (::symlink((place.folder + "/backing").c_str(), (place.folder + "/disk").c_str()) != 0)
      cannot_run("symlink");
  };
  mount(n0);
  mount(n1);
  configure(n0, n1, discovery, 0);
  configure(n1, n0, discovery, 1);
  const auto environment = [](const Place& place) {
    return std::map<std::string, std::string>{{"NODE_CONFIG", place.folder + "/config.json"},
                                              {"NODE_RECOVERY", place.folder + "/recovery.toml"},
                                              {"TMPDIR", place.folder}};
  };
  const std::string run = required_env("RUN");
  Node node0("n0", run, n0.folder + "/log", environment(n0)),
      node1("n1", run, n1.folder + "/log", environment(n1));
  node0.start();
  node1.start();
  wait_until_ready(n0.console, "/_ready", "n0");
  wait_until_ready(n1.console, "/_ready", "n1");

  Link link(n0.port);
  constexpr int kKeys = 24;
  std::vector<Answer> answers(kKeys);
  const auto request = [](int i, int attempt) {
    char id[40], key[40];
    std::snprintf(id, sizeof id, "9b1f03aa5c7e%02d%02d", attempt, i);
    std::snprintf(key, sizeof key, "5c0f6e1a2b3d4c59a8b7c6d5e4f303%02d", i);
    return Request{.path = "/phase-run/7f3a9c21e0b4d655",
                   .id = id,
                   .key = key,
                   .time_left_ms = 8000,
                   .repeat = attempt > 0};
  };
  const double began = seconds();
  std::vector<std::thread> clients;
  for (int i = 0; i < kKeys; ++i)
    clients.emplace_back([&, i] {
      const Request mine = request(i, 0);
      record.line("client %d sends %s key %s to n0", i, mine.id.c_str(), mine.key.c_str());
      answers[i] = ask(link.port(), mine, 10);
      record.line("client %d gets %d", i, answers[i].status);
    });
  pause(0.4);
  const auto lose_power = [&] {
    record.line("power is lost: n0 and n1 are killed");
    node0.kill_now();
    node1.kill_now();
  };
  if (loses_power) {
    if (answered && all_trouble) {
      record.line("the clients' link is cut");
      link.cut();
      pause(2);
    }
    lose_power();
    link.reset_all();
    if (late_store && all_trouble) {
      record.line("n0 comes back before its disk is mounted");
      ::unlink((n0.folder + "/disk").c_str());
    }
    pause(0.5);
    configure(n0, n1, discovery, 2);
    configure(n1, n0, discovery, 3);
    node0.start();
    node1.start();
    if (late_store && all_trouble)
      std::thread([&] {
        pause(6);
        mount(n0);
        record.line("the disk of n0 is mounted");
      }).detach();
    wait_until_ready(n0.console, "/_ready", "n0");
    wait_until_ready(n1.console, "/_ready", "n1");
    record.line("n0 and n1 are ready");
  }
  for (std::thread& client : clients) client.join();

  // A client whose node was unreachable repeats its request; after a refusal it goes to the other node. It
  // gives up with the class's hard limit.
  const auto repeat = [&](int i) {
    int attempt = 0;
    while (answers[i].status != 200 && seconds() - began < 29) {
      ++attempt;
      const bool to_n0 = late_store && attempt % 2 == 1;
      const Request mine = request(i, attempt);
      record.line("client %d sends %s key %s to %s", i, mine.id.c_str(), mine.key.c_str(),
                  to_n0 ? "n0" : "n1");
      answers[i] = ask(to_n0 ? n0.port : n1.port, mine, 10);
      record.line("client %d gets %d", i, answers[i].status);
      if (answers[i].status > 0 && answers[i].status != 429 && answers[i].status != 503) return;
      pause(0.3);
    }
  };
  clients.clear();
  for (int i = 0; i < kKeys; ++i) clients.emplace_back(repeat, i);
  for (std::thread& client : clients) client.join();
  pause(1.5);
  int status = 0;
  if (node0.has_ended(status) || node1.has_ended(status)) cannot_run("a node has ended");
  node0.kill_now();
  node1.kill_now();
  int twice = 0;
  const std::lock_guard lock(zones.mutex);
  for (const auto& [key, places] : zones.zones_of_key) twice += places.size() > 1 ? 1 : 0;
  record.line("keys %d, run in both zones %d", kKeys, twice);
  std::printf("%d of %d keys were run in both zones\n", twice, kKeys);
  std::fflush(stdout);
  std::_Exit(twice > 0 ? 1 : 0);
}
