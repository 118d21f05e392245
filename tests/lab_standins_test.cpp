// The stand-ins follow the protocol, and an invalid measurement file is rejected before anything runs.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

#include "http/parser.h"
#include "scale/real.h"
#include "standins/clients.h"
#include "standins/discovery.h"
#include "standins/executors.h"
#include "standins/node_process.h"

namespace canvasstage::lab {
namespace {

constexpr double kMaxWaitSeconds = 5;

// One connection to a stand-in, served by the stand-in's own loop.
struct TestClient {
  TestClient(Loop& event_loop, const std::string& address)
      : loop(event_loop),
        stream(std::make_shared<Stream>(event_loop, connect_nonblocking(address), traffic)) {
    stream->start([](Stream&) {});
  }
  void send_attempt(const std::string& id) {
    stream->send("POST /lookup/7 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: " + id +
                 "\r\nContent-Length: 4\r\n\r\nbody");
  }
  // Expects these bytes to arrive and returns everything received so far.
  std::string read_until(const std::string& text) {
    EXPECT_TRUE(loop.run(kMaxWaitSeconds, [&] { return has_received(text); })) << stream->in;
    return stream->in;
  }
  bool has_received(const std::string& text) const { return stream->in.find(text) != std::string::npos; }
  bool wait_for_end() {
    return loop.run(kMaxWaitSeconds, [&] { return stream->ended(); });
  }
  Loop& loop;
  Traffic traffic;
  StreamRef stream;
};

std::string content_of(const std::string& answer) {
  http::Head head(http::Head::Kind::kAnswer);
  EXPECT_EQ(head.read(answer), http::Progress::kDone);
  EXPECT_EQ(head.status, 200);
  http::BodyReader reader(head.framing, head.length);
  std::string content(answer.size(), '\0');
  std::size_t taken = 0, written = 0;
  EXPECT_NE(
      reader.read(answer.data() + head.size(), answer.size() - head.size(), content.data(), taken, written),
      http::Progress::kBad);
  content.resize(written);
  return content;
}

struct LabStandins : testing::Test {
  Loop loop;
};

TEST_F(LabStandins, AttemptReportsProgressAndConnectionIsReused) {
  Executors executors(loop, 2, 0);
  TestClient client(loop, executors.addresses()[1]);
  for (const std::string id : {"a1", "a2"}) {
    client.send_attempt(id);
    const std::string start = R"({"id":")" + id + R"(","from":"stand-in",)";
    EXPECT_EQ(content_of(client.read_until("0\r\n\r\n")),
              start + R"("state":"started"})" + "\n" + start + R"("state":"running","share":0.1})" + "\n" +
                  start + R"("state":"done","result":"made )" + id + "\"}\n");
    client.stream->in.clear();
  }
  EXPECT_EQ(executors.done, 2u);
  EXPECT_EQ(executors.open, 0);
  EXPECT_EQ(executors.traffic.connections, 1u);
  EXPECT_EQ(executors.traffic.read, client.traffic.written);
  EXPECT_EQ(executors.traffic.written, client.traffic.read);
}

TEST_F(LabStandins, AttemptWithoutIdOrMalformedIsRejected) {
  Executors executors(loop, 1, 0);
  TestClient without_id(loop, executors.addresses()[0]), malformed(loop, executors.addresses()[0]);
  without_id.stream->send("POST /lookup/7 HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  malformed.stream->send("no request\r\n\r\n");
  without_id.read_until("HTTP/1.1 404");
  malformed.read_until("HTTP/1.1 400");
  EXPECT_TRUE(malformed.wait_for_end());
  EXPECT_EQ(executors.received, 0u);
}

TEST_F(LabStandins, RefusalAnswersUnprocessed) {
  Executors executors(loop, 1, 0, {{AttemptFault::kRefuse}});
  TestClient client(loop, executors.addresses()[0]);
  client.send_attempt("a");
  EXPECT_NE(client.read_until("\r\n\r\n").find("HTTP/1.1 503"), std::string::npos);
  EXPECT_TRUE(client.has_received("X-Unprocessed: 1"));
  EXPECT_EQ(executors.open, 0);
}

TEST_F(LabStandins, HangReadsAttemptWithoutAnswering) {
  Executors executors(loop, 1, 0, {{AttemptFault::kHang}});
  TestClient client(loop, executors.addresses()[0]);
  client.send_attempt("a");
  EXPECT_TRUE(loop.run(kMaxWaitSeconds, [&] { return executors.received == 1; }));
  EXPECT_EQ(executors.open, 1);
  client.stream->close();  // the client abandons the attempt
  EXPECT_TRUE(loop.run(kMaxWaitSeconds, [&] { return executors.broken == 1; }));
  EXPECT_EQ(executors.open, 0);
  EXPECT_EQ(executors.traffic.written, 0u);
}

TEST_F(LabStandins, SilentFaultSendsOnlyTheHead) {
  Executors executors(loop, 1, 0, {{AttemptFault::kSilent}});
  TestClient client(loop, executors.addresses()[0]);
  client.send_attempt("a");
  EXPECT_EQ(content_of(client.read_until("\r\n\r\n")), "");
  EXPECT_EQ(executors.open, 1);
}

TEST_F(LabStandins, ResetFaultClosesConnection) {
  Executors executors(loop, 1, 0, {{AttemptFault::kReset}});
  TestClient client(loop, executors.addresses()[0]);
  client.send_attempt("a");
  EXPECT_TRUE(client.wait_for_end());
  EXPECT_EQ(client.stream->in, "");
  EXPECT_EQ(executors.broken, 1u);
}

TEST_F(LabStandins, LateFaultDelaysAnswer) {
  constexpr double kDelaySeconds = 0.05;
  Executors executors(loop, 1, 0, {{AttemptFault::kLate, 1, 0, 1e9, kDelaySeconds}});
  TestClient client(loop, executors.addresses()[0]);
  const LoopTime from = LoopClock::now();
  client.send_attempt("a");
  client.read_until("\"done\"");
  EXPECT_GE(LoopClock::now() - from, seconds_of(kDelaySeconds));
}

TEST_F(LabStandins, RunningAttemptReportsProgressRepeatedly) {
  Executors executors(loop, 1, 0.1);
  executors.progress(0.03);
  TestClient client(loop, executors.addresses()[0]);
  client.send_attempt("a");
  const std::string lines = content_of(client.read_until("0\r\n\r\n"));
  std::size_t reports = 0;
  for (std::size_t at = 0; (at = lines.find("\"running\"", at)) != std::string::npos; ++at) ++reports;
  EXPECT_GE(reports, 2u);
}

TEST_F(LabStandins, FaultAppliesToItsShareAndPeriod) {
  Executors executors(loop, 1, 0, {{AttemptFault::kRefuse, 1, 100, 200}, {AttemptFault::kRefuse, 0.25}});
  TestClient client(loop, executors.addresses()[0]);
  for (int i = 0; i < 8; ++i) {
    client.send_attempt(std::to_string(i));
    EXPECT_TRUE(loop.run(kMaxWaitSeconds,
                         [&] { return client.has_received("0\r\n\r\n") || client.has_received("503"); }));
    client.stream->in.clear();
  }
  EXPECT_EQ(executors.done, 6u);
  EXPECT_EQ(executors.faulted, 2u);
}

TEST_F(LabStandins, WatchSendsSnapshotThenDeltasAndKeepAlives) {
  Discovery discovery(loop, {"127.16.0.1:9", "127.16.0.2:9", "127.16.0.3:9"});
  TestClient watch(loop, discovery.address());
  watch.stream->send("GET /v1/servers?stream=1&index=0 HTTP/1.1\r\n\r\n");
  watch.read_until("]}\n");
  const std::string first = content_of(watch.stream->in);
  EXPECT_EQ(first.find(R"({"generation":1,"reset":true,"instances":[{"instanceId":"s-00000001",)"
                       R"("hostPort":"127.16.0.1:9")"),
            0u);
  EXPECT_NE(first.find("127.16.0.3:9"), std::string::npos);
  discovery.remove_entries(2);
  watch.read_until(R"("generation":2,"reset":false)");
  watch.read_until(R"("lifecycle":"left")");
  discovery.change_entries(1, true);
  watch.read_until(R"("generation":3,"reset":true)");
  const std::size_t length = watch.stream->in.size();
  EXPECT_TRUE(loop.run(kMaxWaitSeconds, [&] { return watch.stream->in.size() > length; }));
  EXPECT_EQ(watch.stream->in.substr(length), encode_chunk("\n"));
  EXPECT_EQ(discovery.calls, 1u);
  EXPECT_EQ(discovery.lists_sent, 3u);
  EXPECT_EQ(discovery.traffic.written, watch.traffic.read);
}

TEST_F(LabStandins, WatchFromCurrentGenerationStartsEmpty) {
  Discovery discovery(loop, {"127.16.0.1:9"});
  TestClient watch(loop, discovery.address()), other(loop, discovery.address());
  watch.stream->send("GET /v1/servers?stream=1&index=1 HTTP/1.1\r\n\r\n");
  other.stream->send("GET /v2/servers HTTP/1.1\r\n\r\n");
  watch.read_until("]}\n");
  EXPECT_EQ(content_of(watch.stream->in), "{\"generation\":1,\"reset\":false,\"instances\":[]}\n");
  other.read_until("HTTP/1.1 404");
}

TEST_F(LabStandins, ScriptChangesEntriesAtItsRate) {
  Discovery discovery(loop, {"127.16.0.1:9", "127.16.0.2:9"});
  TestClient watch(loop, discovery.address());
  watch.stream->send("GET /v1/servers?stream=1&index=1 HTTP/1.1\r\n\r\n");
  watch.read_until("]}\n");
  discovery.run_script({4, false, 2, 0.3});
  watch.read_until(R"("generation":2)");
  EXPECT_FALSE(watch.has_received("\"left\""));
  watch.read_until("\"left\"");
}

TEST_F(LabStandins, NonLoopbackAndOutOfBoundsAreRejected) {
  EXPECT_THROW(require_loopback("10.0.0.1:80"), StandinError);
  EXPECT_THROW(require_loopback("127.0.0.1"), StandinError);
  EXPECT_THROW(Discovery(loop, {"10.0.0.1:80"}), StandinError);
  EXPECT_THROW(Discovery(loop, {}, "0.0.0.0:0"), StandinError);
  EXPECT_THROW(Clients(loop, "192.168.0.1:80", "lookup"), StandinError);
  EXPECT_THROW(Executors(loop, Executors::kMaxExecutors + 1, 0), StandinError);
  EXPECT_THROW(Executors(loop, 0, 0), StandinError);
  EXPECT_THROW(NodeProcess(loop, "/nowhere/canvasstage", ""), StandinError);
}

// --- A real node with stand-ins ---

TEST(LabReal, NodeIsMeasuredInIdleAndBusyWindows) {
  real::Setup setup;
  setup.executors = 20;
  setup.open_jobs = 4;
  setup.waiting_jobs = 2;
  setup.rate = 40;
  setup.run_time = 0;
  setup.list_changes = 8;
  setup.reloads = 600;
  real::MetricValues metrics = real::play(setup, 0.5, CANVASSTAGE_PROGRAM);
  EXPECT_GE(metrics["open"], 6);
  EXPECT_EQ(metrics["unserved"], 0);
  EXPECT_GE(metrics["busy_launches"], 20);
  EXPECT_GT(metrics["descriptors"], 12);
  EXPECT_GT(metrics["memory"], 1);
  EXPECT_GT(metrics["idle_cpu"], 0);
  EXPECT_GT(metrics["idle_discovery_bytes"], 100);
  EXPECT_GT(metrics["reload_applied"], 0);
  for (const auto& [name, value] : metrics)
    EXPECT_TRUE(std::any_of(real::metric_definitions().begin(), real::metric_definitions().end(),
                            [&](const real::MetricDefinition& m) { return m.name == name; }))
        << name;
}

TEST(LabReal, LineIsFittedByLeastSquares) {
  const real::Line line = real::fit_line({{0, 1}, {2, 5}, {4, 9}, {2, 8}, {2, 2}});
  EXPECT_DOUBLE_EQ(line.slope, 2);
  EXPECT_DOUBLE_EQ(line.intercept, 1);
  EXPECT_DOUBLE_EQ(line.residual, std::sqrt(18 / 5.0));
}

// --- Measurement files ---

const std::string kPlan = R"(
name = "small"
sweep = "open_jobs"
sizes = [1, 2, 3, 4]
plays = 3
check = 5
seconds = 2
[fixed]
executors = 10
)";

std::string plan_error(const std::string& text) {
  try {
    real::read_plan(text, "file.toml");
  } catch (const real::BadPlan& error) {
    return error.what();
  }
  return "";
}

std::string plan_error(const std::string& from, const std::string& to) {
  std::string text = kPlan;
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return plan_error(text.replace(at, from.size(), to));
}

std::string plan_error_without(const std::string& field) {
  std::string text = kPlan;
  const std::size_t at = text.find("\n" + field);
  EXPECT_NE(at, std::string::npos) << field;
  return plan_error(text.erase(at, text.find('\n', at + 1) - at));
}

TEST(LabReal, PlanFileIsRead) {
  const real::Plan plan = real::read_plan(kPlan, "file.toml");
  EXPECT_EQ(plan.sizes, (std::vector<double>{1, 2, 3, 4}));
  EXPECT_EQ(real::setup_at(plan, 7).open_jobs, 7);
  EXPECT_EQ(real::setup_at(plan, 7).executors, 10);
}

TEST(LabReal, InvalidPlanIsRejectedByFileAndField) {
  EXPECT_EQ(plan_error("plays = 3", "plays = 3\nspeed = 1"), "file.toml: speed: not known");
  EXPECT_EQ(plan_error("executors = 10", "speed = 1"), "file.toml: fixed.speed: not known");
  EXPECT_EQ(plan_error("\"open_jobs\"", "\"speed\""), "file.toml: sweep: speed is not known");
  EXPECT_EQ(plan_error("executors = 10", "waiting_as = \"no\""),
            "file.toml: fixed.waiting_as: no is not known");
  EXPECT_EQ(plan_error("executors", "open_jobs"), "file.toml: fixed.open_jobs: is swept");
  EXPECT_EQ(plan_error("executors = 10", "executors = 6401"),
            "file.toml: fixed.executors: out of bounds: 1 to 6400");
  EXPECT_EQ(plan_error("3, 4]", "3, 8001]"), "file.toml: sizes: out of bounds: 0 to 8000");
  EXPECT_EQ(plan_error("3, 4]", "3]"), "file.toml: sizes: 4 to 20 are needed");
  EXPECT_EQ(plan_error("3, 4]", "4, 3]"), "file.toml: sizes: each larger than the last");
  EXPECT_EQ(plan_error("check = 5", "check = 4"), "file.toml: check: is one of the sizes");
  EXPECT_EQ(plan_error("seconds = 2", "seconds = 121"), "file.toml: seconds: out of bounds: 0.2 to 120");
  EXPECT_EQ(plan_error("plays = 3", "plays = 2.5"), "file.toml: plays: a whole number is needed");
  EXPECT_EQ(plan_error("\"small\"", "\"../small\""),
            "file.toml: name: a-z, 0-9 and - only: files are named after it");
  EXPECT_EQ(plan_error("check = 5", "check = 8000"), "");
  EXPECT_EQ(plan_error("executors = 10", "waiting_jobs = 7997"),
            "file.toml: open_jobs: too many with waiting_jobs");
  for (const std::string field : {"sizes", "plays", "check", "seconds", "sweep", "name"})
    EXPECT_EQ(plan_error_without(field), "file.toml: " + field + ": is missing");
  EXPECT_EQ(plan_error(kPlan.substr(0, kPlan.find("[fixed]"))), "file.toml: fixed: is missing");
  EXPECT_EQ(plan_error("plays = 3", "plays =").find("file.toml: "), 0u);
}

}  // namespace
}  // namespace canvasstage::lab
