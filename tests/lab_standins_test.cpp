// The stand-ins speak the protocol, and a measurement's file is refused before anything runs.
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

constexpr double kMost = 5;  // seconds that a test waits for what is to come

// One connection to a stand-in, driven by the stand-in's own loop.
struct Caller {
  Caller(Loop& of, const std::string& address)
      : loop(of), stream(std::make_shared<Stream>(of, connect_now(address), traffic)) {
    stream->start([](Stream&) {});
  }
  void job(const std::string& id) {
    stream->send("POST /lookup/7 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: " + id +
                 "\r\nContent-Length: 4\r\n\r\nbody");
  }
  // Whether these bytes come, then all that has come.
  std::string until(const std::string& mark) {
    EXPECT_TRUE(loop.run(kMost, [&] { return holds(mark); })) << stream->in;
    return stream->in;
  }
  bool holds(const std::string& mark) const { return stream->in.find(mark) != std::string::npos; }
  bool ends() {
    return loop.run(kMost, [&] { return stream->ended(); });
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

TEST_F(LabStandins, AnExecutorTellsOfAJobsStartProgressAndEndAndKeepsTheConnection) {
  Executors executors(loop, 2, 0);
  Caller caller(loop, executors.addresses()[1]);
  for (const std::string id : {"a1", "a2"}) {
    caller.job(id);
    const std::string start = R"({"id":")" + id + R"(","from":"stand-in",)";
    EXPECT_EQ(content_of(caller.until("0\r\n\r\n")), start + R"("state":"started"})" + "\n" + start +
                                                         R"("state":"running","share":0.1})" + "\n" + start +
                                                         R"("state":"done","result":"made )" + id + "\"}\n");
    caller.stream->in.clear();
  }
  EXPECT_EQ(executors.done, 2u);
  EXPECT_EQ(executors.open, 0);
  EXPECT_EQ(executors.traffic.connections, 1u);
  EXPECT_EQ(executors.traffic.read, caller.traffic.written);
  EXPECT_EQ(executors.traffic.written, caller.traffic.read);
}

TEST_F(LabStandins, AJobWithoutAnIdOrWithBrokenBytesIsNotTaken) {
  Executors executors(loop, 1, 0);
  Caller nameless(loop, executors.addresses()[0]), broken(loop, executors.addresses()[0]);
  nameless.stream->send("POST /lookup/7 HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  broken.stream->send("no request\r\n\r\n");
  nameless.until("HTTP/1.1 404");
  broken.until("HTTP/1.1 400");
  EXPECT_TRUE(broken.ends());
  EXPECT_EQ(executors.came, 0u);
}

TEST_F(LabStandins, AnExecutorThatRefusesSaysThatItHasNotRun) {
  Executors executors(loop, 1, 0, {{JobFault::kRefuse}});
  Caller caller(loop, executors.addresses()[0]);
  caller.job("a");
  EXPECT_NE(caller.until("\r\n\r\n").find("HTTP/1.1 503"), std::string::npos);
  EXPECT_TRUE(caller.holds("X-Unprocessed: 1"));
  EXPECT_EQ(executors.open, 0);
}

TEST_F(LabStandins, OneThatHangsReadsTheJobAndSaysNothing) {
  Executors executors(loop, 1, 0, {{JobFault::kHang}});
  Caller caller(loop, executors.addresses()[0]);
  caller.job("a");
  EXPECT_TRUE(loop.run(kMost, [&] { return executors.came == 1; }));
  EXPECT_EQ(executors.open, 1);
  caller.stream->close();  // given up
  EXPECT_TRUE(loop.run(kMost, [&] { return executors.broken == 1; }));
  EXPECT_EQ(executors.open, 0);
  EXPECT_EQ(executors.traffic.written, 0u);
}

TEST_F(LabStandins, OneThatIsSilentTakesTheJobAndSaysNothingMore) {
  Executors executors(loop, 1, 0, {{JobFault::kSilent}});
  Caller caller(loop, executors.addresses()[0]);
  caller.job("a");
  EXPECT_EQ(content_of(caller.until("\r\n\r\n")), "");
  EXPECT_EQ(executors.open, 1);
}

TEST_F(LabStandins, OneThatResetsBreaksTheConnection) {
  Executors executors(loop, 1, 0, {{JobFault::kReset}});
  Caller caller(loop, executors.addresses()[0]);
  caller.job("a");
  EXPECT_TRUE(caller.ends());
  EXPECT_EQ(caller.stream->in, "");
  EXPECT_EQ(executors.broken, 1u);
}

TEST_F(LabStandins, OneThatIsLateAnswersAllTheSame) {
  constexpr double kLate = 0.05;
  Executors executors(loop, 1, 0, {{JobFault::kLate, 1, 0, 1e9, kLate}});
  Caller caller(loop, executors.addresses()[0]);
  const LoopTime from = LoopClock::now();
  caller.job("a");
  caller.until("\"done\"");
  EXPECT_GE(LoopClock::now() - from, seconds_of(kLate));
}

TEST_F(LabStandins, ARunningJobTellsOfItsProgressTimeAndAgain) {
  Executors executors(loop, 1, 0.1);
  executors.progress(0.03);
  Caller caller(loop, executors.addresses()[0]);
  caller.job("a");
  const std::string lines = content_of(caller.until("0\r\n\r\n"));
  std::size_t told = 0;
  for (std::size_t at = 0; (at = lines.find("\"running\"", at)) != std::string::npos; ++at) ++told;
  EXPECT_GE(told, 2u);
}

TEST_F(LabStandins, AFaultTakesItsShareOfTheJobsWithinItsTime) {
  Executors executors(loop, 1, 0, {{JobFault::kRefuse, 1, 100, 200}, {JobFault::kRefuse, 0.25}});
  Caller caller(loop, executors.addresses()[0]);
  for (int i = 0; i < 8; ++i) {
    caller.job(std::to_string(i));
    EXPECT_TRUE(loop.run(kMost, [&] { return caller.holds("0\r\n\r\n") || caller.holds("503"); }));
    caller.stream->in.clear();
  }
  EXPECT_EQ(executors.done, 6u);
  EXPECT_EQ(executors.faulty, 2u);
}

TEST_F(LabStandins, AWatchHoldsTheWholeListThenWhatChangedAndEmptyLines) {
  Discovery discovery(loop, {"127.16.0.1:9", "127.16.0.2:9", "127.16.0.3:9"});
  Caller watch(loop, discovery.address());
  watch.stream->send("GET /v1/servers?stream=1&index=0 HTTP/1.1\r\n\r\n");
  watch.until("]}\n");
  const std::string first = content_of(watch.stream->in);
  EXPECT_EQ(first.find(R"({"generation":1,"reset":true,"instances":[{"instanceId":"s-00000001",)"
                       R"("hostPort":"127.16.0.1:9")"),
            0u);
  EXPECT_NE(first.find("127.16.0.3:9"), std::string::npos);
  discovery.leave(2);
  watch.until(R"("generation":2,"reset":false)");
  watch.until(R"("lifecycle":"left")");
  discovery.change(1, true);
  watch.until(R"("generation":3,"reset":true)");
  const std::size_t length = watch.stream->in.size();
  EXPECT_TRUE(loop.run(kMost, [&] { return watch.stream->in.size() > length; }));
  EXPECT_EQ(watch.stream->in.substr(length), chunk("\n"));
  EXPECT_EQ(discovery.calls, 1u);
  EXPECT_EQ(discovery.lists, 3u);
  EXPECT_EQ(discovery.traffic.written, watch.traffic.read);
}

TEST_F(LabStandins, AWatchFromTheVersionInForceBeginsWithNoEntries) {
  Discovery discovery(loop, {"127.16.0.1:9"});
  Caller watch(loop, discovery.address()), other(loop, discovery.address());
  watch.stream->send("GET /v1/servers?stream=1&index=1 HTTP/1.1\r\n\r\n");
  other.stream->send("GET /v2/servers HTTP/1.1\r\n\r\n");
  watch.until("]}\n");
  EXPECT_EQ(content_of(watch.stream->in), "{\"generation\":1,\"reset\":false,\"instances\":[]}\n");
  other.until("HTTP/1.1 404");
}

TEST_F(LabStandins, TheScriptChangesSoManyEntriesASecond) {
  Discovery discovery(loop, {"127.16.0.1:9", "127.16.0.2:9"});
  Caller watch(loop, discovery.address());
  watch.stream->send("GET /v1/servers?stream=1&index=1 HTTP/1.1\r\n\r\n");
  watch.until("]}\n");
  discovery.play({4, false, 2, 0.3});
  watch.until(R"("generation":2)");
  EXPECT_FALSE(watch.holds("\"left\""));
  watch.until("\"left\"");
}

TEST_F(LabStandins, OtherThanLoopbackAndAboveTheBoundIsRefused) {
  EXPECT_THROW(need_loopback("10.0.0.1:80"), BadStandin);
  EXPECT_THROW(need_loopback("127.0.0.1"), BadStandin);
  EXPECT_THROW(Discovery(loop, {"10.0.0.1:80"}), BadStandin);
  EXPECT_THROW(Discovery(loop, {}, "0.0.0.0:0"), BadStandin);
  EXPECT_THROW(Clients(loop, "192.168.0.1:80", "lookup"), BadStandin);
  EXPECT_THROW(Executors(loop, Executors::kMostExecutors + 1, 0), BadStandin);
  EXPECT_THROW(Executors(loop, 0, 0), BadStandin);
  EXPECT_THROW(NodeProcess(loop, "/nowhere/canvasstage", ""), BadStandin);
}

// --- A real node among them ---

TEST(LabReal, ANodeIsMeasuredWithOpenWaitingAndShortJobs) {
  real::Setup setup;
  setup.executors = 20;
  setup.open_jobs = 4;
  setup.waiting_jobs = 2;
  setup.rate = 40;
  setup.run_time = 0;
  setup.list_changes = 8;
  setup.reloads = 600;
  real::Figures figures = real::play(setup, 0.5, CANVASSTAGE_PROGRAM);
  EXPECT_GE(figures["open"], 6);
  EXPECT_EQ(figures["unserved"], 0);
  EXPECT_GE(figures["busy_launches"], 20);
  EXPECT_GT(figures["descriptors"], 12);
  EXPECT_GT(figures["memory"], 1);
  EXPECT_GT(figures["idle_cpu"], 0);
  EXPECT_GT(figures["idle_discovery_bytes"], 100);
  EXPECT_GT(figures["reload_applied"], 0);
  for (const auto& [name, value] : figures)
    EXPECT_TRUE(std::any_of(real::measures().begin(), real::measures().end(), [&](const real::Measure& m) {
      return m.name == name;
    })) << name;
}

TEST(LabReal, TheLineIsThatOfLeastSquares) {
  const real::Line line = real::fitted({{0, 1}, {2, 5}, {4, 9}, {2, 8}, {2, 2}});
  EXPECT_DOUBLE_EQ(line.slope, 2);
  EXPECT_DOUBLE_EQ(line.intercept, 1);
  EXPECT_DOUBLE_EQ(line.residual, std::sqrt(18 / 5.0));
}

// --- Files ---

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

std::string wrong_with(const std::string& text) {
  try {
    real::read_plan(text, "file.toml");
  } catch (const real::BadPlan& wrong) {
    return wrong.what();
  }
  return "";
}

std::string wrong_with(const std::string& from, const std::string& to) {
  std::string text = kPlan;
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return wrong_with(text.replace(at, from.size(), to));
}

std::string wrong_without(const std::string& field) {
  std::string text = kPlan;
  const std::size_t at = text.find("\n" + field);
  EXPECT_NE(at, std::string::npos) << field;
  return wrong_with(text.erase(at, text.find('\n', at + 1) - at));
}

TEST(LabReal, AFileIsReadWhole) {
  const real::Plan plan = real::read_plan(kPlan, "file.toml");
  EXPECT_EQ(plan.sizes, (std::vector<double>{1, 2, 3, 4}));
  EXPECT_EQ(real::setup_at(plan, 7).open_jobs, 7);
  EXPECT_EQ(real::setup_at(plan, 7).executors, 10);
}

TEST(LabReal, WhatIsUnknownMissingOrOutOfBoundsIsRefusedByFileAndField) {
  EXPECT_EQ(wrong_with("plays = 3", "plays = 3\nspeed = 1"), "file.toml: speed: not known");
  EXPECT_EQ(wrong_with("executors = 10", "speed = 1"), "file.toml: fixed.speed: not known");
  EXPECT_EQ(wrong_with("\"open_jobs\"", "\"speed\""), "file.toml: sweep: speed is not known");
  EXPECT_EQ(wrong_with("executors = 10", "waiting_as = \"no\""),
            "file.toml: fixed.waiting_as: no is not known");
  EXPECT_EQ(wrong_with("executors", "open_jobs"), "file.toml: fixed.open_jobs: is swept");
  EXPECT_EQ(wrong_with("executors = 10", "executors = 6401"),
            "file.toml: fixed.executors: out of bounds: 1 to 6400");
  EXPECT_EQ(wrong_with("3, 4]", "3, 8001]"), "file.toml: sizes: out of bounds: 0 to 8000");
  EXPECT_EQ(wrong_with("3, 4]", "3]"), "file.toml: sizes: 4 to 20 are needed");
  EXPECT_EQ(wrong_with("3, 4]", "4, 3]"), "file.toml: sizes: each larger than the last");
  EXPECT_EQ(wrong_with("check = 5", "check = 4"), "file.toml: check: is one of the sizes");
  EXPECT_EQ(wrong_with("seconds = 2", "seconds = 121"), "file.toml: seconds: out of bounds: 0.2 to 120");
  EXPECT_EQ(wrong_with("plays = 3", "plays = 2.5"), "file.toml: plays: a whole number is needed");
  EXPECT_EQ(wrong_with("\"small\"", "\"../small\""),
            "file.toml: name: a-z, 0-9 and - only: files are named after it");
  EXPECT_EQ(wrong_with("check = 5", "check = 8000"), "");
  EXPECT_EQ(wrong_with("executors = 10", "waiting_jobs = 7997"),
            "file.toml: open_jobs: too many with waiting_jobs");
  for (const std::string field : {"sizes", "plays", "check", "seconds", "sweep", "name"})
    EXPECT_EQ(wrong_without(field), "file.toml: " + field + ": is missing");
  EXPECT_EQ(wrong_with(kPlan.substr(0, kPlan.find("[fixed]"))), "file.toml: fixed: is missing");
  EXPECT_EQ(wrong_with("plays = 3", "plays =").find("file.toml: "), 0u);
}

}  // namespace
}  // namespace canvasstage::lab
