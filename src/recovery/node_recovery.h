// The parts of recovery that one node uses, and what an earlier run left to them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "recovery/attempt_log.h"
#include "recovery/learned.h"
#include "recovery/membership_guard.h"
#include "recovery/peer_answers.h"
#include "recovery/peer_evidence.h"
#include "recovery/store.h"

namespace canvasstage::recovery {

struct NodeRecovery {
  MembershipGuard membership;
  LearnedSettings learned;
  std::optional<AttemptLog> attempts;           // nothing: attempts are not logged
  Store* store = nullptr;                       // null: there is none to be used
  std::uint64_t run = 0;                        // of this process on its store
  std::function<void(const std::string&)> log;  // a line of the log
  std::string node;                             // its name
  std::optional<PeerEvidence> peers;            // nothing: there are none to be asked
  PeerAnswers* peer_answers = nullptr;          // null: nobody asks this node
};

}  // namespace canvasstage::recovery
