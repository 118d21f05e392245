// Tests of race conditions: each test forces one harmful order of events, so that it occurs in every run
// (docs/races.md).
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "helpers.h"
#include "net/client.h"
#include "net/discovery.h"
#include "net/executor.h"
#include "net/server.h"

namespace canvasstage {
namespace {

std::string status_line(const std::string& id, const std::string& state,
                        const std::string& extra_fields = "") {
  return R"({"id":")" + id + R"(","from":"s-1","state":")" + state + "\"" + extra_fields + "}";
}

// Sends a complete answer in the form that the platform uses.
void send_answer(Peer& executor, const std::string& id, const std::string& result) {
  executor.begin_lines();
  executor.write_line(status_line(id, "started"));
  executor.write_line(status_line(id, "done", R"(,"result":")" + result + "\""));
  executor.end_lines();
}

// Reloads the configuration with `from` replaced by `to`, and waits until the reload is logged.
void reload_with(Running& run, const std::string& from, const std::string& to) {
  const std::string before = run.config(256, "127.0.0.1:0", "7", run.discovery.address);
  const std::string after = replaced(before, from, to);
  EXPECT_NE(before, after);
  run.reload(after);
  EXPECT_TRUE(run.wait_for_log("reload: discovery is "));
}

constexpr const char* kCancellingOn = R"("cancelling":true)";
constexpr const char* kCancellingOff = R"("cancelling":false)";

// --- Answers on kept connections ---

// The executor repeats its first answer after the next request has been written on the same connection.
// Guards against a fault: the node took the repeated answer for the result of the second request.
TEST(ProgramRaces, LateDuplicateAnswerIsDiscarded) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  Peer executor = start_attempt_on_first(run, client, "lookup", "id1");
  executor.read_message();
  send_answer(executor, "id1", "old");
  EXPECT_TRUE(holds(client.read_message(), "old"));
  client.write(Running::request_text("lookup", "id2"));
  EXPECT_TRUE(holds(executor.read_message(), "X-Correlation-Id: id2\r\n"));
  send_answer(executor, "id1", "old");
  EXPECT_EQ(executor.read_to_end(), "");
  Peer next = run.first.accept();
  EXPECT_TRUE(holds(next.read_message(), "X-Correlation-Id: id2\r\n"));
  send_answer(next, "id2", "new");
  EXPECT_TRUE(holds(client.read_message(), "new"));
}

// The executor answers with the id of another request. The request may have run, so an at-most-once request
// fails and is not sent again.
TEST(ProgramRaces, MismatchedAnswerFailsAtMostOnceRequest) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  Peer executor = start_attempt_on_first(run, client, "charge", "id1");
  executor.read_message();
  send_answer(executor, "id0", "another's");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 502 "));
  EXPECT_EQ(executor.read_to_end(), "");
  EXPECT_TRUE(run.first.nobody_waits());
}

// A second answer arrives directly after the first, or while the connection is idle. Answers on that
// connection no longer match its requests, so the node closes the connection.
TEST(ProgramRaces, UnsolicitedBytesCloseExecutorConnection) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  for (const bool at_once : {true, false}) {
    Peer executor = start_attempt_on_first(run, client, "lookup", at_once ? "id1" : "id2");
    executor.read_message();
    const std::string second = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    executor.begin_lines();
    executor.write_line(status_line(at_once ? "id1" : "id2", "done", R"(,"result":"ok")"));
    executor.write("0\r\n\r\n" + (at_once ? second : ""));
    EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
    if (!at_once) executor.write(second);
    EXPECT_EQ(executor.read_to_end(), "");
  }
}

// A request that two attempts report as invalid is invalid for every executor. Guards against a fault: when
// such requests used five attempts each and every rejection counted against the executor that was asked, no
// healthy executor was left.
TEST(ProgramRaces, RequestRejectedTwiceDoesNotBlameExecutor) {
  Running run;
  Peer watch = told_only_first(run);
  for (int i = 0; i < 8; ++i) {
    Peer client = run.client();
    client.write(Running::request_text("lookup", "id" + std::to_string(i)));
    for (int attempt = 0; attempt < 2; ++attempt) {
      Peer executor = run.first.accept();
      executor.read_message();
      executor.write("HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n");
      EXPECT_EQ(executor.read_to_end(), "");
    }
    EXPECT_TRUE(starts(client.read_to_end(), "HTTP/1.1 400 "));
    EXPECT_TRUE(run.first.nobody_waits());
  }
}

// An executor that rejects every request answers fast and always has free slots. It must not fail requests
// that other executors would serve.
TEST(ProgramRaces, ExecutorRejectingEverythingFailsNoRequest) {
  Running run;
  Peer watch = run.accept_watch(Running::instance_json("s-1", run.first.address) + "," +
                                Running::instance_json("s-2", run.second.address));
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  std::atomic<int> rejected{0};
  std::thread rejecting([&] {
    for (;;) {
      Peer executor = run.first.accept();
      if (executor.read_until("\r\n\r\n").empty()) return;
      ++rejected;
      executor.write("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n").read_to_end();
    }
  });
  std::thread serving([&] {
    Peer executor = run.second.accept();
    for (int i = 0; i < 20; ++i) {
      executor.read_message();
      send_answer(executor, "id" + std::to_string(i), "ok");
    }
  });
  Peer client = run.client();
  for (int i = 0; i < 20; ++i) {
    client.write(Running::request_text("lookup", "id" + std::to_string(i)));
    EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 ")) << i;
  }
  serving.join();
  Peer::to(run.first.address).close();  // ends the thread `rejecting`
  rejecting.join();
  EXPECT_LT(rejected, 20);
}

