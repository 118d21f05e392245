// What nodes say to each other after a power loss: the part of Node that words it and takes it in. No I/O.
#include <algorithm>
#include <utility>

#include "core/json_writer.h"
#include "core/node.h"

namespace canvasstage {
namespace {

// Attempts that one node tells, the latest first, and members that one list may bring.
constexpr std::size_t kMostAttempts = 1000;
constexpr std::size_t kMostMembers = 10000;
constexpr Time kPublishGap = kSecond;
constexpr Time kMillisecond = kSecond / 1000;
constexpr double kLongestTime = 86400.0 * 30;  // seconds that a peer may name

// In milliseconds, between 0 and the longest.
Time read_time(const JsonValue& object, const char* key) {
  const double value = number(required_member(object, key), key);
  if (!(value >= 0 && value <= kLongestTime * 1000)) throw_bad_input(std::string(key) + ": out of range");
  return static_cast<Time>(value) * kMillisecond;
}

// A point in time as discovery words it, in Unix milliseconds.
Time read_started(const JsonValue& object) {
  constexpr double kLatest = 1e14;
  const double value = number(required_member(object, "startedAtMs"), "startedAtMs");
  if (!(value >= 0 && value <= kLatest)) throw_bad_input("startedAtMs: out of range");
  return static_cast<Time>(value) * kMillisecond;
}

std::string read_text(const JsonValue& object, const char* key) {
  constexpr std::size_t kLongest = 512;
  const std::string_view value = string_value(required_member(object, key), key);
  if (value.size() > kLongest) throw_bad_input(std::string(key) + ": too long");
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
  write_whole(json, "cell", attempt.cell);
  write_whole(json, "startedAtMs", attempt.executor_started_at / kMillisecond);
  write_whole(json, "ageMs", (now - attempt.sent_at) / kMillisecond);
  write_whole(json, "windowMs", attempt.idempotency_window / kMillisecond);
  json.EndObject();
}

// `late`: for so long the words may have been on their way. An age is rather too great than too small.
recovery::AttemptRecord read_attempt(const JsonValue& from, const std::string& node, Time now, Time late) {
  recovery::AttemptRecord attempt;
  // Numbers of another node's: its name is part of the run.
  const std::string run = read_text(from, "run"), number_there = read_text(from, "attempt");
  attempt.number = {stable_hash(node + "/" + run), stable_hash(number_there)};
  attempt.request_id = read_text(from, "request");
  attempt.idempotency_key = read_text(from, "key");
  attempt.use_case = read_text(from, "useCase");
  attempt.executor = read_text(from, "executor");
  attempt.zone = read_text(from, "zone");
  attempt.cell = integer(required_member(from, "cell"), "cell");
  attempt.executor_started_at = read_started(from);
  attempt.idempotency_window = read_time(from, "windowMs");
  attempt.sent_at = now - late - read_time(from, "ageMs");
  attempt.from_peer = true;
  if (attempt.idempotency_key.empty()) throw_bad_input("key: is empty");
  return attempt;
}

}  // namespace

// --- Said to peers ---

std::string Node::peer_summary(Time now) const {
  rapidjson::StringBuffer out;
  JsonWriter json(out);
  json.StartObject();
  write(json, "node", recovery_->node);
  write(json, "phase", std::string(list_from_discovery_ ? "in-service" : "recovering"));
  json.Key("generation");
  json.Uint64(roster_version_);
  write_whole(json, "incarnationsBegun", recovery_->membership.incarnations_begun());
  write(json, "digest", std::to_string(list_digest_));
  write_whole(json, "members", static_cast<std::int64_t>(members()));
  json.Key("inDoubt");
  json.StartArray();
  if (recovery_->attempts)
    for (const recovery::AttemptRecord* const attempt :
         recovery_->attempts->left_in_doubt(recovery_->run, kMostAttempts))
      write_attempt(json, *attempt, now);
  json.EndArray();
  json.EndObject();
  return {out.GetString(), out.GetSize()};
}

void Node::publish_to_peers(Time now) {
  if (recovery_->peer_answers == nullptr || now < publish_to_peers_at_) return;
  publish_to_peers_at_ = now + kPublishGap;
  if (std::exchange(list_unpublished_, false)) {
    std::string list = encode_membership();
    list_digest_ = stable_hash(list);
    recovery_->peer_answers->publish_list(std::move(list));
  }
  recovery_->peer_answers->publish_summary(peer_summary(now));
}

// --- Heard from peers ---

void Node::peer_answered(Time now, std::size_t peer, const JsonValue& answer) {
  now_ = now;
  recovery::PeerSummary summary;
  summary.node = read_text(answer, "node");
  summary.generation = unsigned_integer(required_member(answer, "generation"), "generation");
  summary.digest = stable_hash(read_text(answer, "digest"));
  summary.members = static_cast<std::size_t>(unsigned_integer(required_member(answer, "members"), "members"));
  const JsonValue& in_doubt = required_member(answer, "inDoubt");
  if (!in_doubt.IsArray() || in_doubt.Size() > kMostAttempts)
    throw_bad_input("inDoubt: a list of 1000 at most is needed");
  std::vector<recovery::AttemptRecord> attempts;
  attempts.reserve(in_doubt.Size());
  const Time late = kPublishGap + recovery_->peers->settings().timeout;
  for (const JsonValue& one : in_doubt.GetArray())
    attempts.push_back(read_attempt(one, summary.node, now, late));
  const recovery::Peer& expected = recovery_->peers->settings().nodes[peer];
  if (recovery_->peers->answered(peer, summary) == recovery::PeerEvidence::Verdict::kWrongName)
    throw_bad_input("node: " + expected.name + " is expected, not " + summary.node);
  if (recovery_->attempts)
    for (const recovery::AttemptRecord& attempt : attempts) recovery_->attempts->add(attempt);
  open_if_settled(now);
}

void Node::peer_failed(Time now, std::size_t peer) {
  now_ = now;
  recovery_->peers->failed(peer);
  open_if_settled(now);
}

// Adds whom this node does not know. What it knows stays as it is: only discovery changes that.
void Node::peer_list_received(Time now, std::size_t peer, const JsonValue& list) {
  now_ = now;
  recovery_->peers->list_received(peer);
  if (list_from_discovery_) return;
  const JsonValue& entries = required_member(list, "instances");
  if (!entries.IsArray() || entries.Size() > kMostMembers)
    throw_bad_input("instances: a list of 10000 at most is needed");
  int added = 0;
  for (const JsonValue& entry : entries.GetArray()) {
    const std::string id = read_text(entry, "instanceId"), address = read_text(entry, "hostPort");
    const std::string zone = read_text(entry, "zone"), kind = read_text(entry, "machineType");
    const int cell = integer(required_member(entry, "cell"), "cell");
    const Time started = read_started(entry);
    if (string_value(required_member(entry, "lifecycle"), "lifecycle") != "active" ||
        executor_indices_.contains(id))
      continue;
    executor_listed(now, id, address, zone, kind, cell, Lifecycle::kActive, started);
    ++added;
  }
  policy_.membership_received(now, MembershipUpdate::kCached);
  if (added > 0) list_changed();
  if (members() == 0) return;
  if (added > 0) recovery_->log("recovery: " + std::to_string(added) + " executors known from a peer alone");
  listed_by_peer_ = true;
  open_if_settled(now);
}

std::optional<std::size_t> Node::peer_to_ask_for_list() const {
  if (list_from_discovery_ || !recovery_->peers) return std::nullopt;
  return recovery_->peers->best_list_source();
}

void Node::open_if_settled(Time now) {
  const bool knows = list_from_discovery_ || listed_by_peer_;
  if (knows && (!recovery_->peers || recovery_->peers->is_settled(now))) open_listener();
}

}  // namespace canvasstage
