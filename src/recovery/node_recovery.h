// The recovery components that a node uses, with the state that an earlier run left to them.
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
  std::optional<AttemptLog> attempts;  // nullopt: attempts are not logged
  Store* store = nullptr;              // null: nothing is stored
  std::uint64_t run = 0;               // number of this process's run on its store, see AttemptNumber
  std::function<void(const std::string&)> log;  // writes a log line
  std::string node;                             // name of the node
  std::optional<PeerEvidence> peers;            // nullopt: no peers are configured
  PeerAnswers* peer_answers = nullptr;          // null: peers cannot query this node
};

}  // namespace canvasstage::recovery
