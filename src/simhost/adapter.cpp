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

// Token 0 of the simulator's timers belongs to nobody; a timer's token goes through unchanged.
constexpr std::uint32_t kPoolStart = 64 * 1024;

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
      return Outcome::kFailed;  // an outcome not known may have run
  }
}

// A message's value; null where the message ends before it.
const Value& at(const Value& message, rapidjson::SizeType index) {
  static const Value kNull;
  return index < message.Size() ? message[index] : kNull;
}

// The replies of one batch, written as they are decided.
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

// One node: the ids of its submissions and executors, its timers' tokens, and the module that decides for it.
class Instance final : public Host {
 public:
  Instance(std::uint64_t id, Reply& reply) : id_(id), reply_(reply) {}

  void hello(Time now, std::uint64_t seed, const Value& info);
  void topology(Time now, const Value& message);
  void event(Time now, std::string_view name, const Value& message);

  void start_attempt(int submission, int executor, Time give_up_at) override {
    ++entries_[submission].pending;
    open("Assign", submission);
    reply_.writer.Uint64(executor_ids_[executor]);
    reply_.seconds(give_up_at);
    reply_.writer.EndArray();
  }
  void shed(int submission, Time stay_away) override {
    entries_[submission].ended = true;
    open("Bounce", submission);
    if (stay_away > 0) reply_.seconds(stay_away);
    reply_.writer.EndArray();
  }
  void fail(int submission) override {
    entries_[submission].ended = true;
    open("EndFailed", submission);
    reply_.writer.EndArray();
  }
  void cancel_attempt(int submission, int launch) override {
    open("UndoSend", submission);
    reply_.writer.Int(launch);
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
  // The index of a submission is used again once it has its answer and every launch of it has ended.
  struct Entry {
    std::uint64_t id = 0;
    int pending = 0;
    bool ended = true;
  };

  void open(const char* name, int submission) {
    reply_.begin(name, id_);
    reply_.writer.Uint64(entries_[submission].id);
  }
  int submission(const Value& id) const {
    const auto found = submissions_.find(unsigned_integer(id, "msgId"));
    return found == submissions_.end() ? -1 : found->second;
  }
  int launch_of(int submission, const Value& leg) const {
    const std::uint64_t number = unsigned_integer(leg, "leg");
    return number < policy_->requests[submission].attempts.size() ? static_cast<int>(number) : -1;
  }
  void release_if_over(int submission) {
    Entry& entry = entries_[submission];
    if (!entry.ended || entry.pending > 0) return;
    submissions_.erase(entry.id);
    free_.push_back(submission);
  }
  void arrive(Time now, const Value& message);
  void result(Time now, const Value& message);
  const Load* load(const Value& report, Load& into) const;

  std::uint64_t id_;
  Reply& reply_;
  std::unique_ptr<Policy> policy_;
  Terms terms_;
  std::unordered_map<std::uint64_t, int> submissions_, executors_;
  std::vector<std::uint64_t> executor_ids_;
  std::vector<Entry> entries_;
  std::vector<int> free_;
};

void Instance::hello(Time now, std::uint64_t seed, const Value& info) {
  Settings settings = decode_settings(info, terms_);
  policy_ = std::make_unique<Policy>(std::move(settings), *this, static_cast<std::uint32_t>(seed), now);
}

void Instance::topology(Time now, const Value& message) {
  const std::string_view form = string_value(at(message, 2), "form");
  if (form == "refused") return policy_->membership_call_failed(now);
  const Value& rows = at(message, 4);
  if (!rows.IsArray()) throw_bad_input("rows: a list is needed");
  for (const Value& row : rows.GetArray()) {
    if (!row.IsArray()) throw_bad_input("rows: an entry must be a list");
    const std::uint64_t id = unsigned_integer(at(row, 0), "executor");
    const auto [found, added] = executors_.try_emplace(id, static_cast<int>(executor_ids_.size()));
    if (added) executor_ids_.push_back(id);
    const std::string_view lifecycle = string_value(at(row, 4), "lifecycle");
    const Lifecycle standing = lifecycle == "U"   ? Lifecycle::kActive
                               : lifecycle == "L" ? Lifecycle::kDraining
                                                  : Lifecycle::kRemoved;
    const Value& zone = at(row, 1);
    const Value& kind = at(row, 2);
    policy_->executor_listed(
        now, found->second, zone.IsString() ? index_of(terms_.zones, string_value(zone, "zone")) : -1,
        kind.IsString() ? index_of(terms_.machine_kinds, string_value(kind, "kind")) : -1,
        static_cast<int>(number_or(at(row, 3), -1, "unitGroup")), standing,
        time_from_seconds(number_or(at(row, 6), 0, "launched")),
        at(row, 5).IsNumber() ? at(row, 5).GetDouble() : -1, id);
  }
  policy_->membership_received(now, form == "all"          ? MembershipUpdate::kSnapshot
                                    : form == "remembered" ? MembershipUpdate::kCached
                                                           : MembershipUpdate::kDelta);
}

void Instance::arrive(Time now, const Value& message) {
  const std::uint64_t id = unsigned_integer(at(message, 2), "msgId");
  const int use_case = index_of(terms_.use_cases, string_value(at(message, 3), "kind"));
  if (use_case < 0) throw_bad_input("kind: not a use case of the settings");
  const Time due = time_from_seconds(number(at(message, 6), "due"));
  const std::uint64_t attrs = static_cast<std::uint64_t>(number_or(at(message, 10), 0, "attrs"));
  const Value& hint = at(message, 7);
  int index = static_cast<int>(entries_.size());
  if (free_.empty()) {
    entries_.emplace_back();
  } else {
    index = free_.back();
    free_.pop_back();
  }
  entries_[index] = {id, 0, false};
  submissions_[id] = index;
  policy_->request_arrived(now, index, use_case, due, (attrs & 1) != 0 ? number_or(hint, 0, "workHint") : 0,
                           static_cast<int>(number_or(at(message, 8), 1, "width")),
                           at(message, 5).IsNull() ? 0 : unsigned_integer(at(message, 5), "item"));
  release_if_over(index);
}

const Load* Instance::load(const Value& report, Load& into) const {
  if (!report.IsArray()) return nullptr;
  for (rapidjson::SizeType i = 0; i < report.Size() && i < terms_.report_fields.size(); ++i) {
    if (report[i].IsNumber() && terms_.report_fields[i] == "x0") into.free_slots = report[i].GetDouble();
  }
  return &into;
}

void Instance::result(Time now, const Value& message) {
  const int index = submission(at(message, 2));
  const Value& settled = at(message, 6);
  const std::uint64_t status = unsigned_integer(at(message, 7), "status");
  const Time latency = time_from_seconds(number_or(at(message, 8), 0, "latency"));
  if (index < 0) return;
  const int leg = launch_of(index, at(message, 4));
  if (leg < 0) return;
  Entry& entry = entries_[index];
  --entry.pending;
  const bool over = settled.IsBool() && settled.GetBool();
  if (over) entry.ended = true;
  Load report;
  policy_->attempt_ended(now, index, leg, outcome_of(status), latency, over, load(at(message, 9), report));
  release_if_over(index);
}

void Instance::event(Time now, std::string_view name, const Value& message) {
  if (name == "Knock") return arrive(now, message);
  if (name == "Result") return result(now, message);
  if (name == "TickDue") return policy_->timer_due(now, unsigned_integer(at(message, 2), "keyBack"));
  if (name == "Topology") return topology(now, message);
  if (name == "StatusNote") {
    const int index = submission(at(message, 2));
    const std::uint64_t sort = unsigned_integer(at(message, 5), "sort");
    const int leg = index < 0 ? -1 : launch_of(index, at(message, 3));
    if (leg < 0) return;
    if (sort == 1) policy_->attempt_started(now, index, leg);
    if (sort == 2) policy_->attempt_progressed(now, index, leg, number_or(at(message, 6), 0, "value"));
    return;
  }
  if (name == "ClientGone") {
    const int index = submission(at(message, 2));
    if (index < 0) return;
    entries_[index].ended = true;
    policy_->client_left(now, index);
    return release_if_over(index);
  }
}

}  // namespace

