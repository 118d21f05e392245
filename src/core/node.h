// One node without I/O: the ids of its submissions, launches and executors, its connections by number, and
// the module that decides for it. Runs on one thread; one method for each thing that can happen.
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
#include "core/list_currency.h"
#include "core/rule_monitor.h"
#include "core/settings.h"
#include "policy.h"
#include "recovery/node_recovery.h"

namespace canvasstage {

// What the platform gives one node.
struct Platform {
  int max_descriptors = 0;
  // The clients' listening socket is held by the platform: another process may take what this one does not.
  bool shared_listener = false;
  int console_descriptors =
      0;  // descriptors of the second address, where somebody may look at the figures; 0: none
};

// An open job in words that another process of this node reads.
std::string encode_request(const TransferredRequest& job, Time now);
TransferredRequest decode_request(const JsonValue& from, Time now);

// A name's number, the same at every node and in every process; never 0.
std::uint64_t stable_hash(std::string_view text);

class Node final : public Host {
 public:
  // `roster_version`: of the remembered list that comes next; 0: there is none.
  Node(Settings settings, Terms terms, Platform platform, std::uint32_t seed, Effects& effects, Time now,
       std::string discovery, std::uint64_t roster_version = 0);

  void client_opened(Time now, Id client);
  // Whatever it has open is given up: the client has gone away.
  void client_closed(Time now, Id client);
  // `due` counts from the client's sending; `use_case` is an index of the settings. One whose id is open
  // already, or may be at an executor still, is rejected: passed on it would be a second copy.
  void request_arrived(Time now, Id client, const std::string& id, int use_case, Time due, double hint,
                       int width, PayloadRef submission, std::uint64_t key = 0,
                       const std::string& idempotency_key = {});

  // Answered before a word of it was kept, for want of a buffer.
  void request_shed_unread(int use_case);

  void attempt_accepted(Time now, Id launch);
  void attempt_started(Time now, Id launch);
  void attempt_progressed(Time now, Id launch, double share_done);
  // `kept`: its connection can carry another.
  void attempt_ended(Time now, Id launch, Outcome outcome, PayloadRef result, bool kept, const Load* load);

  // The roster: one call for each entry, then one that closes the list.
  void executor_listed(Time now, std::string_view id, std::string_view address, std::string_view zone,
                       std::string_view kind, int cell, Lifecycle standing, Time started, double weight = -1);
  void membership_received(Time now, MembershipUpdate form, std::uint64_t version);
  // What a list that discovery told may change; `late`: on a call that is over. Before its entries.
  recovery::ListVerdict check_list(Time now, const recovery::ListSummary& told, bool late);
  // Whether that is an executor that the node holds, and its process is no newer than this.
  bool knows_executor(std::string_view id, Time started) const;
  // The members that the list which comes next does not name stay for a while.
  void defer_removals();
  // Discovery may have lost its memory: it is called again at once, for the whole list.
  void confirm_membership(Time now);
  void membership_call_failed(Time now);
  void watch_timed_out(Time now);
  void discovery_moved(Time now, std::string address);
  // A file read at SIGHUP, or one that could not be read.
  // Throws BadInput, and changes nothing, where its use cases are too many.
  void settings_changed(Time now, Settings settings, Terms terms);
  void reload_rejected() { ++figures_.reloads_rejected; }

  // --- Between two processes of one node ---
  // Another one runs beside this, or no more: what this one may have of the descriptors.
  void set_descriptor_share(Time now, int sixteenths);
  // It waits for its executor and reads no more; `reading` is how far it came.
  void attempt_suspended(Time now, Id launch, PayloadRef reading);
  // What the process before this one knew (as knowledge() gives it), left free, and has open.
  // `as_of`: when it was worded, in this process's time.
  void adopt_knowledge(Time now, const JsonValue& knowledge, Time as_of);
  // The id that the connection goes by; 0: nobody is to use it.
  Id adopt_connection(Time now, const std::string& executor, const std::string& address, Time since);
  // The ids of its pending launches, in their order; none and false: it cannot be had.
  bool adopt_request(Time now, Id client, TransferredRequest job, std::vector<Id>& launches);
  std::string knowledge(Time now);

  // --- Recovery from a power loss, where the operator has it on ---
  // Before any other event. It belongs to the caller and lives as long as the node.
  void use_recovery(recovery::NodeRecovery& recovery) { recovery_ = &recovery; }
  // What the node had learned before, so long ago: it has faded. Executors are listed by then.
  void restore_learned(Time now, const JsonValue& knowledge, Time age);
  // What a peer answered, by its place among the peers. Throws BadInput where it makes no sense or is another
  // node's.
  void peer_answered(Time now, std::size_t peer, const JsonValue& answer);
  void peer_failed(Time now, std::size_t peer);
  void peer_list_received(Time now, std::size_t peer, const JsonValue& list);
  // Whose list is wanted; nothing: discovery has told one, or no peer has any.
  std::optional<std::size_t> peer_to_ask_for_list() const;
  // What the node says to its peers.
  std::string peer_summary(Time now) const;
  // The list that the node holds, in discovery's form.
  std::string encode_membership() const;

  void timer_due(Time now, std::uint64_t token);
  // Nothing more can connect.
  void listener_closed(Time now);
  // The platform wants the node to end: finish what is open, take what still comes, then stop.
  void stop(Time now);

  const Terms& terms() const { return terms_; }
  std::uint64_t membership_version() const { return roster_version_; }
  const Policy& policy() const { return policy_; }
  int descriptors_used() const { return static_cast<int>(clients_.size()) + links_; }

  void start_attempt(int submission, int executor, Time give_up_at) override;
  void shed(int submission, Time stay_away) override;
  void fail(int submission) override;
  void cancel_attempt(int submission, int launch) override;
  void subscribe_to_membership() override;
  void wake_at(Time when, std::uint64_t token) override;

