#include <gtest/gtest.h>

#include "helpers.h"

namespace canvasstage {
namespace {

TEST(Core, ASatisfiedLaunchAnswersOnce) {
  Core core(1);
  core.arrive(5, 0);
  ASSERT_EQ(core.effects.launches.size(), 1u);
  EXPECT_EQ(core.effects.launches[0].address, "host:0");
  core.end(1, Outcome::kSucceeded, kNow + 10, true);
  core.end(1, Outcome::kFailed, kNow + 11);
  core.run_until(kNow + 6 * kSecond);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{5}, Answer::kSucceeded));
}

// Each row of the outcome table: what a single-use submission may do next shows whether it may have run.
TEST(Core, OnlyOutcomesThatProveItNeverRanLetSingleUseGoAgain) {
  for (const Outcome never : {Outcome::kRejected, Outcome::kUnreachable, Outcome::kNotSent}) {
    Core core(2);
    core.arrive(5, 2);
    core.end(1, never, kNow + 10);
    core.run_until(kNow + kSecond);
    EXPECT_EQ(core.effects.launches.size(), 2u) << static_cast<int>(never);
    EXPECT_TRUE(core.effects.answers.empty());
  }
  for (const Outcome maybe : {Outcome::kFailed, Outcome::kConnectionLost, Outcome::kTimedOut}) {
    Core core(2);
    core.arrive(5, 2);
    core.end(1, maybe, kNow + 10);
    core.run_until(kNow + 6 * kSecond);
    EXPECT_EQ(core.effects.launches.size(), 1u) << static_cast<int>(maybe);
    ASSERT_EQ(core.effects.answers.size(), 1u);
    EXPECT_EQ(core.effects.answers[0].second, Answer::kFailed);
  }
}

// The thread that serves a launch may hang: the answer does not wait for it.
TEST(Core, ASilentLaunchIsAnsweredWhenItsTimeIsOver) {
  Settings settings = small_settings();
  settings.reports_start = false;
  Core core(1, 1024, settings);
  core.arrive(5, 2);
  core.run_until(kNow + 5 * kSecond);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0].second, Answer::kFailed);
  EXPECT_EQ(core.effects.given_up, std::vector<Id>{1});
}

// However long the pause after failures had grown.
// Under a pushed list a node on sockets opened no watch at all, and knew what it remembered for good.
TEST(Core, APushedListComesOverAWatchToo) {
  Settings settings = small_settings();
  settings.polls_membership = false;
  Core core(1, 1024, settings);
  core.node.membership_call_failed(kNow);  // what it was told of so far, in the helper
  core.run_until(kNow + kSecond);
  EXPECT_FALSE(core.effects.watches.empty());
}

TEST(Core, DiscoveryThatMovedIsAskedAtOnce) {
  Settings settings = small_settings();
  settings.polls_membership = true;
  settings.max_membership_age = 10 * kSecond;
  Core core(1, 1024, settings);
  for (int i = 0; i < 6; ++i) core.node.membership_call_failed(kNow);
  core.node.discovery_moved(kNow + 1, "discovery:2");
  ASSERT_FALSE(core.effects.watches.empty());
  EXPECT_EQ(core.effects.watches.back(), "discovery:2");
}

// Pushed back while it waits for room, with no launch out: what it held goes back at once.
TEST(Core, OneThatWaitedInVainGivesItsBufferBack) {
  Core core(1);
  core.arrive(5, 0);  // takes the only room
  const auto waiting = std::make_shared<Payload>();
  core.node.client_opened(kNow, 6);
  core.node.request_arrived(kNow, 6, "six", 0, kNow + kSecond, 0, 1, waiting);
  EXPECT_EQ(waiting.use_count(), 2);
  core.run_until(kNow + kSecond);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{6}, Answer::kShed));
  EXPECT_EQ(waiting.use_count(), 1);
}

// The module is to choose by the connections that there are.
TEST(Core, AFreeConnectionThatItsExecutorClosedIsNotCountedOn) {
  Core core(1);
  core.arrive(5, 0);
  core.end(1, Outcome::kSucceeded, kNow + 10, true);
  EXPECT_EQ(core.node.policy().executors[0].connections, 1);
  core.effects.broken = {1};
  core.run_until(kNow + kSecond / 10);
  EXPECT_EQ(core.effects.given_up, std::vector<Id>{1});
  EXPECT_EQ(core.node.policy().executors[0].connections, 0);
  core.arrive(6, 0, kNow + 2000);
  core.end(2, Outcome::kSucceeded, kNow + 2010, false);
  EXPECT_EQ(core.node.policy().executors[0].connections, 0);
  EXPECT_EQ(core.node.descriptors_used(), 2);  // the two clients
}

