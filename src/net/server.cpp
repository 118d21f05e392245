#include "net/server.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <utility>

#include "core/attempt_limits.h"

namespace canvasstage::net {
namespace {

// How long a connection waits for a thread where the system has none.
constexpr Time kMostThreadWait = kSecond / 4;

// Between two accepts that the system refuses: none after the first, as what waits grows old meanwhile, then
// longer and longer ones.
class RefusalPause {
 public:
  void over() { next_ns_ = 0; }
  void wait() {
    constexpr long kFirst = 250000, kLongest = 10000000;  // nanoseconds
    if (next_ns_ > 0) {
      const timespec pause{0, next_ns_};
      ::nanosleep(&pause, nullptr);
    }
    next_ns_ = std::clamp(2 * next_ns_, kFirst, kLongest);
  }

 private:
  long next_ns_ = 0;
};

}  // namespace

// Three quarters of the descriptors: the reducer closes what is idle from a half on, but the listener may be
// far ahead of it, and a call to discovery, the console or an executor is to get one then too.
Server::Server(NodeContext& world, Socket listener, Upgrade* upgrade, int descriptors, recovery::Store* store)
    : world_(world),
      listener_(std::move(listener)),
      upgrade_(upgrade),
      store_(store),
      most_clients_(std::max(1, descriptors / 4 * 3)) {}

void Server::start() {
  log_note("bound to " + listener_.address());
  writers_.start();
  start_thread([this] { listen(); });
}

// --- The listener ---

void Server::listen() {
  // How long nobody must have come before it closes when it is to: what waits in it is taken first.
  constexpr Milliseconds kQuiet{50};
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return opened_ || closing_; });
    if (!opened_ && upgrade_ == nullptr)  // told to stop before anybody could connect
      return world_.reducer.post([this](Time now) { world_.node->listener_closed(now); });
  }
  try {
    if (upgrade_ == nullptr) start_listening(listener_);
  } catch (const std::runtime_error& failure) {
    return world_.reducer.post([this, what = std::string(failure.what())](Time) {
      failure_ = what;
      world_.reducer.finish();
    });
  }
  log_note("listening on " + listener_.address());
  // Its options are another process's too, which sets the same.
  listener_.limit_reading(kQuiet);
  Time came = 0;  // when the last one did
  RefusalPause pause;
  for (;;) {
    if (upgrade_ != nullptr) {
      // What waits there once this one closes is the other's; and what was seen may be gone by now.
      if (closing_) break;
      if (!listener_.readable_within(kQuiet)) continue;
    }
    std::string peer;
    const bool full = clients_open_ >= most_clients_;
    if (Socket socket = full ? Socket() : accept_from(listener_, peer); socket.is_open()) {
      accept(std::move(socket), std::move(peer));
      came = now();
      pause.over();
      continue;
    }
    if (full || is_local_resource_error(errno)) {
      // Nothing to accept with; the reducer is closing what is idle, while it runs.
      if (world_.reducer.finished()) break;
      pause.wait();
      continue;
    }
    // Any other error says nothing of what still waits.
    const bool nobody_waits = errno == EAGAIN || errno == EWOULDBLOCK;
    if (closing_ && nobody_waits && now() - came >= kQuiet.count() * (kSecond / 1000)) break;
  }
  listener_ = Socket();
  world_.reducer.post([this](Time now) { world_.node->listener_closed(now); });
}

void Server::open_listener() {
  const std::lock_guard lock(mutex_);
  opened_ = true;
  changed_.notify_all();
}

void Server::close_listener() {
  const std::lock_guard lock(mutex_);
  closing_ = true;
  changed_.notify_all();
}

void Server::accept(Socket socket, std::string peer) {
  const Id id = ++last_client_;
  ++clients_open_;
  auto client = std::make_shared<ClientConnection>(id, std::move(socket), std::move(peer), world_);
  world_.reducer.post([this, client](Time now) {
    clients_.emplace(client->id(), client);
    world_.node->client_opened(now, client->id());
  });
  start(client, when_gone(id));
}

std::function<void()> Server::when_gone(Id client) {
  return [this, client] {
    world_.reducer.post([this, client](Time now) {
      clients_.erase(client);
      --clients_open_;
      world_.node->client_closed(now, client);
    });
  };
}

