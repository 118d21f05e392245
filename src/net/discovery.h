// One watch on discovery: a call that stays open and tells of each change of the roster.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "net/log.h"
#include "net/socket.h"
#include "net/world.h"

namespace canvasstage::net {

class Watch : public std::enable_shared_from_this<Watch> {
 public:
  Watch(NodeContext& world, std::string address, std::uint64_t from_version, Milliseconds within)
      : world_(world), address_(std::move(address)), from_version_(from_version), within_(within) {}
  void run();      // the thread's
  void give_up();  // from then on it tells nothing

 private:
  Reason follow();
  bool take_line(std::string_view line);
  void take_told_list(Time now, const JsonValue& list);

  NodeContext& world_;
  const std::string address_;
  const std::uint64_t from_version_;
  const Milliseconds within_;  // the first line is to have come
  std::mutex mutex_;
  Socket socket_;
  std::atomic<bool> given_up_{false};
};

// Where the first message in `bytes` ends: at a line's end that stands in no object or list, as lists may
// come indented. npos: not yet.
std::size_t message_end(std::string_view bytes);
// Where a list comes from, and what absence from it means.
enum class ListSource { kCached, kDiscovery, kDiscoveryWithoutRemovals };

// A list in discovery's form, as it stands in a change and in the configuration. Checking it gives its
// version, or throws BadInput; only one that was checked is taken.
std::uint64_t check_list(const JsonValue& list);
void take_list(Node& node, Time now, const JsonValue& list, ListSource use);

}  // namespace canvasstage::net
