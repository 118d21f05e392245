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
};
std::string encode(const SendRequest& message);
std::optional<SendRequest> decode_send_request(const std::string& line);

// --- From the clients ---

// `status`: of HTTP; 0: the node could not be reached or broke the connection.
struct RequestAnswered {
  std::uint64_t request = 0;
  int status = 0;
};
std::string encode(const RequestAnswered& message);
std::optional<RequestAnswered> decode_request_answered(const std::string& line);

// --- From the executors ---

std::string encode(const BegunJob& job);
std::optional<BegunJob> decode_begun_job(const std::string& line);

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