// Many connections that died together are not as many failures; it may have run all the same.
TEST(Core, AStaleConnectionBlamesNobody) {
  Core core(2);
  core.arrive(5, 0);
  core.end(1, Outcome::kStaleConnection, kNow + 10);
  EXPECT_EQ(core.node.policy().executors[0].failures.value + core.node.policy().executors[1].failures.value,
            0);
  EXPECT_EQ(core.effects.launches.size(), 2u);
  core.arrive(6, 2);
  core.end(3, Outcome::kStaleConnection, kNow + 20);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{6}, Answer::kFailed));
}

// Passed on it would be a second copy, also while a launch whose client has left may still be out.
TEST(Core, AnIdThatIsOpenIsRejectedUntilNoLaunchOfItIsOut) {
  Core core(2);
  const auto hand_in = [&core](Id client) {
    core.node.client_opened(kNow, client);
    core.node.request_arrived(kNow, client, "same", 0, kNow + kSecond, 0, 1, nullptr);
  };
  hand_in(5);
  hand_in(6);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{6}, Answer::kRejected));
  EXPECT_TRUE(core.effects.lasts[0]);
  core.node.client_closed(kNow + 1, 5);
  hand_in(7);
  EXPECT_EQ(core.effects.answers.size(), 2u);
  EXPECT_EQ(core.effects.launches.size(), 1u);
  core.end(1, Outcome::kConnectionLost, kNow + 2);
  hand_in(8);
  EXPECT_EQ(core.effects.answers.size(), 2u);
  EXPECT_EQ(core.effects.launches.size(), 2u);
}

// However long the usual one has been idle.
TEST(Core, WhoeverHandedNothingInMakesRoomFirst) {
  Core core(1, 64);  // 27 clients
  core.arrive(100, 0);
  core.end(1, Outcome::kSucceeded, kNow + 1, true);
  for (Id client = 1; client <= 27; ++client)
    core.node.client_opened(kNow + kSecond + static_cast<Time>(client), client);
  EXPECT_EQ(core.effects.closed, std::vector<Id>{1});
}

// Nobody else is to be had when it is found silent; it does not stay there until its time is over.
TEST(Core, ALaunchThatFellSilentAsItRanIsLookedAtAgain) {
  Settings settings = small_settings();
  settings.progress_interval = 2 * kSecond;
  Core core(2, 1024, settings);
  core.arrive(5, 0);
  core.node.attempt_started(kNow + 1, 1);
  const int other = 1 - core.node.policy().requests[0].attempts[0].executor;
  for (const int i : {0, 1}) core.list(i, Lifecycle::kDraining);
  core.run_until(kNow + kSecond * 33 / 10);
  EXPECT_TRUE(core.effects.given_up.empty());
  core.list(other, Lifecycle::kActive, kNow + kSecond * 33 / 10);
  core.run_until(kNow + kSecond * 34 / 10);
  EXPECT_EQ(core.effects.given_up, std::vector<Id>{1});
}

TEST(Core, WhatComesLateOfAnEndedLaunchFindsNothing) {
  Core core(1);
  core.arrive(5, 0);
  core.end(1, Outcome::kSucceeded, kNow + 10, true);
  core.arrive(6, 0, kNow + 20);  // takes the index of the first
  core.node.attempt_started(kNow + 30, 1);
  core.node.attempt_progressed(kNow + 30, 1, 0.5);
  core.end(1, Outcome::kSucceeded, kNow + 30, true);
  EXPECT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.node.policy().requests[0].attempts[0].started_at, -1);
}

TEST(Core, AClientThatLeavesGetsNoAnswerAndItsLaunchIsGivenUp) {
  Core core(1);
  core.arrive(5, 0);
  core.node.client_closed(kNow + 10, 5);
  EXPECT_EQ(core.effects.given_up, std::vector<Id>{1});
  core.end(1, Outcome::kConnectionLost, kNow + 20);
  core.run_until(kNow + 6 * kSecond);
  EXPECT_TRUE(core.effects.answers.empty());
  EXPECT_EQ(core.effects.launches.size(), 1u);
}

