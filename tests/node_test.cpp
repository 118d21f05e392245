#include <gtest/gtest.h>

#include "helpers.h"

namespace canvasstage {
namespace {

TEST(Core, SucceededAttemptAnswersOnce) {
  Core core(1);
  core.arrive(5, 0);
  ASSERT_EQ(core.effects.attempts.size(), 1u);
  EXPECT_EQ(core.effects.attempts[0].address, "host:0");
  core.end(1, Outcome::kSucceeded, kNow + 10, true);
  core.end(1, Outcome::kFailed, kNow + 11);
  core.run_until(kNow + 6 * kSecond);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{5}, Answer::kSucceeded));
}

// A request that is at most once is retried only after an outcome that proves that the attempt never ran. A
// retry after any other outcome could execute the request twice.
TEST(Core, AtMostOnceRetriesOnlyIfNeverRan) {
  for (const Outcome outcome : {Outcome::kRejected, Outcome::kUnreachable, Outcome::kNotSent}) {
    Core core(2);
    core.arrive(5, 2);
    core.end(1, outcome, kNow + 10);
    core.run_until(kNow + kSecond);
    EXPECT_EQ(core.effects.attempts.size(), 2u) << static_cast<int>(outcome);
    EXPECT_TRUE(core.effects.answers.empty());
  }
  for (const Outcome outcome : {Outcome::kFailed, Outcome::kConnectionLost, Outcome::kTimedOut}) {
    Core core(2);
    core.arrive(5, 2);
    core.end(1, outcome, kNow + 10);
    core.run_until(kNow + 6 * kSecond);
    EXPECT_EQ(core.effects.attempts.size(), 1u) << static_cast<int>(outcome);
    ASSERT_EQ(core.effects.answers.size(), 1u);
    EXPECT_EQ(core.effects.answers[0].second, Answer::kFailed);
  }
}

// The thread that serves an attempt may hang; the answer must not wait for it.
TEST(Core, SilentAttemptIsAnsweredAtItsDeadline) {
  Settings settings = small_settings();
  settings.reports_start = false;
  Core core(1, 1024, settings);
  core.arrive(5, 2);
  core.run_until(kNow + 5 * kSecond);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0].second, Answer::kFailed);
  EXPECT_EQ(core.effects.abandoned, std::vector<Id>{1});
}

// Guards against a fault: with pushed membership, a node on sockets opened no watch at all and kept its
// stored list for good.
TEST(Core, PushedMembershipOpensAWatch) {
  Settings settings = small_settings();
  settings.polls_membership = false;
  Core core(1, 1024, settings);
  core.node.membership_call_failed(kNow);  // ends the watch on which the helper delivered the list
  core.run_until(kNow + kSecond);
  EXPECT_FALSE(core.effects.watches.empty());
}

// A node calls discovery at its new address at once, however long the pause after failed calls has grown.
TEST(Core, MovedDiscoveryIsCalledAtOnce) {
  Settings settings = small_settings();
  settings.polls_membership = true;
  settings.max_membership_age = 10 * kSecond;
  Core core(1, 1024, settings);
  for (int i = 0; i < 6; ++i) core.node.membership_call_failed(kNow);
  core.node.discovery_moved(kNow + 1, "discovery:2");
  ASSERT_FALSE(core.effects.watches.empty());
  EXPECT_EQ(core.effects.watches.back(), "discovery:2");
}

// A request that is shed while it is queued has no attempt whose end would release its payload buffer; the
// buffer must be released with the answer.
TEST(Core, ShedQueuedRequestReleasesItsPayload) {
  Core core(1);
  core.arrive(5, 0);  // uses up the executor's capacity
  const auto payload = std::make_shared<Payload>();
  core.node.client_opened(kNow, 6);
  core.node.request_arrived(kNow, 6, "six", 0, kNow + kSecond, 0, 1, payload);
  EXPECT_EQ(payload.use_count(), 2);
  core.run_until(kNow + kSecond);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{6}, Answer::kShed));
  EXPECT_EQ(payload.use_count(), 1);
}

