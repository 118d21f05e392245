#include "net/client.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "http/writer.h"

namespace canvasstage::net {
namespace {

// While a request is open, the thread of its connection blocks in a read. The thread wakes after each
// interval of this length to check whether the last answer of the connection has been written.
constexpr Time kAnswerPollInterval = kSecond;
// Interval at which the thread wakes between requests. It is longer, because between requests only the
// reducer's thread ends the read.
constexpr Time kIdlePollInterval = 30 * kSecond;
// Timeout for the first byte after connecting. Clients connect only to send a request, and on a fraction of
// a core hundreds of silent connections with a thread each cost too much.
constexpr Time kFirstByteTimeout = kSecond * 3 / 2;
// Timeout for a complete request, counted from connecting for the first request and from its first byte for
// later ones. A client has to get an error or a close within 3 s.
constexpr Time kRequestTimeout = kSecond * 5 / 2;
// How long the client may take to close its side after the last answer.
constexpr Time kLingerDuration = kSecond / 4;
// A client that accepts no bytes for this long loses its answer.
constexpr Milliseconds kSendTimeout{1000};

// Parses a whole number with a unit, m (milliseconds) or u (microseconds). Returns false for any other text.
bool parse_time_left(std::string_view text, Time& left) {
  if (text.size() < 2) return false;
  const char unit = text.back();
  std::uint64_t value = 0;
  if ((unit != 'm' && unit != 'u') || !http::read_number(text.substr(0, text.size() - 1), value))
    return false;
  constexpr std::uint64_t kMaxValue = std::uint64_t{1} << 40;
  if (value > kMaxValue) return false;
  left = unit == 'm' ? static_cast<Time>(value) * (kSecond / 1000)
                     : static_cast<Time>(value) / (1000000 / kSecond);
  return true;
}

// Returns the number with the given name in `name=value,name=value`, or `default_value` if there is none.
double named_number(std::string_view facts, std::string_view name, double default_value) {
  while (!facts.empty()) {
    const std::size_t comma = std::min(facts.find(','), facts.size());
    const std::string_view pair = facts.substr(0, comma);
    facts.remove_prefix(std::min(comma + 1, facts.size()));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos || pair.substr(0, equals) != name) continue;
    const std::string value(pair.substr(equals + 1));
    char* end = nullptr;
    const double number = std::strtod(value.c_str(), &end);
    if (end != value.c_str()) return number;
  }
  return default_value;
}

}  // namespace

// --- Writers ---

void Writers::start() {
  // Two threads, so that one client that accepts no bytes does not hold up the others.
  for (int i = 0; i < 2; ++i) start_thread([this] { run(); });
}

void Writers::write(std::shared_ptr<ClientConnection> client, std::string remainder, bool is_last) {
  const std::lock_guard lock(mutex_);
  work_.push_back({std::move(client), std::move(remainder), is_last});
  work_added_.notify_one();
}

void Writers::stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  work_added_.notify_all();
}

void Writers::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    work_added_.wait(lock, [this] { return stopped_ || !work_.empty(); });
    if (work_.empty()) return;
    const Work work = std::move(work_.front());
    work_.pop_front();
    lock.unlock();
    work.client->write_remainder(work.remainder, work.is_last);
    lock.lock();
  }
}

// --- Functions for the reducer's thread and the writer threads ---

ClientConnection::ClientConnection(Id id, Socket socket, std::string peer, NodeContext& context)
    : id_(id), socket_(std::move(socket)), peer_(std::move(peer)), context_(context) {
  socket_.set_send_timeout(kSendTimeout);
}

// --- How a connection ends ---
//
// The order is the same in all cases. Under the mutex, the connection is checked for bytes that have arrived,
// and then the node ends its side of the connection (end_sending). From then on nothing that the thread reads
// is submitted as a request: the client has seen the end and submits its request again elsewhere. Requests
// read after the node had ended its side used to be sent to executors although their clients had gone to
// another node. The thread goes on reading and discarding until the client closes its side or for a short
// while (linger), because closing a socket with unread bytes resets the connection, and the reset discards
// what the client has not read yet. If the descriptor is needed at once, the thread does not wait: no request
// is unanswered in that case.

