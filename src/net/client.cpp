#include "net/client.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "http/writer.h"

namespace canvasstage::net {
namespace {

// How often a thread looks up while a submission is open, as its last answer may have been written, and
// between submissions, where only the reducer ends the reading. How long a client may say nothing after
// connecting: whoever connects has something to hand in, and a thread each for hundreds that have not is what
// a part of a core can bear least. How long it may take until its first submission has come whole, counted
// from connecting, or any later one, counted from its first byte: within 3 s it is owed an error or a close.
// How long it may take to close after the last answer.
constexpr Time kLookUp = kSecond;
constexpr Time kIdleLookUp = 30 * kSecond;
constexpr Time kMostSilence = kSecond * 3 / 2;
constexpr Time kMostReading = kSecond * 5 / 2;
constexpr Time kLinger = kSecond / 4;
// A client that takes nothing for this long has lost its answer.
constexpr Milliseconds kMostSending{1000};

// A whole number and a unit, m or u; false: it is neither.
bool read_time_left(std::string_view text, Time& left) {
  if (text.size() < 2) return false;
  const char unit = text.back();
  std::uint64_t value = 0;
  if ((unit != 'm' && unit != 'u') || !http::read_number(text.substr(0, text.size() - 1), value))
    return false;
  constexpr std::uint64_t kMost = std::uint64_t{1} << 40;
  if (value > kMost) return false;
  left = unit == 'm' ? static_cast<Time>(value) * (kSecond / 1000)
                     : static_cast<Time>(value) / (1000000 / kSecond);
  return true;
}

// One of the figures in `name=value,name=value`.
double fact(std::string_view facts, std::string_view name, double otherwise) {
  while (!facts.empty()) {
    const std::size_t comma = std::min(facts.find(','), facts.size());
    const std::string_view one = facts.substr(0, comma);
    facts.remove_prefix(std::min(comma + 1, facts.size()));
    const std::size_t equals = one.find('=');
    if (equals == std::string_view::npos || one.substr(0, equals) != name) continue;
    const std::string value(one.substr(equals + 1));
    char* end = nullptr;
    const double number = std::strtod(value.c_str(), &end);
    if (end != value.c_str()) return number;
  }
  return otherwise;
}

}  // namespace

// --- Writers ---

void Writers::start() {
  // Two, so that one client that takes nothing does not keep the others waiting.
  for (int i = 0; i < 2; ++i) start_thread([this] { run(); });
}

void Writers::write(std::shared_ptr<ClientConnection> client, std::string rest, bool last) {
  const std::lock_guard lock(mutex_);
  work_.push_back({std::move(client), std::move(rest), last});
  added_.notify_one();
}

void Writers::stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  added_.notify_all();
}

void Writers::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    added_.wait(lock, [this] { return stopped_ || !work_.empty(); });
    if (work_.empty()) return;
    const Work work = std::move(work_.front());
    work_.pop_front();
    lock.unlock();
    work.client->write_rest(work.rest, work.last);
    lock.lock();
  }
}

// --- The reducer's and the writers' side ---

ClientConnection::ClientConnection(Id id, Socket socket, std::string peer, NodeContext& world)
    : id_(id), socket_(std::move(socket)), peer_(std::move(peer)), world_(world) {
  socket_.limit_sending(kMostSending);
}

// --- How a connection ends ---
//
// One order for all: what has come is looked at under the mutex, then our side ends (end_sending), and from
// then on nothing that is read is handed in: its client saw the end and hands it in again elsewhere. What
// came behind our end of reading used to be sent on, and its client had gone to another node. The thread
// reads on without keeping it, until the client's end or for a short while (linger), as a close over unread
// bytes is a reset that takes along what the client has not read yet. Where the descriptor is needed at once
// it does not wait: nothing is unanswered there.

