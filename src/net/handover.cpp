// The part of Server that hands open requests and connections over to another process of this node, and the
// part that takes them over there.
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <utility>

#include "net/server.h"

namespace canvasstage::net {
namespace {

bool required_bool(const JsonValue& object, const char* key) {
  const JsonValue& value = required_member(object, key);
  if (!value.IsBool()) throw_bad_input(std::string(key) + ": true or false is needed");
  return value.GetBool();
}

std::string json_bool(bool value) {
  return value ? "true" : "false";
}

std::string json_string(const std::string& value) {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer>(out).String(value.data(),
                                                         static_cast<rapidjson::SizeType>(value.size()));
  return {out.GetString(), out.GetSize()};
}

// Splits the bytes of a message into parts, whose sizes stand in the message's JSON.
class ByteSplitter {
 public:
  explicit ByteSplitter(std::string_view bytes) : remaining_(bytes) {}
  std::string_view take(const JsonValue& object, const char* key) {
    const std::uint64_t size = unsigned_integer(required_member(object, key), key);
    if (size > remaining_.size()) throw_bad_input(std::string(key) + ": larger than the bytes received");
    const std::string_view part = remaining_.substr(0, size);
    remaining_.remove_prefix(size);
    return part;
  }

 private:
  std::string_view remaining_;
};

}  // namespace

// --- In the process that ends ---

void Server::begin_handover(std::string knowledge) {
  log_note("upgrade: handing over");
  upgrade_->send({R"({"kind":"knowledge","knowledge":)" + knowledge + "}", "", {}});
  context_.handover_signal.raise();
}

void Server::hand_over_connection(Id attempt, const std::string& executor, const std::string& address,
                                  Time idle_since) {
  const auto found = executor_connections_.find(attempt);
  if (found == executor_connections_.end()) return;
  Socket socket = found->second->release_idle_socket();
  // A connection on which the end of an answer is still being read is closed: the successor would read that
  // rest as its own answer.
  if (!socket.is_open()) return;
  Upgrade::Message message;
  message.json = R"({"kind":"link","executor":)" + json_string(executor) + R"(,"address":)" +
                 json_string(address) + R"(,"since":)" + std::to_string(now() - idle_since) + "}";
  message.sockets.push_back(std::move(socket));
  upgrade_->send(std::move(message));
}

void Server::hand_over_request(const TransferredRequest& request) {
  const auto found = clients_.find(request.client);
  if (found == clients_.end()) return;
  ClientConnection& client = *found->second;
  const auto& client_request = static_cast<const ClientRequest&>(*request.payload);
  Upgrade::Message message;
  message.sockets.push_back(client.socket().duplicate());
  if (!message.sockets.back().is_open()) {
    log_note("upgrade: no descriptor left to hand a request over, it is answered with status 502");
    return client.answer(502, "", nullptr, true, true, writers_);
  }
  const std::string_view head(client_request.buffer.data(), client_request.head.size());
  message.bytes.append(head).append(client_request.body).append(client.pipelined_bytes());
  std::string read_states_json;
  for (const TransferredAttempt& attempt : request.attempts) {
    if (!attempt.read_state) continue;
    const auto& read_state = static_cast<const ReadState&>(*attempt.read_state);
    read_states_json += read_states_json.empty() ? "" : ",";
    read_states_json += R"({"hasHead":)" + json_bool(read_state.has_head) + R"(,"keepAlive":)" +
                        json_bool(read_state.keep_alive) + R"(,"reused":)" + json_bool(read_state.reused) +
                        R"(,"bytes":)" + std::to_string(read_state.bytes.size()) + R"(,"place":[)";
    for (std::size_t i = 0; i < read_state.body_position.size(); ++i) {
      if (i > 0) read_states_json += ',';
      read_states_json += std::to_string(read_state.body_position[i]);
    }
    read_states_json += "]}";
    message.bytes += read_state.bytes;
    message.sockets.push_back(std::move(read_state.socket));
  }
  message.json = R"({"kind":"job","job":)" + encode_request(request, now()) + R"(,"head":)" +
                 std::to_string(head.size()) + R"(,"body":)" + std::to_string(client_request.body.size()) +
                 R"(,"carry":)" + std::to_string(client.pipelined_bytes().size()) + R"(,"keepAlive":)" +
                 json_bool(client.keep_alive()) + R"(,"readings":[)" + read_states_json + "]}";
  upgrade_->send(std::move(message));
  client.mark_handed_over();
}

// --- In the successor ---

void Server::take_over(Time now, const JsonValue& message, const std::string& bytes,
                       std::vector<Socket> sockets) {
  // Times are transferred as ages relative to the composition of the message.
  const Time as_of = composed_at(message, now);
  const std::string_view kind = string_value(required_member(message, "kind"), "kind");
  if (kind == "knowledge") {
    context_.node->adopt_knowledge(now, required_member(message, "knowledge"), as_of);
  } else if (sockets.empty()) {
    throw_bad_input("descriptors: none came with the message");
  } else if (kind == "link") {
    const std::string address(string_value(required_member(message, "address"), "address"));
    const auto since = static_cast<Time>(number(required_member(message, "since"), "since"));
    const Id id = context_.node->adopt_connection(
        now, std::string(string_value(required_member(message, "executor"), "executor")), address,
        as_of - since);
    if (id == 0) return;
    const std::shared_ptr<ExecutorConnection> connection = new_executor_connection();
    connection->adopt_idle_socket(id, address, std::move(sockets[0]));
    executor_connections_.emplace(id, connection);
    // There is no attempt to report: without a thread the connection is found closed when it is next checked.
    start(connection, id, Outcome::kNotSent);
  } else if (kind == "client") {
    adopt_client(now, std::move(sockets[0]), required_bool(message, "fresh"),
                 as_of - static_cast<Time>(number(required_member(message, "opened"), "opened")), true, false,
                 "");
  } else if (kind == "job") {
    adopt_request(now, as_of, message, bytes, std::move(sockets));
  } else {
    throw_bad_input("kind: unknown kind of message");
  }
}

std::shared_ptr<ClientConnection> Server::adopt_client(Time now, Socket socket, bool fresh, Time opened,
                                                       bool keep_alive, bool open,
                                                       std::string pipelined_bytes) {
  const Id id = ++last_client_id_;
  ++open_clients_;
  std::string peer = socket.peer();
  auto client = std::make_shared<ClientConnection>(id, std::move(socket), std::move(peer), context_);
  client->resume(fresh, opened, keep_alive, open, std::move(pipelined_bytes));
  clients_.emplace(id, client);
  context_.node->client_opened(now, id);
  if (!open) start(client, on_client_closed(id));
  return client;
}

void Server::adopt_request(Time now, Time as_of, const JsonValue& message, const std::string& bytes,
                           std::vector<Socket> sockets) {
  TransferredRequest request = decode_request(required_member(message, "job"), as_of);
  ByteSplitter splitter(bytes);
  const std::string_view head = splitter.take(message, "head"), body = splitter.take(message, "body");
  std::string pipelined_bytes(splitter.take(message, "carry"));
  if (head.size() + body.size() > Buffer::kSize) throw_bad_input("head and body: too large");
  auto client_request = std::make_shared<ClientRequest>();
  client_request->buffer = context_.request_buffers.take_over_limit();
  char* const data = client_request->buffer.data();
  std::copy(body.begin(), body.end(), std::copy(head.begin(), head.end(), data));
  if (client_request->head.read({data, head.size()}) != http::Progress::kDone)
    throw_bad_input("head: not a complete HTTP request");
  client_request->body = {data + head.size(), body.size()};
  request.payload = client_request;

  std::vector<std::shared_ptr<const ReadState>> read_states;
  const JsonValue& read_state_list = required_member(message, "readings");
  if (!read_state_list.IsArray() || read_state_list.Size() + 1 != sockets.size())
    throw_bad_input("readings: one for each descriptor is needed");
  for (rapidjson::SizeType i = 0; i < read_state_list.Size(); ++i) {
    auto read_state = std::make_shared<ReadState>();
    read_state->has_head = required_bool(read_state_list[i], "hasHead");
    read_state->keep_alive = required_bool(read_state_list[i], "keepAlive");
    read_state->reused = required_bool(read_state_list[i], "reused");
    read_state->bytes = splitter.take(read_state_list[i], "bytes");
    const JsonValue& position = required_member(read_state_list[i], "place");
    if (!position.IsArray() || position.Size() != read_state->body_position.size())
      throw_bad_input("place: five numbers are needed");
    for (rapidjson::SizeType n = 0; n < position.Size(); ++n)
      read_state->body_position[n] = unsigned_integer(position[n], "place");
    read_state->socket = std::move(sockets[i + 1]);
    read_states.push_back(std::move(read_state));
  }
  std::vector<std::string> addresses;
  for (const TransferredAttempt& attempt : request.attempts)
    if (attempt.attempt.pending) addresses.push_back(attempt.address);
  if (addresses.size() != read_states.size())
    throw_bad_input("readings: one for each pending attempt is needed");

  const std::shared_ptr<ClientConnection> client =
      adopt_client(now, std::move(sockets[0]), false, now, required_bool(message, "keepAlive"), true,
                   std::move(pipelined_bytes));
  client_request->client_left = client->client_left_check();
  std::vector<Id> attempt_ids;
  const bool adopted = context_.node->adopt_request(now, client->id(), std::move(request), attempt_ids);
  for (std::size_t i = 0; adopted && i < attempt_ids.size(); ++i) {
    const std::shared_ptr<ExecutorConnection> connection = new_executor_connection();
    connection->resume(attempt_ids[i], addresses[i], client_request, read_states[i]);
    executor_connections_.emplace(attempt_ids[i], connection);
    start(connection, attempt_ids[i], Outcome::kConnectionLost);
  }
  start(client, on_client_closed(client->id()));
}

}  // namespace canvasstage::net
