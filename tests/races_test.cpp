// What comes between two lines: each test makes one bad order happen every time (docs/races.md).
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

std::string line_of(const std::string& id, const std::string& state, const std::string& more = "") {
  return R"({"id":")" + id + R"(","from":"s-1","state":")" + state + "\"" + more + "}";
}

// The whole answer, as the platform words it.
void answer_to(Peer& executor, const std::string& id, const std::string& result) {
  executor.begin_lines();
  executor.write_line(line_of(id, "started"));
  executor.write_line(line_of(id, "done", R"(,"result":")" + result + "\""));
  executor.end_lines();
}

// With other settings from now on.
void reload_with(Running& run, const std::string& from, const std::string& to) {
  const std::string before = run.config(256, "127.0.0.1:0", "7", run.discovery.address);
  const std::string after = replaced(before, from, to);
  EXPECT_NE(before, after);
  run.reload(after);
  EXPECT_TRUE(run.wait_for_log("reload: discovery is "));
}

constexpr const char* kCancels = R"("cancelling":true)";
constexpr const char* kCancelsNot = R"("cancelling":false)";

// --- Answers on kept connections ---

// The first answer comes once more when the next request has been written: it was that one's result.
TEST(ProgramRaces, ALateSecondAnswerIsNobodysResult) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  Peer executor = launched(run, client, "lookup", "id1");
  executor.read_message();
  answer_to(executor, "id1", "old");
  EXPECT_TRUE(holds(client.read_message(), "old"));
  client.write(Running::job("lookup", "id2"));
  EXPECT_TRUE(holds(executor.read_message(), "X-Correlation-Id: id2\r\n"));
  answer_to(executor, "id1", "old");
  EXPECT_EQ(executor.read_to_end(), "");
  Peer next = run.first.accept();
  EXPECT_TRUE(holds(next.read_message(), "X-Correlation-Id: id2\r\n"));
  answer_to(next, "id2", "new");
  EXPECT_TRUE(holds(client.read_message(), "new"));
}

// It may have run: a single-use one is aborted.
TEST(ProgramRaces, AnAnswerOfAnotherRequestEndsASingleUseOne) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  Peer executor = launched(run, client, "charge", "id1");
  executor.read_message();
  answer_to(executor, "id0", "another's");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 502 "));
  EXPECT_EQ(executor.read_to_end(), "");
  EXPECT_TRUE(run.first.nobody_waits());
}

// A second answer behind the first, at once or while the connection stands free: it is out of step.
TEST(ProgramRaces, AConnectionWithBytesThatNobodyAskedForIsClosed) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  for (const bool at_once : {true, false}) {
    Peer executor = launched(run, client, "lookup", at_once ? "id1" : "id2");
    executor.read_message();
    const std::string second = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    executor.begin_lines();
    executor.write_line(line_of(at_once ? "id1" : "id2", "done", R"(,"result":"ok")"));
    executor.write("0\r\n\r\n" + (at_once ? second : ""));
    EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
    if (!at_once) executor.write(second);
    EXPECT_EQ(executor.read_to_end(), "");
  }
}

// What two launches call a bad request is one everywhere: five each, counted against whoever was asked, left
// no sound executor.
TEST(ProgramRaces, WhatIsCalledABadRequestTwiceEndsThatOneAlone) {
  Running run;
  Peer watch = told_only_first(run);
  for (int i = 0; i < 8; ++i) {
    Peer client = run.client();
    client.write(Running::job("lookup", "id" + std::to_string(i)));
    for (int launch = 0; launch < 2; ++launch) {
      Peer executor = run.first.accept();
      executor.read_message();
      executor.write("HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n");
      EXPECT_EQ(executor.read_to_end(), "");
    }
    EXPECT_TRUE(starts(client.read_to_end(), "HTTP/1.1 400 "));
    EXPECT_TRUE(run.first.nobody_waits());
  }
}

// One that calls all of them bad is quick and always free: it must not end what others would serve.
TEST(ProgramRaces, AnExecutorThatRejectsEverythingIsNoAnswer) {
  Running run;
  Peer watch = run.accept_watch(Running::entry("s-1", run.first.address) + "," +
                                Running::entry("s-2", run.second.address));
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  std::atomic<int> rejected{0};
  std::thread wrong([&] {
    for (;;) {
      Peer executor = run.first.accept();
      if (executor.read_until("\r\n\r\n").empty()) return;
      ++rejected;
      executor.write("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n").read_to_end();
    }
  });
  std::thread right([&] {
    Peer executor = run.second.accept();
    for (int i = 0; i < 20; ++i) {
      executor.read_message();
      answer_to(executor, "id" + std::to_string(i), "ok");
    }
  });
  Peer client = run.client();
  for (int i = 0; i < 20; ++i) {
    client.write(Running::job("lookup", "id" + std::to_string(i)));
    EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 ")) << i;
  }
  right.join();
  Peer::to(run.first.address).close();  // ends the other
  wrong.join();
  EXPECT_LT(rejected, 20);
}

