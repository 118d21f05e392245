// A new version under load: what one process of a node hands to the next.
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

struct ReadingStub : Payload {};

Core shared_core(int executors) {
  return Core(executors, 1024, small_settings(), true);
}

rapidjson::Document parsed(const std::string& json) {
  rapidjson::Document document;
  document.Parse(json.c_str());
  EXPECT_FALSE(document.HasParseError()) << json;
  return document;
}

// As over the channel: in words, and read again by another clock.
TransferredRequest passed_on(const TransferredRequest& job, Time then, Time now) {
  TransferredRequest result = decode_request(parsed(encode_request(job, then)), now);
  result.payload = job.payload;
  return result;
}

TEST(Handover, AnOpenJobGoesOnceItsLaunchIsParked) {
  Core from = shared_core(2), to = shared_core(2);
  from.effects.successor = true;
  from.arrive(5, 2);  // single-use
  const std::string executor = from.effects.launches[0].address;
  from.node.attempt_started(kNow + 10, 1);
  from.node.stop(kNow + 20);
  EXPECT_TRUE(from.effects.handed_jobs.empty());
  EXPECT_FALSE(from.effects.handed_knowledge.empty());
  from.node.attempt_suspended(kNow + 30, 1, std::make_shared<ReadingStub>());
  ASSERT_EQ(from.effects.handed_jobs.size(), 1u);
  from.node.client_closed(kNow + 31, 5);
  EXPECT_EQ(from.node.descriptors_used(), 0);
  from.node.listener_closed(kNow + 40);
  EXPECT_FALSE(from.effects.running);
  EXPECT_TRUE(from.effects.answers.empty());

  constexpr Time kOther = kNow + 777 * kSecond;  // its clock
  to.node.client_opened(kOther, 9);
  std::vector<Id> launches;
  ASSERT_TRUE(
      to.node.adopt_request(kOther, 9, passed_on(from.effects.handed_jobs[0], kNow + 30, kOther), launches));
  ASSERT_EQ(launches.size(), 1u);
  const Request& state = to.node.policy().requests[0];
  EXPECT_EQ(state.deadline - kOther, 5 * kSecond - 30);
  EXPECT_EQ(state.attempts[0].started_at, kOther - 20);
  EXPECT_TRUE(to.effects.launches.empty());  // it has one
  to.end(launches[0], Outcome::kSucceeded, kOther + 10, true);
  ASSERT_EQ(to.effects.answers.size(), 1u);
  EXPECT_EQ(to.effects.answers[0], std::make_pair(Id{9}, Answer::kSucceeded));
  to.arrive(10, 0, kOther + 20);
  EXPECT_EQ(to.effects.launches[0].over, executor == to.effects.launches[0].address ? launches[0] : 0);
}

// Taken = ended + outstanding + handed over in each, and what one handed over the other one took.
TEST(Handover, TheSumsHoldOverBothProcesses) {
  Core from = shared_core(1), to = shared_core(1);
  from.effects.successor = true;
  from.arrive(5, 0);
  from.arrive(6, 0);  // waits
  from.end(1, Outcome::kSucceeded, kNow + 10);
  from.node.stop(kNow + 20);
  from.node.attempt_suspended(kNow + 30, 2, std::make_shared<ReadingStub>());
  const Metrics old = from.figures_at(kNow + kSecond);
  ASSERT_EQ(from.effects.handed_jobs.size(), 1u);
  EXPECT_EQ(old.accepted, 2u);
  EXPECT_EQ(old.use_cases[0].succeeded, 1u);
  EXPECT_EQ(old.handed_over, 1u);
  EXPECT_EQ(old.outstanding, 0u);
  to.node.client_opened(kNow, 9);
  std::vector<Id> launches;
  to.node.adopt_request(kNow, 9, passed_on(from.effects.handed_jobs[0], kNow, kNow), launches);
  EXPECT_EQ(to.figures_at(kNow + kSecond / 10).outstanding, 1u);
  to.end(launches.at(0), Outcome::kSucceeded, kNow + kSecond / 10);
  const Metrics fresh = to.figures_at(kNow + kSecond / 5);
  EXPECT_EQ(fresh.accepted, 1u);
  EXPECT_EQ(fresh.use_cases[0].succeeded, 1u);
  EXPECT_EQ(fresh.outstanding, 0u);
}