// Returns whether bytes have arrived that are not part of the request being served. Requires mutex_; called
// between requests or while a request is open.
bool ClientConnection::has_unserved_bytes() const {
  char byte;
  return !pipelined_bytes_.empty() || socket_.read(&byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void ClientConnection::end_sending(Reason end_reason) {
  if (phase_ == Phase::kMoved) return;
  socket_.shut_down(SHUT_WR);
  phase_ = Phase::kEnded;
  end_reason_ = end_reason;
}

void ClientConnection::end_if_idle() {
  if (phase_ == Phase::kAwaitingRequest && !has_unserved_bytes()) end_sending(Reason::kIdle);
}

void ClientConnection::close_when_idle(bool finish_partial_request) {
  const std::lock_guard lock(mutex_);
  close_requested_ = true;
  end_if_idle();
  if (finish_partial_request) return;
  should_shed_partial_ = should_shed_partial_ || phase_ == Phase::kReadingRequest;
  // Wakes the thread of this connection, so that it ends without waiting for the client: the descriptor of
  // the connection is needed for another connection.
  if (phase_ == Phase::kReadingRequest || phase_ == Phase::kEnded) socket_.shut_down(SHUT_RD);
}

void ClientConnection::close_now(bool finish_partial_request) {
  const std::lock_guard lock(mutex_);
  close_requested_ = true;
  end_if_idle();
  should_shed_partial_ =
      should_shed_partial_ || (phase_ == Phase::kReadingRequest && !finish_partial_request);
  if (phase_ == Phase::kEnded)
    socket_.shut_down(SHUT_RD);  // wakes the thread that waits for the client's close
}

void ClientConnection::answer(int status, std::string_view extra_fields, const PayloadRef& result,
                              bool closes, bool at_once, Writers& writers) {
  bool is_last;
  {
    const std::lock_guard lock(mutex_);
    close_requested_ = close_requested_ || closes;
    is_last = at_once || !keep_alive_ || (close_requested_ && !has_unserved_bytes());
  }
  const std::string_view body = result ? static_cast<const Result&>(*result).text : std::string_view();
  std::string head;
  http::Writer writer(head);
  writer.answer(status).field("Content-Length", std::to_string(body.size()));
  if (is_last) writer.field("Connection", "close");
  head.append(extra_fields);
  writer.end();
  const long sent = socket_.write_some(head, body);
  if (sent < 0) {
    socket_.shut_down(SHUT_RDWR);
    return answer_written(true);
  }
  const std::size_t done = static_cast<std::size_t>(sent);
  if (done == head.size() + body.size()) return answer_written(is_last);
  std::string remainder(head.substr(std::min(done, head.size())));
  remainder.append(body.substr(done - std::min(done, head.size())));
  writers.write(shared_from_this(), std::move(remainder), is_last);
}

void ClientConnection::write_remainder(std::string_view remainder, bool is_last) {
  const bool written = socket_.write(remainder, {});
  if (!written) socket_.shut_down(SHUT_RDWR);
  answer_written(is_last || !written);
}

void ClientConnection::answer_written(bool is_last) {
  const std::lock_guard lock(mutex_);
  if (phase_ != Phase::kAwaitingAnswer) return;
  // Bytes already read behind this request are the beginning of the next one.
  phase_ = pipelined_bytes_.empty() ? Phase::kAwaitingRequest : Phase::kReadingRequest;
  if (is_last)
    end_sending(Reason::kAnsweredLast);
  else if (close_requested_)  // requested after the answer's head was written
    end_if_idle();
  phase_changed_.notify_all();
}

// The returned function also wakes the connection's thread when the client has disconnected, so that the
// thread notices the disconnect at once.
std::function<bool()> ClientConnection::client_left_check() {
  return [client = weak_from_this()] {
    const std::shared_ptr<ClientConnection> connection = client.lock();
    if (!connection || !connection->socket_.peer_closed()) return !connection;
    const std::lock_guard lock(connection->mutex_);
    connection->phase_changed_.notify_all();
    return true;
  };
}

void ClientConnection::shut_down() {
  const std::lock_guard lock(mutex_);
  if (phase_ != Phase::kMoved) socket_.shut_down(SHUT_RDWR);
}

void ClientConnection::mark_handed_over() {
  const std::lock_guard lock(mutex_);
  phase_ = Phase::kMoved;
  phase_changed_.notify_all();
}

Time ClientConnection::arrival_of_last_bytes() const {
  return now() - socket_.time_since_last_bytes().count() * kSecond / 1000000;
}

void ClientConnection::resume(bool fresh, Time opened, bool keep_alive, bool is_open,
                              std::string pipelined_bytes) {
  fresh_ = fresh;
  opened_ = opened;
  keep_alive_ = keep_alive;
  pipelined_bytes_ = std::move(pipelined_bytes);
  if (!pipelined_bytes_.empty()) last_bytes_at_ = arrival_of_last_bytes();
  const std::lock_guard lock(mutex_);
  if (is_open) phase_ = Phase::kAwaitingAnswer;
}

// --- Functions for the connection's thread ---

Reason ClientConnection::run() {
  Reason reason = Reason::kPeerClosed;
  bool is_open;
  {
    const std::lock_guard lock(mutex_);
    is_open = phase_ == Phase::kAwaitingAnswer;
  }
  if (!is_open || await_answer(reason))
    while (serve_request(reason)) {
    }
  if (should_linger_) linger();  // the request's buffer is back in its pool by now
  return reason;
}

void ClientConnection::set_read_deadline(Time deadline) {
  socket_.set_receive_timeout(Milliseconds(std::max<Time>(1, (deadline - now()) / (kSecond / 1000))));
}

// Returns the flags for peeking at the next byte. If the handover signal is enabled, the peek must not block:
// the wait has already taken place in HandoverSignal::raised_before.
int ClientConnection::peek_flags() const {
  return context_.handover_signal.enabled() ? MSG_PEEK | MSG_DONTWAIT : MSG_PEEK;
}

// Hands the idle connection over to another process of this node. Returns false if the connection is not
// idle, is about to close, or cannot be duplicated.
bool ClientConnection::hand_over_idle(Reason& reason) {
  Socket socket = socket_.duplicate();
  const std::lock_guard lock(mutex_);
  if (close_requested_ || phase_ != Phase::kAwaitingRequest || !socket.is_open()) return false;
  phase_ = Phase::kMoved;
  context_.successor->hand_over_client(std::move(socket), fresh_, now() - opened_);
  reason = Reason::kMoved;
  return true;
}

// Ends the node's side of the connection because the client has been silent for too long, unless bytes have
// arrived. Returns whether it has ended that side.
bool ClientConnection::end_if_silent() {
  const std::lock_guard lock(mutex_);
  if (phase_ == Phase::kAwaitingRequest && has_unserved_bytes()) return false;
  end_sending(Reason::kSilent);
  return true;
}

// Waits for the first byte of a request without consuming it: a request that was not read can still be left
// for the client to submit elsewhere. Returns false, with the reason, once the connection has ended or moved.
bool ClientConnection::wait_for_first_byte(Reason& reason) {
  char byte;
  for (bool stays_here = false;;) {
    const Time deadline = fresh_ ? opened_ + kFirstByteTimeout : now() + kIdlePollInterval;
    if (!stays_here && context_.handover_signal.raised_before(socket_, steady_time(deadline))) {
      if (hand_over_idle(reason)) return false;
      stays_here = true;
    }
    set_read_deadline(deadline);
    const long n = socket_.read(&byte, 1, stays_here ? MSG_PEEK : peek_flags());
    if (n > 0) return true;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      // end_if_silent() checks for bytes first: this thread may have started late, behind a whole request.
      if (!fresh_ || now() < deadline || !end_if_silent()) continue;
      should_linger_ = true;
      reason = Reason::kSilent;
      return false;
    }
    const std::lock_guard lock(mutex_);
    reason = phase_ == Phase::kEnded ? end_reason_ : n == 0 ? Reason::kPeerClosed : Reason::kConnectionBroken;
    return false;
  }
}

bool ClientConnection::begin_request(Reason& reason) {
  const std::lock_guard lock(mutex_);
  if (phase_ == Phase::kEnded) {
    should_linger_ = true;
    reason = end_reason_;
    return false;
  }
  phase_ = Phase::kReadingRequest;
  return true;
}

bool ClientConnection::serve_request(Reason& reason) {
  if ((pipelined_bytes_.empty() && !wait_for_first_byte(reason)) || !begin_request(reason)) return false;
  auto request = std::make_shared<ClientRequest>();
  request->buffer = context_.request_buffers.take();
  if (!request->buffer) {
    report_shed_unread();
    return reject(503, Reason::kNoRoom, reason);
  }
  const std::size_t carried = pipelined_bytes_.size();
  std::memcpy(request->buffer.data(), pipelined_bytes_.data(), carried);
  pipelined_bytes_.clear();
  // A reload while the request is being received does not affect it: the client sent it under these terms.
  const std::shared_ptr<const Terms> terms = context_.terms.read();
  return read_request(request, carried, reason) && submit_request(std::move(request), *terms, reason);
}

bool ClientConnection::read_more(ClientRequest& request, std::size_t& size, Time deadline, Reason& reason) {
  // Interval at which to check whether a partially received request has to be shed.
  constexpr Time kPollInterval = kSecond / 20;
  for (;;) {
    set_read_deadline(std::min(deadline, now() + kPollInterval));
    const long n = socket_.read(request.buffer.data() + size, Buffer::kSize - size);
    if (n > 0) {
      size += static_cast<std::size_t>(n);
      last_bytes_at_ = arrival_of_last_bytes();
      return true;
    }
    const int error = errno;
    if (should_shed_partial()) return reject(503, Reason::kIdle, reason);
    // Answered, because the client may have ended only its sending side.
    if (n == 0) return reject(400, Reason::kPeerClosed, reason);
    if (error != EAGAIN && error != EWOULDBLOCK) {
      reason = Reason::kConnectionBroken;
      return false;
    }
    if (now() >= deadline) return reject(408, Reason::kSilent, reason);
  }
}

bool ClientConnection::should_shed_partial() {
  const std::lock_guard lock(mutex_);
  return should_shed_partial_;
}

bool ClientConnection::read_request(const std::shared_ptr<ClientRequest>& request, std::size_t carried,
                                    Reason& reason) {
  ClientRequest& s = *request;
  char* const data = s.buffer.data();
  const Time deadline = (fresh_ ? opened_ : now()) + kRequestTimeout;
  std::size_t size = carried;
  http::Progress progress = http::Progress::kMore;
  for (;;) {
    if (size > 0) progress = s.head.read({data, size});
    if (progress == http::Progress::kBad) return reject(400, Reason::kBadMessage, reason);
    if (progress == http::Progress::kHeadTooLarge) return reject(431, Reason::kTooLarge, reason);
    if (progress == http::Progress::kBodyTooLarge) return reject(413, Reason::kTooLarge, reason);
    if (progress == http::Progress::kDone) break;
    if (!read_more(s, size, deadline, reason)) return false;
  }
  const std::size_t start = s.head.size();
  if (size == start && http::equal_ignoring_case(s.head.field("Expect"), "100-continue"))
    socket_.write("HTTP/1.1 100 Continue\r\n\r\n", {});
  http::BodyReader reader(s.head.framing, s.head.length);
  std::size_t raw = start, content = start, taken = 0, written = 0;
  for (;;) {
    progress = reader.read(data + raw, size - raw, data + content, taken, written);
    raw += taken;
    content += written;
    if (progress == http::Progress::kBad) return reject(400, Reason::kBadMessage, reason);
    if (content - start > http::kMaxBodyBytes) return reject(413, Reason::kTooLarge, reason);
    if (progress == http::Progress::kDone) break;
    size = raw = content;  // all received bytes are consumed
    if (size == Buffer::kSize) return reject(413, Reason::kTooLarge, reason);
    if (!read_more(s, size, deadline, reason)) return false;
  }
  s.body = {data + start, content - start};
  pipelined_bytes_.assign(data + raw, size - raw);
  return true;
}

// Validates the request and submits it to the core. Its time left counts from the arrival of its last byte:
// the request may have waited for its connection to be accepted, behind another request, or while the node
// was suspended.
bool ClientConnection::submit_request(std::shared_ptr<ClientRequest> request, const Terms& terms,
                                      Reason& reason) {
  const http::Head& head = request->head;
  const std::string_view path = head.target.substr(0, head.target.find('?'));
  keep_alive_ = head.keep_alive;
  fresh_ = false;
  // Rejects repeated fields, since two readers could use different ones.
  for (const char* const name :
       {"Host", "X-Correlation-Id", "X-Account", "X-Time-Left", "X-Facts", "Idempotency-Key"})
    if (head.count(name) > 1) return reject(400, Reason::kBadMessage, reason);
  if (head.method == "GET" && path == "/healthz") {
    std::string out;
    http::Writer writer(out);
    // A health checker that stayed connected would hold a thread and a descriptor for nothing.
    writer.answer(200).field("Connection", "close").body("");
    return send_last_answer(out, Reason::kAnsweredLast, reason);
  }
  if (head.method != "POST") return reject(405, Reason::kBadMessage, reason);
  const std::string_view use_case_name = path.substr(1, std::min(path.find('/', 1), path.size()) - 1);
  const int use_case = terms.find_use_case(use_case_name);
  if (use_case < 0) return reject(404, Reason::kBadMessage, reason);
  Time time_left = 0;
  if (head.field("X-Correlation-Id").empty() || !parse_time_left(head.field("X-Time-Left"), time_left))
    return reject(400, Reason::kBadMessage, reason);
  if (terms.requires_key[static_cast<std::size_t>(use_case)] && head.field("Idempotency-Key").empty())
    return reject(400, Reason::kBadMessage, reason);
  // The subject of the request is the last part of the path, if there is one behind the use case.
  const std::size_t last_slash = path.rfind('/');
  const std::uint64_t key =
      last_slash > 0 && last_slash + 1 < path.size() ? stable_hash(path.substr(last_slash + 1)) : 0;
  const int width =
      std::max(1, static_cast<int>(std::min(named_number(head.field("X-Facts"), "slots", 1), 1e6)));
  if (!open_request()) return reject(503, Reason::kIdle, reason);
  request->client_left = client_left_check();
  std::string correlation_id(head.field("X-Correlation-Id")), idempotency_key(head.field("Idempotency-Key"));
  context_.reducer.post([&context = context_, id = id_, correlation_id = std::move(correlation_id),
                         idempotency_key = std::move(idempotency_key), use_case,
                         deadline = last_bytes_at_ + time_left, width, key,
                         payload = PayloadRef(std::move(request))](Time now) {
    context.node->request_arrived(now, id, correlation_id, use_case, deadline, 0, width, payload, key,
                                  idempotency_key);
  });
  return await_answer(reason);
}

// Marks the request as open; from then on the reducer answers it. Returns false if the request has been shed
// in the meantime.
bool ClientConnection::open_request() {
  const std::lock_guard lock(mutex_);
  if (should_shed_partial_) return false;
  phase_ = Phase::kAwaitingAnswer;
  return true;
}

// Waits while the client's next bytes stay unread, until the request is answered or handed over, or until the
// given time. Returns false if the client has left: a read cannot show that behind bytes sent ahead. Without
// this check, the attempts and retries of such a request went on after its client had left.
bool ClientConnection::wait_with_unread_bytes(std::unique_lock<std::mutex>& lock,
                                              Clock::time_point deadline) {
  // A client's leaving has to be noticed well within 0.3 s.
  constexpr Milliseconds kPollInterval{50};
  while (phase_ == Phase::kAwaitingAnswer && Clock::now() < deadline) {
    if (socket_.peer_closed()) return false;
    phase_changed_.wait_for(lock, kPollInterval);
  }
  return true;
}

// Waits for the answer to the open request while blocked in a read, which shows when the client disconnects.
// Returns true once the request is answered and the connection goes on.
bool ClientConnection::await_answer(Reason& reason) {
  // Time limit for a handover: an attempt may have to connect and be written first.
  constexpr std::chrono::seconds kHandoverTimeout{2};
  char byte;
  set_read_deadline(now() + kAnswerPollInterval);
  for (bool stays_here = false;;) {
    bool has_left = false;
    if (!stays_here && pipelined_bytes_.empty() &&
        context_.handover_signal.raised_before(socket_, steady_time(now() + kAnswerPollInterval))) {
      std::unique_lock lock(mutex_);
      has_left = !wait_with_unread_bytes(lock, Clock::now() + kHandoverTimeout);
      stays_here = phase_ == Phase::kAwaitingAnswer;
    }
    const int flags = stays_here ? MSG_PEEK : peek_flags();
    const long received = has_left ? 0 : pipelined_bytes_.empty() ? socket_.read(&byte, 1, flags) : 1;
    const bool waiting = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    std::unique_lock lock(mutex_);
    // The open request is answered before the next one is read.
    if (!has_left && received > 0) has_left = !wait_with_unread_bytes(lock, Clock::time_point::max());
    const bool is_open = phase_ == Phase::kAwaitingAnswer;
    if (phase_ == Phase::kMoved) {
      reason = Reason::kMoved;
      return false;
    }
    if (phase_ == Phase::kEnded) {
      reason = end_reason_;
      should_linger_ = true;
      return false;
    }
    if (has_left || (!waiting && received <= 0)) {
      reason = is_open ? Reason::kLeftWhileOpen : Reason::kPeerClosed;
      return false;
    }
    if (!is_open) return true;
  }
}

// Reports a request that was shed unread for lack of a buffer or a thread. Its first bytes name the use case.
void ClientConnection::report_shed_unread() {
  char bytes[128];
  std::string_view start = pipelined_bytes_;
  if (pipelined_bytes_.empty()) {
    const long n = socket_.read(bytes, sizeof bytes, MSG_PEEK | MSG_DONTWAIT);
    start = {bytes, static_cast<std::size_t>(std::max(n, 0L))};
  }
  constexpr std::string_view kMethod = "POST /";
  if (start.substr(0, kMethod.size()) != kMethod) return;
  start.remove_prefix(kMethod.size());
  const int use_case = context_.terms.read()->find_use_case(start.substr(0, start.find_first_of("/? ")));
  if (use_case < 0) return;
  context_.reducer.post(
      [&context = context_, use_case](Time) { context.node->request_shed_unread(use_case); });
}

bool ClientConnection::reject(int status, Reason end_reason, Reason& reason) {
  std::string out;
  http::Writer(out).answer(status).field("Connection", "close").body("");
  return send_last_answer(out, end_reason, reason);
}

// Sends the final answer to a request that is not submitted to the core, and ends the node's side of the
// connection.
bool ClientConnection::send_last_answer(const std::string& bytes, Reason end_reason, Reason& reason) {
  reason = socket_.write(bytes, {}) ? end_reason : Reason::kSendFailed;
  should_linger_ = true;
  const std::lock_guard lock(mutex_);
  end_sending(reason);
  return false;
}

bool ClientConnection::refuse_without_thread(Reason& reason) {
  if (should_linger_) return !discard_received(MSG_DONTWAIT) || now() >= linger_deadline_;
  {
    const std::lock_guard lock(mutex_);
    if (phase_ == Phase::kAwaitingAnswer) return false;  // the reducer's thread answers it
    if (phase_ == Phase::kEnded) {
      reason = end_reason_;
      return true;
    }
  }
  char byte;
  const long n = pipelined_bytes_.empty() ? socket_.read(&byte, 1, MSG_PEEK | MSG_DONTWAIT) : 1;
  const bool nothing_received = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  linger_deadline_ = now() + kLingerDuration;
  if (n > 0) {
    report_shed_unread();
    reject(503, Reason::kNoThread, reason);
    return false;
  }
  if (!nothing_received) {
    reason = n == 0 ? Reason::kPeerClosed : Reason::kConnectionBroken;
    return true;
  }
  if (now() < opened_ + kFirstByteTimeout || !end_if_silent()) return false;
  reason = Reason::kSilent;
  should_linger_ = true;
  return false;
}

// Discards received bytes in the kernel without copying them: copying 60 MB of them took the core away from
// other clients. Returns false if the client has closed its side or the connection is broken.
bool ClientConnection::discard_received(int flags) const {
  constexpr std::size_t kMaxDiscardBytes = 1024 * 1024;
  const long n = socket_.read(nullptr, kMaxDiscardBytes, MSG_TRUNC | flags);
  return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

// Discards input until the client closes its side or kLingerDuration has passed. The node has already ended
// its side.
void ClientConnection::linger() {
  const Time deadline = now() + kLingerDuration;
  set_read_deadline(deadline);
  while (now() < deadline && discard_received(0)) {
  }
}

}  // namespace canvasstage::net
