#include "net/executor.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstdlib>
#include <cstring>
#include <utility>

#include "http/writer.h"

namespace canvasstage::net {
namespace {

// A request is small and normally sent at once; a peer that accepts no byte for this long is unreachable.
constexpr Milliseconds kSendTimeout{1000};
// Between the line that ends an attempt and the end of the answer the executor has nothing to wait for.
constexpr Milliseconds kTailTimeout{200};

// Returns the free slots that an executor reports in its load, or -1 where none can be parsed. The other
// fields of the load are not used.
double parse_free_slots(const JsonValue& load) {
  const JsonValue& slots = member(load, "x0");
  return slots.IsNumber() ? slots.GetDouble() : -1;
}

double parse_free_slots(std::string_view header) {
  constexpr std::string_view kName = "x0=";
  const std::size_t at = header.find(kName);
  if (at == std::string_view::npos || (at > 0 && header[at - 1] != ',')) return -1;
  const std::string value(header.substr(at + kName.size()));
  char* end = nullptr;
  const double slots = std::strtod(value.c_str(), &end);
  return end == value.c_str() || !std::isfinite(slots) ? -1 : slots;
}

}  // namespace

// --- Called by the reducer ---

void ExecutorConnection::start_attempt(Id id, const std::string& address, PayloadRef request, Time give_up_at,
                                       Time write_by, bool needs_record) {
  const std::lock_guard lock(mutex_);
  next_work_ = Work{id,          address,  std::static_pointer_cast<const ClientRequest>(std::move(request)),
                    give_up_at,  write_by, nullptr,
                    needs_record};
  may_have_sent_ = false;
  changed_.notify_one();
}

void ExecutorConnection::record_written(Id id) {
  const std::lock_guard lock(mutex_);
  written_record_id_ = id;
  changed_.notify_one();
}

void ExecutorConnection::record_failed(Id id) {
  const std::lock_guard lock(mutex_);
  failed_record_id_ = id;
  changed_.notify_one();
}

void ExecutorConnection::resume(Id id, const std::string& address, PayloadRef request,
                                std::shared_ptr<const ReadState> read_state) {
  const std::lock_guard lock(mutex_);
  socket_ = std::move(read_state->socket);
  next_work_ =
      Work{id, address, std::static_pointer_cast<const ClientRequest>(std::move(request)), 0, 0, read_state};
  may_have_sent_ = true;
  changed_.notify_one();
}

void ExecutorConnection::adopt_idle_socket(Id id, const std::string& address, Socket socket) {
  const std::lock_guard lock(mutex_);
  socket_ = std::move(socket);
  work_.id = id;
  work_.address = address;
}

Socket ExecutorConnection::release_idle_socket() {
  const std::lock_guard lock(mutex_);
  Socket released;
  if (idle_ && !next_work_ && !given_up_) std::swap(released, socket_);
  shut_down();
  return released;
}

void ExecutorConnection::abandon() {
  const std::lock_guard lock(mutex_);
  shut_down();
}

void ExecutorConnection::withdraw() {
  const std::lock_guard lock(mutex_);
  if (!may_have_sent_) shut_down();
}

void ExecutorConnection::shut_down() {
  given_up_ = true;
  socket_.shut_down(SHUT_RDWR);
  changed_.notify_one();
}

// Unsolicited bytes on an idle connection make it unusable: the next attempt would read them as its answer.
bool ExecutorConnection::is_open() {
  char byte;
  const std::lock_guard lock(mutex_);
  const long n = socket_.is_open() ? socket_.read(&byte, 1, MSG_PEEK | MSG_DONTWAIT) : 0;
  return (n > 0 && !idle_) || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

// --- The connection's thread ---

void ExecutorConnection::run() {
  for (;;) {
    {
      std::unique_lock lock(mutex_);
      idle_ = true;
      changed_.wait(lock, [this] { return given_up_ || next_work_; });
      idle_ = false;
      if (!next_work_) break;
      work_ = std::move(*next_work_);
      next_work_.reset();
    }
    AttemptState attempt;
    run_attempt(attempt);
    work_.request.reset();
    if (attempt.suspended) return;
    if (!attempt.reported) report_end(attempt.outcome, nullptr, false, -1, attempt);
    if (!attempt.connection_kept) return;
  }
  close_socket(is_open() ? Reason::kIdle : Reason::kPeerClosed);
}

bool ExecutorConnection::was_given_up() {
  const std::lock_guard lock(mutex_);
  return given_up_;
}

void ExecutorConnection::report_end(Outcome outcome, PayloadRef result, bool connection_kept,
                                    double free_slots, AttemptState& attempt) {
  attempt.reported = true;
  attempt.connection_kept = connection_kept;
  // Closes the socket before it reports the end: a retry of the request may be written as soon as the end is
  // reported, and an attempt that may still run must not keep an open connection beside it.
  if (!connection_kept) close_socket(was_given_up() ? Reason::kGivenUp : attempt.reason);
  context_.reducer.post([&context = context_, id = work_.id, outcome, result = std::move(result),
                         connection_kept, free_slots](Time now) {
    const Load load{free_slots};
    context.node->attempt_ended(now, id, outcome, result, connection_kept, free_slots >= 0 ? &load : nullptr);
  });
}

// The policy may retry at once, so an attempt that failed for lack of local resources is delayed first.
void ExecutorConnection::delay_after_local_error() {
  constexpr Milliseconds kLocalErrorDelay{20};
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, kLocalErrorDelay, [this] { return given_up_; });
}

bool ExecutorConnection::is_socket_stale() const {
  char byte;
  return socket_.read(&byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

// Checked right before a byte is sent: the client's own thread looks behind unread bytes only every 50 ms,
// and the reducer may have a long queue before it handles the disconnect.
bool ExecutorConnection::client_has_left() const {
  return work_.request->client_left && work_.request->client_left();
}

bool ExecutorConnection::connect(AttemptState& attempt) {
  if (client_has_left()) {
    attempt.outcome = Outcome::kNotSent;
    attempt.reason = Reason::kGivenUp;
    return false;
  }
  {
    const std::lock_guard lock(mutex_);
    attempt.reused = socket_.is_open() && !is_socket_stale();
    if (attempt.reused) return true;
    if (given_up_) {
      attempt.outcome = Outcome::kNotSent;
      return false;
    }
    if (socket_.is_open()) log_connection_end(Side::kExecutor, work_.id, work_.address, Reason::kPeerClosed);
    socket_ = Socket();
    socket_ = try_new_socket();
  }
  const int error = socket_.is_open() ? connect_to(socket_, work_.address, connect_timeout_) : errno;
  if (error != 0) {
    // Neither an attempt that was given up while connecting nor a lack of local resources says anything about
    // the executor.
    const bool is_local_error = is_local_resource_error(error);
    attempt.outcome = is_local_error || was_given_up() ? Outcome::kNotSent : Outcome::kUnreachable;
    attempt.reason = is_local_error ? Reason::kNoRoom : Reason::kUnreachable;
    if (is_local_error) delay_after_local_error();
    return false;
  }
  socket_.set_send_timeout(kSendTimeout);
  return true;
}

// Nothing is sent yet, so withdrawing the attempt ends the wait, and so does the time by which the request
// has to be written.
void ExecutorConnection::wait_for_record() {
  if (!work_.needs_record) return;
  const Clock::time_point until = steady_time(std::min(work_.write_by, work_.give_up_at));
  std::unique_lock lock(mutex_);
  const bool written = changed_.wait_until(lock, until, [this] {
    return given_up_ || written_record_id_ == work_.id || failed_record_id_ == work_.id;
  });
  given_up_ = given_up_ || !written || failed_record_id_ == work_.id;
}

// Does not send the first byte of an attempt that was given up while it waited, nor of one that is past
// `write_by`: a drain of the executor announced since the decision might forbid it.
bool ExecutorConnection::write(AttemptState& attempt) {
  wait_for_record();
  const http::Head& head = work_.request->head;
  std::string out;
  http::Writer writer(out);
  const Time time_left = std::max<Time>(0, work_.give_up_at - now());
  writer.request(head.method, head.target).field("Host", "backend.local");
  for (const std::string_view name : {"X-Correlation-Id", "Idempotency-Key"})
    if (head.count(name) > 0) writer.field(name, head.field(name));
  writer.field("X-Time-Left", std::to_string(time_left / (kSecond / 1000)) + "m")
      .field("Content-Length", std::to_string(work_.request->body.size()))
      .end();
  const bool client_gone = client_has_left();
  {
    const std::lock_guard lock(mutex_);
    if (client_gone || given_up_ || now() > work_.write_by) {
      attempt.outcome = Outcome::kNotSent;
      return false;
    }
    may_have_sent_ = true;
  }
  if (socket_.write(out, work_.request->body)) {
    context_.metrics_board.count_attempt_sent();
    return true;
  }
  attempt.outcome = attempt.reused || was_given_up() ? Outcome::kNotSent : Outcome::kUnreachable;
  attempt.reason = Reason::kSendFailed;
  return false;
}

void ExecutorConnection::run_attempt(AttemptState& attempt) {
  if (work_.read_state) return resume_reading(attempt);
  bool connected = false;
  try {
    connected = connect(attempt);
  } catch (const std::runtime_error& failure) {
    // No descriptor was available, or discovery gave an invalid address.
    log_note(failure.what());
    attempt.outcome = Outcome::kUnreachable;
    attempt.reason = Reason::kUnreachable;
  }
  if (connected && write(attempt)) read_answer(attempt);
}

// Leaves the rest of the answer to another process of this node.
void ExecutorConnection::suspend(bool has_head, bool keep_alive, const http::BodyReader& reader,
                                 std::string_view bytes, AttemptState& attempt) {
  auto read_state = std::make_shared<ReadState>();
  read_state->has_head = has_head;
  read_state->keep_alive = keep_alive;
  read_state->reused = attempt.reused;
  read_state->body_position = reader.position();
  read_state->bytes = bytes;
  {
    const std::lock_guard lock(mutex_);
    attempt.suspended = !given_up_;
    if (given_up_) return;
    std::swap(read_state->socket, socket_);
  }
  context_.reducer.post([&context = context_, id = work_.id, read_state = PayloadRef(std::move(read_state))](
                            Time now) { context.node->attempt_suspended(now, id, read_state); });
}

bool ExecutorConnection::read_more(char* data, std::size_t capacity, std::size_t& size,
                                   AttemptState& attempt) {
  if (may_suspend_ && size < capacity && context_.handover_signal.raised_before(socket_, read_deadline_)) {
    attempt.suspended = true;
    return false;
  }
  const long n = size < capacity ? socket_.read_until(read_deadline_, data + size, capacity - size) : 0;
  if (n > 0)
    size += static_cast<std::size_t>(n);
  else
    attempt.reason = n == 0 ? Reason::kPeerClosed : Reason::kConnectionBroken;
  return n > 0;
}

Buffer ExecutorConnection::wait_for_buffer() {
  // Interval at which the wait for a buffer checks whether the attempt was given up, which happens at its
  // deadline at the latest.
  constexpr Milliseconds kCancellationPollInterval{50};
  Buffer buffer;
  while (!buffer && !was_given_up())
    buffer = context_.attempt_buffers.wait_for_buffer(kCancellationPollInterval);
  socket_.set_receive_timeout(Milliseconds(0));
  read_deadline_ = Clock::time_point::max();
  may_suspend_ = true;
  return buffer;
}

// Continues where another process stopped.
void ExecutorConnection::resume_reading(AttemptState& attempt) {
  const std::shared_ptr<const ReadState> read_state = std::move(work_.read_state);
  attempt.reused = read_state->reused;
  if (!read_state->has_head) return read_answer(attempt, read_state->bytes);
  Buffer buffer = wait_for_buffer();
  http::BodyReader reader;
  const std::size_t size = read_state->bytes.size();
  if (!buffer || size > Buffer::kSize || !reader.resume_from(read_state->body_position)) return;
  std::copy(read_state->bytes.begin(), read_state->bytes.end(), buffer.data());
  read_body(read_state->keep_alive, reader, buffer, 0, size, size, attempt);
}

void ExecutorConnection::read_answer(AttemptState& attempt, std::string_view prefix) {
  Buffer buffer = wait_for_buffer();
  if (!buffer || prefix.size() > Buffer::kSize) return;
  char* const data = buffer.data();
  std::copy(prefix.begin(), prefix.end(), data);
  http::Head head(http::Head::Kind::kAnswer);
  std::size_t size = prefix.size();
  for (http::Progress progress = http::Progress::kMore; progress != http::Progress::kDone;) {
    if (!read_more(data, Buffer::kSize, size, attempt)) {
      if (attempt.suspended) return suspend(false, false, {}, {data, size}, attempt);
      if (attempt.reused && size == 0) attempt.outcome = Outcome::kStaleConnection;
      return;
    }
    progress = head.read({data, size});
    if (progress == http::Progress::kDone || progress == http::Progress::kMore) continue;
    attempt.reason = Reason::kBadMessage;
    return;
  }
  if (head.status == 200)
    context_.reducer.post(
        [&context = context_, id = work_.id](Time now) { context.node->attempt_accepted(now, id); });
  if (head.status == 200) {
    http::BodyReader reader(head.framing, head.length);
    return read_body(head.keep_alive, reader, buffer, head.size(), head.size(), size, attempt);
  }
  // Such an answer carries no id. If it arrived twice, the second copy would be taken for the answer to the
  // next attempt, which would then be retried while it still runs: so the connection is closed.
  const bool unprocessed = (head.status == 503 || head.status == 504) && head.field("X-Unprocessed") == "1";
  attempt.reason = Reason::kNoReuse;
  const bool is_invalid_request =
      head.status >= 400 && head.status < 500 && head.status != 408 && head.status != 429;
  report_end(unprocessed          ? Outcome::kRejected
             : is_invalid_request ? Outcome::kInvalidRequest
                                  : Outcome::kFailed,
             nullptr, false, parse_free_slots(head.field("X-Backend-Load")), attempt);
}

// Handles the lines of an answer with status 200 as they arrive. From `content_start` on the buffer holds
// decoded content, from `raw_start` on bytes that are still to be decoded.
void ExecutorConnection::read_body(bool keep_alive, http::BodyReader& reader, Buffer& buffer,
                                   std::size_t content_start, std::size_t raw_start, std::size_t size,
                                   AttemptState& attempt) {
  char* const data = buffer.data();
  std::size_t content_end = raw_start, taken = 0, written = 0;
  for (;;) {
    const http::Progress progress =
        reader.read(data + raw_start, size - raw_start, data + content_end, taken, written);
    if (progress == http::Progress::kBad) {
      attempt.reason = Reason::kBadMessage;
      return;
    }
    content_end += written;
    std::size_t line = content_start;
    while (!attempt.reported) {
      const char* const end = static_cast<char*>(std::memchr(data + line, '\n', content_end - line));
      if (end == nullptr) break;
      const std::size_t length = static_cast<std::size_t>(end - data) - line;
      if (length > 1) handle_line({data + line, length}, keep_alive, buffer, attempt);
      line += length + 1;
    }
    if (attempt.reported && !attempt.connection_kept) return;
    if (progress == http::Progress::kDone) {
      attempt.complete = taken == size - raw_start;  // else unsolicited bytes follow the end
      if (!attempt.complete) attempt.reason = Reason::kBadMessage;
      break;
    }
    if (attempt.reported) {
      read_tail(reader, attempt);
      break;
    }
    std::memmove(data + content_start, data + line, content_end - line);
    size = raw_start = content_end = content_start + (content_end - line);
    if (read_more(data, Buffer::kSize, size, attempt)) continue;
    if (attempt.suspended)
      suspend(true, keep_alive, reader, {data + content_start, size - content_start}, attempt);
    return;
  }
  // The end was reported already: the next attempt finds the connection closed and opens another.
  if (attempt.reported && attempt.connection_kept && !attempt.complete) close_socket(attempt.reason);
}

// Reads and discards what is left of an answer after the attempt's end was reported. The answer's buffer may
// hold the result by now, so a buffer on the stack is used.
void ExecutorConnection::read_tail(http::BodyReader& reader, AttemptState& attempt) {
  char tail[512];
  may_suspend_ = false;
  socket_.set_receive_timeout(kTailTimeout);
  read_deadline_ = Clock::now() + kTailTimeout;
  while (!reader.done()) {
    std::size_t size = 0, taken = 0, written = 0;
    if (!read_more(tail, sizeof tail, size, attempt)) return;
    if (reader.read(tail, size, tail, taken, written) == http::Progress::kBad || taken < size) {
      attempt.reason = Reason::kBadMessage;
      return;
    }
  }
  attempt.complete = true;
}

void ExecutorConnection::close_socket(Reason reason) {
  Socket old_socket;
  const std::lock_guard lock(mutex_);
  std::swap(old_socket, socket_);
  if (old_socket.is_open()) log_connection_end(Side::kExecutor, work_.id, work_.address, reason);
}

// After a line that cannot be parsed or that belongs to another attempt, this attempt counts as one that may
// have run: a late answer to the previous request would otherwise become the result of this one.
void ExecutorConnection::handle_line(std::string_view line, bool connection_kept, Buffer& buffer,
                                     AttemptState& attempt) {
  rapidjson::Document object;
  object.Parse<kIterativeJsonParse>(line.data(), line.size());
  const JsonValue& state = member(object, "state");
  const JsonValue& id = member(object, "id");
  const bool belongs_to_attempt =
      !id.IsString() || string_value(id, "id") == work_.request->head.field("X-Correlation-Id");
  const std::string_view state_name =
      belongs_to_attempt && state.IsString() ? string_value(state, "state") : std::string_view();
  const auto report = [&](Outcome outcome, PayloadRef result) {
    if (!connection_kept) attempt.reason = Reason::kNoReuse;
    report_end(outcome, std::move(result), connection_kept, parse_free_slots(member(object, "load")),
               attempt);
  };
  if (state_name == "started") {
    context_.reducer.post(
        [&context = context_, id = work_.id](Time now) { context.node->attempt_started(now, id); });
  } else if (state_name == "running") {
    const JsonValue& share = member(object, "share");
    context_.reducer.post(
        [&context = context_, id = work_.id, progress = share.IsNumber() ? share.GetDouble() : 0](Time now) {
          context.node->attempt_progressed(now, id, progress);
        });
  } else if (state_name == "done" && member(object, "result").IsString()) {
    const std::string_view content = string_value(member(object, "result"), "result");
    auto result = std::make_shared<Result>();
    // The result reuses the buffer that it arrived in: a thread that waited for a second buffer while holding
    // its first might wait for ever.
    result->buffer = std::move(buffer);
    std::memcpy(result->buffer.data(), content.data(), content.size());
    result->text = {result->buffer.data(), content.size()};
    report(Outcome::kSucceeded, result);
  } else if (state_name == "failed") {
    report(Outcome::kFailed, nullptr);
  } else if (state_name == "returned") {
    report(Outcome::kRejected, nullptr);
  } else if (state_name == "lost") {
    report(Outcome::kConnectionLost, nullptr);
  } else {
    log_note(belongs_to_attempt ? "executor: an answer line cannot be parsed"
                                : "executor: an answer line belongs to another attempt");
    attempt.reason = Reason::kBadMessage;
    report_end(Outcome::kConnectionLost, nullptr, false, -1, attempt);
  }
}

}  // namespace canvasstage::net
