// Tests that start the program and talk to it over loopback, and tests of its network parts in this process.
#include <gtest/gtest.h>
#include <poll.h>

#include <atomic>
#include <cstring>
#include <fstream>
#include <thread>

#include "helpers.h"
#include "net/buffer_pool.h"
#include "net/discovery.h"
#include "net/executor.h"

namespace canvasstage {
namespace {

// Serves `count` requests one after the other. The executor has been sent the first one already.
void serve_requests(Peer& client, Peer& executor, const std::string& use_case, int count) {
  for (int i = 1; i <= count; ++i) {
    executor.read_message();
    executor.send_result("ok");
    EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
    if (i < count) client.write(Running::request_text(use_case, "id" + std::to_string(i)));
  }
}

TEST(BufferPool, ExhaustedPoolReusesReleasedBuffer) {
  net::BufferPool pool(2);
  net::Buffer first = pool.take();
  char* const bytes = first.data();
  const net::Buffer second = pool.take();
  EXPECT_TRUE(second);
  EXPECT_FALSE(pool.take());
  { const net::Buffer released = std::move(first); }
  EXPECT_EQ(pool.wait_for_buffer(std::chrono::seconds(1)).data(), bytes);
}

// There are as many attempts as buffers. If each attempt needed a second buffer for its result, all would
// wait and none would release its own.
TEST(ProgramParts, AttemptNeedsNoSecondBufferForResult) {
  Core core(1);
  core.arrive(1, 0);
  net::Reducer reducer;
  net::BufferPool request_buffers(1), attempt_buffers(1);
  const CurrentTerms terms{Terms()};
  MetricsBoard board;
  Node* node = &core.node;
  const net::HandoverSignal handover_signal;
  net::NodeContext context{reducer, request_buffers, attempt_buffers, terms,
                           board,   handover_signal, nullptr,         node};
  auto request = std::make_shared<net::ClientRequest>();
  request->buffer = request_buffers.take();
  const std::string request_text = Running::request_text("lookup", "id1");
  std::memcpy(request->buffer.data(), request_text.data(), request_text.size());
  request->head.read({request->buffer.data(), request_text.size()});
  Listener executor;
  net::ExecutorConnection connection(context, std::chrono::seconds(1));
  std::thread thread([&connection] { connection.run(); });
  connection.start_attempt(core.effects.attempts[0].id, executor.address, request, net::now() + 4 * kSecond);
  Peer peer = executor.accept();
  peer.read_message();
  peer.send_result(std::string(60000, 'r'));
  int checks = 0;
  reducer.wake_at(0, 1);
  reducer.run([&](Time now, std::uint64_t) {
    if (!core.effects.answers.empty() || ++checks == 200) reducer.finish();
    reducer.wake_at(now + kSecond / 100, 1);
  });
  connection.abandon();
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0].second, Answer::kSucceeded);
  thread.join();
}

TEST(Discovery, MessageEndsAtTopLevelNewline) {
  for (const std::string message :
       {"", "{}", "{\n \"a\": [\n 1,\n 2\n ]\n}", R"({"a":"\\\"{"})", R"({"a":"\\"})", "no list"})
    EXPECT_EQ(net::find_message_end(message + "\n{}\n"), message.size()) << message;
  EXPECT_EQ(net::find_message_end("{\n"), std::string_view::npos);
}

TEST(Discovery, InvalidEntryNamesItsField) {
  const auto result_of_check = [](const std::string& entry) -> std::string {
    rapidjson::Document list;
    list.Parse((R"({"generation":3,"instances":[)" + entry + "]}").c_str());
    try {
      return "version " + std::to_string(net::validate_list(list));
    } catch (const BadInput& input) {
      return input.what();
    }
  };
  EXPECT_EQ(result_of_check(Running::instance_json("s-1", "127.0.0.1:1")), "version 3");
  EXPECT_TRUE(holds(result_of_check(R"({"instanceId":"s-1"})"), "lifecycle"));
  EXPECT_TRUE(holds(result_of_check(R"({"instanceId":7,"lifecycle":"active"})"), "instanceId"));
  EXPECT_TRUE(holds(result_of_check("5"), "instanceId"));
}