// It may have run there: the process that goes on with it may not launch it again.
TEST(Handover, WhatMayHaveRunIsKnownToTheNextProcess) {
  Core from = shared_core(2), to = shared_core(2);
  from.effects.successor = true;
  from.arrive(5, 2);
  from.node.stop(kNow + 20);
  from.node.attempt_suspended(kNow + 30, 1, std::make_shared<ReadingStub>());
  to.node.client_opened(kNow, 9);
  std::vector<Id> launches;
  to.node.adopt_request(kNow, 9, passed_on(from.effects.handed_jobs.at(0), kNow + 30, kNow), launches);
  to.end(launches[0], Outcome::kConnectionLost, kNow + 10);
  EXPECT_TRUE(to.effects.launches.empty());
  ASSERT_EQ(to.effects.answers.size(), 1u);
  EXPECT_EQ(to.effects.answers[0].second, Answer::kFailed);
}

// An ended launch that may have run counts as well; one that waits for room has nothing pending.
TEST(Handover, OneThatWaitsForRoomGoesAtOnceWithItsHistory) {
  Core from = shared_core(1), to = shared_core(2);
  from.effects.successor = true;
  from.arrive(5, 1);  // referenced, in its zone
  from.end(1, Outcome::kConnectionLost, kNow + 10);
  from.arrive(6, 0);
  from.arrive(7, 0);  // waits
  from.node.stop(kNow + 20);
  std::set<std::string> gone;
  for (const TransferredRequest& job : from.effects.handed_jobs) gone.insert(job.id);
  EXPECT_TRUE(gone.count("id3"));
  TransferredRequest job = passed_on(from.effects.handed_jobs.back(), kNow + 20, kNow);
  to.node.client_opened(kNow, 9);
  std::vector<Id> launches;
  EXPECT_TRUE(to.node.adopt_request(kNow, 9, job, launches));
  EXPECT_TRUE(launches.empty());
  EXPECT_EQ(to.effects.launches.size(), 1u);  // there is room here
}

TEST(Handover, AnIdThatIsOpenIsNotTakenTwice) {
  Core from = shared_core(1), to = shared_core(1);
  from.effects.successor = true;
  from.arrive(5, 0);
  from.node.stop(kNow + 20);
  from.node.attempt_suspended(kNow + 30, 1, std::make_shared<ReadingStub>());
  to.arrive(8, 0);  // the same id, "id1"
  to.node.client_opened(kNow, 9);
  std::vector<Id> launches;
  EXPECT_FALSE(
      to.node.adopt_request(kNow, 9, passed_on(from.effects.handed_jobs.at(0), kNow, kNow), launches));
  ASSERT_EQ(to.effects.answers.size(), 1u);
  EXPECT_EQ(to.effects.answers[0], std::make_pair(Id{9}, Answer::kRejected));
}

// Given up while it is parked: nobody reads from it, and its end is told all the same.
TEST(Handover, AParkedLaunchThatIsGivenUpEnds) {
  Core from = shared_core(1);
  from.effects.successor = true;
  from.arrive(5, 0);
  from.node.stop(kNow + 20);
  from.node.client_closed(kNow + 25, 5);
  from.node.attempt_suspended(kNow + 30, 1, std::make_shared<ReadingStub>());
  from.run_until(kNow + kSecond / 100);
  EXPECT_EQ(from.node.descriptors_used(), 0);
  EXPECT_TRUE(from.effects.handed_jobs.empty());
}

