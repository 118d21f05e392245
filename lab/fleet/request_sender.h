// Sends requests, each on its own connection, and reports how each one ended.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "fleet/messages.h"
#include "standins/loop.h"

namespace canvasstage::lab::fleet {

class RequestSender {
 public:
  // The correlation id of each request is `identity`, which must be unique among the clients, followed by the
  // request's number.
  RequestSender(Loop& loop, std::string identity, std::function<void(const RequestResult&)> on_result);
  void send(const SendRequest& request);
  static std::string correlation_id(const std::string& identity, std::uint64_t request);

 private:
  struct OpenRequest {
    SendRequest request;
    StreamRef stream;
    std::int64_t sent_us = 0;
  };
  void read_from(Stream& stream);
  void close(Stream& stream, RequestEnd end, int status = 0);
  void close_after(double seconds, const StreamRef& stream, RequestEnd end);
  Loop& loop_;
  const std::string identity_;
  std::function<void(const RequestResult&)> on_result_;
  Traffic traffic_;
  std::unordered_map<Stream*, OpenRequest> open_;
};

}  // namespace canvasstage::lab::fleet