TEST(Program, ServedRequestLeavesConnectionReusable) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  client.write(Running::request_text("phase-run", "id1"));
  Peer executor = run.first.accept();
  const std::string request = executor.read_message();
  EXPECT_TRUE(starts(request, "POST /phase-run/7?q=%41 HTTP/1.1\r\n")) << request;
  EXPECT_TRUE(holds(request, "X-Correlation-Id: id1\r\n"));
  EXPECT_TRUE(holds(request, "Idempotency-Key: k-id1\r\n"));
  EXPECT_TRUE(holds(request, "\r\n\r\nbody"));
  executor.send_result("a \\u00e9\\n\\\"b\\\"");
  const std::string answer = client.read_message();
  EXPECT_TRUE(starts(answer, "HTTP/1.1 200 ")) << answer;
  EXPECT_TRUE(holds(answer, "\r\n\r\na \xc3\xa9\n\"b\"")) << answer;
  client.write(Running::request_text("lookup", "id2"));
  EXPECT_TRUE(holds(executor.read_message(), "X-Correlation-Id: id2\r\n"));
  executor.send_result("again");
  EXPECT_TRUE(holds(client.read_message(), "again"));
}

TEST(Program, PipelinedRequestsAreAnsweredInOrder) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  client.write(Running::request_text("lookup", "id1") + Running::request_text("lookup", "id2"));
  Peer executor = run.first.accept();
  executor.read_message();
  executor.send_result("one");
  executor.read_message();
  executor.send_result("two");
  EXPECT_TRUE(holds(client.read_message(), "one"));
  EXPECT_TRUE(holds(client.read_message(), "two"));
}

TEST(Program, RefusedConnectionRetriesAnotherExecutor) {
  Running run;
  run.second.close();
  Peer client = run.client();
  client.write(Running::request_text("charge", "id0"));
  Peer executor = run.first.accept();
  serve_requests(client, executor, "charge", 8);
}

TEST(Program, DrainingExecutorGetsNoNewRequest) {
  Running run;
  Peer watch = run.accept_watch(Running::instance_json("s-1", run.first.address) + "," +
                                Running::instance_json("s-2", run.second.address));
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  Running::send_list(watch, Running::instance_json("s-2", run.second.address, "leaving"), false);
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  Peer client = run.client();
  Peer executor = start_attempt_on_first(run, client, "lookup", "id0");
  serve_requests(client, executor, "lookup", 8);
  EXPECT_TRUE(run.second.nobody_waits());
}

// The request has been written and the executor sends no byte of an answer. The request must go to another
// executor long before the answer would be late.
TEST(Program, SilentExecutorIsReplacedEarly) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  const auto sent_at = std::chrono::steady_clock::now();
  Peer silent = start_attempt_on_first(run, client, "lookup", "id1");
  silent.read_message();
  Running::send_list(watch, Running::instance_json("s-2", run.second.address), false);
  Peer executor = run.second.accept();
  EXPECT_LT(std::chrono::steady_clock::now() - sent_at, std::chrono::seconds(2));
  EXPECT_EQ(silent.read_to_end(), "");
  executor.read_message();
  executor.send_result("elsewhere");
  EXPECT_TRUE(holds(client.read_message(), "elsewhere"));
}

// The connection breaks after the last byte of the request. The request may have run, so an at-most-once
// request is neither sent again nor shed.
TEST(Program, LostConnectionFailsAtMostOnceRequest) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  Peer executor = start_attempt_on_first(run, client, "charge", "id1");
  executor.read_message();
  executor.close();
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 502 "));
  EXPECT_TRUE(run.first.nobody_waits());
  EXPECT_TRUE(run.second.nobody_waits());
}