// What was given up ends as a broken connection, which says nothing against the executor.
TEST(Core, ACancelledLaunchIsNotHeldAgainstItsExecutor) {
  Core core(1);
  core.arrive(5, 0);
  core.node.client_closed(kNow + 10, 5);
  core.end(1, Outcome::kConnectionLost, kNow + 20);
  EXPECT_EQ(core.node.policy().executors[0].failures.value, 0);
}

TEST(Core, NothingNewGoesToOneThatDrains) {
  Core core(2);
  core.list(0, Lifecycle::kDraining, kNow + 10);
  core.node.membership_received(kNow + 10, MembershipUpdate::kDelta, 2);
  for (Id client = 1; client <= 3; ++client) core.arrive(client, 0, kNow + 20);
  core.run_until(kNow + kSecond / 10);
  ASSERT_FALSE(core.effects.launches.empty());
  for (const auto& launch : core.effects.launches) EXPECT_EQ(launch.address, "host:1");
}

TEST(Core, TheConnectionUsedLastIsUsedAgain) {
  Core core(1);
  core.arrive(5, 0);
  core.node.attempt_started(kNow + 1, 1);
  core.arrive(6, 0, kNow + 2);
  ASSERT_EQ(core.effects.launches.size(), 2u);
  EXPECT_EQ(core.effects.launches[1].over, 0u);  // the first is busy
  core.end(1, Outcome::kSucceeded, kNow + 10, true);
  core.end(2, Outcome::kSucceeded, kNow + 20, true);
  core.arrive(7, 0, kNow + 30);
  EXPECT_EQ(core.effects.launches[2].over, 2u);
}

TEST(Core, AFreeConnectionIsClosedBeforeItsExecutorWould) {
  Settings settings = small_settings();
  settings.connection_idle_timeout = 20 * kSecond;
  Core core(1, 1024, settings);
  core.arrive(5, 0);
  core.end(1, Outcome::kSucceeded, kNow + 10, true);
  core.run_until(kNow + 14 * kSecond);
  EXPECT_TRUE(core.effects.given_up.empty());
  core.run_until(kNow + 17 * kSecond);
  EXPECT_EQ(core.effects.given_up, std::vector<Id>{1});
}

TEST(Core, AnExecutorThatRestartedIsReachedAnew) {
  Core core(1);
  core.arrive(5, 0);
  core.end(1, Outcome::kSucceeded, kNow + 10, true);
  core.node.executor_listed(kNow + 20, "s-0", "host:0", "a", "m", 0, Lifecycle::kActive, kNow - 60 * kSecond);
  EXPECT_EQ(core.effects.given_up, std::vector<Id>{1});
  core.arrive(6, 0, kNow + 30);
  EXPECT_EQ(core.effects.launches.back().over, 0u);
}

// Of 20 descriptors 12 are for connections: 6 clients at most.
// A machine took the place, and the address, of another that drains: the old one's free connections are not
// the new one's, and nothing goes to the old one.
TEST(Core, ANewExecutorAtAnOldAddressGetsAConnectionOfItsOwn) {
  Core core(1);
  core.arrive(1, 0);
  core.end(core.effects.launches[0].id, Outcome::kSucceeded, kNow + 10, true);
  core.list(0, Lifecycle::kDraining, kNow + 20);
  core.node.executor_listed(kNow + 20, "s-new", "host:0", "a", "m", 0, Lifecycle::kActive, 0);
  core.node.membership_received(kNow + 20, MembershipUpdate::kDelta, 2);
  core.arrive(2, 0, kNow + 30);
  ASSERT_EQ(core.effects.launches.size(), 2u);
  EXPECT_EQ(core.effects.launches[1].over, 0u);
  EXPECT_EQ(core.effects.launches[1].address, "host:0");
  core.list(0, Lifecycle::kRemoved, kNow + 40);
  EXPECT_EQ(core.effects.given_up, std::vector<Id>{core.effects.launches[0].id});
}

TEST(Core, IdleClientsMakeRoomAndOneTooManyIsPushedBackUnseen) {
  Core core(1, 20);
  for (Id client = 1; client <= 6; ++client)
    core.node.client_opened(kNow + static_cast<Time>(client), client);
  core.node.client_opened(kNow + 10, 7);
  EXPECT_EQ(core.effects.closed, std::vector<Id>{1});
  core.node.client_closed(kNow + 11, 1);
  for (Id client = 2; client <= 7; ++client)
    core.node.request_arrived(kNow + 20, client, "n" + std::to_string(client), 0, kNow + kSecond, 0, 1,
                              nullptr);
  core.arrive(8, 0, kNow + 30);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{8}, Answer::kShed));
  EXPECT_TRUE(core.effects.lasts[0]);
}

