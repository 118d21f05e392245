// Tests parts of the node with system calls that fail as Linux documents. This program is linked with
// lab/faults.
#include <gtest/gtest.h>

#include <cstdlib>

#include "faults/fault_table.h"
#include "helpers.h"
#include "net/executor.h"

namespace canvasstage {
namespace {

using lab::faults::Fault;
using lab::faults::FaultSwitches;

constexpr int kRepeats = 200;

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
struct ConnectionPair {
  ConnectionPair() : listener(net::listen_on("127.0.0.1:0")), connected(net::new_socket()) {
    if (net::connect_to(connected, listener.address(), std::chrono::seconds(10)) != 0)
      throw std::runtime_error("cannot connect");
    std::string peer;
    accepted = net::accept_from(listener, peer);
  }
  net::Socket listener, connected, accepted;
};

struct SystemCalls : testing::Test {
  SystemCalls() { switches().clear(); }
  ~SystemCalls() override { switches().clear(); }
};

// Guards against treating EINTR from a peek as "no bytes" or "still connected": received bytes would be
// closed unread, and an attempt would begin for a client that has disconnected.
TEST_F(SystemCalls, InterruptedPeekIsRepeated) {
  ConnectionPair pair;
  ASSERT_TRUE(pair.connected.write("x", {}));
  ASSERT_TRUE(pair.accepted.wait_readable(std::chrono::seconds(10)));
  switches().set(Fault::kInterrupted, 0.5);
  char byte;
  for (int i = 0; i < kRepeats; ++i) EXPECT_EQ(pair.accepted.read(&byte, 1, MSG_PEEK | MSG_DONTWAIT), 1) << i;
  EXPECT_EQ(pair.accepted.read(&byte, 1, MSG_DONTWAIT), 1);
  EXPECT_GT(switches().injected(Fault::kInterrupted), 0u);
  for (int i = 0; i < kRepeats; ++i) EXPECT_FALSE(pair.accepted.peer_closed()) << i;
  switches().clear();
  pair.connected = net::Socket();
  ASSERT_TRUE(pair.accepted.wait_readable(std::chrono::seconds(10)));
  switches().set(Fault::kInterrupted, 0.5);
  for (int i = 0; i < kRepeats; ++i) EXPECT_TRUE(pair.accepted.peer_closed()) << i;
}

// Guards against counting local resource errors (no descriptor, buffer or port) as failures of the executor.
TEST_F(SystemCalls, LocalErrorIsNoExecutorFailure) {
  for (const Fault fault : {Fault::kSocket, Fault::kConnect}) {
    Listener executor;
    Parts parts(1);
    parts.core.node.client_opened(kNow, 5);
    parts.core.node.request_arrived(kNow, 5, "id", 0, kNow + 5 * kSecond, 0, 1, nullptr);
    auto connection = std::make_shared<net::ExecutorConnection>(parts.context, std::chrono::seconds(1));
    connection->start_attempt(1, executor.address, parts.make_request(Running::request_text("lookup", "id")),
                              net::now() + 5 * kSecond);
    switches().set(fault, 1);
    net::start_thread([connection] { connection->run(); });
    const Executor& state = parts.core.node.policy().executors[0];
    parts.run_until([&] { return state.open_attempts == 0 || parts.core.effects.attempts.size() > 1; });
    EXPECT_EQ(state.failures.value, 0);
    EXPECT_EQ(state.unreachable_until, 0);
    switches().clear();
    connection->abandon();
    EXPECT_TRUE(net::wait_for_threads(std::chrono::seconds(2)));
  }
}

}  // namespace
}  // namespace canvasstage
