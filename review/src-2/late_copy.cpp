// Case: an executor that turned a job away sends its answer a second time, some milliseconds late.
#include "kit.h"

using namespace kit;

namespace {

struct Executors {
  std::mutex mutex;
  std::map<std::string, std::set<std::string>> turned_away;  // request id -> executors that turned it away
  std::map<std::string, int> runs;                           // request id -> how often it was run
};

// An executor. Its slots are taken by other dispatchers' jobs when a request comes for the first time, and some
// are free when it comes again. It deals with the requests of a connection one after another.
void serve(int fd, const std::string& name, Executors& all, Record& record, bool copies) {
  std::string pending;
  for (Message request; read_message(fd, pending, request);) {
    const std::string id = request.field("X-Correlation-Id");
    bool turns_away;
    {
      const std::lock_guard lock(all.mutex);
      turns_away = all.turned_away[id].insert(name).second;
      if (!turns_away) record.line("run      %s at %s, time %d", id.c_str(), name.c_str(), ++all.runs[id]);
    }
    if (turns_away) {
      const std::string answer = kTaken + job_line(id, name, "\"state\":\"returned\"") + kLastChunk;
      record.line("returned %s at %s", id.c_str(), name.c_str());
      if (!send_all(fd, answer)) return;
      if (!copies) continue;
      pause(0.005);
      record.line("the same answer once more: %s at %s", id.c_str(), name.c_str());
      if (!send_all(fd, answer)) return;
      continue;
    }
    if (!send_all(fd, kTaken)) return;
    pause(0.05);
    if (!send_all(fd, job_line(id, name, "\"state\":\"done\",\"result\":\"" + id + "\"") + kLastChunk)) return;
    record.line("done     %s at %s", id.c_str(), name.c_str());
  }
}

}  // namespace

int main() {
  const bool trouble = with_trouble();
  const std::string folder = required_env("CASE"), temporary = required_env("CASE_TMP");
  Record record(folder + "/record.txt");
  Executors all;
  Server first([&](int fd) { serve(fd, "s-01", all, record, trouble); });
  Server second([&](int fd) { serve(fd, "s-02", all, record, trouble); });
  Discovery discovery({{"s-01", first.address(), "a", 1}, {"s-02", second.address(), "a", 2}});
  const int port = free_port();
  write_file(temporary + "/config.json",
             "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + std::to_string(port) + "\",\"discovery\":\"" +
                 discovery.address() +
                 "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                 "\"settings\":{\"useCases\":[{\"name\":\"audit\",\"agreedTime\":0.5,\"hardLimit\":5,"
                 "\"semantics\":\"single_shot\",\"window\":0}],\"replicasOfMe\":1,\"membershipMode\":\"ask\","
                 "\"zones\":[\"a\"],\"locality\":\"a\",\"shapes\":[\"m1\"],\"quantum\":0.002,"
                 "\"caps\":{\"mostLaunches\":5,\"connIdle\":30,\"connectTimeout\":0.25,\"cancelling\":true,"
                 "\"secondCopies\":false},"
                 "\"guarantees\":{\"askWithin\":10,\"drainGrace\":1.5,\"graceToAnswer\":0.008}}}");
  Node node("n0", required_env("RUN"), temporary + "/n0.log",
            {{"NODE_CONFIG", temporary + "/config.json"}, {"TMPDIR", temporary}});
  node.start();
  wait_until_ready(port, "/healthz", "the node");
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    char id[32];
    std::snprintf(id, sizeof id, "9b1f03aa5c7e%04d", i);
    record.line("client sends %s", id);
    const Answer answer = ask(port, {.path = "/audit/7f3a9c21e0b4d655", .id = id, .key = ""}, 6);
    record.line("client gets  %s: %d %s", id, answer.status, answer.body.c_str());
    pause(0.2);
  }
  pause(0.5);
  int twice = 0;
  {
    const std::lock_guard lock(all.mutex);
    for (const auto& [id, runs] : all.runs) twice += runs > 1 ? 1 : 0;
  }
  record.line("requests %d, run more than once %d", kRequests, twice);
  int status = 0;
  if (node.has_ended(status)) cannot_run("the node has ended");
  node.kill_now();
  std::printf("%d of %d at-most-once requests were run more than once\n", twice, kRequests);
  std::fflush(stdout);
  std::_Exit(twice > 0 ? 1 : 0);
}
