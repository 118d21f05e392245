#include "net/discovery.h"

#include <sys/socket.h>

#include <algorithm>
#include <set>
#include <utility>

#include "http/writer.h"

namespace canvasstage::net {
namespace {

// Behind the first line an empty one is due every 2 s. A third of that again is silence: what is missed
// counts as told 6 s after the last byte, and the next call, or the one after it, has to be answered before.
constexpr Milliseconds kMostGap{2600};
constexpr Milliseconds kMostConnecting{1000};
// The list of a fleet a hundred times larger than any we have seen.
constexpr std::size_t kMostLine = 8 * 1024 * 1024;

Lifecycle standing_of(std::string_view lifecycle) {
  return lifecycle == "active"    ? Lifecycle::kActive
         : lifecycle == "leaving" ? Lifecycle::kDraining
                                  : Lifecycle::kRemoved;
}

void check_entry(const JsonValue& entry) {
  string_value(required_member(entry, "instanceId"), "instanceId");
  string_value(required_member(entry, "lifecycle"), "lifecycle");
  string_value(required_member(entry, "hostPort"), "hostPort");
  for (const char* const key : {"zone", "machineType"})
    if (!member(entry, key).IsNull()) string_value(member(entry, key), key);
  if (!member(entry, "cell").IsNull()) integer(member(entry, "cell"), "cell");
  number_or(member(entry, "startedAtMs"), 0, "startedAtMs");
}

std::string_view text_or_none(const JsonValue& value) {
  return value.IsString() ? string_value(value, "") : std::string_view();
}

}  // namespace

std::uint64_t check_list(const JsonValue& list) {
  const JsonValue& entries = required_member(list, "instances");
  if (!entries.IsArray()) throw_bad_input("instances: a list is needed");
  std::set<std::string_view> names;
  for (const JsonValue& entry : entries.GetArray()) {
    check_entry(entry);
    const std::string_view name = string_value(entry["instanceId"], "");
    if (!names.insert(name).second) throw_bad_input("instanceId: twice " + std::string(name));
  }
  return unsigned_integer(required_member(list, "generation"), "generation");
}

std::size_t message_end(std::string_view bytes) {
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const char c = bytes[i];
    if (quoted && c == '\\') {
      ++i;
    } else if (c == '"') {
      quoted = !quoted;
    } else if (!quoted && (c == '{' || c == '[')) {
      ++depth;
    } else if (!quoted && (c == '}' || c == ']')) {
      --depth;
    } else if (c == '\n' && depth <= 0) {
      return i;
    }
  }
  return std::string_view::npos;
}

namespace {

void take_entry(Node& node, Time now, const JsonValue& entry) {
  const JsonValue& weight = member(entry, "weight");
  const double started = number_or(member(entry, "startedAtMs"), 0, "startedAtMs");
  node.executor_listed(now, string_value(entry["instanceId"], ""), string_value(entry["hostPort"], ""),
                       text_or_none(member(entry, "zone")), text_or_none(member(entry, "machineType")),
                       static_cast<int>(number_or(member(entry, "cell"), -1, "cell")),
                       standing_of(string_value(entry["lifecycle"], "")), time_from_seconds(started / 1000),
                       weight.IsNumber() ? weight.GetDouble() : -1);
}

bool is_whole(const JsonValue& list) {
  const JsonValue& reset = member(list, "reset");
  return reset.IsBool() && reset.GetBool();
}

// Of a list that is not taken yet: what it says that is safe in any case. An executor that has started anew
// since is another process, and no older drain is its own.
void take_drains(Node& node, Time now, const JsonValue& list) {
  for (const JsonValue& entry : member(list, "instances").GetArray()) {
    const Time started = time_from_seconds(number_or(member(entry, "startedAtMs"), 0, "startedAtMs") / 1000);
    if (standing_of(string_value(entry["lifecycle"], "")) != Lifecycle::kActive &&
        node.knows_executor(string_value(entry["instanceId"], ""), started))
      take_entry(node, now, entry);
  }
}

recovery::ListSummary summary_of(const JsonValue& list) {
  recovery::ListSummary summary;
  summary.generation = unsigned_integer(required_member(list, "generation"), "generation");
  summary.is_snapshot = is_whole(list);
  for (const JsonValue& entry : member(list, "instances").GetArray())
    if (standing_of(string_value(entry["lifecycle"], "")) != Lifecycle::kRemoved) ++summary.members;
  return summary;
}

}  // namespace

void take_list(Node& node, Time now, const JsonValue& list, ListSource use) {
  for (const JsonValue& entry : member(list, "instances").GetArray()) take_entry(node, now, entry);
  const MembershipUpdate form = use == ListSource::kCached ? MembershipUpdate::kCached
                                : use == ListSource::kDiscovery && is_whole(list)
                                    ? MembershipUpdate::kSnapshot
                                    : MembershipUpdate::kDelta;
  node.membership_received(now, form, unsigned_integer(required_member(list, "generation"), "generation"));
}

void Watch::give_up() {
  given_up_ = true;
  const std::lock_guard lock(mutex_);
  socket_.shut(SHUT_RDWR);
}

