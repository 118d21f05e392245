// The simulator's wire: framing, JSON, ids and units. Takes no decision.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "core/settings.h"

namespace canvasstage::simhost {

class Adapter {
 public:
  Adapter();
  ~Adapter();
  // Reads one batch in place and returns the reply, with its newline; valid until the next call.
  std::string_view answer(std::string& line);

 private:
  struct Body;
  std::unique_ptr<Body> body_;
};

}  // namespace canvasstage::simhost
