// What every connection's thread shares with the others: nothing that changes but through locks of its own.
#pragma once

#include <functional>

#include "core/node.h"
#include "http/parser.h"
#include "net/buffer_pool.h"
#include "net/reducer.h"
#include "net/socket.h"
#include "net/threads.h"

namespace canvasstage::net {

// For JSON that comes from outside: nothing nested, however deep, may grow a small stack.
constexpr unsigned kNotRecursive = rapidjson::kParseIterativeFlag;

// Takes on what stays open when this process ends.
class SuccessorProcess {
 public:
  virtual ~SuccessorProcess() = default;
  // From any thread. Nothing whole has come from one that is fresh.
  virtual void client_moves(Socket socket, bool fresh, Time since_opened) = 0;
};

struct NodeContext {
  Reducer& reducer;
  BufferPool& submissions;  // buffers for these, and for launches: the one cannot starve the other
  BufferPool& launches;
  const CurrentTerms& terms;
  MetricsBoard& board;
  const HandoverSignal& parting;  // this process is to hand over what it has
  SuccessorProcess* successor;    // and to whom; read only once that was told
  Node*& node;                    // for the events that the reducer runs, and for nobody else
};

// A submission as its client wrote it.
struct ClientRequest final : Payload {
  Buffer buffer;
  http::Head head{http::Head::Kind::kRequest};
  std::string_view body;
  // Whether its client has left, asked in the very moment before a byte of it is sent on; empty: not known.
  std::function<bool()> client_left;
};

// The result that an executor gave.
struct Result final : Payload {
  Buffer buffer;
  std::string_view text;
};

}  // namespace canvasstage::net