// The executor reads a request on a kept connection and closes the connection without an answer. Only
// idempotent requests and those idempotent by key are sent again.
TEST(ProgramRaces, ClosedKeptConnectionRetriesOnlyIdempotentRequests) {
  Running run;
  Peer watch = told_only_first(run);
  for (const std::string use_case : {"lookup", "phase-run", "charge"}) {
    Peer client = run.client();
    Peer executor = start_attempt_on_first(run, client, use_case, use_case + "1");
    executor.read_message();
    send_answer(executor, use_case + "1", "one");
    EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
    client.write(Running::request_text(use_case, use_case + "2"));
    executor.read_message();
    executor.close();
    if (use_case == "charge") {  // the request may have run
      EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 502 "));
      EXPECT_TRUE(run.first.nobody_waits());
      continue;
    }
    Peer next = run.first.accept();
    EXPECT_TRUE(holds(next.read_message(), "X-Correlation-Id: " + use_case + "2\r\n"));
    send_answer(next, use_case + "2", "two");
    EXPECT_TRUE(holds(client.read_message(), "two"));
    next.close();
  }
}

// The result has arrived, but the end of the answer never does. The next request waits briefly for that
// connection and then uses another one.
TEST(ProgramRaces, UnfinishedAnswerDoesNotBlockNextRequest) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  Peer executor = start_attempt_on_first(run, client, "charge", "id1");
  executor.read_message();
  executor.begin_lines();
  executor.write_line(status_line("id1", "done", R"(,"result":"one")"));
  EXPECT_TRUE(holds(client.read_message(), "one"));
  client.write(Running::request_text("charge", "id2"));
  Peer next = run.first.accept();
  EXPECT_TRUE(holds(next.read_message(), "X-Correlation-Id: id2\r\n"));
  send_answer(next, "id2", "two");
  EXPECT_TRUE(holds(client.read_message(), "two"));
}

// --- Clients that disconnect ---

// The request is queued behind another one that has not started. Its client disconnects before the executor
// has room again, with or without a second request sent ahead, by a close or by a reset.
class ProgramRacesLeaving : public testing::TestWithParam<std::tuple<bool, bool>> {};

TEST_P(ProgramRacesLeaving, DisconnectedClientsQueuedRequestIsNotSent) {
  const auto [has_bytes_ahead, by_reset] = GetParam();
  Running run;
  Peer watch = told_only_first(run);
  Peer first = run.client();
  Peer executor = start_attempt_on_first(run, first, "charge", "id1");
  executor.read_message();
  Peer leaving_client = run.client();
  leaving_client.write(Running::request_text("lookup", "id2") +
                       (has_bytes_ahead ? Running::request_text("lookup", "id3") : ""));
  reload_with(run, R"("agreedTime":3)", R"("agreedTime":2)");  // does not change queued requests
  by_reset ? leaving_client.reset() : leaving_client.close();
  EXPECT_TRUE(run.wait_for_log("reason=left_while_open"));
  send_answer(executor, "id1", "one");
  EXPECT_TRUE(holds(first.read_message(), "one"));
  first.write(Running::request_text("lookup", "id4"));  // must be the next request that the executor gets
  EXPECT_TRUE(holds(executor.read_message(), "X-Correlation-Id: id4\r\n"));
  EXPECT_TRUE(run.first.nobody_waits());
}

INSTANTIATE_TEST_SUITE_P(ProgramRaces, ProgramRacesLeaving,
                         testing::Combine(testing::Bool(), testing::Bool()), [](const auto& param_info) {
                           return std::string(std::get<0>(param_info.param) ? "BytesAhead" : "NoBytesAhead") +
                                  (std::get<1>(param_info.param) ? "Reset" : "Closed");
                         });

// The client disconnects while the node still connects to the executor. No byte of the request has been
// sent by then and none may be sent, also where attempts cannot be cancelled.
TEST(ProgramRaces, ClientDisconnectDuringConnectStopsAttempt) {
  Running run;
  Peer watch = told_only_first(run);
  for (const char* const cancelling : {kCancellingOn, kCancellingOff}) {
    const std::string before = run.config(256, "127.0.0.1:0", "7", run.discovery.address);
    run.reload(replaced(replaced(replaced(before, kCancellingOn, cancelling), R"("connectTimeout":0.25)",
                                 R"("connectTimeout":5)"),
                        R"("drainGrace":1.5)", R"("drainGrace":10)"));
    EXPECT_TRUE(run.wait_for_log("reload: discovery is "));
    Listener slow;
    std::vector<Peer> waiting = slow.fill();
    Running::send_list(watch,
                       Running::instance_json("s-1", run.first.address, "left") + "," +
                           Running::instance_json(std::string("s-") + cancelling[13], slow.address),
                       false);
    EXPECT_TRUE(run.wait_for_log("roster taken"));
    Peer leaving_client = run.client();
    leaving_client.write(Running::request_text("lookup", std::string("id") + cancelling[13], "3000m"));
    slow.wait_for_one_that_connects();
    // Two threads write these log lines, so either may come first.
    const int left_before = run.times("reason=left_while_open"), ended_before = run.times("side=executor");
    leaving_client.close();
    EXPECT_TRUE(run.wait_for_more("reason=left_while_open", left_before));
    slow.accept();  // frees the backlog: a connect still in progress succeeds from here on
    EXPECT_TRUE(run.wait_for_more("side=executor", ended_before));
    EXPECT_TRUE(slow.nobody_waits());
  }
}

