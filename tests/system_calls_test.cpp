// The node's parts over system calls that fail as Linux documents; this program is linked with lab/faults.
#include <gtest/gtest.h>

#include <cstdlib>

#include "faults/fault_table.h"
#include "helpers.h"
#include "net/executor.h"

namespace canvasstage {
namespace {

using lab::faults::Fault;
using lab::faults::FaultSwitches;

constexpr int kTimes = 200;

FaultSwitches& switches() {
  static FaultSwitches all([] {
    std::string name = "/tmp/canvasstage-faults-XXXXXX";
    ::close(mkstemp(name.data()));
    setenv(lab::faults::kTableVariable, name.c_str(), 1);
    return name;
  }());
  return all;
}

// Both ends of a connection.
struct Pair {
  Pair() : listener(net::listen_on("127.0.0.1:0")), far(net::new_socket()) {
    if (net::connect_to(far, listener.address(), std::chrono::seconds(10)) != 0)
      throw std::runtime_error("cannot connect");
    std::string peer;
    near = net::accept_from(listener, peer);
  }
  net::Socket listener, far, near;
};

struct SystemCalls : testing::Test {
  SystemCalls() { switches().clear(); }
  ~SystemCalls() override { switches().clear(); }
};

// What has come would else be closed unread, and an attempt begin for a client that left.
TEST_F(SystemCalls, ALookAtAConnectionIsRepeatedWhereItIsInterrupted) {
  Pair pair;
  ASSERT_TRUE(pair.far.write("x", {}));
  ASSERT_TRUE(pair.near.readable_within(std::chrono::seconds(10)));
  switches().set(Fault::kInterrupted, 0.5);
  char byte;
  for (int i = 0; i < kTimes; ++i) EXPECT_EQ(pair.near.read(&byte, 1, MSG_PEEK | MSG_DONTWAIT), 1) << i;
  EXPECT_EQ(pair.near.read(&byte, 1, MSG_DONTWAIT), 1);
  EXPECT_GT(switches().injected(Fault::kInterrupted), 0u);
  for (int i = 0; i < kTimes; ++i) EXPECT_FALSE(pair.near.peer_closed()) << i;
  switches().clear();
  pair.far = net::Socket();
  ASSERT_TRUE(pair.near.readable_within(std::chrono::seconds(10)));
  switches().set(Fault::kInterrupted, 0.5);
  for (int i = 0; i < kTimes; ++i) EXPECT_TRUE(pair.near.peer_closed()) << i;
}

// No descriptor, buffer or port is to be had here: that says nothing of the executor.
TEST_F(SystemCalls, TroubleOfThisMachineIsNotHeldAgainstTheExecutor) {
  for (const Fault fault : {Fault::kSocket, Fault::kConnect}) {
    Listener executor;
    Parts parts(1);
    parts.core.node.client_opened(kNow, 5);
    parts.core.node.request_arrived(kNow, 5, "id", 0, kNow + 5 * kSecond, 0, 1, nullptr);
    auto connection = std::make_shared<net::ExecutorConnection>(parts.world, std::chrono::seconds(1));
    connection->launch(1, executor.address, parts.submission(Running::job("lookup", "id")),
                       net::now() + 5 * kSecond);
    switches().set(fault, 1);
    net::start_thread([connection] { connection->run(); });
    const Executor& one = parts.core.node.policy().executors[0];
    parts.run_until([&] { return one.open_attempts == 0 || parts.core.effects.launches.size() > 1; });
    EXPECT_EQ(one.failures.value, 0);
    EXPECT_EQ(one.unreachable_until, 0);
    switches().clear();
    connection->give_up();
    EXPECT_TRUE(net::threads_end_within(std::chrono::seconds(2)));
  }
}

}  // namespace
}  // namespace canvasstage
