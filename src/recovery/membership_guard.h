// Decides what a list of executors that discovery tells may change, when discovery may have lost its memory.
// No I/O, no clock.
//
// Generations count up within one incarnation of discovery. A lower one than the node holds is refused,
// unless a new incarnation has begun: the node then heard the lower generation as a whole list on a call that
// it made after the call on which it heard the held one had ended, and heard it whole again, no lower, on
// another call that it opened after that first telling, at the address that told the held list. An answer of
// the old incarnation that comes late comes over a connection that was opened before, so it can be the first
// telling at the most: the second is read from a connection made after it, and only a process that is alive
// can accept that.
//
// A whole list with far fewer members than the node holds removes nobody for a while, as a discovery that
// forgot fills up again. What it names counts at once, drains above all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "policy.h"

namespace canvasstage::recovery {

struct MembershipGuardSettings {
  Time short_list_hold = 15 * kSecond;  // for so long absence from a short list removes nobody
  double short_list_share = 0.5;        // a list is short below this share of the members held
};

// A list as discovery told it.
struct ListSummary {
  std::uint64_t generation = 0;
  bool is_snapshot = false;
  std::size_t members = 0;  // entries that have not left
};

enum class ListVerdict {
  kApply,
  kApplyWithoutRemovals,  // absence from it removes nobody yet
  kRefuse,                // older than what is held
  kDrainsOnly,            // it came late, on a call that is over
  kConfirm                // perhaps of a new incarnation: its drains count, and discovery is called again
};

class MembershipGuard {
 public:
  explicit MembershipGuard(MembershipGuardSettings settings) : settings_(settings) {}

  // The list that the node starts with, told before this process began.
  void restore(std::string discovery, std::uint64_t generation);
  // A call to discovery is made, and the one before it is over.
  void call_started(std::string discovery);
  // A list came on that call, or `late` on one before it. `held_members`: those that the node holds now.
  ListVerdict evaluate(Time now, const ListSummary& told, std::size_t held_members, bool late);

  // When the members that a short list did not name are removed; nothing: no short list is held back.
  std::optional<Time> hold_until() const { return hold_until_; }
  void end_hold() { hold_until_.reset(); }
  int incarnations_begun() const { return incarnations_begun_; }

 private:
  struct Candidate {
    std::uint64_t call, generation;
  };
  ListVerdict lower_generation_told(Time now, const ListSummary& told, std::size_t held_members);
  ListVerdict take(Time now, const ListSummary& told, std::size_t held_members);
  bool is_short(const ListSummary& told, std::size_t held_members) const;

  const MembershipGuardSettings settings_;
  std::string held_from_, called_;
  std::uint64_t held_generation_ = 0;
  std::uint64_t call_ = 0, held_on_call_ = 0;
  std::optional<Candidate> candidate_;
  std::optional<Time> hold_until_;
  std::size_t hold_members_ = 0;  // that were held when the hold began
  int incarnations_begun_ = 0;
};

}  // namespace canvasstage::recovery
