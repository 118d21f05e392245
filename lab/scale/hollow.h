// A real node whose Effects only count calls, without sockets or threads. Time is virtual and advanced by the
// caller.
#pragma once

#include <cstdlib>
#include <memory>
#include <new>
#include <queue>
#include <vector>

#include "core/node.h"
#include "scale/scale.h"

namespace canvasstage::lab {

// An allocator that keeps the lab's own containers out of bytes_in_use().
template <class T>
struct Uncounted {
  using value_type = T;
  Uncounted() = default;
  template <class U>
  Uncounted(const Uncounted<U>&) {}
  T* allocate(std::size_t n) {
    void* const at = std::malloc(n * sizeof(T));
    if (at == nullptr) throw std::bad_alloc();
    return static_cast<T*>(at);
  }
  void deallocate(T* at, std::size_t) { std::free(at); }
  bool operator==(const Uncounted&) const { return true; }
};

// Kinds of events that a node receives.
enum class EventKind {
  kArrival,   // a request on a new connection; an attempt starts if an executor has capacity left
  kAccepted,  // an attempt, by its executor
  kStarted,
  kProgressed,
  kEnded,        // an attempt succeeded, and the client is answered
  kOneChange,    // a delta with one executor
  kZoneRemoved,  // a delta that removes up to 110 executors of one zone, at most a quarter of all
  kSnapshotList,
  kReload,        // with the settings in force
  kLateArrival,   // as kArrival, with the held requests queued before it
  kRequestTimer,  // the timer of one request
  kQueuedTimer,   // the shared timer of all requests without an attempt
  kPolicyTick,
  kNodeTick,
  kOtherTimer,
};
constexpr std::size_t kEventKinds = 15;
const char* name_of(EventKind kind);

// Totals over the events of one kind.
struct EventTotals {
  std::int64_t events = 0, nanoseconds = 0;
  std::int64_t messages = 0;  // attempts started or abandoned, answers, connections closed, list requests
  std::int64_t timers = 0;    // timers requested
  double per_event(std::int64_t total) const {
    return events > 0 ? static_cast<double>(total) / static_cast<double>(events) : 0;
  }
};

// Work of request timers as it can be observed from outside: scanning an executor updates its queue_wait to
// the time of the event, and picking a zone updates the zones' unreachable_executors. Events at the same time
// are counted once.
struct ScanCounts {
  std::int64_t events = 0, executors = 0, picks = 0;
};

// Runs one Node on virtual time. Used from one thread.
class HollowNode final : public Effects {
 public:
  explicit HollowNode(const Size& size);

  // Creates the node and sends it its first list. All allocations from here on are the node's own.
  void start(int max_requests, std::uint32_t seed);
  void send_snapshot();
  void send_one_change();
  void remove_zone();
  void reload();
  // Sends one request; take_started_attempts() returns the attempts that result.
  void send_request();
  void accept_and_start(Id attempt);  // progress reports follow if the size has them
  // Runs the timers due within `duration`. If `scans` is given, the scans of request timers are counted as
  // well; callers then ignore the times.
  void run(Time duration, std::array<EventTotals, kEventKinds>& sums, ScanCounts* scans = nullptr);
  void deliver(EventKind kind, const std::vector<Id>& attempts, EventTotals& totals);
  // Runs `action` `times` times between two clock readings and adds time, messages and timers to `totals`.
  template <class Action>
  void measure_events(EventTotals& totals, std::int64_t times, Action action);

  std::vector<Id> take_started_attempts();  // since the last call
  Node& node() { return *node_; }

 private:
  struct Timer {
    Time when;
    std::uint64_t serial, token;
    bool operator>(const Timer& other) const {
      return when != other.when ? when > other.when : serial > other.serial;
    }
  };
  void list_executor(int executor, Lifecycle lifecycle);
  void fire_timer(std::uint64_t token);
  void count_scans(ScanCounts& scans);
  EventKind kind_of(std::uint64_t token) const;

  void answer(Id, Answer, const PayloadRef&, Time, ConnectionDisposition) override { ++messages_; }
  void close_client(Id, bool) override { ++messages_; }
  void close_client_now(Id, bool) override { ++messages_; }
  void start_attempt(const AttemptOrder& order) override;
  void abandon_attempt(Id attempt) override;
  void withdraw_attempt(Id) override {}  // every attempt is sent at once
  bool is_connection_open(Id) override { return true; }
  void watch_membership(const std::string&, std::uint64_t, Time) override { ++messages_; }
  void wake_at(Time when, std::uint64_t token) override;
  void open_listener() override {}
  void close_listener() override {}
  void publish_metrics(const Metrics&) override {}
  bool has_successor() override { return false; }
  void begin_handover(std::string) override {}
  void hand_over_request(const TransferredRequest&) override {}
  void hand_over_connection(Id, const std::string&, const std::string&, Time) override {}
  void finish() override {}

  const Size size_;
  Settings settings_;
  Terms terms_;
  Time now_ = 1000000 * kSecond;  // an arbitrary start
  std::int64_t messages_ = 0, timers_requested_ = 0;
  std::uint64_t timer_serial_ = 0, generation_ = 0;
  Id last_client_ = 0;
  std::vector<Id, Uncounted<Id>> started_attempts_;
  std::priority_queue<Timer, std::vector<Timer, Uncounted<Timer>>, std::greater<>> timers_;
  PayloadRef payload_;
  std::unique_ptr<Node> node_;
};

// CPU time of the calling thread.
std::int64_t thread_nanoseconds();

template <class Action>
void HollowNode::measure_events(EventTotals& totals, std::int64_t times, Action action) {
  const std::int64_t messages = messages_, timers = timers_requested_, started = thread_nanoseconds();
  for (std::int64_t n = 0; n < times; ++n) action(n);
  totals.nanoseconds += thread_nanoseconds() - started;
  totals.events += times;
  totals.messages += messages_ - messages;
  totals.timers += timers_requested_ - timers;
}

}  // namespace canvasstage::lab