// The first attempt ends after its client has disconnected, and cancelling is off. No retry may follow.
TEST(ProgramRaces, ClientDisconnectBetweenAttemptsPreventsRetry) {
  Running run;
  reload_with(run, kCancellingOn, kCancellingOff);
  Peer watch = told_only_first(run);
  Peer leaving_client = run.client();
  Peer executor = start_attempt_on_first(run, leaving_client, "lookup", "id1");
  executor.read_message();
  leaving_client.close();
  EXPECT_TRUE(run.wait_for_log("reason=left_while_open"));
  executor.close();
  EXPECT_TRUE(run.wait_for_log("side=executor"));
  Peer other = run.client();
  EXPECT_TRUE(
      holds(start_attempt_on_first(run, other, "lookup", "id2").read_message(), "X-Correlation-Id: id2\r\n"));
}

// The node decides to close the connection while a request is arriving on it. When the node shut down its
// own reading side, that looked like the client's end. The request must be accepted, and a later disconnect
// of the client must still be noticed.
TEST(ProgramRaces, DisconnectOnClosingConnectionIsNoticed) {
  Parts parts(1);
  Listener clients;
  Peer leaving_client = Peer::to(clients.address);
  leaving_client.write(Running::request_text("lookup", "id1"));
  const auto client =
      std::make_shared<net::ClientConnection>(1, clients.accept().release(), "peer", parts.context);
  client->close_when_idle(false);
  parts.core.node.client_opened(kNow, 1);
  std::atomic<bool> ended{false};
  std::thread thread([&] {
    client->run();
    ended = true;
  });
  parts.run_until([&] { return parts.core.effects.attempts.size() == 1; });
  EXPECT_FALSE(ended);
  leaving_client.close();
  thread.join();  // the thread was waiting for an answer that never comes
  EXPECT_TRUE(parts.core.effects.answers.empty());
}

// --- The end of a client connection ---

// Both ends of a client connection. The connection's thread starts when the test calls run().
struct ClientFixture {
  explicit ClientFixture(Time opened = net::now()) {
    connection =
        std::make_shared<net::ClientConnection>(1, listener.accept().release(), "peer", parts.context);
    connection->resume(true, opened, true, false, "");
    parts.core.node.client_opened(kNow, 1);
  }
  ~ClientFixture() {
    peer.close();
    if (thread.joinable()) thread.join();
  }
  void run() {
    thread = std::thread([this] { connection->run(); });
  }
  // Lets that many requests succeed as soon as each has an attempt, and answers the client. `closes` and
  // `at_once` are passed on to ClientConnection::answer.
  void complete_requests(std::size_t requests, bool closes, bool at_once) {
    std::size_t succeeded = 0;
    parts.run_until([&] {
      if (parts.core.effects.attempts.size() == succeeded) return succeeded == requests;
      ++succeeded;
      parts.core.end(parts.core.effects.attempts.back().id, Outcome::kSucceeded, kNow);
      connection->answer(200, "", nullptr, closes, at_once, writers);
      return succeeded == requests;
    });
  }
  Parts parts{2};
  Listener listener;
  Peer peer = Peer::to(listener.address);
  net::Writers writers;
  std::shared_ptr<net::ClientConnection> connection;
  std::thread thread;
};

constexpr const char* kRequestHeadOnly =
    "POST /lookup HTTP/1.1\r\nExpect: 100-continue\r\nX-Correlation-Id: id1\r\n"
    "X-Time-Left: 4000m\r\nContent-Length: 2\r\n\r\n";

// A request arrives after the node has shut down its sending side. The client sees that and sends the
// request to another node. The node used to process the request as well, with nobody to answer.
TEST(ProgramRaces, RequestAfterSendShutdownIsNotAccepted) {
  for (const bool finishes : {true, false}) {
    ClientFixture client;
    client.connection->close_when_idle(finishes);
    client.peer.write(Running::request_text("lookup", "id1"));
    client.run();
    EXPECT_EQ(client.peer.read_to_end(), "");
    client.peer.close();
    client.thread.join();
    bool has_run = false;
    client.parts.run_until([&] { return std::exchange(has_run, true); });
    EXPECT_TRUE(client.parts.core.effects.attempts.empty());
  }
}

// A request arrives before the node closes the connection. The request is answered, and the answer
// announces the close.
TEST(ProgramRaces, RequestBeforeSendShutdownIsServed) {
  for (const bool finishes : {true, false}) {
    ClientFixture client;
    client.peer.write(Running::request_text("lookup", "id1"));
    client.connection->close_when_idle(finishes);
    client.run();
    client.complete_requests(1, false, false);
    const std::string answer = client.peer.read_message();
    EXPECT_TRUE(starts(answer, "HTTP/1.1 200 ") && holds(answer, "Connection: close\r\n")) << answer;
    EXPECT_FALSE(client.peer.ends_by_reset());
  }
}

// Several requests arrive at once on a connection that is to close. All are answered, and only the last
// answer announces the close.
TEST(ProgramRaces, PipelinedRequestsAreServedBeforeClose) {
  ClientFixture client;
  client.peer.write(Running::request_text("lookup", "id1") + Running::request_text("lookup", "id2"));
  client.run();
  client.complete_requests(2, true, false);
  EXPECT_FALSE(holds(client.peer.read_message(), "Connection: close\r\n"));
  EXPECT_TRUE(holds(client.peer.read_message(), "Connection: close\r\n"));
  EXPECT_EQ(client.peer.read_to_end(), "");
}

// Requests that arrive together are served in order. The time that the earlier ones take must be deducted
// from the time left of the later ones.
TEST(ProgramRaces, PipelinedRequestKeepsItsDeadline) {
  constexpr std::chrono::milliseconds kFirstRequestDuration{700};
  for (const bool is_one_piece : {true, false}) {
    Running run;
    const Peer watch = told_only_first(run);
    Peer client = run.client();
    client.write(Running::request_text("lookup", "id1", "4000m") +
                 (is_one_piece ? Running::request_text("lookup", "id2", "1500m") : ""));
    Peer executor = run.first.accept();
    executor.read_message();
    if (!is_one_piece) client.write(Running::request_text("lookup", "id2", "1500m"));
    EXPECT_TRUE(executor.silent_for(kFirstRequestDuration));
    executor.send_result("one");
    const std::string second = executor.read_message();
    constexpr std::string_view kField = "X-Time-Left: ";
    const int time_left_ms = std::atoi(second.c_str() + second.find(kField) + kField.size());
    EXPECT_LE(time_left_ms, 1500 - kFirstRequestDuration.count() + 150) << second;
    EXPECT_GT(time_left_ms, 300) << second;
  }
}