TEST(Program, ClosedIdleConnectionIsDetected) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  Peer executor = start_attempt_on_first(run, client, "lookup", "id1");
  executor.read_message();
  executor.send_result("one");
  client.read_message();
  executor.close();
  EXPECT_TRUE(run.wait_for_log("side=executor id=1 peer=" + run.first.address + " reason=peer_closed"));
}

TEST(Program, UnprocessedRequestIsRetried) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  Peer executor = start_attempt_on_first(run, client, "charge", "id1");
  executor.read_message();
  executor.write("HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 2\r\n\r\nno");
  // The retry uses a new connection: this answer carries no id, so a repetition of it on the old connection
  // could not be told from the answer to the retry.
  EXPECT_EQ(executor.read_to_end(), "");
  Peer retry = run.first.accept();
  EXPECT_TRUE(holds(retry.read_message(), "X-Correlation-Id: id1\r\n"));
  retry.send_result("second");
  EXPECT_TRUE(holds(client.read_message(), "second"));
}

// An invalid line in the answer leaves open whether the request ran, so an at-most-once request fails.
TEST(Program, InvalidLineFailsAtMostOnceRequest) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  const std::string deep(50000, '[');  // nesting that would overflow a small stack
  for (const std::string& line :
       std::vector<std::string>{"no json", "{}", R"({"state":"done"})", "[1]", deep}) {
    Peer executor = start_attempt_on_first(run, client, "charge", "id" + std::to_string(line.size()));
    executor.read_message();
    executor.begin_lines();
    executor.write_line(line);
    EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 502 ")) << line.substr(0, 20);
  }
  client.close();
  run.stop();
  EXPECT_EQ(run.wait(), 0);
}

TEST(Program, SilentExecutorFailsRequestAtDeadline) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  const auto sent_at = std::chrono::steady_clock::now();
  Peer executor = start_attempt_on_first(run, client, "charge", "id1", "700000u");
  executor.read_message();
  executor.begin_lines();
  executor.write_line(R"({"state":"started"})");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 502 "));
  EXPECT_GE(std::chrono::steady_clock::now() - sent_at, std::chrono::milliseconds(600));
  EXPECT_EQ(executor.read_to_end(), "");  // the attempt is abandoned
}

TEST(Program, ClientDisconnectCancelsItsAttempt) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  Peer executor = start_attempt_on_first(run, client, "lookup", "id1");
  executor.read_message();
  client.close();
  EXPECT_EQ(executor.read_to_end(), "");
  EXPECT_TRUE(run.wait_for_log("reason=left_while_open"));
}

TEST(Program, InvalidRequestsAreAnsweredAndClosed) {
  Running run;
  const std::string id = "X-Correlation-Id: i\r\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"nonsense\r\n\r\n", "400"},
      {"POST /lookup HTTP/1.1\r\nContent-Length: x\r\n\r\n", "400"},
      {"POST /lookup HTTP/1.1\r\n" + id + "\r\n", "400"},
      {"POST /lookup HTTP/1.1\r\n" + id + "X-Time-Left: 5s\r\n\r\n", "400"},
      {"POST /lookup HTTP/1.1\r\n" + id + "X-Time-Left: -5m\r\n\r\n", "400"},
      {"POST /lookup HTTP/1.1\r\nX-Time-Left: 5m\r\n\r\n", "400"},
      {"POST /lookup HTTP/1.1\r\n" + id + id + "X-Time-Left: 5m\r\n\r\n", "400"},
      {"POST /phase-run HTTP/1.1\r\n" + id + "X-Time-Left: 5m\r\n\r\n", "400"},
      {"POST /lookup HTTP/1.1\n", "400"},
      {"\x16\x03\x01", "400"},
      {"POST /lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
      {"POST /unknown HTTP/1.1\r\n" + id + "X-Time-Left: 5m\r\n\r\n", "404"},
      {"GET /lookup HTTP/1.1\r\n\r\n", "405"},
      {"POST /lookup HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", "413"},
      {"GET / HTTP/1.1\r\nA: " + std::string(9000, 'x') + "\r\n\r\n", "431"}};
  for (const auto& [request, status] : cases) {
    Peer client = run.client();
    client.write(request);
    const std::string answer = client.read_to_end();
    EXPECT_TRUE(starts(answer, "HTTP/1.1 " + status)) << request.substr(0, 80) << "\n" << answer;
    EXPECT_TRUE(holds(answer, "Connection: close\r\n"));
  }
}