// Whether anything has come that is not part of what is being served. Under the mutex, between submissions or
// while one is open.
bool ClientConnection::at_hand() const {
  char byte;
  return !carry_.empty() || socket_.read(&byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void ClientConnection::end_sending(Reason why) {
  if (phase_ == Phase::kMoved) return;
  socket_.shut(SHUT_WR);
  phase_ = Phase::kEnded;
  ended_for_ = why;
}

void ClientConnection::end_if_resting() {
  if (phase_ == Phase::kResting && !at_hand()) end_sending(Reason::kIdle);
}

void ClientConnection::close_when_idle(bool finishes) {
  const std::lock_guard lock(mutex_);
  closes_ = true;
  end_if_resting();
  if (finishes) return;
  cut_ = cut_ || phase_ == Phase::kReading;
  // Its descriptor is needed: the thread is woken, and waits for nothing.
  if (phase_ == Phase::kReading || phase_ == Phase::kEnded) socket_.shut(SHUT_RD);
}

void ClientConnection::end_now(bool finishes) {
  const std::lock_guard lock(mutex_);
  closes_ = true;
  end_if_resting();
  cut_ = cut_ || (phase_ == Phase::kReading && !finishes);
  if (phase_ == Phase::kEnded) socket_.shut(SHUT_RD);  // the thread still waits for the client's end
}

void ClientConnection::answer(int status, std::string_view extra, const PayloadRef& result, bool closes,
                              bool at_once, Writers& writers) {
  bool last;
  {
    const std::lock_guard lock(mutex_);
    closes_ = closes_ || closes;
    last = at_once || !keep_alive_ || (closes_ && !at_hand());
  }
  const std::string_view body = result ? static_cast<const Result&>(*result).text : std::string_view();
  std::string head;
  http::Writer writer(head);
  writer.answer(status).field("Content-Length", std::to_string(body.size()));
  if (last) writer.field("Connection", "close");
  head.append(extra);
  writer.end();
  const long sent = socket_.write_some(head, body);
  if (sent < 0) {
    socket_.shut(SHUT_RDWR);
    return answered(true);
  }
  const std::size_t done = static_cast<std::size_t>(sent);
  if (done == head.size() + body.size()) return answered(last);
  std::string rest(head.substr(std::min(done, head.size())));
  rest.append(body.substr(done - std::min(done, head.size())));
  writers.write(shared_from_this(), std::move(rest), last);
}

void ClientConnection::write_rest(std::string_view rest, bool last) {
  const bool written = socket_.write(rest, {});
  if (!written) socket_.shut(SHUT_RDWR);
  answered(last || !written);
}

void ClientConnection::answered(bool last) {
  const std::lock_guard lock(mutex_);
  if (phase_ != Phase::kOpen) return;
  // What came behind it has been read: it is the beginning of the next one.
  phase_ = carry_.empty() ? Phase::kResting : Phase::kReading;
  if (last)
    end_sending(Reason::kAnsweredLast);
  else if (closes_)  // told so since the answer was worded
    end_if_resting();
  answered_.notify_all();
}

// Its own thread, woken, then sees it at once.
std::function<bool()> ClientConnection::left_check() {
  return [client = weak_from_this()] {
    const std::shared_ptr<ClientConnection> one = client.lock();
    if (!one || !one->socket_.peer_closed()) return !one;
    const std::lock_guard lock(one->mutex_);
    one->answered_.notify_all();
    return true;
  };
}

void ClientConnection::shut() {
  const std::lock_guard lock(mutex_);
  if (phase_ != Phase::kMoved) socket_.shut(SHUT_RDWR);
}

void ClientConnection::moved() {
  const std::lock_guard lock(mutex_);
  phase_ = Phase::kMoved;
  answered_.notify_all();
}

Time ClientConnection::arrival_of_last_bytes() const {
  return now() - socket_.since_last_bytes().count() * kSecond / 1000000;
}

void ClientConnection::go_on(bool fresh, Time opened, bool keep_alive, bool open, std::string carry) {
  fresh_ = fresh;
  opened_ = opened;
  keep_alive_ = keep_alive;
  carry_ = std::move(carry);
  if (!carry_.empty()) came_ = arrival_of_last_bytes();
  const std::lock_guard lock(mutex_);
  if (open) phase_ = Phase::kOpen;
}

// --- The thread's side ---

Reason ClientConnection::run() {
  Reason reason = Reason::kPeerClosed;
  bool open;
  {
    const std::lock_guard lock(mutex_);
    open = phase_ == Phase::kOpen;
  }
  if (!open || await_answer(reason))
    while (serve_one(reason)) {
    }
  if (lingers_) linger();  // by now it holds no buffer
  return reason;
}

void ClientConnection::wait_until(Time then) {
  socket_.limit_reading(Milliseconds(std::max<Time>(1, (then - now()) / (kSecond / 1000))));
}

// Where a wait can be ended by a handover it has been waited already.
int ClientConnection::peeking() const {
  return world_.parting.enabled() ? MSG_PEEK | MSG_DONTWAIT : MSG_PEEK;
}

// Another process of this node serves it from now on.
bool ClientConnection::move_idle(Reason& reason) {
  Socket socket = socket_.duplicate();
  const std::lock_guard lock(mutex_);
  if (closes_ || phase_ != Phase::kResting || !socket.is_open()) return false;
  phase_ = Phase::kMoved;
  world_.successor->client_moves(std::move(socket), fresh_, now() - opened_);
  reason = Reason::kMoved;
  return true;
}

// It has said nothing for too long: unless it has by now.
bool ClientConnection::silent_end() {
  const std::lock_guard lock(mutex_);
  if (phase_ == Phase::kResting && at_hand()) return false;
  end_sending(Reason::kSilent);
  return true;
}

// Leaves it where it is: what is not read yet may still be left to the client.
bool ClientConnection::wait_for_first_byte(Reason& reason) {
  char first;
  for (bool stays = false;;) {
    const Time until = fresh_ ? opened_ + kMostSilence : now() + kIdleLookUp;
    if (!stays && world_.parting.told_before(socket_, steady_time(until))) {
      if (move_idle(reason)) return false;
      stays = true;
    }
    wait_until(until);
    const long n = socket_.read(&first, 1, stays ? MSG_PEEK : peeking());
    if (n > 0) return true;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      // Looked at first: the thread may have begun late, and a whole submission be there.
      if (!fresh_ || now() < until || !silent_end()) continue;
      lingers_ = true;
      reason = Reason::kSilent;
      return false;
    }
    const std::lock_guard lock(mutex_);
    reason = phase_ == Phase::kEnded ? ended_for_ : n == 0 ? Reason::kPeerClosed : Reason::kPeerBroke;
    return false;
  }
}

bool ClientConnection::begin_reading(Reason& reason) {
  const std::lock_guard lock(mutex_);
  if (phase_ == Phase::kEnded) {
    lingers_ = true;
    reason = ended_for_;
    return false;
  }
  phase_ = Phase::kReading;
  return true;
}

bool ClientConnection::serve_one(Reason& reason) {
  if ((carry_.empty() && !wait_for_first_byte(reason)) || !begin_reading(reason)) return false;
  auto submission = std::make_shared<ClientRequest>();
  submission->buffer = world_.submissions.take();
  if (!submission->buffer) {
    tell_turned_away();
    return reject(503, Reason::kNoRoom, reason);
  }
  const std::size_t carried = carry_.size();
  std::memcpy(submission->buffer.data(), carry_.data(), carried);
  carry_.clear();
  // A reload while it is being written changes nothing for it: its client wrote it under these.
  const std::shared_ptr<const Terms> terms = world_.terms.read();
  return read_submission(submission, carried, reason) && hand_in(std::move(submission), *terms, reason);
}

bool ClientConnection::read_more(ClientRequest& submission, std::size_t& size, Time until, Reason& reason) {
  // How often it is looked whether what is half written is to be cut.
  constexpr Time kLook = kSecond / 20;
  for (;;) {
    wait_until(std::min(until, now() + kLook));
    const long n = socket_.read(submission.buffer.data() + size, Buffer::kSize - size);
    if (n > 0) {
      size += static_cast<std::size_t>(n);
      came_ = arrival_of_last_bytes();
      return true;
    }
    const int error = errno;
    if (was_cut()) return reject(503, Reason::kIdle, reason);
    if (n == 0) return reject(400, Reason::kPeerClosed, reason);  // only its sending may have ended
    if (error != EAGAIN && error != EWOULDBLOCK) {
      reason = Reason::kPeerBroke;
      return false;
    }
    if (now() >= until) return reject(408, Reason::kSilent, reason);
  }
}

bool ClientConnection::was_cut() {
  const std::lock_guard lock(mutex_);
  return cut_;
}

bool ClientConnection::read_submission(const std::shared_ptr<ClientRequest>& submission, std::size_t carried,
                                       Reason& reason) {
  ClientRequest& s = *submission;
  char* const data = s.buffer.data();
  const Time until = (fresh_ ? opened_ : now()) + kMostReading;
  std::size_t size = carried;
  http::Progress progress = http::Progress::kMore;
  for (;;) {
    if (size > 0) progress = s.head.read({data, size});
    if (progress == http::Progress::kBad) return reject(400, Reason::kBadMessage, reason);
    if (progress == http::Progress::kHeadTooLarge) return reject(431, Reason::kTooLarge, reason);
    if (progress == http::Progress::kBodyTooLarge) return reject(413, Reason::kTooLarge, reason);
    if (progress == http::Progress::kDone) break;
    if (!read_more(s, size, until, reason)) return false;
  }
  const std::size_t start = s.head.size();
  if (size == start && http::same_name(s.head.field("Expect"), "100-continue"))
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
    size = raw = content;  // all that came is taken
    if (size == Buffer::kSize) return reject(413, Reason::kTooLarge, reason);
    if (!read_more(s, size, until, reason)) return false;
  }
  s.body = {data + start, content - start};
  carry_.assign(data + raw, size - raw);
  return true;
}

