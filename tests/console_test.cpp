// Tests of the console: its responses, and the metrics that it serves.
#include "net/console.h"

#include <gtest/gtest.h>

#include <map>

#include "helpers.h"

namespace canvasstage {
namespace {

std::string get(const std::string& path, const MetricsBoard& board = MetricsBoard()) {
  return net::console_response("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n", board);
}

std::string status_code(const std::string& answer) {
  return answer.empty() ? "" : answer.substr(9, 3);
}

TEST(Console, BadRequestsGetTheMatchingStatus) {
  const MetricsBoard board;
  const std::vector<std::pair<std::string, std::string>> cases = {
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
  for (const auto& [request, status] : cases) {
    const std::string answer = net::console_response(request, board);
    EXPECT_EQ(status_code(answer), status) << request.substr(0, 40);
    if (answer.empty()) continue;
    EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos);
    EXPECT_NE(answer.find("Content-Length: "), std::string::npos);
  }
}

TEST(Console, IncompleteRequestGetsNoResponse) {
  const std::string request = "GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n";
  const MetricsBoard board;
  for (std::size_t cut = 0; cut < request.size(); ++cut)
    EXPECT_EQ(net::console_response(request.substr(0, cut), board), "") << cut;
}

TEST(Console, MetricsUseThePrometheusTextFormat) {
  Metrics metrics;
  metrics.use_cases = {{"look\"up\\", 812, 3, 1}};
  metrics.outstanding = 14;
  metrics.listed_executors = 9;
  metrics.avoided_executors = 2;
  metrics.reloads_rejected = 5;
  metrics.ready = true;
  MetricsBoard board;
  board.publish(metrics);
  for (int i = 0; i < 7; ++i) board.count_attempt_sent();
  EXPECT_EQ(status_code(get("/_ready", board)), "200");
  const std::string answer = get("/_vars", board);
  for (const char* const line :
       {"# TYPE node_results_total counter\n",
        "node_results_total{service=\"look\\\"up\\\\\",disposition=\"succeeded\"} 812\n",
        ",disposition=\"declined\"} 3\n", ",disposition=\"aborted\"} 1\n", "# TYPE node_outstanding gauge\n",
        "\nnode_outstanding 14\n", "\nnode_discovered 9\n", "\nnode_ejected 2\n", "\nnode_forwards_total 7\n",
        "\nnode_sighup_applied_total 0\n", "\nnode_sighup_rejected_total 5\n"})
    EXPECT_NE(answer.find(line), std::string::npos) << line;
}

// Guards against requests that are counted twice or not at all: after every way in which a request can end,
// the accepted requests must equal the ended ones plus the outstanding ones.
TEST(Figures, AcceptedEqualsEndedPlusOutstanding) {
  Core core(2, 64);
  const auto check_sum = [&core](Time time) {
    const Metrics& metrics = core.metrics_at(time);
    std::uint64_t ended = metrics.client_left;
    for (const Metrics::UseCase& use_case : metrics.use_cases)
      ended += use_case.succeeded + use_case.shed + use_case.failed;
    EXPECT_EQ(metrics.accepted, ended + metrics.outstanding);
    return metrics;
  };
  core.arrive(1, 0);
  core.arrive(2, 2);
  EXPECT_EQ(check_sum(kNow + kSecond / 10).outstanding, 2u);
  core.end(1, Outcome::kSucceeded, kNow + kSecond / 10);
  core.end(2, Outcome::kConnectionLost, kNow + kSecond / 10);  // at most once, and may have run
  Metrics metrics = check_sum(kNow + kSecond / 5);
  EXPECT_EQ(metrics.outstanding, 0u);
  EXPECT_EQ(metrics.use_cases[0].succeeded, 1u);
  EXPECT_EQ(metrics.use_cases[2].failed, 1u);
  core.arrive(3, 0, kNow + kSecond / 5);
  core.node.client_closed(kNow + kSecond / 5, 3);  // the client disconnects
  EXPECT_EQ(check_sum(kNow + kSecond * 3 / 10).client_left, 1u);
  core.arrive(4, 0, kNow + kSecond / 2);
  core.node.client_opened(kNow + kSecond / 2, 5);
  core.node.request_arrived(kNow + kSecond / 2, 5, "id4", 0, kNow + kSecond, 0, 1,
                            nullptr);  // the same id again
  EXPECT_EQ(check_sum(kNow + kSecond * 6 / 10).outstanding, 1u);
  core.node.request_shed_unread(1);  // no buffer is free
  EXPECT_EQ(check_sum(kNow + kSecond * 7 / 10).use_cases[1].shed, 1u);
  for (Id client = 10; client < 60; ++client) core.arrive(client, 0, kNow + kSecond * 8 / 10);
  // At most half of the 54 descriptors may belong to clients with an open request.
  metrics = check_sum(kNow + kSecond * 9 / 10);
  EXPECT_GT(metrics.use_cases[0].shed, 0u);
  EXPECT_GT(metrics.outstanding, 20u);
  metrics = check_sum(kNow + 10 * kSecond);  // past their deadlines
  EXPECT_EQ(metrics.outstanding, 0u);
}

TEST(Figures, StopEndsAllOutstandingRequests) {
  Core core(1);
  core.arrive(1, 2);
  core.arrive(2, 0);
  EXPECT_TRUE(core.metrics_at(kNow + kSecond / 10).ready);
  core.node.stop(kNow + kSecond / 10);
  EXPECT_FALSE(core.metrics_at(kNow + kSecond / 5).ready);
  const Metrics& metrics = core.metrics_at(kNow + 4 * kSecond);
  EXPECT_EQ(metrics.outstanding, 0u);
  EXPECT_EQ(metrics.use_cases[2].failed, 1u);
}

// A node that reports ready must be able to place requests, which takes an executor list.
TEST(Figures, NodeWithoutExecutorListIsNotReady) {
  FakeEffects effects;
  Node node(small_settings(), Core::terms(), Platform{1024, false, 1}, 1, effects, kNow, "discovery:1");
  node.timer_due(kNow + kSecond / 10, effects.timers.back().second);
  EXPECT_FALSE(effects.metrics.ready);
}

TEST(Figures, UnreachableExecutorCountsAsAvoided) {
  Core core(2);
  core.arrive(1, 0);
  EXPECT_EQ(core.metrics_at(kNow + kSecond / 10).listed_executors, 2);
  EXPECT_EQ(core.effects.metrics.avoided_executors, 0);
  core.end(1, Outcome::kUnreachable, kNow + kSecond / 10);
  EXPECT_EQ(core.metrics_at(kNow + kSecond / 5).avoided_executors, 1);
  core.list_executor(0, Lifecycle::kRemoved, kNow + kSecond / 5);
  core.list_executor(1, Lifecycle::kDraining, kNow + kSecond / 5);
  EXPECT_EQ(core.metrics_at(kNow + kSecond * 3 / 10).listed_executors, 1);
}

// --- Over sockets ---

std::map<std::string, long> read_metrics(const Running& run) {
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

// Polls for up to 5 s, as published metrics may lag by half a second.
bool metric_reaches(const Running& run, const std::string& name, long value) {
  for (int i = 0; i < 100; ++i) {
    if (read_metrics(run)[name] == value) return true;
    usleep(50000);
  }
  return false;
}

TEST(ProgramConsole, MetricsAndReadinessFollowTheNode) {
  Running run;
  Peer watch_connection = run.accept_watch(Running::instance_json("s-1", run.first.address));
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  EXPECT_TRUE(metric_reaches(run, "node_discovered", 1));
  Peer ready = Peer::to(run.console);
  EXPECT_EQ(status_code(ready.write("GET /_ready HTTP/1.1\r\n\r\n").read_to_end()), "200");
  Peer client = run.client();
  client.write(Running::request_text("lookup", "id1"));
  Peer executor = run.first.accept();
  executor.read_message();
  EXPECT_TRUE(metric_reaches(run, "node_outstanding", 1));
  EXPECT_TRUE(metric_reaches(run, "node_forwards_total", 1));
  executor.send_result("ok");
  client.read_message();
  EXPECT_TRUE(metric_reaches(run, "node_results_total{service=\"lookup\",disposition=\"succeeded\"}", 1));
  EXPECT_TRUE(metric_reaches(run, "node_outstanding", 0));
  run.stop();
  EXPECT_TRUE(run.wait_for_log("told to stop"));
  for (std::string status = "200"; status != "503";) {
    Peer caller = Peer::to(run.console);
    status = status_code(caller.write("GET /_ready HTTP/1.1\r\n\r\n").read_to_end());
    ASSERT_TRUE(status == "200" || status == "503") << status;
  }
}

// Guards against silent connections that keep others from being served: with more of them than the limit,
// some with half a request, each complete request is answered within 1 s.
TEST(ProgramConsole, SilentConnectionsDelayNobody) {
  Running run;
  std::vector<Peer> silent_callers;
  for (int i = 0; i < 3 * net::Console::kMaxConnections; ++i) {
    silent_callers.push_back(Peer::to(run.console));
    if (i % 2 == 0) silent_callers.back().write("GET /_va");
    if (i % 4 != 3) continue;
    const auto start = std::chrono::steady_clock::now();
    Peer caller = Peer::to(run.console);
    EXPECT_EQ(status_code(caller.write("GET /_vars HTTP/1.1\r\n\r\n").read_to_end()), "200") << i;
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(1));
  }
}

// A connection without a request must not stay open for ever, and an unknown path or a malformed request must
// be answered with its status rather than with a closed connection.
TEST(ProgramConsole, SilentConnectionIsClosed) {
  Running run;
  Peer silent_caller = Peer::to(run.console);
  EXPECT_EQ(silent_caller.read_to_end(), "");
  EXPECT_EQ(status_code(Peer::to(run.console).write("GET /x HTTP/1.1\r\n\r\n").read_to_end()), "404");
  EXPECT_EQ(status_code(Peer::to(run.console).write("x\r\n\r\n").read_to_end()), "400");
}

TEST(Console, PeerPathsNeedRecovery) {
  MetricsBoard board;
  const std::string request = "GET /_recovery HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string list = "GET /_recovery/list HTTP/1.1\r\nHost: a\r\n\r\n";
  EXPECT_TRUE(net::console_response(request, board).starts_with("HTTP/1.1 404 "));
  recovery::PeerAnswers peers;
  EXPECT_TRUE(net::console_response(request, board, &peers).starts_with("HTTP/1.1 503 "));
  peers.publish_summary("{\"a\":1}");
  peers.publish_list("{\"b\":2}");
  EXPECT_TRUE(net::console_response(request, board, &peers).ends_with("\r\n\r\n{\"a\":1}"));
  EXPECT_TRUE(net::console_response(list, board, &peers).ends_with("\r\n\r\n{\"b\":2}"));
}

}  // namespace
}  // namespace canvasstage