// The answer to a health check must close the connection. Otherwise hundreds of clients that send one health
// check and stay connected would each hold a thread, and together half of the descriptors.
TEST(Program, HealthCheckIsAnsweredAndClosed) {
  Running run;
  Peer client = run.client();
  client.write("GET /healthz HTTP/1.1\r\n\r\n");
  const std::string answer = client.read_to_end();
  EXPECT_TRUE(starts(answer, "HTTP/1.1 200 "));
  EXPECT_TRUE(holds(answer, "Connection: close\r\n"));
}

// A client that sends nothing, or part of a request, is closed in time. A kept connection may be silent
// between requests.
TEST(Program, SilentOrPartialClientsAreClosed) {
  Running run;
  Peer watch = told_only_first(run);
  Peer kept = run.client();
  Peer executor = start_attempt_on_first(run, kept, "lookup", "id1");
  executor.read_message();
  executor.send_result("one");
  kept.read_message();
  const auto connected_at = std::chrono::steady_clock::now();
  const auto elapsed = [connected_at] { return std::chrono::steady_clock::now() - connected_at; };
  Peer silent = run.client();
  std::vector<Peer> partial_clients;
  for (const char* const part : {"POST /loo", "POST /lookup HTTP/1.1\r\nContent-Length: 9\r\n\r\nab"})
    partial_clients.push_back(run.client().write(part));
  silent.read_to_end();
  EXPECT_LT(elapsed(), std::chrono::seconds(2));
  for (Peer& client : partial_clients) client.read_to_end();
  EXPECT_LT(elapsed(), std::chrono::seconds(3));
  kept.write(Running::request_text("lookup", "id2"));
  executor.read_message();
  executor.send_result("two");
  EXPECT_TRUE(holds(kept.read_message(), "two"));
}

// A process that gets only a part of a core may be stopped and continued often. Guards against a fault: a
// wait that was interrupted this way started again with its whole timeout, and silent clients stayed until
// no descriptor was left.
TEST(Program, SilentClientTimesOutDespiteInterruptions) {
  Running run;
  Peer silent = run.client();
  const auto connected_at = std::chrono::steady_clock::now();
  const auto elapsed = [connected_at] { return std::chrono::steady_clock::now() - connected_at; };
  while (silent.silent_for(std::chrono::milliseconds(50)) && elapsed() < std::chrono::seconds(5))
    run.interrupt();
  EXPECT_LT(elapsed(), std::chrono::seconds(3));
}

// Guards against a fault: when a signal interrupted the connect of an attempt, the node treated the executor
// as one that does not answer.
TEST(ProgramParts, InterruptedConnectContinuesUntilTimeout) {
  struct sigaction no_action {};
  no_action.sa_handler = [](int) {};
  sigaction(SIGUSR1, &no_action, nullptr);
  const net::Socket listener = net::listen_on("127.0.0.1:0");
  ::listen(listener.fd(), 0);
  const Peer first = Peer::to(listener.address());  // fills the backlog
  pollfd incoming{listener.fd(), POLLIN, 0};
  ASSERT_EQ(poll(&incoming, 1, 10000), 1);
  const net::Socket socket = net::new_socket();
  std::atomic<bool> has_ended{false};
  const auto started_at = std::chrono::steady_clock::now();
  std::thread connecting([&] {
    EXPECT_NE(net::connect_to(socket, listener.address(), std::chrono::milliseconds(300)), 0);
    has_ended = true;
  });
  while (!has_ended) {
    pthread_kill(connecting.native_handle(), SIGUSR1);
    std::this_thread::yield();
  }
  connecting.join();
  // The system's timer may be early by some milliseconds. An interrupted connect would end immediately.
  EXPECT_GE(std::chrono::steady_clock::now() - started_at, std::chrono::milliseconds(200));
}