// 64 KB that nobody will read arrive behind the last request. Closing the socket over unread bytes sends a
// reset, which may destroy the last answer before the client has read it.
TEST(ProgramRaces, LastAnswerIsNotFollowedByReset) {
  for (const bool closes_early : {false, true}) {
    ClientFixture client;
    client.peer.write(Running::request_text("lookup", "id1"));
    if (closes_early) client.connection->close_when_idle(true);
    client.run();
    client.peer.write(std::string(64 * 1024, 'x'));
    client.complete_requests(1, true, true);
    EXPECT_TRUE(holds(client.peer.read_message(), "Connection: close\r\n"));
    client.peer.end_sending();
    EXPECT_FALSE(client.peer.ends_by_reset());
  }
}

// The connection's thread starts after the timeout for the first byte, but the whole request has arrived. The
// connection used to be closed without reading the request.
TEST(ProgramRaces, LateThreadReadsReceivedRequest) {
  ClientFixture client(net::now() - 2 * kSecond);
  client.peer.write(Running::request_text("lookup", "id1"));
  client.run();
  client.complete_requests(1, false, false);
  EXPECT_TRUE(starts(client.peer.read_message(), "HTTP/1.1 200 "));
}

TEST(ProgramRaces, PartialRequestGetsMatchingErrorStatus) {
  ClientFixture late(net::now() - 3 * kSecond), left, cut, ended;
  late.peer.write(kRequestHeadOnly);
  late.run();
  EXPECT_TRUE(holds(late.peer.read_to_end(), "HTTP/1.1 408 "));
  left.peer.write(kRequestHeadOnly).end_sending();
  left.run();
  EXPECT_TRUE(holds(left.peer.read_to_end(), "HTTP/1.1 400 "));
  for (ClientFixture* const client : {&cut, &ended}) {
    client->peer.write(kRequestHeadOnly);
    client->run();
    client->peer.read_until("\r\n\r\n");  // the request is being read
    client == &cut ? client->connection->close_when_idle(false) : client->connection->close_now(false);
    EXPECT_TRUE(starts(client->peer.read_to_end(), "HTTP/1.1 503 "));
    EXPECT_TRUE(client->parts.core.effects.attempts.empty());
  }
}

// The client does not close its side after the node has closed its own. The wait for the client must be
// bounded.
TEST(ProgramRaces, ClientKeepingSendSideOpenIsDisconnected) {
  ClientFixture client;
  client.run();
  client.connection->close_when_idle(true);
  EXPECT_EQ(client.peer.read_to_end(), "");
  client.connection->close_now(true);
  client.thread.join();
}

TEST(Races, UnclosedClientIsClosedForcibly) {
  Core core(1);
  for (const Id client : {5, 6}) core.node.client_opened(kNow - kSecond, client);
  core.node.stop(kNow);
  core.node.listener_closed(kNow);
  core.run_until(kNow + kSecond * 21 / 10);
  EXPECT_EQ(core.effects.closed, (std::vector<Id>{5, 6}));
  EXPECT_TRUE(core.effects.closed_now.empty());
  core.node.client_closed(kNow + kSecond * 21 / 10, 5);
  core.run_until(kNow + kSecond * 25 / 10);
  EXPECT_EQ(core.effects.closed_now, std::vector<Id>{6});
}

// --- The executor's side of an attempt ---

// The client disconnects immediately before its attempt, as seen by the check before the connect or by the
// check before the first byte. Nothing is sent, and the executor is not blamed.
TEST(ProgramRaces, ClientDisconnectBeforeFirstByteCancelsAttempt) {
  for (const int checks_before : {0, 1}) {
    Parts parts(1);
    parts.core.arrive(1, 0, net::now());
    Listener executor;
    const std::shared_ptr<net::ClientRequest> request =
        parts.make_request(Running::request_text("lookup", "id1"));
    int checks = 0;
    request->client_left = [&] { return checks++ >= checks_before; };
    net::ExecutorConnection connection(parts.context, std::chrono::seconds(1));
    connection.start_attempt(parts.core.effects.attempts[0].id, executor.address, request,
                             net::now() + 4 * kSecond);
    connection.run();
    if (checks_before > 0) {
      EXPECT_EQ(executor.accept().read_to_end(), "");
    }
    EXPECT_TRUE(executor.nobody_waits());
    parts.run_until([&] { return parts.core.effects.attempts.size() == 2; });
    EXPECT_FALSE(parts.core.node.policy().is_avoided(net::now(), parts.core.node.policy().executors[0]));
  }
}

// The client disconnects after it has sent 64 KB ahead, or nothing. The check must see the disconnect
// although no read has reached it.
TEST(ProgramRaces, DisconnectBehindUnreadBytesIsNoticed) {
  for (const std::size_t bytes_ahead : {0, 64 * 1024}) {
    ClientFixture client;
    client.peer.write(Running::request_text("lookup", "id1") + std::string(bytes_ahead, 'x'));
    const std::function<bool()> has_left = client.connection->client_left_check();
    EXPECT_FALSE(has_left());
    client.peer.end_sending();
    EXPECT_TRUE(has_left());
    client.connection.reset();
    EXPECT_TRUE(has_left());
  }
}

