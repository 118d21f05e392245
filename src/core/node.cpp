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
// How long a client has to end its side of a connection that is to close.
constexpr Time kMostClosing = kSecond / 4;
// Whoever connects has something to hand in, and it is on its way.
constexpr Time kFirstByte = kSecond * 3 / 10;
// A new process takes nothing before discovery has told the list: the remembered one may name executors that
// have been gone for long, and what discovery has counts as told from its first moment. Discovery may be
// down, and nine in ten are to be ready in 6 s on the shortest days.
constexpr Time kMostListWait = 4 * kSecond;

const char* name_of(Answer answer) {
  return answer == Answer::kSatisfied    ? "succeeded"
         : answer == Answer::kPushedBack ? "shed"
         : answer == Answer::kRejected   ? "rejected"
                                         : "failed";
}

const char* name_of(Outcome outcome) {
  static constexpr const char* kNames[] = {"succeeded", "errored", "turned_away", "timed_out", "unreachable",
                                           "broken",    "stale",   "cancelled",   "unsent",    "rejected"};
  return kNames[static_cast<std::size_t>(outcome)];
}

bool may_have_run(Outcome outcome) {
  return outcome != Outcome::kTurnedAway && outcome != Outcome::kUnreachable && outcome != Outcome::kUnsent;
}

}  // namespace

// FNV-1a, 64 bits.
std::uint64_t hash_of(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325u;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3u;
  return hash == 0 ? 1 : hash;
}

// Descriptors that are no connection of the node's: standard streams, listener, discovery, the log; and those
// that a burst takes while the reducer still makes room.
int Node::usable(Platform platform) {
  // The handover's event, its socket, the processes before and after, and one descriptor on its way.
  constexpr int kUpgrade = 5;
  const int descriptors = platform.descriptors - platform.console - (platform.shared_listener ? kUpgrade : 0);
  constexpr int kOwn = 8;
  constexpr int kBurstPart = 32;
  return std::max(4, descriptors - kOwn - descriptors / kBurstPart);
}

// The executor closes at its idle time at the latest, and clocks and wires are late.
Time Node::link_idle(const Settings& settings) {
  return settings.connection_idle * 3 / 4;
}

