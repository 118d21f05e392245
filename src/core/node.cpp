#include "core/node.h"

#include <algorithm>
#include <utility>

namespace canvasstage {
namespace {

// Marks the node's own timer tokens. Policy's timer tokens leave bits 62 and 63 clear; bit 63 is
// kAttemptTokenBit, which marks an attempt's timer.
constexpr std::uint64_t kNodeTokenBit = std::uint64_t{1} << 62;
constexpr std::uint64_t kTickToken = kNodeTokenBit;
constexpr std::uint64_t kCloseListenerToken = kNodeTokenBit + 1;
constexpr std::uint64_t kFinishToken = kNodeTokenBit + 2;
constexpr std::uint64_t kOpenListenerToken = kNodeTokenBit + 3;

// Interval of the check for closed idle connections: Policy must not count on one that its executor has
// closed. Half of the connections that executors closed had been idle for under a second. Checking 500
// connections takes under a millisecond.
constexpr Time kTickInterval = kSecond / 10;
// After asking a node to stop, the platform does not kill it before the longest deadline of a use case (3 s
// at most) plus 0.7 s.
constexpr Time kMaxStopDeadline = 3 * kSecond;
constexpr Time kStopSlack = kSecond / 5;
constexpr Time kFinalAnswersDuration = kSecond * 3 / 10;
// After the request to stop, new connections keep arriving for 0.4 s, so the node listens for 0.45 s at
// least. Clients keep using the connections that they have, and the nodes that could take over may be
// restarting too. The node therefore serves all clients for kServeShare (five eighths) of the stop duration.
// The last requests then still have the time that an ordinary request needs.
constexpr Time kMinListenDuration = kSecond * 45 / 100;
constexpr double kServeShare = 0.625;
// A new process accepts no client before discovery has sent the executor list: the stored list may name
// executors that were removed long ago, and discovery's list counts as delivered from the moment discovery
// has it. The wait is limited because discovery may be down, and nine nodes in ten must be ready within 6 s
// on the shortest days.
constexpr Time kListWaitTimeout = 4 * kSecond;

}  // namespace

// FNV-1a, 64 bits.
std::uint64_t stable_hash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325u;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
  return hash == 0 ? 1 : hash;
}

// Returns how many descriptors are left for client and executor connections. Subtracts those used otherwise
// (standard streams, listener, discovery, log) and a reserve for connections that arrive in a burst while the
// reducer is still closing others.
int Node::connection_limit(Platform platform) {
  // The handover's event descriptor, its socket, the connections to predecessor and successor, and one
  // descriptor in transfer.
  constexpr int kHandoverDescriptors = 5;
  const int descriptors = platform.max_descriptors - platform.console_descriptors -
                          (platform.shared_listener ? kHandoverDescriptors : 0);
  constexpr int kReservedDescriptors = 8;
  constexpr int kBurstDivisor = 32;
  return std::max(4, descriptors - kReservedDescriptors - descriptors / kBurstDivisor);
}

// Returns how long the node keeps an idle connection. Shorter than the executor's idle timeout, at which the
// executor closes the connection at the latest, to allow for clock and network delays.
Time Node::idle_connection_timeout(const Settings& settings) {
  return settings.connection_idle_timeout * 3 / 4;
}

// Adapts the settings for Policy to a node on sockets. Policy counts on an idle connection for exactly as
// long as the node keeps it. Executors report that they have accepted an attempt before it starts. Pushed
// membership also arrives over a watch: a list counts as delivered as soon as the machine's agent has it, and
// only this node calls that agent, so the node polls it again soon.
Settings Node::policy_settings(Settings settings, Time idle_timeout) {
  settings.connection_idle_timeout = idle_timeout;
  settings.reports_acceptance = true;
  if (!settings.polls_membership) settings.max_membership_age = kSecond / 5;
  settings.polls_membership = true;
  return settings;
}

Node::Node(Settings settings, Terms terms, Platform platform, std::uint32_t seed, Effects& effects, Time now,
           std::string discovery_address, std::uint64_t cached_version)
    : terms_(std::move(terms)),
      settings_(settings),
      platform_(platform),
      effects_(effects),
      now_(now),
      max_descriptors_(connection_limit(platform)),
      idle_connection_timeout_(idle_connection_timeout(settings)),
      discovery_address_(std::move(discovery_address)),
      membership_version_(cached_version),
      policy_(policy_settings(std::move(settings), idle_connection_timeout_), *this, seed, now) {
  effects_.wake_at(now + kTickInterval, kTickToken);
  effects_.wake_at(now + kListWaitTimeout, kOpenListenerToken);
  add_use_case_metrics();
}

// --- Membership ---