struct Adapter::Body {
  std::unordered_map<std::uint64_t, std::unique_ptr<Instance>> instances;
  Reply reply;
  std::vector<char> pool = std::vector<char>(kPoolStart);
};

Adapter::Adapter() : body_(std::make_unique<Body>()) {}
Adapter::~Adapter() = default;

std::string_view Adapter::answer(std::string& line) {
  rapidjson::MemoryPoolAllocator<> memory(body_->pool.data(), body_->pool.size());
  rapidjson::Document batch(&memory);
  batch.ParseInsitu<rapidjson::kParseFullPrecisionFlag>(line.data());
  if (batch.HasParseError())
    throw_bad_input(std::string("not JSON: ") + rapidjson::GetParseError_En(batch.GetParseError()));
  if (!batch.IsObject()) throw_bad_input("a batch must be an object");
  const Time now = time_from_seconds(number(member(batch, "clock"), "clock"));
  const Value& news = member(batch, "news");
  if (!news.IsArray()) throw_bad_input("news: a list is needed");
  Reply& reply = body_->reply;
  reply.buffer.Clear();
  reply.writer.Reset(reply.buffer);
  reply.writer.StartObject();
  reply.writer.Key("actions");
  reply.writer.StartArray();
  for (const Value& message : news.GetArray()) {
    if (!message.IsArray() || message.Empty())
      throw_bad_input("news: a message must be a list that begins with its name");
    const std::string_view name = string_value(message[0], "news: a message's name");
    static constexpr std::string_view kKnown[] = {"Hello",    "Topology",   "Knock",      "TickDue",
                                                  "CrashNow", "StatusNote", "ClientGone", "Result"};
    bool known = false;
    for (const std::string_view k : kKnown) known = known || k == name;
    if (!known) continue;  // an event of a later wire, or one that nothing here calls for
    try {
      const std::uint64_t id = unsigned_integer(at(message, 1), "node");
      if (name == "CrashNow") {
        body_->instances.erase(id);
        continue;
      }
      if (name == "Hello") {
        auto instance = std::make_unique<Instance>(id, reply);
        instance->hello(now, unsigned_integer(at(message, 2), "initSeed"), at(message, 3));
        body_->instances[id] = std::move(instance);
        continue;
      }
      const auto found = body_->instances.find(id);
      if (found == body_->instances.end()) continue;
      try {
        found->second->event(now, name, message);
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
