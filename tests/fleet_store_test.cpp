// Tests real nodes whose store is unusable or not configured.
#include <gtest/gtest.h>
#include <signal.h>
#include <sqlite3.h>

#include <filesystem>
#include <fstream>

#include "fleet_helpers.h"

namespace canvasstage::lab::fleet {
namespace {

constexpr double kServiceTimeout = 10;  // seconds

struct FleetStore : testing::Test {
  static FleetPlan plan() {
    FleetPlan plan = small_fleet();
    plan.nodes = 2;
    plan.programs.node = plan.programs.node_on_lossy_disk;
    return plan;
  }
  // Fills the stores and lets all nodes lose power.
  void fill_and_stop(Fleet& fleet) {
    start_all(fleet);
    EXPECT_TRUE(serves_requests(fleet));
    wait_for_saved_lists(fleet);
    fleet.lose_power(Fleet::Scope::kExecutorsRun);
    fleet.start_discovery(kGeneration, fleet.executor_list());
  }
  static std::filesystem::path store_path(const Fleet& fleet, int node = 0) {
    return std::filesystem::path(fleet.store_folder(node)) / "recovery.db";
  }
  static bool serves_requests(Fleet& fleet) {
    constexpr const char* kUseCases[] = {kKeyedUseCase, kIdempotentUseCase, kAtMostOnceUseCase};
    int served = 0, expected = 0;
    for (int node = 0; node < fleet.plan().nodes; ++node)
      for (const char* const use_case : kUseCases) {
        // A node that has just started may refuse a request; it is resent, as clients do.
        ++expected;
        send_until_served(fleet, node, use_case, served);
      }
    return fleet.run(kServiceTimeout, [&] { return served == expected; });
  }
  static void send_until_served(Fleet& fleet, int node, const char* use_case, int& served) {
    static int keys = 0;
    const std::string key = "store-" + std::to_string(++keys);
    fleet.send(node, use_case, key, 5, [&fleet, &served, node, use_case](int status) {
      if (status == 200) ++served;
      if (status == 503) send_until_served(fleet, node, use_case, served);
    });
  }
  // A node that has just started refuses requests that it expects to be late.
  static void send_until_accepted(Fleet& fleet) {
    fleet.send(0, kAtMostOnceUseCase, "", 8, [&fleet](int status) {
      if (status == 503) send_until_accepted(fleet);
    });
  }
  // Expects that node 0 logs one line with the unusable file and the reason, and that both nodes serve.
  static void expect_set_aside(Fleet& fleet, const std::string& reason) {
    start_nodes(fleet);
    EXPECT_EQ(fleet.node(0).logged("recovery: store is"), 1) << fleet.node_log(0);
    EXPECT_EQ(fleet.node(0).logged("recovery: store is " + reason), 1) << fleet.node_log(0);
    EXPECT_EQ(fleet.node(0).logged(fleet.store_folder(0)), 1) << fleet.node_log(0);
    EXPECT_EQ(fleet.node(1).logged("recovery: store is"), 0) << fleet.node_log(1);
    EXPECT_TRUE(serves_requests(fleet)) << fleet.node_log(0);
  }
  static bool was_set_aside(const Fleet& fleet) {
    return std::filesystem::exists(store_path(fleet).string() + ".set-aside-1") &&
           !std::filesystem::exists(store_path(fleet));
  }
  static void execute(const std::filesystem::path& path, const char* text) {
    sqlite3* database = nullptr;
    ASSERT_EQ(sqlite3_open(path.c_str(), &database), SQLITE_OK);
    EXPECT_EQ(sqlite3_exec(database, text, nullptr, nullptr, nullptr), SQLITE_OK) << sqlite3_errmsg(database);
    sqlite3_close(database);
  }
};

TEST_F(FleetStore, CorruptStoreIsSetAsideAndNodeServes) {
  Fleet fleet(plan());
  fill_and_stop(fleet);
  std::fstream(store_path(fleet), std::ios::in | std::ios::out).write(std::string(2000, '\xff').data(), 2000);
  expect_set_aside(fleet, "corrupt: ");
  EXPECT_TRUE(was_set_aside(fleet));
  // After the next start a new store exists beside the old one.
  fleet.stop_node(0);
  start_nodes(fleet);
  EXPECT_EQ(fleet.node(0).logged("recovery: store is"), 0) << fleet.node_log(0);
  EXPECT_TRUE(std::filesystem::exists(store_path(fleet).string() + ".set-aside-1"));
  EXPECT_TRUE(std::filesystem::exists(store_path(fleet)));
}

TEST_F(FleetStore, TruncatedStoreIsSetAsideAndNodeServes) {
  Fleet fleet(plan());
  fill_and_stop(fleet);
  std::filesystem::resize_file(store_path(fleet), 5000);
  std::filesystem::remove(store_path(fleet).string() + "-wal");
  expect_set_aside(fleet, "corrupt: ");
  EXPECT_TRUE(was_set_aside(fleet));
}

TEST_F(FleetStore, OtherVersionIsSetAsideAndNodeServes) {
  Fleet fleet(plan());
  fill_and_stop(fleet);
  execute(store_path(fleet), "PRAGMA user_version=9");
  expect_set_aside(fleet, "of another version: ");
  EXPECT_TRUE(was_set_aside(fleet));
}

TEST_F(FleetStore, OtherNodesStoreStaysAndNodeServes) {
  Fleet fleet(plan());
  fill_and_stop(fleet);
  execute(store_path(fleet), "UPDATE node SET name='n7'");
  expect_set_aside(fleet, "another node's: ");
  EXPECT_TRUE(std::filesystem::exists(store_path(fleet)));
}

TEST_F(FleetStore, ReadOnlyStoreStaysAndNodeServes) {
  FleetPlan read_only = plan();
  bool has_fault = false;
  read_only.environment = [&has_fault](int node) {
    return has_fault && node == 0 ? std::vector<std::string>{"LAB_DISK_FAULT=readonly"}
                                  : std::vector<std::string>{};
  };
  Fleet fleet(read_only);
  fill_and_stop(fleet);
  has_fault = true;
  expect_set_aside(fleet, "read-only: ");
  EXPECT_TRUE(std::filesystem::exists(store_path(fleet)));
}

// Guards against keys that take effect twice: the store on a full disk holds records of earlier attempts, so
// the node must refuse every key until it can read them.
TEST_F(FleetStore, FullDiskRefusesKeysAndServesTheRest) {
  FleetPlan full = plan();
  bool has_fault = false;
  full.environment = [&has_fault](int node) {
    return has_fault && node == 0 ? std::vector<std::string>{"LAB_DISK_FAULT=full"}
                                  : std::vector<std::string>{};
  };
  Fleet fleet(full);
  fill_and_stop(fleet);
  has_fault = true;
  start_nodes(fleet);
  EXPECT_EQ(fleet.node(0).logged("recovery: store is"), 1) << fleet.node_log(0);
  EXPECT_EQ(fleet.node(0).logged("recovery: store is full: "), 1) << fleet.node_log(0);
  EXPECT_EQ(fleet.node(0).logged(fleet.store_folder(0)), 1) << fleet.node_log(0);
  EXPECT_TRUE(std::filesystem::exists(store_path(fleet)));
  int refused = 0, served = 0;
  for (int i = 0; i < 20; ++i) {
    fleet.send(0, kKeyedUseCase, "full-" + std::to_string(i), 5,
               [&](int status) { refused += status == 503; });
    send_until_served(fleet, 0, i % 2 == 0 ? kIdempotentUseCase : kAtMostOnceUseCase, served);
  }
  EXPECT_TRUE(fleet.run(kServiceTimeout, [&] { return refused == 20 && served == 20; })) << fleet.node_log(0);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(fleet.ledger().effects("full-" + std::to_string(i)), 0);
}

TEST_F(FleetStore, LockedStoreStaysAndNodeServes) {
  Fleet fleet(plan());
  fill_and_stop(fleet);
  sqlite3* other = nullptr;
  ASSERT_EQ(sqlite3_open(store_path(fleet).c_str(), &other), SQLITE_OK);
  ASSERT_EQ(sqlite3_exec(other, "PRAGMA locking_mode=EXCLUSIVE; BEGIN EXCLUSIVE; SELECT * FROM node", nullptr,
                         nullptr, nullptr),
            SQLITE_OK)
      << sqlite3_errmsg(other);
  expect_set_aside(fleet, "in use by another process: ");
  EXPECT_TRUE(std::filesystem::exists(store_path(fleet)));
  sqlite3_close(other);
}

TEST_F(FleetStore, StoreThatFillsUpIsLoggedOnce) {
  FleetPlan small = plan();
  small.nodes = 1;
  small.recovery_tables = "max_size_mb = 1\n";
  Fleet fleet(small);
  start_all(fleet);
  WorkloadPlan load;
  load.rate = 1500;
  load.keyed_share = 1;
  Workload workload(fleet, load);
  workload.start();
  EXPECT_TRUE(fleet.run(40, [&] { return fleet.nodes_that_logged("recovery: store is full: ") == 1; }))
      << fleet.node_log(0);
  const std::size_t before = workload.answers(200);
  EXPECT_TRUE(fleet.run(kServiceTimeout, [&] { return workload.answers(200) > before + 100; }));
  workload.stop();
  EXPECT_EQ(fleet.node(0).logged("recovery: store is"), 1);
}

TEST_F(FleetStore, AtMostOnceAttemptsInDoubtAreListed) {
  FleetPlan slow = plan();
  slow.run_time = 3;
  Fleet fleet(slow);
  start_all(fleet);
  send_until_accepted(fleet);
  ASSERT_TRUE(fleet.run(kServiceTimeout, [&] { return fleet.ledger().size() == 1; }));
  fleet.lose_power(Fleet::Scope::kExecutorsRun);
  fleet.start_discovery(kGeneration, fleet.executor_list());
  start_nodes(fleet);
  EXPECT_EQ(fleet.node(0).logged("recovery: 1 attempts in doubt"), 1) << fleet.node_log(0);
  EXPECT_EQ(fleet.node(0).logged("recovery: in doubt and not repeatable: request "), 1) << fleet.node_log(0);
  EXPECT_EQ(fleet.node(0).logged(" of charge at s-"), 1) << fleet.node_log(0);
  EXPECT_EQ(fleet.node(1).logged("recovery: 0 attempts in doubt"), 1) << fleet.node_log(1);
}

// --- Disabled recovery and invalid settings ---

TEST_F(FleetStore, RecoveryIsOffWithoutItsVariable) {
  FleetPlan off = plan();
  off.recovery = false;
  off.nodes = 1;
  FleetPlan on = off;
  on.recovery = true;
  double threads[2] = {};
  for (const bool enabled : {false, true}) {
    Fleet fleet(enabled ? on : off);
    start_all(fleet);
    EXPECT_TRUE(serves_requests(fleet));
    EXPECT_EQ(fleet.node(0).logged("recovery"), enabled ? 1 : 0) << fleet.node_log(0);
    EXPECT_EQ(std::filesystem::exists(fleet.store_folder(0)), enabled);
    // Each connection has its own thread: the minimum is the node's own threads, once all connections have
    // ended.
    double min_threads = 1000;
    fleet.run(kServiceTimeout, [&] {
      min_threads = std::min(min_threads, fleet.node(0).threads());
      return false;
    });
    threads[enabled] = min_threads;
  }
  EXPECT_EQ(threads[true], threads[false] + 1);  // the thread that writes to the store
}

TEST_F(FleetStore, InvalidSettingsFailStartAndIgnoreReload) {
  FleetPlan wrong = plan();
  wrong.nodes = 1;
  wrong.recovery_tables = "size = 1\n";
  Fleet refused(wrong);
  refused.start_executors();
  refused.start_discovery(kGeneration, refused.executor_list());
  refused.start_node(0);
  EXPECT_TRUE(refused.run(kServiceTimeout, [&] { return refused.node(0).ended(); }));
  EXPECT_EQ(refused.node(0).logged("recovery-0.toml: store.size: not known"), 1) << refused.node_log(0);

  wrong.recovery_tables.clear();
  Fleet fleet(wrong);
  start_all(fleet);
  std::ofstream(fleet.recovery_settings_path(0), std::ios::app) << "[membership]\nshort_list_share = 7\n";
  fleet.reload_node(0);
  EXPECT_TRUE(fleet.run(kServiceTimeout, [&] {
    return fleet.nodes_that_logged("membership.short_list_share: between 0 and 1") == 1;
  })) << fleet.node_log(0);
  EXPECT_EQ(fleet.node(0).logged("reload: nothing changes"), 1);
  EXPECT_TRUE(serves_requests(fleet));
}

}  // namespace
}  // namespace canvasstage::lab::fleet