// The module is to count on a connection for as long as the node keeps it, and no longer. An executor answers
// when it has taken a job, before that begins. A pushed list comes over a watch too: what the machine's agent
// has counts as told at once, and only this node calls it, so it is asked again soon.
Settings Node::on_sockets(Settings settings, Time idle) {
  settings.connection_idle = idle;
  settings.tells_taken = true;
  if (!settings.ask_for_roster) settings.ask_within = kSecond / 5;
  settings.ask_for_roster = true;
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

// --- Clients ---

void Node::client_opened(Time now, Id client) {
  now_ = now;
  clients_[client].idle_since = now;
  make_room(client);
}

void Node::client_closed(Time now, Id client) {
  now_ = now;
  const auto found = clients_.find(client);
  if (found == clients_.end()) return;
  const int submission = found->second.submission;
  clients_.erase(found);
  if (submission >= 0) {
    entries_[submission].ended = true;
    rules_.request_over(submission);
    ++figures_.left;
    policy_.client_left(now, submission);
    withdraw_launches(submission);
    release_if_over(submission);
  }
  finish_if_done();
}

void Node::submission_arrived(Time now, Id client, const std::string& id, int use_case, Time due, double hint,
                              int width, PayloadRef submission, std::uint64_t key,
                              const std::string& idempotency_key) {
  now_ = now;
  const auto found = clients_.find(client);
  if (found == clients_.end() || found->second.submission >= 0) return;
  if (found->second.refused) {
    turned_away(use_case);
    return effects_.answer(client, Answer::kPushedBack, nullptr, 0, After::kEnd);
  }
  if (!ids_.insert(id).second) return effects_.answer(client, Answer::kRejected, nullptr, 0, After::kEnd);
  ++figures_.taken;
  const int index = new_entry(client, id, use_case, due, std::move(submission));
  if (logs_attempts(use_case)) {
    entries_[index].idempotency_key = idempotency_key;
    if (refused_without_record(index)) return;
    if (arrives_after_attempt(now, index, hint, width, key)) return;
  }
  policy_.submission_arrived(now, index, use_case, due, hint, width, key, stop_by_);
  if (handing_over_) hand_over_if_ready(index);
}

int Node::new_entry(Id client, const std::string& id, int use_case, Time due, PayloadRef submission) {
  int index = static_cast<int>(entries_.size());
  if (unused_.empty()) {
    entries_.emplace_back();
  } else {
    index = unused_.back();
    unused_.pop_back();
  }
  Client& from = clients_.at(client);
  from.served = true;
  from.submission = index;
  Entry& entry = entries_[index];
  entry.client = client;
  entry.id = id;
  entry.payload = std::move(submission);
  entry.launches.clear();
  entry.use_case = use_case;
  entry.due = due;
  entry.pending = 0;
  entry.rejected = 0;
  entry.last_outcome.reset();
  entry.ended = false;
  rules_.request_taken(index, settings_.use_cases[static_cast<std::size_t>(use_case)], due);
  return index;
}

void Node::turned_away(int use_case) {
  ++figures_.taken;
  count_end(use_case, Answer::kPushedBack);
}

void Node::check(const std::optional<RuleViolation>& violation, const std::string& id) {
  if (!violation) return;
  effects_.note("rule violated: " + std::string(name_of(violation->rule)) + ": request " + id + ": " +
                violation->what);
}

// Why it was not served: what became of its attempts, and how much time was left.
void Node::note_unserved(int submission, Answer answer) {
  const Entry& entry = entries_[submission];
  effects_.note("answer request=" + entry.id + " result=" + name_of(answer) +
                " attempts=" + std::to_string(entry.launches.size()) +
                " last=" + (entry.last_outcome ? name_of(*entry.last_outcome) : "none") +
                " left_ms=" + std::to_string((entry.due - now_) / (kSecond / 1000)));
}

void Node::note_retry(int submission, int executor) {
  const Entry& entry = entries_[submission];
  effects_.note("retry request=" + entry.id + " attempt=" + std::to_string(entry.launches.size()) +
                " executor=" + places_[executor].id +
                " after=" + (entry.last_outcome ? name_of(*entry.last_outcome) : "none"));
}

// Those that a whole list does not name are gone.
void Node::tell_monitor_of_executors() {
  for (std::size_t i = 0; i < policy_.executors.size(); ++i) {
    const Executor& executor = policy_.executors[i];
    rules_.executor_told(now_, static_cast<int>(i), executor.standing, executor.zone, executor.cell);
  }
}

void Node::count_end(int use_case, Answer answer) {
  Figures::UseCase& line = figures_.use_cases[lines_[use_case]];
  ++(answer == Answer::kSatisfied    ? line.satisfied
     : answer == Answer::kPushedBack ? line.pushed_back
                                     : line.aborted);
}

void Node::answer(int submission, Answer answer, const PayloadRef& result, Time stay_away) {
  Entry& entry = entries_[submission];
  if (entry.ended) return;
  entry.ended = true;
  count_end(entry.use_case, answer);
  check(rules_.request_answered(now_, submission), entry.id);
  if (answer != Answer::kSatisfied) note_unserved(submission, answer);
  Client& client = clients_.at(entry.client);
  client.submission = -1;
  client.idle_since = now_;
  // From the last hard limit on nobody is to hand in what the end would find unanswered.
  const After after = answer == Answer::kRejected || now_ >= stop_by_ ? After::kEnd
                      : parting_                                      ? After::kClose
                                                                      : After::kStay;
  effects_.answer(entry.client, answer, result, stay_away, after);
  withdraw_launches(submission);
  release_if_over(submission);  // one that waited for room has no launch whose end would do it
}

// It has its end: what has not gone to its executor by now is not to go, also where nothing may be cancelled.
void Node::withdraw_launches(int submission) {
  if (entries_[submission].pending == 0) return;
  for (const Id launch : entries_[submission].launches)
    if (running_.contains(launch)) effects_.withdraw(launch);
}

void Node::release_if_over(int submission) {
  Entry& entry = entries_[submission];
  if (!entry.ended || entry.pending > 0 || entry.client == 0) return;
  entry.client = 0;
  entry.payload.reset();
  entry.idempotency_key.clear();
  ids_.erase(entry.id);
  unused_.push_back(submission);
}

// --- Descriptors ---

// Clients hold at most half, so that what was taken can still be served. What is idle longest goes first, of
// those that have handed nothing in before all others: hundreds that say nothing must not cost the usual
// ones.
void Node::make_room(Id newest) {
  if (static_cast<int>(clients_.size()) > most_descriptors_ / 2 && !close_longest_idle_client())
    clients_.at(newest).refused = true;
  while (descriptors_used() > most_descriptors_ && close_longest_free_link()) {
  }
}

void Node::keep_to_descriptors() {
  while (descriptors_used() > most_descriptors_ && close_longest_free_link()) {
  }
  // Each that is told to close still counts until it has.
  for (int over = descriptors_used() - most_descriptors_; over > 0 && close_longest_idle_client();) --over;
}

bool Node::close_longest_idle_client() {
  auto longest = clients_.end();
  for (auto client = clients_.begin(); client != clients_.end(); ++client)
    if (client->second.submission < 0 && !client->second.closing && client->second.idle_since < now_ &&
        !(finishes() && !client->second.served && now_ - client->second.idle_since < kFirstByte) &&
        (longest == clients_.end() || std::pair(client->second.served, client->second.idle_since) <
                                          std::pair(longest->second.served, longest->second.idle_since)))
      longest = client;
  if (longest == clients_.end()) return false;
  longest->second.closing = true;
  effects_.close_client(longest->first, finishes());
  closing_.emplace_back(now_ + kMostClosing, longest->first);
  return true;
}

// What is half written when a connection is to close: at the stop it may still come, up to the last hard
// limit.
bool Node::finishes() const {
  return parting_ && now_ < stop_by_;
}

// Those that were told to close and have not: a client that does not end its side holds a descriptor. All of
// them from the last hard limit on, as what they have half written is to be answered before the end.
void Node::close_again() {
  for (std::size_t n = closing_.size(); n > 0; --n) {
    const auto [due, client] = closing_.front();
    if (due > now_ && now_ < stop_by_) return;
    closing_.pop_front();
    const auto found = clients_.find(client);
    if (found == clients_.end()) continue;
    if (found->second.submission < 0) effects_.end_client(client, finishes());
    closing_.emplace_back(now_ + kMostClosing, client);
  }
}

bool Node::close_longest_free_link() {
  int longest = -1;
  for (std::size_t i = 0; i < places_.size(); ++i)
    if (!places_[i].free.empty() &&
        (longest < 0 || places_[i].free.front().since < places_[longest].free.front().since))
      longest = static_cast<int>(i);
  if (longest < 0) return false;
  close_free_link(longest, places_[longest].free.begin());
  return true;
}

void Node::close_free_links(int executor) {
  while (!places_[executor].free.empty()) close_free_link(executor, places_[executor].free.begin());
}

std::deque<Node::FreeLink>::iterator Node::close_free_link(int executor,
                                                           std::deque<FreeLink>::iterator link) {
  effects_.give_up(link->launch);
  --links_;
  policy_.connection_closed(executor);
  return places_[executor].free.erase(link);
}

// --- Launches ---

void Node::launch(int submission, int executor, Time give_up_at) {
  const Id id = ++last_launch_;
  Entry& entry = entries_[submission];
  Place& place = places_[executor];
  Running& running =
      running_.emplace(id, Running{submission, static_cast<int>(entry.launches.size()), executor})
          .first->second;
  entry.launches.push_back(id);
  ++entry.pending;
  const std::optional<RuleViolation> violation =
      rules_.attempt_to_send(now_, submission, executor, give_up_at, terms_.drain_grace);
  check(violation, entry.id);
  if (violation) return end_unsent(id, running);
  if (entry.launches.size() > 1) note_retry(submission, executor);
  Id over = 0;
  if (!place.free.empty()) {
    over = place.free.back().launch;
    place.free.pop_back();
  } else if (descriptors_used() < most_descriptors_ || close_longest_free_link()) {
    ++links_;
  } else {
    return end_unsent(id, running);  // no descriptor is left
  }
  // What it waits for, a connection that comes up late above all, must not carry it beyond the window in
  // which a repeat is recognised; the way there counts.
  const Time window_end = policy_.window_end(policy_.submissions[submission]);
  const Time write_by = window_end == kNever
                            ? kNever
                            : window_end - settings_.quantum - policy_.delay(policy_.executors[executor]);
  AttemptOrder order{id, over, place.address, entry.payload, give_up_at, write_by, nullptr};
  if (logs_attempts(entry.use_case)) order.record = log_attempt(id, submission, executor);
  effects_.launch(order);
  effects_.wake_at(give_up_at, kLaunchToken | id);
}

// After a short pause, so that the module's next try does not come at once.
void Node::end_unsent(Id launch, Running& running) {
  constexpr Time kPause = kSecond / 50;
  running.unsent = true;
  effects_.wake_at(now_ + kPause, kLaunchToken | launch);
}

void Node::cancel(int submission, int launch) {
  const Id id = entries_[submission].launches[launch];
  const auto found = running_.find(id);
  if (found == running_.end() || found->second.cancelled || found->second.unsent) return;
  found->second.cancelled = true;
  // Nobody reads from one that is parked: its own timer ends it.
  if (found->second.reading) return effects_.wake_at(now_, kLaunchToken | id);
  effects_.give_up(id);
}

void Node::push_back(int submission, Time stay_away) {
  answer(submission, Answer::kPushedBack, nullptr, stay_away);
}

void Node::abort(int submission) {
  answer(submission, Answer::kAborted, nullptr, 0);
}

// Its time is over: the thread that serves it may be anywhere, and is not waited for.
void Node::launch_timer_due(Time now, Id launch) {
  const auto found = running_.find(launch);
  if (found == running_.end()) return;
  const Running& running = found->second;
  const Outcome outcome = running.unsent                         ? Outcome::kUnsent
                          : running.cancelled && running.reading ? Outcome::kBroken
                                                                 : Outcome::kTimedOut;
  if (!running.unsent) effects_.give_up(launch);
  launch_ended(now, launch, outcome, nullptr, false, nullptr);
}

void Node::launch_taken(Time now, Id launch) {
  now_ = now;
  const auto found = running_.find(launch);
  if (found == running_.end()) return;
  policy_.launch_taken(now, found->second.submission, found->second.number);
}

void Node::launch_started(Time now, Id launch) {
  now_ = now;
  const auto found = running_.find(launch);
  if (found == running_.end()) return;
  policy_.launch_started(now, found->second.submission, found->second.number);
}

void Node::launch_progressed(Time now, Id launch, double share_done) {
  now_ = now;
  const auto found = running_.find(launch);
  if (found == running_.end()) return;
  policy_.launch_progressed(now, found->second.submission, found->second.number, share_done);
}

void Node::launch_ended(Time now, Id launch, Outcome outcome, PayloadRef result, bool kept,
                        const Load* load) {
  now_ = now;
  const auto found = running_.find(launch);
  if (found == running_.end()) return;
  const Running running = found->second;
  running_.erase(found);
  // One that we gave up ends as a broken connection; what came before that still counts.
  if ((outcome == Outcome::kBroken || outcome == Outcome::kStale) && running.cancelled)
    outcome = Outcome::kCancelled;
  if (kept && !running.cancelled) {
    places_[running.executor].free.push_back({launch, now});
  } else if (!running.unsent) {
    --links_;
    // The module takes it that one that was answered leaves its connection.
    if (outcome == Outcome::kSatisfied || outcome == Outcome::kErrored || outcome == Outcome::kTurnedAway ||
        outcome == Outcome::kRejected)
      policy_.connection_closed(running.executor);
  }
  Entry& entry = entries_[running.submission];
  --entry.pending;
  if (outcome == Outcome::kSatisfied) answer(running.submission, Answer::kSatisfied, result, 0);
  // What two call a bad request is one everywhere; one alone may be the one that is wrong, and quick.
  if (outcome == Outcome::kRejected && ++entry.rejected == 2)
    answer(running.submission, Answer::kRejected, nullptr, 0);
  const Time sent = policy_.submissions[running.submission].launches[running.number].sent;
  entry.last_outcome = outcome;
  rules_.attempt_ended(running.submission, static_cast<std::size_t>(running.number), may_have_run(outcome));
  policy_.launch_ended(now, running.submission, running.number, outcome, now - sent, entry.ended, load);
  if (logs_attempts(entry.use_case))
    attempt_ended(launch, policy_.submissions[running.submission].launches[running.number].may_have_run,
                  outcome);
  release_if_over(running.submission);
  if (!handing_over_) return;
  hand_over_free_links(running.executor);
  hand_over_if_ready(running.submission);
}

// --- The roster ---

void Node::executor_listed(Time now, std::string_view id, std::string_view address, std::string_view zone,
                           std::string_view kind, int cell, Standing standing, Time started, double weight) {
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
    place.started = list_currency_.dated(now, started);
  }
  if (standing == Standing::kGone || restarted || place.address != address) close_free_links(index);
  place.address = address;
  place.held = false;
  if (restarted && std::exchange(place.restored, false)) policy_.executor_learned(now, index, {});
  policy_.executor_listed(now, index, index_of(terms_.zones, zone), index_of(terms_.machine_kinds, kind),
                          cell, standing, place.started, weight, hash_of(id));
  rules_.executor_told(now, index, standing, policy_.executors[index].zone, cell);
}

