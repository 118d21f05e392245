// Tests of an upgrade under load: what one process of a node hands over to the next.
#include "net/upgrade.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

#include "helpers.h"

namespace canvasstage {
namespace {

// --- Without sockets ---

struct ReadStateStub : Payload {};

Core shared_core(int executors) {
  return Core(executors, 1024, small_settings(), true);
}

rapidjson::Document parse_json(const std::string& json) {
  rapidjson::Document document;
  document.Parse(json.c_str());
  EXPECT_FALSE(document.HasParseError()) << json;
  return document;
}

// Transfers a request as the channel does: encoded, and decoded in a process with another clock.
TransferredRequest transferred(const TransferredRequest& request, Time sent_at, Time now) {
  TransferredRequest result = decode_request(parse_json(encode_request(request, sent_at)), now);
  result.payload = request.payload;
  return result;
}

TEST(Handover, RequestIsTransferredOnceItsAttemptIsSuspended) {
  Core from = shared_core(2), to = shared_core(2);
  from.effects.successor = true;
  from.arrive(5, 2);  // at most once
  const std::string executor = from.effects.attempts[0].address;
  from.node.attempt_started(kNow + 10, 1);
  from.node.stop(kNow + 20);
  EXPECT_TRUE(from.effects.transferred_requests.empty());
  EXPECT_FALSE(from.effects.handed_knowledge.empty());
  from.node.attempt_suspended(kNow + 30, 1, std::make_shared<ReadStateStub>());
  ASSERT_EQ(from.effects.transferred_requests.size(), 1u);
  from.node.client_closed(kNow + 31, 5);
  EXPECT_EQ(from.node.descriptors_used(), 0);
  from.node.listener_closed(kNow + 40);
  EXPECT_FALSE(from.effects.running);
  EXPECT_TRUE(from.effects.answers.empty());

  constexpr Time kSuccessorNow = kNow + 777 * kSecond;  // the clock of the successor
  to.node.client_opened(kSuccessorNow, 9);
  std::vector<Id> attempt_ids;
  ASSERT_TRUE(to.node.adopt_request(
      kSuccessorNow, 9, transferred(from.effects.transferred_requests[0], kNow + 30, kSuccessorNow),
      attempt_ids));
  ASSERT_EQ(attempt_ids.size(), 1u);
  const Request& state = to.node.policy().requests[0];
  EXPECT_EQ(state.deadline - kSuccessorNow, 5 * kSecond - 30);
  EXPECT_EQ(state.attempts[0].started_at, kSuccessorNow - 20);
  EXPECT_TRUE(to.effects.attempts.empty());  // the adopted attempt continues
  to.end(attempt_ids[0], Outcome::kSucceeded, kSuccessorNow + 10, true);
  ASSERT_EQ(to.effects.answers.size(), 1u);
  EXPECT_EQ(to.effects.answers[0], std::make_pair(Id{9}, Answer::kSucceeded));
  to.arrive(10, 0, kSuccessorNow + 20);
  EXPECT_EQ(to.effects.attempts[0].reused_connection,
            executor == to.effects.attempts[0].address ? attempt_ids[0] : 0);
}

// Guards against requests that are lost or counted twice in a handover: in each process the accepted requests
// equal the ended, outstanding and handed-over ones, and each request handed over is accepted by the other.
TEST(Handover, MetricsAddUpInBothProcesses) {
  Core from = shared_core(1), to = shared_core(1);
  from.effects.successor = true;
  from.arrive(5, 0);
  from.arrive(6, 0);  // queued
  from.end(1, Outcome::kSucceeded, kNow + 10);
  from.node.stop(kNow + 20);
  from.node.attempt_suspended(kNow + 30, 2, std::make_shared<ReadStateStub>());
  const Metrics old_metrics = from.metrics_at(kNow + kSecond);
  ASSERT_EQ(from.effects.transferred_requests.size(), 1u);
  EXPECT_EQ(old_metrics.accepted, 2u);
  EXPECT_EQ(old_metrics.use_cases[0].succeeded, 1u);
  EXPECT_EQ(old_metrics.handed_over, 1u);
  EXPECT_EQ(old_metrics.outstanding, 0u);
  to.node.client_opened(kNow, 9);
  std::vector<Id> attempt_ids;
  to.node.adopt_request(kNow, 9, transferred(from.effects.transferred_requests[0], kNow, kNow), attempt_ids);
  EXPECT_EQ(to.metrics_at(kNow + kSecond / 10).outstanding, 1u);
  to.end(attempt_ids.at(0), Outcome::kSucceeded, kNow + kSecond / 10);
  const Metrics new_metrics = to.metrics_at(kNow + kSecond / 5);
  EXPECT_EQ(new_metrics.accepted, 1u);
  EXPECT_EQ(new_metrics.use_cases[0].succeeded, 1u);
  EXPECT_EQ(new_metrics.outstanding, 0u);
}

// An attempt of an at-most-once request that was suspended may have run, so that the successor must not retry
// it when the connection is lost.
TEST(Handover, SuccessorNeverRepeatsAtMostOnceAttempt) {
  Core from = shared_core(2), to = shared_core(2);
  from.effects.successor = true;
  from.arrive(5, 2);
  from.node.stop(kNow + 20);
  from.node.attempt_suspended(kNow + 30, 1, std::make_shared<ReadStateStub>());
  to.node.client_opened(kNow, 9);
  std::vector<Id> attempt_ids;
  to.node.adopt_request(kNow, 9, transferred(from.effects.transferred_requests.at(0), kNow + 30, kNow),
                        attempt_ids);
  to.end(attempt_ids[0], Outcome::kConnectionLost, kNow + 10);
  EXPECT_TRUE(to.effects.attempts.empty());
  ASSERT_EQ(to.effects.answers.size(), 1u);
  EXPECT_EQ(to.effects.answers[0].second, Answer::kFailed);
}

// A queued request has no pending attempt and is transferred at once. Its ended attempts that may have run
// must be transferred with it, or the successor would repeat them.
TEST(Handover, QueuedRequestIsTransferredWithItsHistory) {
  Core from = shared_core(1), to = shared_core(2);
  from.effects.successor = true;
  from.arrive(5, 1);  // idempotent by key within its zone
  from.end(1, Outcome::kConnectionLost, kNow + 10);
  from.arrive(6, 0);
  from.arrive(7, 0);  // queued
  from.node.stop(kNow + 20);
  std::set<std::string> transferred_ids;
  for (const TransferredRequest& request : from.effects.transferred_requests)
    transferred_ids.insert(request.id);
  EXPECT_TRUE(transferred_ids.count("id3"));
  TransferredRequest request = transferred(from.effects.transferred_requests.back(), kNow + 20, kNow);
  to.node.client_opened(kNow, 9);
  std::vector<Id> attempt_ids;
  EXPECT_TRUE(to.node.adopt_request(kNow, 9, request, attempt_ids));
  EXPECT_TRUE(attempt_ids.empty());
  EXPECT_EQ(to.effects.attempts.size(), 1u);  // this process has capacity left
}

TEST(Handover, OpenIdIsNotAdoptedTwice) {
  Core from = shared_core(1), to = shared_core(1);
  from.effects.successor = true;
  from.arrive(5, 0);
  from.node.stop(kNow + 20);
  from.node.attempt_suspended(kNow + 30, 1, std::make_shared<ReadStateStub>());
  to.arrive(8, 0);  // its id is also "id1"
  to.node.client_opened(kNow, 9);
  std::vector<Id> attempt_ids;
  EXPECT_FALSE(to.node.adopt_request(
      kNow, 9, transferred(from.effects.transferred_requests.at(0), kNow, kNow), attempt_ids));
  ASSERT_EQ(to.effects.answers.size(), 1u);
  EXPECT_EQ(to.effects.answers[0], std::make_pair(Id{9}, Answer::kRejected));
}

// An attempt that is given up while suspended has no thread that would report its end; it must end all the
// same, or its descriptor would be counted for ever.
TEST(Handover, AbandonedSuspendedAttemptEnds) {
  Core from = shared_core(1);
  from.effects.successor = true;
  from.arrive(5, 0);
  from.node.stop(kNow + 20);
  from.node.client_closed(kNow + 25, 5);
  from.node.attempt_suspended(kNow + 30, 1, std::make_shared<ReadStateStub>());
  from.run_until(kNow + kSecond / 100);
  EXPECT_EQ(from.node.descriptors_used(), 0);
  EXPECT_TRUE(from.effects.transferred_requests.empty());
}

TEST(Handover, IdleConnectionsAreTransferred) {
  Core from = shared_core(1), to = shared_core(1);
  from.effects.successor = true;
  from.arrive(5, 0);
  from.end(1, Outcome::kSucceeded, kNow + 10, true);
  from.node.stop(kNow + 20);
  ASSERT_EQ(from.effects.transferred_connections.size(), 1u);
  const auto& connection = from.effects.transferred_connections[0];
  EXPECT_EQ(connection.executor, "s-0");
  EXPECT_EQ(connection.idle_since, kNow + 10);
  const Id id = to.node.adopt_connection(kNow, connection.executor, connection.address, kNow - 10);
  ASSERT_NE(id, 0u);
  EXPECT_EQ(to.node.policy().executors[0].connections, 1);
  to.arrive(6, 0);
  EXPECT_EQ(to.effects.attempts.at(0).reused_connection, id);
  EXPECT_EQ(to.node.adopt_connection(kNow, "s-9", "host:9", kNow), 0u);  // not listed here
  EXPECT_EQ(to.node.adopt_connection(kNow, "s-0", "host:9", kNow), 0u);  // listed at another address
}

TEST(Handover, LearnedEstimatesAreTransferred) {
  Core from = shared_core(2), to = shared_core(2);
  from.effects.successor = true;
  Time now = kNow;
  for (Id attempt = 1; attempt <= 20; ++attempt) {
    from.arrive(100 + attempt, 0, now);
    from.node.attempt_started(now + 10, attempt);
    const bool slow = from.effects.attempts.back().address == "host:0";
    from.end(attempt, Outcome::kSucceeded, now + (slow ? 3000 : 1000), true);
    now += 4000;
  }
  from.node.stop(now);
  to.node.adopt_knowledge(kNow, parse_json(from.effects.handed_knowledge), kNow);
  for (int i = 0; i < 2; ++i) {
    EXPECT_NEAR(to.node.policy().speed(to.node.policy().executors[i]),
                from.node.policy().speed(from.node.policy().executors[i]), 1e-9);
  }
  EXPECT_EQ(to.node.policy().learned_work(0), from.node.policy().learned_work(0));
  EXPECT_NE(to.node.policy().learned_work(0), 1.0);
  for (const char* const broken : {"{}", "[]", R"({"executors":5})", R"({"executors":[{"id":5}]})"})
    EXPECT_THROW(to.node.adopt_knowledge(kNow, parse_json(broken), kNow), BadInput) << broken;
}

// Guards against kNever being converted to an age like other times: the zone would then appear infinitely far
// away, and no attempt would ever be written to it.
TEST(Handover, ZoneWithoutDelaySampleStaysUnknown) {
  Core from = shared_core(2), to = shared_core(2);
  to.node.adopt_knowledge(kNow, parse_json(from.node.encode_knowledge(kNow)), kNow);
  const Policy& policy = to.node.policy();
  for (const Zone& zone : policy.zones) {
    EXPECT_EQ(zone.min_delay, kNever);
    EXPECT_EQ(zone.previous_min_delay, kNever);
  }
  for (const Executor& executor : policy.executors) EXPECT_EQ(policy.zone_delay(executor), 0);
}

// Rule 4 limits what a node sends to a cold executor, so that the sends of the predecessor count in the
// successor too.
TEST(Handover, ColdSendsAreTransferred) {
  Core from = shared_core(0), to = shared_core(0);
  for (Core* core : {&from, &to}) {
    core->node.executor_listed(kNow, "s-0", "host:0", "a", "m", 0, Lifecycle::kActive, kNow - 5 * kSecond);
    core->node.membership_received(kNow, MembershipUpdate::kSnapshot, 2);
  }
  from.effects.successor = true;
  from.arrive(5, 0);
  ASSERT_EQ(from.effects.attempts.size(), 1u);
  from.node.stop(kNow + 20);
  to.node.adopt_knowledge(kNow + 20, parse_json(from.effects.handed_knowledge), kNow + 20);
  EXPECT_EQ(to.node.policy().executors[0].cold_attempts.size(), 1u);
}

// Rule 4 limits what a node sends to a cold executor, so that overlapping processes must share the budget.
TEST(Handover, ProcessesShareTheColdBudget) {
  Core predecessor = shared_core(0), successor = shared_core(0);
  const auto budget = [](Core& core) {
    return core.node.policy().cold_budget(kNow, core.node.policy().executors[0]);
  };
  for (Core* core : {&predecessor, &successor}) {
    core->node.executor_listed(kNow, "s-0", "host:0", "a", "m", 0, Lifecycle::kActive, kNow);
    core->node.membership_received(kNow, MembershipUpdate::kSnapshot, 2);
  }
  const double full_budget = budget(predecessor);
  ASSERT_GT(full_budget, 0);
  predecessor.node.set_descriptor_share(kNow, 8);
  successor.node.set_descriptor_share(kNow, 8);
  EXPECT_LE(budget(predecessor) + budget(successor), full_budget * 1.001);
  // The predecessor stops, and the successor gets nearly the whole budget.
  predecessor.effects.successor = true;
  predecessor.node.stop(kNow);
  successor.node.set_descriptor_share(kNow, 15);
  EXPECT_LE(budget(predecessor) + budget(successor), full_budget * 1.001);
  EXPECT_GE(budget(successor), full_budget * 0.9);
  successor.node.set_descriptor_share(kNow, 16);
  EXPECT_DOUBLE_EQ(budget(successor), full_budget);
}

// The successor may read settings that define the use case differently. An open request must keep the
// definition under which it was accepted.
TEST(Handover, RequestKeepsItsOriginalUseCase) {
  Core from = shared_core(1);
  from.effects.successor = true;
  from.arrive(5, 2);
  from.node.stop(kNow);
  from.node.attempt_suspended(kNow, 1, std::make_shared<ReadStateStub>());
  Settings settings = small_settings();
  settings.use_cases[2].effect = Effect::kIdempotent;
  Core to(2, 1024, settings, true);
  to.node.client_opened(kNow, 9);
  std::vector<Id> attempt_ids;
  to.node.adopt_request(kNow, 9, transferred(from.effects.transferred_requests.at(0), kNow, kNow),
                        attempt_ids);
  to.end(attempt_ids.at(0), Outcome::kConnectionLost, kNow + 10);
  EXPECT_TRUE(to.effects.attempts.empty());  // still at most once
  EXPECT_EQ(to.effects.answers.size(), 1u);
  EXPECT_EQ(to.node.terms().find_use_case("charge"), 2);  // new requests use the new settings
}

TEST(Handover, EveryFieldOfARequestIsChecked) {
  Core from = shared_core(1);
  from.effects.successor = true;
  from.arrive(5, 2);
  from.node.stop(kNow);
  from.node.attempt_suspended(kNow, 1, std::make_shared<ReadStateStub>());
  const std::string json = encode_request(from.effects.transferred_requests.at(0), kNow);
  rapidjson::Document whole = parse_json(json);
  for (auto field = whole.MemberBegin(); field != whole.MemberEnd(); ++field) {
    rapidjson::Document part = parse_json(json);
    part.RemoveMember(field->name.GetString());
    EXPECT_THROW(decode_request(part, kNow), BadInput) << field->name.GetString();
    part = parse_json(json);
    part[field->name.GetString()].SetNull();
    EXPECT_THROW(decode_request(part, kNow), BadInput) << field->name.GetString();
  }
  const rapidjson::Value& attempt = whole["launches"][0];
  for (auto field = attempt.MemberBegin(); field != attempt.MemberEnd(); ++field) {
    rapidjson::Document part = parse_json(json);
    part["launches"][0].RemoveMember(field->name.GetString());
    EXPECT_THROW(decode_request(part, kNow), BadInput) << field->name.GetString();
  }
}

// Two overlapping processes may not use more descriptors than one process may: each keeps to its share, and
// idle connections are closed first.
TEST(Handover, OverlappingProcessKeepsItsDescriptorShare) {
  Core core(4, 64, small_settings(), true);
  for (Id client = 1; client <= 8; ++client) core.arrive(client, 0);
  for (Id attempt = 1; attempt <= core.effects.attempts.size(); ++attempt)
    core.end(attempt, Outcome::kSucceeded, kNow + 10, true);
  ASSERT_GT(core.node.descriptors_used(), 8);
  core.node.set_descriptor_share(kNow + 20, 8);  // 32, of which 16 are the process's own or reserved
  EXPECT_LE(core.node.descriptors_used(), 18);
  core.node.client_opened(kNow + 30, 20);
  core.node.client_opened(kNow + 31, 21);
  EXPECT_FALSE(core.effects.closed.empty());
  const std::size_t closed = core.effects.closed.size();
  core.node.set_descriptor_share(kNow + 40, 16);
  core.node.client_opened(kNow + 50, 22);
  EXPECT_EQ(core.effects.closed.size(), closed);
}

// --- The channel ---

TEST(ProgramUpgrade, TruncatedMessageIsRejected) {
  int pair[2];
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
  net::Socket local(pair[0]), remote(pair[1]);
  net::Upgrade::Message sent, received;
  sent.json = "words";
  sent.bytes = std::string(100000, 'b');
  sent.sockets.push_back(net::new_socket());
  sent.sockets.push_back(net::new_socket());
  std::thread sender([&] { EXPECT_TRUE(net::send_message(local, sent)); });
  EXPECT_TRUE(net::receive_message(remote, received));
  sender.join();
  EXPECT_EQ(received.json, sent.json);
  EXPECT_EQ(received.bytes, sent.bytes);
  EXPECT_EQ(received.sockets.size(), 2u);
  const std::uint32_t sizes[3] = {5, 100, 0};
  EXPECT_TRUE(local.write({reinterpret_cast<const char*>(sizes), sizeof sizes}, "word"));
  local = net::Socket();
  EXPECT_FALSE(net::receive_message(remote, received));
}

TEST(ProgramUpgrade, InvalidSizesAreRejected) {
  for (const std::uint32_t large : {std::uint32_t{17 * 1024 * 1024}, UINT32_MAX}) {
    int pair[2];
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
    const net::Socket local(pair[0]), remote(pair[1]);
    const std::uint32_t sizes[3] = {large, 0, 0};
    EXPECT_TRUE(local.write({reinterpret_cast<const char*>(sizes), sizeof sizes}, {}));
    net::Upgrade::Message received;
    EXPECT_FALSE(net::receive_message(remote, received));
  }
}

// --- Two processes ---

Peer start_watch(Running& run, const std::string& entries) {
  Peer watch = run.accept_watch(entries);
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  return watch;
}

// The same where discovery is the stand-in of the predecessor.
Peer start_watch(Running& run, Running& discovery_owner, const std::string& entries) {
  Peer watch = discovery_owner.accept_watch(entries);
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  return watch;
}

Peer connect_client(const HeldListener& held) {
  return Peer::to(held.listener.address());
}

std::string first_executor(const Running& run) {
  return Running::instance_json("s-1", run.first.address);
}

TEST(ProgramUpgrade, SuccessorAnswersOpenRequest) {
  const HeldListener held;
  Running predecessor(held);
  Peer watch = start_watch(predecessor, first_executor(predecessor));
  Peer client = connect_client(held);
  client.write(Running::request_text("charge", "id1", "9000m"));
  Peer executor = predecessor.first.accept();
  executor.read_message();
  executor.begin_lines();
  executor.write_line(R"({"state":"started"})");
  // Half a line in half a chunk.
  executor.write(
      "40\r\n"
      R"({"state":"do)");
  Running successor(held, &predecessor);
  Peer second_watch = start_watch(successor, predecessor, first_executor(predecessor));
  EXPECT_TRUE(predecessor.wait_for_log("a new process is there"));
  predecessor.stop();
  EXPECT_EQ(predecessor.wait(), 0);  // long before the request's deadline
  const std::string rest = R"(ne","result":")";
  const std::string line =
      R"({"state":"do)" + rest + std::string(0x40 - 1 - 12 - rest.size() - 2, 'r') + "\"}\n";
  executor.write(line.substr(12) + "\r\n0\r\n\r\n");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
  EXPECT_TRUE(predecessor.first.nobody_waits());
  // The client's and the executor's connection are used again.
  client.write(Running::request_text("lookup", "id2"));
  EXPECT_NE(executor.read_message().find("id2"), std::string::npos);
  executor.send_result("again");
  EXPECT_NE(client.read_message().find("again"), std::string::npos);
}

// The successor is stopped while a request is handed over. The time in transit must count against the
// deadline, or the executor of a retry would be told too long a time.
TEST(ProgramUpgrade, DeadlineRunsOnDuringHandover) {
  constexpr std::chrono::milliseconds kPauseDuration{800};
  const HeldListener held;
  Running predecessor(held);
  Peer watch = start_watch(predecessor, first_executor(predecessor));
  Peer client = connect_client(held);
  client.write(Running::request_text("lookup", "id1", "4000m"));
  Peer executor = predecessor.first.accept();
  executor.read_message();
  executor.begin_lines();
  executor.write_line(R"({"state":"started"})");
  Running successor(held, &predecessor);
  Peer second_watch = start_watch(successor, predecessor, first_executor(predecessor));
  EXPECT_TRUE(predecessor.wait_for_log("a new process is there"));
  successor.interrupt([&] {
    predecessor.stop();
    EXPECT_TRUE(predecessor.wait_for_log("handing over"));
    EXPECT_TRUE(client.silent_for(kPauseDuration));
  });
  EXPECT_EQ(predecessor.wait(), 0);
  executor.write_line(R"({"state":"returned"})");
  executor.end_lines();
  const std::string retry = executor.read_message();
  constexpr std::string_view kField = "X-Time-Left: ";
  const int time_left_ms = std::atoi(retry.c_str() + retry.find(kField) + kField.size());
  EXPECT_GT(time_left_ms, 1000) << retry;
  EXPECT_LE(time_left_ms, 4000 - kPauseDuration.count() + 150) << retry;
}

// The handover may happen at any byte of an answer: before its head, within it, between and within lines.
TEST(ProgramUpgrade, AnswerMayBeSplitAnywhere) {
  const std::string answer =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n{\"state\":\"started\"}\n\r\n"
      "1f\r\n{\"state\":\"done\",\"result\":\"ok\"}\n\r\n0\r\n\r\n";
  for (const std::size_t cut :
       {std::size_t{0}, std::size_t{1}, std::size_t{20}, std::size_t{45}, std::size_t{48}, std::size_t{52},
        std::size_t{72}, std::size_t{75}, std::size_t{90}}) {
    const HeldListener held;
    Running predecessor(held);
    Peer watch = start_watch(predecessor, first_executor(predecessor));
    Peer client = connect_client(held);
    client.write(Running::request_text("charge", "id1"));
    Peer executor = predecessor.first.accept();
    executor.read_message();
    executor.write(answer.substr(0, cut));
    Running successor(held, &predecessor);
    Peer second_watch = start_watch(successor, predecessor, first_executor(predecessor));
    EXPECT_TRUE(predecessor.wait_for_log("a new process is there"));
    predecessor.stop();
    EXPECT_EQ(predecessor.wait(), 0) << cut;
    executor.write(answer.substr(cut));
    EXPECT_EQ(client.read_message().substr(0, 13), "HTTP/1.1 200 ") << cut;
  }
}

TEST(ProgramUpgrade, KeptAndHalfReadClientConnectionsMove) {
  const HeldListener held;
  Running predecessor(held);
  Peer watch = start_watch(predecessor, first_executor(predecessor));
  Peer kept = connect_client(held);
  kept.write(Running::request_text("lookup", "id1"));
  Peer executor = predecessor.first.accept();
  executor.read_message();
  executor.send_result("one");
  kept.read_message();
  Peer half_sent = connect_client(held);
  const std::string request = Running::request_text("lookup", "id2");
  half_sent.write(request.substr(0, 60));
  Running successor(held, &predecessor);
  Peer second_watch = start_watch(successor, predecessor, first_executor(predecessor));
  EXPECT_TRUE(predecessor.wait_for_log("a new process is there"));
  predecessor.stop();
  EXPECT_TRUE(predecessor.wait_for_log("reason=moved"));
  kept.write(Running::request_text("lookup", "id3"));
  EXPECT_NE(executor.read_message().find("id3"), std::string::npos);
  half_sent.write(request.substr(60));
  Peer second_executor = predecessor.first.accept();
  EXPECT_NE(second_executor.read_message().find("id2"), std::string::npos);
  second_executor.send_result("two");
  EXPECT_NE(half_sent.read_message().find("two"), std::string::npos);
  executor.send_result("three");
  EXPECT_NE(kept.read_message().find("three"), std::string::npos);
  EXPECT_EQ(predecessor.wait(), 0);
}

TEST(ProgramUpgrade, LeftoverFilesInDirectoryAreReplaced) {
  const HeldListener held;
  const std::string path = held.folder + "/canvasstage.sock";
  std::ofstream(path) << "no socket";
  std::ofstream(path + ".new") << "nor this";
  {
    Running first(held);
    Peer watch = start_watch(first, first_executor(first));
    first.stop(SIGKILL);  // leaves its socket behind
    first.wait();
  }
  Running second(held);
  Peer watch = start_watch(second, first_executor(second));
  Peer client = connect_client(held);
  client.write(Running::request_text("lookup", "id1"));
  Peer executor = second.first.accept();
  executor.read_message();
  executor.send_result("served");
  EXPECT_NE(client.read_message().find("served"), std::string::npos);
}

// Where the shared directory is missing no handover is possible: the node runs all the same, and the old
// process serves its open requests to the end.
TEST(ProgramUpgrade, WithoutDirectoryOldProcessServesToTheEnd) {
  HeldListener held;
  const std::string folder = std::exchange(held.folder, "/nowhere");
  Running predecessor(held);
  Peer watch = start_watch(predecessor, first_executor(predecessor));
  Peer client = connect_client(held);
  client.write(Running::request_text("lookup", "id1"));
  Peer executor = predecessor.first.accept();
  executor.read_message();
  predecessor.stop();
  EXPECT_TRUE(predecessor.wait_for_log("told to stop"));
  Peer late = connect_client(held);  // stays in the backlog for the next process
  executor.send_result("one");
  const std::string answer = client.read_to_end();
  EXPECT_NE(answer.find("one"), std::string::npos);
  EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos);
  client.close();
  EXPECT_EQ(predecessor.wait(), 0);
  held.folder = folder;
}

TEST(ProgramUpgrade, InvalidInheritedDescriptorFailsStart) {
  HeldListener held;
  held.listener = net::new_socket();
  Running run(held);
  EXPECT_EQ(run.wait(), 1);
  EXPECT_NE(run.output().find("NODE_INHERITED_FD"), std::string::npos) << run.output();
}

// Guards against requests that are lost, repeated or refused in an upgrade. Clients send without pause while
// three processes follow each other: each id gets one answer, no connection is refused or reset, and every
// attempt that reached an executor belongs to one answer.
TEST(ProgramUpgrade, BusyClientsNoticeNoUpgrade) {
  const HeldListener held;
  Running first(held);
  std::mutex mutex;
  std::multiset<std::string> executed_ids;
  std::atomic<bool> done{false};
  std::vector<std::thread> executor_threads;
  std::thread acceptor([&] {
    while (!done) {
      try {
        auto peer = std::make_shared<Peer>(first.first.accept());
        executor_threads.emplace_back([&, peer] {
          for (;;) {
            std::string request;
            try {
              request = peer->read_message();
            } catch (const std::runtime_error&) {
              return;
            }
            const std::size_t at = request.find("X-Correlation-Id: ");
            if (at == std::string::npos) return;
            const std::string id = request.substr(at + 18, request.find('\r', at) - at - 18);
            {
              const std::lock_guard lock(mutex);
              executed_ids.insert(id);
            }
            peer->begin_lines();
            peer->write_line(R"({"state":"started"})");
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            peer->write_line(R"({"state":"done","result":")" + id + "\"}");
            peer->end_lines();
          }
        });
      } catch (const std::runtime_error&) {
      }
    }
  });
  Peer watch = start_watch(first, first_executor(first));
  std::atomic<int> answered{0}, wrong_answers{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 6; ++c)
    clients.emplace_back([&, c] {
      try {
        Peer client = connect_client(held);
        for (int i = 0; !done; ++i) {
          const std::string id = "c" + std::to_string(c) + "-" + std::to_string(i);
          client.write(Running::request_text("charge", id));
          const std::string answer = client.read_message();
          if (answer.find("\r\n\r\n" + id) == std::string::npos) {
            ++wrong_answers;
            ADD_FAILURE() << id << ": " << answer;
            return;
          }
          ++answered;
          if (answer.find("Connection: close") != std::string::npos) client = connect_client(held);
        }
      } catch (const std::runtime_error& failure) {
        ADD_FAILURE() << failure.what();
      }
    });
  std::vector<std::unique_ptr<Running>> versions;
  Running* current = &first;
  for (int i = 0; i < 2; ++i) {
    const int before = answered;
    while (answered < before + 20) std::this_thread::yield();
    versions.push_back(std::make_unique<Running>(held, &first));
    Peer next_watch = start_watch(*versions.back(), first, first_executor(first));
    EXPECT_TRUE(current->wait_for_log("a new process is there"));
    current->stop();
    EXPECT_EQ(current->wait(), 0);
    current = versions.back().get();
    watch = std::move(next_watch);
  }
  const int before = answered;
  while (answered < before + 20) std::this_thread::yield();
  done = true;
  for (std::thread& client : clients) client.join();
  current->stop(SIGKILL);
  current->wait();
  Peer::to(first.first.address);  // wakes the acceptor
  acceptor.join();
  for (std::thread& server : executor_threads) server.join();
  EXPECT_EQ(wrong_answers, 0);
  EXPECT_EQ(executed_ids.size(), static_cast<std::size_t>(answered));
  EXPECT_EQ(std::set<std::string>(executed_ids.begin(), executed_ids.end()).size(), executed_ids.size());
}

}  // namespace
}  // namespace canvasstage