// Its time counts from when its last byte came in: it may have waited to be accepted, behind another one, or
// for a node that was held up.
bool ClientConnection::hand_in(std::shared_ptr<ClientRequest> submission, const Terms& terms,
                               Reason& reason) {
  const http::Head& head = submission->head;
  const std::string_view path = head.target.substr(0, head.target.find('?'));
  keep_alive_ = head.keep_alive;
  fresh_ = false;
  // Twice, and two readers could take two different ones.
  for (const char* const used :
       {"Host", "X-Correlation-Id", "X-Account", "X-Time-Left", "X-Facts", "Idempotency-Key"})
    if (head.count(used) > 1) return reject(400, Reason::kBadMessage, reason);
  if (head.method == "GET" && path == "/healthz") {
    std::string out;
    http::Writer writer(out);
    // Whoever only asks and stays holds a thread and a descriptor for nothing.
    writer.answer(200).field("Connection", "close").body("");
    return answer_last(out, Reason::kAnsweredLast, reason);
  }
  if (head.method != "POST") return reject(405, Reason::kBadMessage, reason);
  const std::string_view first = path.substr(1, std::min(path.find('/', 1), path.size()) - 1);
  const int use_case = terms.find_use_case(first);
  if (use_case < 0) return reject(404, Reason::kBadMessage, reason);
  Time left = 0;
  if (head.field("X-Correlation-Id").empty() || !read_time_left(head.field("X-Time-Left"), left))
    return reject(400, Reason::kBadMessage, reason);
  if (terms.requires_key[static_cast<std::size_t>(use_case)] && head.field("Idempotency-Key").empty())
    return reject(400, Reason::kBadMessage, reason);
  // What the request is about: the last part of the path, where there is one behind the use case.
  const std::size_t last = path.rfind('/');
  const std::uint64_t key = last > 0 && last + 1 < path.size() ? stable_hash(path.substr(last + 1)) : 0;
  const int width = std::max(1, static_cast<int>(std::min(fact(head.field("X-Facts"), "slots", 1), 1e6)));
  if (!open_submission()) return reject(503, Reason::kIdle, reason);
  submission->client_left = left_check();
  std::string name(head.field("X-Correlation-Id")), idempotency_key(head.field("Idempotency-Key"));
  world_.reducer.post([&world = world_, id = id_, name = std::move(name),
                       idempotency_key = std::move(idempotency_key), use_case, due = came_ + left, width, key,
                       payload = PayloadRef(std::move(submission))](Time now) {
    world.node->request_arrived(now, id, name, use_case, due, 0, width, payload, key, idempotency_key);
  });
  return await_answer(reason);
}

