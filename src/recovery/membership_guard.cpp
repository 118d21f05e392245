#include "recovery/membership_guard.h"

#include <utility>

namespace canvasstage::recovery {

void MembershipGuard::restore(std::string discovery, std::uint64_t generation) {
  held_from_ = std::move(discovery);
  held_generation_ = generation;
}

void MembershipGuard::call_started(std::string discovery) {
  called_ = std::move(discovery);
  ++call_;
}

ListVerdict MembershipGuard::evaluate(Time now, const ListSummary& told, std::size_t held_members,
                                      bool late) {
  if (late) return ListVerdict::kDrainsOnly;
  if (told.generation < held_generation_) return lower_generation_told(now, told, held_members);
  return take(now, told, held_members);
}

ListVerdict MembershipGuard::lower_generation_told(Time now, const ListSummary& told,
                                                   std::size_t held_members) {
  const bool same_incarnation = held_on_call_ == call_;
  if (same_incarnation || !told.is_snapshot || called_ != held_from_) return ListVerdict::kRefuse;
  const bool confirmed = candidate_ && candidate_->call < call_ && told.generation >= candidate_->generation;
  if (!confirmed) {
    candidate_ = Candidate{call_, told.generation};
    return ListVerdict::kConfirm;
  }
  ++incarnations_begun_;
  return take(now, told, held_members);
}

ListVerdict MembershipGuard::take(Time now, const ListSummary& told, std::size_t held_members) {
  candidate_.reset();
  held_generation_ = told.generation;
  held_from_ = called_;
  held_on_call_ = call_;
  if (!told.is_snapshot) return ListVerdict::kApply;
  if (!is_short(told, hold_until_ ? hold_members_ : held_members) || (hold_until_ && now >= *hold_until_)) {
    hold_until_.reset();
    return ListVerdict::kApply;
  }
  if (!hold_until_) {
    hold_until_ = now + settings_.short_list_hold;
    hold_members_ = held_members;
  }
  return ListVerdict::kApplyWithoutRemovals;
}

bool MembershipGuard::is_short(const ListSummary& told, std::size_t held_members) const {
  return static_cast<double>(told.members) < settings_.short_list_share * static_cast<double>(held_members);
}

}  // namespace canvasstage::recovery