TEST(Program, DuplicateOpenRequestIdIsRejected) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  Peer executor = start_attempt_on_first(run, client, "lookup", "id1");
  executor.read_message();
  Peer other = run.client();
  other.write(Running::request_text("lookup", "id1"));
  EXPECT_TRUE(starts(other.read_to_end(), "HTTP/1.1 400 "));
  const auto rejected_at = std::chrono::steady_clock::now();
  EXPECT_TRUE(run.wait_for_log("reason=answered_last"));  // although the client does not close its side
  EXPECT_LT(std::chrono::steady_clock::now() - rejected_at, std::chrono::seconds(5));
  executor.send_result("one");
  EXPECT_TRUE(holds(client.read_message(), "one"));
}

TEST(Program, ChunkedBodyIsForwardedComplete) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  client.write(
      "POST /lookup HTTP/1.1\r\nX-Correlation-Id: c\r\nX-Time-Left: 4000m\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  client.write("10000\r\n" + std::string(65536 - 3, 'd').substr(0, 65533));
  client.write("ddd");                                                                // the end of the chunk
  EXPECT_TRUE(starts(client.write("\r\n0\r\n\r\n").read_to_end(), "HTTP/1.1 413 "));  // three bytes too many
  Peer other = run.client();
  other.write(
      "POST /lookup HTTP/1.1\r\nX-Correlation-Id: c\r\nX-Time-Left: 4000m\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nfffd\r\n" +
      std::string(65533, 'd') + "\r\n0\r\n\r\n");
  Peer executor = run.first.accept();
  EXPECT_TRUE(holds(executor.read_message(), "\r\n\r\nabc" + std::string(65533, 'd')));
  executor.send_result(std::string(60000, 'r'));
  EXPECT_TRUE(holds(other.read_message(), std::string(60000, 'r')));
}

TEST(Program, StopServesOpenAndLateRequests) {
  Running run;
  Peer watch = told_only_first(run);
  Peer idle = run.client();
  Peer executor = start_attempt_on_first(run, idle, "lookup", "id0");
  executor.read_message();
  executor.send_result("zero");
  idle.read_message();
  Peer client = run.client();
  client.write(Running::request_text("lookup", "id1"));
  executor.read_message();
  executor.begin_lines();
  executor.write_line(R"({"state":"started"})");
  run.stop();
  EXPECT_TRUE(run.wait_for_log("told to stop"));
  Peer late = run.client();
  late.write(Running::request_text("lookup", "id2"));
  Peer second = run.first.accept();
  second.read_message();
  second.send_result("late");
  EXPECT_TRUE(starts(late.read_message(), "HTTP/1.1 200 "));
  EXPECT_EQ(idle.read_to_end(), "");  // closed once the time to stop runs short
  executor.write_line(R"({"state":"done","result":"open"})");
  executor.end_lines();
  const std::string answer = client.read_to_end();
  EXPECT_TRUE(holds(answer, "open"));
  EXPECT_TRUE(holds(answer, "Connection: close\r\n"));
  late.close();
  client.close();
  idle.close();
  EXPECT_EQ(run.wait(), 0);
}

TEST(Program, AddressIsReusableAfterKill) {
  std::string address;
  Running first;
  address = first.address;
  Peer client = first.client();
  client.write("GET /healthz HTTP/1.1\r\n\r\n");
  client.read_message();
  first.stop(SIGKILL);
  EXPECT_EQ(first.wait(), -1);
  Running second(256, address);
  EXPECT_EQ(second.address, address);
}

