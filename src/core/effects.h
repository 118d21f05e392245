// The interface through which the core acts on its environment. The core calls it directly, on the reducer's
// thread; no function blocks.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "policy.h"
#include "recovery/attempt_log.h"

namespace canvasstage {

// Identifies a client connection or an attempt. An id is never reused, so that a late event of a finished one
// matches nothing.
using Id = std::uint64_t;

// The content of a request or of a result. The core passes it on without reading it.
struct Payload {
  virtual ~Payload() = default;
};
using PayloadRef = std::shared_ptr<const Payload>;

// One attempt of an open request, as the request is handed over to another process of this node. The executor
// is identified by its name, because executor indices differ between processes.
struct TransferredAttempt {
  std::string executor, address, zone, machine_kind;
  int cell = -1;
  Time executor_started_at = 0;
  Attempt attempt;
  PayloadRef read_state;  // how much of the answer has been read; null if the attempt has ended
};

// An open request that is handed over to another process of this node. Times are in this process's clock.
struct TransferredRequest {
  Id client = 0;
  std::string id, use_case, machine_kind;
  UseCase terms;
  Request state;  // without its attempts
  PayloadRef payload;
  std::vector<TransferredAttempt> attempts;
};

// An attempt to send.
struct AttemptOrder {
  Id attempt = 0;
  Id reused_connection = 0;  // the attempt that last used the idle connection to take; 0: open a new one
  std::string address;
  PayloadRef request;
  Time give_up_at = 0;
  Time write_by = kNever;  // the attempt is not sent if its first byte is not written by then
  // Must be stored durably, against a power loss, before the first byte is written; null if nothing must be.
  std::shared_ptr<const recovery::AttemptRecord> record;
};

// What happens to a client's connection after an answer: it stays open; it is closed once every request
// received over it is answered; it is closed at once.
enum class ConnectionDisposition { kKeepOpen, kCloseWhenAnswered, kCloseNow };
enum class Answer { kSucceeded, kShed, kFailed, kRejected };

class Effects {
 public:
  virtual ~Effects() = default;
  // Sends the final answer to the client's open request. `retry_after`: how long the client is asked to wait
  // before it tries again; 0: not told.
  virtual void answer(Id client, Answer answer, const PayloadRef& result, Time retry_after,
                      ConnectionDisposition disposition) = 0;
  // Closes the connection of a client that has no open request. A request that has arrived in full is still
  // passed to the core. A request that has arrived in part is read to its end and passed to the core if
  // `finish_partial_request` is true, and is shed if it is false.
  virtual void close_client(Id client, bool finish_partial_request) = 0;
  // Closes the connection of a client that was told to close and has not ended its side. Does the same as
  // close_client(), except that the node no longer waits for the client to end its side.
  virtual void close_client_now(Id client, bool finish_partial_request) = 0;
  virtual void start_attempt(const AttemptOrder& order) = 0;
  // Abandons an attempt, or closes the idle connection that it left.
  virtual void abandon_attempt(Id attempt) = 0;
  // Abandons the attempt if no byte of it has been sent to its executor.
  virtual void withdraw_attempt(Id attempt) = 0;
  // Returns whether the executor still holds open the idle connection that the attempt left; does not block.
  virtual bool is_connection_open(Id attempt) = 0;
  // Opens a watch and ends the previous one, if any; what that one has already read still counts. A call that
  // has brought nothing within `timeout` counts as silent.
  virtual void watch_membership(const std::string& address, std::uint64_t from_version, Time timeout) = 0;
  virtual void wake_at(Time when, std::uint64_t token) = 0;
  virtual void open_listener() = 0;
  virtual void close_listener() = 0;
  virtual void publish_metrics(const Metrics& metrics) = 0;
  // Writes a line to the node's log.
  virtual void log(const std::string&) {}
  // Returns whether a successor process is there to take over this one's requests and connections.
  virtual bool has_successor() = 0;
  // From this call on, each attempt is reported as suspended (Node::attempt_suspended) as soon as it waits
  // for its executor, and idle clients are handed over to the successor without further calls.
  virtual void begin_handover(std::string knowledge) = 0;
  virtual void hand_over_request(const TransferredRequest& request) = 0;
  virtual void hand_over_connection(Id attempt, const std::string& executor, const std::string& address,
                                    Time idle_since) = 0;
  virtual void finish() = 0;
};

}  // namespace canvasstage