TEST(Handover, FreeConnectionsGoAlong) {
  Core from = shared_core(1), to = shared_core(1);
  from.effects.successor = true;
  from.arrive(5, 0);
  from.end(1, Outcome::kSucceeded, kNow + 10, true);
  from.node.stop(kNow + 20);
  ASSERT_EQ(from.effects.handed_links.size(), 1u);
  const auto& link = from.effects.handed_links[0];
  EXPECT_EQ(link.executor, "s-0");
  EXPECT_EQ(link.since, kNow + 10);
  const Id id = to.node.adopt_connection(kNow, link.executor, link.address, kNow - 10);
  ASSERT_NE(id, 0u);
  EXPECT_EQ(to.node.policy().executors[0].connections, 1);
  to.arrive(6, 0);
  EXPECT_EQ(to.effects.launches.at(0).over, id);
  EXPECT_EQ(to.node.adopt_connection(kNow, "s-9", "host:9", kNow), 0u);  // not listed here
  EXPECT_EQ(to.node.adopt_connection(kNow, "s-0", "host:9", kNow), 0u);  // at another address by now
}

TEST(Handover, WhatWasLearnedGoesAlong) {
  Core from = shared_core(2), to = shared_core(2);
  from.effects.successor = true;
  Time now = kNow;
  for (Id launch = 1; launch <= 20; ++launch) {
    from.arrive(100 + launch, 0, now);
    from.node.attempt_started(now + 10, launch);
    const bool slow = from.effects.launches.back().address == "host:0";
    from.end(launch, Outcome::kSucceeded, now + (slow ? 3000 : 1000), true);
    now += 4000;
  }
  from.node.stop(now);
  to.node.adopt_knowledge(kNow, parsed(from.effects.handed_knowledge), kNow);
  for (int i = 0; i < 2; ++i) {
    EXPECT_NEAR(to.node.policy().speed(to.node.policy().executors[i]),
                from.node.policy().speed(from.node.policy().executors[i]), 1e-9);
  }
  EXPECT_EQ(to.node.policy().learned_work(0), from.node.policy().learned_work(0));
  EXPECT_NE(to.node.policy().learned_work(0), 1.0);
  for (const char* const broken : {"{}", "[]", R"({"executors":5})", R"({"executors":[{"id":5}]})"})
    EXPECT_THROW(to.node.adopt_knowledge(kNow, parsed(broken), kNow), BadInput) << broken;
}

// "Never" goes through the words as itself: a zone would else be for ever away, and an attempt there never
// written.
TEST(Handover, AZoneThatNobodyWasHeardFromIsNotTakenForAFarOne) {
  Core from = shared_core(2), to = shared_core(2);
  to.node.adopt_knowledge(kNow, parsed(from.node.knowledge(kNow)), kNow);
  const Policy& policy = to.node.policy();
  for (const Zone& zone : policy.zones) {
    EXPECT_EQ(zone.min_delay, kNever);
    EXPECT_EQ(zone.previous_min_delay, kNever);
  }
  for (const Executor& executor : policy.executors) EXPECT_EQ(policy.zone_delay(executor), 0);
}

// What the process before sent to a cold executor counts for both: rule 4 holds for the node.
TEST(Handover, WhatWasSentToAColdExecutorCounts) {
  Core from = shared_core(0), to = shared_core(0);
  for (Core* core : {&from, &to}) {
    core->node.executor_listed(kNow, "s-0", "host:0", "a", "m", 0, Lifecycle::kActive, kNow - 5 * kSecond);
    core->node.membership_received(kNow, MembershipUpdate::kSnapshot, 2);
  }
  from.effects.successor = true;
  from.arrive(5, 0);
  ASSERT_EQ(from.effects.launches.size(), 1u);
  from.node.stop(kNow + 20);
  to.node.adopt_knowledge(kNow + 20, parsed(from.effects.handed_knowledge), kNow + 20);
  EXPECT_EQ(to.node.policy().executors[0].cold_sends.size(), 1u);
}

