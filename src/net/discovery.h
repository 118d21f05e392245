// A watch on discovery: a call that stays open, over which discovery sends each change of the executor list.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "net/log.h"
#include "net/node_context.h"
#include "net/socket.h"

namespace canvasstage::net {

// Held by shared_ptr, as events posted to the reducer may outlive the call.
class MembershipWatch : public std::enable_shared_from_this<MembershipWatch> {
 public:
  // Asks for the changes since the version `from_version`. A call that brings no message within
  // `first_message_timeout` counts as silent.
  MembershipWatch(NodeContext& context, std::string address, std::uint64_t from_version,
                  Milliseconds first_message_timeout)
      : context_(context),
        address_(std::move(address)),
        from_version_(from_version),
        first_message_timeout_(first_message_timeout) {}
  // The body of the watch's thread. Returns when the call has ended, which it reports to the reducer.
  void run();
  // Closes the call from any thread. Its end is not reported, and lists that it has read already count as
  // late.
  void cancel();

 private:
  Reason read_updates();
  bool handle_message(std::string_view line);
  void handle_list(Time now, const JsonValue& list);

  NodeContext& context_;
  const std::string address_;
  const std::uint64_t from_version_;
  const Milliseconds first_message_timeout_;
  std::mutex mutex_;
  Socket socket_;
  std::atomic<bool> given_up_{false};
};

// Returns the position of the newline that ends the first message in `bytes`, or npos where the message is
// incomplete. A newline within an object or array ends no message, as lists may arrive indented.
std::size_t find_message_end(std::string_view bytes);
// Where a list comes from, and whether executors absent from it may be removed.
enum class ListSource { kCached, kDiscovery, kDiscoveryWithoutRemovals };

// Checks an executor list in discovery's format, as it arrives in an update and stands in the configuration.
// Returns its generation; throws BadInput where a field is missing or invalid.
std::uint64_t validate_list(const JsonValue& list);
// Applies a list to the node, on the reducer's thread. The list must have passed validate_list().
void apply_list(Node& node, Time now, const JsonValue& list, ListSource source);

}  // namespace canvasstage::net
