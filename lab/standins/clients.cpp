#include "standins/clients.h"

#include <algorithm>
#include <cstdio>

#include "http/parser.h"
#include "http/writer.h"

namespace canvasstage::lab {

Clients::Clients(Loop& loop, std::string node, std::string use_case)
    : loop_(loop), node_(std::move(node)), use_case_(std::move(use_case)) {
  require_loopback(node_);
}

void Clients::send_requests(const LoadSchedule& schedule) {
  schedule_request(LoopClock::now(), schedule);
}

void Clients::schedule_request(LoopTime when, LoadSchedule remaining) {
  if (remaining.requests <= 0) return;
  loop_.at(when, [this, when, remaining]() mutable {
    send_request(remaining.time_left);
    --remaining.requests;
    schedule_request(when + seconds_of(1 / remaining.rate), remaining);
  });
}

Clients::ConnectionRef Clients::take_connection() {
  if (!idle_connections_.empty()) {
    ConnectionRef connection = idle_connections_.back();
    idle_connections_.pop_back();
    return connection;
  }
  net::Socket socket = connect_nonblocking(node_);
  if (!socket.is_open()) return nullptr;
  auto connection = std::make_shared<Connection>();
  connection->stream = std::make_shared<Stream>(loop_, std::move(socket), traffic);
  connections_.emplace(connection.get(), connection);
  connection->stream->start([this, weak = std::weak_ptr(connection)](Stream&) {
    if (const ConnectionRef locked = weak.lock()) read_from(locked);
  });
  return connection;
}

void Clients::send_request(double time_left) {
  const ConnectionRef connection = take_connection();
  ++sent;
  if (!connection) {
    ++failed;
    return;
  }
  char id[20];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(sent));
  std::string request;
  http::Writer(request)
      .request("POST", "/" + use_case_ + "/" + id)
      .field("Host", "backend.local")
      .field("X-Correlation-Id", id)
      .field("X-Account", std::string("t").append(std::to_string(sent % 160)))
      .field("X-Time-Left", std::to_string(static_cast<int>(time_left * 1000)) + "m")
      .field("Idempotency-Key", std::string("key-") + id)
      .body(std::string(200, 'x'));
  connection->busy = true;
  connection->sent_at = LoopClock::now();
  connection->stream->send(request);
}

void Clients::read_from(const ConnectionRef& connection) {
  Stream& stream = *connection->stream;
  http::Head head(http::Head::Kind::kAnswer);
  const bool is_complete = connection->busy && head.read(stream.in) == http::Progress::kDone &&
                           stream.in.size() >= head.size() + head.length;
  if (is_complete) {
    connection->busy = false;
    ++(head.status == 200 ? served : head.status == 429 || head.status == 503 ? refused : failed);
    if (head.status == 200)
      latencies_s.push_back(std::chrono::duration<double>(LoopClock::now() - connection->sent_at).count());
    if (!head.keep_alive) stream.close();
    stream.in.clear();
    if (!stream.ended()) idle_connections_.push_back(connection);
  }
  if (!stream.ended()) return;
  if (connection->busy) ++failed;
  std::erase(idle_connections_, connection);
  connections_.erase(connection.get());
}

void Clients::get(const std::string& address, const std::string& path,
                  std::function<void(std::string)> on_answer) {
  net::Socket socket = connect_nonblocking(address);
  if (!socket.is_open()) return on_answer("");
  const auto stream = std::make_shared<Stream>(loop_, std::move(socket), traffic);
  queries_.emplace(stream.get(), stream);
  stream->start([this, on_answer = std::move(on_answer)](Stream& answered) {
    if (!answered.ended()) return;
    const std::string answer = answered.in;
    queries_.erase(&answered);
    on_answer(answer);
  });
  std::string request;
  http::Writer(request).request("GET", path).field("Host", address).end();
  stream->send(request);
}

}  // namespace canvasstage::lab