// Both send to a cold executor while they run beside each other: rule 4 holds for the node.
TEST(Handover, TwoProcessesShareTheColdBudgetOfTheirNode) {
  Core old = shared_core(0), fresh = shared_core(0);
  const auto budget = [](Core& core) {
    return core.node.policy().cold_budget(kNow, core.node.policy().executors[0]);
  };
  for (Core* core : {&old, &fresh}) {
    core->node.executor_listed(kNow, "s-0", "host:0", "a", "m", 0, Lifecycle::kActive, kNow);
    core->node.membership_received(kNow, MembershipUpdate::kSnapshot, 2);
  }
  const double alone = budget(old);
  ASSERT_GT(alone, 0);
  old.node.set_descriptor_share(kNow, 8);
  fresh.node.set_descriptor_share(kNow, 8);
  EXPECT_LE(budget(old) + budget(fresh), alone * 1.001);
  // The old one goes, and the new one gets nearly all.
  old.effects.successor = true;
  old.node.stop(kNow);
  fresh.node.set_descriptor_share(kNow, 15);
  EXPECT_LE(budget(old) + budget(fresh), alone * 1.001);
  EXPECT_GE(budget(fresh), alone * 0.9);
  fresh.node.set_descriptor_share(kNow, 16);
  EXPECT_DOUBLE_EQ(budget(fresh), alone);
}

// A job's use case may be worded otherwise in the settings that the next process reads.
TEST(Handover, AJobKeepsTheUseCaseThatItCameUnder) {
  Core from = shared_core(1);
  from.effects.successor = true;
  from.arrive(5, 2);
  from.node.stop(kNow);
  from.node.attempt_suspended(kNow, 1, std::make_shared<ReadingStub>());
  Settings settings = small_settings();
  settings.use_cases[2].effect = Effect::kIdempotent;
  Core to(2, 1024, settings, true);
  to.node.client_opened(kNow, 9);
  std::vector<Id> launches;
  to.node.adopt_request(kNow, 9, passed_on(from.effects.handed_jobs.at(0), kNow, kNow), launches);
  to.end(launches.at(0), Outcome::kConnectionLost, kNow + 10);
  EXPECT_TRUE(to.effects.launches.empty());  // single-use still
  EXPECT_EQ(to.effects.answers.size(), 1u);
  EXPECT_EQ(to.node.terms().find_use_case("charge"), 2);  // for new ones nothing changed
}

TEST(Handover, EveryFieldOfAJobIsChecked) {
  Core from = shared_core(1);
  from.effects.successor = true;
  from.arrive(5, 2);
  from.node.stop(kNow);
  from.node.attempt_suspended(kNow, 1, std::make_shared<ReadingStub>());
  const std::string words = encode_request(from.effects.handed_jobs.at(0), kNow);
  rapidjson::Document whole = parsed(words);
  for (auto field = whole.MemberBegin(); field != whole.MemberEnd(); ++field) {
    rapidjson::Document part = parsed(words);
    part.RemoveMember(field->name.GetString());
    EXPECT_THROW(decode_request(part, kNow), BadInput) << field->name.GetString();
    part = parsed(words);
    part[field->name.GetString()].SetNull();
    EXPECT_THROW(decode_request(part, kNow), BadInput) << field->name.GetString();
  }
  const rapidjson::Value& launch = whole["launches"][0];
  for (auto field = launch.MemberBegin(); field != launch.MemberEnd(); ++field) {
    rapidjson::Document part = parsed(words);
    part["launches"][0].RemoveMember(field->name.GetString());
    EXPECT_THROW(decode_request(part, kNow), BadInput) << field->name.GetString();
  }
}

