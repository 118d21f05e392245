#include "standins/discovery.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

#include "http/parser.h"
#include "http/writer.h"

namespace canvasstage::lab {
namespace {

constexpr double kKeepAliveSeconds = 2;      // interval of empty lines on a watch, set by the protocol
constexpr double kScriptStepSeconds = 0.25;  // interval of the script's updates

std::string stream_head(int status) {
  std::string out;
  http::Writer writer(out);
  writer.answer(status).field("Transfer-Encoding", "chunked").end();
  return out;
}

std::uint64_t index_parameter(std::string_view target) {
  const std::size_t at = target.find("index=");
  std::uint64_t index = 0;
  if (at == std::string_view::npos) return 0;
  const std::string_view rest = target.substr(at + 6);
  return http::read_number(rest.substr(0, rest.find('&')), index) ? index : 0;
}

std::int64_t now_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

Discovery::Discovery(Loop& loop, const std::vector<std::string>& executors, const std::string& listen_address)
    : loop_(loop) {
  require_loopback(listen_address);
  for (const std::string& executor : executors) {
    require_loopback(executor);
    char id[16];
    std::snprintf(id, sizeof id, "s-%08zx", entries_.size() + 1);
    Entry& entry = entries_.emplace_back();
    entry.id = id;
    entry.address = executor;
  }
  listener_ = net::listen_on(listen_address);
  address_ = listener_.address();
  loop_.watch(listener_.fd(), [this] { accept(); });
  schedule_keep_alive();
}

void Discovery::accept() {
  net::Socket socket = accept_nonblocking(listener_);
  if (!socket.is_open()) return;
  const auto stream = std::make_shared<Stream>(loop_, std::move(socket), traffic);
  streams_.emplace(stream.get(), stream);
  stream->start([this](Stream& readable) {
    const auto found = streams_.find(&readable);
    if (found != streams_.end()) read_from(StreamRef(found->second));
  });
}

void Discovery::read_from(const StreamRef& stream) {
  if (stream->ended()) {
    std::erase(watches_, stream);
    streams_.erase(stream.get());
    return;
  }
  http::Head head(http::Head::Kind::kRequest);
  const http::Progress progress = head.read(stream->in);
  if (progress == http::Progress::kMore) return;
  ++calls;
  const bool is_list_request = progress == http::Progress::kDone && head.method == "GET" &&
                               head.target.substr(0, head.target.find('?')) == "/v1/servers";
  if (is_list_request) {
    answer(stream, head.target);
    stream->in.erase(0, head.size());
    return;
  }
  stream->send(stream_head(404) + "0\r\n\r\n");
  stream->in.clear();
}

void Discovery::answer(const StreamRef& stream, std::string_view target) {
  const bool watch = target.find("stream=1") != std::string_view::npos;
  const bool current = watch && index_parameter(target) == generation_;
  ++lists_sent;
  stream->send(stream_head(200) +
               encode_chunk(current ? encode_list({}, false) : encode_list(present_entries(), true)));
  if (watch)
    watches_.push_back(stream);
  else
    stream->send("0\r\n\r\n");
}

std::vector<const Discovery::Entry*> Discovery::present_entries() const {
  std::vector<const Entry*> entries;
  for (const Entry& entry : entries_)
    if (entry.lifecycle != "left") entries.push_back(&entry);
  return entries;
}

std::string Discovery::encode_list(const std::vector<const Entry*>& entries, bool is_snapshot) const {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> json(out);
  const auto text = [&json](const char* key, const std::string& value) {
    json.Key(key);
    json.String(value.c_str());
  };
  json.StartObject();
  json.Key("generation");
  json.Uint64(generation_);
  json.Key("reset");
  json.Bool(is_snapshot);
  json.Key("instances");
  json.StartArray();
  for (const Entry* const entry : entries) {
    json.StartObject();
    text("instanceId", entry->id);
    text("hostPort", entry->address);
    text("zone", entry->zone);
    text("machineType", "m");
    json.Key("cell");
    json.Int(entry->cell);
    text("lifecycle", entry->lifecycle);
    json.Key("weight");
    json.Double(1);
    json.Key("startedAtMs");
    json.Int64(entry->started_ms);
    json.EndObject();
  }
  json.EndArray();
  json.EndObject();
  return std::string(out.GetString(), out.GetSize()) + "\n";
}

void Discovery::broadcast(const std::vector<const Entry*>& entries, bool is_snapshot) {
  ++generation_;
  const std::string list = encode_chunk(encode_list(entries, is_snapshot));
  for (const StreamRef& watch : watches_) watch->send(list);
  lists_sent += watches_.size();
}

void Discovery::change_entries(int entries, bool is_snapshot) {
  std::vector<const Entry*> changed;
  for (int i = 0; i < entries && changed.size() < entries_.size(); ++i) {
    Entry& entry = entries_[next_changed_++ % entries_.size()];
    entry.started_ms = now_ms();
    entry.lifecycle = "active";
    changed.push_back(&entry);
  }
  broadcast(is_snapshot ? present_entries() : changed, is_snapshot);
}

void Discovery::remove_entries(int entries) {
  std::vector<const Entry*> left;
  for (Entry& entry : entries_) {
    if (static_cast<int>(left.size()) >= entries) break;
    if (entry.lifecycle == "left") continue;
    entry.lifecycle = "left";
    left.push_back(&entry);
  }
  broadcast(left, false);
}

void Discovery::replace(std::uint64_t generation, std::vector<ListedExecutor> executors) {
  entries_ = std::move(executors);
  next_changed_ = 0;
  generation_ = generation;
  const std::string list = encode_chunk(encode_list(present_entries(), true));
  for (const StreamRef& watch : watches_) watch->send(list);
  lists_sent += watches_.size();
}

void Discovery::schedule_keep_alive() {
  loop_.after(kKeepAliveSeconds, [this] {
    for (const StreamRef& watch : watches_) watch->send(encode_chunk("\n"));
    schedule_keep_alive();
  });
}

void Discovery::run_script(const ListScript& script) {
  if (script.removed > 0)
    loop_.after(script.removed_at_s, [this, script] { remove_entries(script.removed); });
  if (script.changes_per_s > 0) schedule_changes(LoopClock::now(), 0, script);
}

void Discovery::schedule_changes(LoopTime next, double carried_changes, ListScript script) {
  next += seconds_of(kScriptStepSeconds);
  loop_.at(next, [this, next, carried_changes, script] {
    const double total = carried_changes + script.changes_per_s * kScriptStepSeconds;
    const int due_changes = static_cast<int>(total);
    if (due_changes > 0) change_entries(due_changes, script.sends_snapshots);
    schedule_changes(next, total - due_changes, script);
  });
}

}  // namespace canvasstage::lab
