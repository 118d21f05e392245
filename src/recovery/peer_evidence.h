// What other nodes say, as evidence: it can bring members that this node does not know and attempts in doubt.
// It removes nothing, begins no incarnation, and no single peer can stop this node from serving. No I/O, no
// clock.
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
  std::string name, address;  // of the node, and of its second address
  bool operator==(const Peer&) const = default;
};

struct PeerSettings {
  std::vector<Peer> nodes;
  Time poll_interval = kSecond;
  Time poll_duration = 60 * kSecond;       // after the start
  Time timeout = kSecond / 2;              // of each call, from connecting to its last byte
  Time startup_wait = 2 * kSecond;         // for so long nobody is served before all peers were heard
  std::size_t max_answer_bytes = 1 << 20;  // of an answer
};

// What a peer says of itself.
struct PeerSummary {
  std::string node;
  std::uint64_t generation = 0, digest = 0;
  std::size_t members = 0;
};

class PeerEvidence {
 public:
  // Throws nothing; `start`: of this process.
  PeerEvidence(PeerSettings settings, Time start);

  enum class Verdict { kAccepted, kWrongName };
  Verdict answered(std::size_t peer, const PeerSummary& summary);
  void failed(std::size_t peer);

  // Whether nothing more is waited for: each has answered once, or time is up.
  bool is_settled(Time now) const;
  // Whether a peer that never answered may know of a first attempt whose window, of that length, is still
  // open.
  bool may_know_attempt(Time now, Time window) const;
  bool is_polling(Time now) const { return now < start_ + settings_.poll_duration; }
  // Whom to ask for its list where discovery has told none: of the lists that were not asked for yet the one
  // on which most peers agree, and of such the newest. Nothing: nobody has any.
  std::optional<std::size_t> best_list_source() const;
  void list_received(std::size_t peer);
  const PeerSettings& settings() const { return settings_; }

 private:
  bool all_answered() const;
  const PeerSettings settings_;
  const Time start_;
  std::vector<std::optional<PeerSummary>> heard_;  // by peer, the latest
  std::vector<bool> answered_;                     // by peer, at least once
  std::set<std::uint64_t> lists_told_;             // by digest
};

}  // namespace canvasstage::recovery
