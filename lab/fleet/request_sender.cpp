#include "fleet/request_sender.h"

#include <cstdio>
#include <utility>

#include "http/parser.h"
#include "http/writer.h"

namespace canvasstage::lab::fleet {
namespace {

// A client's patience beyond what it told the node, in seconds: an answer that is late counts as none.
constexpr double kSlack = 0.5;

}  // namespace

RequestSender::RequestSender(Loop& loop, std::string identity,
                             std::function<void(const RequestAnswered&)> answered)
    : loop_(loop), identity_(std::move(identity)), answered_(std::move(answered)) {}

void RequestSender::send(const SendRequest& request) {
  net::Socket socket = connect_now(request.node);
  if (!socket.open()) return answered_({request.request, 0});
  const auto stream = std::make_shared<Stream>(loop_, std::move(socket), traffic_);
  open_.emplace(stream.get(), Open{request, stream});
  char id[40];
  std::snprintf(id, sizeof id, "%s%08llx", identity_.c_str(), static_cast<unsigned long long>(++sent_));
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
  stream->send(bytes);
  loop_.after(request.time_left_ms / 1000.0 + kSlack, [this, weak = std::weak_ptr(stream)] {
    if (const StreamRef late = weak.lock()) close(*late, 0);
  });
}

void RequestSender::read_from(Stream& stream) {
  http::Head head(http::Head::Kind::kAnswer);
  const bool whole =
      head.read(stream.in) == http::Progress::kDone && stream.in.size() >= head.size() + head.length;
  if (whole)
    close(stream, head.status);
  else if (stream.ended())
    close(stream, 0);
}

void RequestSender::close(Stream& stream, int status) {
  const auto found = open_.find(&stream);
  if (found == open_.end()) return;
  const Open closing = found->second;
  open_.erase(found);
  closing.stream->close();
  answered_({closing.request.request, status});
}

}  // namespace canvasstage::lab::fleet