// The executor has read the request over a kept connection and closes it unanswered: what goes again?
TEST(ProgramRaces, AKeptConnectionThatClosesUnderTheNextRequest) {
  Running run;
  Peer watch = told_only_first(run);
  for (const std::string use_case : {"lookup", "phase-run", "charge"}) {
    Peer client = run.client();
    Peer executor = launched(run, client, use_case, use_case + "1");
    executor.read_message();
    answer_to(executor, use_case + "1", "one");
    EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
    client.write(Running::job(use_case, use_case + "2"));
    executor.read_message();
    executor.close();
    if (use_case == "charge") {  // it may have run
      EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 502 "));
      EXPECT_TRUE(run.first.nobody_waits());
      continue;
    }
    Peer next = run.first.accept();
    EXPECT_TRUE(holds(next.read_message(), "X-Correlation-Id: " + use_case + "2\r\n"));
    answer_to(next, use_case + "2", "two");
    EXPECT_TRUE(holds(client.read_message(), "two"));
    next.close();
  }
}

// Its job is done and the rest never comes: the next one waits a moment for that connection and takes
// another.
TEST(ProgramRaces, AnAnswerThatNeverEnds) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  Peer executor = launched(run, client, "charge", "id1");
  executor.read_message();
  executor.begin_lines();
  executor.write_line(line_of("id1", "done", R"(,"result":"one")"));
  EXPECT_TRUE(holds(client.read_message(), "one"));
  client.write(Running::job("charge", "id2"));
  Peer next = run.first.accept();
  EXPECT_TRUE(holds(next.read_message(), "X-Correlation-Id: id2\r\n"));
  answer_to(next, "id2", "two");
  EXPECT_TRUE(holds(client.read_message(), "two"));
}

// --- A client that leaves ---

// Held behind another job that has not begun; room comes once it has left.
class ProgramRacesLeaving : public testing::TestWithParam<std::tuple<bool, bool>> {};

TEST_P(ProgramRacesLeaving, WhatIsHeldIsNotSentOn) {
  const auto [bytes_ahead, by_reset] = GetParam();
  Running run;
  Peer watch = told_only_first(run);
  Peer first = run.client();
  Peer executor = launched(run, first, "charge", "id1");
  executor.read_message();
  Peer leaver = run.client();
  leaver.write(Running::job("lookup", "id2") + (bytes_ahead ? Running::job("lookup", "id3") : ""));
  reload_with(run, R"("agreedTime":3)", R"("agreedTime":2)");  // changes nothing for what is held
  by_reset ? leaver.reset() : leaver.close();
  EXPECT_TRUE(run.wait_for_log("reason=left_while_open"));
  answer_to(executor, "id1", "one");
  EXPECT_TRUE(holds(first.read_message(), "one"));
  first.write(Running::job("lookup", "id4"));  // the next that comes there is this one
  EXPECT_TRUE(holds(executor.read_message(), "X-Correlation-Id: id4\r\n"));
  EXPECT_TRUE(run.first.nobody_waits());
}

INSTANTIATE_TEST_SUITE_P(ProgramRaces, ProgramRacesLeaving,
                         testing::Combine(testing::Bool(), testing::Bool()), [](const auto& one) {
                           return std::string(std::get<0>(one.param) ? "BytesAhead" : "NoBytesAhead") +
                                  (std::get<1>(one.param) ? "Reset" : "Closed");
                         });

// Also where nothing may be cancelled: no byte of it has gone, and none is to go.
TEST(ProgramRaces, AClientThatLeavesWhileAConnectionComesUp) {
  Running run;
  Peer watch = told_only_first(run);
  for (const char* const cancels : {kCancels, kCancelsNot}) {
    const std::string before = run.config(256, "127.0.0.1:0", "7", run.discovery.address);
    run.reload(replaced(
        replaced(replaced(before, kCancels, cancels), R"("connectTimeout":0.25)", R"("connectTimeout":5)"),
        R"("drainGrace":1.5)", R"("drainGrace":10)"));
    EXPECT_TRUE(run.wait_for_log("reload: discovery is "));
    Listener slow;
    std::vector<Peer> waiting = slow.fill();
    Running::tell(watch,
                  Running::entry("s-1", run.first.address, "left") + "," +
                      Running::entry(std::string("s-") + cancels[13], slow.address),
                  false);
    EXPECT_TRUE(run.wait_for_log("roster taken"));
    Peer leaver = run.client();
    leaver.write(Running::job("lookup", std::string("id") + cancels[13], "3000m"));
    slow.wait_for_one_that_connects();
    // Two threads log these: either line may come first.
    const int left = run.times("reason=left_while_open"), ended = run.times("side=executor");
    leaver.close();
    EXPECT_TRUE(run.wait_for_more("reason=left_while_open", left));
    slow.accept();  // the one that was in the way: from now on whoever still connects comes in
    EXPECT_TRUE(run.wait_for_more("side=executor", ended));
    EXPECT_TRUE(slow.nobody_waits());
  }
}

