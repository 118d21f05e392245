#include "net/discovery.h"

#include <sys/socket.h>

#include <algorithm>
#include <set>
#include <utility>

#include "http/writer.h"

namespace canvasstage::net {
namespace {

// After the first message discovery sends an empty line every 2 s at the latest. The timeout adds a third of
// that: an update counts as received 6 s after the last byte even where this node missed it, so that the next
// call, or the one after it, has to be answered before then.
constexpr Milliseconds kSilenceTimeout{2600};
constexpr Milliseconds kConnectTimeout{1000};
// Enough for the list of a fleet a hundred times larger than any known one.
constexpr std::size_t kMaxMessageBytes = 8 * 1024 * 1024;

Lifecycle parse_lifecycle(std::string_view lifecycle) {
  return lifecycle == "active"    ? Lifecycle::kActive
         : lifecycle == "leaving" ? Lifecycle::kDraining
                                  : Lifecycle::kRemoved;
}

void check_executor(const JsonValue& executor) {
  string_value(required_member(executor, "instanceId"), "instanceId");
  string_value(required_member(executor, "lifecycle"), "lifecycle");
  string_value(required_member(executor, "hostPort"), "hostPort");
  for (const char* const key : {"zone", "machineType"})
    if (!member(executor, key).IsNull()) string_value(member(executor, key), key);
  if (!member(executor, "cell").IsNull()) integer(member(executor, "cell"), "cell");
  number_or(member(executor, "startedAtMs"), 0, "startedAtMs");
}

std::string_view string_or_empty(const JsonValue& value) {
  return value.IsString() ? string_value(value, "") : std::string_view();
}

}  // namespace

std::uint64_t validate_list(const JsonValue& list) {
  const JsonValue& executors = required_member(list, "instances");
  if (!executors.IsArray()) throw_bad_input("instances: a list is needed");
  std::set<std::string_view> ids;
  for (const JsonValue& executor : executors.GetArray()) {
    check_executor(executor);
    const std::string_view name = string_value(executor["instanceId"], "");
    if (!ids.insert(name).second) throw_bad_input("instanceId: twice " + std::string(name));
  }
  return unsigned_integer(required_member(list, "generation"), "generation");
}

std::size_t find_message_end(std::string_view bytes) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const char c = bytes[i];
    if (in_string && c == '\\') {
      ++i;
    } else if (c == '"') {
      in_string = !in_string;
    } else if (!in_string && (c == '{' || c == '[')) {
      ++depth;
    } else if (!in_string && (c == '}' || c == ']')) {
      --depth;
    } else if (c == '\n' && depth <= 0) {
      return i;
    }
  }
  return std::string_view::npos;
}

namespace {

void apply_executor(Node& node, Time now, const JsonValue& executor) {
  const JsonValue& weight = member(executor, "weight");
  const double started = number_or(member(executor, "startedAtMs"), 0, "startedAtMs");
  node.executor_listed(now, string_value(executor["instanceId"], ""), string_value(executor["hostPort"], ""),
                       string_or_empty(member(executor, "zone")),
                       string_or_empty(member(executor, "machineType")),
                       static_cast<int>(number_or(member(executor, "cell"), -1, "cell")),
                       parse_lifecycle(string_value(executor["lifecycle"], "")),
                       time_from_seconds(started / 1000), weight.IsNumber() ? weight.GetDouble() : -1);
}

bool is_full_list(const JsonValue& list) {
  const JsonValue& reset = member(list, "reset");
  return reset.IsBool() && reset.GetBool();
}

// Applies the drains of a list that is not applied as a whole: its entries with a lifecycle other than
// active, which are safe to apply in any case. An executor that has restarted since the list was made is
// another process, and the older drain does not concern it.
void apply_drains(Node& node, Time now, const JsonValue& list) {
  for (const JsonValue& executor : member(list, "instances").GetArray()) {
    const Time started =
        time_from_seconds(number_or(member(executor, "startedAtMs"), 0, "startedAtMs") / 1000);
    if (parse_lifecycle(string_value(executor["lifecycle"], "")) != Lifecycle::kActive &&
        node.lists_executor(string_value(executor["instanceId"], ""), started))
      apply_executor(node, now, executor);
  }
}

recovery::ListSummary summarize(const JsonValue& list) {
  recovery::ListSummary summary;
  summary.generation = unsigned_integer(required_member(list, "generation"), "generation");
  summary.is_snapshot = is_full_list(list);
  for (const JsonValue& executor : member(list, "instances").GetArray())
    if (parse_lifecycle(string_value(executor["lifecycle"], "")) != Lifecycle::kRemoved) ++summary.members;
  return summary;
}

}  // namespace

