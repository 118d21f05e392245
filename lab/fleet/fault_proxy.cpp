#include "fleet/fault_proxy.h"

#include <utility>

namespace canvasstage::lab::fleet {

FaultProxy::FaultProxy(Loop& loop, const std::string& listen, std::string target)
    : loop_(loop), target_(std::move(target)), address_(listen) {
  require_loopback(listen);
  require_loopback(target_);
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

void FaultProxy::set_fault(LinkFault fault, int delay_ms) {
  const bool was_silent = std::exchange(fault_, fault) == LinkFault::kSilent;
  delay_ms_ = delay_ms;
  if (fault == LinkFault::kCut || fault == LinkFault::kReset) reset_all();
  fault == LinkFault::kCut ? close_listener() : open_listener();
  if (!was_silent || fault == LinkFault::kSilent) return;
  const auto open_connections = connections_;  // a copy, since forwarding may remove connections
  for (const auto& [key, connection] : open_connections) {
    forward(connection, true);
    forward(connection, false);
  }
}

void FaultProxy::reset_all() {
  for (const auto& [key, connection] : std::exchange(connections_, {})) {
    connection->client->reset();
    connection->server->reset();
  }
}

void FaultProxy::accept() {
  net::Socket client = accept_nonblocking(listener_);
  if (!client.is_open()) return;
  net::Socket server = connect_nonblocking(target_);
  const auto connection = std::make_shared<Connection>();
  connection->client = std::make_shared<Stream>(loop_, std::move(client), traffic_);
  if (!server.is_open()) return connection->client->reset();
  connection->server = std::make_shared<Stream>(loop_, std::move(server), traffic_);
  connections_.emplace(connection.get(), connection);
  const auto start = [this, &connection](const StreamRef& stream, bool from_client) {
    stream->start([this, weak = std::weak_ptr(connection), from_client](Stream&) {
      if (const ConnectionRef open = weak.lock()) forward(open, from_client);
    });
  };
  start(connection->client, true);
  start(connection->server, false);
}

// While the link is silent, received bytes and the end of the stream stay unread in the receiving stream.
void FaultProxy::forward(const ConnectionRef& connection, bool from_client) {
  if (fault_ == LinkFault::kSilent) return;
  const StreamRef from = from_client ? connection->client : connection->server;
  const StreamRef to = from_client ? connection->server : connection->client;
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