// Two processes may not hold more than one may: each keeps to its part, and what is free goes first.
TEST(Handover, BesideAnotherProcessANodeKeepsToItsPart) {
  Core core(4, 64, small_settings(), true);
  for (Id client = 1; client <= 8; ++client) core.arrive(client, 0);
  for (Id launch = 1; launch <= core.effects.launches.size(); ++launch)
    core.end(launch, Outcome::kSucceeded, kNow + 10, true);
  ASSERT_GT(core.node.descriptors_used(), 8);
  core.node.set_descriptor_share(kNow + 20, 8);  // 32, of which 16 are its own or kept for what comes
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

TEST(ProgramUpgrade, AMessageThatIsCutShortIsNone) {
  int pair[2];
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
  net::Socket one(pair[0]), other(pair[1]);
  net::Upgrade::Message sent, came;
  sent.words = "words";
  sent.bytes = std::string(100000, 'b');
  sent.sockets.push_back(net::new_socket());
  sent.sockets.push_back(net::new_socket());
  std::thread sender([&] { EXPECT_TRUE(net::send_message(one, sent)); });
  EXPECT_TRUE(net::receive_message(other, came));
  sender.join();
  EXPECT_EQ(came.words, sent.words);
  EXPECT_EQ(came.bytes, sent.bytes);
  EXPECT_EQ(came.sockets.size(), 2u);
  const std::uint32_t sizes[3] = {5, 100, 0};
  EXPECT_TRUE(one.write({reinterpret_cast<const char*>(sizes), sizeof sizes}, "word"));
  one = net::Socket();
  EXPECT_FALSE(net::receive_message(other, came));
}

TEST(ProgramUpgrade, SizesThatCannotBeAreRefused) {
  for (const std::uint32_t large : {std::uint32_t{17 * 1024 * 1024}, UINT32_MAX}) {
    int pair[2];
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
    const net::Socket one(pair[0]), other(pair[1]);
    const std::uint32_t sizes[3] = {large, 0, 0};
    EXPECT_TRUE(one.write({reinterpret_cast<const char*>(sizes), sizeof sizes}, {}));
    net::Upgrade::Message came;
    EXPECT_FALSE(net::receive_message(other, came));
  }
}

// --- Two processes ---

Peer told_of(Running& run, const std::string& entries) {
  Peer watch = run.accept_watch(entries);
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  return watch;
}

// The new one takes its list from the stand-in that the old one has.
Peer told_of(Running& run, Running& with, const std::string& entries) {
  Peer watch = with.accept_watch(entries);
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  return watch;
}

Peer client_of(const Held& held) {
  return Peer::to(held.listener.address());
}

std::string only_first(const Running& run) {
  return Running::entry("s-1", run.first.address);
}

TEST(ProgramUpgrade, AnOpenJobIsAnsweredByTheNewProcess) {
  const Held held;
  Running old(held);
  Peer watch = told_of(old, only_first(old));
  Peer client = client_of(held);
  client.write(Running::job("charge", "id1", "9000m"));
  Peer executor = old.first.accept();
  executor.read_message();
  executor.begin_lines();
  executor.write_line(R"({"state":"started"})");
  // Half a line, and half a chunk.
  executor.write(
      "40\r\n"
      R"({"state":"do)");
  Running fresh(held, &old);
  Peer second_watch = told_of(fresh, old, only_first(old));
  EXPECT_TRUE(old.wait_for_log("a new process is there"));
  old.stop();
  EXPECT_EQ(old.wait(), 0);  // long before the job's time is over
  const std::string rest = R"(ne","result":")";
  const std::string line =
      R"({"state":"do)" + rest + std::string(0x40 - 1 - 12 - rest.size() - 2, 'r') + "\"}\n";
  executor.write(line.substr(12) + "\r\n0\r\n\r\n");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
  EXPECT_TRUE(old.first.nobody_waits());
  // Both connections serve on.
  client.write(Running::job("lookup", "id2"));
  EXPECT_NE(executor.read_message().find("id2"), std::string::npos);
  executor.finish_job("again");
  EXPECT_NE(client.read_message().find("again"), std::string::npos);
}

// What a job has left runs on while it is on its way to a process that is held up.
TEST(ProgramUpgrade, AJobsTimeRunsOnWhileItIsHandedOver) {
  constexpr std::chrono::milliseconds kHeld{800};
  const Held held;
  Running old(held);
  Peer watch = told_of(old, only_first(old));
  Peer client = client_of(held);
  client.write(Running::job("lookup", "id1", "4000m"));
  Peer executor = old.first.accept();
  executor.read_message();
  executor.begin_lines();
  executor.write_line(R"({"state":"started"})");
  Running fresh(held, &old);
  Peer second_watch = told_of(fresh, old, only_first(old));
  EXPECT_TRUE(old.wait_for_log("a new process is there"));
  fresh.interrupt([&] {
    old.stop();
    EXPECT_TRUE(old.wait_for_log("handing over"));
    EXPECT_TRUE(client.silent_for(kHeld));
  });
  EXPECT_EQ(old.wait(), 0);
  executor.write_line(R"({"state":"returned"})");
  executor.end_lines();
  const std::string again = executor.read_message();
  constexpr std::string_view kField = "X-Time-Left: ";
  const int told = std::atoi(again.c_str() + again.find(kField) + kField.size());
  EXPECT_GT(told, 1000) << again;
  EXPECT_LE(told, 4000 - kHeld.count() + 150) << again;
}