// The request is idempotent by key, with a window of 10 s. If the connection is established late, the retry
// must not be written after the window.
TEST(Races, RetryIsWrittenOnlyWithinIdempotencyWindow) {
  Core core(2);
  core.arrive(1, 1);
  EXPECT_EQ(core.effects.attempts[0].write_by, kNever);
  core.end(1, Outcome::kConnectionLost, kNow + kSecond / 20);
  ASSERT_EQ(core.effects.attempts.size(), 2u);
  EXPECT_EQ(core.effects.attempts[1].write_by, kNow + 10 * kSecond - small_settings().quantum);
}

// The attempt was decided before a drain was announced, but its connection was established long after. An
// attempt past its write_by time is not written.
TEST(ProgramRaces, AttemptPastWriteDeadlineIsNotWritten) {
  Parts parts(1);
  parts.core.arrive(1, 0, net::now());
  Listener executor;
  net::ExecutorConnection connection(parts.context, std::chrono::seconds(1));
  connection.start_attempt(parts.core.effects.attempts[0].id, executor.address,
                           parts.make_request(Running::request_text("lookup", "id1")),
                           net::now() + 4 * kSecond, net::now() - 1);
  std::thread thread([&connection] { connection.run(); });
  EXPECT_EQ(executor.accept().read_to_end(), "");
  // The request never ran and no executor is to blame, so it is attempted again.
  parts.run_until([&] { return parts.core.effects.attempts.size() == 2; });
  thread.join();
}

// The attempt is abandoned or withdrawn while it connects. That says nothing about the executor.
TEST(ProgramRaces, AbandonedConnectDoesNotBlameExecutor) {
  for (const bool is_withdrawn : {false, true}) {
    Parts parts(1);
    parts.core.arrive(1, 0, net::now());
    Listener executor;
    const std::vector<Peer> waiting = executor.fill();
    net::ExecutorConnection connection(parts.context, std::chrono::seconds(5));
    std::thread thread([&connection] { connection.run(); });
    connection.start_attempt(parts.core.effects.attempts[0].id, executor.address,
                             parts.make_request(Running::request_text("lookup", "id1")),
                             net::now() + 4 * kSecond);
    executor.wait_for_one_that_connects();
    is_withdrawn ? connection.withdraw() : connection.abandon();
    thread.join();
    parts.run_until([&] { return parts.core.effects.attempts.size() == 2; });
    EXPECT_FALSE(parts.core.node.policy().is_avoided(net::now(), parts.core.node.policy().executors[0]));
  }
}

// --- Membership ---

// Discovery sends single bytes but never a whole line. The next call must follow as if the watch were
// silent.
TEST(ProgramRaces, WatchTricklingBytesCountsAsSilent) {
  Running run;
  Peer watch = told_only_first(run);
  const auto last_line_at = std::chrono::steady_clock::now();
  watch.write("1000\r\n");
  while (run.discovery.nobody_within(std::chrono::milliseconds(200))) {
    ASSERT_LT(std::chrono::steady_clock::now() - last_line_at, std::chrono::seconds(6));
    watch.write(" ");
  }
}

// A change that a silent watch misses counts as announced 6 s after the watch's last line. The call after
// the silent watch is silent as well, and the call after that must still be in time.
TEST(ProgramRaces, SecondSilentWatchIsReplacedInTime) {
  Running run;
  reload_with(run, R"("askWithin":2)", R"("askWithin":10)");
  Peer watch = told_only_first(run);
  const auto last_line_at = std::chrono::steady_clock::now();
  Peer silent = run.discovery.accept();
  silent.read_until("\r\n\r\n");
  Peer next = run.accept_watch(Running::instance_json("s-1", run.first.address, "left") + "," +
                                   Running::instance_json("s-2", run.second.address),
                               false);
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  EXPECT_LT(std::chrono::steady_clock::now() - last_line_at, std::chrono::seconds(6));
}

// A second call would abandon one that is about to be served, for a place at the end of discovery's queue.
TEST(Races, OnlyOneDiscoveryCallIsOpen) {
  Settings settings = small_settings();
  settings.polls_membership = true;
  settings.max_membership_age = kSecond;
  Core core(1, 1024, settings);
  core.node.membership_call_failed(kNow);
  core.run_until(kNow + 4 * kSecond);
  EXPECT_EQ(core.effects.watches.size(), 1u);
  core.node.membership_call_failed(kNow + 4 * kSecond);
  core.run_until(kNow + 6 * kSecond);
  EXPECT_EQ(core.effects.watches.size(), 2u);
}

// Changes that the machine's agent knows count as announced immediately. A watch that was reset must be
// open again within a part of the grace period.
TEST(Races, PushedListWatchIsRenewedImmediately) {
  Core core(1);
  const std::size_t calls_before = core.effects.watches.size();
  for (int i = 1; i <= 3; ++i) {
    const Time now = kNow + i * kSecond;
    core.run_until(now);
    core.node.membership_call_failed(now);
    core.run_until(now + kSecond * 3 / 20);
    EXPECT_EQ(core.effects.watches.size(), calls_before + static_cast<std::size_t>(i));
  }
}

