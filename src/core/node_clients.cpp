// The part of Node that takes requests from clients, answers them, and keeps to the descriptors that it may
// have.
#include <algorithm>
#include <utility>

#include "core/node.h"

namespace canvasstage {
namespace {

// How long a client has to end its side of a connection that is to close.
constexpr Time kMostClosing = kSecond / 4;
// Whoever connects has something to hand in, and it is on its way.
constexpr Time kFirstByte = kSecond * 3 / 10;

const char* name_of(Answer answer) {
  return answer == Answer::kSucceeded  ? "succeeded"
         : answer == Answer::kShed     ? "shed"
         : answer == Answer::kRejected ? "rejected"
                                       : "failed";
}

const char* name_of(Outcome outcome) {
  static constexpr const char* kNames[] = {"succeeded", "errored", "turned_away", "timed_out", "unreachable",
                                           "broken",    "stale",   "cancelled",   "unsent",    "rejected"};
  return kNames[static_cast<std::size_t>(outcome)];
}

}  // namespace

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
    rules_.request_released(submission);
    ++figures_.client_left;
    policy_.client_left(now, submission);
    withdraw_launches(submission);
    release_if_over(submission);
  }
  finish_if_done();
}

void Node::request_arrived(Time now, Id client, const std::string& id, int use_case, Time due, double hint,
                           int width, PayloadRef submission, std::uint64_t key,
                           const std::string& idempotency_key) {
  now_ = now;
  const auto found = clients_.find(client);
  if (found == clients_.end() || found->second.submission >= 0) return;
  if (found->second.refused) {
    request_shed_unread(use_case);
    return effects_.answer(client, Answer::kShed, nullptr, 0, ConnectionDisposition::kCloseNow);
  }
  if (!ids_.insert(id).second)
    return effects_.answer(client, Answer::kRejected, nullptr, 0, ConnectionDisposition::kCloseNow);
  ++figures_.accepted;
  const int index = new_entry(client, id, use_case, due, std::move(submission));
  if (logs_attempts(use_case)) {
    entries_[index].idempotency_key = idempotency_key;
    if (refused_without_record(index)) return;
    if (arrives_after_attempt(now, index, hint, width, key)) return;
  }
  policy_.request_arrived(now, index, use_case, due, hint, width, key, stop_by_);
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
  rules_.request_accepted(index, settings_.use_cases[static_cast<std::size_t>(use_case)], due);
  return index;
}

void Node::request_shed_unread(int use_case) {
  ++figures_.accepted;
  count_end(use_case, Answer::kShed);
}

void Node::check(const std::optional<RuleViolation>& violation, const std::string& id) {
  if (!violation) return;
  effects_.log("rule violated: " + std::string(name_of(violation->rule)) + ": request " + id + ": " +
               violation->what);
}

// Why it was not served: what became of its attempts, and how much time was left.
void Node::note_unserved(int submission, Answer answer) {
  const Entry& entry = entries_[submission];
  effects_.log("answer request=" + entry.id + " result=" + name_of(answer) +
               " attempts=" + std::to_string(entry.launches.size()) +
               " last=" + (entry.last_outcome ? name_of(*entry.last_outcome) : "none") +
               " left_ms=" + std::to_string((entry.due - now_) / (kSecond / 1000)));
}

void Node::note_retry(int submission, int executor) {
  const Entry& entry = entries_[submission];
  effects_.log("retry request=" + entry.id + " attempt=" + std::to_string(entry.launches.size()) +
               " executor=" + places_[executor].id +
               " after=" + (entry.last_outcome ? name_of(*entry.last_outcome) : "none"));
}

void Node::count_end(int use_case, Answer answer) {
  Metrics::UseCase& line = figures_.use_cases[lines_[use_case]];
  ++(answer == Answer::kSucceeded ? line.succeeded : answer == Answer::kShed ? line.shed : line.failed);
}

void Node::answer(int submission, Answer answer, const PayloadRef& result, Time stay_away) {
  Entry& entry = entries_[submission];
  if (entry.ended) return;
  entry.ended = true;
  count_end(entry.use_case, answer);
  check(rules_.request_answered(now_, submission), entry.id);
  if (answer != Answer::kSucceeded) note_unserved(submission, answer);
  Client& client = clients_.at(entry.client);
  client.submission = -1;
  client.idle_since = now_;
  // From the last hard limit on nobody is to hand in what the end would find unanswered.
  const ConnectionDisposition after = answer == Answer::kRejected || now_ >= stop_by_
                                          ? ConnectionDisposition::kCloseNow
                                      : parting_ ? ConnectionDisposition::kCloseWhenAnswered
                                                 : ConnectionDisposition::kKeepOpen;
  effects_.answer(entry.client, answer, result, stay_away, after);
  withdraw_launches(submission);
  release_if_over(submission);  // one that waited for room has no launch whose end would do it
}

// It has its end: what has not gone to its executor by now is not to go, also where nothing may be cancelled.
void Node::withdraw_launches(int submission) {
  if (entries_[submission].pending == 0) return;
  for (const Id launch : entries_[submission].launches)
    if (running_.contains(launch)) effects_.withdraw_attempt(launch);
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
    if (found->second.submission < 0) effects_.close_client_now(client, finishes());
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
  effects_.abandon_attempt(link->launch);
  --links_;
  policy_.connection_closed(executor);
  return places_[executor].free.erase(link);
}

}  // namespace canvasstage
