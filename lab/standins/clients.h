// Clients that hand jobs in by a schedule, whether or not the ones before are answered (an open loop).
#pragma once

#include <string>
#include <vector>

#include "standins/loop.h"

namespace canvasstage::lab {

struct Submitting {
  double rate = 0;       // jobs a second, evenly apart
  int jobs = 0;          // in all
  double time_left = 1;  // seconds, told as X-Time-Left
};

class Clients {
 public:
  Clients(Loop& loop, std::string node, std::string use_case);
  void hand_in(const Submitting& submitting);
  // GET on a connection of its own; gives the whole answer, or nothing where the connection broke.
  void ask(const std::string& address, const std::string& path, std::function<void(std::string)> then);

  Traffic traffic;
  std::uint64_t sent = 0, served = 0, refused = 0, failed = 0;  // failed: another answer, or none
  std::vector<double> took;                                     // seconds, of those that were served

 private:
  struct Connection {
    StreamRef stream;
    LoopTime sent_at;
    bool busy = false;
  };
  using ConnectionRef = std::shared_ptr<Connection>;
  void hand_in_at(LoopTime when, Submitting rest);
  void submit(double time_left);
  ConnectionRef connection();
  void read_from(const ConnectionRef& connection);
  Loop& loop_;
  std::string node_, use_case_;
  std::vector<ConnectionRef> idle_;
  std::unordered_map<Connection*, ConnectionRef> all_;
  std::unordered_map<Stream*, StreamRef> asking_;
};

}  // namespace canvasstage::lab
