// Asks other nodes for what they know after a power loss: one thread, one call at a time, for a while after
// the start. No decision is taken here.
#pragma once

#include <atomic>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "net/world.h"
#include "recovery/peer_evidence.h"

namespace canvasstage::net {

class PeerCalls {
 public:
  // `ask_until`: when the last round begins.
  PeerCalls(NodeContext& world, recovery::PeerSettings settings, Time ask_until);
  void start();
  void stop() { stopped_ = true; }

 private:
  void run();
  void ask(std::size_t peer);
  void ask_for_list(std::size_t peer);
  // The body of an answer 200; nothing where the call failed, came late or is too long.
  std::optional<std::string> call(const std::string& address, const std::string& path) const;
  void note_change(std::size_t peer, const std::string& state);

  NodeContext& world_;
  const recovery::PeerSettings settings_;
  const Time ask_until_;
  std::vector<std::string> states_;  // by peer, on the reducer's thread: what was last noted of it
  std::atomic<bool> stopped_{false};
  // The peer whose list is wanted, decided by the reducer; negative: none's.
  std::atomic<int> list_wanted_{-1};
};

}  // namespace canvasstage::net
