// The core of a node, without I/O: maps the ids of requests, attempts and executors to indices, counts the
// connections and passes each event to Policy, which decides. Runs on the reducer's thread; each public
// method handles one event.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/effects.h"
#include "core/membership_freshness.h"
#include "core/rule_monitor.h"
#include "core/settings.h"
#include "policy.h"
#include "recovery/node_recovery.h"

namespace canvasstage {

// Resources that the platform gives a node.
struct Platform {
  int max_descriptors = 0;
  // The platform holds the clients' listening socket: another process can accept the connections that this
  // one does not.
  bool shared_listener = false;
  int console_descriptors = 0;  // for the console address, which serves the metrics; 0: no console
};

// Encode an open request as JSON for the successor process of this node, and decode it there. Throws BadInput
// where the JSON is invalid.
std::string encode_request(const TransferredRequest& request, Time now);
TransferredRequest decode_request(const JsonValue& from, Time now);

// Returns the FNV-1a hash of a text (64 bits), which is the same at every node and in every process; never 0.
std::uint64_t stable_hash(std::string_view text);

// One node. Times are readings of this process's clock unless stated otherwise.
class Node final : public Host {
 public:
  // `cached_version`: the version of the stored executor list that is passed in next; 0: there is none.
  Node(Settings settings, Terms terms, Platform platform, std::uint32_t seed, Effects& effects, Time now,
       std::string discovery_address, std::uint64_t cached_version = 0);

  void client_opened(Time now, Id client);
  // Abandons the client's open request: its connection is closed.
  void client_closed(Time now, Id client);
  // `deadline` is counted from when the client sent the request; `use_case` is an index into the settings.
  // Rejects a request whose id is open already or may still be at an executor: forwarding it would execute a
  // second copy.
  void request_arrived(Time now, Id client, const std::string& id, int use_case, Time deadline,
                       double work_hint, int width, PayloadRef payload, std::uint64_t data_key = 0,
                       const std::string& idempotency_key = {});

  // Counts a request that was shed before it was read, because no buffer was free.
  void request_shed_unread(int use_case);

  void attempt_accepted(Time now, Id attempt);
  void attempt_started(Time now, Id attempt);
  void attempt_progressed(Time now, Id attempt, double share_done);
  // `connection_reusable`: the connection can carry another attempt.
  void attempt_ended(Time now, Id attempt, Outcome outcome, PayloadRef result, bool connection_reusable,
                     const Load* load);

  // The executor list: one call of executor_listed for each executor, then membership_received.
  void executor_listed(Time now, std::string_view id, std::string_view address, std::string_view zone,
                       std::string_view machine_kind, int cell, Lifecycle lifecycle, Time started_at,
                       double weight = -1);
  void membership_received(Time now, MembershipUpdate update, std::uint64_t version);
  // Decides what a list from discovery may change; called before executor_listed. `call_ended`: the list came
  // on a call that is over.
  recovery::ListVerdict check_list(Time now, const recovery::ListSummary& summary, bool call_ended);
  // Returns whether the node lists this executor with a process that started no later than `started_at`.
  bool lists_executor(std::string_view id, Time started_at) const;
  // Defers the removal of the members that the next list does not name.
  void defer_removals();
  // Calls discovery again at once for the whole list: discovery may have lost its state.
  void refetch_membership(Time now);
  void membership_call_failed(Time now);
  void watch_timed_out(Time now);
  void discovery_moved(Time now, std::string address);
  // Applies a settings file read at SIGHUP. Throws BadInput, and changes nothing, if it has too many use
  // cases.
  void settings_changed(Time now, Settings settings, Terms terms);
  // Counts a settings file that could not be read at SIGHUP.
  void reload_rejected() { ++metrics_.reloads_rejected; }

  // --- Handover between two processes of one node ---
  // Sets the share of the descriptors that this process may use, as another process starts or ends beside it.
  void set_descriptor_share(Time now, int sixteenths);
  // The attempt waits for its executor and its thread reads no more; `read_state` is how much of the answer
  // has been read.
  void attempt_suspended(Time now, Id attempt, PayloadRef read_state);
  // Take over what the predecessor had learned (in the form of encode_knowledge()), its idle connections and
  // its open requests. `as_of`: when the knowledge was encoded, in this process's time. Throws BadInput if
  // the knowledge is invalid.
  void adopt_knowledge(Time now, const JsonValue& knowledge, Time as_of);
  // Returns the attempt id that stands for the idle connection; 0: the connection is not to be used.
  Id adopt_connection(Time now, const std::string& executor, const std::string& address, Time idle_since);
  // Appends the ids of the request's pending attempts, in their order. Returns false, and appends none, if
  // the request cannot be taken over.
  bool adopt_request(Time now, Id client, TransferredRequest request, std::vector<Id>& attempts);
  // Encodes what the node has learned about executors, use cases and zones as JSON.
  std::string encode_knowledge(Time now);

