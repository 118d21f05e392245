#include "standins/executors.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "http/parser.h"
#include "http/writer.h"

namespace canvasstage::lab {
namespace {

std::string address_of(int executor) {
  constexpr int kInRow = 250;
  return "127." + std::to_string(16 + executor / kInRow / kInRow) + "." +
         std::to_string(executor / kInRow % kInRow) + "." + std::to_string(1 + executor % kInRow) + ":0";
}

std::string line(const std::string& id, const std::string& rest) {
  return chunk(R"({"id":")" + id + R"(","from":"stand-in",)" + rest + "}\n");
}

std::string head_of(int status, bool unprocessed) {
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

// Of "480m"; negative where there is none.
std::int64_t milliseconds_of(std::string_view field) {
  std::int64_t value = -1;
  const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), value);
  return error == std::errc() && std::string_view(end, field.data() + field.size()) == "m" ? value : -1;
}

}  // namespace

std::int64_t steady_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(LoopClock::now().time_since_epoch()).count();
}

Executors::Executors(Loop& loop, int count, double run_time, std::vector<JobFaultRule> rules)
    : loop_(loop), run_time_(run_time) {
  if (count < 1 || count > kMostExecutors)
    throw BadStandin("executors: 1 to " + std::to_string(kMostExecutors));
  faults(std::move(rules));
  for (int i = 0; i < count; ++i) listen_at(address_of(i));
}

Executors::Executors(Loop& loop, const std::vector<std::string>& at, double run_time)
    : loop_(loop), run_time_(run_time) {
  for (const std::string& address : at) listen_at(address);
}

void Executors::listen_at(const std::string& address) {
  need_loopback(address);
  const std::size_t executor = listeners_.size();
  listeners_.push_back(net::listen_on(address));
  addresses_.push_back(listeners_.back().address());
  loop_.watch(listeners_.back().fd(), [this, executor] { accept_from(executor); });
}

void Executors::faults(std::vector<JobFaultRule> rules) {
  faults_ = std::move(rules);
  owed_.assign(faults_.size(), 0);
}

// One at a time: what waits behind it is told of again.
void Executors::accept_from(std::size_t executor) {
  net::Socket socket = accept_now(listeners_[executor]);
  if (!socket.is_open()) return;
  const auto connection = std::make_shared<Connection>();
  connection->executor = executor;
  connection->stream = std::make_shared<Stream>(loop_, std::move(socket), traffic);
  connections_.emplace(connection.get(), connection);
  connection->stream->start([this, weak = std::weak_ptr(connection)](Stream&) {
    if (const ConnectionRef one = weak.lock()) read_from(one);
  });
}

void Executors::end(const ConnectionRef& connection) {
  if (connection->busy) {
    ++broken;
    --open;
  }
  connection->busy = false;
  connections_.erase(connection.get());
}

void Executors::read_from(const ConnectionRef& connection) {
  Stream& stream = *connection->stream;
  if (stream.ended()) return end(connection);
  if (connection->busy || stream.in.empty()) return;
  http::Head head(http::Head::Kind::kRequest);
  const http::Progress progress = head.read(stream.in);
  if (progress == http::Progress::kMore) return;
  if (progress != http::Progress::kDone) {
    stream.send(head_of(400, false));
    stream.close();
    return end(connection);
  }
  const std::size_t whole = head.size() + head.length;
  if (stream.in.size() < whole) return;
  BegunJob job{connection->executor, std::string(head.field("X-Correlation-Id")),
               std::string(head.field("Idempotency-Key")), milliseconds_of(head.field("X-Time-Left")),
               steady_us()};
  stream.in.erase(0, whole);
  if (job.id.empty()) return stream.send(head_of(404, false));
  take(connection, std::move(job));
}

const JobFaultRule* Executors::fault_now() {
  const double now = std::chrono::duration<double>(LoopClock::now() - start_).count();
  for (std::size_t i = 0; i < faults_.size(); ++i) {
    if (now < faults_[i].from || now >= faults_[i].until) continue;
    owed_[i] += faults_[i].share;
    if (owed_[i] < 1 - 1e-9) continue;
    owed_[i] -= 1;
    return &faults_[i];
  }
  return nullptr;
}

void Executors::take(const ConnectionRef& connection, BegunJob begun) {
  ++came;
  const std::string id = begun.id;
  const JobFaultRule* const fault = fault_now();
  if (fault != nullptr) ++faulty;
  if (fault != nullptr && fault->kind == JobFault::kRefuse)
    return connection->stream->send(head_of(503, true));
  ++open;
  connection->busy = true;
  ++connection->job;
  if (begun_) begun_(begun);
  if (fault == nullptr) return run(connection, id, run_time_);
  if (fault->kind == JobFault::kReset) {
    connection->stream->reset();
    return end(connection);
  }
  if (fault->kind == JobFault::kSilent) connection->stream->send(head_of(200, false));
  if (fault->kind == JobFault::kLate)
    loop_.after(fault->late, [this, weak = std::weak_ptr(connection), job = connection->job, id] {
      const ConnectionRef one = weak.lock();
      if (one && one->busy && one->job == job) run(one, id, run_time_);
    });
}

void Executors::run(const ConnectionRef& connection, const std::string& id, double seconds) {
  connection->stream->send(head_of(200, false) + line(id, R"("state":"started")") +
                           line(id, R"("state":"running","share":0.1)"));
  loop_.after(seconds, [this, weak = std::weak_ptr(connection), job = connection->job, id] {
    if (const ConnectionRef one = weak.lock()) finish(one, job, id);
  });
  if (progress_ > 0 && progress_ < seconds) tell_progress(connection, connection->job, id);
}

void Executors::tell_progress(const ConnectionRef& connection, std::uint64_t job, const std::string& id) {
  loop_.after(progress_, [this, weak = std::weak_ptr(connection), job, id] {
    const ConnectionRef one = weak.lock();
    if (!one || !one->busy || one->job != job) return;
    one->stream->send(line(id, R"("state":"running","share":0.1)"));
    tell_progress(one, job, id);
  });
}

void Executors::finish(const ConnectionRef& connection, std::uint64_t job, const std::string& id) {
  if (!connection->busy || connection->job != job) return;
  connection->busy = false;
  --open;
  ++done;
  connection->stream->send(line(id, R"("state":"done","result":"made )" + id + "\"") + "0\r\n\r\n");
  read_from(connection);
}

}  // namespace canvasstage::lab
