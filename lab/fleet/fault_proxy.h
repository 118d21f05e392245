// A TCP proxy between two processes that injects link faults: cut, silence, delay and reset.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include "fleet/messages.h"
#include "standins/loop.h"

namespace canvasstage::lab::fleet {

// Runs on the thread of its loop.
class FaultProxy {
 public:
  // Listens on `listen` and forwards connections to `target`; both must be loopback addresses.
  FaultProxy(Loop& loop, const std::string& listen, std::string target);
  ~FaultProxy();
  const std::string& address() const { return address_; }
  void set_fault(LinkFault fault, int delay_ms);

 private:
  struct Connection {
    StreamRef client, server;
  };
  using ConnectionRef = std::shared_ptr<Connection>;
  void open_listener();
  void close_listener();
  void accept();
  void forward(const ConnectionRef& connection, bool from_client);
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
