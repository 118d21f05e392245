// An open-loop load generator: sends requests on a schedule, whether or not earlier ones have been answered.
#pragma once

#include <string>
#include <vector>

#include "standins/loop.h"

namespace canvasstage::lab {

// Requests at a constant rate.
struct LoadSchedule {
  double rate = 0;       // requests per second, evenly spaced
  int requests = 0;      // in all
  double time_left = 1;  // seconds, sent as X-Time-Left
};

// HTTP clients of one node and one use case; idle connections are reused. Belongs to the loop's thread.
class Clients {
 public:
  Clients(Loop& loop, std::string node, std::string use_case);
  void send_requests(const LoadSchedule& schedule);
  // Sends a GET on a new connection and passes on all bytes received until it ends, or an empty string if it
  // cannot be opened.
  void get(const std::string& address, const std::string& path, std::function<void(std::string)> on_answer);

  Traffic traffic;
  std::uint64_t sent = 0, served = 0, refused = 0, failed = 0;  // failed: any other status, or no answer
  std::vector<double> latencies_s;                              // of the requests that were served

 private:
  struct Connection {
    StreamRef stream;
    LoopTime sent_at;
    bool busy = false;
  };
  using ConnectionRef = std::shared_ptr<Connection>;
  void schedule_request(LoopTime when, LoadSchedule remaining);
  void send_request(double time_left);
  ConnectionRef take_connection();
  void read_from(const ConnectionRef& connection);
  Loop& loop_;
  std::string node_, use_case_;
  std::vector<ConnectionRef> idle_connections_;
  std::unordered_map<Connection*, ConnectionRef> connections_;
  std::unordered_map<Stream*, StreamRef> queries_;
};

}  // namespace canvasstage::lab
