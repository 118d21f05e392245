#include "recovery/peer_evidence.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace canvasstage::recovery {

PeerEvidence::PeerEvidence(PeerSettings settings, Time start_time)
    : settings_(std::move(settings)),
      start_time_(start_time),
      last_summaries_(settings_.nodes.size()),
      has_answered_(settings_.nodes.size()) {}

PeerEvidence::Verdict PeerEvidence::record_answer(std::size_t peer, const PeerSummary& summary) {
  if (summary.node != settings_.nodes[peer].name) {
    record_failure(peer);
    return Verdict::kWrongName;
  }
  last_summaries_[peer] = summary;
  has_answered_[peer] = true;
  return Verdict::kAccepted;
}

void PeerEvidence::record_failure(std::size_t peer) {
  last_summaries_[peer].reset();
}

bool PeerEvidence::all_answered() const {
  return std::ranges::all_of(has_answered_, [](bool has_answered) { return has_answered; });
}

bool PeerEvidence::is_settled(Time now) const {
  return now >= start_time_ + settings_.startup_wait || all_answered();
}

bool PeerEvidence::may_know_attempt(Time now, Time window) const {
  return now < start_time_ + window && !all_answered();
}

void PeerEvidence::list_received(std::size_t peer) {
  if (last_summaries_[peer]) received_lists_.insert(last_summaries_[peer]->digest);
}

std::optional<std::size_t> PeerEvidence::best_list_source() const {
  const auto count_agreeing = [this](const PeerSummary& list) {
    return std::ranges::count_if(last_summaries_,
                                 [&](const auto& other) { return other && other->digest == list.digest; });
  };
  std::optional<std::size_t> best;
  for (std::size_t peer = 0; peer < last_summaries_.size(); ++peer) {
    if (!last_summaries_[peer] || last_summaries_[peer]->members == 0 ||
        received_lists_.contains(last_summaries_[peer]->digest))
      continue;
    const auto rank = [&](std::size_t index) {
      return std::tuple(count_agreeing(*last_summaries_[index]), last_summaries_[index]->generation);
    };
    if (!best || rank(peer) > rank(*best)) best = peer;
  }
  return best;
}

}  // namespace canvasstage::recovery
