// Real nodes whose store cannot be used, or which run without recovery.
#include <gtest/gtest.h>
#include <signal.h>
#include <sqlite3.h>

#include <filesystem>
#include <fstream>

#include "fleet_helpers.h"

namespace canvasstage::lab::fleet {
namespace {

constexpr double kAnswered = 10;  // seconds

struct FleetStore : testing::Test {
  static FleetPlan plan() {
    FleetPlan plan = small_fleet();
    plan.nodes = 2;
    plan.programs.node = plan.programs.node_on_lossy_disk;
    return plan;
  }
  // Lets the nodes store a list, takes their power and starts discovery again.
  void fill_and_stop(Fleet& fleet) {
    start_all(fleet);
    EXPECT_TRUE(serves(fleet));
    wait_for_saved_lists(fleet);
    fleet.lose_power(Fleet::Scope::kExecutorsRun);
    fleet.start_discovery(kGeneration, fleet.listed());
  }
  static std::filesystem::path file(const Fleet& fleet, int node = 0) {
    return std::filesystem::path(fleet.store_folder(node)) / "recovery.db";
  }
  static bool serves(Fleet& fleet) {
    constexpr const char* kUseCases[] = {kKeyedUseCase, kIdempotentUseCase, kAtMostOnceUseCase};
    int served = 0, wanted = 0;
    for (int node = 0; node < fleet.plan().nodes; ++node)
      for (const char* const use_case : kUseCases) {
        // A node that has just started may refuse a request. The request is then repeated, as clients do.
        ++wanted;
        send_until_served(fleet, node, use_case, served);
      }
    return fleet.run(kAnswered, [&] { return served == wanted; });
  }
  static void send_until_served(Fleet& fleet, int node, const char* use_case, int& served) {
    static int keys = 0;
    const std::string key = "store-" + std::to_string(++keys);
    fleet.send(node, use_case, key, 5, [&fleet, &served, node, use_case](int status) {
      if (status == 200) ++served;
      if (status == 503) send_until_served(fleet, node, use_case, served);
    });
  }
  // Repeats the request until the node accepts it: a node that has just started refuses requests that it
  // does not expect to serve in time.
  static void send_until_taken(Fleet& fleet) {
    fleet.send(0, kAtMostOnceUseCase, "", 8, [&fleet](int status) {
      if (status == 503) send_until_taken(fleet);
    });
  }
  // Expects that node 0 logs one line with the file that cannot be used and the reason, and that both nodes
  // serve.
  static void expect_set_aside(Fleet& fleet, const std::string& reason) {
    start_nodes(fleet);
    EXPECT_EQ(fleet.node(0).logged("recovery: store is"), 1) << fleet.node_log(0);
    EXPECT_EQ(fleet.node(0).logged("recovery: store is " + reason), 1) << fleet.node_log(0);
    EXPECT_EQ(fleet.node(0).logged(fleet.store_folder(0)), 1) << fleet.node_log(0);
    EXPECT_EQ(fleet.node(1).logged("recovery: store is"), 0) << fleet.node_log(1);
    EXPECT_TRUE(serves(fleet)) << fleet.node_log(0);
  }
  static bool moved(const Fleet& fleet) {
    return std::filesystem::exists(file(fleet).string() + ".set-aside-1") &&
           !std::filesystem::exists(file(fleet));
  }
  static void execute(const std::filesystem::path& path, const char* text) {
    sqlite3* database = nullptr;
    ASSERT_EQ(sqlite3_open(path.c_str(), &database), SQLITE_OK);
    EXPECT_EQ(sqlite3_exec(database, text, nullptr, nullptr, nullptr), SQLITE_OK) << sqlite3_errmsg(database);
    sqlite3_close(database);
  }
};

TEST_F(FleetStore, ACorruptOneIsMovedAsideAndTheNodeServes) {
  Fleet fleet(plan());
  fill_and_stop(fleet);
  std::fstream(file(fleet), std::ios::in | std::ios::out).write(std::string(2000, '\xff').data(), 2000);
  expect_set_aside(fleet, "corrupt: ");
  EXPECT_TRUE(moved(fleet));
  // The next start creates a store again, and the file that was moved aside is kept.
  fleet.stop_node(0);
  start_nodes(fleet);
  EXPECT_EQ(fleet.node(0).logged("recovery: store is"), 0) << fleet.node_log(0);
  EXPECT_TRUE(std::filesystem::exists(file(fleet).string() + ".set-aside-1"));
  EXPECT_TRUE(std::filesystem::exists(file(fleet)));
}

TEST_F(FleetStore, ATruncatedOneIsMovedAsideAndTheNodeServes) {
  Fleet fleet(plan());
  fill_and_stop(fleet);
  std::filesystem::resize_file(file(fleet), 5000);
  std::filesystem::remove(file(fleet).string() + "-wal");
  expect_set_aside(fleet, "corrupt: ");
  EXPECT_TRUE(moved(fleet));
}

TEST_F(FleetStore, OneOfAnotherVersionIsMovedAsideAndTheNodeServes) {
  Fleet fleet(plan());
  fill_and_stop(fleet);
  execute(file(fleet), "PRAGMA user_version=9");
  expect_set_aside(fleet, "of another version: ");
  EXPECT_TRUE(moved(fleet));
}

TEST_F(FleetStore, AnotherNodesStaysAndTheNodeServes) {
  Fleet fleet(plan());
  fill_and_stop(fleet);
  execute(file(fleet), "UPDATE node SET name='n7'");
  expect_set_aside(fleet, "another node's: ");
  EXPECT_TRUE(std::filesystem::exists(file(fleet)));
}

TEST_F(FleetStore, AReadOnlyOneStaysAndTheNodeServes) {
  FleetPlan read_only = plan();
  bool fault = false;
  read_only.environment = [&fault](int node) {
    return fault && node == 0 ? std::vector<std::string>{"LAB_DISK_FAULT=readonly"}
                              : std::vector<std::string>{};
  };
  Fleet fleet(read_only);
  fill_and_stop(fleet);
  fault = true;
  expect_set_aside(fleet, "read-only: ");
  EXPECT_TRUE(std::filesystem::exists(file(fleet)));
}

// The records in the store of a full disk restrict repeats, and the disk may have room again. Until the
// store can be read, the node accepts no request with an idempotency key.
TEST_F(FleetStore, AFullDiskLetsNoKeyGoAndTheNodeServesTheRest) {
  FleetPlan full = plan();
  bool fault = false;
  full.environment = [&fault](int node) {
    return fault && node == 0 ? std::vector<std::string>{"LAB_DISK_FAULT=full"} : std::vector<std::string>{};
  };
  Fleet fleet(full);
  fill_and_stop(fleet);
  fault = true;
  start_nodes(fleet);
  EXPECT_EQ(fleet.node(0).logged("recovery: store is"), 1) << fleet.node_log(0);
  EXPECT_EQ(fleet.node(0).logged("recovery: store is full: "), 1) << fleet.node_log(0);
  EXPECT_EQ(fleet.node(0).logged(fleet.store_folder(0)), 1) << fleet.node_log(0);
  EXPECT_TRUE(std::filesystem::exists(file(fleet)));
  int refused = 0, served = 0;
  for (int i = 0; i < 20; ++i) {
    fleet.send(0, kKeyedUseCase, "full-" + std::to_string(i), 5,
               [&](int status) { refused += status == 503; });
    send_until_served(fleet, 0, i % 2 == 0 ? kIdempotentUseCase : kAtMostOnceUseCase, served);
  }
  EXPECT_TRUE(fleet.run(kAnswered, [&] { return refused == 20 && served == 20; })) << fleet.node_log(0);
  for (int i = 0; i < 20; ++i) EXPECT_EQ(fleet.ledger().effects("full-" + std::to_string(i)), 0);
}

TEST_F(FleetStore, OneThatIsInUseByAnotherProcessStaysAndTheNodeServes) {
  Fleet fleet(plan());
  fill_and_stop(fleet);
  sqlite3* other = nullptr;
  ASSERT_EQ(sqlite3_open(file(fleet).c_str(), &other), SQLITE_OK);
  ASSERT_EQ(sqlite3_exec(other, "PRAGMA locking_mode=EXCLUSIVE; BEGIN EXCLUSIVE; SELECT * FROM node", nullptr,
                         nullptr, nullptr),
            SQLITE_OK)
      << sqlite3_errmsg(other);
  expect_set_aside(fleet, "in use by another process: ");
  EXPECT_TRUE(std::filesystem::exists(file(fleet)));
  sqlite3_close(other);
}

TEST_F(FleetStore, OneThatFillsUpWhileTheNodeServesIsALineOfTheLog) {
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
  EXPECT_TRUE(fleet.run(kAnswered, [&] { return workload.answers(200) > before + 100; }));
  workload.stop();
  EXPECT_EQ(fleet.node(0).logged("recovery: store is"), 1);
}

TEST_F(FleetStore, SingleUseAttemptsInDoubtAreCountedAndListed) {
  FleetPlan slow = plan();
  slow.run_time = 3;
  Fleet fleet(slow);
  start_all(fleet);
  send_until_taken(fleet);
  ASSERT_TRUE(fleet.run(kAnswered, [&] { return fleet.ledger().size() == 1; }));
  fleet.lose_power(Fleet::Scope::kExecutorsRun);
  fleet.start_discovery(kGeneration, fleet.listed());
  start_nodes(fleet);
  EXPECT_EQ(fleet.node(0).logged("recovery: 1 attempts in doubt"), 1) << fleet.node_log(0);
  EXPECT_EQ(fleet.node(0).logged("recovery: in doubt and not repeatable: request "), 1) << fleet.node_log(0);
  EXPECT_EQ(fleet.node(0).logged(" of charge at s-"), 1) << fleet.node_log(0);
  EXPECT_EQ(fleet.node(1).logged("recovery: 0 attempts in doubt"), 1) << fleet.node_log(1);
}

// --- Off, and wrong ---

TEST_F(FleetStore, WithoutItsVariableNothingOfRecoveryRuns) {
  FleetPlan off = plan();
  off.recovery = false;
  off.nodes = 1;
  FleetPlan on = off;
  on.recovery = true;
  double threads[2] = {};
  for (const bool enabled : {false, true}) {
    Fleet fleet(enabled ? on : off);
    start_all(fleet);
    EXPECT_TRUE(serves(fleet));
    EXPECT_EQ(fleet.node(0).logged("recovery"), enabled ? 1 : 0) << fleet.node_log(0);
    EXPECT_EQ(std::filesystem::exists(fleet.store_folder(0)), enabled);
    // Each connection has a thread of its own. Once all connections have ended, the remaining threads are
    // those of the node itself.
    double least = 1000;
    fleet.run(kAnswered, [&] {
      least = std::min(least, fleet.node(0).threads());
      return false;
    });
    threads[enabled] = least;
  }
  EXPECT_EQ(threads[true], threads[false] + 1);  // the thread that writes the store
}

TEST_F(FleetStore, SettingsThatAreWrongEndTheStartAndChangeNothingAtAReload) {
  FleetPlan wrong = plan();
  wrong.nodes = 1;
  wrong.recovery_tables = "size = 1\n";
  Fleet refused(wrong);
  refused.start_executors();
  refused.start_discovery(kGeneration, refused.listed());
  refused.start_node(0);
  EXPECT_TRUE(refused.run(kAnswered, [&] { return refused.node(0).ended(); }));
  EXPECT_EQ(refused.node(0).logged("recovery-0.toml: store.size: not known"), 1) << refused.node_log(0);

  wrong.recovery_tables.clear();
  Fleet fleet(wrong);
  start_all(fleet);
  std::ofstream(fleet.recovery_settings_path(0), std::ios::app) << "[membership]\nshort_list_share = 7\n";
  fleet.reload_node(0);
  EXPECT_TRUE(fleet.run(kAnswered, [&] {
    return fleet.nodes_that_logged("membership.short_list_share: between 0 and 1") == 1;
  })) << fleet.node_log(0);
  EXPECT_EQ(fleet.node(0).logged("reload: nothing changes"), 1);
  EXPECT_TRUE(serves(fleet));
}

}  // namespace
}  // namespace canvasstage::lab::fleet