// A call to discovery fails, and so do the two calls after it, each immediately or by silence. The next
// call must be early enough to be answered within 6 s of the first failure, after which a change counts as
// announced.
TEST(Races, FourthDiscoveryCallIsAlwaysInTime) {
  constexpr Time kAnswerDuration = kSecond * 3 / 10;
  for (const int node_count : {1, 300})
    for (int failure_modes = 0; failure_modes < 8; ++failure_modes)
      for (int round = 0; round < 20; ++round) {
        Settings settings = small_settings();
        settings.polls_membership = true;
        settings.max_membership_age = 10 * kSecond;
        settings.node_count = node_count;
        Core core(1, 1024, settings);
        const Time failed_at = kNow + round * kSecond;  // varies the random draws
        for (int i = 0; i < round; ++i) core.node.membership_call_failed(kNow + i * kSecond);
        core.run_until(failed_at);
        core.node.membership_received(failed_at, MembershipUpdate::kDelta, 1);
        // A silent watch sent its last line 2.6 s before its timeout.
        const bool is_watch_silent = (failure_modes & 1) != 0;
        Time now = failed_at + (is_watch_silent ? kSecond * 26 / 10 : 0);
        is_watch_silent ? core.node.watch_timed_out(now) : core.node.membership_call_failed(now);
        for (int call = 1; call <= 3; ++call) {
          const std::size_t calls_before = core.effects.watches.size();
          while (core.effects.watches.size() == calls_before && now < failed_at + 10 * kSecond)
            core.run_until(now += kSecond / 100);
          if (call == 3) break;
          const bool is_silent = (failure_modes & (1 << call)) != 0;
          if (is_silent) now += core.effects.watch_timeouts.back();
          is_silent ? core.node.watch_timed_out(now) : core.node.membership_call_failed(now);
        }
        EXPECT_LE(now + kAnswerDuration, failed_at + 6 * kSecond) << node_count << " ways " << failure_modes;
      }
}

// Only the calls right after a silence have a short timeout. Otherwise discovery would be called once a
// second for as long as it is down.
TEST(Races, OnlyFirstCallsAfterSilenceAreShort) {
  Settings settings = small_settings();
  settings.polls_membership = true;
  settings.max_membership_age = 10 * kSecond;
  Core core(1, 1024, settings);
  Time now = kNow;
  for (int i = 0; i < 5; ++i) {
    core.node.watch_timed_out(now);
    core.run_until(now + kSecond + 1);
    now += 2 * kSecond;
  }
  ASSERT_EQ(core.effects.watch_timeouts.size(), 5u);
  EXPECT_LT(core.effects.watch_timeouts[0], 2 * kSecond);
  EXPECT_LT(core.effects.watch_timeouts[1], 2 * kSecond);
  EXPECT_GT(core.effects.watch_timeouts[4], 5 * kSecond);
}

// A line has been read and waits in the reducer's queue while another watch replaces its own, or while the
// node moves to another discovery address. The line counts as announced when it was written, so it still
// applies. An older line that arrives after a newer one changes nothing.
TEST(ProgramRaces, LineOfReplacedWatchStillApplies) {
  Parts parts(2);
  const auto deliver_line = [&](int generation, const char* lifecycle, bool is_replaced) {
    Listener discovery;
    const auto watch = std::make_shared<net::MembershipWatch>(parts.context, discovery.address, 1,
                                                              std::chrono::milliseconds(5000));
    std::thread thread([&] { watch->run(); });
    Peer peer = discovery.accept();
    peer.read_until("\r\n\r\n");
    peer.begin_lines();
    peer.write_line(R"({"generation":)" + std::to_string(generation) + R"(,"reset":false,"instances":[)" +
                    Running::instance_json("s-0", "host:0", lifecycle) + "]}");
    peer.end_lines();
    thread.join();  // the line now waits in the reducer's queue
    if (is_replaced) watch->cancel();
  };
  deliver_line(5, "leaving", true);
  deliver_line(4, "active", true);
  deliver_line(3, "active", false);
  parts.run_until([&] { return parts.core.node.membership_version() == 5; });
  EXPECT_EQ(parts.core.node.policy().executors[0].lifecycle, Lifecycle::kDraining);
}

TEST(ProgramRaces, OlderOrContradictoryListIsLoggedAndIgnored) {
  Running run;
  Peer watch = run.accept_watch(Running::instance_json("s-1", run.first.address) + "," +
                                Running::instance_json("s-2", run.second.address, "leaving"));
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  watch.write_line(R"({"generation":1,"reset":false,"instances":[)" +
                   Running::instance_json("s-2", run.second.address) + "]}");
  EXPECT_TRUE(run.wait_for_log("generation: 1 is older than 2"));
  watch.write_line(R"({"generation":3,"reset":false,"instances":[)" +
                   Running::instance_json("s-2", run.second.address) + "," +
                   Running::instance_json("s-2", run.second.address, "leaving") + "]}");
  EXPECT_TRUE(run.wait_for_log("instanceId: twice s-2"));
  for (int i = 0; i < 6; ++i) {
    Peer client = run.client();
    Peer executor = start_attempt_on_first(run, client, "lookup", "id" + std::to_string(i));
    executor.read_message();
    send_answer(executor, "id" + std::to_string(i), "ok");
    EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
    executor.close();
  }
  EXPECT_TRUE(run.second.nobody_waits());
}

// --- Stop and reload ---

// The reducer is not running. Once three quarters of the descriptors are in use, the listener leaves new
// connections in the kernel's backlog.
TEST(ProgramRaces, ListenerWaitsForReducerToFreeDescriptors) {
  Parts parts(1);
  net::Socket listener = net::listen_on("127.0.0.1:0");
  const std::string address = listener.address();
  net::Server server(parts.context, std::move(listener), nullptr, 16);
  server.start();
  server.open_listener();
  std::vector<Peer> clients;
  for (int i = 0; i < 13; ++i) clients.push_back(Peer::to(address).write("no request\r\n\r\n"));
  for (int i = 0; i < 12; ++i) EXPECT_TRUE(starts(clients[i].read_to_end(), "HTTP/1.1 400 ")) << i;
  EXPECT_TRUE(clients[12].silent_for(std::chrono::milliseconds(100)));
  parts.run_until([&] { return !clients[12].silent_for(std::chrono::milliseconds(1)); });
  EXPECT_TRUE(starts(clients[12].read_to_end(), "HTTP/1.1 400 "));
  server.end_threads();
  EXPECT_TRUE(net::wait_for_threads(std::chrono::seconds(2)));
}

