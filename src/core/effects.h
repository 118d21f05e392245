// What the core asks of the world. Called at once, from the reducer's thread, and never blocks.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/figures.h"
#include "policy.h"
#include "recovery/attempt_log.h"

namespace canvasstage {

// A client connection or a launch. Never given twice, so that what comes late of one that is over finds
// nothing.
using Id = std::uint64_t;

// What a client handed in or an executor gave back. The core passes it on and never looks inside.
struct Payload {
  virtual ~Payload() = default;
};
using PayloadRef = std::shared_ptr<const Payload>;

// One launch of a submission that goes on in another process of this node, and its executor by name.
struct TransferredAttempt {
  std::string executor, address, zone, machine_kind;
  int cell = -1;
  Time executor_started_at = 0;
  Attempt attempt;
  PayloadRef read_state;  // how far its answer has been read; none where it has ended
};

// An open submission that goes on in another process of this node. Times are this process's.
struct TransferredRequest {
  Id client = 0;
  std::string id, use_case, machine_kind;
  UseCase terms;
  Request state;  // without its launches
  PayloadRef payload;
  std::vector<TransferredAttempt> attempts;
};

// One attempt that is to be sent.
struct AttemptOrder {
  Id attempt = 0;
  Id reused_connection =
      0;  // the attempt that left the connection free which it uses up; 0: a new connection
  std::string address;
  PayloadRef request;
  Time give_up_at = 0;
  Time write_by = kNever;  // one whose first byte is not written by then never goes
  // What has to survive a power loss before the first byte is written; none where nothing has to.
  std::shared_ptr<const recovery::AttemptRecord> record;
};

// What becomes of a client's connection after an answer: it stays; it ends once all that has come over it is
// answered; it ends.
enum class ConnectionDisposition { kKeepOpen, kCloseWhenAnswered, kCloseNow };
enum class Answer { kSucceeded, kShed, kFailed, kRejected };

class Effects {
 public:
  virtual ~Effects() = default;
  // The final answer of the submission that the client has open.
  virtual void answer(Id client, Answer answer, const PayloadRef& result, Time stay_away,
                      ConnectionDisposition after) = 0;
  // One that has nothing open. What has come is still handed in; `finishes`: also what is half written, else
  // that is pushed back.
  virtual void close_client(Id client, bool finishes) = 0;
  // The same, of one that was told to close and has not: its own end is waited for no longer.
  virtual void close_client_now(Id client, bool finishes) = 0;
  virtual void start_attempt(const AttemptOrder& order) = 0;
  // Gives up a launch, or closes the free connection that it left.
  virtual void abandon_attempt(Id launch) = 0;
  // Gives up a launch of which no byte has gone to its executor.
  virtual void withdraw_attempt(Id launch) = 0;
  // Whether the free connection that the launch left is still open at its other end; does not wait.
  virtual bool is_connection_open(Id launch) = 0;
  // Ends the watch before it, if any; what that has read already still counts. `within`: a call that has told
  // nothing by then is silent.
  virtual void watch_membership(const std::string& address, std::uint64_t from_version, Time within) = 0;
  virtual void wake_at(Time when, std::uint64_t token) = 0;
  virtual void open_listener() = 0;
  virtual void close_listener() = 0;
  virtual void publish(const Metrics& figures) = 0;
  // A line of the node's log.
  virtual void log(const std::string&) {}
  // Whether another process of this node is there to take on what this one has.
  virtual bool has_successor() = 0;
  // From then on each launch is told of as parked as soon as it waits for its executor, and each idle client
  // goes to the successor by itself.
  virtual void begin_handover(std::string knowledge) = 0;
  virtual void hand_over_request(const TransferredRequest& job) = 0;
  virtual void hand_over_connection(Id launch, const std::string& executor, const std::string& address,
                                    Time since) = 0;
  virtual void finish() = 0;
};

}  // namespace canvasstage