TEST(Program, DescriptorExhaustionClosesIdleAndSheds) {
  Running run(64);  // descriptors: 10 are reserved, and 27 of the other 54 may be for clients
  Peer watch = told_only_first(run);
  std::vector<Peer> clients;
  for (int i = 0; i < 80; ++i) clients.push_back(run.client());
  // The node closes idle clients, the longest idle first, and serves the client that comes after that. The
  // test waits for the closes: on a busy machine the next client came while all descriptors were still in
  // use, and its five attempts got none within 0.1 s.
  for (int i = 0; i < 50; ++i) EXPECT_EQ(clients[i].read_to_end(), "");
  Peer client = run.client();
  Peer executor = start_attempt_on_first(run, client, "lookup", "id1");
  executor.read_message();
  executor.send_result("served");
  EXPECT_TRUE(holds(client.read_message(), "served"));
  std::vector<Peer> clients_with_request;
  for (int i = 0; i < 40; ++i) {
    clients_with_request.push_back(run.client());
    clients_with_request.back().write(Running::request_text("lookup", "b" + std::to_string(i), "1500m"));
  }
  int shed_count = 0;
  for (Peer& busy_client : clients_with_request)
    shed_count += starts(busy_client.read_message(), "HTTP/1.1 503 ") ? 1 : 0;
  EXPECT_EQ(shed_count, 40);  // shed immediately or at the deadline, as no executor answers
}

TEST(Program, DiscoveryIsRetriedUntilItAnswers) {
  Running run;
  Peer first = run.discovery.accept();
  EXPECT_TRUE(starts(first.read_until("\r\n\r\n"), "GET /v1/servers?stream=1&index=1 "));
  first.write("HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n");
  run.discovery.accept().close();
  Peer watch = run.discovery.accept();
  watch.read_until("\r\n\r\n");
  watch.begin_lines();
  watch.write_line("");
  watch.write_line("no list");
  Peer last_watch = told_only_first(run);  // an invalid line counts as a failed call
  Peer client = run.client();
  Peer executor = start_attempt_on_first(run, client, "lookup", "id1");
  executor.read_message();
  executor.send_result("found");
  EXPECT_TRUE(holds(client.read_message(), "found"));
}

// A change that the silent watch misses counts as announced 6 s after the watch's last byte. The next call
// must come well before that.
TEST(Program, SilentWatchIsRenewedInTime) {
  Running run;
  Peer watch = told_only_first(run);
  const auto silent_since = std::chrono::steady_clock::now();
  Peer next_watch = run.discovery.accept();
  EXPECT_LT(std::chrono::steady_clock::now() - silent_since, std::chrono::milliseconds(4700));
  EXPECT_TRUE(starts(next_watch.read_until("\r\n\r\n"), "GET /v1/servers?stream=1&index=2 "));
}

// Open requests continue over the reload. The node asks the new discovery address, which only the file
// names, for changes since the version it has.
TEST(Program, ReloadMovesWatchAndKeepsServing) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  Peer executor = start_attempt_on_first(run, client, "lookup", "id1");
  executor.read_message();
  Listener moved;
  run.reload(run.config(256, "127.0.0.1:0", "7", moved.address));
  Peer next = moved.accept();
  EXPECT_TRUE(starts(next.read_until("\r\n\r\n"), "GET /v1/servers?stream=1&index=2 "));
  EXPECT_EQ(watch.read_to_end(), "");
  next.begin_lines();
  Running::send_list(next,
                     Running::instance_json("s-1", run.first.address, "left") + "," +
                         Running::instance_json("s-2", run.second.address),
                     false);
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  executor.send_result("open");
  EXPECT_TRUE(holds(client.read_message(), "open"));
  client.write(Running::request_text("lookup", "id2"));
  Peer other = run.second.accept();
  EXPECT_TRUE(holds(other.read_message(), "X-Correlation-Id: id2\r\n"));
}