  // --- Recovery from a power loss, where the operator has enabled it ---
  // Called before any other event. The caller owns `recovery`, which must outlive the node.
  void use_recovery(recovery::NodeRecovery& recovery) { recovery_ = &recovery; }
  // Restores what the node had learned before a power loss, decayed by its `age`. Called after the executors
  // are listed. Throws BadInput if the knowledge is invalid.
  void restore_learned(Time now, const JsonValue& knowledge, Time age);
  // Handles a peer's answer; `peer` is an index into the configured peers. Throws BadInput if the answer is
  // invalid or comes from another node.
  void peer_answered(Time now, std::size_t peer, const JsonValue& answer);
  void peer_failed(Time now, std::size_t peer);
  // Adds executors from a peer's list. Throws BadInput if the list is invalid.
  void peer_list_received(Time now, std::size_t peer, const JsonValue& list);
  // Returns the peer to ask for its executor list; none if discovery has sent a list or no peer has one.
  std::optional<std::size_t> peer_to_ask_for_list() const;
  // Encodes the summary that the node publishes to its peers.
  std::string encode_peer_summary(Time now) const;
  // Encodes the executor list that the node holds, in discovery's format.
  std::string encode_membership() const;

  void timer_due(Time now, std::uint64_t token);
  // The listener is closed: no more clients can connect.
  void listener_closed(Time now);
  // Begins the stop that the platform asked for: finishes the open requests, serves those that still arrive,
  // then ends.
  void stop(Time now);

  const Terms& terms() const { return terms_; }
  std::uint64_t membership_version() const { return membership_version_; }
  const Policy& policy() const { return policy_; }
  int descriptors_used() const { return static_cast<int>(clients_.size()) + executor_connection_count_; }

  void start_attempt(int request, int executor, Time give_up_at) override;
  void shed(int request, Time retry_after) override;
  void fail(int request) override;
  void cancel_attempt(int request, int attempt) override;
  void subscribe_to_membership() override;
  void wake_at(Time when, std::uint64_t token) override;

 private:
  // An open request. Its slot is reused once the request is answered and all its attempts have ended.
  struct RequestSlot {
    Id client = 0;
    std::string id;
    std::string idempotency_key;  // set only where attempts are logged
    PayloadRef payload;
    std::vector<Id> attempts;
    int use_case = 0;
    Time deadline = 0;  // the deadline that the client gave
    int pending_attempts = 0;
    int invalid_request_count = 0;        // attempts that ended with kInvalidRequest
    std::optional<Outcome> last_outcome;  // outcome of the attempt that ended last
    bool ended = true;
  };
  struct Client {
    int request = -1;  // the open request's slot; -1: none
    Time idle_since = 0;
    bool sent_request = false;  // has sent a complete request
    bool closing = false;       // has been told to close
    bool refused = false;       // exceeds the client limit: its request is shed unread
  };
  // A membership change counts as delivered to the node 6 s after a call failed, whatever the next call does.
  // This timeout is short because the next call may be silent too.
  static constexpr Time kFirstCallTimeout = 2 * kSecond;
  static constexpr std::uint64_t kAttemptTokenBit = std::uint64_t{1} << 63;  // marks an attempt's timer
  struct RunningAttempt {
    int request, number, executor;  // indices of the slot, of the attempt in the slot, of the executor
    bool cancelled = false, not_sent = false;
    PayloadRef read_state =
        nullptr;  // set while the attempt is suspended: the part of the answer read so far
  };
  struct IdleConnection {
    Id attempt;  // the one that used it last
    Time idle_since;
  };
  struct ExecutorInfo {
    std::string id, address;
    Time listed_started_at = 0;                   // process start time as discovery gave it
    Time started_at = 0;                          // the same time, bounded by what this node has observed
    std::deque<IdleConnection> idle_connections;  // the most recently used at the back
    bool removal_deferred = false;                // missing from a list that is unexpectedly short
    bool restored = false;                        // learned state is from before a power loss
  };

