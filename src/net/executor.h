// A connection to an executor. Its thread waits for a launch, connects, writes, reads to the end of the
// answer and tells the reducer what it saw; then it waits for the next.
#pragma once

#include <array>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "core/effects.h"
#include "net/log.h"
#include "net/socket.h"
#include "net/world.h"

namespace canvasstage::net {

// How far a launch's answer has been read, and the connection that the rest comes on.
struct ReadState final : Payload {
  mutable Socket socket;  // whoever goes on takes it
  bool has_head = false;  // then `status` is 200, and `bytes` the beginning of a line
  bool keep_alive = false, reused = false;
  std::array<std::uint64_t, 5> place{};  // in the body
  std::string bytes;
};

class ExecutorConnection {
 public:
  ExecutorConnection(NodeContext& world, Milliseconds connect_within)
      : world_(world), connect_within_(connect_within) {}
  void run();  // the thread's

  // The reducer's. One launch at a time; the next one once the last has ended.
  // `write_by`: one that is not being written by then is not written at all. `recorded`: nor is one before
  // its record was told to be written.
  void launch(Id id, const std::string& address, PayloadRef submission, Time give_up_at,
              Time write_by = kNever, bool recorded = false);
  // From any thread: nothing more is waited for where the record of that launch is concerned.
  void record_written(Id id);
  // It could not be written: that launch is not to be sent.
  void record_failed(Id id);
  // Gives it up unless its first byte may have gone.
  void withdraw();
  // Goes on where another process stopped, or stands free with its connection.
  void go_on(Id id, const std::string& address, PayloadRef submission,
             std::shared_ptr<const ReadState> reading);
  void stand_free(Id id, const std::string& address, Socket socket);
  // Its connection, if it stands free; it ends.
  Socket release();
  void give_up();
  bool still_open();

 private:
  struct Work {
    Id id = 0;
    std::string address;
    std::shared_ptr<const ClientRequest> submission;
    Time give_up_at = 0, write_by = 0;
    std::shared_ptr<const ReadState> reading = nullptr;
    bool recorded = false;
  };
  struct Ending {
    Outcome outcome = Outcome::kConnectionLost;
    bool told = false;    // the reducer knows
    bool kept = false;    // the connection can carry another
    bool whole = false;   // the answer was read to its end
    bool reused = false;  // over a connection that had stood free
    bool parked = false;  // another process reads the rest
    Reason reason = Reason::kPeerBroke;
  };
  void serve(Ending& ending);
  bool connect(Ending& ending);
  bool stale() const;
  void pause_before_next_try();
  bool was_given_up();
  bool client_left() const;
  void end();  // under the lock: its socket is shut, and its thread sees it
  void wait_for_record();
  bool write(Ending& ending);
  void read_answer(Ending& ending, std::string_view begun = {});
  void read_on(Ending& ending);
  Buffer wait_for_buffer();
  void park(bool has_head, bool keep_alive, const http::BodyReader& reader, std::string_view bytes,
            Ending& ending);
  bool read_more(char* data, std::size_t room, std::size_t& size, Ending& ending);
  void read_body(bool keep_alive, http::BodyReader& reader, Buffer& buffer, std::size_t start,
                 std::size_t raw, std::size_t size, Ending& ending);
  void read_tail(http::BodyReader& reader, Ending& ending);
  void take_line(std::string_view line, bool kept, Buffer& buffer, Ending& ending);
  void drop_socket(Reason reason);
  void tell_end(Outcome outcome, PayloadRef result, bool kept, double free_slots, Ending& ending);

  NodeContext& world_;
  const Milliseconds connect_within_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Socket socket_;
  bool given_up_ = false, idle_ = false;
  bool writing_ = false;   // a byte of the launch may have gone
  Id record_written_ = 0;  // the last launch whose record was
  Id record_failed_ = 0;   // the last one whose record could not be
  std::optional<Work> next_;
  Work work_;                     // the thread's own, as what follows
  Clock::time_point read_until_;  // of the answer that is being read
  bool may_park_ = false;
};

}  // namespace canvasstage::net