// Between two attempts: the first ends after its client has left.
TEST(ProgramRaces, AClientThatLeavesBetweenTwoAttempts) {
  Running run;
  reload_with(run, kCancels, kCancelsNot);
  Peer watch = told_only_first(run);
  Peer leaver = run.client();
  Peer executor = launched(run, leaver, "lookup", "id1");
  executor.read_message();
  leaver.close();
  EXPECT_TRUE(run.wait_for_log("reason=left_while_open"));
  executor.close();
  EXPECT_TRUE(run.wait_for_log("side=executor"));
  Peer other = run.client();
  EXPECT_TRUE(holds(launched(run, other, "lookup", "id2").read_message(), "X-Correlation-Id: id2\r\n"));
}

// Our own end of reading looks like the client's: it crossed with the request, and the client left later.
TEST(ProgramRaces, AClientThatLeavesAfterItsConnectionWasToClose) {
  Parts parts(1);
  Listener clients;
  Peer leaver = Peer::to(clients.address);
  leaver.write(Running::job("lookup", "id1"));
  const auto client =
      std::make_shared<net::ClientConnection>(1, clients.accept().release(), "peer", parts.world);
  client->close_when_idle(false);
  parts.core.node.client_opened(kNow, 1);
  std::atomic<bool> ended{false};
  std::thread thread([&] {
    client->run();
    ended = true;
  });
  parts.run_until([&] { return parts.core.effects.launches.size() == 1; });
  EXPECT_FALSE(ended);
  leaver.close();
  thread.join();  // it waits for an answer that never comes
  EXPECT_TRUE(parts.core.effects.answers.empty());
}

// --- How a client's connection ends ---

// A client's connection with its two ends; its thread runs when the test says so.
struct OneClient {
  explicit OneClient(Time opened = net::now()) {
    connection = std::make_shared<net::ClientConnection>(1, listener.accept().release(), "peer", parts.world);
    connection->go_on(true, opened, true, false, "");
    parts.core.node.client_opened(kNow, 1);
  }
  ~OneClient() {
    peer.close();
    if (thread.joinable()) thread.join();
  }
  void run() {
    thread = std::thread([this] { connection->run(); });
  }
  // So many submissions, each satisfied as soon as it is launched, and its client told so.
  void satisfy(std::size_t submissions, bool closes, bool at_once) {
    std::size_t satisfied = 0;
    parts.run_until([&] {
      if (parts.core.effects.launches.size() == satisfied) return satisfied == submissions;
      ++satisfied;
      parts.core.end(parts.core.effects.launches.back().id, Outcome::kSucceeded, kNow);
      connection->answer(200, "", nullptr, closes, at_once, writers);
      return satisfied == submissions;
    });
  }
  Parts parts{2};
  Listener listener;
  Peer peer = Peer::to(listener.address);
  net::Writers writers;
  std::shared_ptr<net::ClientConnection> connection;
  std::thread thread;
};

constexpr const char* kBegun =
    "POST /lookup HTTP/1.1\r\nExpect: 100-continue\r\nX-Correlation-Id: id1\r\n"
    "X-Time-Left: 4000m\r\nContent-Length: 2\r\n\r\n";

// It comes behind our end: its client sees that and hands it in elsewhere. It was sent on and answered to
// nobody.
TEST(ProgramRaces, WhatComesBehindOurEndIsNotHandedIn) {
  for (const bool finishes : {true, false}) {
    OneClient one;
    one.connection->close_when_idle(finishes);
    one.peer.write(Running::job("lookup", "id1"));
    one.run();
    EXPECT_EQ(one.peer.read_to_end(), "");
    one.peer.close();
    one.thread.join();
    bool looked = false;
    one.parts.run_until([&] { return std::exchange(looked, true); });
    EXPECT_TRUE(one.parts.core.effects.launches.empty());
  }
}

// It came before that: answered, and told to be the last.
TEST(ProgramRaces, WhatHasComeBeforeOurEndIsServed) {
  for (const bool finishes : {true, false}) {
    OneClient one;
    one.peer.write(Running::job("lookup", "id1"));
    one.connection->close_when_idle(finishes);
    one.run();
    one.satisfy(1, false, false);
    const std::string answer = one.peer.read_message();
    EXPECT_TRUE(starts(answer, "HTTP/1.1 200 ") && holds(answer, "Connection: close\r\n")) << answer;
    EXPECT_FALSE(one.peer.ends_by_reset());
  }
}

// Several at once: all that has come is answered, and only the last one says that it is.
TEST(ProgramRaces, WhatCameAheadIsServedBeforeTheConnectionCloses) {
  OneClient one;
  one.peer.write(Running::job("lookup", "id1") + Running::job("lookup", "id2"));
  one.run();
  one.satisfy(2, true, false);
  EXPECT_FALSE(holds(one.peer.read_message(), "Connection: close\r\n"));
  EXPECT_TRUE(holds(one.peer.read_message(), "Connection: close\r\n"));
  EXPECT_EQ(one.peer.read_to_end(), "");
}