void Server::start(const std::shared_ptr<ClientConnection>& client, std::function<void()> gone) {
  const auto ended = [gone](std::shared_ptr<ClientConnection> one, Reason reason) {
    const Id id = one->id();
    const std::string peer = one->peer();
    one.reset();
    gone();
    // Behind that: what is read here has been told.
    log_connection_end(Side::kClient, id, peer, reason);
  };
  start_thread([client, ended] { ended(client, client->run()); },
               [client, ended, from = now()] {
                 Reason reason = Reason::kNoThread;
                 if (now() - from < kMostThreadWait || !client->turn_away(reason)) return false;
                 ended(client, reason);
                 return true;
               });
}

std::shared_ptr<ExecutorConnection> Server::new_link() {
  const std::shared_ptr<const Terms> terms = world_.terms.read();
  const Time within = std::min(terms->connect_timeout, terms->drain_grace / 2);
  return std::make_shared<ExecutorConnection>(world_, Milliseconds(within / (kSecond / 1000)));
}

void Server::forget(const ExecutorConnection* link) {
  world_.reducer.post([this, link](Time) {
    std::erase_if(links_, [link](const auto& entry) { return entry.second.get() == link; });
  });
}

// Where the connection gets no thread in time, its attempt ends like that.
void Server::start(const std::shared_ptr<ExecutorConnection>& link, Id attempt, Outcome without_thread) {
  start_thread(
      [this, link] {
        link->run();
        forget(link.get());
      },
      [this, link, attempt, without_thread, from = now()] {
        if (now() - from < kMostThreadWait) return false;
        log_note("no thread to be had for a connection to an executor");
        link->give_up();
        world_.reducer.post([this, attempt, without_thread](Time now) {
          world_.node->attempt_ended(now, attempt, without_thread, nullptr, false, nullptr);
        });
        forget(link.get());
        return true;
      });
}

// --- Effects ---

void Server::answer(Id client, Answer answer, const PayloadRef& result, Time stay_away,
                    ConnectionDisposition after) {
  const auto found = clients_.find(client);
  if (found == clients_.end()) return;
  char extra[64] = "";
  if (stay_away > 0)
    std::snprintf(extra, sizeof extra, "Retry-After: %.3f\r\n", static_cast<double>(stay_away) / kSecond);
  const int status = answer == Answer::kSucceeded  ? 200
                     : answer == Answer::kShed     ? 503
                     : answer == Answer::kRejected ? 400
                                                   : 502;
  found->second->answer(status, extra, result, after != ConnectionDisposition::kKeepOpen,
                        after == ConnectionDisposition::kCloseNow, writers_);
}

void Server::close_client(Id client, bool finishes) {
  if (const auto found = clients_.find(client); found != clients_.end())
    found->second->close_when_idle(finishes);
}

void Server::close_client_now(Id client, bool finishes) {
  if (const auto found = clients_.find(client); found != clients_.end()) found->second->end_now(finishes);
}

void Server::start_attempt(const AttemptOrder& order) {
  std::shared_ptr<ExecutorConnection> link;
  if (const auto found = links_.find(order.reused_connection); found != links_.end()) {
    link = std::move(found->second);
    links_.erase(found);
  } else {
    link = new_link();
    start(link, order.attempt, Outcome::kNotSent);
  }
  const Time in_grace = first_byte_deadline(now(), world_.terms.read()->drain_grace);
  const bool recorded = order.record != nullptr && store_ != nullptr;
  link->launch(order.attempt, order.address, order.request, order.give_up_at,
               std::min(order.write_by, in_grace), recorded);
  // It connects while its record is written.
  if (recorded)
    store_->append(*order.record, [link, attempt = order.attempt](recovery::RecordOutcome outcome) {
      outcome == recovery::RecordOutcome::kFailed ? link->record_failed(attempt)
                                                  : link->record_written(attempt);
    });
  links_.emplace(order.attempt, std::move(link));
}

void Server::abandon_attempt(Id launch) {
  if (const auto found = links_.find(launch); found != links_.end()) found->second->give_up();
}

void Server::withdraw_attempt(Id launch) {
  if (const auto found = links_.find(launch); found != links_.end()) found->second->withdraw();
}

bool Server::is_connection_open(Id launch) {
  const auto found = links_.find(launch);
  return found != links_.end() && found->second->still_open();
}

void Server::watch_membership(const std::string& address, std::uint64_t from_version, Time within) {
  if (watch_) watch_->give_up();
  watch_ = std::make_shared<Watch>(world_, address, from_version, Milliseconds(within / (kSecond / 1000)));
  start_thread([watch = watch_] { watch->run(); });
}

void Server::end_threads() {
  close_listener();
  writers_.stop();
  if (watch_) watch_->give_up();
  for (const auto& [id, client] : clients_) client->shut();
  for (const auto& [id, link] : links_) link->give_up();
}

}  // namespace canvasstage::net