void Watch::run() {
  Reason reason = Reason::kUnreachable;
  try {
    reason = follow();
  } catch (const std::runtime_error& failure) {
    log_note(failure.what());
  }
  {
    const std::lock_guard lock(mutex_);
    Socket closing;
    std::swap(closing, socket_);
  }
  log_connection_end(Side::kDiscovery, from_version_, address_, given_up_ ? Reason::kGivenUp : reason);
  const bool silent = reason == Reason::kSilent;
  world_.reducer.post([self = shared_from_this(), silent](Time now) {
    if (self->given_up_) return;
    silent ? self->world_.node->watch_timed_out(now) : self->world_.node->membership_call_failed(now);
  });
}

Reason Watch::follow() {
  {
    const std::lock_guard lock(mutex_);
    if (given_up_) return Reason::kGivenUp;
    socket_ = new_socket();
  }
  // Whole lines count: one that trickles tells nothing.
  Clock::time_point silent_at = Clock::now() + within_;
  if (connect_to(socket_, address_, std::min(kMostConnecting, within_)) != 0) return Reason::kUnreachable;
  std::string request;
  http::Writer(request)
      .request("GET", "/v1/servers?stream=1&index=" + std::to_string(from_version_))
      .field("Host", address_)
      .end();
  if (!socket_.write(request, {})) return Reason::kSendFailed;
  std::string bytes;  // the head, then what has come of a line
  const auto read_more = [&] {
    char part[4096];
    const auto left = std::chrono::ceil<Milliseconds>(silent_at - Clock::now());
    if (left > Milliseconds(0)) socket_.limit_reading(left);
    // What has come while this node stood still is read all the same.
    const long n = left > Milliseconds(0) ? socket_.read_until(silent_at, part, sizeof part)
                                          : socket_.read(part, sizeof part, MSG_DONTWAIT);
    if (n > 0) bytes.append(part, static_cast<std::size_t>(n));
    return n > 0             ? Reason::kPeerClosed
           : n == 0          ? Reason::kRefused
           : errno == EAGAIN ? Reason::kSilent
                             : Reason::kPeerBroke;
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
  std::size_t lines_end = 0;  // up to here `bytes` is content, behind it raw
  for (;;) {
    std::size_t taken = 0, written = 0;
    const http::Progress progress = reader.read(bytes.data() + lines_end, bytes.size() - lines_end,
                                                bytes.data() + lines_end, taken, written);
    if (progress == http::Progress::kBad) return Reason::kBadMessage;
    bytes.resize(lines_end + written);
    std::size_t from = 0;
    for (std::size_t length;
         (length = message_end(std::string_view(bytes).substr(from))) != std::string::npos;) {
      const std::size_t end = from + length;
      silent_at = Clock::now() + kMostGap;
      if (end - from > 1 && !take_line(std::string_view(bytes).substr(from, end - from)))
        return Reason::kBadMessage;
      from = end + 1;
    }
    bytes.erase(0, from);
    if (progress == http::Progress::kDone) return Reason::kPeerClosed;
    if (bytes.size() > kMostLine) return Reason::kTooLarge;
    lines_end = bytes.size();
    if (const Reason reason = read_more(); reason != Reason::kPeerClosed) return reason;
  }
}

bool Watch::take_line(std::string_view line) {
  const auto list = std::make_shared<rapidjson::Document>();
  list->Parse<kNotRecursive>(line.data(), line.size());
  if (!list->IsObject()) {
    log_note("discovery: a line that is no object");
    return false;
  }
  // Also where another watch was asked for meanwhile: it was told when it was written, and that one may be
  // long in answering. It then holds the same entries, and an older list changes nothing.
  world_.reducer.post([self = shared_from_this(), list](Time now) {
    try {
      check_list(*list);
      self->take_told_list(now, *list);
    } catch (const BadInput& input) {
      log_note(std::string("discovery: ") + input.what());
      if (self->given_up_) return;
      self->give_up();
      self->world_.node->membership_call_failed(now);
    }
  });
  return true;
}

// On the reducer's thread.
void Watch::take_told_list(Time now, const JsonValue& list) {
  Node& node = *world_.node;
  const recovery::ListSummary told = summary_of(list);
  const std::uint64_t held = node.membership_version();
  const std::string version = std::to_string(told.generation);
  switch (node.check_list(now, told, given_up_)) {
    case recovery::ListVerdict::kApply:
      take_list(node, now, list, ListSource::kDiscovery);
      log_note("roster taken, version " + version);
      return;
    case recovery::ListVerdict::kApplyWithoutRemovals:
      node.defer_removals();
      take_list(node, now, list, ListSource::kDiscoveryWithoutRemovals);
      log_note("roster taken, version " + version + ", far shorter than before: nobody is removed yet");
      return;
    case recovery::ListVerdict::kRefuse:
      if (told.generation < held)
        log_note("discovery: generation: " + version + " is older than " + std::to_string(held));
      if (!given_up_) node.membership_received(now, MembershipUpdate::kDelta, held);
      return;
    case recovery::ListVerdict::kDrainsOnly:
      take_drains(node, now, list);
      return;
    case recovery::ListVerdict::kConfirm:
      log_note("discovery: generation: " + version + " may begin a new incarnation, held is " +
               std::to_string(held) + ": asked again");
      take_drains(node, now, list);
      node.membership_received(now, MembershipUpdate::kDelta, held);
      node.confirm_membership(now);
      return;
  }
}

}  // namespace canvasstage::net