// Before the head of the answer, and within it.
TEST(ProgramUpgrade, AnAnswerMayBeCutAnywhere) {
  const std::string answer =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n{\"state\":\"started\"}\n\r\n"
      "1f\r\n{\"state\":\"done\",\"result\":\"ok\"}\n\r\n0\r\n\r\n";
  for (const std::size_t cut :
       {std::size_t{0}, std::size_t{1}, std::size_t{20}, std::size_t{45}, std::size_t{48}, std::size_t{52},
        std::size_t{72}, std::size_t{75}, std::size_t{90}}) {
    const Held held;
    Running old(held);
    Peer watch = told_of(old, only_first(old));
    Peer client = client_of(held);
    client.write(Running::job("charge", "id1"));
    Peer executor = old.first.accept();
    executor.read_message();
    executor.write(answer.substr(0, cut));
    Running fresh(held, &old);
    Peer second_watch = told_of(fresh, old, only_first(old));
    EXPECT_TRUE(old.wait_for_log("a new process is there"));
    old.stop();
    EXPECT_EQ(old.wait(), 0) << cut;
    executor.write(answer.substr(cut));
    EXPECT_EQ(client.read_message().substr(0, 13), "HTTP/1.1 200 ") << cut;
  }
}

TEST(ProgramUpgrade, AKeptConnectionStaysAndARequestOnItsWayIsServed) {
  const Held held;
  Running old(held);
  Peer watch = told_of(old, only_first(old));
  Peer kept = client_of(held);
  kept.write(Running::job("lookup", "id1"));
  Peer executor = old.first.accept();
  executor.read_message();
  executor.finish_job("one");
  kept.read_message();
  Peer half = client_of(held);
  const std::string job = Running::job("lookup", "id2");
  half.write(job.substr(0, 60));
  Running fresh(held, &old);
  Peer second_watch = told_of(fresh, old, only_first(old));
  EXPECT_TRUE(old.wait_for_log("a new process is there"));
  old.stop();
  EXPECT_TRUE(old.wait_for_log("reason=moved"));
  kept.write(Running::job("lookup", "id3"));
  EXPECT_NE(executor.read_message().find("id3"), std::string::npos);
  half.write(job.substr(60));
  Peer other = old.first.accept();
  EXPECT_NE(other.read_message().find("id2"), std::string::npos);
  other.finish_job("two");
  EXPECT_NE(half.read_message().find("two"), std::string::npos);
  executor.finish_job("three");
  EXPECT_NE(kept.read_message().find("three"), std::string::npos);
  EXPECT_EQ(old.wait(), 0);
}

TEST(ProgramUpgrade, LeavingsInTheFolderDoNoHarm) {
  const Held held;
  const std::string path = held.folder + "/canvasstage.sock";
  std::ofstream(path) << "no socket";
  std::ofstream(path + ".new") << "nor this";
  {
    Running first(held);
    Peer watch = told_of(first, only_first(first));
    first.stop(SIGKILL);  // leaves its socket
    first.wait();
  }
  Running second(held);
  Peer watch = told_of(second, only_first(second));
  Peer client = client_of(held);
  client.write(Running::job("lookup", "id1"));
  Peer executor = second.first.accept();
  executor.read_message();
  executor.finish_job("served");
  EXPECT_NE(client.read_message().find("served"), std::string::npos);
}

// The folder is not there: the node runs all the same, and ends as it always did.
TEST(ProgramUpgrade, WithoutAFolderTheOldProcessServesToTheEnd) {
  Held held;
  const std::string folder = std::exchange(held.folder, "/nowhere");
  Running old(held);
  Peer watch = told_of(old, only_first(old));
  Peer client = client_of(held);
  client.write(Running::job("lookup", "id1"));
  Peer executor = old.first.accept();
  executor.read_message();
  old.stop();
  EXPECT_TRUE(old.wait_for_log("told to stop"));
  Peer late = client_of(held);  // for whoever comes next
  executor.finish_job("one");
  const std::string answer = client.read_to_end();
  EXPECT_NE(answer.find("one"), std::string::npos);
  EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos);
  client.close();
  EXPECT_EQ(old.wait(), 0);
  held.folder = folder;
}

