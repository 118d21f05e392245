// The node's log, written to standard output by a thread of its own. Logging never blocks the caller: if the
// thread cannot keep up, the oldest lines are dropped. All functions but start_log() and stop_log() may be
// called from any thread.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace canvasstage::net {

// The kind of peer at the other end of a connection.
enum class Side { kClient, kExecutor, kDiscovery };

// Why a connection ended. The log line uses the name of the enumerator in lower case.
enum class Reason {
  kPeerClosed,
  kConnectionBroken,
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

// `name` is the node's name, which each line starts with after the time. Lines logged before are lost.
void start_log(const std::string& name);
// Writes the remaining lines and ends the log's thread.
void stop_log();
// Writes one line in the form that tools match: end side=... id=... peer=... reason=...
void log_connection_end(Side side, std::uint64_t id, std::string_view peer, Reason reason);
void log_note(std::string_view text);

}  // namespace canvasstage::net
