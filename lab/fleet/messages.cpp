#include "fleet/messages.h"

#include <sstream>

namespace canvasstage::lab::fleet {
namespace {

constexpr const char* kNoKey = "-";

// Reads the words of a line that begins with this one; nothing where it does not or one is missing.
class Words {
 public:
  Words(const std::string& line, const std::string& kind) : in_(line) {
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
std::string line_of(const Values&... values) {
  std::ostringstream out;
  std::size_t count = 0;
  ((out << (count++ > 0 ? " " : "") << values), ...);
  return out.str();
}

}  // namespace

std::string encode(const SendRequest& message) {
  return line_of("send", message.request, message.node, message.use_case,
                 message.idempotency_key.empty() ? kNoKey : message.idempotency_key, message.time_left_ms,
                 message.leave_after_ms, message.halts);
}

std::optional<SendRequest> decode_send_request(const std::string& line) {
  SendRequest message;
  Words words(line, "send");
  if (!words.read(message.request, message.node, message.use_case, message.idempotency_key,
                  message.time_left_ms, message.leave_after_ms, message.halts))
    return std::nullopt;
  if (message.idempotency_key == kNoKey) message.idempotency_key.clear();
  return message;
}

std::string encode(const RequestAnswered& message) {
  return line_of("answered", message.request, message.status, static_cast<int>(message.end), message.sent_us,
                 message.ended_us);
}

std::optional<RequestAnswered> decode_request_answered(const std::string& line) {
  RequestAnswered message;
  Words words(line, "answered");
  int end = 0;
  if (!words.read(message.request, message.status, end, message.sent_us, message.ended_us))
    return std::nullopt;
  message.end = static_cast<RequestEnd>(end);
  return message;
}

std::string encode(const StartedAttempt& job) {
  return line_of("begun", job.executor, job.id, job.idempotency_key.empty() ? kNoKey : job.idempotency_key,
                 job.time_left_ms, job.at_us);
}

std::optional<StartedAttempt> decode_begun_job(const std::string& line) {
  StartedAttempt job;
  Words words(line, "begun");
  if (!words.read(job.executor, job.id, job.idempotency_key, job.time_left_ms, job.at_us))
    return std::nullopt;
  if (job.idempotency_key == kNoKey) job.idempotency_key.clear();
  return job;
}

std::string encode(const SetJobFault& message) {
  return line_of("job-fault", static_cast<int>(message.kind), message.share);
}

std::optional<SetJobFault> decode_set_job_fault(const std::string& line) {
  SetJobFault message;
  Words words(line, "job-fault");
  int kind = 0;
  if (!words.read(kind, message.share)) return std::nullopt;
  message.kind = static_cast<AttemptFault>(kind);
  return message;
}

std::string encode(const ReplaceList& message) {
  std::string line = line_of("list", message.generation, message.executors.size());
  for (const ListedExecutor& one : message.executors)
    line.append(1, ' ').append(
        line_of(one.id, one.address, one.lifecycle, one.started_ms, one.zone, one.cell));
  return line;
}

std::optional<ReplaceList> decode_replace_list(const std::string& line) {
  ReplaceList message;
  Words words(line, "list");
  std::size_t count = 0;
  if (!words.read(message.generation, count)) return std::nullopt;
  for (std::size_t i = 0; i < count; ++i) {
    ListedExecutor one;
    if (!words.read(one.id, one.address, one.lifecycle, one.started_ms, one.zone, one.cell))
      return std::nullopt;
    message.executors.push_back(std::move(one));
  }
  return message;
}

std::string encode(const SetLinkFault& message) {
  return line_of("fault", message.link, static_cast<int>(message.fault), message.delay_ms);
}

std::optional<SetLinkFault> decode_set_link_fault(const std::string& line) {
  SetLinkFault message;
  Words words(line, "fault");
  int fault = 0;
  if (!words.read(message.link, fault, message.delay_ms)) return std::nullopt;
  message.fault = static_cast<LinkFault>(fault);
  return message;
}

}  // namespace canvasstage::lab::fleet
