#include <gtest/gtest.h>

#include "helpers.h"

namespace canvasstage {
namespace {

TEST(Core, ASatisfiedLaunchAnswersOnce) {
  Core core(1);
  core.arrive(5, 0);
  ASSERT_EQ(core.effects.launches.size(), 1u);
  EXPECT_EQ(core.effects.launches[0].address, "host:0");
  core.end(1, Outcome::kSatisfied, kNow + 10, true);
  core.end(1, Outcome::kErrored, kNow + 11);
  core.run_until(kNow + 6 * kSecond);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{5}, Answer::kSatisfied));
}

// Each row of the outcome table: what a single-use submission may do next shows whether it may have run.
TEST(Core, OnlyOutcomesThatProveItNeverRanLetSingleUseGoAgain) {
  for (const Outcome never : {Outcome::kTurnedAway, Outcome::kUnreachable, Outcome::kUnsent}) {
    Core core(2);
    core.arrive(5, 2);
    core.end(1, never, kNow + 10);
    core.run_until(kNow + kSecond);
    EXPECT_EQ(core.effects.launches.size(), 2u) << static_cast<int>(never);
    EXPECT_TRUE(core.effects.answers.empty());
  }
  for (const Outcome maybe : {Outcome::kErrored, Outcome::kBroken, Outcome::kTimedOut}) {
    Core core(2);
    core.arrive(5, 2);
    core.end(1, maybe, kNow + 10);
    core.run_until(kNow + 6 * kSecond);
    EXPECT_EQ(core.effects.launches.size(), 1u) << static_cast<int>(maybe);
    ASSERT_EQ(core.effects.answers.size(), 1u);
    EXPECT_EQ(core.effects.answers[0].second, Answer::kAborted);
  }
}

// The thread that serves a launch may hang: the answer does not wait for it.
TEST(Core, ASilentLaunchIsAnsweredWhenItsTimeIsOver) {
  Settings settings = small_settings();
  settings.second_copies = false;
  settings.tells_start = false;
  Core core(1, 1024, settings);
  core.arrive(5, 2);
  core.run_until(kNow + 5 * kSecond);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0].second, Answer::kAborted);
  EXPECT_EQ(core.effects.given_up, std::vector<Id>{1});
}

// However long the pause after failures had grown.
TEST(Core, DiscoveryThatMovedIsAskedAtOnce) {
  Settings settings = small_settings();
  settings.ask_for_roster = true;
  settings.ask_within = 10 * kSecond;
  Core core(1, 1024, settings);
  for (int i = 0; i < 6; ++i) core.node.roster_refused(kNow);
  core.node.discovery_moved(kNow + 1, "discovery:2");
  ASSERT_FALSE(core.effects.watches.empty());
  EXPECT_EQ(core.effects.watches.back(), "discovery:2");
}

// Pushed back while it waits for room, with no launch out: what it held goes back at once.
TEST(Core, OneThatWaitedInVainGivesItsBufferBack) {
  Core core(1);
  core.arrive(5, 0);  // takes the only room
  const auto waiting = std::make_shared<Parcel>();
  core.node.client_opened(kNow, 6);
  core.node.submission_arrived(kNow, 6, "six", 0, kNow + kSecond, 0, 1, waiting);
  EXPECT_EQ(waiting.use_count(), 2);
  core.run_until(kNow + kSecond);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{6}, Answer::kPushedBack));
  EXPECT_EQ(waiting.use_count(), 1);
}

// The module is to choose by the connections that there are.
TEST(Core, AFreeConnectionThatItsExecutorClosedIsNotCountedOn) {
  Core core(1);
  core.arrive(5, 0);
  core.end(1, Outcome::kSatisfied, kNow + 10, true);
  EXPECT_EQ(core.node.policy().executors[0].connections, 1);
  core.effects.broken = {1};
  core.run_until(kNow + kSecond / 10);
  EXPECT_EQ(core.effects.given_up, std::vector<Id>{1});
  EXPECT_EQ(core.node.policy().executors[0].connections, 0);
  core.arrive(6, 0, kNow + 2000);
  core.end(2, Outcome::kSatisfied, kNow + 2010, false);
  EXPECT_EQ(core.node.policy().executors[0].connections, 0);
  EXPECT_EQ(core.node.descriptors_used(), 2);  // the two clients
}