// Policy must choose executors by the connections that are really open, so a connection that its executor has
// closed must not be counted.
TEST(Core, ConnectionClosedByExecutorIsNotCounted) {
  Core core(1);
  core.arrive(5, 0);
  core.end(1, Outcome::kSucceeded, kNow + 10, true);
  EXPECT_EQ(core.node.policy().executors[0].connections, 1);
  core.effects.closed_by_executor = {1};
  core.run_until(kNow + kSecond / 10);
  EXPECT_EQ(core.effects.abandoned, std::vector<Id>{1});
  EXPECT_EQ(core.node.policy().executors[0].connections, 0);
  core.arrive(6, 0, kNow + 2000);
  core.end(2, Outcome::kSucceeded, kNow + 2010, false);
  EXPECT_EQ(core.node.policy().executors[0].connections, 0);
  EXPECT_EQ(core.node.descriptors_used(), 2);  // the two clients
}

// Many idle connections that break together must not count as that many failures of executors. The attempt
// may have run all the same, so a request that is at most once fails.
TEST(Core, StaleConnectionIsNoExecutorFailure) {
  Core core(2);
  core.arrive(5, 0);
  core.end(1, Outcome::kStaleConnection, kNow + 10);
  EXPECT_EQ(core.node.policy().executors[0].failures.value + core.node.policy().executors[1].failures.value,
            0);
  EXPECT_EQ(core.effects.attempts.size(), 2u);
  core.arrive(6, 2);
  core.end(3, Outcome::kStaleConnection, kNow + 20);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{6}, Answer::kFailed));
}

// Forwarding a request whose id is open would execute a second copy. The id stays in use while an attempt
// whose client has left may still be running.
TEST(Core, DuplicateIdRejectedWhileAttemptIsOpen) {
  Core core(2);
  const auto send_request = [&core](Id client) {
    core.node.client_opened(kNow, client);
    core.node.request_arrived(kNow, client, "same", 0, kNow + kSecond, 0, 1, nullptr);
  };
  send_request(5);
  send_request(6);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0], std::make_pair(Id{6}, Answer::kRejected));
  EXPECT_TRUE(core.effects.closes_after_answer[0]);
  core.node.client_closed(kNow + 1, 5);
  send_request(7);
  EXPECT_EQ(core.effects.answers.size(), 2u);
  EXPECT_EQ(core.effects.attempts.size(), 1u);
  core.end(1, Outcome::kConnectionLost, kNow + 2);
  send_request(8);
  EXPECT_EQ(core.effects.answers.size(), 2u);
  EXPECT_EQ(core.effects.attempts.size(), 2u);
}

// Clients that have never sent a request are closed before a client that has, however long that one has been
// idle.
TEST(Core, SilentClientsAreClosedFirst) {
  Core core(1, 64);  // 27 clients
  core.arrive(100, 0);
  core.end(1, Outcome::kSucceeded, kNow + 1, true);
  for (Id client = 1; client <= 27; ++client)
    core.node.client_opened(kNow + kSecond + static_cast<Time>(client), client);
  EXPECT_EQ(core.effects.closed, std::vector<Id>{1});
}

// When the running attempt is found silent, no other executor is available. The attempt must be checked again
// instead of occupying the silent executor until its deadline.
TEST(Core, SilentRunningAttemptIsCheckedAgain) {
  Settings settings = small_settings();
  settings.progress_interval = 2 * kSecond;
  Core core(2, 1024, settings);
  core.arrive(5, 0);
  core.node.attempt_started(kNow + 1, 1);
  const int other_executor = 1 - core.node.policy().requests[0].attempts[0].executor;
  for (const int i : {0, 1}) core.list_executor(i, Lifecycle::kDraining);
  core.run_until(kNow + kSecond * 33 / 10);
  EXPECT_TRUE(core.effects.abandoned.empty());
  core.list_executor(other_executor, Lifecycle::kActive, kNow + kSecond * 33 / 10);
  core.run_until(kNow + kSecond * 34 / 10);
  EXPECT_EQ(core.effects.abandoned, std::vector<Id>{1});
}

