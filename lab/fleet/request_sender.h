// Clients that hand in one request each, on a connection of its own, and tell how it was answered.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "fleet/messages.h"
#include "standins/loop.h"

namespace canvasstage::lab::fleet {

class RequestSender {
 public:
  // `identity` begins the id of each request, which no other client uses.
  RequestSender(Loop& loop, std::string identity, std::function<void(const RequestAnswered&)> answered);
  void send(const SendRequest& request);

 private:
  struct Open {
    SendRequest request;
    StreamRef stream;
  };
  void read_from(Stream& stream);
  void close(Stream& stream, int status);
  Loop& loop_;
  const std::string identity_;
  std::function<void(const RequestAnswered&)> answered_;
  Traffic traffic_;
  std::uint64_t sent_ = 0;
  std::unordered_map<Stream*, Open> open_;
};

}  // namespace canvasstage::lab::fleet