// Many connections that died together are not as many failures; it may have run all the same.
TEST(Core, AStaleConnectionBlamesNobody) {
  Core core(2);
  core.arrive(5, 0);
  core.end(1, Outcome::kStale, kNow + 10);
  EXPECT_EQ(core.node.policy().executors[0].bad.value + core.node.policy().executors[1].bad.value, 0);
  EXPECT_EQ(core.effects.launches.size(), 2u);
  core.arrive(6, 2);
  core.end(3, Outcome::kStale, kNow + 20);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{6}, Answer::kAborted));
}

// Passed on it would be a second copy, also while a launch whose client has left may still be out.
TEST(Core, AnIdThatIsOpenIsRejectedUntilNoLaunchOfItIsOut) {
  Core core(2);
  const auto hand_in = [&core](Id client) {
    core.node.client_opened(kNow, client);
    core.node.submission_arrived(kNow, client, "same", 0, kNow + kSecond, 0, 1, nullptr);
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
  core.end(1, Outcome::kBroken, kNow + 2);
  hand_in(8);
  EXPECT_EQ(core.effects.answers.size(), 2u);
  EXPECT_EQ(core.effects.launches.size(), 2u);
}

// However long the usual one has been idle.
TEST(Core, WhoeverHandedNothingInMakesRoomFirst) {
  Core core(1, 64);  // 27 clients
  core.arrive(100, 0);
  core.end(1, Outcome::kSatisfied, kNow + 1, true);
  for (Id client = 1; client <= 27; ++client)
    core.node.client_opened(kNow + kSecond + static_cast<Time>(client), client);
  EXPECT_EQ(core.effects.closed, std::vector<Id>{1});
}

// Nobody else is to be had when it is found silent; it does not stay there until its time is over.
TEST(Core, ALaunchThatFellSilentAsItRanIsLookedAtAgain) {
  Settings settings = small_settings();
  settings.second_copies = false;
  settings.progress_every = 2 * kSecond;
  Core core(2, 1024, settings);
  core.arrive(5, 0);
  core.node.launch_started(kNow + 1, 1);
  const int other = 1 - core.node.policy().submissions[0].launches[0].executor;
  for (const int i : {0, 1}) core.list(i, Standing::kDraining);
  core.run_until(kNow + kSecond * 33 / 10);
  EXPECT_TRUE(core.effects.given_up.empty());
  core.list(other, Standing::kReady, kNow + kSecond * 33 / 10);
  core.run_until(kNow + kSecond * 34 / 10);
  EXPECT_EQ(core.effects.given_up, std::vector<Id>{1});
}

TEST(Core, WhatComesLateOfAnEndedLaunchFindsNothing) {
  Core core(1);
  core.arrive(5, 0);
  core.end(1, Outcome::kSatisfied, kNow + 10, true);
  core.arrive(6, 0, kNow + 20);  // takes the index of the first
  core.node.launch_started(kNow + 30, 1);
  core.node.launch_progressed(kNow + 30, 1, 0.5);
  core.end(1, Outcome::kSatisfied, kNow + 30, true);
  EXPECT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.node.policy().submissions[0].launches[0].began, -1);
}

TEST(Core, AClientThatLeavesGetsNoAnswerAndItsLaunchIsGivenUp) {
  Core core(1);
  core.arrive(5, 0);
  core.node.client_closed(kNow + 10, 5);
  EXPECT_EQ(core.effects.given_up, std::vector<Id>{1});
  core.end(1, Outcome::kBroken, kNow + 20);
  core.run_until(kNow + 6 * kSecond);
  EXPECT_TRUE(core.effects.answers.empty());
  EXPECT_EQ(core.effects.launches.size(), 1u);
}

// What was given up ends as a broken connection, which says nothing against the executor.
TEST(Core, ACancelledLaunchIsNotHeldAgainstItsExecutor) {
  Core core(1);
  core.arrive(5, 0);
  core.node.client_closed(kNow + 10, 5);
  core.end(1, Outcome::kBroken, kNow + 20);
  EXPECT_EQ(core.node.policy().executors[0].bad.value, 0);
}

TEST(Core, NothingNewGoesToOneThatDrains) {
  Core core(2);
  core.list(0, Standing::kDraining, kNow + 10);
  core.node.roster_arrived(kNow + 10, RosterForm::kChanges, 2);
  for (Id client = 1; client <= 3; ++client) core.arrive(client, 0, kNow + 20);
  core.run_until(kNow + kSecond / 10);
  ASSERT_FALSE(core.effects.launches.empty());
  for (const auto& launch : core.effects.launches) EXPECT_EQ(launch.address, "host:1");
}

