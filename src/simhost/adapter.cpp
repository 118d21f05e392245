#include "adapter.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/settings.h"
#include "policy.h"

namespace canvasstage::simhost {
namespace {

using Value = JsonValue;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// The initial size of the JSON parser's memory pool.
constexpr std::uint32_t kInitialPoolBytes = 64 * 1024;

Outcome outcome_of(std::uint64_t status) {
  switch (status) {
    case 200:
      return Outcome::kSucceeded;
    case 429:
      return Outcome::kRejected;
    case 408:
      return Outcome::kTimedOut;
    case 521:
      return Outcome::kUnreachable;
    case 520:
      return Outcome::kConnectionLost;
    case 444:
      return Outcome::kCancelled;
    case 409:
      return Outcome::kNotSent;
    default:
      return Outcome::kFailed;  // an unknown outcome: the executor may have run the request
  }
}

// The element of a message, or null where the message is shorter.
const Value& element(const Value& message, rapidjson::SizeType index) {
  static const Value kNull;
  return index < message.Size() ? message[index] : kNull;
}

// The reply to one batch. Actions are appended as the policy decides.
struct Reply {
  rapidjson::StringBuffer buffer;
  Writer writer{buffer};

  void begin(const char* name, std::uint64_t instance) {
    writer.StartArray();
    writer.String(name);
    writer.Uint64(instance);
  }
  void seconds(Time time) { writer.Double(static_cast<double>(time) / kSecond); }
};

// One simulated node: maps the simulator's ids of requests and executors to the indices that the policy uses.
// Timer tokens are passed through unchanged; token 0 belongs to no timer.
class Instance final : public Host {
 public:
  Instance(std::uint64_t id, Reply& reply) : id_(id), reply_(reply) {}

  void handle_hello(Time now, std::uint64_t seed, const Value& info);
  void handle_topology(Time now, const Value& message);
  void handle_event(Time now, std::string_view name, const Value& message);

  void start_attempt(int request, int executor, Time give_up_at) override {
    ++requests_[request].pending;
    begin_request_action("Assign", request);
    reply_.writer.Uint64(executor_ids_[executor]);
    reply_.seconds(give_up_at);
    reply_.writer.EndArray();
  }
  void shed(int request, Time retry_after) override {
    requests_[request].ended = true;
    begin_request_action("Bounce", request);
    if (retry_after > 0) reply_.seconds(retry_after);
    reply_.writer.EndArray();
  }
  void fail(int request) override {
    requests_[request].ended = true;
    begin_request_action("EndFailed", request);
    reply_.writer.EndArray();
  }
  void cancel_attempt(int request, int attempt) override {
    begin_request_action("UndoSend", request);
    reply_.writer.Int(attempt);
    reply_.writer.EndArray();
  }
  void subscribe_to_membership() override {
    reply_.begin("Observe", id_);
    reply_.writer.Bool(true);
    reply_.writer.EndArray();
  }
  void wake_at(Time when, std::uint64_t token) override {
    reply_.begin("Sleep", id_);
    reply_.seconds(when);
    reply_.writer.Uint64(token);
    reply_.writer.EndArray();
  }

 private:
  // The index of a request is reused once the request was answered and all its attempts have ended.
  struct RequestState {
    std::uint64_t id = 0;
    int pending = 0;
    bool ended = true;
  };

  void begin_request_action(const char* name, int request) {
    reply_.begin(name, id_);
    reply_.writer.Uint64(requests_[request].id);
  }
  int request_index(const Value& id) const {
    const auto found = request_indices_.find(unsigned_integer(id, "msgId"));
    return found == request_indices_.end() ? -1 : found->second;
  }
  int attempt_index(int request, const Value& attempt) const {
    const std::uint64_t number = unsigned_integer(attempt, "leg");
    return number < policy_->requests[request].attempts.size() ? static_cast<int>(number) : -1;
  }
  void release_if_finished(int request) {
    RequestState& state = requests_[request];
    if (!state.ended || state.pending > 0) return;
    request_indices_.erase(state.id);
    free_indices_.push_back(request);
  }
  void handle_request(Time now, const Value& message);
  void handle_result(Time now, const Value& message);
  const Load* read_load(const Value& report, Load& load) const;

