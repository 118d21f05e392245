// The operator's settings for all parts of recovery.
#pragma once

#include <string>

#include "recovery/attempt_log.h"
#include "recovery/learned.h"
#include "recovery/membership_guard.h"
#include "recovery/peer_evidence.h"

namespace canvasstage::recovery {

struct RecoverySettings {
  std::string directory;  // directory of the store
  int max_size_mb = 64;   // size limit of the store's file, in MiB
  bool log_attempts = true;
  AttemptLogSettings attempts;
  LearnedSettings learned;
  MembershipGuardSettings membership;
  PeerSettings peers;
};

}  // namespace canvasstage::recovery
