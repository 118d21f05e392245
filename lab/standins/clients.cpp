#include "standins/clients.h"

#include <algorithm>
#include <cstdio>

#include "http/parser.h"
#include "http/writer.h"

namespace canvasstage::lab {

Clients::Clients(Loop& loop, std::string node, std::string use_case)
    : loop_(loop), node_(std::move(node)), use_case_(std::move(use_case)) {
  need_loopback(node_);
}

void Clients::hand_in(const Submitting& submitting) {
  hand_in_at(LoopClock::now(), submitting);
}

void Clients::hand_in_at(LoopTime when, Submitting rest) {
  if (rest.jobs <= 0) return;
  loop_.at(when, [this, when, rest]() mutable {
    submit(rest.time_left);
    --rest.jobs;
    hand_in_at(when + seconds_of(1 / rest.rate), rest);
  });
}

Clients::ConnectionRef Clients::connection() {
  if (!idle_.empty()) {
    ConnectionRef last = idle_.back();
    idle_.pop_back();
    return last;
  }
  net::Socket socket = connect_now(node_);
  if (!socket.is_open()) return nullptr;
  auto fresh = std::make_shared<Connection>();
  fresh->stream = std::make_shared<Stream>(loop_, std::move(socket), traffic);
  all_.emplace(fresh.get(), fresh);
  fresh->stream->start([this, weak = std::weak_ptr(fresh)](Stream&) {
    if (const ConnectionRef one = weak.lock()) read_from(one);
  });
  return fresh;
}

void Clients::submit(double time_left) {
  const ConnectionRef one = connection();
  ++sent;
  if (!one) {
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
  one->busy = true;
  one->sent_at = LoopClock::now();
  one->stream->send(request);
}

void Clients::read_from(const ConnectionRef& connection) {
  Stream& stream = *connection->stream;
  http::Head head(http::Head::Kind::kAnswer);
  const bool whole = connection->busy && head.read(stream.in) == http::Progress::kDone &&
                     stream.in.size() >= head.size() + head.length;
  if (whole) {
    connection->busy = false;
    ++(head.status == 200 ? served : head.status == 429 || head.status == 503 ? refused : failed);
    if (head.status == 200)
      took.push_back(std::chrono::duration<double>(LoopClock::now() - connection->sent_at).count());
    if (!head.keep_alive) stream.close();
    stream.in.clear();
    if (!stream.ended()) idle_.push_back(connection);
  }
  if (!stream.ended()) return;
  if (connection->busy) ++failed;
  std::erase(idle_, connection);
  all_.erase(connection.get());
}

void Clients::ask(const std::string& address, const std::string& path,
                  std::function<void(std::string)> then) {
  net::Socket socket = connect_now(address);
  if (!socket.is_open()) return then("");
  const auto stream = std::make_shared<Stream>(loop_, std::move(socket), traffic);
  asking_.emplace(stream.get(), stream);
  stream->start([this, then = std::move(then)](Stream& one) {
    if (!one.ended()) return;
    const std::string answer = one.in;
    asking_.erase(&one);
    then(answer);
  });
  std::string request;
  http::Writer(request).request("GET", path).field("Host", address).end();
  stream->send(request);
}

}  // namespace canvasstage::lab