// 300 silent clients are accepted faster than the reducer can close them, while discovery is down. The call
// that reaches discovery again, the console and an executor must still get a descriptor.
TEST(ProgramRaces, SilentClientsLeaveDescriptorsForOtherConnections) {
  Running run(64);
  Peer watch = told_only_first(run);
  Peer client = run.client();
  client.write(Running::request_text("lookup", "id1"));
  run.first.accept().send_result("ok");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
  std::vector<Peer> silent_clients;
  run.interrupt([&] {
    for (int i = 0; i < 300; ++i) silent_clients.push_back(run.client());
    watch.close();
  });
  Peer next_watch = run.accept_watch(Running::instance_json("s-1", run.first.address), false);
  Peer console = Peer::to(run.console);
  console.write("GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(starts(console.read_message(), "HTTP/1.1 200 "));
  Peer last_client = run.client();
  Peer executor = start_attempt_on_first(run, last_client, "lookup", "id2");
  executor.send_result("ok");
  EXPECT_TRUE(starts(last_client.read_message(), "HTTP/1.1 200 "));
  run.stop();
  EXPECT_FALSE(run.wait_for_log("Too many open files"));  // reads to the end of the log
}

// A request is half written when the node closes idle connections, and the rest may still arrive. The node
// must not shut down its reading side before that.
TEST(ProgramRaces, PartialRequestAtStopIsCompleted) {
  Parts parts(1);
  Listener clients;
  Peer client = Peer::to(clients.address);
  const std::string request = Running::request_text("lookup", "id1");
  const auto connection =
      std::make_shared<net::ClientConnection>(1, clients.accept().release(), "peer", parts.context);
  client.write(
      "POST /lookup HTTP/1.1\r\nExpect: 100-continue\r\nX-Correlation-Id: id1\r\n"
      "X-Time-Left: 4000m\r\nContent-Length: 2\r\n\r\n");
  parts.core.node.client_opened(kNow, 1);
  std::thread thread([&] { connection->run(); });
  client.read_until("\r\n\r\n");  // the request is being read
  connection->close_when_idle(true);
  client.write("ab");
  parts.run_until([&] { return parts.core.effects.attempts.size() == 1; });
  client.close();
  thread.join();
}

// The client is answered at the very moment at which the idle connections are closed. Guards against a
// fault: the connection of such a client stayed open until the process ended.
TEST(Races, ClientIdleDuringIdleCloseIsClosed) {
  Core core(1);
  core.arrive(5, 0);
  core.node.stop(kNow);
  Time listener_closes_at = 0;  // when the timer of the stop closes the listener
  core.effects.listening = true;
  for (Time now = kNow; core.effects.listening; now += 1) core.run_until(listener_closes_at = now);
  Core core_at_close(1);
  core_at_close.arrive(5, 0);
  core_at_close.node.stop(kNow);
  core_at_close.end(1, Outcome::kSucceeded, listener_closes_at, true);
  core_at_close.run_until(listener_closes_at);
  core_at_close.node.listener_closed(listener_closes_at);
  EXPECT_TRUE(core_at_close.effects.closed.empty());
  core_at_close.run_until(listener_closes_at + kSecond / 5);
  EXPECT_EQ(core_at_close.effects.closed, std::vector<Id>{5});
}

// New clients keep coming, so the listener never closes. Idle connections must still be closed from the
// last deadline on, not kept until the process ends.
TEST(Races, IdleClientAtLastDeadlineIsClosed) {
  Core core(1);
  core.node.stop(kNow);
  core.run_until(kNow + kSecond * 31 / 10);
  core.node.client_opened(kNow + kSecond * 31 / 10, 5);
  EXPECT_TRUE(core.effects.closed.empty());
  core.run_until(kNow + kSecond * 34 / 10);
  EXPECT_EQ(core.effects.closed, std::vector<Id>{5});
  EXPECT_TRUE(core.effects.running);
}

// The node gets SIGTERM while one request runs and another is queued. SIGTERM and SIGHUP follow again, and
// the running request is answered in part.
TEST(ProgramRaces, RepeatedSignalsDuringStopLoseNoRequest) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client(), queued = run.client();
  Peer executor = start_attempt_on_first(run, client, "charge", "id1");
  executor.read_message();
  queued.write(Running::request_text("charge", "id2"));
  run.stop();
  EXPECT_TRUE(run.wait_for_log("told to stop"));
  run.stop();
  EXPECT_TRUE(run.wait_for_log("told to stop"));
  reload_with(run, R"("name":"charge","agreedTime":1)", R"("name":"charge","agreedTime":2)");
  executor.begin_lines();
  executor.write_line(status_line("id1", "started"));
  Peer second = run.first.accept();  // the executor has room for the queued request
  EXPECT_TRUE(holds(second.read_message(), "X-Correlation-Id: id2\r\n"));
  executor.write_line(status_line("id1", "done", R"(,"result":"one")"));
  executor.end_lines();
  send_answer(second, "id2", "two");
  EXPECT_TRUE(holds(client.read_message(), "one"));
  EXPECT_TRUE(holds(queued.read_message(), "two"));
  EXPECT_EQ(client.read_to_end(), "");  // the node closes it although the client does not
  EXPECT_EQ(queued.read_to_end(), "");
  EXPECT_EQ(run.wait(), 0);
}

