#include "recovery/peer_evidence.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace canvasstage::recovery {

PeerEvidence::PeerEvidence(PeerSettings settings, Time start)
    : settings_(std::move(settings)),
      start_(start),
      heard_(settings_.nodes.size()),
      answered_(settings_.nodes.size()) {}

PeerEvidence::Verdict PeerEvidence::answered(std::size_t peer, const PeerSummary& summary) {
  if (summary.node != settings_.nodes[peer].name) {
    failed(peer);
    return Verdict::kWrongName;
  }
  heard_[peer] = summary;
  answered_[peer] = true;
  return Verdict::kAccepted;
}

void PeerEvidence::failed(std::size_t peer) {
  heard_[peer].reset();
}

bool PeerEvidence::all_answered() const {
  return std::ranges::all_of(answered_, [](bool one) { return one; });
}

bool PeerEvidence::is_settled(Time now) const {
  return now >= start_ + settings_.startup_wait || all_answered();
}

bool PeerEvidence::may_know_attempt(Time now, Time window) const {
  return now < start_ + window && !all_answered();
}

void PeerEvidence::list_received(std::size_t peer) {
  if (heard_[peer]) lists_told_.insert(heard_[peer]->digest);
}

std::optional<std::size_t> PeerEvidence::best_list_source() const {
  const auto agreeing = [this](const PeerSummary& list) {
    return std::ranges::count_if(heard_,
                                 [&](const auto& other) { return other && other->digest == list.digest; });
  };
  std::optional<std::size_t> best;
  for (std::size_t peer = 0; peer < heard_.size(); ++peer) {
    if (!heard_[peer] || heard_[peer]->members == 0 || lists_told_.contains(heard_[peer]->digest)) continue;
    const auto rank = [&](std::size_t one) {
      return std::tuple(agreeing(*heard_[one]), heard_[one]->generation);
    };
    if (!best || rank(peer) > rank(*best)) best = peer;
  }
  return best;
}

}  // namespace canvasstage::recovery
