// Generates requests to a fleet at a constant rate and resends those that were not served, as the protocol
// allows.
#pragma once

#include <string>
#include <vector>

#include "fleet/fleet.h"

namespace canvasstage::lab::fleet {

struct WorkloadPlan {
  double rate = 100;          // requests per second, distributed round-robin over the nodes
  double keyed_share = 0.5;   // share of keyed requests; the rest is idempotent
  double time_left = 5;       // seconds, as sent with each try
  double give_up_after = 30;  // seconds from the first try until the client gives up
  double resend_delay = 0.1;  // seconds between an answer and the next try
  // Also resends a keyed request that was answered with 502.
  bool resends_failed = false;
};

// Runs on the thread of the fleet's loop and must outlive its open requests.
class Workload {
 public:
  Workload(Fleet& fleet, WorkloadPlan plan);
  void start();
  void stop() { running_ = false; }  // sends no new requests; open ones are still resent
  // Sends one additional request.
  void add(int node, bool keyed);

  std::size_t open() const { return open_; }
  std::size_t requests() const { return requests_; }
  std::size_t given_up() const { return given_up_; }
  // Counts the tries by HTTP status; 0 stands for tries without an answer.
  std::size_t answers(int status) const;
  // Counts the requests served between `begin` and `end`, both in seconds after `from`.
  int served_between(LoopTime from, double begin, double end) const;
  // Returns the seconds from `from` until a request was served, or until the requests served within one
  // second reached `rate`. Negative: never.
  double first_served_after(LoopTime from) const;
  double rate_reached_after(LoopTime from, double rate) const;
  // Returns the sorted latencies, in seconds, of the requests that were served at the first try.
  std::vector<double> latencies() const;

 private:
  struct Request {
    int node = 0;
    std::string use_case, key;
    LoopTime first_sent;
    int tries = 0;
  };
  void schedule_next(LoopTime when);
  void send_try(std::size_t request);
  void answered(std::size_t request, int status);
  Fleet& fleet_;
  const WorkloadPlan plan_;
  bool running_ = false;
  std::vector<Request> all_requests_;
  std::size_t requests_ = 0, open_ = 0, given_up_ = 0;
  std::map<int, std::size_t> answers_;
  std::vector<LoopTime> served_at_;
  std::vector<double> latencies_;
  double keyed_due_ = 0;
};

}  // namespace canvasstage::lab::fleet
