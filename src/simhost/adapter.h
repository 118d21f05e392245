// Translates between the simulator's line protocol and the policy: framing, JSON, ids and units. All
// decisions are made by the policy.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/settings.h"

namespace canvasstage::simhost {

// Holds the nodes of one simulation. Not thread-safe.
class Adapter {
 public:
  Adapter();
  ~Adapter();
  // Parses one batch of events in place, which modifies `line`, and returns the reply with its newline. The
  // reply is valid until the next call. Throws BadInput where the batch is invalid.
  std::string_view answer(std::string& batch_line);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace canvasstage::simhost
