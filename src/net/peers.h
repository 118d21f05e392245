// Polls the other nodes for what they know after a power loss of this node: one thread, one call at a time,
// for a limited time after the start. The answers are posted to the reducer, which takes all decisions.
#pragma once

#include <atomic>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "net/node_context.h"
#include "recovery/peer_evidence.h"

namespace canvasstage::net {

class PeerPoller {
 public:
  // No round begins after `poll_until`.
  PeerPoller(NodeContext& context, recovery::PeerSettings settings, Time poll_until);
  void start();
  void stop() { stopped_ = true; }

 private:
  void run();
  void poll_peer(std::size_t peer);
  void request_list(std::size_t peer);
  // Returns the body of an answer with status 200, or nothing where the call failed, the answer took longer
  // than the timeout or is larger than the limit.
  std::optional<std::string> get(const std::string& address, const std::string& path) const;
  void log_state_change(std::size_t peer, const std::string& state);

  NodeContext& context_;
  const recovery::PeerSettings settings_;
  const Time poll_until_;
  // For each peer, the state logged last. Only the reducer's thread uses it.
  std::vector<std::string> logged_states_;
  std::atomic<bool> stopped_{false};
  // The peer to request the executor list from, set by the reducer; negative: none.
  std::atomic<int> list_source_{-1};
};

}  // namespace canvasstage::net
