#include "net/console.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "http/parser.h"
#include "http/writer.h"

namespace canvasstage::net {
namespace {

// Responses are due within 1 s. A connection that has not sent its request and received the response by this
// time is closed.
constexpr Milliseconds kRequestTimeout{2000};
// How long the other end may take to close after the whole response was sent.
constexpr Milliseconds kCloseTimeout{250};
constexpr Milliseconds kStopPollInterval{200};
// A request is a line and a few header fields.
constexpr std::size_t kMaxRequestBytes = 4096;

std::string make_response(int status, std::string_view content_type, std::string_view body) {
  std::string response;
  http::Writer writer(response);
  writer.answer(status).field("Connection", "close");
  if (!content_type.empty()) writer.field("Content-Type", content_type);
  if (status == 405) writer.field("Allow", "GET");
  writer.body(body);
  return response;
}

std::string escape_label(std::string_view label) {
  std::string escaped;
  for (const char c : label) {
    if (c == '\\' || c == '"') escaped += '\\';
    if (c == '\n')
      escaped += "\\n";
    else
      escaped += c;
  }
  return escaped;
}

}  // namespace

std::string console_response(const std::string& received, const MetricsBoard& board,
                             const recovery::PeerAnswers* peer_answers) {
  http::Head head(http::Head::Kind::kRequest);
  const http::Progress progress = head.read(received);
  if (progress == http::Progress::kHeadTooLarge ||
      (progress == http::Progress::kMore && received.size() >= kMaxRequestBytes))
    return make_response(431, "", "");
  if (progress == http::Progress::kMore) return "";
  if (progress == http::Progress::kBodyTooLarge) return make_response(413, "", "");
  if (progress != http::Progress::kDone) return make_response(400, "", "");
  const std::string_view path = head.target.substr(0, head.target.find('?'));
  const bool is_peer_path = peer_answers != nullptr && (path == "/_recovery" || path == "/_recovery/list");
  if (path != "/_ready" && path != "/_vars" && !is_peer_path) return make_response(404, "", "");
  if (head.method != "GET") return make_response(405, "", "");
  if (is_peer_path) {
    const std::string body = path == "/_recovery" ? peer_answers->summary() : peer_answers->list();
    return body.empty() ? make_response(503, "", "") : make_response(200, "application/json", body);
  }
  const Metrics metrics = board.read();
  if (path == "/_ready") return make_response(metrics.ready ? 200 : 503, "", "");
  return make_response(200, "text/plain; version=0.0.4", format_metrics(metrics, board.attempts_sent()));
}

std::string format_metrics(const Metrics& metrics, std::uint64_t attempts_sent) {
  std::string text;
  const auto append_type = [&text](std::string_view name, std::string_view kind) {
    text.append("# TYPE node_").append(name).append(" ").append(kind).append("\n");
  };
  const auto append_metric = [&text, &append_type](std::string_view name, std::string_view kind,
                                                   std::uint64_t value) {
    append_type(name, kind);
    text.append("node_").append(name).append(" ").append(std::to_string(value)).append("\n");
  };
  append_type("results_total", "counter");
  for (const Metrics::UseCase& use_case : metrics.use_cases)
    for (const auto& [disposition, count] :
         {std::pair("succeeded", use_case.succeeded), std::pair("declined", use_case.shed),
          std::pair("aborted", use_case.failed)})
      text.append("node_results_total{service=\"")
          .append(escape_label(use_case.name))
          .append("\",disposition=\"")
          .append(disposition)
          .append("\"} ")
          .append(std::to_string(count))
          .append("\n");
  append_metric("taken_total", "counter", metrics.accepted);
  append_metric("left_total", "counter", metrics.client_left);
  append_metric("handed_over_total", "counter", metrics.handed_over);
  append_metric("forwards_total", "counter", attempts_sent);
  append_metric("outstanding", "gauge", metrics.outstanding);
  append_metric("discovered", "gauge", static_cast<std::uint64_t>(metrics.listed_executors));
  append_metric("ejected", "gauge", static_cast<std::uint64_t>(metrics.avoided_executors));
  append_type("rule_violations_total", "counter");
  for (std::size_t rule = 0; rule < kRuleCount; ++rule)
    text.append("node_rule_violations_total{rule=\"")
        .append(name_of(static_cast<Rule>(rule)))
        .append("\"} ")
        .append(std::to_string(metrics.violations[rule]))
        .append("\n");
  append_metric("sighup_applied_total", "counter", metrics.reloads_applied);
  append_metric("sighup_rejected_total", "counter", metrics.reloads_rejected);
  return text;
}

void Console::run() {
  std::vector<pollfd> poll_entries;
  while (!stopped_) {
    poll_entries.assign(1, {listener_.fd(), POLLIN, 0});
    Clock::time_point next_wakeup = Clock::now() + kStopPollInterval;
    for (const Connection& connection : connections_) {
      const bool has_output = connection.sent < connection.response.size();
      poll_entries.push_back({connection.socket.fd(), static_cast<short>(has_output ? POLLOUT : POLLIN), 0});
      next_wakeup = std::min(next_wakeup, connection.deadline);
    }
    const auto time_left = std::chrono::ceil<Milliseconds>(next_wakeup - Clock::now());
    ::poll(poll_entries.data(), poll_entries.size(), static_cast<int>(std::max<long>(0, time_left.count())));
    const Clock::time_point now = Clock::now();
    std::size_t index = 0;
    std::erase_if(connections_, [&](Connection& connection) {
      const bool is_ready = poll_entries[++index].revents != 0;
      return (is_ready && !handle_ready(connection)) || now >= connection.deadline;
    });
    if (poll_entries[0].revents != 0) accept_connection();
  }
}

// At the limit the oldest connection that was answered is closed, or the oldest of all where none was
// answered.
void Console::accept_connection() {
  std::string peer;
  Socket socket = accept_from(listener_, peer);
  if (!socket.is_open()) return;
  if (connections_.size() >= kMaxConnections) {
    auto oldest = std::find_if(connections_.begin(), connections_.end(),
                               [](const Connection& c) { return c.all_sent(); });
    connections_.erase(oldest == connections_.end() ? connections_.begin() : oldest);
  }
  connections_.push_back({std::move(socket), Clock::now() + kRequestTimeout, "", ""});
  if (!handle_ready(connections_.back())) connections_.pop_back();
}

bool Console::handle_ready(Connection& connection) {
  if (connection.response.empty() && !read_request(connection)) return false;
  if (connection.response.empty()) return true;
  if (connection.all_sent()) {
    // Discards what still arrives: closing a socket with unread bytes would reset the connection, and the
    // response could be lost.
    const long n = connection.socket.read(nullptr, 65536, MSG_TRUNC | MSG_DONTWAIT);
    return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  }
  const long n =
      connection.socket.write_some(std::string_view(connection.response).substr(connection.sent), {});
  if (n < 0) return false;
  connection.sent += static_cast<std::size_t>(n);
  if (!connection.all_sent()) return true;
  connection.socket.shut_down(SHUT_WR);
  connection.deadline = Clock::now() + kCloseTimeout;
  return true;
}

bool Console::read_request(Connection& connection) {
  char chunk[1024];
  const long n = connection.socket.read(chunk, sizeof chunk, MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return true;
  if (n <= 0) return false;
  connection.request.append(chunk, static_cast<std::size_t>(n));
  connection.response = console_response(connection.request, board_, peer_answers_);
  return true;
}

}  // namespace canvasstage::net
