// A proxy between two processes whose link can be cut, silenced, delayed, reset and healed.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "fleet/messages.h"
#include "standins/loop.h"

namespace canvasstage::lab::fleet {

class FaultProxy {
 public:
  // Listens on the first address and passes what comes on to the second.
  FaultProxy(Loop& loop, const std::string& listen, std::string target);
  ~FaultProxy();
  const std::string& address() const { return address_; }
  void set(LinkFault fault, int delay_ms);

 private:
  struct Connection {
    StreamRef near, far;
  };
  using ConnectionRef = std::shared_ptr<Connection>;
  void open_listener();
  void close_listener();
  void accept();
  void pass(const ConnectionRef& connection, bool from_near);
  void reset_all();
  Loop& loop_;
  const std::string target_;
  std::string address_;
  net::Socket listener_;
  LinkFault fault_ = LinkFault::kNone;
  int delay_ms_ = 0;
  Traffic traffic_;
  std::unordered_map<Connection*, ConnectionRef> connections_;
};

}  // namespace canvasstage::lab::fleet
