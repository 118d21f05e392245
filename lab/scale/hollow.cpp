#include "scale/hollow.h"

#include <ctime>

namespace canvasstage::lab {
namespace {

constexpr Time kLong = 3600 * kSecond;  // a job's agreed time and limit: none ends by itself
constexpr double kWork = 1;             // seconds, as the client says
constexpr int kLost = 110;              // executors of a zone that is lost
// Tokens of the lab's own, in bits that neither the node nor its module uses.
constexpr std::uint64_t kNote = std::uint64_t{1} << 61, kEnd = std::uint64_t{1} << 60;
constexpr std::uint64_t kOfLaunch = std::uint64_t{1} << 63, kOfNode = std::uint64_t{1} << 62;

std::string numbered(std::string name, int number) {
  return name.append(std::to_string(number));
}

Settings settings_for(const Size& size) {
  Settings settings;
  UseCase use_case;
  use_case.target_latency = use_case.deadline = kLong;
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
  terms.max_deadline = kLong;
  return terms;
}

}  // namespace

const char* name_of(Told kind) {
  static constexpr const char* kNames[kToldKinds] = {
      "arrival",    "taken",      "started",     "progressed", "ended",
      "one_change", "zone_gone",  "whole_list",  "reload",     "late_arrival",
      "look",       "held_timer", "module_tick", "node_tick",  "other_timer"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::int64_t thread_nanoseconds() {
  timespec at{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
  return std::int64_t{at.tv_sec} * 1000000000 + at.tv_nsec;
}

HollowNode::HollowNode(const Size& size)
    : size_(size),
      settings_(settings_for(size)),
      terms_(terms_for(size)),
      payload_(std::make_shared<Payload>()) {}

void HollowNode::start(int jobs, std::uint32_t seed) {
  // Clients hold at most half, and those of jobs that have ended stay: descriptors are to bound nothing here.
  constexpr int kSpare = 1 << 14;
  node_ = std::make_unique<Node>(settings_, terms_, Platform{4 * jobs + kSpare, false, 0}, seed, *this, now_,
                                 "discovery");
  list_all();
}

void HollowNode::list(int executor, Lifecycle standing) {
  node_->executor_listed(now_, numbered("executor-", executor), numbered("10.0.0.1:", executor),
                         terms_.zones[static_cast<std::size_t>(executor % size_.zones)], "m", executor,
                         standing, 0);
}

void HollowNode::list_all() {
  for (int i = 0; i < size_.executors; ++i) list(i, Lifecycle::kActive);
  node_->membership_received(++now_, MembershipUpdate::kSnapshot, ++version_);
}

void HollowNode::list_one() {
  list(0, Lifecycle::kActive);
  node_->membership_received(++now_, MembershipUpdate::kDelta, ++version_);
}

void HollowNode::list_zone_gone() {
  const int most = std::min(kLost, size_.executors / 4);
  for (int n = 0; n < most && n * size_.zones < size_.executors; ++n)
    list(n * size_.zones, Lifecycle::kRemoved);
  node_->membership_received(++now_, MembershipUpdate::kDelta, ++version_);
}

void HollowNode::reload() {
  node_->settings_changed(++now_, settings_, terms_);
}

void HollowNode::arrive() {
  const Id client = ++last_client_;
  node_->client_opened(++now_, client);
  node_->request_arrived(now_, client, std::to_string(client),
                         static_cast<int>(client % static_cast<Id>(size_.use_cases)), now_ + kLong, kWork, 1,
                         payload_);
}

void HollowNode::open(Id launch) {
  node_->attempt_accepted(++now_, launch);
  node_->attempt_started(now_, launch);
  if (settings_.progress_interval > 0)
    timers_.push({now_ + settings_.progress_interval, ++serial_, kNote | launch});
}

void HollowNode::told(Told kind, const std::vector<Id>& launches, Sum& sum) {
  timed(sum, static_cast<std::int64_t>(launches.size()), [&](std::int64_t n) {
    const Id launch = launches[static_cast<std::size_t>(n)];
    ++now_;
    if (kind == Told::kTaken) node_->attempt_accepted(now_, launch);
    if (kind == Told::kStarted) node_->attempt_started(now_, launch);
    if (kind == Told::kProgressed) node_->attempt_progressed(now_, launch, 0.5);
    if (kind == Told::kEnded) node_->attempt_ended(now_, launch, Outcome::kSucceeded, nullptr, true, nullptr);
  });
}

std::vector<Id> HollowNode::take_launched() {
  std::vector<Id> launched(launched_.begin(), launched_.end());
  launched_.clear();
  return launched;
}

void HollowNode::start_attempt(const AttemptOrder& order) {
  ++messages_;
  launched_.push_back(order.attempt);
}

void HollowNode::abandon_attempt(Id launch) {
  ++messages_;
  timers_.push({now_ + 1, ++serial_, kEnd | launch});  // its connection ends
}

void HollowNode::wake_at(Time when, std::uint64_t token) {
  ++timers_asked_;
  timers_.push({when, ++serial_, token});
}

Told HollowNode::kind_of(std::uint64_t token) const {
  constexpr std::uint64_t kModuleTick = 0, kAsk = 2;
  if ((token & kNote) != 0) return Told::kProgressed;
  if ((token & kOfNode) != 0) return Told::kNodeTick;
  if ((token & (kOfLaunch | kEnd)) != 0 || token == kAsk) return Told::kOtherTimer;
  return token == kModuleTick                    ? Told::kModuleTick
         : token == Policy::kQueuedRequestsToken ? Told::kHeldTimer
                                                 : Told::kLook;
}

void HollowNode::due(std::uint64_t token) {
  if ((token & kOfLaunch) != 0 || (token & (kNote | kEnd)) == 0) return node_->timer_due(now_, token);
  const Id launch = token & ~(kNote | kEnd);
  if ((token & kEnd) != 0)
    return node_->attempt_ended(now_, launch, Outcome::kConnectionLost, nullptr, false, nullptr);
  node_->attempt_progressed(now_, launch, 0.5);
  timers_.push({now_ + settings_.progress_interval, ++serial_, token});
}

void HollowNode::count_looks(Looks& looks) {
  ++looks.events;
  for (const Executor& executor : node_->policy().executors)
    looks.executors += executor.queue_wait.updated_at == now_;
  const std::vector<Zone>& zones = node_->policy().zones;
  if (zones.size() > 1) looks.picks += zones[0].unanswered_attempts.updated_at == now_;
}

void HollowNode::run(Time span, std::array<Sum, kToldKinds>& sums, Looks* looks) {
  const Time until = now_ + span;
  Time counted = -kNever;
  while (!timers_.empty() && timers_.top().when <= until) {
    const Timer timer = timers_.top();
    timers_.pop();
    now_ = std::max(now_, timer.when);
    const Told kind = kind_of(timer.token);
    timed(sums[static_cast<std::size_t>(kind)], 1, [&](std::int64_t) { due(timer.token); });
    if (looks == nullptr || kind != Told::kLook || now_ == counted) continue;
    counted = now_;
    count_looks(*looks);
  }
  now_ = until;
}

}  // namespace canvasstage::lab