// Requests that come together are served in turn: what the earlier ones take is gone from the time of the
// later.
TEST(ProgramRaces, ARequestThatCameAheadKeepsItsDeadline) {
  constexpr std::chrono::milliseconds kHeld{700};
  for (const bool in_one_piece : {true, false}) {
    Running run;
    const Peer watch = told_only_first(run);
    Peer client = run.client();
    client.write(Running::job("lookup", "id1", "4000m") +
                 (in_one_piece ? Running::job("lookup", "id2", "1500m") : ""));
    Peer executor = run.first.accept();
    executor.read_message();
    if (!in_one_piece) client.write(Running::job("lookup", "id2", "1500m"));
    EXPECT_TRUE(executor.silent_for(kHeld));
    executor.finish_job("one");
    const std::string second = executor.read_message();
    constexpr std::string_view kField = "X-Time-Left: ";
    const int told = std::atoi(second.c_str() + second.find(kField) + kField.size());
    EXPECT_LE(told, 1500 - kHeld.count() + 150) << second;
    EXPECT_GT(told, 300) << second;
  }
}

// The last answer, with 64 KB behind it that nobody is to read: a close over them would be a reset, which may
// take the answer along.
TEST(ProgramRaces, TheLastAnswerIsNotFollowedByAReset) {
  for (const bool told_before : {false, true}) {
    OneClient one;
    one.peer.write(Running::job("lookup", "id1"));
    if (told_before) one.connection->close_when_idle(true);
    one.run();
    one.peer.write(std::string(64 * 1024, 'x'));
    one.satisfy(1, true, true);
    EXPECT_TRUE(holds(one.peer.read_message(), "Connection: close\r\n"));
    one.peer.end_sending();
    EXPECT_FALSE(one.peer.ends_by_reset());
  }
}

// Its thread begins after the limit for a first byte, and all of it is there: it was closed unread.
TEST(ProgramRaces, AThreadThatBeginsLateReadsWhatHasCome) {
  OneClient one(net::now() - 2 * kSecond);
  one.peer.write(Running::job("lookup", "id1"));
  one.run();
  one.satisfy(1, false, false);
  EXPECT_TRUE(starts(one.peer.read_message(), "HTTP/1.1 200 "));
}

TEST(ProgramRaces, HalfARequestGetsAnAnswerThatFits) {
  OneClient late(net::now() - 3 * kSecond), left, cut, ended;
  late.peer.write(kBegun);
  late.run();
  EXPECT_TRUE(holds(late.peer.read_to_end(), "HTTP/1.1 408 "));
  left.peer.write(kBegun).end_sending();
  left.run();
  EXPECT_TRUE(holds(left.peer.read_to_end(), "HTTP/1.1 400 "));
  for (OneClient* const one : {&cut, &ended}) {
    one->peer.write(kBegun);
    one->run();
    one->peer.read_until("\r\n\r\n");  // it is being read
    one == &cut ? one->connection->close_when_idle(false) : one->connection->end_now(false);
    EXPECT_TRUE(starts(one->peer.read_to_end(), "HTTP/1.1 503 "));
    EXPECT_TRUE(one->parts.core.effects.launches.empty());
  }
}

// A client that does not end its side when we have is not waited for without an end.
TEST(ProgramRaces, AClientThatKeepsItsSideOpenIsEnded) {
  OneClient one;
  one.run();
  one.connection->close_when_idle(true);
  EXPECT_EQ(one.peer.read_to_end(), "");
  one.connection->end_now(true);
  one.thread.join();
}

TEST(Races, ThoseThatHaveNotClosedAreToldAgain) {
  Core core(1);
  for (const Id client : {5, 6}) core.node.client_opened(kNow - kSecond, client);
  core.node.stop(kNow);
  core.node.listener_closed(kNow);
  core.run_until(kNow + kSecond * 21 / 10);
  EXPECT_EQ(core.effects.closed, (std::vector<Id>{5, 6}));
  EXPECT_TRUE(core.effects.ended.empty());
  core.node.client_closed(kNow + kSecond * 21 / 10, 5);
  core.run_until(kNow + kSecond * 25 / 10);
  EXPECT_EQ(core.effects.ended, std::vector<Id>{6});
}

// --- The executor's side of a launch ---

// The client leaves in the very moment before its attempt, at the look before the connection or at the one
// before the first byte: nothing goes out, and nobody is blamed.
TEST(ProgramRaces, AClientThatLeavesInTheLastMoment) {
  for (const int after : {0, 1}) {
    Parts parts(1);
    parts.core.arrive(1, 0, net::now());
    Listener executor;
    const std::shared_ptr<net::ClientRequest> submission = parts.submission(Running::job("lookup", "id1"));
    int looks = 0;
    submission->client_left = [&] { return looks++ >= after; };
    net::ExecutorConnection link(parts.world, std::chrono::seconds(1));
    link.launch(parts.core.effects.launches[0].id, executor.address, submission, net::now() + 4 * kSecond);
    link.run();
    if (after > 0) {
      EXPECT_EQ(executor.accept().read_to_end(), "");
    }
    EXPECT_TRUE(executor.nobody_waits());
    parts.run_until([&] { return parts.core.effects.launches.size() == 2; });
    EXPECT_FALSE(parts.core.node.policy().is_avoided(net::now(), parts.core.node.policy().executors[0]));
  }
}