void apply_list(Node& node, Time now, const JsonValue& list, ListSource source) {
  for (const JsonValue& executor : member(list, "instances").GetArray()) apply_executor(node, now, executor);
  const MembershipUpdate update = source == ListSource::kCached ? MembershipUpdate::kCached
                                  : source == ListSource::kDiscovery && is_full_list(list)
                                      ? MembershipUpdate::kSnapshot
                                      : MembershipUpdate::kDelta;
  node.membership_received(now, update, unsigned_integer(required_member(list, "generation"), "generation"));
}

void MembershipWatch::cancel() {
  given_up_ = true;
  const std::lock_guard lock(mutex_);
  socket_.shut_down(SHUT_RDWR);
}

void MembershipWatch::run() {
  Reason reason = Reason::kUnreachable;
  try {
    reason = read_updates();
  } catch (const std::runtime_error& failure) {
    log_note(failure.what());
  }
  {
    const std::lock_guard lock(mutex_);
    Socket old_socket;
    std::swap(old_socket, socket_);
  }
  log_connection_end(Side::kDiscovery, from_version_, address_, given_up_ ? Reason::kGivenUp : reason);
  const bool is_silent = reason == Reason::kSilent;
  context_.reducer.post([self = shared_from_this(), is_silent](Time now) {
    if (self->given_up_) return;
    is_silent ? self->context_.node->watch_timed_out(now) : self->context_.node->membership_call_failed(now);
  });
}

Reason MembershipWatch::read_updates() {
  {
    const std::lock_guard lock(mutex_);
    if (given_up_) return Reason::kGivenUp;
    socket_ = new_socket();
  }
  // Only complete messages reset the timeout: bytes that trickle in carry no information.
  Clock::time_point silent_at = Clock::now() + first_message_timeout_;
  if (connect_to(socket_, address_, std::min(kConnectTimeout, first_message_timeout_)) != 0)
    return Reason::kUnreachable;
  std::string request;
  http::Writer(request)
      .request("GET", "/v1/servers?stream=1&index=" + std::to_string(from_version_))
      .field("Host", address_)
      .end();
  if (!socket_.write(request, {})) return Reason::kSendFailed;
  std::string bytes;  // the head, then the message received so far
  const auto read_more = [&] {
    char part[4096];
    const auto time_left = std::chrono::ceil<Milliseconds>(silent_at - Clock::now());
    if (time_left > Milliseconds(0)) socket_.set_receive_timeout(time_left);
    // Bytes that arrived while this process was stopped are read even after the timeout.
    const long n = time_left > Milliseconds(0) ? socket_.read_until(silent_at, part, sizeof part)
                                               : socket_.read(part, sizeof part, MSG_DONTWAIT);
    if (n > 0) bytes.append(part, static_cast<std::size_t>(n));
    return n > 0             ? Reason::kPeerClosed
           : n == 0          ? Reason::kRefused
           : errno == EAGAIN ? Reason::kSilent
                             : Reason::kConnectionBroken;
  };
  http::Head head(http::Head::Kind::kAnswer);
  for (http::Progress progress = http::Progress::kMore; progress != http::Progress::kDone;) {
    if (const Reason reason = read_more(); reason != Reason::kPeerClosed) return reason;
    progress = head.read(bytes);
    if (progress != http::Progress::kDone && progress != http::Progress::kMore) return Reason::kBadMessage;
  }
  if (head.status != 200) return Reason::kRefused;
  http::BodyReader reader(head.framing, head.length);
  bytes.erase(0, head.size());
  std::size_t content_end = 0;  // `bytes` holds decoded content up to here, and raw bytes behind it
  for (;;) {
    std::size_t taken = 0, written = 0;
    const http::Progress progress = reader.read(bytes.data() + content_end, bytes.size() - content_end,
                                                bytes.data() + content_end, taken, written);
    if (progress == http::Progress::kBad) return Reason::kBadMessage;
    bytes.resize(content_end + written);
    std::size_t from = 0;
    for (std::size_t length;
         (length = find_message_end(std::string_view(bytes).substr(from))) != std::string::npos;) {
      const std::size_t end = from + length;
      silent_at = Clock::now() + kSilenceTimeout;
      if (end - from > 1 && !handle_message(std::string_view(bytes).substr(from, end - from)))
        return Reason::kBadMessage;
      from = end + 1;
    }
    bytes.erase(0, from);
    if (progress == http::Progress::kDone) return Reason::kPeerClosed;
    if (bytes.size() > kMaxMessageBytes) return Reason::kTooLarge;
    content_end = bytes.size();
    if (const Reason reason = read_more(); reason != Reason::kPeerClosed) return reason;
  }
}

