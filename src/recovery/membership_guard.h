// Decides what an executor list from discovery may change, when discovery may have lost its state. No I/O, no
// clock; used on the reducer's thread.
//
// Generations count up within one incarnation of discovery. The guard refuses a lower generation than the
// held one unless discovery has begun a new incarnation. It accepts a new incarnation after it has received a
// lower generation as a snapshot twice, both times from the address that sent the held list:
//  1. on a call that the node made after the call that brought the held list had ended;
//  2. on another call, made after that first snapshot, with a generation no lower than the first one's.
// A late answer of the old incarnation arrives over a connection that was opened before, so it can be the
// first snapshot at most. The second is read from a connection made after it, which only a running process
// can accept.
//
// A snapshot with far fewer members than the node holds removes no executor for a while, since a discovery
// that lost its state fills up again. The entries that the snapshot does contain apply at once, drains above
// all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "policy.h"

namespace canvasstage::recovery {

struct MembershipGuardSettings {
  Time short_list_hold = 15 * kSecond;  // a short list removes no executor for this long
  double short_list_share = 0.5;        // a snapshot is short below this share of the held members
};

// Summary of an executor list from discovery.
struct ListSummary {
  std::uint64_t generation = 0;
  bool is_snapshot = false;
  std::size_t members = 0;  // entries with a lifecycle other than removed
};

enum class ListVerdict {
  kApply,
  kApplyWithoutRemovals,  // the list is short: executors that it does not name stay for now
  kRefuse,                // the generation of the list is lower than the held one
  kDrainsOnly,  // the list arrived on a call that has ended: only its entries that are not active apply
  kConfirm      // may be of a new incarnation of discovery: as kDrainsOnly, then discovery is called again
};

class MembershipGuard {
 public:
  explicit MembershipGuard(MembershipGuardSettings settings) : settings_(settings) {}

  // Sets the list that the node starts with, which an earlier process received or the platform provided.
  void restore(std::string discovery_address, std::uint64_t generation);
  // Records that the node calls discovery at this address; the previous call has ended.
  void call_started(std::string discovery_address);
  // Evaluates a list that arrived on the current call, or, with `is_late`, on an earlier call. `held_members`
  // is the number of executors that the node holds.
  ListVerdict evaluate(Time now, const ListSummary& list, std::size_t held_members, bool is_late);

  // Returns when the members that are missing from a short list are to be removed. Until then the node keeps
  // them, which is called a hold. Returns nullopt where no hold is active.
  std::optional<Time> hold_until() const { return hold_until_; }
  // Ends the hold; the caller removes the members.
  void end_hold() { hold_until_.reset(); }
  int incarnations_begun() const { return incarnations_begun_; }

 private:
  struct Candidate {
    std::uint64_t call, generation;
  };
  ListVerdict evaluate_lower_generation(Time now, const ListSummary& list, std::size_t held_members);
  ListVerdict accept(Time now, const ListSummary& list, std::size_t held_members);
  bool is_short(const ListSummary& list, std::size_t held_members) const;

  const MembershipGuardSettings settings_;
  std::string held_discovery_, current_discovery_;
  std::uint64_t held_generation_ = 0;
  std::uint64_t current_call_ = 0, held_list_call_ = 0;
  std::optional<Candidate> candidate_;
  std::optional<Time> hold_until_;
  std::size_t members_before_hold_ = 0;  // number of members that the node had when the hold began
  int incarnations_begun_ = 0;
};

}  // namespace canvasstage::recovery