// Three clients and their launches, and a new process takes most of the limit: what goes again finds none
// left.
TEST(Core, WithoutADescriptorALaunchIsUnsentAfterAPause) {
  Core core(4, 20);
  for (const Id client : {1, 2, 3}) core.arrive(client, 0);
  ASSERT_EQ(core.effects.launches.size(), 3u);
  core.node.set_descriptor_share(kNow + 1, 4);
  core.end(core.effects.launches[0].id, Outcome::kRejected, kNow + 2);
  core.run_until(kNow + kSecond / 40);
  EXPECT_EQ(core.effects.launches.size(), 3u);
  const auto& tried = core.node.policy().requests[0].attempts;
  ASSERT_GE(tried.size(), 2u);
  EXPECT_FALSE(tried[1].pending);
  EXPECT_FALSE(tried[1].may_have_run);
  EXPECT_TRUE(core.effects.answers.empty());
}

TEST(Core, StoppingAnswersAllWithinThePlatformsTime) {
  Core core(1);
  core.arrive(5, 0);
  core.node.attempt_started(kNow + 1, 1);
  core.node.stop(kNow + 10);
  core.run_until(kNow + kSecond * 21 / 10);
  EXPECT_FALSE(core.effects.listening);
  core.node.listener_closed(kNow + kSecond * 21 / 10);
  EXPECT_TRUE(core.effects.running);  // one is open
  core.run_until(kNow + 10 + kSecond * 33 / 10);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_TRUE(core.effects.lasts[0]);
  core.node.client_closed(kNow + kSecond * 34 / 10, 5);
  EXPECT_FALSE(core.effects.running);
}

// Whoever could take over may be restarting too: a client keeps its connection until the time runs short.
TEST(Core, StoppingServesOnOverKeptConnectionsAndThenClosesThem) {
  Core core(1);
  core.node.client_opened(kNow + 1, 5);
  core.node.stop(kNow + 10);
  core.run_until(kNow + kSecond * 3 / 2);
  EXPECT_TRUE(core.effects.closed.empty());
  EXPECT_TRUE(core.effects.listening);
  core.node.request_arrived(kNow + kSecond * 3 / 2, 5, "five", 0, kNow + 6 * kSecond, 0, 1, nullptr);
  core.end(1, Outcome::kSucceeded, kNow + kSecond * 8 / 5, true);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_FALSE(core.effects.lasts[0]);
  core.run_until(kNow + kSecond * 21 / 10);
  EXPECT_FALSE(core.effects.listening);
  core.node.listener_closed(kNow + kSecond * 21 / 10);
  EXPECT_EQ(core.effects.closed, std::vector<Id>{5});
  core.node.client_closed(kNow + kSecond * 22 / 10, 5);
  EXPECT_FALSE(core.effects.running);
}

TEST(Settings, ABadOneNamesItsField) {
  const auto message = [](const char* json) -> std::string {
    rapidjson::Document settings;
    settings.Parse(json);
    Terms terms;
    try {
      decode_settings(settings, terms);
    } catch (const BadInput& input) {
      return input.what();
    }
    return "";
  };
  EXPECT_NE(message("{}").find("useCases"), std::string::npos);
  EXPECT_NE(message(R"({"useCases":[{"name":"a","agreedTime":"x","hardLimit":1,"semantics":"free"}]})")
                .find("agreedTime"),
            std::string::npos);
  EXPECT_NE(message(R"({"useCases":[{"name":"a","agreedTime":1,"hardLimit":1,"semantics":"free"}]})")
                .find("replicasOfMe"),
            std::string::npos);
}

// A look at all that is held for each of them is what an overload cannot pay.
TEST(Core, ManyThatAreHeldCostOneLook) {
  Core core(1);
  for (Id client = 1; client <= 200; ++client) core.arrive(client, 0);
  const auto looks = [&core] {
    return std::count_if(core.effects.timers.begin(), core.effects.timers.end(),
                         [](const auto& timer) { return timer.first == kNow + kSecond / 50; });
  };
  EXPECT_EQ(looks(), 1);
  core.end(1, Outcome::kSucceeded, kNow + 1, true);
  core.run_until(kNow + kSecond / 25);
  EXPECT_GE(core.effects.launches.size(), 2u);  // and they go out all the same
}

