// The part of Server that hands over what is open to another process of this node, and takes it on.
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <utility>

#include "net/server.h"

namespace canvasstage::net {
namespace {

bool flag(const JsonValue& object, const char* key) {
  const JsonValue& value = required_member(object, key);
  if (!value.IsBool()) throw_bad_input(std::string(key) + ": true or false is needed");
  return value.GetBool();
}

std::string words(bool value) {
  return value ? "true" : "false";
}

std::string quoted(const std::string& value) {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer>(out).String(value.data(),
                                                         static_cast<rapidjson::SizeType>(value.size()));
  return {out.GetString(), out.GetSize()};
}

// The next so many of the bytes that came with a message.
class Cutter {
 public:
  explicit Cutter(std::string_view bytes) : left_(bytes) {}
  std::string_view cut(const JsonValue& object, const char* key) {
    const std::uint64_t size = unsigned_integer(required_member(object, key), key);
    if (size > left_.size()) throw_bad_input(std::string(key) + ": more bytes than came");
    const std::string_view part = left_.substr(0, size);
    left_.remove_prefix(size);
    return part;
  }

 private:
  std::string_view left_;
};

}  // namespace

// --- In the process that goes ---

void Server::begin_handover(std::string knowledge) {
  log_note("upgrade: handing over");
  upgrade_->send({R"({"kind":"knowledge","knowledge":)" + knowledge + "}", "", {}});
  world_.parting.tell();
}

void Server::hand_over_connection(Id launch, const std::string& executor, const std::string& address,
                                  Time since) {
  const auto found = links_.find(launch);
  if (found == links_.end()) return;
  Socket socket = found->second->release();
  // One that is still read to the end of an answer goes: whoever took it would read the rest.
  if (!socket.is_open()) return;
  Upgrade::Message message;
  message.words = R"({"kind":"link","executor":)" + quoted(executor) + R"(,"address":)" + quoted(address) +
                  R"(,"since":)" + std::to_string(now() - since) + "}";
  message.sockets.push_back(std::move(socket));
  upgrade_->send(std::move(message));
}

void Server::hand_over_request(const TransferredRequest& job) {
  const auto found = clients_.find(job.client);
  if (found == clients_.end()) return;
  ClientConnection& client = *found->second;
  const auto& submission = static_cast<const ClientRequest&>(*job.payload);
  Upgrade::Message message;
  message.sockets.push_back(client.socket().duplicate());
  if (!message.sockets.back().is_open()) {
    log_note("upgrade: no descriptor to hand a job over by, it is answered as failed");
    return client.answer(502, "", nullptr, true, true, writers_);
  }
  const std::string_view head(submission.buffer.data(), submission.head.size());
  message.bytes.append(head).append(submission.body).append(client.carry());
  std::string readings;
  for (const TransferredAttempt& launch : job.attempts) {
    if (!launch.read_state) continue;
    const auto& reading = static_cast<const ReadState&>(*launch.read_state);
    readings += readings.empty() ? "" : ",";
    readings += R"({"hasHead":)" + words(reading.has_head) + R"(,"keepAlive":)" + words(reading.keep_alive) +
                R"(,"reused":)" + words(reading.reused) + R"(,"bytes":)" +
                std::to_string(reading.bytes.size()) + R"(,"place":[)";
    for (std::size_t i = 0; i < reading.place.size(); ++i) {
      if (i > 0) readings += ',';
      readings += std::to_string(reading.place[i]);
    }
    readings += "]}";
    message.bytes += reading.bytes;
    message.sockets.push_back(std::move(reading.socket));
  }
  message.words = R"({"kind":"job","job":)" + encode_request(job, now()) + R"(,"head":)" +
                  std::to_string(head.size()) + R"(,"body":)" + std::to_string(submission.body.size()) +
                  R"(,"carry":)" + std::to_string(client.carry().size()) + R"(,"keepAlive":)" +
                  words(client.keep_alive()) + R"(,"readings":[)" + readings + "]}";
  upgrade_->send(std::move(message));
  client.moved();
}

// --- In the process that comes ---

void Server::take_over(Time now, const JsonValue& message, const std::string& bytes,
                       std::vector<Socket> sockets) {
  // Times go as ages, of when they were worded.
  const Time as_of = worded_at(message, now);
  const std::string_view kind = string_value(required_member(message, "kind"), "kind");
  if (kind == "knowledge") {
    world_.node->adopt_knowledge(now, required_member(message, "knowledge"), as_of);
  } else if (sockets.empty()) {
    throw_bad_input("descriptors are missing");
  } else if (kind == "link") {
    const std::string address(string_value(required_member(message, "address"), "address"));
    const auto since = static_cast<Time>(number(required_member(message, "since"), "since"));
    const Id id = world_.node->adopt_connection(
        now, std::string(string_value(required_member(message, "executor"), "executor")), address,
        as_of - since);
    if (id == 0) return;
    const std::shared_ptr<ExecutorConnection> link = new_link();
    link->stand_free(id, address, std::move(sockets[0]));
    links_.emplace(id, link);
    start(link, id,
          Outcome::kNotSent);  // it has no attempt: one without a thread is found closed by the next look
  } else if (kind == "client") {
    take_client(now, std::move(sockets[0]), flag(message, "fresh"),
                as_of - static_cast<Time>(number(required_member(message, "opened"), "opened")), true, false,
                "");
  } else if (kind == "job") {
    take_job(now, as_of, message, bytes, std::move(sockets));
  } else {
    throw_bad_input("kind: not known");
  }
}

std::shared_ptr<ClientConnection> Server::take_client(Time now, Socket socket, bool fresh, Time opened,
                                                      bool keep_alive, bool open, std::string carry) {
  const Id id = ++last_client_;
  ++clients_open_;
  std::string peer = socket.peer();
  auto client = std::make_shared<ClientConnection>(id, std::move(socket), std::move(peer), world_);
  client->go_on(fresh, opened, keep_alive, open, std::move(carry));
  clients_.emplace(id, client);
  world_.node->client_opened(now, id);
  if (!open) start(client, when_gone(id));
  return client;
}

void Server::take_job(Time now, Time as_of, const JsonValue& message, const std::string& bytes,
                      std::vector<Socket> sockets) {
  TransferredRequest job = decode_request(required_member(message, "job"), as_of);
  Cutter cutter(bytes);
  const std::string_view head = cutter.cut(message, "head"), body = cutter.cut(message, "body");
  std::string carry(cutter.cut(message, "carry"));
  if (head.size() + body.size() > Buffer::kSize) throw_bad_input("head and body: too large");
  auto submission = std::make_shared<ClientRequest>();
  submission->buffer = world_.submissions.take_beyond();
  char* const data = submission->buffer.data();
  std::copy(body.begin(), body.end(), std::copy(head.begin(), head.end(), data));
  if (submission->head.read({data, head.size()}) != http::Progress::kDone)
    throw_bad_input("head: not a request");
  submission->body = {data + head.size(), body.size()};
  job.payload = submission;

  std::vector<std::shared_ptr<const ReadState>> readings;
  const JsonValue& list = required_member(message, "readings");
  if (!list.IsArray() || list.Size() + 1 != sockets.size())
    throw_bad_input("readings: one for each descriptor is needed");
  for (rapidjson::SizeType i = 0; i < list.Size(); ++i) {
    auto reading = std::make_shared<ReadState>();
    reading->has_head = flag(list[i], "hasHead");
    reading->keep_alive = flag(list[i], "keepAlive");
    reading->reused = flag(list[i], "reused");
    reading->bytes = cutter.cut(list[i], "bytes");
    const JsonValue& place = required_member(list[i], "place");
    if (!place.IsArray() || place.Size() != reading->place.size())
      throw_bad_input("place: five numbers are needed");
    for (rapidjson::SizeType n = 0; n < place.Size(); ++n)
      reading->place[n] = unsigned_integer(place[n], "place");
    reading->socket = std::move(sockets[i + 1]);
    readings.push_back(std::move(reading));
  }
  std::vector<std::string> addresses;
  for (const TransferredAttempt& launch : job.attempts)
    if (launch.attempt.pending) addresses.push_back(launch.address);
  if (addresses.size() != readings.size()) throw_bad_input("readings: one for each pending launch is needed");

  const std::shared_ptr<ClientConnection> client =
      take_client(now, std::move(sockets[0]), false, now, flag(message, "keepAlive"), true, std::move(carry));
  submission->client_left = client->left_check();
  std::vector<Id> launches;
  const bool taken = world_.node->adopt_request(now, client->id(), std::move(job), launches);
  for (std::size_t i = 0; taken && i < launches.size(); ++i) {
    const std::shared_ptr<ExecutorConnection> link = new_link();
    link->go_on(launches[i], addresses[i], submission, readings[i]);
    links_.emplace(launches[i], link);
    start(link, launches[i], Outcome::kConnectionLost);
  }
  start(client, when_gone(client->id()));
}

}  // namespace canvasstage::net