void Node::executor_listed(Time now, std::string_view id, std::string_view address, std::string_view zone,
                           std::string_view machine_kind, int cell, Lifecycle lifecycle, Time started_at,
                           double weight) {
  now_ = now;
  const auto [found, added] =
      executor_indices_.try_emplace(std::string(id), static_cast<int>(executors_.size()));
  const int index = found->second;
  if (added) executors_.emplace_back();
  ExecutorInfo& info = executors_[index];
  info.id = id;
  const bool restarted = !added && started_at > info.listed_started_at;
  if (added || restarted) {
    info.listed_started_at = started_at;
    info.started_at = membership_freshness_.bounded_start_time(now, started_at);
  }
  if (lifecycle == Lifecycle::kRemoved || restarted || info.address != address) close_idle_connections(index);
  info.address = address;
  info.removal_deferred = false;
  if (restarted && std::exchange(info.restored, false)) policy_.restore_executor(now, index, {});
  policy_.executor_listed(now, index, index_of(terms_.zones, zone),
                          index_of(terms_.machine_kinds, machine_kind), cell, lifecycle, info.started_at,
                          weight, stable_hash(id));
  rule_monitor_.executor_listed(now, index, lifecycle, policy_.executors[index].zone, cell);
}

void Node::membership_received(Time now, MembershipUpdate update, std::uint64_t version) {
  now_ = now;
  discovery_called_at_ = -kNever;
  consecutive_silent_calls_ = 0;
  membership_version_ = version;
  has_membership_ = true;
  if (update != MembershipUpdate::kCached) membership_freshness_.list_received();
  mark_list_changed();
  policy_.membership_received(now, update);
  if (update == MembershipUpdate::kSnapshot) update_rule_monitor();
  if (update == MembershipUpdate::kCached) return;
  list_from_discovery_ = true;
  recovery_ == nullptr ? open_listener() : open_listener_if_settled(now);
}

// Reports the lifecycle of all executors; those that a whole list did not name are removed by now.
void Node::update_rule_monitor() {
  for (std::size_t i = 0; i < policy_.executors.size(); ++i) {
    const Executor& executor = policy_.executors[i];
    rule_monitor_.executor_listed(now_, static_cast<int>(i), executor.lifecycle, executor.zone,
                                  executor.cell);
  }
}

void Node::membership_call_failed(Time now) {
  now_ = now;
  discovery_called_at_ = -kNever;
  membership_freshness_.watch_ended(now, false);
  policy_.membership_call_failed(now);
}

void Node::watch_timed_out(Time now) {
  now_ = now;
  discovery_called_at_ = -kNever;
  membership_freshness_.watch_ended(now, true);
  ++consecutive_silent_calls_;
  policy_.watch_timed_out(now);
}

// Keeps the membership version: discovery is one service, so the version is valid at the new address too.
void Node::discovery_moved(Time now, std::string address) {
  now_ = now;
  if (discovery_address_ == address) return;
  discovery_address_ = std::move(address);
  discovery_called_at_ = -kNever;
  membership_freshness_.watch_ended(now, false);
  policy_.discovery_moved(now);
}

void Node::settings_changed(Time now, Settings settings, Terms terms) {
  now_ = now;
  preserve_indices(terms_, settings_, terms, settings);
  terms_ = std::move(terms);
  settings_ = settings;
  idle_connection_timeout_ = idle_connection_timeout(settings);
  add_use_case_metrics();
  ++metrics_.reloads_applied;
  policy_.settings_changed(now, policy_settings(std::move(settings), idle_connection_timeout_));
}

// Makes one call at a time, as each call ends by itself. A second call would abandon one that is about to be
// served and join the end of the same queue; in this way a discovery service slower than Policy's retry pause
// was never heard. A change that a silent watch misses counts as delivered 6 s after the watch went silent,
// and 4 s of these have passed when the next call is made: if that call is silent too, another one is still
// in time.
void Node::subscribe_to_membership() {
  constexpr Time kMaxCallTimeout = kSecond * 11 / 2;  // discovery itself ends a call that has waited too long
  // 300 nodes that called at the same time were all answered within 0.3 s.
  constexpr Time kShortCallTimeout = kSecond * 11 / 10;
  // After these calls the timeout is long, so that a slower discovery service is heard too.
  constexpr int kMaxShortCalls = 3;
  if (now_ - discovery_called_at_ < kMaxCallTimeout + kSecond) return;
  call_discovery(consecutive_silent_calls_ == 0                ? kFirstCallTimeout
                 : consecutive_silent_calls_ <= kMaxShortCalls ? kShortCallTimeout
                                                               : kMaxCallTimeout);
}

// With recovery each call asks for the whole list: changes since a generation of another incarnation of
// discovery would not contain what preceded them.
void Node::call_discovery(Time timeout) {
  discovery_called_at_ = now_;
  if (recovery_ != nullptr) recovery_->membership.call_started(discovery_address_);
  effects_.watch_membership(discovery_address_, recovery_ == nullptr ? membership_version_ : 0, timeout);
}

