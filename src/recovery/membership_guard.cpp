#include "recovery/membership_guard.h"

#include <utility>

namespace canvasstage::recovery {

void MembershipGuard::restore(std::string discovery_address, std::uint64_t generation) {
  held_discovery_ = std::move(discovery_address);
  held_generation_ = generation;
}

void MembershipGuard::call_started(std::string discovery_address) {
  current_discovery_ = std::move(discovery_address);
  ++current_call_;
}

ListVerdict MembershipGuard::evaluate(Time now, const ListSummary& list, std::size_t held_members,
                                      bool is_late) {
  if (is_late) return ListVerdict::kDrainsOnly;
  if (list.generation < held_generation_) return evaluate_lower_generation(now, list, held_members);
  return accept(now, list, held_members);
}

ListVerdict MembershipGuard::evaluate_lower_generation(Time now, const ListSummary& list,
                                                       std::size_t held_members) {
  const bool same_incarnation = held_list_call_ == current_call_;
  if (same_incarnation || !list.is_snapshot || current_discovery_ != held_discovery_)
    return ListVerdict::kRefuse;
  const bool confirmed =
      candidate_ && candidate_->call < current_call_ && list.generation >= candidate_->generation;
  if (!confirmed) {
    candidate_ = Candidate{current_call_, list.generation};
    return ListVerdict::kConfirm;
  }
  ++incarnations_begun_;
  return accept(now, list, held_members);
}

ListVerdict MembershipGuard::accept(Time now, const ListSummary& list, std::size_t held_members) {
  candidate_.reset();
  held_generation_ = list.generation;
  held_discovery_ = current_discovery_;
  held_list_call_ = current_call_;
  if (!list.is_snapshot) return ListVerdict::kApply;
  if (!is_short(list, hold_until_ ? members_before_hold_ : held_members) ||
      (hold_until_ && now >= *hold_until_)) {
    hold_until_.reset();
    return ListVerdict::kApply;
  }
  if (!hold_until_) {
    hold_until_ = now + settings_.short_list_hold;
    members_before_hold_ = held_members;
  }
  return ListVerdict::kApplyWithoutRemovals;
}

bool MembershipGuard::is_short(const ListSummary& list, std::size_t held_members) const {
  return static_cast<double>(list.members) < settings_.short_list_share * static_cast<double>(held_members);
}

}  // namespace canvasstage::recovery