TEST(ProgramUpgrade, ADescriptorThatIsNoListenerEndsTheStart) {
  Held held;
  held.listener = net::new_socket();
  Running run(held);
  EXPECT_EQ(run.wait(), 1);
  EXPECT_NE(run.output().find("NODE_INHERITED_FD"), std::string::npos) << run.output();
}

// Clients that never pause, and three versions one after the other: each id gets one answer, no connection is
// refused or reset, and every launch that an executor saw belongs to one answer.
TEST(ProgramUpgrade, ClientsThatNeverPauseNoticeNothing) {
  const Held held;
  Running first(held);
  std::mutex mutex;
  std::multiset<std::string> launched;
  std::atomic<bool> done{false};
  std::vector<std::thread> servers;
  std::thread acceptor([&] {
    while (!done) {
      try {
        auto peer = std::make_shared<Peer>(first.first.accept());
        servers.emplace_back([&, peer] {
          for (;;) {
            std::string job;
            try {
              job = peer->read_message();
            } catch (const std::runtime_error&) {
              return;
            }
            const std::size_t at = job.find("X-Correlation-Id: ");
            if (at == std::string::npos) return;
            const std::string id = job.substr(at + 18, job.find('\r', at) - at - 18);
            {
              const std::lock_guard lock(mutex);
              launched.insert(id);
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
  Peer watch = told_of(first, only_first(first));
  std::atomic<int> answered{0}, wrong{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 6; ++c)
    clients.emplace_back([&, c] {
      try {
        Peer client = client_of(held);
        for (int i = 0; !done; ++i) {
          const std::string id = "c" + std::to_string(c) + "-" + std::to_string(i);
          client.write(Running::job("charge", id));
          const std::string answer = client.read_message();
          if (answer.find("\r\n\r\n" + id) == std::string::npos) {
            ++wrong;
            ADD_FAILURE() << id << ": " << answer;
            return;
          }
          ++answered;
          if (answer.find("Connection: close") != std::string::npos) client = client_of(held);
        }
      } catch (const std::runtime_error& failure) {
        ADD_FAILURE() << failure.what();
      }
    });
  std::vector<std::unique_ptr<Running>> versions;
  Running* now = &first;
  for (int i = 0; i < 2; ++i) {
    const int before = answered;
    while (answered < before + 20) std::this_thread::yield();
    versions.push_back(std::make_unique<Running>(held, &first));
    Peer next_watch = told_of(*versions.back(), first, only_first(first));
    EXPECT_TRUE(now->wait_for_log("a new process is there"));
    now->stop();
    EXPECT_EQ(now->wait(), 0);
    now = versions.back().get();
    watch = std::move(next_watch);
  }
  const int before = answered;
  while (answered < before + 20) std::this_thread::yield();
  done = true;
  for (std::thread& client : clients) client.join();
  now->stop(SIGKILL);
  now->wait();
  Peer::to(first.first.address);  // wakes the acceptor
  acceptor.join();
  for (std::thread& server : servers) server.join();
  EXPECT_EQ(wrong, 0);
  EXPECT_EQ(launched.size(), static_cast<std::size_t>(answered));
  EXPECT_EQ(std::set<std::string>(launched.begin(), launched.end()).size(), launched.size());
}

}  // namespace
}  // namespace canvasstage
