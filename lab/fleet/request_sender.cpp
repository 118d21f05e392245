#include "fleet/request_sender.h"

#include <cstdio>
#include <utility>

#include "http/parser.h"
#include "http/writer.h"
#include "standins/executors.h"

namespace canvasstage::lab::fleet {
namespace {

// A client's patience beyond what it told the node, in seconds: an answer that is late counts as none.
constexpr double kSlack = 0.5;

}  // namespace

RequestSender::RequestSender(Loop& loop, std::string identity,
                             std::function<void(const RequestAnswered&)> answered)
    : loop_(loop), identity_(std::move(identity)), answered_(std::move(answered)) {}

std::string RequestSender::correlation_id(const std::string& identity, std::uint64_t request) {
  char number[20];
  std::snprintf(number, sizeof number, "%08llx", static_cast<unsigned long long>(request));
  return identity + number;
}

void RequestSender::send(const SendRequest& request) {
  net::Socket socket = connect_now(request.node);
  if (!socket.is_open()) {
    const std::int64_t now = steady_us();
    return answered_({request.request, 0, RequestEnd::kUnreachable, now, now});
  }
  const auto stream = std::make_shared<Stream>(loop_, std::move(socket), traffic_);
  open_.emplace(stream.get(), Open{request, stream, steady_us()});
  const std::string id = correlation_id(identity_, request.request);
  std::string bytes;
  http::Writer writer(bytes);
  writer.request("POST", "/" + request.use_case + "/" + id)
      .field("Host", "backend.local")
      .field("Connection", "close")
      .field("X-Correlation-Id", id)
      .field("X-Time-Left", std::to_string(request.time_left_ms) + "m");
  if (!request.idempotency_key.empty()) writer.field("Idempotency-Key", request.idempotency_key);
  writer.body("work");
  stream->start([this](Stream& one) { read_from(one); });
  stream->send(request.halts ? std::string_view(bytes).substr(0, bytes.size() / 2) : std::string_view(bytes));
  close_after(request.time_left_ms / 1000.0 + kSlack, stream, RequestEnd::kOverdue);
  if (request.leave_after_ms > 0) close_after(request.leave_after_ms / 1000.0, stream, RequestEnd::kLeft);
}

void RequestSender::close_after(double seconds, const StreamRef& stream, RequestEnd end) {
  loop_.after(seconds, [this, weak = std::weak_ptr(stream), end] {
    if (const StreamRef open = weak.lock()) close(*open, end);
  });
}

void RequestSender::read_from(Stream& stream) {
  http::Head head(http::Head::Kind::kAnswer);
  const bool whole =
      head.read(stream.in) == http::Progress::kDone && stream.in.size() >= head.size() + head.length;
  if (whole)
    close(stream, RequestEnd::kAnswered, head.status);
  else if (stream.ended())
    close(stream, stream.reached() ? RequestEnd::kBroken : RequestEnd::kUnreachable);
}

void RequestSender::close(Stream& stream, RequestEnd end, int status) {
  const auto found = open_.find(&stream);
  if (found == open_.end()) return;
  const Open closing = found->second;
  open_.erase(found);
  closing.stream->close();
  answered_({closing.request.request, status, end, closing.sent_us, steady_us()});
}

}  // namespace canvasstage::lab::fleet