// At-most-once requests are running and one is queued. A reload switches to a pushed list that reports the
// load, without start messages, and a second reload switches back.
TEST(Program, ModeReloadsNeitherLoseNorRepeatRequests) {
  Running run;
  Peer watch = told_only_first(run);
  const std::string original = run.config(256, "127.0.0.1:0", "7", run.discovery.address);
  std::string changed = original;
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {R"("membershipMode":"ask")", R"("membershipMode":"push","weightSource":"live")"},
           {R"("tellsStart":true,"progress":2)", R"("tellsStart":false)"}})
    changed.replace(changed.find(from), from.size(), to);
  std::vector<Peer> clients, executors;
  const auto accept_request = [&](const std::string& id) {
    executors.push_back(run.first.accept());
    EXPECT_TRUE(holds(executors.back().read_message(), "X-Correlation-Id: " + id + "\r\n"));
    executors.back().begin_lines();
  };
  const auto send_request = [&](const std::string& id) {
    clients.push_back(run.client());
    clients.back().write(Running::request_text("charge", id));
  };
  send_request("id1");
  accept_request("id1");
  send_request("id2");  // queued: the request before it has not started
  run.reload(changed);
  EXPECT_TRUE(run.wait_for_log("reload: discovery is "));
  accept_request("id2");
  send_request("id3");
  accept_request("id3");
  run.reload(original);
  EXPECT_TRUE(run.wait_for_log("reload: discovery is "));
  for (std::size_t i = 0; i < 3; ++i) {
    executors[i].write_line(R"({"state":"started"})");
    executors[i].write_line(R"({"state":"done","result":"done"})");
    executors[i].end_lines();
    const std::string answer = clients[i].read_message();
    EXPECT_TRUE(starts(answer, "HTTP/1.1 200 ") && holds(answer, "done")) << answer;
  }
  EXPECT_TRUE(run.first.nobody_waits());
  for (Peer& executor : executors) EXPECT_TRUE(executor.silent_for(std::chrono::milliseconds(20)));
}

TEST(Program, InvalidReloadNamesFieldAndChangesNothing) {
  Running run;
  Peer watch = told_only_first(run);
  Listener moved;
  const std::string good = run.config(256, "127.0.0.1:0", "7", moved.address);
  const std::string deep =
      R"({"name":)" + std::string(50000, '[');  // nesting that would overflow a small stack
  for (const auto& [content, field] : std::vector<std::pair<std::string, std::string>>{
           {good.substr(0, good.size() / 2), "NODE_CONFIG"},
           {"", "NODE_CONFIG"},
           {deep, "NODE_CONFIG"},
           {run.config(256, "127.0.0.1:0", "7", "127.0.0.1:http"), "discovery"},
           {run.config(0, "127.0.0.1:0", "7", moved.address), "limits.sockets"}}) {
    run.reload(content);
    EXPECT_TRUE(run.wait_for_log("reload: nothing changes: " + field)) << content.substr(0, 40);
  }
  Running::send_list(watch, Running::instance_json("s-2", run.second.address),
                     false);  // the old watch is still in use
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  EXPECT_TRUE(moved.nobody_waits());
  run.reload(run.config(128, "127.0.0.1:0", "8", moved.address));
  EXPECT_TRUE(run.wait_for_log("reload: limits stays"));
  moved.accept();
}

// The second reload arrives while the first new address has not answered yet. A refused call is soon made
// again.
TEST(Program, RepeatedReloadsUseLastAddress) {
  Running run;
  Peer watch = told_only_first(run);
  Listener silent, moved;
  run.reload(run.config(256, "127.0.0.1:0", "7", silent.address));
  Peer first_call = silent.accept();
  run.reload(run.config(256, "127.0.0.1:0", "7", moved.address));
  moved.accept().write("HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(first_call.read_until("\r\n\r\n").substr(0, 4), "GET ");
  EXPECT_EQ(first_call.read_to_end(), "");
  const auto refused_at = std::chrono::steady_clock::now();
  Peer next = moved.accept();
  EXPECT_LT(std::chrono::steady_clock::now() - refused_at, std::chrono::seconds(2));
  EXPECT_TRUE(starts(next.read_until("\r\n\r\n"), "GET "));
}

TEST(Program, InvalidConfigurationNamesItsField) {
  Running run(256, "127.0.0.1:0", "zz");
  EXPECT_EQ(run.wait(), 1);
  EXPECT_EQ(run.address, "");
  EXPECT_TRUE(holds(run.output(), "seed")) << run.output();
}

}  // namespace
}  // namespace canvasstage