TEST(Core, LateEventsOfEndedAttemptAreIgnored) {
  Core core(1);
  core.arrive(5, 0);
  core.end(1, Outcome::kSucceeded, kNow + 10, true);
  core.arrive(6, 0, kNow + 20);  // reuses the slot of the first request
  core.node.attempt_started(kNow + 30, 1);
  core.node.attempt_progressed(kNow + 30, 1, 0.5);
  core.end(1, Outcome::kSucceeded, kNow + 30, true);
  EXPECT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.node.policy().requests[0].attempts[0].started_at, -1);
}

TEST(Core, LeavingClientAbandonsItsAttempt) {
  Core core(1);
  core.arrive(5, 0);
  core.node.client_closed(kNow + 10, 5);
  EXPECT_EQ(core.effects.abandoned, std::vector<Id>{1});
  core.end(1, Outcome::kConnectionLost, kNow + 20);
  core.run_until(kNow + 6 * kSecond);
  EXPECT_TRUE(core.effects.answers.empty());
  EXPECT_EQ(core.effects.attempts.size(), 1u);
}

// A cancelled attempt ends with a broken connection, which must not count as a failure of its executor.
TEST(Core, CancelledAttemptIsNoExecutorFailure) {
  Core core(1);
  core.arrive(5, 0);
  core.node.client_closed(kNow + 10, 5);
  core.end(1, Outcome::kConnectionLost, kNow + 20);
  EXPECT_EQ(core.node.policy().executors[0].failures.value, 0);
}

TEST(Core, DrainingExecutorGetsNoNewAttempts) {
  Core core(2);
  core.list_executor(0, Lifecycle::kDraining, kNow + 10);
  core.node.membership_received(kNow + 10, MembershipUpdate::kDelta, 2);
  for (Id client = 1; client <= 3; ++client) core.arrive(client, 0, kNow + 20);
  core.run_until(kNow + kSecond / 10);
  ASSERT_FALSE(core.effects.attempts.empty());
  for (const auto& attempt : core.effects.attempts) EXPECT_EQ(attempt.address, "host:1");
}

TEST(Core, MostRecentIdleConnectionIsReused) {
  Core core(1);
  core.arrive(5, 0);
  core.node.attempt_started(kNow + 1, 1);
  core.arrive(6, 0, kNow + 2);
  ASSERT_EQ(core.effects.attempts.size(), 2u);
  EXPECT_EQ(core.effects.attempts[1].reused_connection, 0u);  // the first attempt's connection is busy
  core.end(1, Outcome::kSucceeded, kNow + 10, true);
  core.end(2, Outcome::kSucceeded, kNow + 20, true);
  core.arrive(7, 0, kNow + 30);
  EXPECT_EQ(core.effects.attempts[2].reused_connection, 2u);
}

TEST(Core, IdleConnectionClosedBeforeExecutorTimeout) {
  Settings settings = small_settings();
  settings.connection_idle_timeout = 20 * kSecond;
  Core core(1, 1024, settings);
  core.arrive(5, 0);
  core.end(1, Outcome::kSucceeded, kNow + 10, true);
  core.run_until(kNow + 14 * kSecond);
  EXPECT_TRUE(core.effects.abandoned.empty());
  core.run_until(kNow + 17 * kSecond);
  EXPECT_EQ(core.effects.abandoned, std::vector<Id>{1});
}