// A whole request, half of another one, a new configuration file, SIGHUP and SIGTERM all arrive while the
// process is stopped.
TEST(ProgramRaces, SimultaneousRequestsAndSignalsLoseNoRequest) {
  Running run;
  Peer watch = told_only_first(run);
  Peer whole = run.client(), half = run.client();
  const std::string request = Running::request_text("charge", "id2");
  run.interrupt([&] {
    whole.write(Running::request_text("charge", "id1"));
    half.write(request.substr(0, request.size() / 2));
    run.reload(replaced(run.config(256, "127.0.0.1:0", "7", run.discovery.address),
                        R"("name":"charge","agreedTime":1)", R"("name":"charge","agreedTime":2)"));
    run.stop();
  });
  EXPECT_TRUE(run.wait_for_log("told to stop"));
  Peer executor = run.first.accept();
  executor.read_message();
  send_answer(executor, "id1", "one");
  EXPECT_TRUE(holds(whole.read_message(), "one"));
  half.write(request.substr(request.size() / 2));
  EXPECT_TRUE(holds(executor.read_message(), "X-Correlation-Id: id2\r\n"));
  send_answer(executor, "id2", "two");
  EXPECT_TRUE(holds(half.read_message(), "two"));
  EXPECT_EQ(whole.read_to_end(), "");
  EXPECT_EQ(half.read_to_end(), "");
  EXPECT_EQ(run.wait(), 0);
}

// The client sends its next request as soon as it has an answer. Each request must be answered, and the
// last answer must announce the close.
TEST(ProgramRaces, RequestsDuringStopAreAnsweredUntilClose) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  Peer executor = start_attempt_on_first(run, client, "lookup", "id0");
  executor.read_message();
  send_answer(executor, "id0", "ok");
  std::string answer = client.read_message();
  run.stop();
  EXPECT_TRUE(run.wait_for_log("told to stop"));
  for (int i = 1; !holds(answer, "Connection: close\r\n"); ++i) {
    const std::string id = "id" + std::to_string(i);
    client.write(Running::request_text("lookup", id));
    ASSERT_TRUE(holds(executor.read_message(), "X-Correlation-Id: " + id + "\r\n"));
    send_answer(executor, id, "ok");
    answer = client.read_message();
    ASSERT_TRUE(starts(answer, "HTTP/1.1 200 ")) << i;
  }
  EXPECT_EQ(client.read_to_end(), "");
  EXPECT_EQ(run.wait(), 0);
}

// The reload names a discovery address that is unreachable at first. Requests are served with the known
// membership until that discovery is back.
TEST(ProgramRaces, UnreachableNewDiscoveryKeepsServing) {
  Running run;
  Peer watch = told_only_first(run);
  Listener new_discovery;
  new_discovery.close();
  run.reload(run.config(256, "127.0.0.1:0", "7", new_discovery.address));
  EXPECT_EQ(watch.read_to_end(), "");
  EXPECT_TRUE(run.wait_for_log("side=discovery id=2 peer=" + new_discovery.address + " reason=unreachable"));
  Peer client = run.client();
  Peer executor = start_attempt_on_first(run, client, "lookup", "id1");
  executor.read_message();
  send_answer(executor, "id1", "ok");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
  Listener restored(new_discovery.address);
  EXPECT_TRUE(holds(restored.accept().read_until("\r\n\r\n"), "index=2 "));
}

// A client has written half of a request when a reload makes its use case require an idempotency key. The
// request is checked by the settings under which it began.
TEST(ProgramRaces, PartialRequestKeepsSettingsAcrossReload) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  client.write(
      "POST /lookup HTTP/1.1\r\nExpect: 100-continue\r\nX-Correlation-Id: id1\r\n"
      "X-Time-Left: 4000m\r\nContent-Length: 2\r\n\r\n");
  EXPECT_TRUE(starts(client.read_until("\r\n\r\n"), "HTTP/1.1 100 "));
  reload_with(run, R"("hardLimit":5,"semantics":"free")",
              R"("hardLimit":5,"semantics":"guarded","group":"all","window":5)");
  client.write("ab");
  Peer executor = run.first.accept();
  executor.read_message();
  send_answer(executor, "id1", "ok");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
  client.write("POST /lookup HTTP/1.1\r\nX-Correlation-Id: id2\r\nX-Time-Left: 4000m\r\n\r\n");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 400 "));
}

// Two attempts may have run when a reload exchanges the effects of their use cases. Whether a request may
// be sent again follows from the effect that was set when it arrived.
TEST(ProgramRaces, OpenRequestKeepsEffectAcrossReload) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client(), other = run.client();
  Peer executor = start_attempt_on_first(run, client, "lookup", "id1");
  executor.read_message();
  executor.begin_lines();
  executor.write_line(status_line("id1", "started"));
  Peer second = start_attempt_on_first(run, other, "charge", "id2");
  second.read_message();
  const std::string before = run.config(256, "127.0.0.1:0", "7", run.discovery.address);
  run.reload(replaced(replaced(before, R"("name":"lookup")", R"("name":"charge")"),
                      R"({"name":"charge","agreedTime":1)", R"({"name":"lookup","agreedTime":1)"));
  EXPECT_TRUE(run.wait_for_log("reload: discovery is "));
  second.close();  // at most once when it arrived: not sent again
  EXPECT_TRUE(starts(other.read_message(), "HTTP/1.1 502 "));
  executor.close();  // idempotent when it arrived
  Peer retry = run.first.accept();
  EXPECT_TRUE(holds(retry.read_message(), "X-Correlation-Id: id1\r\n"));
  send_answer(retry, "id1", "ok");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
  other.write(Running::request_text("lookup", "id3"));  // at most once since the reload
  retry.read_message();
  retry.close();
  EXPECT_TRUE(starts(other.read_message(), "HTTP/1.1 502 "));
}

}  // namespace
}  // namespace canvasstage