 private:
  // The index is used again once the submission has its answer and every launch of it has ended.
  struct Entry {
    Id client = 0;
    std::string id;
    std::string idempotency_key;  // only where attempts are logged
    PayloadRef payload;
    std::vector<Id> launches;
    int use_case = 0;
    Time due = 0;  // as its client said
    int pending = 0;
    int rejected = 0;                     // launches of it that were
    std::optional<Outcome> last_outcome;  // of its attempts
    bool ended = true;
  };
  struct Client {
    int submission = -1;
    Time idle_since = 0;
    bool served = false;   // has handed in a whole submission
    bool closing = false;  // told to close, and gone soon
    bool refused = false;  // one too many: what it hands in is pushed back unseen
  };
  // A change counts as told 6 s after a call failed, whatever the next one does: this one may be silent, too.
  static constexpr Time kFirstCall = 2 * kSecond;
  static constexpr std::uint64_t kLaunchToken = std::uint64_t{1} << 63;  // a timer of a launch
  struct Running {
    int submission, number, executor;
    bool cancelled = false, unsent = false;
    PayloadRef reading = nullptr;  // parked
  };
  struct FreeLink {
    Id launch;
    Time since;
  };
  struct Place {
    std::string id, address;
    Time told_start = 0;        // of its process, in discovery's time
    Time started = 0;           // the same by this node's clock
    std::deque<FreeLink> free;  // the one used last at the back
    bool held = false;          // a list that is short did not name it
    bool restored = false;      // what is known of it was learned before a power loss
  };

  int new_entry(Id client, const std::string& id, int use_case, Time due, PayloadRef submission);
  int use_case_like(const std::string& name, UseCase terms, const std::string& machine_kind);
  void begin_handover(Time now);
  void hand_over_if_ready(int submission);
  void hand_over_free_links(int executor);
  void answer(int submission, Answer answer, const PayloadRef& result, Time stay_away);
  void release_if_over(int submission);
  void withdraw_launches(int submission);
  void close_free_links(int executor);
  std::deque<FreeLink>::iterator close_free_link(int executor, std::deque<FreeLink>::iterator link);
  bool close_longest_free_link();
  bool close_longest_idle_client();
  bool finishes() const;
  void close_again();
  void make_room(Id newest);
  void keep_to_descriptors();
  static int usable(Platform platform);
  static Time link_idle(const Settings& settings);
  static Settings on_sockets(Settings settings, Time idle);
  void call_discovery(Time within);
  bool logs_attempts(int use_case) const;
  bool arrives_after_attempt(Time now, int submission, double hint, int width, std::uint64_t key);
  bool refused_without_record(int submission);
  bool refused_before_peers(Time now, int submission);
  bool may_follow(Time now, const recovery::AttemptRecord& earlier, const UseCase& use_case,
                  int executor) const;
  int executor_of(Time now, const recovery::AttemptRecord& attempt);
  std::shared_ptr<const recovery::AttemptRecord> log_attempt(Id launch, int submission, int executor);
  void record_attempt_end(Id launch, bool may_have_run, Outcome outcome);
  std::size_t members() const;
  void list_changed() { list_unsaved_ = list_unpublished_ = true; }
  void publish_to_peers(Time now);
  void open_if_settled(Time now);
  void remove_held_members(Time now);
  void recovery_tick(Time now);
  void save_list(Time now);
  void save_learned(Time now);
  void end_unsent(Id launch, Running& running);
  void launch_timer_due(Time now, Id launch);
  void count_end(int use_case, Answer answer);
  void check(const std::optional<RuleViolation>& violation, const std::string& id);
  void note_unserved(int submission, Answer answer);
  void note_retry(int submission, int executor);
  void tell_monitor_of_executors();
  void show_use_cases();
  void publish(Time now);
  void open_listener();
  void close_idle_clients();
  void tick(Time now);
  void finish_if_done();

  Terms terms_;
  Settings settings_;  // as they were given, with the numbers that hold here
  const Platform platform_;
  Effects& effects_;
  Time now_;  // of the event that is being handled
  int most_descriptors_;
  Time link_idle_;
  std::map<Id, Client> clients_;
  std::deque<std::pair<Time, Id>> closing_;  // when it is asked again to, in order
  std::map<Id, Running> running_;
  std::unordered_map<std::string, int> executor_indices_;
  std::vector<Place> places_;  // by executor
  std::vector<Entry> entries_;
  std::unordered_set<std::string> ids_;  // of the entries in use
  std::vector<int> unused_;
  RuleMonitor rules_;
  int links_ = 0;         // executor connections, busy or free
  Time asked_ = -kNever;  // discovery, in the call that has told nothing yet
  MembershipFreshness list_currency_;
  int silences_ = 0;  // calls and watches that fell silent in a row
  Id last_launch_ = 0;
  std::string discovery_;
  std::uint64_t roster_version_;
  Time stop_by_ = kNever;
  bool listening_ = false, have_roster_ = false;
  bool handing_over_ = false;
  bool parting_ = false, closing_idle_ = false, listener_closed_ = false, finished_ = false;
  recovery::NodeRecovery* recovery_ = nullptr;
  bool list_unsaved_ = false, list_unpublished_ = true;
  std::uint64_t list_digest_ = 0;     // as it was published
  bool list_from_discovery_ = false;  // in this process's life
  bool listed_by_peer_ = false;
  Time publish_to_peers_at_ = 0;
  Time save_list_at_ = 0, save_learned_at_ = 0, expire_attempts_at_ = 0;
  Metrics figures_;
  std::vector<std::size_t> lines_;  // by use case: its line among the figures
  Policy policy_;
};

}  // namespace canvasstage