TEST(Core, RestartedExecutorGetsNewConnection) {
  Core core(1);
  core.arrive(5, 0);
  core.end(1, Outcome::kSucceeded, kNow + 10, true);
  core.node.executor_listed(kNow + 20, "s-0", "host:0", "a", "m", 0, Lifecycle::kActive, kNow - 60 * kSecond);
  EXPECT_EQ(core.effects.abandoned, std::vector<Id>{1});
  core.arrive(6, 0, kNow + 30);
  EXPECT_EQ(core.effects.attempts.back().reused_connection, 0u);
}

// A new machine takes over the address of an executor that drains. Idle connections to the old executor must
// not be used for the new one, and nothing may be sent to the old one.
TEST(Core, NewExecutorAtOldAddressGetsOwnConnection) {
  Core core(1);
  core.arrive(1, 0);
  core.end(core.effects.attempts[0].id, Outcome::kSucceeded, kNow + 10, true);
  core.list_executor(0, Lifecycle::kDraining, kNow + 20);
  core.node.executor_listed(kNow + 20, "s-new", "host:0", "a", "m", 0, Lifecycle::kActive, 0);
  core.node.membership_received(kNow + 20, MembershipUpdate::kDelta, 2);
  core.arrive(2, 0, kNow + 30);
  ASSERT_EQ(core.effects.attempts.size(), 2u);
  EXPECT_EQ(core.effects.attempts[1].reused_connection, 0u);
  EXPECT_EQ(core.effects.attempts[1].address, "host:0");
  core.list_executor(0, Lifecycle::kRemoved, kNow + 40);
  EXPECT_EQ(core.effects.abandoned, std::vector<Id>{core.effects.attempts[0].id});
}

// 12 of the 20 descriptors are for connections, so there may be 6 clients. An idle client is closed to make
// room; with none idle, the request of one client too many is shed unread.
TEST(Core, ExcessClientIsShedUnread) {
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
  EXPECT_TRUE(core.effects.closes_after_answer[0]);
}

// A new process takes over most of the descriptors while three clients and their attempts are open, so the
// retry of a rejected attempt finds no descriptor. It ends as not sent after a pause.
TEST(Core, AttemptWithoutDescriptorIsNotSent) {
  Core core(4, 20);
  for (const Id client : {1, 2, 3}) core.arrive(client, 0);
  ASSERT_EQ(core.effects.attempts.size(), 3u);
  core.node.set_descriptor_share(kNow + 1, 4);
  core.end(core.effects.attempts[0].id, Outcome::kRejected, kNow + 2);
  core.run_until(kNow + kSecond / 40);
  EXPECT_EQ(core.effects.attempts.size(), 3u);
  const auto& attempts = core.node.policy().requests[0].attempts;
  ASSERT_GE(attempts.size(), 2u);
  EXPECT_FALSE(attempts[1].pending);
  EXPECT_FALSE(attempts[1].may_have_run);
  EXPECT_TRUE(core.effects.answers.empty());
}

TEST(Core, StopAnswersAllBeforePlatformKill) {
  Core core(1);
  core.arrive(5, 0);
  core.node.attempt_started(kNow + 1, 1);
  core.node.stop(kNow + 10);
  core.run_until(kNow + kSecond * 21 / 10);
  EXPECT_FALSE(core.effects.listening);
  core.node.listener_closed(kNow + kSecond * 21 / 10);
  EXPECT_TRUE(core.effects.running);  // one request is open
  core.run_until(kNow + 10 + kSecond * 33 / 10);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_TRUE(core.effects.closes_after_answer[0]);
  core.node.client_closed(kNow + kSecond * 34 / 10, 5);
  EXPECT_FALSE(core.effects.running);
}

