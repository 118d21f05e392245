// State that the threads of all connections share, and the payloads that they pass to the core. Each object
// in NodeContext either is constant or does its own locking, apart from `node` and `successor`, as noted
// there.
#pragma once

#include <functional>

#include "core/node.h"
#include "http/parser.h"
#include "net/buffer_pool.h"
#include "net/reducer.h"
#include "net/socket.h"
#include "net/threads.h"

namespace canvasstage::net {

// Parse flag for JSON from outside the process. The iterative parser keeps deeply nested input from
// overflowing the small thread stacks.
constexpr unsigned kIterativeJsonParse = rapidjson::kParseIterativeFlag;

// The process of the same node that takes over the connections which are still open when this one ends.
class SuccessorProcess {
 public:
  virtual ~SuccessorProcess() = default;
  // Hands over an idle client connection. Callable from any thread. `fresh`: the client has not sent a
  // complete request yet.
  virtual void hand_over_client(Socket socket, bool fresh, Time since_opened) = 0;
};

// The parts of the process that every connection needs.
struct NodeContext {
  Reducer& reducer;
  // Requests and attempts have separate buffer pools, so that neither can starve the other.
  BufferPool& request_buffers;
  BufferPool& attempt_buffers;
  const CurrentTerms& terms;
  MetricsBoard& metrics_board;
  const HandoverSignal& handover_signal;  // raised when this process has to hand over its open connections
  SuccessorProcess* successor;            // receives them; read only after the signal was raised
  Node*& node;                            // used only by events that run on the reducer's thread
};

// A client's request as received. `head` and `body` refer to the bytes in `buffer`.
struct ClientRequest final : Payload {
  Buffer buffer;
  http::Head head{http::Head::Kind::kRequest};
  std::string_view body;
  // Returns whether the client has disconnected; asked immediately before the first byte is sent to an
  // executor. Empty if that cannot be determined.
  std::function<bool()> client_left;
};

// An executor's result. `text` refers to the bytes in `buffer`.
struct Result final : Payload {
  Buffer buffer;
  std::string_view text;
};

}  // namespace canvasstage::net
