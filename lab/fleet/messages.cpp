#include "fleet/messages.h"

#include <sstream>

namespace canvasstage::lab::fleet {
namespace {

constexpr const char* kEmptyKey = "-";

// Reads the fields of a line of the given message kind. Reading fails for another kind or a missing field.
class FieldReader {
 public:
  FieldReader(const std::string& line, const std::string& kind) : in_(line) {
    std::string first;
    in_ >> first;
    if (first != kind) in_.setstate(std::ios::failbit);
  }
  template <typename... Values>
  bool read(Values&... values) {
    return static_cast<bool>((in_ >> ... >> values));
  }

 private:
  std::istringstream in_;
};

template <typename... Values>
std::string join_fields(const Values&... values) {
  std::ostringstream out;
  std::size_t count = 0;
  ((out << (count++ > 0 ? " " : "") << values), ...);
  return out.str();
}

}  // namespace

std::string encode(const SendRequest& message) {
  return join_fields("send", message.request, message.node, message.use_case,
                     message.idempotency_key.empty() ? kEmptyKey : message.idempotency_key,
                     message.time_left_ms, message.disconnect_after_ms, message.stalls);
}

std::optional<SendRequest> decode_send_request(const std::string& line) {
  SendRequest message;
  FieldReader fields(line, "send");
  if (!fields.read(message.request, message.node, message.use_case, message.idempotency_key,
                   message.time_left_ms, message.disconnect_after_ms, message.stalls))
    return std::nullopt;
  if (message.idempotency_key == kEmptyKey) message.idempotency_key.clear();
  return message;
}

std::string encode(const RequestResult& message) {
  return join_fields("answered", message.request, message.status, static_cast<int>(message.end),
                     message.sent_us, message.ended_us);
}

std::optional<RequestResult> decode_request_result(const std::string& line) {
  RequestResult message;
  FieldReader fields(line, "answered");
  int end = 0;
  if (!fields.read(message.request, message.status, end, message.sent_us, message.ended_us))
    return std::nullopt;
  message.end = static_cast<RequestEnd>(end);
  return message;
}

std::string encode(const StartedAttempt& attempt) {
  return join_fields("begun", attempt.executor, attempt.id,
                     attempt.idempotency_key.empty() ? kEmptyKey : attempt.idempotency_key,
                     attempt.time_left_ms, attempt.at_us);
}

std::optional<StartedAttempt> decode_started_attempt(const std::string& line) {
  StartedAttempt attempt;
  FieldReader fields(line, "begun");
  if (!fields.read(attempt.executor, attempt.id, attempt.idempotency_key, attempt.time_left_ms,
                   attempt.at_us))
    return std::nullopt;
  if (attempt.idempotency_key == kEmptyKey) attempt.idempotency_key.clear();
  return attempt;
}

std::string encode(const SetAttemptFault& message) {
  return join_fields("job-fault", static_cast<int>(message.kind), message.share);
}

std::optional<SetAttemptFault> decode_set_attempt_fault(const std::string& line) {
  SetAttemptFault message;
  FieldReader fields(line, "job-fault");
  int kind = 0;
  if (!fields.read(kind, message.share)) return std::nullopt;
  message.kind = static_cast<AttemptFault>(kind);
  return message;
}

std::string encode(const ReplaceList& message) {
  std::string line = join_fields("list", message.generation, message.executors.size());
  for (const ListedExecutor& executor : message.executors)
    line.append(1, ' ').append(join_fields(executor.id, executor.address, executor.lifecycle,
                                           executor.started_ms, executor.zone, executor.cell));
  return line;
}

std::optional<ReplaceList> decode_replace_list(const std::string& line) {
  ReplaceList message;
  FieldReader fields(line, "list");
  std::size_t count = 0;
  if (!fields.read(message.generation, count)) return std::nullopt;
  for (std::size_t i = 0; i < count; ++i) {
    ListedExecutor executor;
    if (!fields.read(executor.id, executor.address, executor.lifecycle, executor.started_ms, executor.zone,
                     executor.cell))
      return std::nullopt;
    message.executors.push_back(std::move(executor));
  }
  return message;
}

std::string encode(const SetLinkFault& message) {
  return join_fields("fault", message.link, static_cast<int>(message.fault), message.delay_ms);
}

std::optional<SetLinkFault> decode_set_link_fault(const std::string& line) {
  SetLinkFault message;
  FieldReader fields(line, "fault");
  int fault = 0;
  if (!fields.read(message.link, fault, message.delay_ms)) return std::nullopt;
  message.fault = static_cast<LinkFault>(fault);
  return message;
}

}  // namespace canvasstage::lab::fleet