// --- New settings while the node runs ---

rapidjson::Document parsed(const std::string& json) {
  rapidjson::Document document;
  document.Parse(json.c_str());
  return document;
}

std::string use_case(const std::string& name, const std::string& semantics = "free",
                     const std::string& agreed = "1") {
  return R"({"name":")" + name + R"(","agreedTime":)" + agreed + R"(,"hardLimit":5,"semantics":")" +
         semantics + R"(","group":"all","window":9})";
}

struct Decoded {
  explicit Decoded(const std::string& cases, const std::string& zones = R"(["a","b"])", int launches = 5) {
    settings = decode_settings(parsed(R"({"useCases":[)" + cases + R"(],"zones":)" + zones +
                                      R"(,"locality":"b","replicasOfMe":2,"caps":{"mostLaunches":)" +
                                      std::to_string(launches) + R"(},"guarantees":{}})"),
                               terms);
  }
  Decoded& after(const Decoded& before) {
    preserve_indices(before.terms, before.settings, terms, settings);
    return *this;
  }
  Terms terms;
  Settings settings;
};

TEST(NewSettings, AnIndexGoesOnMeaningWhatItMeant) {
  const Decoded first(use_case("look") + "," + use_case("run"));
  Decoded second(use_case("fresh") + "," + use_case("run", "guarded"), R"(["b","c"])");
  second.after(first);
  EXPECT_EQ(second.terms.find_use_case("look"), -1);  // vanished
  EXPECT_EQ(second.settings.use_cases[0], first.settings.use_cases[0]);
  EXPECT_EQ(second.settings.use_cases[1].effect, Effect::kIdempotent);  // jobs under way keep it
  const int run = second.terms.find_use_case("run");
  ASSERT_GE(run, 2);
  EXPECT_EQ(second.settings.use_cases[run].effect, Effect::kIdempotentByKey);
  EXPECT_EQ(second.settings.use_cases[run].initial_work_from, 1);
  EXPECT_TRUE(second.terms.requires_key[run]);
  EXPECT_EQ(second.settings.use_cases[second.terms.find_use_case("fresh")].initial_work_from, -1);
  EXPECT_EQ(second.terms.zones, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(second.settings.zone, 1);
  Decoded third(use_case("look") + "," + use_case("run"));
  third.after(second);  // back as they were at first
  EXPECT_EQ(third.terms.find_use_case("look"), 0);
  EXPECT_EQ(third.terms.find_use_case("run"), 1);
  EXPECT_EQ(third.settings.use_cases.size(), 4u);
}

// Each file with a use case of its own would let the numbers grow for ever.
TEST(NewSettings, TheyMayNotGrowWithoutEnd) {
  Decoded held(use_case("a"));
  int files = 0;
  try {
    for (; files < 5000; ++files) {
      Decoded next(use_case("a", "free", std::to_string(files + 2)));
      held = next.after(held);
    }
  } catch (const BadInput& input) {
    EXPECT_NE(std::string(input.what()).find("useCases"), std::string::npos);
  }
  EXPECT_GT(files, 1000);
  EXPECT_LT(files, 5000);
}

TEST(NewSettings, ADeadlineOrAttemptsThatAreNoPositiveNumberAreNamed) {
  const auto message = [](const std::string& agreed, const std::string& hard, const std::string& launches) {
    Terms terms;
    try {
      decode_settings(
          parsed(R"({"useCases":[{"name":"a","agreedTime":)" + agreed + R"(,"hardLimit":)" + hard +
                 R"(,"semantics":"free"}],"replicasOfMe":1,"guarantees":{},"caps":{"mostLaunches":)" +
                 launches + "}}"),
          terms);
    } catch (const BadInput& input) {
      return std::string(input.what());
    }
    return std::string();
  };
  EXPECT_EQ(message("1", "2", "3"), "");
  for (const char* const wrong : {"0", "-1", "\"1\"", "true", "null", "[]", "{}"}) {
    EXPECT_NE(message(wrong, "2", "3").find("agreedTime"), std::string::npos) << wrong;
    EXPECT_NE(message("1", wrong, "3").find("hardLimit"), std::string::npos) << wrong;
    EXPECT_NE(message("1", "2", wrong).find("mostLaunches"), std::string::npos) << wrong;
  }
  EXPECT_NE(message("1", "2", "0.5").find("mostLaunches"), std::string::npos);
  Terms terms;
  EXPECT_THROW(
      decode_settings(parsed(R"({"useCases":[)" + use_case("a") + "," + use_case("a") + "]}"), terms),
      BadInput);
}

TEST(NewSettings, TheyComeIntoForceWhileWorkIsUnderWay) {
  Core core(2);
  core.arrive(1, 0);
  Settings settings = small_settings();
  Terms terms = Core::terms();
  settings.use_cases.push_back(settings.use_cases[2]);
  settings.use_cases.back().initial_work_from = 0;
  terms.use_cases.push_back("fresh");
  terms.requires_key.push_back(false);
  terms.offered = {false, true, true, true};
  core.node.settings_changed(kNow + 1, settings, terms);
  core.end(1, Outcome::kConnectionLost, kNow + 2);  // replayable, as it came: it goes again
  EXPECT_EQ(core.effects.launches.size(), 2u);
  core.end(2, Outcome::kSucceeded, kNow + 3);
  core.arrive(2, 3, kNow + 4);
  core.end(3, Outcome::kConnectionLost, kNow + 5);  // single-use
  ASSERT_EQ(core.effects.answers.size(), 2u);
  EXPECT_EQ(core.effects.answers[0].second, Answer::kSucceeded);
  EXPECT_EQ(core.effects.answers[1].second, Answer::kFailed);
  const Metrics& f = core.figures_at(kNow + kSecond);
  EXPECT_EQ(f.use_cases[0].succeeded, 1u);  // its line stays
  EXPECT_EQ(f.use_cases[3].name, "fresh");
  EXPECT_EQ(f.use_cases[3].failed, 1u);
  EXPECT_EQ(f.reloads_applied, 1u);
}

// It waits for room with two launches behind it when only two are allowed any more.
TEST(NewSettings, OneAboveALowerNumberOfLaunchesIsOverAtOnce) {
  Core core(1);
  core.arrive(1, 0);
  core.end(1, Outcome::kRejected, kNow + 1);
  core.end(2, Outcome::kUnreachable, kNow + 2);  // nobody is there: it waits
  ASSERT_EQ(core.effects.launches.size(), 2u);
  ASSERT_TRUE(core.effects.answers.empty());
  Settings settings = small_settings();
  settings.max_attempts = 2;
  core.node.settings_changed(kNow + 3, settings, Core::terms());
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0].second, Answer::kShed);
}