bool MembershipWatch::handle_message(std::string_view line) {
  const auto list = std::make_shared<rapidjson::Document>();
  list->Parse<kIterativeJsonParse>(line.data(), line.size());
  if (!list->IsObject()) {
    log_note("discovery: message is not a JSON object");
    return false;
  }
  // Posted even where another watch has replaced this one: the list was current when discovery sent it, and
  // the other watch may take long to answer. If that watch brought the same list already, this one changes
  // nothing, and neither does an older one.
  context_.reducer.post([self = shared_from_this(), list](Time now) {
    try {
      validate_list(*list);
      self->handle_list(now, *list);
    } catch (const BadInput& input) {
      log_note(std::string("discovery: ") + input.what());
      if (self->given_up_) return;
      self->cancel();
      self->context_.node->membership_call_failed(now);
    }
  });
  return true;
}

// Called on the reducer's thread.
void MembershipWatch::handle_list(Time now, const JsonValue& list) {
  Node& node = *context_.node;
  const recovery::ListSummary summary = summarize(list);
  const std::uint64_t held = node.membership_version();
  const std::string version = std::to_string(summary.generation);
  switch (node.check_list(now, summary, given_up_)) {
    case recovery::ListVerdict::kApply:
      apply_list(node, now, list, ListSource::kDiscovery);
      log_note("roster taken, version " + version);
      return;
    case recovery::ListVerdict::kApplyWithoutRemovals:
      node.defer_removals();
      apply_list(node, now, list, ListSource::kDiscoveryWithoutRemovals);
      log_note("roster taken, version " + version +
               ", much shorter than before: absent executors are not removed yet");
      return;
    case recovery::ListVerdict::kRefuse:
      if (summary.generation < held)
        log_note("discovery: generation: " + version + " is older than " + std::to_string(held));
      if (!given_up_) node.membership_received(now, MembershipUpdate::kDelta, held);
      return;
    case recovery::ListVerdict::kDrainsOnly:
      apply_drains(node, now, list);
      return;
    case recovery::ListVerdict::kConfirm:
      log_note("discovery: generation: " + version + " may begin a new incarnation of discovery, held is " +
               std::to_string(held) + ": another call is made to confirm it");
      apply_drains(node, now, list);
      node.membership_received(now, MembershipUpdate::kDelta, held);
      node.refetch_membership(now);
      return;
  }
}

}  // namespace canvasstage::net