void Node::roster_arrived(Time now, RosterForm form, std::uint64_t version) {
  now_ = now;
  asked_ = -kNever;
  silences_ = 0;
  roster_version_ = version;
  have_roster_ = true;
  if (form != RosterForm::kRemembered) list_currency_.told();
  list_changed();
  policy_.roster_arrived(now, form);
  if (form == RosterForm::kWhole) tell_monitor_of_executors();
  if (form == RosterForm::kRemembered) return;
  list_from_discovery_ = true;
  recovery_ == nullptr ? open_listener() : open_if_settled(now);
}

void Node::roster_refused(Time now) {
  now_ = now;
  asked_ = -kNever;
  list_currency_.ended(now, false);
  policy_.roster_refused(now);
}

void Node::roster_silent(Time now) {
  now_ = now;
  asked_ = -kNever;
  list_currency_.ended(now, true);
  ++silences_;
  policy_.roster_silent(now);
}

// The version held counts at the new address too: it is one service for all.
void Node::discovery_moved(Time now, std::string address) {
  now_ = now;
  if (discovery_ == address) return;
  discovery_ = std::move(address);
  asked_ = -kNever;
  list_currency_.ended(now, false);
  policy_.roster_moved(now);
}

void Node::settings_changed(Time now, Settings settings, Terms terms) {
  now_ = now;
  continue_numbers(terms_, settings_, terms, settings);
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
void Node::subscribe() {
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
  effects_.watch_roster(discovery_, recovery_ == nullptr ? roster_version_ : 0, within);
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
      link = now - link->since >= link_idle_ || !effects_.still_open(link->launch)
                 ? close_free_link(static_cast<int>(i), link)
                 : std::next(link);
  // Those that were busy, or idle since that very moment, when the others were closed. From the last hard
  // limit on also while the listener still finds no quiet: nobody is to hand in what the end would find
  // unanswered.
  if (closing_idle_ && (listener_closed_ || now >= stop_by_)) close_idle_clients();
  close_again();
  if (platform_.console > 0) publish(now);
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
  std::uint64_t ended = figures_.left;
  for (const Figures::UseCase& line : figures_.use_cases)
    ended += line.satisfied + line.pushed_back + line.aborted;
  ended += figures_.handed_over;
  figures_.outstanding = figures_.taken - ended;
  figures_.violations = rules_.counts();
  figures_.listed = figures_.avoided = 0;
  for (const Executor& executor : policy_.executors) {
    if (executor.standing == Standing::kGone) continue;
    ++figures_.listed;
    if (policy_.avoided(now, executor)) ++figures_.avoided;
  }
  figures_.ready = listening_ && have_roster_ && stop_by_ == kNever;
  effects_.publish(figures_);
}

void Node::stop(Time now) {
  if (stop_by_ != kNever) return;
  now_ = now;
  const Time left = std::min(kMostDeadline, terms_.longest_hard_limit) + kStopSlack;
  stop_by_ = now + left;
  for (std::size_t i = 0; i < entries_.size(); ++i)
    if (!entries_[i].ended) policy_.hurry(now, static_cast<int>(i), stop_by_);
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