// Behind 64 KB that it sent ahead, or behind nothing: the check sees it though no read has.
TEST(ProgramRaces, ALeaverIsSeenBehindUnreadBytes) {
  for (const std::size_t ahead : {0, 64 * 1024}) {
    OneClient one;
    one.peer.write(Running::job("lookup", "id1") + std::string(ahead, 'x'));
    const std::function<bool()> left = one.connection->left_check();
    EXPECT_FALSE(left());
    one.peer.end_sending();
    EXPECT_TRUE(left());
    one.connection.reset();
    EXPECT_TRUE(left());
  }
}

// Referenced, its window 10 s: where the connection comes up late the further launch is not written beyond
// it.
TEST(Races, AFurtherLaunchIsWrittenWithinTheWindowOrNotAtAll) {
  Core core(2);
  core.arrive(1, 1);
  EXPECT_EQ(core.effects.launches[0].write_by, kNever);
  core.end(1, Outcome::kConnectionLost, kNow + kSecond / 20);
  ASSERT_EQ(core.effects.launches.size(), 2u);
  EXPECT_EQ(core.effects.launches[1].write_by, kNow + 10 * kSecond - small_settings().quantum);
}

// Decided before a drain was told, written long after: its connection came up late.
TEST(ProgramRaces, ALaunchThatComesTooLateForTheGraceIsNotWritten) {
  Parts parts(1);
  parts.core.arrive(1, 0, net::now());
  Listener executor;
  net::ExecutorConnection link(parts.world, std::chrono::seconds(1));
  link.launch(parts.core.effects.launches[0].id, executor.address,
              parts.submission(Running::job("lookup", "id1")), net::now() + 4 * kSecond, net::now() - 1);
  std::thread thread([&link] { link.run(); });
  EXPECT_EQ(executor.accept().read_to_end(), "");
  // It never ran, and nobody is to blame: it goes out again.
  parts.run_until([&] { return parts.core.effects.launches.size() == 2; });
  thread.join();
}

// Given up while it connects: that says nothing of the executor.
TEST(ProgramRaces, OneThatIsGivenUpAsItConnectsBlamesNobody) {
  for (const bool withdrawn : {false, true}) {
    Parts parts(1);
    parts.core.arrive(1, 0, net::now());
    Listener executor;
    const std::vector<Peer> waiting = executor.fill();
    net::ExecutorConnection link(parts.world, std::chrono::seconds(5));
    std::thread thread([&link] { link.run(); });
    link.launch(parts.core.effects.launches[0].id, executor.address,
                parts.submission(Running::job("lookup", "id1")), net::now() + 4 * kSecond);
    executor.wait_for_one_that_connects();
    withdrawn ? link.withdraw() : link.give_up();
    thread.join();
    parts.run_until([&] { return parts.core.effects.launches.size() == 2; });
    EXPECT_FALSE(parts.core.node.policy().is_avoided(net::now(), parts.core.node.policy().executors[0]));
  }
}

// --- The list ---

// It tells bytes, and no whole line: the next call is to come as if it said nothing.
TEST(ProgramRaces, AWatchThatTricklesIsSilent) {
  Running run;
  Peer watch = told_only_first(run);
  const auto told = std::chrono::steady_clock::now();
  watch.write("1000\r\n");
  while (run.discovery.nobody_within(std::chrono::milliseconds(200))) {
    ASSERT_LT(std::chrono::steady_clock::now() - told, std::chrono::seconds(6));
    watch.write(" ");
  }
}

// What it missed counts as told 6 s after its last line, and the call that follows says nothing either.
TEST(ProgramRaces, TheCallAfterASilentWatchMayBeSilentToo) {
  Running run;
  reload_with(run, R"("askWithin":2)", R"("askWithin":10)");
  Peer watch = told_only_first(run);
  const auto told = std::chrono::steady_clock::now();
  Peer silent = run.discovery.accept();
  silent.read_until("\r\n\r\n");
  Peer next = run.accept_watch(
      Running::entry("s-1", run.first.address, "left") + "," + Running::entry("s-2", run.second.address),
      false);
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  EXPECT_LT(std::chrono::steady_clock::now() - told, std::chrono::seconds(6));
}

