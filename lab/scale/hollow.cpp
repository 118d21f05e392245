#include "scale/hollow.h"

#include <ctime>

namespace canvasstage::lab {
namespace {

constexpr Time kRequestDuration =
    3600 * kSecond;                         // target latency and deadline: no request expires during a play
constexpr double kExpectedWorkSeconds = 1;  // as the client declares
constexpr int kMaxRemovedExecutors = 110;   // executors of a removed zone
// The lab's own timer tokens, in bits that neither the node nor its policy uses.
constexpr std::uint64_t kProgressToken = std::uint64_t{1} << 61, kEndToken = std::uint64_t{1} << 60;
// The node's tokens.
constexpr std::uint64_t kAttemptToken = std::uint64_t{1} << 63, kNodeToken = std::uint64_t{1} << 62;

std::string numbered(std::string name, int number) {
  return name.append(std::to_string(number));
}

Settings settings_for(const Size& size) {
  Settings settings;
  UseCase use_case;
  use_case.target_latency = use_case.deadline = kRequestDuration;
  settings.use_cases.assign(static_cast<std::size_t>(size.use_cases), use_case);
  settings.node_count = size.nodes;
  settings.polls_membership = true;
  settings.max_membership_age = 5 * kSecond;
  settings.quantum = 20;
  settings.connection_idle_timeout = 5 * kSecond;
  settings.max_attempts = size.most_launches;
  settings.can_cancel = size.cancelling;
  settings.reports_start = true;
  settings.progress_interval = static_cast<Time>(size.progress_every * kSecond);
  return settings;
}

Terms terms_for(const Size& size) {
  constexpr int kRegions = 8;
  Terms terms;
  for (int zone = 0; zone < size.zones; ++zone)
    terms.zones.push_back(numbered("r", zone % kRegions) + numbered("z", zone));
  terms.machine_kinds = {"m"};
  for (int i = 0; i < size.use_cases; ++i) terms.use_cases.push_back(numbered("class-", i));
  terms.requires_key.assign(terms.use_cases.size(), false);
  terms.offered.assign(terms.use_cases.size(), true);
  terms.max_deadline = kRequestDuration;
  return terms;
}

}  // namespace

const char* name_of(EventKind kind) {
  static constexpr const char* kNames[kEventKinds] = {
      "arrival",    "taken",      "started",     "progressed", "ended",
      "one_change", "zone_gone",  "whole_list",  "reload",     "late_arrival",
      "look",       "held_timer", "module_tick", "node_tick",  "other_timer"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::int64_t thread_nanoseconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return std::int64_t{now.tv_sec} * 1000000000 + now.tv_nsec;
}

HollowNode::HollowNode(const Size& size)
    : size_(size),
      settings_(settings_for(size)),
      terms_(terms_for(size)),
      payload_(std::make_shared<Payload>()) {}

void HollowNode::start(int max_requests, std::uint32_t seed) {
  // Clients may use at most half of the descriptors, and the connections of finished requests stay open: the
  // platform's limit is high enough not to affect the measurement.
  constexpr int kSpareDescriptors = 1 << 14;
  node_ = std::make_unique<Node>(settings_, terms_, Platform{4 * max_requests + kSpareDescriptors, false, 0},
                                 seed, *this, now_, "discovery");
  send_snapshot();
}

void HollowNode::list_executor(int executor, Lifecycle lifecycle) {
  node_->executor_listed(now_, numbered("executor-", executor), numbered("10.0.0.1:", executor),
                         terms_.zones[static_cast<std::size_t>(executor % size_.zones)], "m", executor,
                         lifecycle, 0);
}

void HollowNode::send_snapshot() {
  for (int i = 0; i < size_.executors; ++i) list_executor(i, Lifecycle::kActive);
  node_->membership_received(++now_, MembershipUpdate::kSnapshot, ++generation_);
}

void HollowNode::send_one_change() {
  list_executor(0, Lifecycle::kActive);
  node_->membership_received(++now_, MembershipUpdate::kDelta, ++generation_);
}

void HollowNode::remove_zone() {
  const int removed = std::min(kMaxRemovedExecutors, size_.executors / 4);
  for (int n = 0; n < removed && n * size_.zones < size_.executors; ++n)
    list_executor(n * size_.zones, Lifecycle::kRemoved);
  node_->membership_received(++now_, MembershipUpdate::kDelta, ++generation_);
}

void HollowNode::reload() {
  node_->settings_changed(++now_, settings_, terms_);
}

void HollowNode::send_request() {
  const Id client = ++last_client_;
  node_->client_opened(++now_, client);
  node_->request_arrived(now_, client, std::to_string(client),
                         static_cast<int>(client % static_cast<Id>(size_.use_cases)), now_ + kRequestDuration,
                         kExpectedWorkSeconds, 1, payload_);
}

void HollowNode::accept_and_start(Id attempt) {
  node_->attempt_accepted(++now_, attempt);
  node_->attempt_started(now_, attempt);
  if (settings_.progress_interval > 0)
    timers_.push({now_ + settings_.progress_interval, ++timer_serial_, kProgressToken | attempt});
}

void HollowNode::deliver(EventKind kind, const std::vector<Id>& attempts, EventTotals& totals) {
  measure_events(totals, static_cast<std::int64_t>(attempts.size()), [&](std::int64_t n) {
    const Id attempt = attempts[static_cast<std::size_t>(n)];
    ++now_;
    if (kind == EventKind::kAccepted) node_->attempt_accepted(now_, attempt);
    if (kind == EventKind::kStarted) node_->attempt_started(now_, attempt);
    if (kind == EventKind::kProgressed) node_->attempt_progressed(now_, attempt, 0.5);
    if (kind == EventKind::kEnded)
      node_->attempt_ended(now_, attempt, Outcome::kSucceeded, nullptr, true, nullptr);
  });
}

std::vector<Id> HollowNode::take_started_attempts() {
  std::vector<Id> attempts(started_attempts_.begin(), started_attempts_.end());
  started_attempts_.clear();
  return attempts;
}

void HollowNode::start_attempt(const AttemptOrder& order) {
  ++messages_;
  started_attempts_.push_back(order.attempt);
}

void HollowNode::abandon_attempt(Id attempt) {
  ++messages_;
  timers_.push({now_ + 1, ++timer_serial_, kEndToken | attempt});  // ends the attempt's connection
}

void HollowNode::wake_at(Time when, std::uint64_t token) {
  ++timers_requested_;
  timers_.push({when, ++timer_serial_, token});
}

EventKind HollowNode::kind_of(std::uint64_t token) const {
  constexpr std::uint64_t kPolicyTick = 0, kMembershipToken = 2;
  if ((token & kProgressToken) != 0) return EventKind::kProgressed;
  if ((token & kNodeToken) != 0) return EventKind::kNodeTick;
  if ((token & (kAttemptToken | kEndToken)) != 0 || token == kMembershipToken) return EventKind::kOtherTimer;
  return token == kPolicyTick                    ? EventKind::kPolicyTick
         : token == Policy::kQueuedRequestsToken ? EventKind::kQueuedTimer
                                                 : EventKind::kRequestTimer;
}

void HollowNode::fire_timer(std::uint64_t token) {
  if ((token & kAttemptToken) != 0 || (token & (kProgressToken | kEndToken)) == 0)
    return node_->timer_due(now_, token);
  const Id attempt = token & ~(kProgressToken | kEndToken);
  if ((token & kEndToken) != 0)
    return node_->attempt_ended(now_, attempt, Outcome::kConnectionLost, nullptr, false, nullptr);
  node_->attempt_progressed(now_, attempt, 0.5);
  timers_.push({now_ + settings_.progress_interval, ++timer_serial_, token});
}

void HollowNode::count_scans(ScanCounts& scans) {
  ++scans.events;
  for (const Executor& executor : node_->policy().executors)
    scans.executors += executor.queue_wait.updated_at == now_;
  const std::vector<Zone>& zones = node_->policy().zones;
  if (zones.size() > 1) scans.picks += zones[0].unreachable_executors.updated_at == now_;
}

void HollowNode::run(Time duration, std::array<EventTotals, kEventKinds>& sums, ScanCounts* scans) {
  const Time until = now_ + duration;
  Time counted = -kNever;
  while (!timers_.empty() && timers_.top().when <= until) {
    const Timer timer = timers_.top();
    timers_.pop();
    now_ = std::max(now_, timer.when);
    const EventKind kind = kind_of(timer.token);
    measure_events(sums[static_cast<std::size_t>(kind)], 1, [&](std::int64_t) { fire_timer(timer.token); });
    if (scans == nullptr || kind != EventKind::kRequestTimer || now_ == counted) continue;
    counted = now_;
    count_scans(*scans);
  }
  now_ = until;
}

}  // namespace canvasstage::lab