  std::uint64_t id_;
  Reply& reply_;
  std::unique_ptr<Policy> policy_;
  Terms terms_;
  std::unordered_map<std::uint64_t, int> request_indices_, executor_indices_;
  std::vector<std::uint64_t> executor_ids_;
  std::vector<RequestState> requests_;
  std::vector<int> free_indices_;
};

void Instance::handle_hello(Time now, std::uint64_t seed, const Value& info) {
  Settings settings = decode_settings(info, terms_);
  policy_ = std::make_unique<Policy>(std::move(settings), *this, static_cast<std::uint32_t>(seed), now);
}

void Instance::handle_topology(Time now, const Value& message) {
  const std::string_view form = string_value(element(message, 2), "form");
  if (form == "refused") return policy_->membership_call_failed(now);
  const Value& rows = element(message, 4);
  if (!rows.IsArray()) throw_bad_input("rows: a list is needed");
  for (const Value& row : rows.GetArray()) {
    if (!row.IsArray()) throw_bad_input("rows: an entry must be a list");
    const std::uint64_t id = unsigned_integer(element(row, 0), "executor");
    const auto [found, added] = executor_indices_.try_emplace(id, static_cast<int>(executor_ids_.size()));
    if (added) executor_ids_.push_back(id);
    const std::string_view lifecycle_code = string_value(element(row, 4), "lifecycle");
    const Lifecycle lifecycle = lifecycle_code == "U"   ? Lifecycle::kActive
                                : lifecycle_code == "L" ? Lifecycle::kDraining
                                                        : Lifecycle::kRemoved;
    const Value& zone = element(row, 1);
    const Value& kind = element(row, 2);
    policy_->executor_listed(
        now, found->second, zone.IsString() ? index_of(terms_.zones, string_value(zone, "zone")) : -1,
        kind.IsString() ? index_of(terms_.machine_kinds, string_value(kind, "kind")) : -1,
        static_cast<int>(number_or(element(row, 3), -1, "unitGroup")), lifecycle,
        time_from_seconds(number_or(element(row, 6), 0, "launched")),
        element(row, 5).IsNumber() ? element(row, 5).GetDouble() : -1, id);
  }
  policy_->membership_received(now, form == "all"          ? MembershipUpdate::kSnapshot
                                    : form == "remembered" ? MembershipUpdate::kCached
                                                           : MembershipUpdate::kDelta);
}

void Instance::handle_request(Time now, const Value& message) {
  const std::uint64_t id = unsigned_integer(element(message, 2), "msgId");
  const int use_case = index_of(terms_.use_cases, string_value(element(message, 3), "kind"));
  if (use_case < 0) throw_bad_input("kind: not a use case of the settings");
  const Time due = time_from_seconds(number(element(message, 6), "due"));
  const std::uint64_t attrs = static_cast<std::uint64_t>(number_or(element(message, 10), 0, "attrs"));
  const Value& hint = element(message, 7);
  int index = static_cast<int>(requests_.size());
  if (free_indices_.empty()) {
    requests_.emplace_back();
  } else {
    index = free_indices_.back();
    free_indices_.pop_back();
  }
  requests_[index] = {id, 0, false};
  request_indices_[id] = index;
  policy_->request_arrived(now, index, use_case, due, (attrs & 1) != 0 ? number_or(hint, 0, "workHint") : 0,
                           static_cast<int>(number_or(element(message, 8), 1, "width")),
                           element(message, 5).IsNull() ? 0 : unsigned_integer(element(message, 5), "item"));
  release_if_finished(index);
}

const Load* Instance::read_load(const Value& report, Load& load) const {
  if (!report.IsArray()) return nullptr;
  for (rapidjson::SizeType i = 0; i < report.Size() && i < terms_.report_fields.size(); ++i) {
    if (report[i].IsNumber() && terms_.report_fields[i] == "x0") load.free_slots = report[i].GetDouble();
  }
  return &load;
}

void Instance::handle_result(Time now, const Value& message) {
  const int index = request_index(element(message, 2));
  const Value& settled = element(message, 6);
  const std::uint64_t status = unsigned_integer(element(message, 7), "status");
  const Time latency = time_from_seconds(number_or(element(message, 8), 0, "latency"));
  if (index < 0) return;
  const int attempt = attempt_index(index, element(message, 4));
  if (attempt < 0) return;
  RequestState& state = requests_[index];
  --state.pending;
  const bool is_final = settled.IsBool() && settled.GetBool();
  if (is_final) state.ended = true;
  Load report;
  policy_->attempt_ended(now, index, attempt, outcome_of(status), latency, is_final,
                         read_load(element(message, 9), report));
  release_if_finished(index);
}

void Instance::handle_event(Time now, std::string_view name, const Value& message) {
  if (name == "Knock") return handle_request(now, message);
  if (name == "Result") return handle_result(now, message);
  if (name == "TickDue") return policy_->timer_due(now, unsigned_integer(element(message, 2), "keyBack"));
  if (name == "Topology") return handle_topology(now, message);
  if (name == "StatusNote") {
    const int index = request_index(element(message, 2));
    const std::uint64_t note_kind = unsigned_integer(element(message, 5), "sort");
    const int attempt = index < 0 ? -1 : attempt_index(index, element(message, 3));
    if (attempt < 0) return;
    if (note_kind == 1) policy_->attempt_started(now, index, attempt);
    if (note_kind == 2)
      policy_->attempt_progressed(now, index, attempt, number_or(element(message, 6), 0, "value"));
    return;
  }
  if (name == "ClientGone") {
    const int index = request_index(element(message, 2));
    if (index < 0) return;
    requests_[index].ended = true;
    policy_->client_left(now, index);
    return release_if_finished(index);
  }
}

}  // namespace

struct Adapter::Impl {
  std::unordered_map<std::uint64_t, std::unique_ptr<Instance>> instances;
  Reply reply;
  std::vector<char> parse_pool = std::vector<char>(kInitialPoolBytes);
};

Adapter::Adapter() : impl_(std::make_unique<Impl>()) {}
Adapter::~Adapter() = default;

std::string_view Adapter::answer(std::string& line) {
  rapidjson::MemoryPoolAllocator<> memory(impl_->parse_pool.data(), impl_->parse_pool.size());
  rapidjson::Document batch(&memory);
  batch.ParseInsitu<rapidjson::kParseFullPrecisionFlag>(line.data());
  if (batch.HasParseError())
    throw_bad_input(std::string("not JSON: ") + rapidjson::GetParseError_En(batch.GetParseError()));
  if (!batch.IsObject()) throw_bad_input("a batch must be an object");
  const Time now = time_from_seconds(number(member(batch, "clock"), "clock"));
  const Value& events = member(batch, "news");
  if (!events.IsArray()) throw_bad_input("news: a list is needed");
  Reply& reply = impl_->reply;
  reply.buffer.Clear();
  reply.writer.Reset(reply.buffer);
  reply.writer.StartObject();
  reply.writer.Key("actions");
  reply.writer.StartArray();
  for (const Value& message : events.GetArray()) {
    if (!message.IsArray() || message.Empty())
      throw_bad_input("news: a message must be a list that begins with its name");
    const std::string_view name = string_value(message[0], "news: a message's name");
    static constexpr std::string_view kKnownEvents[] = {"Hello",    "Topology",   "Knock",      "TickDue",
                                                        "CrashNow", "StatusNote", "ClientGone", "Result"};
    bool is_known = false;
    for (const std::string_view known_event : kKnownEvents) is_known = is_known || known_event == name;
    if (!is_known)
      continue;  // an event of a later protocol version, or an event that the adapter does not use
    try {
      const std::uint64_t id = unsigned_integer(element(message, 1), "node");
      if (name == "CrashNow") {
        impl_->instances.erase(id);
        continue;
      }
      if (name == "Hello") {
        auto instance = std::make_unique<Instance>(id, reply);
        instance->handle_hello(now, unsigned_integer(element(message, 2), "initSeed"), element(message, 3));
        impl_->instances[id] = std::move(instance);
        continue;
      }
      const auto found = impl_->instances.find(id);
      if (found == impl_->instances.end()) continue;
      try {
        found->second->handle_event(now, name, message);
      } catch (const BadInput&) {
        throw;
      } catch (const std::exception& failure) {
        reply.begin("Panic", id);
        reply.writer.String(failure.what());
        reply.writer.EndArray();
      }
    } catch (const BadInput& input) {
      throw_bad_input(std::string(name) + ": " + input.what());
    }
  }
  reply.writer.EndArray();
  reply.writer.EndObject();
  reply.buffer.Put('\n');
  return {reply.buffer.GetString(), reply.buffer.GetSize()};
}

}  // namespace canvasstage::simhost
