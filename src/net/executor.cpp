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

// A small message goes at once; a peer that takes nothing for this long is not there.
constexpr Milliseconds kMostSending{1000};
// Between the line that ends a job and the end of the answer there is nothing to wait for.
constexpr Milliseconds kMostTail{200};

// Free slots, of what an executor tells of its load; -1: nothing that can be read. The rest is not used.
double free_slots_of(const JsonValue& load) {
  const JsonValue& slots = member(load, "x0");
  return slots.IsNumber() ? slots.GetDouble() : -1;
}

double free_slots_of(std::string_view header) {
  constexpr std::string_view kName = "x0=";
  const std::size_t at = header.find(kName);
  if (at == std::string_view::npos || (at > 0 && header[at - 1] != ',')) return -1;
  const std::string value(header.substr(at + kName.size()));
  char* end = nullptr;
  const double slots = std::strtod(value.c_str(), &end);
  return end == value.c_str() || !std::isfinite(slots) ? -1 : slots;
}

}  // namespace

// --- The reducer's side ---

void ExecutorConnection::launch(Id id, const std::string& address, PayloadRef submission, Time give_up_at,
                                Time write_by, bool recorded) {
  const std::lock_guard lock(mutex_);
  next_ = Work{id,         address,  std::static_pointer_cast<const ClientRequest>(std::move(submission)),
               give_up_at, write_by, nullptr,
               recorded};
  writing_ = false;
  changed_.notify_one();
}

void ExecutorConnection::record_written(Id id) {
  const std::lock_guard lock(mutex_);
  record_written_ = id;
  changed_.notify_one();
}

void ExecutorConnection::record_failed(Id id) {
  const std::lock_guard lock(mutex_);
  record_failed_ = id;
  changed_.notify_one();
}

void ExecutorConnection::go_on(Id id, const std::string& address, PayloadRef submission,
                               std::shared_ptr<const ReadState> reading) {
  const std::lock_guard lock(mutex_);
  socket_ = std::move(reading->socket);
  next_ =
      Work{id, address, std::static_pointer_cast<const ClientRequest>(std::move(submission)), 0, 0, reading};
  writing_ = true;
  changed_.notify_one();
}

void ExecutorConnection::stand_free(Id id, const std::string& address, Socket socket) {
  const std::lock_guard lock(mutex_);
  socket_ = std::move(socket);
  work_.id = id;
  work_.address = address;
}

Socket ExecutorConnection::release() {
  const std::lock_guard lock(mutex_);
  Socket released;
  if (idle_ && !next_ && !given_up_) std::swap(released, socket_);
  end();
  return released;
}

void ExecutorConnection::give_up() {
  const std::lock_guard lock(mutex_);
  end();
}

void ExecutorConnection::withdraw() {
  const std::lock_guard lock(mutex_);
  if (!writing_) end();
}

void ExecutorConnection::end() {
  given_up_ = true;
  socket_.shut(SHUT_RDWR);
  changed_.notify_one();
}

// Bytes on one that stands free were asked for by nobody: whoever used it next would take them for its
// answer.
bool ExecutorConnection::still_open() {
  char byte;
  const std::lock_guard lock(mutex_);
  const long n = socket_.is_open() ? socket_.read(&byte, 1, MSG_PEEK | MSG_DONTWAIT) : 0;
  return (n > 0 && !idle_) || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

// --- The thread's side ---

void ExecutorConnection::run() {
  for (;;) {
    {
      std::unique_lock lock(mutex_);
      idle_ = true;
      changed_.wait(lock, [this] { return given_up_ || next_; });
      idle_ = false;
      if (!next_) break;
      work_ = std::move(*next_);
      next_.reset();
    }
    Ending ending;
    serve(ending);
    work_.submission.reset();
    if (ending.parked) return;
    if (!ending.told) tell_end(ending.outcome, nullptr, false, -1, ending);
    if (!ending.kept) return;
  }
  drop_socket(still_open() ? Reason::kIdle : Reason::kPeerClosed);
}

bool ExecutorConnection::was_given_up() {
  const std::lock_guard lock(mutex_);
  return given_up_;
}

void ExecutorConnection::tell_end(Outcome outcome, PayloadRef result, bool kept, double free_slots,
                                  Ending& ending) {
  ending.told = true;
  ending.kept = kept;
  // First: a further launch of the submission may be written as soon as this end is known, and one that may
  // still run is not to be out on an open connection beside it.
  if (!kept) drop_socket(was_given_up() ? Reason::kGivenUp : ending.reason);
  world_.reducer.post(
      [&world = world_, id = work_.id, outcome, result = std::move(result), kept, free_slots](Time now) {
        const Load load{free_slots};
        world.node->attempt_ended(now, id, outcome, result, kept, free_slots >= 0 ? &load : nullptr);
      });
}

// The module may try again at once.
void ExecutorConnection::pause_before_next_try() {
  constexpr Milliseconds kPause{20};
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, kPause, [this] { return given_up_; });
}

