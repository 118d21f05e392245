// The second address and its figures.
#include "net/console.h"

#include <gtest/gtest.h>

#include <map>

#include "helpers.h"

namespace canvasstage {
namespace {

std::string ask(const std::string& path, const MetricsBoard& board = MetricsBoard()) {
  return net::console_answer("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n", board);
}

std::string status_of(const std::string& answer) {
  return answer.empty() ? "" : answer.substr(9, 3);
}

TEST(Console, WhatCannotBeReadOrIsNotKnownIsTold) {
  const MetricsBoard board;
  const std::vector<std::pair<std::string, std::string>> rows = {
      {"GET /_ready HTTP/1.1\r\n\r\n", "503"},  // nothing was published yet
      {"GET /_vars HTTP/1.1\r\n\r\n", "200"},
      {"GET /_vars?x=1 HTTP/1.0\r\n\r\n", "200"},
      {"GET /_var HTTP/1.1\r\n\r\n", "404"},
      {"GET / HTTP/1.1\r\n\r\n", "404"},
      {"POST /_vars HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "405"},
      {"nonsense\r\n\r\n", "400"},
      {"GET /_vars HTTP/1.1\n", "400"},
      {std::string("\0\xff", 2), "400"},
      {"GET /_vars HTTP/1.1\r\nA: " + std::string(9000, 'x'), "431"},
      {"GET /_vars HTTP/1.1\r\nA: " + std::string(5000, 'x'), "431"},
      {"GET /_vars HTTP/1.1\r\n", ""},
      {"G", ""}};
  for (const auto& [call, status] : rows) {
    const std::string answer = net::console_answer(call, board);
    EXPECT_EQ(status_of(answer), status) << call.substr(0, 40);
    if (answer.empty()) continue;
    EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos);
    EXPECT_NE(answer.find("Content-Length: "), std::string::npos);
  }
}

TEST(Console, EveryCutOfACallWaitsForMore) {
  const std::string call = "GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n";
  const MetricsBoard board;
  for (std::size_t cut = 0; cut < call.size(); ++cut)
    EXPECT_EQ(net::console_answer(call.substr(0, cut), board), "") << cut;
}

TEST(Console, FiguresAreWrittenAsPrometheusReadsThem) {
  Metrics figures;
  figures.use_cases = {{"look\"up\\", 812, 3, 1}};
  figures.outstanding = 14;
  figures.listed_executors = 9;
  figures.avoided_executors = 2;
  figures.reloads_rejected = 5;
  figures.ready = true;
  MetricsBoard board;
  board.publish(figures);
  for (int i = 0; i < 7; ++i) board.count_attempt_sent();
  EXPECT_EQ(status_of(ask("/_ready", board)), "200");
  const std::string answer = ask("/_vars", board);
  for (const char* const line :
       {"# TYPE node_results_total counter\n",
        "node_results_total{service=\"look\\\"up\\\\\",disposition=\"succeeded\"} 812\n",
        ",disposition=\"declined\"} 3\n", ",disposition=\"aborted\"} 1\n", "# TYPE node_outstanding gauge\n",
        "\nnode_outstanding 14\n", "\nnode_discovered 9\n", "\nnode_ejected 2\n", "\nnode_forwards_total 7\n",
        "\nnode_sighup_applied_total 0\n", "\nnode_sighup_rejected_total 5\n"})
    EXPECT_NE(answer.find(line), std::string::npos) << line;
}

// Every way in which a submission ends, and the sum that has to come out.
TEST(Figures, WhatWasTakenHasEndedOrIsOutstanding) {
  Core core(2, 64);
  const auto sums = [&core](Time then) {
    const Metrics& f = core.figures_at(then);
    std::uint64_t ended = f.client_left;
    for (const Metrics::UseCase& one : f.use_cases) ended += one.succeeded + one.shed + one.failed;
    EXPECT_EQ(f.accepted, ended + f.outstanding);
    return f;
  };
  core.arrive(1, 0);
  core.arrive(2, 2);
  EXPECT_EQ(sums(kNow + kSecond / 10).outstanding, 2u);
  core.end(1, Outcome::kSucceeded, kNow + kSecond / 10);
  core.end(2, Outcome::kConnectionLost, kNow + kSecond / 10);  // single-use, and may have run
  Metrics f = sums(kNow + kSecond / 5);
  EXPECT_EQ(f.outstanding, 0u);
  EXPECT_EQ(f.use_cases[0].succeeded, 1u);
  EXPECT_EQ(f.use_cases[2].failed, 1u);
  core.arrive(3, 0, kNow + kSecond / 5);
  core.node.client_closed(kNow + kSecond / 5, 3);  // went away
  EXPECT_EQ(sums(kNow + kSecond * 3 / 10).client_left, 1u);
  core.arrive(4, 0, kNow + kSecond / 2);
  core.node.client_opened(kNow + kSecond / 2, 5);
  core.node.request_arrived(kNow + kSecond / 2, 5, "id4", 0, kNow + kSecond, 0, 1, nullptr);  // a repeat
  EXPECT_EQ(sums(kNow + kSecond * 6 / 10).outstanding, 1u);
  core.node.request_shed_unread(1);  // no buffer
  EXPECT_EQ(sums(kNow + kSecond * 7 / 10).use_cases[1].shed, 1u);
  for (Id client = 10; client < 60; ++client) core.arrive(client, 0, kNow + kSecond * 8 / 10);
  f = sums(kNow +
           kSecond * 9 / 10);  // half of 54 descriptors are clients' with an open job: no more than that
  EXPECT_GT(f.use_cases[0].shed, 0u);
  EXPECT_GT(f.outstanding, 20u);
  f = sums(kNow + 10 * kSecond);  // at their hard limits
  EXPECT_EQ(f.outstanding, 0u);
}

TEST(Figures, AStopEndsAllThatIsOutstanding) {
  Core core(1);
  core.arrive(1, 2);
  core.arrive(2, 0);
  EXPECT_TRUE(core.figures_at(kNow + kSecond / 10).ready);
  core.node.stop(kNow + kSecond / 10);
  EXPECT_FALSE(core.figures_at(kNow + kSecond / 5).ready);
  const Metrics& f = core.figures_at(kNow + 4 * kSecond);
  EXPECT_EQ(f.outstanding, 0u);
  EXPECT_EQ(f.use_cases[2].failed, 1u);
}

// Ready means that work can be placed.
TEST(Figures, ANodeWithoutAListIsNotReady) {
  FakeEffects effects;
  Node node(small_settings(), Core::terms(), Platform{1024, false, 1}, 1, effects, kNow, "discovery:1");
  node.timer_due(kNow + kSecond / 10, effects.timers.back().second);
  EXPECT_FALSE(effects.figures.ready);
}

TEST(Figures, AnExecutorThatIsLeftOutCountsAsAvoided) {
  Core core(2);
  core.arrive(1, 0);
  EXPECT_EQ(core.figures_at(kNow + kSecond / 10).listed_executors, 2);
  EXPECT_EQ(core.effects.figures.avoided_executors, 0);
  core.end(1, Outcome::kUnreachable, kNow + kSecond / 10);
  EXPECT_EQ(core.figures_at(kNow + kSecond / 5).avoided_executors, 1);
  core.list(0, Lifecycle::kRemoved, kNow + kSecond / 5);
  core.list(1, Lifecycle::kDraining, kNow + kSecond / 5);
  EXPECT_EQ(core.figures_at(kNow + kSecond * 3 / 10).listed_executors, 1);
}

// --- Over sockets ---

std::map<std::string, long> figures_of(const Running& run) {
  Peer caller = Peer::to(run.console);
  caller.write("GET /_vars HTTP/1.1\r\n\r\n");
  const std::string answer = caller.read_to_end();
  std::map<std::string, long> result;
  std::size_t at = answer.find("\r\n\r\n") + 4;
  while (at < answer.size()) {
    const std::size_t end = answer.find('\n', at);
    const std::string line = answer.substr(at, end - at);
    const std::size_t space = line.rfind(' ');
    if (line[0] != '#') result[line.substr(0, space)] = std::stol(line.substr(space + 1));
    at = end + 1;
  }
  return result;
}

// Polls, as figures may be late by half a second.
bool shows(const Running& run, const std::string& figure, long value) {
  for (int i = 0; i < 100; ++i) {
    if (figures_of(run)[figure] == value) return true;
    usleep(50000);
  }
  return false;
}

TEST(ProgramConsole, ShowsWhatHappensAndThatItStops) {
  Running run;
  Peer watch = run.accept_watch(Running::entry("s-1", run.first.address));
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  EXPECT_TRUE(shows(run, "node_discovered", 1));
  Peer ready = Peer::to(run.console);
  EXPECT_EQ(status_of(ready.write("GET /_ready HTTP/1.1\r\n\r\n").read_to_end()), "200");
  Peer client = run.client();
  client.write(Running::job("lookup", "id1"));
  Peer executor = run.first.accept();
  executor.read_message();
  EXPECT_TRUE(shows(run, "node_outstanding", 1));
  EXPECT_TRUE(shows(run, "node_forwards_total", 1));
  executor.finish_job("ok");
  client.read_message();
  EXPECT_TRUE(shows(run, "node_results_total{service=\"lookup\",disposition=\"succeeded\"}", 1));
  EXPECT_TRUE(shows(run, "node_outstanding", 0));
  run.stop();
  EXPECT_TRUE(run.wait_for_log("told to stop"));
  for (std::string status = "200"; status != "503";) {
    Peer caller = Peer::to(run.console);
    status = status_of(caller.write("GET /_ready HTTP/1.1\r\n\r\n").read_to_end());
    ASSERT_TRUE(status == "200" || status == "503") << status;
  }
}

// More silent and half callers than there is room for, and each sound one is answered at once.
TEST(ProgramConsole, SilentCallersKeepNobodyWaiting) {
  Running run;
  std::vector<Peer> silent;
  for (int i = 0; i < 3 * net::Console::kRoom; ++i) {
    silent.push_back(Peer::to(run.console));
    if (i % 2 == 0) silent.back().write("GET /_va");
    if (i % 4 != 3) continue;
    const auto from = std::chrono::steady_clock::now();
    Peer caller = Peer::to(run.console);
    EXPECT_EQ(status_of(caller.write("GET /_vars HTTP/1.1\r\n\r\n").read_to_end()), "200") << i;
    EXPECT_LT(std::chrono::steady_clock::now() - from, std::chrono::seconds(1));
  }
}

// Those that say nothing go after a while, and one that asks for nothing known learns so.
TEST(ProgramConsole, ACallerThatSaysNothingIsClosed) {
  Running run;
  Peer silent = Peer::to(run.console);
  EXPECT_EQ(silent.read_to_end(), "");
  EXPECT_EQ(status_of(Peer::to(run.console).write("GET /x HTTP/1.1\r\n\r\n").read_to_end()), "404");
  EXPECT_EQ(status_of(Peer::to(run.console).write("x\r\n\r\n").read_to_end()), "400");
}

TEST(Console, PeersAreAnsweredOnlyWhereRecoveryIsOn) {
  MetricsBoard board;
  const std::string call = "GET /_recovery HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string list = "GET /_recovery/list HTTP/1.1\r\nHost: a\r\n\r\n";
  EXPECT_TRUE(net::console_answer(call, board).starts_with("HTTP/1.1 404 "));
  recovery::PeerAnswers peers;
  EXPECT_TRUE(net::console_answer(call, board, &peers).starts_with("HTTP/1.1 503 "));
  peers.publish_summary("{\"a\":1}");
  peers.publish_list("{\"b\":2}");
  EXPECT_TRUE(net::console_answer(call, board, &peers).ends_with("\r\n\r\n{\"a\":1}"));
  EXPECT_TRUE(net::console_answer(list, board, &peers).ends_with("\r\n\r\n{\"b\":2}"));
}

}  // namespace
}  // namespace canvasstage