// A call that is about to be served is not given up for one at the end of the queue.
TEST(Races, OneCallToDiscoveryAtATime) {
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

// What the agent has counts as told at once: a watch that was reset is there again within a part of the
// grace.
TEST(Races, APushedListIsWatchedAgainAtOnce) {
  Core core(1);
  const std::size_t before = core.effects.watches.size();
  for (int i = 1; i <= 3; ++i) {
    const Time now = kNow + i * kSecond;
    core.run_until(now);
    core.node.membership_call_failed(now);
    core.run_until(now + kSecond * 3 / 20);
    EXPECT_EQ(core.effects.watches.size(), before + static_cast<std::size_t>(i));
  }
}

// A call fails, and the two after it as well, each at once or by saying nothing: the next one is made in time
// to be answered 6 s after the first failure, from which on a change counts as told.
TEST(Races, TheFourthCallIsInTimeHoweverTheOthersFail) {
  constexpr Time kAnswer = kSecond * 3 / 10;
  for (const int replicas : {1, 300})
    for (int ways = 0; ways < 8; ++ways)
      for (int play = 0; play < 20; ++play) {
        Settings settings = small_settings();
        settings.polls_membership = true;
        settings.max_membership_age = 10 * kSecond;
        settings.node_count = replicas;
        Core core(1, 1024, settings);
        const Time failed = kNow + play * kSecond;  // other draws
        for (int i = 0; i < play; ++i) core.node.membership_call_failed(kNow + i * kSecond);
        core.run_until(failed);
        core.node.membership_received(failed, MembershipUpdate::kDelta, 1);
        // The silent watch said its last word 2.6 s before it was found silent.
        const bool silent_watch = (ways & 1) != 0;
        Time now = failed + (silent_watch ? kSecond * 26 / 10 : 0);
        silent_watch ? core.node.watch_timed_out(now) : core.node.membership_call_failed(now);
        for (int call = 1; call <= 3; ++call) {
          const std::size_t before = core.effects.watches.size();
          while (core.effects.watches.size() == before && now < failed + 10 * kSecond)
            core.run_until(now += kSecond / 100);
          if (call == 3) break;
          const bool silent = (ways & (1 << call)) != 0;
          if (silent) now += core.effects.watched_for.back();
          silent ? core.node.watch_timed_out(now) : core.node.membership_call_failed(now);
        }
        EXPECT_LE(now + kAnswer, failed + 6 * kSecond) << replicas << " ways " << ways;
      }
}

// Only the calls right after a silence are short: a service that is down is not asked once a second for good.
TEST(Races, TheCallsAfterASilenceAreShortForAWhile) {
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
  ASSERT_EQ(core.effects.watched_for.size(), 5u);
  EXPECT_LT(core.effects.watched_for[0], 2 * kSecond);
  EXPECT_LT(core.effects.watched_for[1], 2 * kSecond);
  EXPECT_GT(core.effects.watched_for[4], 5 * kSecond);
}

// A line has been read and waits in the queue as another watch is asked for, or as the node is moved: it was
// told when it was written. An older one behind a newer one undoes nothing.
TEST(ProgramRaces, ALineThatWasReadAsItsWatchWasReplaced) {
  Parts parts(2);
  const auto told = [&](int generation, const char* lifecycle, bool replaced_meanwhile) {
    Listener discovery;
    const auto watch =
        std::make_shared<net::Watch>(parts.world, discovery.address, 1, std::chrono::milliseconds(5000));
    std::thread thread([&] { watch->run(); });
    Peer peer = discovery.accept();
    peer.read_until("\r\n\r\n");
    peer.begin_lines();
    peer.write_line(R"({"generation":)" + std::to_string(generation) + R"(,"reset":false,"instances":[)" +
                    Running::entry("s-0", "host:0", lifecycle) + "]}");
    peer.end_lines();
    thread.join();  // what it read waits in the reducer's queue
    if (replaced_meanwhile) watch->give_up();
  };
  told(5, "leaving", true);
  told(4, "active", true);
  told(3, "active", false);
  parts.run_until([&] { return parts.core.node.membership_version() == 5; });
  EXPECT_EQ(parts.core.node.policy().executors[0].lifecycle, Lifecycle::kDraining);
}

TEST(ProgramRaces, AnOlderOrContradictoryListChangesNothingAndIsNamed) {
  Running run;
  Peer watch = run.accept_watch(Running::entry("s-1", run.first.address) + "," +
                                Running::entry("s-2", run.second.address, "leaving"));
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  watch.write_line(R"({"generation":1,"reset":false,"instances":[)" +
                   Running::entry("s-2", run.second.address) + "]}");
  EXPECT_TRUE(run.wait_for_log("generation: 1 is older than 2"));
  watch.write_line(R"({"generation":3,"reset":false,"instances":[)" +
                   Running::entry("s-2", run.second.address) + "," +
                   Running::entry("s-2", run.second.address, "leaving") + "]}");
  EXPECT_TRUE(run.wait_for_log("instanceId: twice s-2"));
  for (int i = 0; i < 6; ++i) {
    Peer client = run.client();
    Peer executor = launched(run, client, "lookup", "id" + std::to_string(i));
    executor.read_message();
    answer_to(executor, "id" + std::to_string(i), "ok");
    EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
    executor.close();
  }
  EXPECT_TRUE(run.second.nobody_waits());
}

// --- Stop and reload ---

// The reducer stands still: the listener leaves those that come to the system once three quarters are taken.
TEST(ProgramRaces, TheListenerTakesNoMoreThanTheReducerKeepsUpWith) {
  Parts parts(1);
  net::Socket listener = net::listen_on("127.0.0.1:0");
  const std::string address = listener.address();
  net::Server server(parts.world, std::move(listener), nullptr, 16);
  server.start();
  server.open_listener();
  std::vector<Peer> clients;
  for (int i = 0; i < 13; ++i) clients.push_back(Peer::to(address).write("no request\r\n\r\n"));
  for (int i = 0; i < 12; ++i) EXPECT_TRUE(starts(clients[i].read_to_end(), "HTTP/1.1 400 ")) << i;
  EXPECT_TRUE(clients[12].silent_for(std::chrono::milliseconds(100)));
  parts.run_until([&] { return !clients[12].silent_for(std::chrono::milliseconds(1)); });
  EXPECT_TRUE(starts(clients[12].read_to_end(), "HTTP/1.1 400 "));
  server.end_threads();
  EXPECT_TRUE(net::threads_end_within(std::chrono::seconds(2)));
}

// A crowd that says nothing is accepted faster than the reducer can close it, as discovery is down: the call
// that finds it back, the console and an executor get a descriptor all the same.
TEST(ProgramRaces, ACrowdLeavesDescriptorsForTheOthers) {
  Running run(64);
  Peer watch = told_only_first(run);
  Peer client = run.client();
  client.write(Running::job("lookup", "id1"));
  run.first.accept().finish_job("ok");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
  std::vector<Peer> crowd;
  run.interrupt([&] {
    for (int i = 0; i < 300; ++i) crowd.push_back(run.client());
    watch.close();
  });
  Peer again = run.accept_watch(Running::entry("s-1", run.first.address), false);
  Peer console = Peer::to(run.console);
  console.write("GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(starts(console.read_message(), "HTTP/1.1 200 "));
  Peer last = run.client();
  Peer executor = launched(run, last, "lookup", "id2");
  executor.finish_job("ok");
  EXPECT_TRUE(starts(last.read_message(), "HTTP/1.1 200 "));
  run.stop();
  EXPECT_FALSE(run.wait_for_log("Too many open files"));  // to the end of its log
}

// Half written when the node closes what is idle: the rest may still come. Our own end of reading comes
// first.
TEST(ProgramRaces, ASubmissionHalfWrittenAtTheStopIsTaken) {
  Parts parts(1);
  Listener clients;
  Peer client = Peer::to(clients.address);
  const std::string job = Running::job("lookup", "id1");
  const auto connection =
      std::make_shared<net::ClientConnection>(1, clients.accept().release(), "peer", parts.world);
  client.write(
      "POST /lookup HTTP/1.1\r\nExpect: 100-continue\r\nX-Correlation-Id: id1\r\n"
      "X-Time-Left: 4000m\r\nContent-Length: 2\r\n\r\n");
  parts.core.node.client_opened(kNow, 1);
  std::thread thread([&] { connection->run(); });
  client.read_until("\r\n\r\n");  // it is being read
  connection->close_when_idle(true);
  client.write("ab");
  parts.run_until([&] { return parts.core.effects.launches.size() == 1; });
  client.close();
  thread.join();
}

// Answered in the very moment in which the others were told to close: it stayed open to the end.
TEST(Races, OneThatBecameIdleAsTheOthersWereClosedIsClosedToo) {
  Core core(1);
  core.arrive(5, 0);
  core.node.stop(kNow);
  Time when = 0;  // the stop's own timer: the one that closes the listener
  core.effects.listening = true;
  for (Time now = kNow; core.effects.listening; now += 1) core.run_until(when = now);
  Core again(1);
  again.arrive(5, 0);
  again.node.stop(kNow);
  again.end(1, Outcome::kSucceeded, when, true);
  again.run_until(when);
  again.node.listener_closed(when);
  EXPECT_TRUE(again.effects.closed.empty());
  again.run_until(when + kSecond / 5);
  EXPECT_EQ(again.effects.closed, std::vector<Id>{5});
}

// Clients come without a pause, so the listener never closes; none is kept open up to the very end.
TEST(Races, WhatIsIdleAtTheLastHardLimitIsClosed) {
  Core core(1);
  core.node.stop(kNow);
  core.run_until(kNow + kSecond * 31 / 10);
  core.node.client_opened(kNow + kSecond * 31 / 10, 5);
  EXPECT_TRUE(core.effects.closed.empty());
  core.run_until(kNow + kSecond * 34 / 10);
  EXPECT_EQ(core.effects.closed, std::vector<Id>{5});
  EXPECT_TRUE(core.effects.running);
}

// SIGTERM with one that runs, one that is held and one that is answered in part; then SIGTERM and SIGHUP
// again.
TEST(ProgramRaces, FurtherSignalsDuringTheStopLoseNothing) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client(), held = run.client();
  Peer executor = launched(run, client, "charge", "id1");
  executor.read_message();
  held.write(Running::job("charge", "id2"));
  run.stop();
  EXPECT_TRUE(run.wait_for_log("told to stop"));
  run.stop();
  EXPECT_TRUE(run.wait_for_log("told to stop"));
  reload_with(run, R"("name":"charge","agreedTime":1)", R"("name":"charge","agreedTime":2)");
  executor.begin_lines();
  executor.write_line(line_of("id1", "started"));
  Peer second = run.first.accept();  // room for the one that is held
  EXPECT_TRUE(holds(second.read_message(), "X-Correlation-Id: id2\r\n"));
  executor.write_line(line_of("id1", "done", R"(,"result":"one")"));
  executor.end_lines();
  answer_to(second, "id2", "two");
  EXPECT_TRUE(holds(client.read_message(), "one"));
  EXPECT_TRUE(holds(held.read_message(), "two"));
  EXPECT_EQ(client.read_to_end(), "");  // closed by the node, though the client keeps it
  EXPECT_EQ(held.read_to_end(), "");
  EXPECT_EQ(run.wait(), 0);
}

// Two requests, one of them half, both signals and another file, before the node has seen any of it.
TEST(ProgramRaces, RequestsAndSignalsThatComeTogether) {
  Running run;
  Peer watch = told_only_first(run);
  Peer whole = run.client(), half = run.client();
  const std::string job = Running::job("charge", "id2");
  run.interrupt([&] {
    whole.write(Running::job("charge", "id1"));
    half.write(job.substr(0, job.size() / 2));
    run.reload(replaced(run.config(256, "127.0.0.1:0", "7", run.discovery.address),
                        R"("name":"charge","agreedTime":1)", R"("name":"charge","agreedTime":2)"));
    run.stop();
  });
  EXPECT_TRUE(run.wait_for_log("told to stop"));
  Peer executor = run.first.accept();
  executor.read_message();
  answer_to(executor, "id1", "one");
  EXPECT_TRUE(holds(whole.read_message(), "one"));
  half.write(job.substr(job.size() / 2));
  EXPECT_TRUE(holds(executor.read_message(), "X-Correlation-Id: id2\r\n"));
  answer_to(executor, "id2", "two");
  EXPECT_TRUE(holds(half.read_message(), "two"));
  EXPECT_EQ(whole.read_to_end(), "");
  EXPECT_EQ(half.read_to_end(), "");
  EXPECT_EQ(run.wait(), 0);
}

// A client that sends the next request the moment it has an answer: each gets one, and the last says so.
TEST(ProgramRaces, AClientThatSendsOnItsKeptConnectionUntilTheEnd) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client();
  Peer executor = launched(run, client, "lookup", "id0");
  executor.read_message();
  answer_to(executor, "id0", "ok");
  std::string answer = client.read_message();
  run.stop();
  EXPECT_TRUE(run.wait_for_log("told to stop"));
  for (int i = 1; !holds(answer, "Connection: close\r\n"); ++i) {
    const std::string id = "id" + std::to_string(i);
    client.write(Running::job("lookup", id));
    ASSERT_TRUE(holds(executor.read_message(), "X-Correlation-Id: " + id + "\r\n"));
    answer_to(executor, id, "ok");
    answer = client.read_message();
    ASSERT_TRUE(starts(answer, "HTTP/1.1 200 ")) << i;
  }
  EXPECT_EQ(client.read_to_end(), "");
  EXPECT_EQ(run.wait(), 0);
}