bool ExecutorConnection::stale() const {
  char byte;
  return socket_.read(&byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

// Asked in the moment before a byte goes out: its own thread looks behind unread bytes every 50 ms only, and
// the reducer may have much before it.
bool ExecutorConnection::client_left() const {
  return work_.submission->client_left && work_.submission->client_left();
}

bool ExecutorConnection::connect(Ending& ending) {
  if (client_left()) {
    ending.outcome = Outcome::kNotSent;
    ending.reason = Reason::kGivenUp;
    return false;
  }
  {
    const std::lock_guard lock(mutex_);
    ending.reused = socket_.is_open() && !stale();
    if (ending.reused) return true;
    if (given_up_) {
      ending.outcome = Outcome::kNotSent;
      return false;
    }
    if (socket_.is_open()) log_connection_end(Side::kExecutor, work_.id, work_.address, Reason::kPeerClosed);
    socket_ = Socket();
    socket_ = socket_if_any();
  }
  const int error = socket_.is_open() ? connect_to(socket_, work_.address, connect_within_) : errno;
  if (error != 0) {
    // One that was given up as it connected says nothing of the executor, and neither does trouble of our
    // own.
    const bool ours = is_local_resource_error(error);
    ending.outcome = ours || was_given_up() ? Outcome::kNotSent : Outcome::kUnreachable;
    ending.reason = ours ? Reason::kNoRoom : Reason::kUnreachable;
    if (ours) pause_before_next_try();
    return false;
  }
  socket_.limit_sending(kMostSending);
  return true;
}

// It is not sent yet: whatever withdraws it ends the wait, and so does the time by which it has to go.
void ExecutorConnection::wait_for_record() {
  if (!work_.recorded) return;
  const Clock::time_point until = steady_time(std::min(work_.write_by, work_.give_up_at));
  std::unique_lock lock(mutex_);
  const bool written = changed_.wait_until(
      lock, until, [this] { return given_up_ || record_written_ == work_.id || record_failed_ == work_.id; });
  given_up_ = given_up_ || !written || record_failed_ == work_.id;
}

// One that was given up while it waited is stopped here, before its first byte; and one that waited so long
// that a drain told since it was decided might forbid it.
bool ExecutorConnection::write(Ending& ending) {
  wait_for_record();
  const http::Head& head = work_.submission->head;
  std::string out;
  http::Writer writer(out);
  const Time time_left = std::max<Time>(0, work_.give_up_at - now());
  writer.request(head.method, head.target).field("Host", "backend.local");
  for (const std::string_view name : {"X-Correlation-Id", "Idempotency-Key"})
    if (head.count(name) > 0) writer.field(name, head.field(name));
  writer.field("X-Time-Left", std::to_string(time_left / (kSecond / 1000)) + "m")
      .field("Content-Length", std::to_string(work_.submission->body.size()))
      .end();
  const bool left = client_left();
  {
    const std::lock_guard lock(mutex_);
    if (left || given_up_ || now() > work_.write_by) {
      ending.outcome = Outcome::kNotSent;
      return false;
    }
    writing_ = true;
  }
  if (socket_.write(out, work_.submission->body)) {
    world_.board.count_attempt_sent();
    return true;
  }
  ending.outcome = ending.reused || was_given_up() ? Outcome::kNotSent : Outcome::kUnreachable;
  ending.reason = Reason::kSendFailed;
  return false;
}

void ExecutorConnection::serve(Ending& ending) {
  if (work_.reading) return read_on(ending);
  bool connected = false;
  try {
    connected = connect(ending);
  } catch (const std::runtime_error& failure) {
    // No descriptor was to be had, or discovery named an address that is none.
    log_note(failure.what());
    ending.outcome = Outcome::kUnreachable;
    ending.reason = Reason::kUnreachable;
  }
  if (connected && write(ending)) read_answer(ending);
}

// Leaves the rest to another process of this node.
void ExecutorConnection::park(bool has_head, bool keep_alive, const http::BodyReader& reader,
                              std::string_view bytes, Ending& ending) {
  auto reading = std::make_shared<ReadState>();
  reading->has_head = has_head;
  reading->keep_alive = keep_alive;
  reading->reused = ending.reused;
  reading->place = reader.place();
  reading->bytes = bytes;
  {
    const std::lock_guard lock(mutex_);
    ending.parked = !given_up_;
    if (given_up_) return;
    std::swap(reading->socket, socket_);
  }
  world_.reducer.post([&world = world_, id = work_.id, reading = PayloadRef(std::move(reading))](Time now) {
    world.node->attempt_suspended(now, id, reading);
  });
}

bool ExecutorConnection::read_more(char* data, std::size_t room, std::size_t& size, Ending& ending) {
  if (may_park_ && size < room && world_.parting.told_before(socket_, read_until_)) {
    ending.parked = true;
    return false;
  }
  const long n = size < room ? socket_.read_until(read_until_, data + size, room - size) : 0;
  if (n > 0)
    size += static_cast<std::size_t>(n);
  else
    ending.reason = n == 0 ? Reason::kPeerClosed : Reason::kPeerBroke;
  return n > 0;
}

Buffer ExecutorConnection::wait_for_buffer() {
  // One that is given up meanwhile, at its hard limit at the latest, waits no longer than this.
  constexpr Milliseconds kLookUp{50};
  Buffer buffer;
  while (!buffer && !was_given_up()) buffer = world_.launches.wait_for_one(kLookUp);
  socket_.limit_reading(Milliseconds(0));
  read_until_ = Clock::time_point::max();
  may_park_ = true;
  return buffer;
}

// Where another process stopped.
void ExecutorConnection::read_on(Ending& ending) {
  const std::shared_ptr<const ReadState> reading = std::move(work_.reading);
  ending.reused = reading->reused;
  if (!reading->has_head) return read_answer(ending, reading->bytes);
  Buffer buffer = wait_for_buffer();
  http::BodyReader reader;
  const std::size_t size = reading->bytes.size();
  if (!buffer || size > Buffer::kSize || !reader.go_on_from(reading->place)) return;
  std::copy(reading->bytes.begin(), reading->bytes.end(), buffer.data());
  read_body(reading->keep_alive, reader, buffer, 0, size, size, ending);
}

void ExecutorConnection::read_answer(Ending& ending, std::string_view begun) {
  Buffer buffer = wait_for_buffer();
  if (!buffer || begun.size() > Buffer::kSize) return;
  char* const data = buffer.data();
  std::copy(begun.begin(), begun.end(), data);
  http::Head head(http::Head::Kind::kAnswer);
  std::size_t size = begun.size();
  for (http::Progress progress = http::Progress::kMore; progress != http::Progress::kDone;) {
    if (!read_more(data, Buffer::kSize, size, ending)) {
      if (ending.parked) return park(false, false, {}, {data, size}, ending);
      if (ending.reused && size == 0) ending.outcome = Outcome::kStaleConnection;
      return;
    }
    progress = head.read({data, size});
    if (progress == http::Progress::kDone || progress == http::Progress::kMore) continue;
    ending.reason = Reason::kBadMessage;
    return;
  }
  if (head.status == 200)
    world_.reducer.post(
        [&world = world_, id = work_.id](Time now) { world.node->attempt_accepted(now, id); });
  if (head.status == 200) {
    http::BodyReader reader(head.framing, head.length);
    return read_body(head.keep_alive, reader, buffer, head.size(), head.size(), size, ending);
  }
  // Such an answer bears no id. Were it to come twice, the second would be taken for the next launch's, which
  // would go again though it runs: so the connection goes.
  const bool unprocessed = (head.status == 503 || head.status == 504) && head.field("X-Unprocessed") == "1";
  ending.reason = Reason::kNoReuse;
  const bool bad_request =
      head.status >= 400 && head.status < 500 && head.status != 408 && head.status != 429;
  tell_end(unprocessed   ? Outcome::kRejected
           : bad_request ? Outcome::kInvalidRequest
                         : Outcome::kFailed,
           nullptr, false, free_slots_of(head.field("X-Backend-Load")), ending);
}

// The lines of a 200 are taken as they come.
// From `start` on the buffer holds content, from `raw` on what is still to be read as the body.
void ExecutorConnection::read_body(bool keep_alive, http::BodyReader& reader, Buffer& buffer,
                                   std::size_t start, std::size_t raw, std::size_t size, Ending& ending) {
  char* const data = buffer.data();
  std::size_t content = raw, taken = 0, written = 0;
  for (;;) {
    const http::Progress progress = reader.read(data + raw, size - raw, data + content, taken, written);
    if (progress == http::Progress::kBad) {
      ending.reason = Reason::kBadMessage;
      return;
    }
    content += written;
    std::size_t line = start;
    while (!ending.told) {
      const char* const end = static_cast<char*>(std::memchr(data + line, '\n', content - line));
      if (end == nullptr) break;
      const std::size_t length = static_cast<std::size_t>(end - data) - line;
      if (length > 1) take_line({data + line, length}, keep_alive, buffer, ending);
      line += length + 1;
    }
    if (ending.told && !ending.kept) return;
    if (progress == http::Progress::kDone) {
      ending.whole = taken == size - raw;  // else bytes behind the end, that nobody asked for
      if (!ending.whole) ending.reason = Reason::kBadMessage;
      break;
    }
    if (ending.told) {
      read_tail(reader, ending);
      break;
    }
    std::memmove(data + start, data + line, content - line);
    size = raw = content = start + (content - line);
    if (read_more(data, Buffer::kSize, size, ending)) continue;
    if (ending.parked) park(true, keep_alive, reader, {data + start, size - start}, ending);
    return;
  }
  // The end was told already: the next launch finds the connection gone and opens another.
  if (ending.told && ending.kept && !ending.whole) drop_socket(ending.reason);
}

// What is left of an answer whose end is told. Its buffer may be the result's by now.
void ExecutorConnection::read_tail(http::BodyReader& reader, Ending& ending) {
  char tail[512];
  may_park_ = false;
  socket_.limit_reading(kMostTail);
  read_until_ = Clock::now() + kMostTail;
  while (!reader.done()) {
    std::size_t size = 0, taken = 0, written = 0;
    if (!read_more(tail, sizeof tail, size, ending)) return;
    if (reader.read(tail, size, tail, taken, written) == http::Progress::kBad || taken < size) {
      ending.reason = Reason::kBadMessage;
      return;
    }
  }
  ending.whole = true;
}

void ExecutorConnection::drop_socket(Reason reason) {
  Socket closing;
  const std::lock_guard lock(mutex_);
  std::swap(closing, socket_);
  if (closing.is_open()) log_connection_end(Side::kExecutor, work_.id, work_.address, reason);
}

// A line that cannot be read, or that is of another launch, is a launch that may have run: an answer that
// came late to the request before would else be the result of this one.
void ExecutorConnection::take_line(std::string_view line, bool kept, Buffer& buffer, Ending& ending) {
  rapidjson::Document object;
  object.Parse<kNotRecursive>(line.data(), line.size());
  const JsonValue& state = member(object, "state");
  const JsonValue& id = member(object, "id");
  const bool own =
      !id.IsString() || string_value(id, "id") == work_.submission->head.field("X-Correlation-Id");
  const std::string_view word = own && state.IsString() ? string_value(state, "state") : std::string_view();
  const auto tell = [&](Outcome outcome, PayloadRef result) {
    if (!kept) ending.reason = Reason::kNoReuse;
    tell_end(outcome, std::move(result), kept, free_slots_of(member(object, "load")), ending);
  };
  if (word == "started") {
    world_.reducer.post([&world = world_, id = work_.id](Time now) { world.node->attempt_started(now, id); });
  } else if (word == "running") {
    const JsonValue& share = member(object, "share");
    world_.reducer.post([&world = world_, id = work_.id, done = share.IsNumber() ? share.GetDouble() : 0](
                            Time now) { world.node->attempt_progressed(now, id, done); });
  } else if (word == "done" && member(object, "result").IsString()) {
    const std::string_view content = string_value(member(object, "result"), "result");
    auto result = std::make_shared<Result>();
    // The buffer that it came in: one that waited for a second while it held the first might wait for ever.
    result->buffer = std::move(buffer);
    std::memcpy(result->buffer.data(), content.data(), content.size());
    result->text = {result->buffer.data(), content.size()};
    tell(Outcome::kSucceeded, result);
  } else if (word == "failed") {
    tell(Outcome::kFailed, nullptr);
  } else if (word == "returned") {
    tell(Outcome::kRejected, nullptr);
  } else if (word == "lost") {
    tell(Outcome::kConnectionLost, nullptr);
  } else {
    log_note(own ? "executor: a line that cannot be read" : "executor: a line of another launch");
    ending.reason = Reason::kBadMessage;
    tell_end(Outcome::kConnectionLost, nullptr, false, -1, ending);
  }
}

}  // namespace canvasstage::net
