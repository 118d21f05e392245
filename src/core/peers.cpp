// The exchange between peer nodes after a power loss: the part of Node that encodes what it publishes to
// peers and handles what they answer. No I/O.
#include <algorithm>
#include <utility>

#include "core/json_writer.h"
#include "core/node.h"

namespace canvasstage {
namespace {

// Limits on the attempts in one node's summary (the latest first) and on the members in one list.
constexpr std::size_t kMaxAttempts = 1000;
constexpr std::size_t kMaxMembers = 10000;
constexpr Time kPublishInterval = kSecond;
constexpr Time kMillisecond = kSecond / 1000;
constexpr double kMaxPeerDurationSeconds = 86400.0 * 30;

// Reads a duration in milliseconds, between 0 and kMaxPeerDurationSeconds.
Time read_milliseconds(const JsonValue& object, const char* key) {
  const double value = number(required_member(object, key), key);
  if (!(value >= 0 && value <= kMaxPeerDurationSeconds * 1000))
    throw_bad_input(std::string(key) + ": out of range");
  return static_cast<Time>(value) * kMillisecond;
}

// Reads a process start time in discovery's format, in Unix milliseconds.
Time read_started_at(const JsonValue& object) {
  constexpr double kMaxUnixMilliseconds = 1e14;
  const double value = number(required_member(object, "startedAtMs"), "startedAtMs");
  if (!(value >= 0 && value <= kMaxUnixMilliseconds)) throw_bad_input("startedAtMs: out of range");
  return static_cast<Time>(value) * kMillisecond;
}

std::string read_text(const JsonValue& object, const char* key) {
  constexpr std::size_t kMaxTextLength = 512;
  const std::string_view value = string_value(required_member(object, key), key);
  if (value.size() > kMaxTextLength) throw_bad_input(std::string(key) + ": longer than 512 bytes");
  return std::string(value);
}

void write_attempt(JsonWriter& json, const recovery::AttemptRecord& attempt, Time now) {
  json.StartObject();
  write(json, "run", std::to_string(attempt.number.run));
  write(json, "attempt", std::to_string(attempt.number.attempt));
  write(json, "request", attempt.request_id);
  write(json, "key", attempt.idempotency_key);
  write(json, "useCase", attempt.use_case);
  write(json, "executor", attempt.executor);
  write(json, "zone", attempt.zone);
  write_integer(json, "cell", attempt.cell);
  write_integer(json, "startedAtMs", attempt.executor_started_at / kMillisecond);
  write_integer(json, "ageMs", (now - attempt.sent_at) / kMillisecond);
  write_integer(json, "windowMs", attempt.idempotency_window / kMillisecond);
  json.EndObject();
}

// `max_delay`: how long ago the peer may have encoded the record. It is added to the age, which may be too
// great but must not be too small.
recovery::AttemptRecord read_attempt(const JsonValue& from, const std::string& node, Time now,
                                     Time max_delay) {
  recovery::AttemptRecord attempt;
  // The number was assigned by another node, so that node's name becomes part of the run.
  const std::string run = read_text(from, "run"), attempt_number = read_text(from, "attempt");
  attempt.number = {stable_hash(node + "/" + run), stable_hash(attempt_number)};
  attempt.request_id = read_text(from, "request");
  attempt.idempotency_key = read_text(from, "key");
  attempt.use_case = read_text(from, "useCase");
  attempt.executor = read_text(from, "executor");
  attempt.zone = read_text(from, "zone");
  attempt.cell = integer(required_member(from, "cell"), "cell");
  attempt.executor_started_at = read_started_at(from);
  attempt.idempotency_window = read_milliseconds(from, "windowMs");
  attempt.sent_at = now - max_delay - read_milliseconds(from, "ageMs");
  attempt.from_peer = true;
  if (attempt.idempotency_key.empty()) throw_bad_input("key: must not be empty");
  return attempt;
}

}  // namespace

// --- Published to peers ---

std::string Node::encode_peer_summary(Time now) const {
  rapidjson::StringBuffer out;
  JsonWriter json(out);
  json.StartObject();
  write(json, "node", recovery_->node);
  write(json, "phase", std::string(list_from_discovery_ ? "in-service" : "recovering"));
  json.Key("generation");
  json.Uint64(membership_version_);
  write_integer(json, "incarnationsBegun", recovery_->membership.incarnations_begun());
  write(json, "digest", std::to_string(list_digest_));
  write_integer(json, "members", static_cast<std::int64_t>(member_count()));
  json.Key("inDoubt");
  json.StartArray();
  if (recovery_->attempts)
    for (const recovery::AttemptRecord* const attempt :
         recovery_->attempts->earlier_runs_in_doubt(recovery_->run, kMaxAttempts))
      write_attempt(json, *attempt, now);
  json.EndArray();
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

void Node::publish_to_peers(Time now) {
  if (recovery_->peer_answers == nullptr || now < publish_to_peers_at_) return;
  publish_to_peers_at_ = now + kPublishInterval;
  if (std::exchange(list_unpublished_, false)) {
    std::string list = encode_membership();
    list_digest_ = stable_hash(list);
    recovery_->peer_answers->publish_list(std::move(list));
  }
  recovery_->peer_answers->publish_summary(encode_peer_summary(now));
}

// --- Received from peers ---

void Node::peer_answered(Time now, std::size_t peer, const JsonValue& answer) {
  now_ = now;
  recovery::PeerSummary summary;
  summary.node = read_text(answer, "node");
  summary.generation = unsigned_integer(required_member(answer, "generation"), "generation");
  summary.digest = stable_hash(read_text(answer, "digest"));
  summary.members = static_cast<std::size_t>(unsigned_integer(required_member(answer, "members"), "members"));
  const JsonValue& in_doubt = required_member(answer, "inDoubt");
  if (!in_doubt.IsArray() || in_doubt.Size() > kMaxAttempts)
    throw_bad_input("inDoubt: a list of at most 1000 attempts is needed");
  std::vector<recovery::AttemptRecord> attempts;
  attempts.reserve(in_doubt.Size());
  const Time max_delay = kPublishInterval + recovery_->peers->settings().timeout;
  for (const JsonValue& item : in_doubt.GetArray())
    attempts.push_back(read_attempt(item, summary.node, now, max_delay));
  const recovery::Peer& expected = recovery_->peers->settings().nodes[peer];
  if (recovery_->peers->record_answer(peer, summary) == recovery::PeerEvidence::Verdict::kWrongName)
    throw_bad_input("node: " + expected.name + " is expected, not " + summary.node);
  if (recovery_->attempts)
    for (const recovery::AttemptRecord& attempt : attempts) recovery_->attempts->add(attempt);
  open_listener_if_settled(now);
}

void Node::peer_failed(Time now, std::size_t peer) {
  now_ = now;
  recovery_->peers->record_failure(peer);
  open_listener_if_settled(now);
}

// Adds the executors that this node does not know. Known executors stay unchanged: only discovery changes
// them.
void Node::peer_list_received(Time now, std::size_t peer, const JsonValue& list) {
  now_ = now;
  recovery_->peers->list_received(peer);
  if (list_from_discovery_) return;
  const JsonValue& instances = required_member(list, "instances");
  if (!instances.IsArray() || instances.Size() > kMaxMembers)
    throw_bad_input("instances: a list of at most 10000 executors is needed");
  int added = 0;
  for (const JsonValue& instance : instances.GetArray()) {
    const std::string id = read_text(instance, "instanceId"), address = read_text(instance, "hostPort");
    const std::string zone = read_text(instance, "zone"), machine_kind = read_text(instance, "machineType");
    const int cell = integer(required_member(instance, "cell"), "cell");
    const Time started_at = read_started_at(instance);
    if (string_value(required_member(instance, "lifecycle"), "lifecycle") != "active" ||
        executor_indices_.contains(id))
      continue;
    executor_listed(now, id, address, zone, machine_kind, cell, Lifecycle::kActive, started_at);
    ++added;
  }
  policy_.membership_received(now, MembershipUpdate::kCached);
  if (added > 0) mark_list_changed();
  if (member_count() == 0) return;
  if (added > 0) recovery_->log("recovery: " + std::to_string(added) + " executors known from a peer alone");
  list_from_peer_ = true;
  open_listener_if_settled(now);
}

std::optional<std::size_t> Node::peer_to_ask_for_list() const {
  if (list_from_discovery_ || !recovery_->peers) return std::nullopt;
  return recovery_->peers->best_list_source();
}

void Node::open_listener_if_settled(Time now) {
  const bool has_list = list_from_discovery_ || list_from_peer_;
  if (has_list && (!recovery_->peers || recovery_->peers->is_settled(now))) open_listener();
}

}  // namespace canvasstage
