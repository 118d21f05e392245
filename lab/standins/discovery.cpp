#include "standins/discovery.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

#include "http/parser.h"
#include "http/writer.h"

namespace canvasstage::lab {
namespace {

constexpr double kEmptyLine = 2;  // seconds, of the protocol's page
constexpr double kStep = 0.25;    // seconds between two lists of the script

std::string lines_head(int status) {
  std::string out;
  http::Writer writer(out);
  writer.answer(status).field("Transfer-Encoding", "chunked").end();
  return out;
}

std::uint64_t index_in(std::string_view target) {
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

Discovery::Discovery(Loop& loop, const std::vector<std::string>& executors, const std::string& at)
    : loop_(loop) {
  need_loopback(at);
  for (const std::string& executor : executors) {
    need_loopback(executor);
    char id[16];
    std::snprintf(id, sizeof id, "s-%08zx", entries_.size() + 1);
    Entry& entry = entries_.emplace_back();
    entry.id = id;
    entry.address = executor;
  }
  listener_ = net::listen_on(at);
  address_ = listener_.address();
  loop_.watch(listener_.fd(), [this] { accept(); });
  keep_alive();
}

void Discovery::accept() {
  net::Socket socket = accept_now(listener_);
  if (!socket.is_open()) return;
  const auto stream = std::make_shared<Stream>(loop_, std::move(socket), traffic);
  callers_.emplace(stream.get(), stream);
  stream->start([this](Stream& one) {
    const auto found = callers_.find(&one);
    if (found != callers_.end()) read_from(StreamRef(found->second));
  });
}

void Discovery::read_from(const StreamRef& stream) {
  if (stream->ended()) {
    std::erase(watches_, stream);
    callers_.erase(stream.get());
    return;
  }
  http::Head head(http::Head::Kind::kRequest);
  const http::Progress progress = head.read(stream->in);
  if (progress == http::Progress::kMore) return;
  ++calls;
  const bool known = progress == http::Progress::kDone && head.method == "GET" &&
                     head.target.substr(0, head.target.find('?')) == "/v1/servers";
  if (known) {
    answer(stream, head.target);
    stream->in.erase(0, head.size());
    return;
  }
  stream->send(lines_head(404) + "0\r\n\r\n");
  stream->in.clear();
}

void Discovery::answer(const StreamRef& stream, std::string_view target) {
  const bool watch = target.find("stream=1") != std::string_view::npos;
  const bool current = watch && index_in(target) == generation_;
  ++lists;
  stream->send(lines_head(200) + chunk(current ? line({}, false) : line(all(), true)));
  if (watch)
    watches_.push_back(stream);
  else
    stream->send("0\r\n\r\n");
}

std::vector<const Discovery::Entry*> Discovery::all() const {
  std::vector<const Entry*> entries;
  for (const Entry& entry : entries_)
    if (entry.lifecycle != "left") entries.push_back(&entry);
  return entries;
}

std::string Discovery::line(const std::vector<const Entry*>& entries, bool whole) const {
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
  json.Bool(whole);
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

void Discovery::tell(const std::vector<const Entry*>& entries, bool whole) {
  ++generation_;
  const std::string list = chunk(line(entries, whole));
  for (const StreamRef& watch : watches_) watch->send(list);
  lists += watches_.size();
}

void Discovery::change(int entries, bool whole) {
  std::vector<const Entry*> changed;
  for (int i = 0; i < entries && changed.size() < entries_.size(); ++i) {
    Entry& entry = entries_[next_++ % entries_.size()];
    entry.started_ms = now_ms();
    entry.lifecycle = "active";
    changed.push_back(&entry);
  }
  tell(whole ? all() : changed, whole);
}

void Discovery::leave(int entries) {
  std::vector<const Entry*> left;
  for (Entry& entry : entries_) {
    if (static_cast<int>(left.size()) >= entries) break;
    if (entry.lifecycle == "left") continue;
    entry.lifecycle = "left";
    left.push_back(&entry);
  }
  tell(left, false);
}

void Discovery::replace(std::uint64_t generation, std::vector<ListedExecutor> executors) {
  entries_ = std::move(executors);
  next_ = 0;
  generation_ = generation;
  const std::string list = chunk(line(all(), true));
  for (const StreamRef& watch : watches_) watch->send(list);
  lists += watches_.size();
}

void Discovery::keep_alive() {
  loop_.after(kEmptyLine, [this] {
    for (const StreamRef& watch : watches_) watch->send(chunk("\n"));
    keep_alive();
  });
}

void Discovery::play(const ListScript& script) {
  if (script.gone > 0) loop_.after(script.gone_at, [this, script] { leave(script.gone); });
  if (script.changes > 0) change_on(LoopClock::now(), 0, script);
}

void Discovery::change_on(LoopTime next, double owed, ListScript script) {
  next += seconds_of(kStep);
  loop_.at(next, [this, next, owed, script] {
    const double due = owed + script.changes * kStep;
    const int whole_ones = static_cast<int>(due);
    if (whole_ones > 0) change(whole_ones, script.whole);
    change_on(next, due - whole_ones, script);
  });
}

}  // namespace canvasstage::lab