// --- A listening socket that another process holds too ---

TEST(SharedListener, NothingIsTakenFromItBeforeTheListOrAfterTheStop) {
  Core core(0, 1024, small_settings(), true);
  EXPECT_TRUE(core.effects.listening);  // the list was told
  FakeEffects effects;
  Node node(small_settings(), Core::terms(), Platform{1024, true, 1}, 1, effects, kNow, "discovery:1");
  EXPECT_FALSE(effects.listening);
  node.membership_received(kNow, MembershipUpdate::kCached, 1);
  EXPECT_FALSE(effects.listening);
  for (const auto& [when, token] : std::vector(effects.timers))
    if (when == kNow + 4 * kSecond) node.timer_due(when, token);
  EXPECT_TRUE(effects.listening);  // discovery is down
  core.node.stop(kNow + kSecond);
  EXPECT_FALSE(core.effects.listening);
}

// Clients are sent away by their next answer; only who asks for nothing is closed, late.
TEST(SharedListener, AtTheStopKeptClientsAreServedOnce) {
  Core core(1, 1024, small_settings(), true);
  core.node.client_opened(kNow, 7);
  core.node.client_opened(kNow, 8);
  core.node.stop(kNow + kSecond);
  core.node.listener_closed(kNow + kSecond);
  EXPECT_TRUE(core.effects.closed.empty());
  core.node.request_arrived(kNow + 2 * kSecond, 7, "id7", 0, kNow + 5 * kSecond, 0, 1, nullptr);
  core.end(1, Outcome::kSucceeded, kNow + 2 * kSecond + 10);
  ASSERT_EQ(core.effects.lasts.size(), 1u);
  EXPECT_TRUE(core.effects.lasts[0]);
  core.node.client_closed(kNow + 2 * kSecond + 20, 7);
  EXPECT_TRUE(core.effects.running);
  core.run_until(kNow + kSecond * 7 / 2);
  EXPECT_EQ(core.effects.closed, std::vector<Id>{8});
  core.node.client_closed(kNow + kSecond * 7 / 2, 8);
  EXPECT_FALSE(core.effects.running);
}

}  // namespace
}  // namespace canvasstage
