// The part of Node that takes requests from clients, answers them and keeps the number of open connections
// within the descriptor limit.
#include <algorithm>
#include <utility>

#include "core/node.h"

namespace canvasstage {
namespace {

// How long a client may take to end its side of a connection that it was told to close.
constexpr Time kCloseTimeout = kSecond / 4;
// How long a new client is not closed during a stop, as its first request is on its way.
constexpr Time kFirstRequestTimeout = kSecond * 3 / 10;

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
  make_room_for_client(client);
}

void Node::client_closed(Time now, Id client) {
  now_ = now;
  const auto found = clients_.find(client);
  if (found == clients_.end()) return;
  const int request = found->second.request;
  clients_.erase(found);
  if (request >= 0) {
    request_slots_[request].ended = true;
    rule_monitor_.request_released(request);
    ++metrics_.client_left;
    policy_.client_left(now, request);
    withdraw_attempts(request);
    release_if_finished(request);
  }
  finish_if_done();
}

void Node::request_arrived(Time now, Id client, const std::string& id, int use_case, Time deadline,
                           double work_hint, int width, PayloadRef payload, std::uint64_t data_key,
                           const std::string& idempotency_key) {
  now_ = now;
  const auto found = clients_.find(client);
  if (found == clients_.end() || found->second.request >= 0) return;
  if (found->second.refused) {
    request_shed_unread(use_case);
    return effects_.answer(client, Answer::kShed, nullptr, 0, ConnectionDisposition::kCloseNow);
  }
  if (!open_request_ids_.insert(id).second)
    return effects_.answer(client, Answer::kRejected, nullptr, 0, ConnectionDisposition::kCloseNow);
  ++metrics_.accepted;
  const int index = add_request(client, id, use_case, deadline, std::move(payload));
  if (logs_attempts(use_case)) {
    request_slots_[index].idempotency_key = idempotency_key;
    if (shed_without_record(index)) return;
    if (continue_earlier_attempt(now, index, work_hint, width, data_key)) return;
  }
  policy_.request_arrived(now, index, use_case, deadline, work_hint, width, data_key, stop_deadline_);
  if (handing_over_) hand_over_if_ready(index);
}

int Node::add_request(Id client, const std::string& id, int use_case, Time deadline, PayloadRef payload) {
  int index = static_cast<int>(request_slots_.size());
  if (free_slots_.empty()) {
    request_slots_.emplace_back();
  } else {
    index = free_slots_.back();
    free_slots_.pop_back();
  }
  Client& sender = clients_.at(client);
  sender.sent_request = true;
  sender.request = index;
  RequestSlot& slot = request_slots_[index];
  slot.client = client;
  slot.id = id;
  slot.payload = std::move(payload);
  slot.attempts.clear();
  slot.use_case = use_case;
  slot.deadline = deadline;
  slot.pending_attempts = 0;
  slot.invalid_request_count = 0;
  slot.last_outcome.reset();
  slot.ended = false;
  rule_monitor_.request_accepted(index, settings_.use_cases[static_cast<std::size_t>(use_case)], deadline);
  return index;
}

void Node::request_shed_unread(int use_case) {
  ++metrics_.accepted;
  count_answer(use_case, Answer::kShed);
}

void Node::report_violation(const std::optional<RuleViolation>& violation, const std::string& id) {
  if (!violation) return;
  effects_.log("rule violated: " + std::string(name_of(violation->rule)) + ": request " + id + ": " +
               violation->description);
}

// Logs why a request was not served: the outcome of its last attempt and the time left before its deadline.
void Node::log_unsuccessful_answer(int request, Answer answer) {
  const RequestSlot& slot = request_slots_[request];
  effects_.log("answer request=" + slot.id + " result=" + name_of(answer) +
               " attempts=" + std::to_string(slot.attempts.size()) +
               " last=" + (slot.last_outcome ? name_of(*slot.last_outcome) : "none") +
               " left_ms=" + std::to_string((slot.deadline - now_) / (kSecond / 1000)));
}

void Node::log_retry(int request, int executor) {
  const RequestSlot& slot = request_slots_[request];
  effects_.log("retry request=" + slot.id + " attempt=" + std::to_string(slot.attempts.size()) +
               " executor=" + executors_[executor].id +
               " after=" + (slot.last_outcome ? name_of(*slot.last_outcome) : "none"));
}

void Node::count_answer(int use_case, Answer answer) {
  Metrics::UseCase& counters = metrics_.use_cases[metrics_indices_[use_case]];
  ++(answer == Answer::kSucceeded ? counters.succeeded
     : answer == Answer::kShed    ? counters.shed
                                  : counters.failed);
}

void Node::answer(int request, Answer answer, const PayloadRef& result, Time retry_after) {
  RequestSlot& slot = request_slots_[request];
  if (slot.ended) return;
  slot.ended = true;
  count_answer(slot.use_case, answer);
  report_violation(rule_monitor_.request_answered(now_, request), slot.id);
  if (answer != Answer::kSucceeded) log_unsuccessful_answer(request, answer);
  Client& client = clients_.at(slot.client);
  client.request = -1;
  client.idle_since = now_;
  // From the stop deadline on no client may send a request that the end of the process would leave
  // unanswered.
  const ConnectionDisposition disposition = answer == Answer::kRejected || now_ >= stop_deadline_
                                                ? ConnectionDisposition::kCloseNow
                                            : draining_clients_ ? ConnectionDisposition::kCloseWhenAnswered
                                                                : ConnectionDisposition::kKeepOpen;
  effects_.answer(slot.client, answer, result, retry_after, disposition);
  withdraw_attempts(request);
  release_if_finished(request);  // a queued request has no attempt whose end would release it
}

// Withdraws the attempts that have not been sent yet: the request is finished. This applies also where
// attempts may not be cancelled.
void Node::withdraw_attempts(int request) {
  if (request_slots_[request].pending_attempts == 0) return;
  for (const Id attempt : request_slots_[request].attempts)
    if (running_attempts_.contains(attempt)) effects_.withdraw_attempt(attempt);
}

void Node::release_if_finished(int request) {
  RequestSlot& slot = request_slots_[request];
  if (!slot.ended || slot.pending_attempts > 0 || slot.client == 0) return;
  slot.client = 0;
  slot.payload.reset();
  slot.idempotency_key.clear();
  open_request_ids_.erase(slot.id);
  free_slots_.push_back(request);
}

// --- Descriptors ---

// Limits the clients to half of the descriptors, so that accepted requests can still be sent to executors.
// Closes the longest idle client first; clients that have never sent a request go before all others, so that
// hundreds of silent connections do not displace active clients.
void Node::make_room_for_client(Id new_client) {
  if (static_cast<int>(clients_.size()) > max_descriptors_ / 2 && !close_longest_idle_client())
    clients_.at(new_client).refused = true;
  while (descriptors_used() > max_descriptors_ && close_longest_idle_connection()) {
  }
}

void Node::enforce_descriptor_limit() {
  while (descriptors_used() > max_descriptors_ && close_longest_idle_connection()) {
  }
  // A client that is told to close still counts until its connection is closed.
  for (int excess = descriptors_used() - max_descriptors_; excess > 0 && close_longest_idle_client();)
    --excess;
}

bool Node::close_longest_idle_client() {
  auto longest = clients_.end();
  for (auto client = clients_.begin(); client != clients_.end(); ++client)
    if (client->second.request < 0 && !client->second.closing && client->second.idle_since < now_ &&
        !(finishes_partial_requests() && !client->second.sent_request &&
          now_ - client->second.idle_since < kFirstRequestTimeout) &&
        (longest == clients_.end() ||
         std::pair(client->second.sent_request, client->second.idle_since) <
             std::pair(longest->second.sent_request, longest->second.idle_since)))
      longest = client;
  if (longest == clients_.end()) return false;
  longest->second.closing = true;
  effects_.close_client(longest->first, finishes_partial_requests());
  closing_clients_.emplace_back(now_ + kCloseTimeout, longest->first);
  return true;
}

// Returns whether a request that is partly received when its connection is to close may still arrive in full:
// during a stop, until the stop deadline.
bool Node::finishes_partial_requests() const {
  return draining_clients_ && now_ < stop_deadline_;
}

// Closes by force the clients that were told to close and have not: a client that does not end its side holds
// a descriptor. From the stop deadline on all of them are closed at once, as their partly received requests
// must be answered before the end.
void Node::force_close_clients() {
  for (std::size_t n = closing_clients_.size(); n > 0; --n) {
    const auto [close_at, client] = closing_clients_.front();
    if (close_at > now_ && now_ < stop_deadline_) return;
    closing_clients_.pop_front();
    const auto found = clients_.find(client);
    if (found == clients_.end()) continue;
    if (found->second.request < 0) effects_.close_client_now(client, finishes_partial_requests());
    closing_clients_.emplace_back(now_ + kCloseTimeout, client);
  }
}

bool Node::close_longest_idle_connection() {
  int longest = -1;
  for (std::size_t i = 0; i < executors_.size(); ++i)
    if (!executors_[i].idle_connections.empty() &&
        (longest < 0 || executors_[i].idle_connections.front().idle_since <
                            executors_[longest].idle_connections.front().idle_since))
      longest = static_cast<int>(i);
  if (longest < 0) return false;
  close_idle_connection(longest, executors_[longest].idle_connections.begin());
  return true;
}

void Node::close_idle_connections(int executor) {
  while (!executors_[executor].idle_connections.empty())
    close_idle_connection(executor, executors_[executor].idle_connections.begin());
}

std::deque<Node::IdleConnection>::iterator Node::close_idle_connection(
    int executor, std::deque<IdleConnection>::iterator connection) {
  effects_.abandon_attempt(connection->attempt);
  --executor_connection_count_;
  policy_.connection_closed(executor);
  return executors_[executor].idle_connections.erase(connection);
}

}  // namespace canvasstage
