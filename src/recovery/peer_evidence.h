// Collects the answers of peer nodes after a start. Peers can add executors and attempts in doubt that this
// node does not know. They can remove nothing and begin no incarnation of discovery, and no single peer can
// keep this node from serving. No I/O, no clock; used on the reducer's thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "policy.h"

namespace canvasstage::recovery {

struct Peer {
  std::string name, address;  // node name, and host:port of its console
  bool operator==(const Peer&) const = default;
};

struct PeerSettings {
  std::vector<Peer> nodes;
  Time poll_interval = kSecond;
  Time poll_duration = 60 * kSecond;  // peers are asked for this long after the start of the process
  Time timeout = kSecond / 2;         // timeout of a call, from connecting to the last byte of the answer
  Time startup_wait = 2 * kSecond;    // longest wait for answers of all peers before clients are served
  std::size_t max_answer_bytes = 1 << 20;
};

// State that a peer reports of itself.
struct PeerSummary {
  std::string node;
  std::uint64_t generation = 0, digest = 0;  // of the peer's executor list
  std::size_t members = 0;
};

class PeerEvidence {
 public:
  // `start_time` is the start of this process. Throws nothing.
  PeerEvidence(PeerSettings settings, Time start_time);

  enum class Verdict { kAccepted, kWrongName };
  // Records the answer of a peer; an answer under another node's name counts as a failure.
  Verdict record_answer(std::size_t peer, const PeerSummary& summary);
  // Discards the last answer of a peer after a failed call.
  void record_failure(std::size_t peer);

  // Returns whether the startup wait is over: each peer has answered once, or `startup_wait` has passed.
  bool is_settled(Time now) const;
  // Returns whether a peer that has never answered may know of a first attempt whose idempotency window, of
  // length `window`, is still open.
  bool may_know_attempt(Time now, Time window) const;
  bool is_polling(Time now) const { return now < start_time_ + settings_.poll_duration; }
  // Returns the peer to ask for its executor list while discovery has sent none: among the lists not received
  // yet, the one that most peers hold, and of those the highest generation. Returns nullopt where no peer has
  // one.
  std::optional<std::size_t> best_list_source() const;
  // Records that the list of a peer arrived.
  void list_received(std::size_t peer);
  const PeerSettings& settings() const { return settings_; }

 private:
  bool all_answered() const;
  const PeerSettings settings_;
  const Time start_time_;
  std::vector<std::optional<PeerSummary>> last_summaries_;  // for each peer, its latest summary
  std::vector<bool> has_answered_;          // for each peer, whether it has answered at least once
  std::set<std::uint64_t> received_lists_;  // digests of the lists that arrived
};

}  // namespace canvasstage::recovery