  int add_request(Id client, const std::string& id, int use_case, Time deadline, PayloadRef payload);
  int find_or_add_use_case(const std::string& name, UseCase terms, const std::string& machine_kind);
  void begin_handover(Time now);
  void hand_over_if_ready(int request);
  void hand_over_idle_connections(int executor);
  void answer(int request, Answer answer, const PayloadRef& result, Time retry_after);
  void release_if_finished(int request);
  void withdraw_attempts(int request);
  void close_idle_connections(int executor);
  std::deque<IdleConnection>::iterator close_idle_connection(int executor,
                                                             std::deque<IdleConnection>::iterator connection);
  bool close_longest_idle_connection();
  bool close_longest_idle_client();
  bool finishes_partial_requests() const;
  void force_close_clients();
  void make_room_for_client(Id new_client);
  void enforce_descriptor_limit();
  static int connection_limit(Platform platform);
  static Time idle_connection_timeout(const Settings& settings);
  static Settings policy_settings(Settings settings, Time idle_timeout);
  void call_discovery(Time timeout);
  bool logs_attempts(int use_case) const;
  bool continue_earlier_attempt(Time now, int request, double work_hint, int width, std::uint64_t data_key);
  bool shed_without_record(int request);
  bool shed_before_peers_answered(Time now, int request);
  bool may_repeat(Time now, const recovery::AttemptRecord& earlier, const UseCase& use_case,
                  int executor) const;
  int find_or_add_executor(Time now, const recovery::AttemptRecord& attempt);
  std::shared_ptr<const recovery::AttemptRecord> log_attempt(Id attempt, int request, int executor);
  void record_attempt_end(Id attempt, bool may_have_run, Outcome outcome);
  std::size_t member_count() const;
  void mark_list_changed() { list_unsaved_ = list_unpublished_ = true; }
  void publish_to_peers(Time now);
  void open_listener_if_settled(Time now);
  void remove_deferred_members(Time now);
  void tick_recovery(Time now);
  void save_list(Time now);
  void save_learned(Time now);
  void end_not_sent(Id attempt, RunningAttempt& running);
  void attempt_timer_due(Time now, Id attempt);
  void count_answer(int use_case, Answer answer);
  void report_violation(const std::optional<RuleViolation>& violation, const std::string& id);
  void log_unsuccessful_answer(int request, Answer answer);
  void log_retry(int request, int executor);
  void update_rule_monitor();
  void add_use_case_metrics();
  void publish_metrics(Time now);
  void open_listener();
  void close_idle_clients();
  void tick(Time now);
  void finish_if_done();

  Terms terms_;
  Settings settings_;  // as given, with indices that are valid in this process
  const Platform platform_;
  Effects& effects_;
  Time now_;             // time of the event being handled
  int max_descriptors_;  // for client and executor connections together
  Time idle_connection_timeout_;
  std::map<Id, Client> clients_;
  std::deque<std::pair<Time, Id>> closing_clients_;  // with the time to close each by force, in order
  std::map<Id, RunningAttempt> running_attempts_;
  std::unordered_map<std::string, int> executor_indices_;
  std::vector<ExecutorInfo> executors_;  // same indices as policy_.executors
  std::vector<RequestSlot> request_slots_;
  std::unordered_set<std::string> open_request_ids_;  // the ids of the requests in the slots in use
  std::vector<int> free_slots_;
  RuleMonitor rule_monitor_;
  int executor_connection_count_ = 0;   // busy and idle
  Time discovery_called_at_ = -kNever;  // start of the call that is still without an answer; -kNever: none
  MembershipFreshness membership_freshness_;
  int consecutive_silent_calls_ = 0;  // calls and watches that timed out in a row
  Id last_attempt_ = 0;
  std::string discovery_address_;
  std::uint64_t membership_version_;
  Time stop_deadline_ = kNever;
  bool listening_ = false, has_membership_ = false;
  bool handing_over_ = false;
  bool draining_clients_ = false, closing_idle_clients_ = false, listener_closed_ = false, finished_ = false;
  recovery::NodeRecovery* recovery_ = nullptr;
  bool list_unsaved_ = false, list_unpublished_ = true;
  std::uint64_t list_digest_ = 0;     // digest of the executor list published last
  bool list_from_discovery_ = false;  // discovery has sent a list to this process
  bool list_from_peer_ = false;
  Time publish_to_peers_at_ = 0;
  Time save_list_at_ = 0, save_learned_at_ = 0, expire_attempts_at_ = 0;
  Metrics metrics_;
  std::vector<std::size_t> metrics_indices_;  // for each use case, its index in metrics_.use_cases
  Policy policy_;
};

}  // namespace canvasstage
