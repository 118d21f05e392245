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

constexpr Milliseconds kLookUp{100};  // how often a pause looks whether it is to end

}  // namespace

PeerCalls::PeerCalls(NodeContext& world, recovery::PeerSettings settings, Time ask_until)
    : world_(world), settings_(std::move(settings)), ask_until_(ask_until), states_(settings_.nodes.size()) {}

void PeerCalls::start() {
  start_thread([this] { run(); });
}

void PeerCalls::run() {
  while (!stopped_ && now() < ask_until_) {
    const Time next = now() + settings_.poll_interval;
    for (std::size_t peer = 0; peer < settings_.nodes.size() && !stopped_; ++peer) ask(peer);
    if (const int wanted = list_wanted_.exchange(-1); wanted >= 0 && !stopped_)
      ask_for_list(static_cast<std::size_t>(wanted));
    constexpr timespec kPause{0, kLookUp.count() * 1000000};
    while (!stopped_ && now() < next) ::nanosleep(&kPause, nullptr);
  }
}

void PeerCalls::ask(std::size_t peer) {
  std::optional<std::string> body = call(settings_.nodes[peer].address, "/_recovery");
  world_.reducer.post([this, peer, body = std::move(body)](Time now) {
    Node& node = *world_.node;
    try {
      if (!body) {
        node.peer_failed(now, peer);
        return note_change(peer, "does not answer");
      }
      rapidjson::Document answer;
      answer.Parse<kNotRecursive>(body->data(), body->size());
      node.peer_answered(now, peer, answer);
      note_change(peer, "answers");
    } catch (const BadInput& input) {
      node.peer_failed(now, peer);
      note_change(peer, std::string("answers nonsense: ") + input.what());
    }
    if (const std::optional<std::size_t> wanted = node.peer_to_ask_for_list())
      list_wanted_ = static_cast<int>(*wanted);
  });
}

void PeerCalls::ask_for_list(std::size_t peer) {
  std::optional<std::string> body = call(settings_.nodes[peer].address, "/_recovery/list");
  if (!body) return;
  world_.reducer.post([this, peer, body = std::move(*body)](Time now) {
    try {
      rapidjson::Document list;
      list.Parse<kNotRecursive>(body.data(), body.size());
      world_.node->peer_list_received(now, peer, list);
    } catch (const BadInput& input) {
      note_change(peer, std::string("tells a list that is none: ") + input.what());
    }
  });
}

void PeerCalls::note_change(std::size_t peer, const std::string& state) {
  if (std::exchange(states_[peer], state) != state)
    log_note("recovery: peer " + settings_.nodes[peer].name + " at " + settings_.nodes[peer].address + " " +
             state);
}

std::optional<std::string> PeerCalls::call(const std::string& address, const std::string& path) const {
  const Milliseconds within(settings_.timeout / (kSecond / 1000));
  const Clock::time_point until = Clock::now() + within;
  std::string bytes;
  try {
    const Socket socket = new_socket();
    if (connect_to(socket, address, within) != 0) return std::nullopt;
    std::string request;
    http::Writer(request).request("GET", path).field("Host", address).field("Connection", "close").end();
    socket.limit_sending(within);
    if (!socket.write(request, {})) return std::nullopt;
    http::Head head(http::Head::Kind::kAnswer);
    for (bool has_head = false;;) {
      const auto left = std::chrono::ceil<Milliseconds>(until - Clock::now());
      if (left <= Milliseconds(0) || bytes.size() > settings_.max_answer_bytes) return std::nullopt;
      socket.limit_reading(left);
      char part[8192];
      const long n = socket.read_until(until, part, sizeof part);
      if (n <= 0) return std::nullopt;
      bytes.append(part, static_cast<std::size_t>(n));
      if (!has_head) {
        // A body that is too large for a request may be none for an answer between nodes.
        const http::Progress progress = head.read(bytes);
        if (progress == http::Progress::kMore) continue;
        has_head = progress == http::Progress::kDone || progress == http::Progress::kBodyTooLarge;
        if (!has_head || head.status != 200 || head.length > settings_.max_answer_bytes) return std::nullopt;
      }
      if (bytes.size() >= head.size() + head.length) return bytes.substr(head.size(), head.length);
    }
  } catch (const std::runtime_error&) {
    return std::nullopt;  // no descriptor was to be had
  }
}

}  // namespace canvasstage::net