// From then on it is owed an answer. Not where it was cut meanwhile.
bool ClientConnection::open_submission() {
  const std::lock_guard lock(mutex_);
  if (cut_) return false;
  phase_ = Phase::kOpen;
  return true;
}

// Until its answer, its move, or then. False: the client has left, which no read shows behind bytes that it
// sent ahead. It was launched, and launched again, all that time.
bool ClientConnection::wait_behind_bytes(std::unique_lock<std::mutex>& lock, Clock::time_point then) {
  // Such a client is to be seen to have left well within 0.3 s.
  constexpr Milliseconds kLook{50};
  while (phase_ == Phase::kOpen && Clock::now() < then) {
    if (socket_.peer_closed()) return false;
    answered_.wait_for(lock, kLook);
  }
  return true;
}

// Stays in a read, so that a client that goes away is seen.
bool ClientConnection::await_answer(Reason& reason) {
  // How long a handover may take, as a launch may have to connect and to be written first.
  constexpr std::chrono::seconds kMostHandover{2};
  char byte;
  wait_until(now() + kLookUp);
  for (bool stays = false;;) {
    bool left = false;
    if (!stays && carry_.empty() && world_.parting.told_before(socket_, steady_time(now() + kLookUp))) {
      std::unique_lock lock(mutex_);
      left = !wait_behind_bytes(lock, Clock::now() + kMostHandover);
      stays = phase_ == Phase::kOpen;
    }
    const int flags = stays ? MSG_PEEK : peeking();
    const long n = left ? 0 : carry_.empty() ? socket_.read(&byte, 1, flags) : 1;
    const bool waiting = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    std::unique_lock lock(mutex_);
    if (!left && n > 0) left = !wait_behind_bytes(lock, Clock::time_point::max());  // the answer comes first
    const bool open = phase_ == Phase::kOpen;
    if (phase_ == Phase::kMoved) {
      reason = Reason::kMoved;
      return false;
    }
    if (phase_ == Phase::kEnded) {
      reason = ended_for_;
      lingers_ = true;
      return false;
    }
    if (left || (!waiting && n <= 0)) {
      reason = open ? Reason::kLeftWhileOpen : Reason::kPeerClosed;
      return false;
    }
    if (!open) return true;
  }
}

