// One real node behind Effects that count: no sockets, no threads; time is what the caller says.
#pragma once

#include <cstdlib>
#include <memory>
#include <new>
#include <queue>
#include <vector>

#include "core/node.h"
#include "scale/scale.h"

namespace canvasstage::lab {

// Keeps the lab's own containers out of the count of bytes.
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

// What is told to a node, by kind.
enum class Told {
  kArrival,  // of a submission, over a new connection; it is launched where anybody has room
  kTaken,    // a launch
  kStarted,
  kProgressed,
  kEnded,      // satisfied, and its client is answered
  kOneChange,  // a list
  kZoneGone,   // a list without 110 executors of one zone, a quarter of all at most
  kWholeList,
  kReload,       // of the settings in force
  kLateArrival,  // as the first, behind the held jobs
  kLook,         // a timer of one submission
  kHeldTimer,    // of all that have no launch
  kModuleTick,
  kNodeTick,
  kOtherTimer,
};
constexpr std::size_t kToldKinds = 15;
const char* name_of(Told kind);

// Sums over the events of one kind.
struct Sum {
  std::int64_t events = 0, nanoseconds = 0;
  std::int64_t messages = 0;  // launches, answers, given up, connections closed, calls for the list
  std::int64_t timers = 0;    // asked for
  double each(std::int64_t of) const {
    return events > 0 ? static_cast<double>(of) / static_cast<double>(events) : 0;
  }
};

// What looks at executors did, where it can be seen from outside: a look brings an executor's last wait up to
// the time of the event, a pick that of the zones. Events at one and the same time are counted once.
struct Looks {
  std::int64_t events = 0, executors = 0, picks = 0;
};

class HollowNode final : public Effects {
 public:
  explicit HollowNode(const Size& size);

  // Makes the node, with its first list. What is allocated from then on is the node's own.
  void start(int jobs, std::uint32_t seed);
  void list_all();
  void list_one();
  void list_zone_gone();
  void reload();
  // Hands in one; the launches that came of it are in launched().
  void arrive();
  void open(Id launch);  // taken and begun; it sends notes if there are any
  // The timers up to then; where `looks` is given what they do is counted in place of being timed.
  void run(Time span, std::array<Sum, kToldKinds>& sums, Looks* looks = nullptr);
  void told(Told kind, const std::vector<Id>& launches, Sum& sum);
  // Does it `times` times on one reading of the clock and counts what comes of it.
  template <class Do>
  void timed(Sum& sum, std::int64_t times, Do act);

  std::vector<Id> take_launched();
  Node& node() { return *node_; }

 private:
  struct Timer {
    Time when;
    std::uint64_t serial, token;
    bool operator>(const Timer& other) const {
      return when != other.when ? when > other.when : serial > other.serial;
    }
  };
  void list(int executor, Lifecycle standing);
  void due(std::uint64_t token);
  void count_looks(Looks& looks);
  Told kind_of(std::uint64_t token) const;

  void answer(Id, Answer, const PayloadRef&, Time, ConnectionDisposition) override { ++messages_; }
  void close_client(Id, bool) override { ++messages_; }
  void close_client_now(Id, bool) override { ++messages_; }
  void start_attempt(const AttemptOrder& order) override;
  void abandon_attempt(Id launch) override;
  void withdraw_attempt(Id) override {}  // each launch has gone at once
  bool is_connection_open(Id) override { return true; }
  void watch_membership(const std::string&, std::uint64_t, Time) override { ++messages_; }
  void wake_at(Time when, std::uint64_t token) override;
  void open_listener() override {}
  void close_listener() override {}
  void publish(const Metrics&) override {}
  bool has_successor() override { return false; }
  void begin_handover(std::string) override {}
  void hand_over_request(const TransferredRequest&) override {}
  void hand_over_connection(Id, const std::string&, const std::string&, Time) override {}
  void finish() override {}

  const Size size_;
  Settings settings_;
  Terms terms_;
  Time now_ = 1000000 * kSecond;  // some day or other
  std::int64_t messages_ = 0, timers_asked_ = 0;
  std::uint64_t serial_ = 0, version_ = 0;
  Id last_client_ = 0;
  std::vector<Id, Uncounted<Id>> launched_;
  std::priority_queue<Timer, std::vector<Timer, Uncounted<Timer>>, std::greater<>> timers_;
  PayloadRef payload_;
  std::unique_ptr<Node> node_;
};

std::int64_t thread_nanoseconds();

template <class Do>
void HollowNode::timed(Sum& sum, std::int64_t times, Do act) {
  const std::int64_t messages = messages_, asked = timers_asked_, from = thread_nanoseconds();
  for (std::int64_t n = 0; n < times; ++n) act(n);
  sum.nanoseconds += thread_nanoseconds() - from;
  sum.events += times;
  sum.messages += messages_ - messages;
  sum.timers += timers_asked_ - asked;
}

}  // namespace canvasstage::lab
