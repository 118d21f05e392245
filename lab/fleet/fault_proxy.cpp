#include "fleet/fault_proxy.h"

#include <utility>

namespace canvasstage::lab::fleet {

FaultProxy::FaultProxy(Loop& loop, const std::string& listen, std::string target)
    : loop_(loop), target_(std::move(target)), address_(listen) {
  need_loopback(listen);
  need_loopback(target_);
  open_listener();
  address_ = listener_.address();
}

FaultProxy::~FaultProxy() {
  close_listener();
}

void FaultProxy::open_listener() {
  if (listener_.is_open()) return;
  listener_ = net::listen_on(address_);
  loop_.watch(listener_.fd(), [this] { accept(); });
}

void FaultProxy::close_listener() {
  if (!listener_.is_open()) return;
  loop_.forget(listener_.fd());
  listener_ = net::Socket();
}

void FaultProxy::set(LinkFault fault, int delay_ms) {
  const bool was_silent = std::exchange(fault_, fault) == LinkFault::kSilent;
  delay_ms_ = delay_ms;
  if (fault == LinkFault::kCut || fault == LinkFault::kReset) reset_all();
  fault == LinkFault::kCut ? close_listener() : open_listener();
  if (!was_silent || fault == LinkFault::kSilent) return;
  const auto held = connections_;  // passing on may end some
  for (const auto& [key, connection] : held) {
    pass(connection, true);
    pass(connection, false);
  }
}

void FaultProxy::reset_all() {
  for (const auto& [key, connection] : std::exchange(connections_, {})) {
    connection->near->reset();
    connection->far->reset();
  }
}

void FaultProxy::accept() {
  net::Socket near = accept_now(listener_);
  if (!near.is_open()) return;
  net::Socket far = connect_now(target_);
  const auto connection = std::make_shared<Connection>();
  connection->near = std::make_shared<Stream>(loop_, std::move(near), traffic_);
  if (!far.is_open()) return connection->near->reset();
  connection->far = std::make_shared<Stream>(loop_, std::move(far), traffic_);
  connections_.emplace(connection.get(), connection);
  const auto start = [this, &connection](const StreamRef& stream, bool from_near) {
    stream->start([this, weak = std::weak_ptr(connection), from_near](Stream&) {
      if (const ConnectionRef one = weak.lock()) pass(one, from_near);
    });
  };
  start(connection->near, true);
  start(connection->far, false);
}

// While a connection is silent its bytes stay where they came, its end too.
void FaultProxy::pass(const ConnectionRef& connection, bool from_near) {
  if (fault_ == LinkFault::kSilent) return;
  const StreamRef from = from_near ? connection->near : connection->far;
  const StreamRef to = from_near ? connection->far : connection->near;
  std::string bytes = std::exchange(from->in, {});
  const bool ended = from->ended();
  const auto deliver = [this, connection, to, ended, bytes = std::move(bytes)] {
    to->send(bytes);
    if (!ended) return;
    to->close();
    connections_.erase(connection.get());
  };
  if (fault_ == LinkFault::kDelay)
    loop_.after(delay_ms_ / 1000.0, deliver);
  else
    deliver();
}

}  // namespace canvasstage::lab::fleet