// --- Time ---

void Node::wake_at(Time when, std::uint64_t token) {
  effects_.wake_at(when, token);
}

void Node::timer_due(Time now, std::uint64_t token) {
  now_ = now;
  if ((token & kAttemptTokenBit) != 0) return attempt_timer_due(now, token & ~kAttemptTokenBit);
  if ((token & kNodeTokenBit) == 0) return policy_.timer_due(now, token);
  if (token == kTickToken) return tick(now);
  if (token == kFinishToken && !finished_) {
    finished_ = true;
    effects_.finish();
  }
  if (token == kOpenListenerToken) return open_listener();
  if (token == kCloseListenerToken) {
    draining_clients_ = true;
    closing_idle_clients_ = true;
    effects_.close_listener();
    if (listener_closed_) close_idle_clients();
  }
}

void Node::open_listener() {
  if (listening_ || stop_deadline_ != kNever) return;
  listening_ = true;
  effects_.open_listener();
}

void Node::listener_closed(Time now) {
  now_ = now;
  listener_closed_ = true;
  if (closing_idle_clients_) close_idle_clients();
  finish_if_done();
}

void Node::close_idle_clients() {
  while (close_longest_idle_client()) {
  }
}

void Node::tick(Time now) {
  for (std::size_t i = 0; i < executors_.size(); ++i)
    for (auto connection = executors_[i].idle_connections.begin();
         connection != executors_[i].idle_connections.end();)
      connection = now - connection->idle_since >= idle_connection_timeout_ ||
                           !effects_.is_connection_open(connection->attempt)
                       ? close_idle_connection(static_cast<int>(i), connection)
                       : std::next(connection);
  // Closes the clients that were busy, or had only just become idle, when the others were closed. From the
  // stop deadline on this happens even if the listener is not closed yet: no client may send a request that
  // the end of the process would leave unanswered.
  if (closing_idle_clients_ && (listener_closed_ || now >= stop_deadline_)) close_idle_clients();
  force_close_clients();
  if (platform_.console_descriptors > 0) publish_metrics(now);
  if (recovery_ != nullptr) tick_recovery(now);
  effects_.wake_at(now + kTickInterval, kTickToken);
}

// --- Metrics ---

void Node::add_use_case_metrics() {
  for (std::size_t i = metrics_indices_.size(); i < terms_.use_cases.size(); ++i) {
    const std::string& name = terms_.use_cases[i];
    std::size_t index = 0;
    while (index < metrics_.use_cases.size() && metrics_.use_cases[index].name != name) ++index;
    if (index == metrics_.use_cases.size()) metrics_.use_cases.push_back({name});
    metrics_indices_.push_back(index);
  }
}

void Node::publish_metrics(Time now) {
  std::uint64_t ended = metrics_.client_left;
  for (const Metrics::UseCase& use_case : metrics_.use_cases)
    ended += use_case.succeeded + use_case.shed + use_case.failed;
  ended += metrics_.handed_over;
  metrics_.outstanding = metrics_.accepted - ended;
  metrics_.violations = rule_monitor_.counts();
  metrics_.listed_executors = metrics_.avoided_executors = 0;
  for (const Executor& executor : policy_.executors) {
    if (executor.lifecycle == Lifecycle::kRemoved) continue;
    ++metrics_.listed_executors;
    if (policy_.is_avoided(now, executor)) ++metrics_.avoided_executors;
  }
  metrics_.ready = listening_ && has_membership_ && stop_deadline_ == kNever;
  effects_.publish_metrics(metrics_);
}

void Node::stop(Time now) {
  if (stop_deadline_ != kNever) return;
  now_ = now;
  const Time stop_duration = std::min(kMaxStopDeadline, terms_.max_deadline) + kStopSlack;
  stop_deadline_ = now + stop_duration;
  for (std::size_t i = 0; i < request_slots_.size(); ++i)
    if (!request_slots_[i].ended) policy_.shorten_deadline(now, static_cast<int>(i), stop_deadline_);
  for (const auto& [id, running] : running_attempts_) effects_.wake_at(stop_deadline_, kAttemptTokenBit | id);
  if (platform_.shared_listener) {
    // New clients connect to the other process, and clients that have been answered reconnect there.
    draining_clients_ = true;
    effects_.close_listener();
    if (effects_.has_successor()) begin_handover(now);
  }
  effects_.wake_at(
      now + std::max(kMinListenDuration, static_cast<Time>(kServeShare * static_cast<double>(stop_duration))),
      kCloseListenerToken);
  effects_.wake_at(stop_deadline_ + kFinalAnswersDuration, kFinishToken);
}

void Node::finish_if_done() {
  if (!listener_closed_ || finished_ || !clients_.empty()) return;
  finished_ = true;
  effects_.finish();
}

}  // namespace canvasstage
