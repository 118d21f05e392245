// Messages between the test harness and its stand-in processes: one message per line, fields separated by
// spaces. The decode functions return nothing for another message or a missing field.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "standins/discovery.h"
#include "standins/executors.h"

namespace canvasstage::lab::fleet {

// --- To the clients ---

// Sends one request to a node. Its result is reported under the number `request`.
struct SendRequest {
  std::uint64_t request = 0;
  std::string node, use_case, idempotency_key;  // an empty key is not sent
  int time_left_ms = 0;
  int disconnect_after_ms = 0;  // the client closes its connection this long after sending; 0: never
  bool stalls = false;          // the client sends only half of the request and keeps its connection open
};
std::string encode(const SendRequest& message);
std::optional<SendRequest> decode_send_request(const std::string& line);

// --- From the clients ---

enum class RequestEnd {
  kAnswered,
  kUnreachable,     // the connection was not accepted
  kConnectionLost,  // the connection was closed or reset before a complete answer
  kTimedOut,        // no answer arrived within the time left plus half a second
  kDisconnected     // the client closed its connection
};
// The end of one request. `status` is the HTTP status, or 0 without an answer. Times are of the steady clock,
// in microseconds.
struct RequestResult {
  std::uint64_t request = 0;
  int status = 0;
  RequestEnd end = RequestEnd::kAnswered;
  std::int64_t sent_us = 0, ended_us = 0;
};
std::string encode(const RequestResult& message);
std::optional<RequestResult> decode_request_result(const std::string& line);

// --- From the executors ---

std::string encode(const StartedAttempt& attempt);
std::optional<StartedAttempt> decode_started_attempt(const std::string& line);

// --- To the executors ---

// From now on `share` of the attempts in the process (0 to 1) meet this fault.
struct SetAttemptFault {
  AttemptFault kind = AttemptFault::kHang;
  double share = 0;
};
std::string encode(const SetAttemptFault& message);
std::optional<SetAttemptFault> decode_set_attempt_fault(const std::string& line);

// --- To discovery ---

struct ReplaceList {
  std::uint64_t generation = 0;
  std::vector<ListedExecutor> executors;
};
std::string encode(const ReplaceList& message);
std::optional<ReplaceList> decode_replace_list(const std::string& line);

// --- To the proxies ---

// How a proxy treats the connections of one link.
enum class LinkFault {
  kNone,
  kCut,     // resets open connections and refuses new ones
  kSilent,  // keeps connections open and forwards nothing
  kDelay,   // delays each byte by `delay_ms`
  kReset    // resets open connections once and forwards new ones
};
struct SetLinkFault {
  std::size_t link = 0;
  LinkFault fault = LinkFault::kNone;
  int delay_ms = 0;
};
std::string encode(const SetLinkFault& message);
std::optional<SetLinkFault> decode_set_link_fault(const std::string& line);

}  // namespace canvasstage::lab::fleet
