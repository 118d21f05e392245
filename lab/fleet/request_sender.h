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
  // `identity` begins the id of each request, which no other client uses; behind it stands the request's
  // number.
  RequestSender(Loop& loop, std::string identity, std::function<void(const RequestAnswered&)> answered);
  void send(const SendRequest& request);
  static std::string correlation_id(const std::string& identity, std::uint64_t request);

 private:
  struct Open {
    SendRequest request;
    StreamRef stream;
    std::int64_t sent_us = 0;
  };
  void read_from(Stream& stream);
  void close(Stream& stream, RequestEnd end, int status = 0);
  void close_after(double seconds, const StreamRef& stream, RequestEnd end);
  Loop& loop_;
  const std::string identity_;
  std::function<void(const RequestAnswered&)> answered_;
  Traffic traffic_;
  std::unordered_map<Stream*, Open> open_;
};

}  // namespace canvasstage::lab::fleet