TEST(Core, TheConnectionUsedLastIsUsedAgain) {
  Core core(1);
  core.arrive(5, 0);
  core.node.launch_started(kNow + 1, 1);
  core.arrive(6, 0, kNow + 2);
  ASSERT_EQ(core.effects.launches.size(), 2u);
  EXPECT_EQ(core.effects.launches[1].over, 0u);  // the first is busy
  core.end(1, Outcome::kSatisfied, kNow + 10, true);
  core.end(2, Outcome::kSatisfied, kNow + 20, true);
  core.arrive(7, 0, kNow + 30);
  EXPECT_EQ(core.effects.launches[2].over, 2u);
}

TEST(Core, AFreeConnectionIsClosedBeforeItsExecutorWould) {
  Settings settings = small_settings();
  settings.connection_idle = 20 * kSecond;
  Core core(1, 1024, settings);
  core.arrive(5, 0);
  core.end(1, Outcome::kSatisfied, kNow + 10, true);
  core.run_until(kNow + 14 * kSecond);
  EXPECT_TRUE(core.effects.given_up.empty());
  core.run_until(kNow + 17 * kSecond);
  EXPECT_EQ(core.effects.given_up, std::vector<Id>{1});
}

TEST(Core, AnExecutorThatRestartedIsReachedAnew) {
  Core core(1);
  core.arrive(5, 0);
  core.end(1, Outcome::kSatisfied, kNow + 10, true);
  core.node.executor_listed(kNow + 20, "s-0", "host:0", "a", "m", 0, Standing::kReady, kNow - 60 * kSecond);
  EXPECT_EQ(core.effects.given_up, std::vector<Id>{1});
  core.arrive(6, 0, kNow + 30);
  EXPECT_EQ(core.effects.launches.back().over, 0u);
}

// Of 20 descriptors 12 are for connections: 6 clients at most.
TEST(Core, IdleClientsMakeRoomAndOneTooManyIsPushedBackUnseen) {
  Core core(1, 20);
  for (Id client = 1; client <= 6; ++client)
    core.node.client_opened(kNow + static_cast<Time>(client), client);
  core.node.client_opened(kNow + 10, 7);
  EXPECT_EQ(core.effects.closed, std::vector<Id>{1});
  core.node.client_closed(kNow + 11, 1);
  for (Id client = 2; client <= 7; ++client)
    core.node.submission_arrived(kNow + 20, client, "n" + std::to_string(client), 0, kNow + kSecond, 0, 1,
                                 nullptr);
  core.arrive(8, 0, kNow + 30);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{8}, Answer::kPushedBack));
  EXPECT_TRUE(core.effects.lasts[0]);
}

// Four descriptors for connections: two clients and their launches. A second copy finds none.
TEST(Core, WithoutADescriptorALaunchIsUnsentAfterAPause) {
  Core core(4, 8);
  core.arrive(1, 0);
  core.arrive(2, 0);
  core.run_until(kNow + kSecond / 4);
  EXPECT_EQ(core.effects.launches.size(), 2u);
  const auto& tried = core.node.policy().submissions[0].launches;
  ASSERT_GE(tried.size(), 2u);
  EXPECT_FALSE(tried[1].pending);
  EXPECT_FALSE(tried[1].may_have_run);
  EXPECT_TRUE(core.effects.answers.empty());
}

TEST(Core, StoppingAnswersAllWithinThePlatformsTime) {
  Core core(1);
  core.arrive(5, 0);
  core.node.launch_started(kNow + 1, 1);
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
  core.node.submission_arrived(kNow + kSecond * 3 / 2, 5, "five", 0, kNow + 6 * kSecond, 0, 1, nullptr);
  core.end(1, Outcome::kSatisfied, kNow + kSecond * 8 / 5, true);
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
  EXPECT_NE(message(R"({"useCases":[{"name":"a","agreedTime":"x","semantics":"free"}]})").find("agreedTime"),
            std::string::npos);
  EXPECT_NE(message(R"({"useCases":[{"name":"a","agreedTime":1,"semantics":"free"}]})").find("replicasOfMe"),
            std::string::npos);
}

}  // namespace
}  // namespace canvasstage
