#include "standins/executors.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "http/parser.h"
#include "http/writer.h"

namespace canvasstage::lab {
namespace {

std::string address_of(int executor) {
  constexpr int kOctetValues = 250;
  return "127." + std::to_string(16 + executor / kOctetValues / kOctetValues) + "." +
         std::to_string(executor / kOctetValues % kOctetValues) + "." +
         std::to_string(1 + executor % kOctetValues) + ":0";
}

std::string answer_line(const std::string& id, const std::string& rest) {
  return encode_chunk(R"({"id":")" + id + R"(","from":"stand-in",)" + rest + "}\n");
}

std::string answer_head(int status, bool unprocessed) {
  std::string out;
  http::Writer writer(out);
  writer.answer(status);
  if (unprocessed) writer.field("X-Unprocessed", "1");
  if (status == 200)
    writer.field("Transfer-Encoding", "chunked").end();
  else
    writer.body("");
  return out;
}

// Parses "480m"; returns -1 if the field is absent or malformed.
std::int64_t parse_milliseconds(std::string_view field) {
  std::int64_t value = -1;
  const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), value);
  return error == std::errc() && std::string_view(end, field.data() + field.size()) == "m" ? value : -1;
}

}  // namespace

std::int64_t steady_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(LoopClock::now().time_since_epoch()).count();
}

Executors::Executors(Loop& loop, int count, double run_time, std::vector<AttemptFaultRule> rules)
    : loop_(loop), run_time_s_(run_time) {
  if (count < 1 || count > kMaxExecutors)
    throw StandinError("executors: out of bounds: 1 to " + std::to_string(kMaxExecutors));
  faults(std::move(rules));
  for (int i = 0; i < count; ++i) listen_at(address_of(i));
}

Executors::Executors(Loop& loop, const std::vector<std::string>& addresses, double run_time)
    : loop_(loop), run_time_s_(run_time) {
  for (const std::string& address : addresses) listen_at(address);
}

void Executors::listen_at(const std::string& address) {
  require_loopback(address);
  const std::size_t executor = listeners_.size();
  listeners_.push_back(net::listen_on(address));
  addresses_.push_back(listeners_.back().address());
  loop_.watch(listeners_.back().fd(), [this, executor] { accept_from(executor); });
}

void Executors::faults(std::vector<AttemptFaultRule> rules) {
  faults_ = std::move(rules);
  accumulated_shares_.assign(faults_.size(), 0);
}

// Accepts one connection; epoll is level-triggered and reports the pending ones again.
void Executors::accept_from(std::size_t executor) {
  net::Socket socket = accept_nonblocking(listeners_[executor]);
  if (!socket.is_open()) return;
  const auto connection = std::make_shared<Connection>();
  connection->executor = executor;
  connection->stream = std::make_shared<Stream>(loop_, std::move(socket), traffic);
  connections_.emplace(connection.get(), connection);
  connection->stream->start([this, weak = std::weak_ptr(connection)](Stream&) {
    if (const ConnectionRef locked = weak.lock()) read_from(locked);
  });
}

void Executors::end_connection(const ConnectionRef& connection) {
  if (connection->busy) {
    ++broken;
    --open;
  }
  connection->busy = false;
  connections_.erase(connection.get());
}

void Executors::read_from(const ConnectionRef& connection) {
  Stream& stream = *connection->stream;
  if (stream.ended()) return end_connection(connection);
  if (connection->busy || stream.in.empty()) return;
  http::Head head(http::Head::Kind::kRequest);
  const http::Progress progress = head.read(stream.in);
  if (progress == http::Progress::kMore) return;
  if (progress != http::Progress::kDone) {
    stream.send(answer_head(400, false));
    stream.close();
    return end_connection(connection);
  }
  const std::size_t message_size = head.size() + head.length;
  if (stream.in.size() < message_size) return;
  StartedAttempt attempt{connection->executor, std::string(head.field("X-Correlation-Id")),
                         std::string(head.field("Idempotency-Key")),
                         parse_milliseconds(head.field("X-Time-Left")), steady_us()};
  stream.in.erase(0, message_size);
  if (attempt.id.empty()) return stream.send(answer_head(404, false));
  start_attempt(connection, std::move(attempt));
}

const AttemptFaultRule* Executors::next_fault() {
  const double now = std::chrono::duration<double>(LoopClock::now() - start_).count();
  for (std::size_t i = 0; i < faults_.size(); ++i) {
    if (now < faults_[i].from || now >= faults_[i].until) continue;
    accumulated_shares_[i] += faults_[i].share;
    if (accumulated_shares_[i] < 1 - 1e-9) continue;
    accumulated_shares_[i] -= 1;
    return &faults_[i];
  }
  return nullptr;
}

void Executors::start_attempt(const ConnectionRef& connection, StartedAttempt attempt) {
  ++received;
  const std::string id = attempt.id;
  const AttemptFaultRule* const fault = next_fault();
  if (fault != nullptr) ++faulted;
  if (fault != nullptr && fault->kind == AttemptFault::kRefuse)
    return connection->stream->send(answer_head(503, true));
  ++open;
  connection->busy = true;
  ++connection->attempt_serial;
  if (on_begun_) on_begun_(attempt);
  if (fault == nullptr) return run_attempt(connection, id, run_time_s_);
  if (fault->kind == AttemptFault::kReset) {
    connection->stream->reset();
    return end_connection(connection);
  }
  if (fault->kind == AttemptFault::kSilent) connection->stream->send(answer_head(200, false));
  if (fault->kind == AttemptFault::kLate)
    loop_.after(fault->late,
                [this, weak = std::weak_ptr(connection), attempt_serial = connection->attempt_serial, id] {
                  const ConnectionRef locked = weak.lock();
                  if (locked && locked->busy && locked->attempt_serial == attempt_serial)
                    run_attempt(locked, id, run_time_s_);
                });
}

void Executors::run_attempt(const ConnectionRef& connection, const std::string& id, double seconds) {
  connection->stream->send(answer_head(200, false) + answer_line(id, R"("state":"started")") +
                           answer_line(id, R"("state":"running","share":0.1)"));
  loop_.after(seconds,
              [this, weak = std::weak_ptr(connection), attempt_serial = connection->attempt_serial, id] {
                if (const ConnectionRef locked = weak.lock()) finish_attempt(locked, attempt_serial, id);
              });
  if (progress_interval_s_ > 0 && progress_interval_s_ < seconds)
    schedule_progress(connection, connection->attempt_serial, id);
}

void Executors::schedule_progress(const ConnectionRef& connection, std::uint64_t attempt_serial,
                                  const std::string& id) {
  loop_.after(progress_interval_s_, [this, weak = std::weak_ptr(connection), attempt_serial, id] {
    const ConnectionRef locked = weak.lock();
    if (!locked || !locked->busy || locked->attempt_serial != attempt_serial) return;
    locked->stream->send(answer_line(id, R"("state":"running","share":0.1)"));
    schedule_progress(locked, attempt_serial, id);
  });
}

void Executors::finish_attempt(const ConnectionRef& connection, std::uint64_t attempt_serial,
                               const std::string& id) {
  if (!connection->busy || connection->attempt_serial != attempt_serial) return;
  connection->busy = false;
  --open;
  ++done;
  connection->stream->send(answer_line(id, R"("state":"done","result":"made )" + id + "\"") + "0\r\n\r\n");
  read_from(connection);
}

}  // namespace canvasstage::lab