// Down over the reload that names it, and back: served meanwhile by the list that is held.
TEST(ProgramRaces, ADiscoveryThatIsDownOverAReload) {
  Running run;
  Peer watch = told_only_first(run);
  Listener later;
  later.close();
  run.reload(run.config(256, "127.0.0.1:0", "7", later.address));
  EXPECT_EQ(watch.read_to_end(), "");
  EXPECT_TRUE(run.wait_for_log("side=discovery id=2 peer=" + later.address + " reason=unreachable"));
  Peer client = run.client();
  Peer executor = launched(run, client, "lookup", "id1");
  executor.read_message();
  answer_to(executor, "id1", "ok");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
  Listener back(later.address);
  EXPECT_TRUE(holds(back.accept().read_until("\r\n\r\n"), "index=2 "));
}

// Its use case needs a reference from the reload on, and a client wrote half of it before.
TEST(ProgramRaces, AReloadUnderAHalfWrittenSubmission) {
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
  answer_to(executor, "id1", "ok");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
  client.write("POST /lookup HTTP/1.1\r\nX-Correlation-Id: id2\r\nX-Time-Left: 4000m\r\n\r\n");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 400 "));
}

// A launch that may have run under the old effect; the use case of that name is single-use from the reload
// on.
TEST(ProgramRaces, AReloadThatChangesTheEffectOfWhatIsUnderWay) {
  Running run;
  Peer watch = told_only_first(run);
  Peer client = run.client(), other = run.client();
  Peer executor = launched(run, client, "lookup", "id1");
  executor.read_message();
  executor.begin_lines();
  executor.write_line(line_of("id1", "started"));
  Peer second = launched(run, other, "charge", "id2");
  second.read_message();
  const std::string before = run.config(256, "127.0.0.1:0", "7", run.discovery.address);
  run.reload(replaced(replaced(before, R"("name":"lookup")", R"("name":"charge")"),
                      R"({"name":"charge","agreedTime":1)", R"({"name":"lookup","agreedTime":1)"));
  EXPECT_TRUE(run.wait_for_log("reload: discovery is "));
  second.close();  // single-use when it was handed in: it is not sent again
  EXPECT_TRUE(starts(other.read_message(), "HTTP/1.1 502 "));
  executor.close();  // replayable when it was handed in
  Peer again = run.first.accept();
  EXPECT_TRUE(holds(again.read_message(), "X-Correlation-Id: id1\r\n"));
  answer_to(again, "id1", "ok");
  EXPECT_TRUE(starts(client.read_message(), "HTTP/1.1 200 "));
  other.write(Running::job("lookup", "id3"));  // single-use now
  again.read_message();
  again.close();
  EXPECT_TRUE(starts(other.read_message(), "HTTP/1.1 502 "));
}

}  // namespace
}  // namespace canvasstage
