#include "net/server.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <utility>

#include "core/attempt_limits.h"

namespace canvasstage::net {
namespace {

// How long a connection waits for a thread if the system has none to give.
constexpr Time kThreadTimeout = kSecond / 4;

// Backs off between accepts that fail for lack of resources. There is no pause after the first failure,
// because the connections in the backlog age during a pause; later pauses double up to a maximum.
class AcceptBackoff {
 public:
  void reset() { next_pause_ns_ = 0; }
  void wait() {
    constexpr long kMinPauseNs = 250000, kMaxPauseNs = 10000000;
    if (next_pause_ns_ > 0) {
      const timespec pause{0, next_pause_ns_};
      ::nanosleep(&pause, nullptr);
    }
    next_pause_ns_ = std::clamp(2 * next_pause_ns_, kMinPauseNs, kMaxPauseNs);
  }

 private:
  long next_pause_ns_ = 0;
};

}  // namespace

// Clients may use three quarters of the descriptors. The reducer closes idle connections once half are in
// use, but the listener may be far ahead of it, and calls to discovery, the console and executors need
// descriptors as well.
Server::Server(NodeContext& context, Socket listener, Upgrade* upgrade, int descriptors,
               recovery::Store* store)
    : context_(context),
      listener_(std::move(listener)),
      upgrade_(upgrade),
      store_(store),
      max_clients_(std::max(1, descriptors / 4 * 3)) {}

void Server::start() {
  log_note("bound to " + listener_.address());
  writers_.start();
  start_thread([this] { listen(); });
}

// --- The listener ---

void Server::listen() {
  // Once told to close, the listener stays open until no client has connected for this long, so that the
  // clients in the backlog are accepted first.
  constexpr Milliseconds kQuietInterval{50};
  {
    std::unique_lock lock(mutex_);
    state_changed_.wait(lock, [this] { return open_requested_ || close_requested_; });
    if (!open_requested_ && upgrade_ == nullptr)  // told to stop before any client could connect
      return context_.reducer.post([this](Time now) { context_.node->listener_closed(now); });
  }
  try {
    if (upgrade_ == nullptr) start_listening(listener_);
  } catch (const std::runtime_error& failure) {
    return context_.reducer.post([this, what = std::string(failure.what())](Time) {
      failure_ = what;
      context_.reducer.finish();
    });
  }
  log_note("listening on " + listener_.address());
  // Another process that shares the listening socket shares its options, and sets the same timeout.
  listener_.set_receive_timeout(kQuietInterval);
  Time last_accepted_at = 0;
  AcceptBackoff backoff;
  for (;;) {
    if (upgrade_ != nullptr) {
      // Clients still in the backlog when this process closes the socket are left to the other process. That
      // process may also accept a client before this one does, even after poll() has reported it.
      if (close_requested_) break;
      if (!listener_.wait_readable(kQuietInterval)) continue;
    }
    std::string peer;
    const bool full = open_clients_ >= max_clients_;
    if (Socket socket = full ? Socket() : accept_from(listener_, peer); socket.is_open()) {
      accept(std::move(socket), std::move(peer));
      last_accepted_at = now();
      backoff.reset();
      continue;
    }
    if (full || is_local_resource_error(errno)) {
      // No resources to accept with. The reducer closes idle connections as long as it runs.
      if (context_.reducer.finished()) break;
      backoff.wait();
      continue;
    }
    // Any other error does not tell whether more clients are in the backlog.
    const bool nobody_waits = errno == EAGAIN || errno == EWOULDBLOCK;
    if (close_requested_ && nobody_waits &&
        now() - last_accepted_at >= kQuietInterval.count() * (kSecond / 1000))
      break;
  }
  listener_ = Socket();
  context_.reducer.post([this](Time now) { context_.node->listener_closed(now); });
}

void Server::open_listener() {
  const std::lock_guard lock(mutex_);
  open_requested_ = true;
  state_changed_.notify_all();
}

void Server::close_listener() {
  const std::lock_guard lock(mutex_);
  close_requested_ = true;
  state_changed_.notify_all();
}

void Server::accept(Socket socket, std::string peer) {
  const Id id = ++last_client_id_;
  ++open_clients_;
  auto client = std::make_shared<ClientConnection>(id, std::move(socket), std::move(peer), context_);
  context_.reducer.post([this, client](Time now) {
    clients_.emplace(client->id(), client);
    context_.node->client_opened(now, client->id());
  });
  start(client, on_client_closed(id));
}

std::function<void()> Server::on_client_closed(Id client) {
  return [this, client] {
    context_.reducer.post([this, client](Time now) {
      clients_.erase(client);
      --open_clients_;
      context_.node->client_closed(now, client);
    });
  };
}

void Server::start(const std::shared_ptr<ClientConnection>& client, std::function<void()> on_closed) {
  const auto report_end = [on_closed](std::shared_ptr<ClientConnection> connection, Reason reason) {
    const Id id = connection->id();
    const std::string peer = connection->peer();
    connection.reset();
    on_closed();
    // Logged last, so that readers of this line can rely on the reducer having been told.
    log_connection_end(Side::kClient, id, peer, reason);
  };
  start_thread([client, report_end] { report_end(client, client->run()); },
               [client, report_end, started_at = now()] {
                 Reason reason = Reason::kNoThread;
                 if (now() - started_at < kThreadTimeout || !client->refuse_without_thread(reason))
                   return false;
                 report_end(client, reason);
                 return true;
               });
}

std::shared_ptr<ExecutorConnection> Server::new_executor_connection() {
  const std::shared_ptr<const Terms> terms = context_.terms.read();
  const Time connect_timeout = std::min(terms->connect_timeout, terms->drain_grace / 2);
  return std::make_shared<ExecutorConnection>(context_, Milliseconds(connect_timeout / (kSecond / 1000)));
}

void Server::remove_connection(const ExecutorConnection* connection) {
  context_.reducer.post([this, connection](Time) {
    std::erase_if(executor_connections_,
                  [connection](const auto& entry) { return entry.second.get() == connection; });
  });
}

// Starts the connection's thread. If there is none within kThreadTimeout, the attempt ends with the outcome
// `without_thread`.
void Server::start(const std::shared_ptr<ExecutorConnection>& connection, Id attempt,
                   Outcome without_thread) {
  start_thread(
      [this, connection] {
        connection->run();
        remove_connection(connection.get());
      },
      [this, connection, attempt, without_thread, started_at = now()] {
        if (now() - started_at < kThreadTimeout) return false;
        log_note("no thread available in time for a connection to an executor; giving the connection up");
        connection->abandon();
        context_.reducer.post([this, attempt, without_thread](Time now) {
          context_.node->attempt_ended(now, attempt, without_thread, nullptr, false, nullptr);
        });
        remove_connection(connection.get());
        return true;
      });
}

// --- Effects ---

void Server::answer(Id client, Answer answer, const PayloadRef& result, Time retry_after,
                    ConnectionDisposition disposition) {
  const auto found = clients_.find(client);
  if (found == clients_.end()) return;
  char extra_fields[64] = "";
  if (retry_after > 0)
    std::snprintf(extra_fields, sizeof extra_fields, "Retry-After: %.3f\r\n",
                  static_cast<double>(retry_after) / kSecond);
  const int status = answer == Answer::kSucceeded  ? 200
                     : answer == Answer::kShed     ? 503
                     : answer == Answer::kRejected ? 400
                                                   : 502;
  found->second->answer(status, extra_fields, result, disposition != ConnectionDisposition::kKeepOpen,
                        disposition == ConnectionDisposition::kCloseNow, writers_);
}

void Server::close_client(Id client, bool finish_partial_request) {
  if (const auto found = clients_.find(client); found != clients_.end())
    found->second->close_when_idle(finish_partial_request);
}

void Server::close_client_now(Id client, bool finish_partial_request) {
  if (const auto found = clients_.find(client); found != clients_.end())
    found->second->close_now(finish_partial_request);
}

void Server::start_attempt(const AttemptOrder& order) {
  std::shared_ptr<ExecutorConnection> connection;
  if (const auto found = executor_connections_.find(order.reused_connection);
      found != executor_connections_.end()) {
    connection = std::move(found->second);
    executor_connections_.erase(found);
  } else {
    connection = new_executor_connection();
    start(connection, order.attempt, Outcome::kNotSent);
  }
  const Time in_grace = first_byte_deadline(now(), context_.terms.read()->drain_grace);
  const bool recorded = order.record != nullptr && store_ != nullptr;
  connection->start_attempt(order.attempt, order.address, order.request, order.give_up_at,
                            std::min(order.write_by, in_grace), recorded);
  // The connection is established while the record is being written.
  if (recorded)
    store_->append(*order.record, [connection, attempt = order.attempt](recovery::RecordOutcome outcome) {
      outcome == recovery::RecordOutcome::kFailed ? connection->record_failed(attempt)
                                                  : connection->record_written(attempt);
    });
  executor_connections_.emplace(order.attempt, std::move(connection));
}

void Server::abandon_attempt(Id attempt) {
  if (const auto found = executor_connections_.find(attempt); found != executor_connections_.end())
    found->second->abandon();
}

void Server::withdraw_attempt(Id attempt) {
  if (const auto found = executor_connections_.find(attempt); found != executor_connections_.end())
    found->second->withdraw();
}

bool Server::is_connection_open(Id attempt) {
  const auto found = executor_connections_.find(attempt);
  return found != executor_connections_.end() && found->second->is_open();
}

void Server::watch_membership(const std::string& address, std::uint64_t from_version, Time timeout) {
  if (watch_) watch_->cancel();
  watch_ = std::make_shared<MembershipWatch>(context_, address, from_version,
                                             Milliseconds(timeout / (kSecond / 1000)));
  start_thread([watch = watch_] { watch->run(); });
}

void Server::end_threads() {
  close_listener();
  writers_.stop();
  if (watch_) watch_->cancel();
  for (const auto& [id, client] : clients_) client->shut_down();
  for (const auto& [id, connection] : executor_connections_) connection->abandon();
}

}  // namespace canvasstage::net