// The nodes that could take over may be restarting too, so during a stop clients keep their connections and
// are served until little time is left.
TEST(Core, StopServesKeptConnectionsThenCloses) {
  Core core(1);
  core.node.client_opened(kNow + 1, 5);
  core.node.stop(kNow + 10);
  core.run_until(kNow + kSecond * 3 / 2);
  EXPECT_TRUE(core.effects.closed.empty());
  EXPECT_TRUE(core.effects.listening);
  core.node.request_arrived(kNow + kSecond * 3 / 2, 5, "five", 0, kNow + 6 * kSecond, 0, 1, nullptr);
  core.end(1, Outcome::kSucceeded, kNow + kSecond * 8 / 5, true);
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_FALSE(core.effects.closes_after_answer[0]);
  core.run_until(kNow + kSecond * 21 / 10);
  EXPECT_FALSE(core.effects.listening);
  core.node.listener_closed(kNow + kSecond * 21 / 10);
  EXPECT_EQ(core.effects.closed, std::vector<Id>{5});
  core.node.client_closed(kNow + kSecond * 22 / 10, 5);
  EXPECT_FALSE(core.effects.running);
}

TEST(Settings, InvalidFieldIsNamed) {
  const auto error_message = [](const char* json) -> std::string {
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
  EXPECT_NE(error_message("{}").find("useCases"), std::string::npos);
  EXPECT_NE(error_message(R"({"useCases":[{"name":"a","agreedTime":"x","hardLimit":1,"semantics":"free"}]})")
                .find("agreedTime"),
            std::string::npos);
  EXPECT_NE(error_message(R"({"useCases":[{"name":"a","agreedTime":1,"hardLimit":1,"semantics":"free"}]})")
                .find("replicasOfMe"),
            std::string::npos);
}

// Each look at the queue goes through all queued requests. One look for each of them would be too expensive
// under overload, so they share one timer.
TEST(Core, QueuedRequestsShareOneTimer) {
  Core core(1);
  for (Id client = 1; client <= 200; ++client) core.arrive(client, 0);
  const auto queue_timers = [&core] {
    return std::count_if(core.effects.timers.begin(), core.effects.timers.end(),
                         [](const auto& timer) { return timer.first == kNow + kSecond / 50; });
  };
  EXPECT_EQ(queue_timers(), 1);
  core.end(1, Outcome::kSucceeded, kNow + 1, true);
  core.run_until(kNow + kSecond / 25);
  EXPECT_GE(core.effects.attempts.size(), 2u);  // queued requests are still sent
}

// --- New settings while the node runs ---

rapidjson::Document parse_json(const std::string& json) {
  rapidjson::Document document;
  document.Parse(json.c_str());
  return document;
}

std::string use_case_json(const std::string& name, const std::string& semantics = "free",
                          const std::string& target_latency = "1") {
  return R"({"name":")" + name + R"(","agreedTime":)" + target_latency + R"(,"hardLimit":5,"semantics":")" +
         semantics + R"(","group":"all","window":9})";
}

struct DecodedSettings {
  explicit DecodedSettings(const std::string& use_cases, const std::string& zones = R"(["a","b"])",
                           int max_attempts = 5) {
    settings = decode_settings(parse_json(R"({"useCases":[)" + use_cases + R"(],"zones":)" + zones +
                                          R"(,"locality":"b","replicasOfMe":2,"caps":{"mostLaunches":)" +
                                          std::to_string(max_attempts) + R"(},"guarantees":{}})"),
                               terms);
  }
  DecodedSettings& keep_indices_of(const DecodedSettings& previous) {
    preserve_indices(previous.terms, previous.settings, terms, settings);
    return *this;
  }
  Terms terms;
  Settings settings;
};

