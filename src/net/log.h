// The node's log. Never blocks whoever writes: when it cannot keep up the oldest lines are dropped.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace canvasstage::net {

enum class Side { kClient, kExecutor, kDiscovery };

// Why a connection ended.
enum class Reason {
  kPeerClosed,
  kPeerBroke,
  kLeftWhileOpen,
  kAnsweredLast,
  kIdle,
  kBadMessage,
  kTooLarge,
  kNoRoom,
  kUnreachable,
  kSendFailed,
  kGivenUp,
  kNoReuse,
  kSilent,
  kRefused,
  kMoved,
  kNoThread,
};

void start_log(const std::string& name);
void stop_log();  // writes what is left
void log_connection_end(Side side, std::uint64_t id, std::string_view peer, Reason reason);
void log_note(std::string_view text);

}  // namespace canvasstage::net
