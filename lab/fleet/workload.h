// Clients of a fleet that hand in requests at a steady rate and repeat what was not served, as the protocol
// allows them to.
#pragma once

#include <string>
#include <vector>

#include "fleet/fleet.h"

namespace canvasstage::lab::fleet {

struct WorkloadPlan {
  double rate = 100;         // requests a second, over all nodes in turn
  double keyed_share = 0.5;  // of them; the rest is idempotent
  double time_left = 5;      // seconds that each try tells its node
  double patience = 30;      // seconds from the first try until a client gives up
  double pause = 0.1;        // seconds between an answer and the next try
  // Whether a keyed request whose node answered 502 is repeated too: its client wants to know at any price.
  bool repeats_failed = false;
};

class Workload {
 public:
  Workload(Fleet& fleet, WorkloadPlan plan);
  void start();
  void stop() { running_ = false; }  // no new requests; those open are still repeated
  // Hands in one request more.
  void add(int node, bool keyed);

  std::size_t open() const { return open_; }
  std::size_t requests() const { return requests_; }
  std::size_t given_up() const { return given_up_; }
  // By status of an answer; 0: none came.
  std::size_t answers(int status) const;
  // Requests served in the span that ends so long after `from`, in seconds.
  int served_between(LoopTime from, double begin, double end) const;
  // Seconds from then until the first was served, and until the rate over a second reached this; negative:
  // never.
  double first_served_after(LoopTime from) const;
  double rate_reached_after(LoopTime from, double rate) const;
  // Sorted times of requests that were served at the first try, in seconds.
  std::vector<double> latencies() const;

 private:
  struct Request {
    int node = 0;
    std::string use_case, key;
    LoopTime first;
    int tries = 0;
  };
  void add_next(LoopTime when);
  void attempt(std::size_t request);
  void answered(std::size_t request, int status);
  Fleet& fleet_;
  const WorkloadPlan plan_;
  bool running_ = false;
  std::vector<Request> all_;
  std::size_t requests_ = 0, open_ = 0, given_up_ = 0;
  std::map<int, std::size_t> answers_;
  std::vector<LoopTime> served_;
  std::vector<double> latencies_;
  double keyed_owed_ = 0;
};

}  // namespace canvasstage::lab::fleet
