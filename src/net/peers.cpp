#include "net/peers.h"

#include <sys/socket.h>
#include <time.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "http/writer.h"
#include "net/log.h"

namespace canvasstage::net {
namespace {

constexpr Milliseconds kStopPollInterval{100};  // how often the pause between rounds checks for a stop

}  // namespace

PeerPoller::PeerPoller(NodeContext& context, recovery::PeerSettings settings, Time poll_until)
    : context_(context),
      settings_(std::move(settings)),
      poll_until_(poll_until),
      logged_states_(settings_.nodes.size()) {}

void PeerPoller::start() {
  start_thread([this] { run(); });
}

void PeerPoller::run() {
  while (!stopped_ && now() < poll_until_) {
    const Time next_round = now() + settings_.poll_interval;
    for (std::size_t peer = 0; peer < settings_.nodes.size() && !stopped_; ++peer) poll_peer(peer);
    if (const int list_source = list_source_.exchange(-1); list_source >= 0 && !stopped_)
      request_list(static_cast<std::size_t>(list_source));
    constexpr timespec kPause{0, kStopPollInterval.count() * 1000000};
    while (!stopped_ && now() < next_round) ::nanosleep(&kPause, nullptr);
  }
}

void PeerPoller::poll_peer(std::size_t peer) {
  std::optional<std::string> body = get(settings_.nodes[peer].address, "/_recovery");
  context_.reducer.post([this, peer, body = std::move(body)](Time now) {
    Node& node = *context_.node;
    try {
      if (!body) {
        node.peer_failed(now, peer);
        return log_state_change(peer, "does not answer");
      }
      rapidjson::Document answer;
      answer.Parse<kIterativeJsonParse>(body->data(), body->size());
      node.peer_answered(now, peer, answer);
      log_state_change(peer, "answers");
    } catch (const BadInput& input) {
      node.peer_failed(now, peer);
      log_state_change(peer, std::string("answers nonsense: ") + input.what());
    }
    if (const std::optional<std::size_t> list_source = node.peer_to_ask_for_list())
      list_source_ = static_cast<int>(*list_source);
  });
}

void PeerPoller::request_list(std::size_t peer) {
  std::optional<std::string> body = get(settings_.nodes[peer].address, "/_recovery/list");
  if (!body) return;
  context_.reducer.post([this, peer, body = std::move(*body)](Time now) {
    try {
      rapidjson::Document list;
      list.Parse<kIterativeJsonParse>(body.data(), body.size());
      context_.node->peer_list_received(now, peer, list);
    } catch (const BadInput& input) {
      log_state_change(peer, std::string("sent an invalid executor list: ") + input.what());
    }
  });
}

void PeerPoller::log_state_change(std::size_t peer, const std::string& state) {
  if (std::exchange(logged_states_[peer], state) != state)
    log_note("recovery: peer " + settings_.nodes[peer].name + " at " + settings_.nodes[peer].address + " " +
             state);
}

std::optional<std::string> PeerPoller::get(const std::string& address, const std::string& path) const {
  const Milliseconds timeout(settings_.timeout / (kSecond / 1000));
  const Clock::time_point deadline = Clock::now() + timeout;
  std::string bytes;
  try {
    const Socket socket = new_socket();
    if (connect_to(socket, address, timeout) != 0) return std::nullopt;
    std::string request;
    http::Writer(request).request("GET", path).field("Host", address).field("Connection", "close").end();
    socket.set_send_timeout(timeout);
    if (!socket.write(request, {})) return std::nullopt;
    http::Head head(http::Head::Kind::kAnswer);
    for (bool has_head = false;;) {
      const auto time_left = std::chrono::ceil<Milliseconds>(deadline - Clock::now());
      if (time_left <= Milliseconds(0) || bytes.size() > settings_.max_answer_bytes) return std::nullopt;
      socket.set_receive_timeout(time_left);
      char chunk[8192];
      const long n = socket.read_until(deadline, chunk, sizeof chunk);
      if (n <= 0) return std::nullopt;
      bytes.append(chunk, static_cast<std::size_t>(n));
      if (!has_head) {
        // An answer between nodes may have a body that is too large for a request.
        const http::Progress progress = head.read(bytes);
        if (progress == http::Progress::kMore) continue;
        has_head = progress == http::Progress::kDone || progress == http::Progress::kBodyTooLarge;
        if (!has_head || head.status != 200 || head.length > settings_.max_answer_bytes) return std::nullopt;
      }
      if (bytes.size() >= head.size() + head.length) return bytes.substr(head.size(), head.length);
    }
  } catch (const std::runtime_error&) {
    return std::nullopt;  // no descriptor was available
  }
}

}  // namespace canvasstage::net