// Nothing was read for want of a buffer: the first bytes tell of which use case it was.
void ClientConnection::tell_turned_away() {
  char bytes[128];
  std::string_view start = carry_;
  if (carry_.empty()) {
    const long n = socket_.read(bytes, sizeof bytes, MSG_PEEK | MSG_DONTWAIT);
    start = {bytes, static_cast<std::size_t>(std::max(n, 0L))};
  }
  constexpr std::string_view kMethod = "POST /";
  if (start.substr(0, kMethod.size()) != kMethod) return;
  start.remove_prefix(kMethod.size());
  const int use_case = world_.terms.read()->find_use_case(start.substr(0, start.find_first_of("/? ")));
  if (use_case < 0) return;
  world_.reducer.post([&world = world_, use_case](Time) { world.node->request_shed_unread(use_case); });
}

bool ClientConnection::reject(int status, Reason why, Reason& reason) {
  std::string out;
  http::Writer(out).answer(status).field("Connection", "close").body("");
  return answer_last(out, why, reason);
}

// Worded here, for what is not handed in.
bool ClientConnection::answer_last(const std::string& bytes, Reason why, Reason& reason) {
  reason = socket_.write(bytes, {}) ? why : Reason::kSendFailed;
  lingers_ = true;
  const std::lock_guard lock(mutex_);
  end_sending(reason);
  return false;
}

bool ClientConnection::turn_away(Reason& reason) {
  if (lingers_) return !drop_what_comes(MSG_DONTWAIT) || now() >= lingers_until_;
  {
    const std::lock_guard lock(mutex_);
    if (phase_ == Phase::kOpen) return false;  // its answer is on its way, and the reducer's
    if (phase_ == Phase::kEnded) {
      reason = ended_for_;
      return true;
    }
  }
  char first;
  const long n = carry_.empty() ? socket_.read(&first, 1, MSG_PEEK | MSG_DONTWAIT) : 1;
  const bool nothing_yet = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  lingers_until_ = now() + kLinger;
  if (n > 0) {
    tell_turned_away();
    reject(503, Reason::kNoThread, reason);
    return false;
  }
  if (!nothing_yet) {
    reason = n == 0 ? Reason::kPeerClosed : Reason::kPeerBroke;
    return true;
  }
  if (now() < opened_ + kMostSilence || !silent_end()) return false;
  reason = Reason::kSilent;
  lingers_ = true;
  return false;
}

// The kernel drops the bytes without copying them: 60 MB of them cost others their part of the core. False:
// its client has ended its side too, or the connection is broken.
bool ClientConnection::drop_what_comes(int flags) const {
  constexpr std::size_t kPart = 1024 * 1024;
  const long n = socket_.read(nullptr, kPart, MSG_TRUNC | flags);
  return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

// Our side has ended.
void ClientConnection::linger() {
  const Time until = now() + kLinger;
  wait_until(until);
  while (now() < until && drop_what_comes(0)) {
  }
}

}  // namespace canvasstage::net