TEST(NewSettings, IndicesKeepTheirMeaning) {
  const DecodedSettings first(use_case_json("look") + "," + use_case_json("run"));
  DecodedSettings second(use_case_json("fresh") + "," + use_case_json("run", "guarded"), R"(["b","c"])");
  second.keep_indices_of(first);
  EXPECT_EQ(second.terms.find_use_case("look"), -1);  // removed
  EXPECT_EQ(second.settings.use_cases[0], first.settings.use_cases[0]);
  EXPECT_EQ(second.settings.use_cases[1].effect, Effect::kIdempotent);  // kept for open requests
  const int run = second.terms.find_use_case("run");
  ASSERT_GE(run, 2);
  EXPECT_EQ(second.settings.use_cases[run].effect, Effect::kIdempotentByKey);
  EXPECT_EQ(second.settings.use_cases[run].initial_work_use_case, 1);
  EXPECT_TRUE(second.terms.requires_key[run]);
  EXPECT_EQ(second.settings.use_cases[second.terms.find_use_case("fresh")].initial_work_use_case, -1);
  EXPECT_EQ(second.terms.zones, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(second.settings.zone, 1);
  DecodedSettings third(use_case_json("look") + "," + use_case_json("run"));
  third.keep_indices_of(second);  // the same use cases as the first
  EXPECT_EQ(third.terms.find_use_case("look"), 0);
  EXPECT_EQ(third.terms.find_use_case("run"), 1);
  EXPECT_EQ(third.settings.use_cases.size(), 4u);
}

// Use cases keep their indices across reloads, so settings files that each bring a new or changed use case
// would let the indices grow without limit.
TEST(NewSettings, UseCaseCountIsLimited) {
  DecodedSettings previous(use_case_json("a"));
  int file_count = 0;
  try {
    for (; file_count < 5000; ++file_count) {
      DecodedSettings next(use_case_json("a", "free", std::to_string(file_count + 2)));
      previous = next.keep_indices_of(previous);
    }
  } catch (const BadInput& input) {
    EXPECT_NE(std::string(input.what()).find("useCases"), std::string::npos);
  }
  EXPECT_GT(file_count, 1000);
  EXPECT_LT(file_count, 5000);
}

TEST(NewSettings, NonPositiveNumbersAreNamed) {
  const auto error_message = [](const std::string& target_latency, const std::string& deadline,
                                const std::string& max_attempts) {
    Terms terms;
    try {
      decode_settings(
          parse_json(R"({"useCases":[{"name":"a","agreedTime":)" + target_latency + R"(,"hardLimit":)" +
                     deadline +
                     R"(,"semantics":"free"}],"replicasOfMe":1,"guarantees":{},"caps":{"mostLaunches":)" +
                     max_attempts + "}}"),
          terms);
    } catch (const BadInput& input) {
      return std::string(input.what());
    }
    return std::string();
  };
  EXPECT_EQ(error_message("1", "2", "3"), "");
  for (const char* const invalid : {"0", "-1", "\"1\"", "true", "null", "[]", "{}"}) {
    EXPECT_NE(error_message(invalid, "2", "3").find("agreedTime"), std::string::npos) << invalid;
    EXPECT_NE(error_message("1", invalid, "3").find("hardLimit"), std::string::npos) << invalid;
    EXPECT_NE(error_message("1", "2", invalid).find("mostLaunches"), std::string::npos) << invalid;
  }
  EXPECT_NE(error_message("1", "2", "0.5").find("mostLaunches"), std::string::npos);
  Terms terms;
  EXPECT_THROW(
      decode_settings(parse_json(R"({"useCases":[)" + use_case_json("a") + "," + use_case_json("a") + "]}"),
                      terms),
      BadInput);
}

TEST(NewSettings, ReloadAppliesWithRequestsOpen) {
  Core core(2);
  core.arrive(1, 0);
  Settings settings = small_settings();
  Terms terms = Core::terms();
  settings.use_cases.push_back(settings.use_cases[2]);
  settings.use_cases.back().initial_work_use_case = 0;
  terms.use_cases.push_back("fresh");
  terms.requires_key.push_back(false);
  terms.offered = {false, true, true, true};
  core.node.settings_changed(kNow + 1, settings, terms);
  core.end(1, Outcome::kConnectionLost, kNow + 2);  // idempotent when it arrived: retried
  EXPECT_EQ(core.effects.attempts.size(), 2u);
  core.end(2, Outcome::kSucceeded, kNow + 3);
  core.arrive(2, 3, kNow + 4);
  core.end(3, Outcome::kConnectionLost, kNow + 5);  // at most once
  ASSERT_EQ(core.effects.answers.size(), 2u);
  EXPECT_EQ(core.effects.answers[0].second, Answer::kSucceeded);
  EXPECT_EQ(core.effects.answers[1].second, Answer::kFailed);
  const Metrics& metrics = core.metrics_at(kNow + kSecond);
  EXPECT_EQ(metrics.use_cases[0].succeeded, 1u);  // its counters stay
  EXPECT_EQ(metrics.use_cases[3].name, "fresh");
  EXPECT_EQ(metrics.use_cases[3].failed, 1u);
  EXPECT_EQ(metrics.reloads_applied, 1u);
}

// A request is queued after two attempts when a reload lowers the limit to two: it is answered at once, as it
// can no longer be sent.
TEST(NewSettings, RequestAboveNewAttemptLimitIsShed) {
  Core core(1);
  core.arrive(1, 0);
  core.end(1, Outcome::kRejected, kNow + 1);
  core.end(2, Outcome::kUnreachable, kNow + 2);  // the executor is unreachable, so the request is queued
  ASSERT_EQ(core.effects.attempts.size(), 2u);
  ASSERT_TRUE(core.effects.answers.empty());
  Settings settings = small_settings();
  settings.max_attempts = 2;
  core.node.settings_changed(kNow + 3, settings, Core::terms());
  ASSERT_EQ(core.effects.answers.size(), 1u);
  EXPECT_EQ(core.effects.answers[0].second, Answer::kShed);
}

// --- A listening socket that is shared with another process ---

TEST(SharedListener, AcceptsOnlyBetweenListAndStop) {
  Core core(0, 1024, small_settings(), true);
  EXPECT_TRUE(core.effects.listening);  // discovery has sent the list
  FakeEffects effects;
  Node node(small_settings(), Core::terms(), Platform{1024, true, 1}, 1, effects, kNow, "discovery:1");
  EXPECT_FALSE(effects.listening);
  node.membership_received(kNow, MembershipUpdate::kCached, 1);
  EXPECT_FALSE(effects.listening);
  for (const auto& [when, token] : std::vector(effects.timers))
    if (when == kNow + 4 * kSecond) node.timer_due(when, token);
  EXPECT_TRUE(effects.listening);  // discovery is down: the wait for the list has timed out
  core.node.stop(kNow + kSecond);
  EXPECT_FALSE(core.effects.listening);
}

// During a stop, a client's connection is closed with its next answer; a client that sends nothing is closed
// late in the stop.
TEST(SharedListener, StopServesKeptClientsOnce) {
  Core core(1, 1024, small_settings(), true);
  core.node.client_opened(kNow, 7);
  core.node.client_opened(kNow, 8);
  core.node.stop(kNow + kSecond);
  core.node.listener_closed(kNow + kSecond);
  EXPECT_TRUE(core.effects.closed.empty());
  core.node.request_arrived(kNow + 2 * kSecond, 7, "id7", 0, kNow + 5 * kSecond, 0, 1, nullptr);
  core.end(1, Outcome::kSucceeded, kNow + 2 * kSecond + 10);
  ASSERT_EQ(core.effects.closes_after_answer.size(), 1u);
  EXPECT_TRUE(core.effects.closes_after_answer[0]);
  core.node.client_closed(kNow + 2 * kSecond + 20, 7);
  EXPECT_TRUE(core.effects.running);
  core.run_until(kNow + kSecond * 7 / 2);
  EXPECT_EQ(core.effects.closed, std::vector<Id>{8});
  core.node.client_closed(kNow + kSecond * 7 / 2, 8);
  EXPECT_FALSE(core.effects.running);
}

}  // namespace
}  // namespace canvasstage
