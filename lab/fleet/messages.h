// What the rig and its stand-in processes tell each other: one message a line, words apart by spaces.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "standins/discovery.h"
#include "standins/executors.h"

namespace canvasstage::lab::fleet {

// --- To the clients ---

// Hand in one request of a keyed class at a node; its answer is told under `request`.
struct SendRequest {
  std::uint64_t request = 0;
  std::string node, use_case, idempotency_key;  // no key: none is sent
  int time_left_ms = 0;
  int leave_after_ms = 0;  // its client closes its connection so long after it has sent it; 0: it stays
  bool halts = false;      // its client writes half of it and stays
};
std::string encode(const SendRequest& message);
std::optional<SendRequest> decode_send_request(const std::string& line);

// --- From the clients ---

enum class RequestEnd {
  kAnswered,
  kUnreachable,  // nobody accepted the connection
  kBroken,       // it was closed or reset with no whole answer
  kOverdue,      // no answer came within its time and half a second
  kLeft          // its client left
};
// `status`: of HTTP; 0: there was no answer. Times are of the steady clock, in microseconds.
struct RequestAnswered {
  std::uint64_t request = 0;
  int status = 0;
  RequestEnd end = RequestEnd::kAnswered;
  std::int64_t sent_us = 0, ended_us = 0;
};
std::string encode(const RequestAnswered& message);
std::optional<RequestAnswered> decode_request_answered(const std::string& line);

// --- From the executors ---

std::string encode(const StartedAttempt& job);
std::optional<StartedAttempt> decode_begun_job(const std::string& line);

// --- To the executors ---

// From now on this share of the jobs of the process meets this fault; 0: none does.
struct SetJobFault {
  AttemptFault kind = AttemptFault::kHang;
  double share = 0;
};
std::string encode(const SetJobFault& message);
std::optional<SetJobFault> decode_set_job_fault(const std::string& line);

// --- To discovery ---

struct ReplaceList {
  std::uint64_t generation = 0;
  std::vector<ListedExecutor> executors;
};
std::string encode(const ReplaceList& message);
std::optional<ReplaceList> decode_replace_list(const std::string& line);

// --- To the proxies ---

// What a proxy does with the bytes of one link.
enum class LinkFault {
  kNone,
  kCut,     // open connections are reset, new ones refused
  kSilent,  // connections stay open, and nothing passes
  kDelay,   // each byte comes so much later
  kReset    // open connections are reset once; new ones pass
};
struct SetLinkFault {
  std::size_t link = 0;
  LinkFault fault = LinkFault::kNone;
  int delay_ms = 0;
};
std::string encode(const SetLinkFault& message);
std::optional<SetLinkFault> decode_set_link_fault(const std::string& line);

}  // namespace canvasstage::lab::fleet
