// Case: two upgrades of a node under load, one soon after the other, while clients write their requests slowly.
// TROUBLE=0: no upgrade. TROUBLE=one: the first upgrade alone.
// Descriptor 3 has to be free at the start: the listening socket of the clients becomes descriptor 3.
#include "kit.h"

using namespace kit;

namespace {

void serve(int fd, const std::string& name, Record& record) {
  std::string pending;
  for (Message request; read_message(fd, pending, request);) {
    const std::string id = request.field("X-Correlation-Id");
    record.line("run %s at %s", id.c_str(), name.c_str());
    if (!send_all(fd, kTaken + job_line(id, name, "\"state\":\"started\""))) return;
    pause(0.3);
    if (!send_all(fd, job_line(id, name, "\"state\":\"done\",\"result\":\"" + id + "\"") + kLastChunk)) return;
  }
}

// Writes the request in pieces over 2 s. Returns whether it was written whole and got no whole answer.
bool is_lost(int port, const Request& request, Record& record) {
  constexpr std::size_t kPieces = 20;
  const Fd socket = connect_to(port);
  if (socket.fd < 0) return false;  // never taken
  const std::string bytes = request.encode();
  record.line("client begins %s", request.id.c_str());
  for (std::size_t i = 0; i < kPieces; ++i) {
    const std::size_t from = bytes.size() * i / kPieces, to = bytes.size() * (i + 1) / kPieces;
    if (!send_all(socket.fd, bytes.substr(from, to - from))) {
      record.line("client could not write %s whole", request.id.c_str());
      return false;
    }
    if (i + 1 < kPieces) pause(0.1);
  }
  record.line("client has written %s whole", request.id.c_str());
  std::string pending;
  Message answer;
  const bool answered = read_message(socket.fd, pending, answer, request.time_left_ms / 1000.0 + 1);
  record.line("client gets %s: %s", request.id.c_str(),
              answered ? answer.start.c_str() : "the end of the connection, and no answer");
  return !answered;
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
  Server first([&](int fd) { serve(fd, "s-01", record); });
  Server second([&](int fd) { serve(fd, "s-02", record); });
  Discovery discovery({{"s-01", first.address(), "a", 1}, {"s-02", second.address(), "a", 2}});
  std::vector<std::unique_ptr<Node>> nodes;
  const auto start = [&] {
    const std::string number = std::to_string(nodes.size() + 1);
    const std::string config = temporary + "/config-" + number + ".json";
    const int console = free_port();
    write_file(config, "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + std::to_string(port) +
                           "\",\"console\":\"127.0.0.1:" + std::to_string(console) + "\",\"discovery\":\"" +
                           discovery.address() + "\",\"seed\":\"8c1f30d27a5be96" + number +
                           "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                           "\"settings\":{\"useCases\":[{\"name\":\"lookup\",\"agreedTime\":1,\"hardLimit\":5,"
                           "\"semantics\":\"free\"}],\"replicasOfMe\":1,\"membershipMode\":\"ask\","
                           "\"zones\":[\"a\"],\"locality\":\"a\",\"shapes\":[\"m1\"],\"quantum\":0.002,"
                           "\"caps\":{\"mostLaunches\":5,\"connIdle\":30,\"connectTimeout\":0.25,"
                           "\"cancelling\":true},"
                           "\"guarantees\":{\"askWithin\":10,\"drainGrace\":1.5,\"graceToAnswer\":0.008}}}");
    ::fcntl(listener.fd, F_SETFD, 0);
    nodes.push_back(std::make_unique<Node>(
        "n0", required_env("RUN"), temporary + "/log-" + number,
        std::map<std::string, std::string>{
            {"NODE_CONFIG", config}, {"TMPDIR", temporary}, {"NODE_INHERITED_FD", "3"}}));
    nodes.back()->start();
    ::fcntl(listener.fd, F_SETFD, FD_CLOEXEC);
    wait_until_ready(console, "/_ready", "version " + number);
    record.line("version %s is ready", number.c_str());
  };
  const auto upgrade = [&] {
    start();
    nodes[nodes.size() - 2]->send_signal(SIGTERM);
    record.line("SIGTERM to version %zu", nodes.size() - 1);
  };
  start();
  constexpr int kClients = 5;
  std::atomic<int> lost{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([&, i] {
      const Request request{.path = "/lookup/7f3a9c21e0b4d655", .id = "9b1f03aa5c7e000" + std::to_string(i),
                            .key = "", .body = std::string(2000, 'b'), .time_left_ms = 4000};
      if (is_lost(port, request, record)) ++lost;
    });
  pause(0.3);
  if (trouble != "0") upgrade();
  pause(0.3);
  if (trouble != "0" && trouble != "one") upgrade();
  for (std::thread& client : clients) client.join();
  pause(0.5);
  int status = 0;
  if (nodes.back()->has_ended(status)) cannot_run("the last version has ended");
  for (const std::unique_ptr<Node>& node : nodes) node->kill_now();
  record.line("requests %d, lost %d", kClients, lost.load());
  std::printf("%d of %d requests were taken and never answered\n", lost.load(), kClients);
  std::fflush(stdout);
  std::_Exit(lost > 0 ? 1 : 0);
}
