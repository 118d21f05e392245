// What every connection's thread shares with the others: nothing that changes but through locks of its own.
#pragma once

#include "core/node.h"
#include "http/parser.h"
#include "net/buffer_pool.h"
#include "net/reducer.h"

namespace canvasstage::net {

// For JSON that comes from outside: nothing nested, however deep, may grow a small stack.
constexpr unsigned kNotRecursive = rapidjson::kParseIterativeFlag;

struct World {
  Reducer& reducer;
  BufferPool& submissions;  // buffers for these, and for launches: the one cannot starve the other
  BufferPool& launches;
  const TermsInForce& terms;
  Board& board;
  Node*& node;  // for the events that the reducer runs, and for nobody else
};

// A submission as its client wrote it.
struct Submitted final : Parcel {
  Buffer buffer;
  http::Head head{http::Head::Kind::kRequest};
  std::string_view body;
};

// The result that an executor gave.
struct Result final : Parcel {
  Buffer buffer;
  std::string_view text;
};

}  // namespace canvasstage::net
