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

// Answers are due within 1 s: whoever has not asked by then had time enough.
constexpr Milliseconds kMostAsking{2000};
// How long one that was answered may take to close.
constexpr Milliseconds kMostClosing{250};
constexpr Milliseconds kLookUp{200};
// A call is a line and a few fields.
constexpr std::size_t kMostCall = 4096;

std::string answer(int status, std::string_view type, std::string_view body) {
  std::string out;
  http::Writer writer(out);
  writer.answer(status).field("Connection", "close");
  if (!type.empty()) writer.field("Content-Type", type);
  if (status == 405) writer.field("Allow", "GET");
  writer.body(body);
  return out;
}

std::string escaped(std::string_view label) {
  std::string out;
  for (const char c : label) {
    if (c == '\\' || c == '"') out += '\\';
    if (c == '\n')
      out += "\\n";
    else
      out += c;
  }
  return out;
}

}  // namespace

std::string console_answer(const std::string& bytes, const MetricsBoard& board,
                           const recovery::PeerAnswers* peers) {
  http::Head head(http::Head::Kind::kRequest);
  const http::Progress progress = head.read(bytes);
  if (progress == http::Progress::kHeadTooLarge ||
      (progress == http::Progress::kMore && bytes.size() >= kMostCall))
    return answer(431, "", "");
  if (progress == http::Progress::kMore) return "";
  if (progress == http::Progress::kBodyTooLarge) return answer(413, "", "");
  if (progress != http::Progress::kDone) return answer(400, "", "");
  const std::string_view path = head.target.substr(0, head.target.find('?'));
  const bool for_peers = peers != nullptr && (path == "/_recovery" || path == "/_recovery/list");
  if (path != "/_ready" && path != "/_vars" && !for_peers) return answer(404, "", "");
  if (head.method != "GET") return answer(405, "", "");
  if (for_peers) {
    const std::string body = path == "/_recovery" ? peers->summary() : peers->list();
    return body.empty() ? answer(503, "", "") : answer(200, "application/json", body);
  }
  const Metrics figures = board.read();
  if (path == "/_ready") return answer(figures.ready ? 200 : 503, "", "");
  return answer(200, "text/plain; version=0.0.4", format_metrics(figures, board.attempts_sent()));
}

std::string format_metrics(const Metrics& figures, std::uint64_t forwards) {
  std::string out;
  const auto type = [&out](std::string_view name, std::string_view kind) {
    out.append("# TYPE node_").append(name).append(" ").append(kind).append("\n");
  };
  const auto line = [&out, &type](std::string_view name, std::string_view kind, std::uint64_t value) {
    type(name, kind);
    out.append("node_").append(name).append(" ").append(std::to_string(value)).append("\n");
  };
  type("results_total", "counter");
  for (const Metrics::UseCase& one : figures.use_cases)
    for (const auto& [word, count] : {std::pair("succeeded", one.succeeded), std::pair("declined", one.shed),
                                      std::pair("aborted", one.failed)})
      out.append("node_results_total{service=\"")
          .append(escaped(one.name))
          .append("\",disposition=\"")
          .append(word)
          .append("\"} ")
          .append(std::to_string(count))
          .append("\n");
  line("taken_total", "counter", figures.accepted);
  line("left_total", "counter", figures.client_left);
  line("handed_over_total", "counter", figures.handed_over);
  line("forwards_total", "counter", forwards);
  line("outstanding", "gauge", figures.outstanding);
  line("discovered", "gauge", static_cast<std::uint64_t>(figures.listed_executors));
  line("ejected", "gauge", static_cast<std::uint64_t>(figures.avoided_executors));
  type("rule_violations_total", "counter");
  for (std::size_t rule = 0; rule < kRules; ++rule)
    out.append("node_rule_violations_total{rule=\"")
        .append(name_of(static_cast<Rule>(rule)))
        .append("\"} ")
        .append(std::to_string(figures.violations[rule]))
        .append("\n");
  line("sighup_applied_total", "counter", figures.reloads_applied);
  line("sighup_rejected_total", "counter", figures.reloads_rejected);
  return out;
}

void Console::run() {
  std::vector<pollfd> waits;
  while (!stopped_) {
    waits.assign(1, {listener_.fd(), POLLIN, 0});
    Clock::time_point next = Clock::now() + kLookUp;
    for (const Caller& caller : callers_) {
      const bool writes = caller.sent < caller.out.size();
      waits.push_back({caller.socket.fd(), static_cast<short>(writes ? POLLOUT : POLLIN), 0});
      next = std::min(next, caller.until);
    }
    const auto left = std::chrono::ceil<Milliseconds>(next - Clock::now());
    ::poll(waits.data(), waits.size(), static_cast<int>(std::max<long>(0, left.count())));
    const Clock::time_point now = Clock::now();
    std::size_t at = 0;
    std::erase_if(callers_, [&](Caller& caller) {
      const bool moves = waits[++at].revents != 0;
      return (moves && !go_on(caller)) || now >= caller.until;
    });
    if (waits[0].revents != 0) accept_one();
  }
}

// Where the room is full the oldest goes, and of those that were not answered yet only if there are no
// others.
void Console::accept_one() {
  std::string peer;
  Socket socket = accept_from(listener_, peer);
  if (!socket.is_open()) return;
  if (callers_.size() >= kRoom) {
    auto oldest =
        std::find_if(callers_.begin(), callers_.end(), [](const Caller& c) { return c.said_all(); });
    callers_.erase(oldest == callers_.end() ? callers_.begin() : oldest);
  }
  callers_.push_back({std::move(socket), Clock::now() + kMostAsking, "", ""});
  if (!go_on(callers_.back())) callers_.pop_back();
}

bool Console::go_on(Caller& caller) {
  if (caller.out.empty() && !read_from(caller)) return false;
  if (caller.out.empty()) return true;
  if (caller.said_all()) {
    // What it still says is dropped: closing with bytes unread would destroy the answer.
    const long n = caller.socket.read(nullptr, 65536, MSG_TRUNC | MSG_DONTWAIT);
    return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  }
  const long n = caller.socket.write_some(std::string_view(caller.out).substr(caller.sent), {});
  if (n < 0) return false;
  caller.sent += static_cast<std::size_t>(n);
  if (!caller.said_all()) return true;
  caller.socket.shut(SHUT_WR);
  caller.until = Clock::now() + kMostClosing;
  return true;
}

bool Console::read_from(Caller& caller) {
  char part[1024];
  const long n = caller.socket.read(part, sizeof part, MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return true;
  if (n <= 0) return false;
  caller.in.append(part, static_cast<std::size_t>(n));
  caller.out = console_answer(caller.in, board_, peers_);
  return true;
}

}  // namespace canvasstage::net
