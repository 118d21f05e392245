#include "core/node.h"

#include <algorithm>
#include <utility>

namespace canvasstage {
namespace {

// The module's tokens leave the two uppermost bits free; the other one is kLaunchToken.
constexpr std::uint64_t kOwnToken = std::uint64_t{1} << 62;
constexpr std::uint64_t kTickToken = kOwnToken;
constexpr std::uint64_t kListenerToken = kOwnToken + 1;
constexpr std::uint64_t kStopToken = kOwnToken + 2;
constexpr std::uint64_t kOpenToken = kOwnToken + 3;

// Free connections are looked over this often: the module must not count on one that its executor has closed
// (half of these had stood free for under a second), and a look at 500 of them takes under a millisecond.
constexpr Time kTick = kSecond / 10;
// The platform kills no sooner than its longest hard limit, 3 s at most, and 0.7 s after asking us to stop.
constexpr Time kMostDeadline = 3 * kSecond;
constexpr Time kStopSlack = kSecond / 5;
constexpr Time kLastAnswers = kSecond * 3 / 10;
// Connections go on coming for 0.4 s after that, and clients use those that they have: for five eighths of
// the time all is served as before, as the nodes that could take over may be restarting themselves. What
// comes last then still has time for a usual job.
constexpr Time kListenOn = kSecond * 45 / 100;
constexpr double kServeOn = 0.625;
// A new process takes nothing before discovery has told the list: the remembered one may name executors that
// have been gone for long, and what discovery has counts as told from its first moment. Discovery may be
// down, and nine in ten are to be ready in 6 s on the shortest days.
constexpr Time kMostListWait = 4 * kSecond;

}  // namespace

// FNV-1a, 64 bits.
std::uint64_t stable_hash(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325u;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
  return hash == 0 ? 1 : hash;
}

// Descriptors that are no connection of the node's: standard streams, listener, discovery, the log; and those
// that a burst takes while the reducer still makes room.
int Node::usable(Platform platform) {
  // The handover's event, its socket, the processes before and after, and one descriptor on its way.
  constexpr int kUpgrade = 5;
  const int descriptors =
      platform.max_descriptors - platform.console_descriptors - (platform.shared_listener ? kUpgrade : 0);
  constexpr int kOwn = 8;
  constexpr int kBurstPart = 32;
  return std::max(4, descriptors - kOwn - descriptors / kBurstPart);
}

// The executor closes at its idle time at the latest, and clocks and wires are late.
Time Node::link_idle(const Settings& settings) {
  return settings.connection_idle_timeout * 3 / 4;
}

// The module is to count on a connection for as long as the node keeps it, and no longer. An executor answers
// when it has taken a job, before that begins. A pushed list comes over a watch too: what the machine's agent
// has counts as told at once, and only this node calls it, so it is asked again soon.
Settings Node::on_sockets(Settings settings, Time idle) {
  settings.connection_idle_timeout = idle;
  settings.reports_acceptance = true;
  if (!settings.polls_membership) settings.max_membership_age = kSecond / 5;
  settings.polls_membership = true;
  return settings;
}

Node::Node(Settings settings, Terms terms, Platform platform, std::uint32_t seed, Effects& effects, Time now,
           std::string discovery, std::uint64_t roster_version)
    : terms_(std::move(terms)),
      settings_(settings),
      platform_(platform),
      effects_(effects),
      now_(now),
      most_descriptors_(usable(platform)),
      link_idle_(link_idle(settings)),
      discovery_(std::move(discovery)),
      roster_version_(roster_version),
      policy_(on_sockets(std::move(settings), link_idle_), *this, seed, now) {
  effects_.wake_at(now + kTick, kTickToken);
  effects_.wake_at(now + kMostListWait, kOpenToken);
  show_use_cases();
}

// --- The roster ---

void Node::executor_listed(Time now, std::string_view id, std::string_view address, std::string_view zone,
                           std::string_view kind, int cell, Lifecycle standing, Time started, double weight) {
  now_ = now;
  const auto [found, added] =
      executor_indices_.try_emplace(std::string(id), static_cast<int>(places_.size()));
  const int index = found->second;
  if (added) places_.emplace_back();
  Place& place = places_[index];
  place.id = id;
  const bool restarted = !added && started > place.told_start;
  if (added || restarted) {
    place.told_start = started;
    place.started = list_currency_.bounded_start_time(now, started);
  }
  if (standing == Lifecycle::kRemoved || restarted || place.address != address) close_free_links(index);
  place.address = address;
  place.held = false;
  if (restarted && std::exchange(place.restored, false)) policy_.restore_executor(now, index, {});
  policy_.executor_listed(now, index, index_of(terms_.zones, zone), index_of(terms_.machine_kinds, kind),
                          cell, standing, place.started, weight, stable_hash(id));
  rules_.executor_listed(now, index, standing, policy_.executors[index].zone, cell);
}

void Node::membership_received(Time now, MembershipUpdate form, std::uint64_t version) {
  now_ = now;
  asked_ = -kNever;
  silences_ = 0;
  roster_version_ = version;
  have_roster_ = true;
  if (form != MembershipUpdate::kCached) list_currency_.list_received();
  list_changed();
  policy_.membership_received(now, form);
  if (form == MembershipUpdate::kSnapshot) tell_monitor_of_executors();
  if (form == MembershipUpdate::kCached) return;
  list_from_discovery_ = true;
  recovery_ == nullptr ? open_listener() : open_if_settled(now);
}

// Those that a whole list does not name are gone.
void Node::tell_monitor_of_executors() {
  for (std::size_t i = 0; i < policy_.executors.size(); ++i) {
    const Executor& executor = policy_.executors[i];
    rules_.executor_listed(now_, static_cast<int>(i), executor.lifecycle, executor.zone, executor.cell);
  }
}

void Node::membership_call_failed(Time now) {
  now_ = now;
  asked_ = -kNever;
  list_currency_.watch_ended(now, false);
  policy_.membership_call_failed(now);
}

void Node::watch_timed_out(Time now) {
  now_ = now;
  asked_ = -kNever;
  list_currency_.watch_ended(now, true);
  ++silences_;
  policy_.watch_timed_out(now);
}

// The version held counts at the new address too: it is one service for all.
void Node::discovery_moved(Time now, std::string address) {
  now_ = now;
  if (discovery_ == address) return;
  discovery_ = std::move(address);
  asked_ = -kNever;
  list_currency_.watch_ended(now, false);
  policy_.discovery_moved(now);
}

void Node::settings_changed(Time now, Settings settings, Terms terms) {
  now_ = now;
  preserve_indices(terms_, settings_, terms, settings);
  terms_ = std::move(terms);
  settings_ = settings;
  link_idle_ = link_idle(settings);
  show_use_cases();
  ++figures_.reloads_applied;
  policy_.settings_changed(now, on_sockets(std::move(settings), link_idle_));
}

// One call at a time, as each ends by itself: a further one would give up one that is about to be served, for
// a place at the end of the same queue. A service that needs longer than the module's pause was never heard.
// What a silent watch misses counts as told 6 s after it fell silent, and 4 s are gone when the next call is
// made. If that is silent too another one still comes in time.
void Node::subscribe_to_membership() {
  constexpr Time kMostCall = kSecond * 11 / 2;  // discovery itself ends one that has waited too long
  constexpr Time kSoon = kSecond * 11 / 10;  // of 300 nodes that called together all were answered in 0.3 s
  constexpr int kMostSoon = 3;               // one that is slower than all of these is heard after them
  if (now_ - asked_ < kMostCall + kSecond) return;
  call_discovery(silences_ == 0 ? kFirstCall : silences_ <= kMostSoon ? kSoon : kMostCall);
}

// With recovery each call asks for the whole list: changes since a generation of another incarnation would
// say nothing of what came before them.
void Node::call_discovery(Time within) {
  asked_ = now_;
  if (recovery_ != nullptr) recovery_->membership.call_started(discovery_);
  effects_.watch_membership(discovery_, recovery_ == nullptr ? roster_version_ : 0, within);
}

// --- Time ---

void Node::wake_at(Time when, std::uint64_t token) {
  effects_.wake_at(when, token);
}

void Node::timer_due(Time now, std::uint64_t token) {
  now_ = now;
  if ((token & kLaunchToken) != 0) return launch_timer_due(now, token & ~kLaunchToken);
  if ((token & kOwnToken) == 0) return policy_.timer_due(now, token);
  if (token == kTickToken) return tick(now);
  if (token == kStopToken && !finished_) {
    finished_ = true;
    effects_.finish();
  }
  if (token == kOpenToken) return open_listener();
  if (token == kListenerToken) {
    parting_ = true;
    closing_idle_ = true;
    effects_.close_listener();
    if (listener_closed_) close_idle_clients();
  }
}

void Node::open_listener() {
  if (listening_ || stop_by_ != kNever) return;
  listening_ = true;
  effects_.open_listener();
}

void Node::listener_closed(Time now) {
  now_ = now;
  listener_closed_ = true;
  if (closing_idle_) close_idle_clients();
  finish_if_done();
}

void Node::close_idle_clients() {
  while (close_longest_idle_client()) {
  }
}

void Node::tick(Time now) {
  for (std::size_t i = 0; i < places_.size(); ++i)
    for (auto link = places_[i].free.begin(); link != places_[i].free.end();)
      link = now - link->since >= link_idle_ || !effects_.is_connection_open(link->launch)
                 ? close_free_link(static_cast<int>(i), link)
                 : std::next(link);
  // Those that were busy, or idle since that very moment, when the others were closed. From the last hard
  // limit on also while the listener still finds no quiet: nobody is to hand in what the end would find
  // unanswered.
  if (closing_idle_ && (listener_closed_ || now >= stop_by_)) close_idle_clients();
  close_again();
  if (platform_.console_descriptors > 0) publish(now);
  if (recovery_ != nullptr) recovery_tick(now);
  effects_.wake_at(now + kTick, kTickToken);
}

// --- Figures ---

void Node::show_use_cases() {
  for (std::size_t i = lines_.size(); i < terms_.use_cases.size(); ++i) {
    const std::string& name = terms_.use_cases[i];
    std::size_t line = 0;
    while (line < figures_.use_cases.size() && figures_.use_cases[line].name != name) ++line;
    if (line == figures_.use_cases.size()) figures_.use_cases.push_back({name});
    lines_.push_back(line);
  }
}

void Node::publish(Time now) {
  std::uint64_t ended = figures_.client_left;
  for (const Metrics::UseCase& line : figures_.use_cases) ended += line.succeeded + line.shed + line.failed;
  ended += figures_.handed_over;
  figures_.outstanding = figures_.accepted - ended;
  figures_.violations = rules_.counts();
  figures_.listed_executors = figures_.avoided_executors = 0;
  for (const Executor& executor : policy_.executors) {
    if (executor.lifecycle == Lifecycle::kRemoved) continue;
    ++figures_.listed_executors;
    if (policy_.is_avoided(now, executor)) ++figures_.avoided_executors;
  }
  figures_.ready = listening_ && have_roster_ && stop_by_ == kNever;
  effects_.publish(figures_);
}

void Node::stop(Time now) {
  if (stop_by_ != kNever) return;
  now_ = now;
  const Time left = std::min(kMostDeadline, terms_.max_deadline) + kStopSlack;
  stop_by_ = now + left;
  for (std::size_t i = 0; i < entries_.size(); ++i)
    if (!entries_[i].ended) policy_.shorten_deadline(now, static_cast<int>(i), stop_by_);
  for (const auto& [id, running] : running_) effects_.wake_at(stop_by_, kLaunchToken | id);
  if (platform_.shared_listener) {
    // Whoever connects now is the other process's, and whoever is answered goes there.
    parting_ = true;
    effects_.close_listener();
    if (effects_.has_successor()) begin_handover(now);
  }
  effects_.wake_at(now + std::max(kListenOn, static_cast<Time>(kServeOn * static_cast<double>(left))),
                   kListenerToken);
  effects_.wake_at(stop_by_ + kLastAnswers, kStopToken);
}

void Node::finish_if_done() {
  if (!listener_closed_ || finished_ || !clients_.empty()) return;
  finished_ = true;
  effects_.finish();
}

}  // namespace canvasstage
