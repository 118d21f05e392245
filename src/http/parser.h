// An incremental parser of HTTP/1.1 messages (RFC 9112) over the bytes in one contiguous buffer. Does no I/O.
// Objects are used by one thread at a time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace canvasstage::http {

// The largest body that the protocol between clients, nodes and executors allows.
constexpr std::size_t kMaxBodyBytes = 64 * 1024;
// A limit common among servers; the heads of this protocol have a few hundred bytes.
constexpr std::size_t kMaxHeadBytes = 8 * 1024;

// How far a message has been parsed, or why it was rejected.
enum class Progress { kMore, kDone, kBad, kHeadTooLarge, kBodyTooLarge };
// How the end of a body is found.
enum class Framing { kNone, kLength, kChunked, kUntilClose };

// Decodes the bytes of a body to its content. Decoding can be done in place, because the content is never
// longer than the bytes that it was decoded from.
class BodyReader {
 public:
  BodyReader() = default;
  // `length`: the size of the body in bytes; used with Framing::kLength only.
  BodyReader(Framing framing, std::size_t length);
  // Consumes the bytes of `in` that belong to the body and writes their content to `out`, which may be `in`.
  // Sets `taken` and `written` to the numbers of bytes consumed and produced. Returns kMore, kDone or kBad.
  Progress read(const char* in, std::size_t size, char* out, std::size_t& taken, std::size_t& written);
  bool done() const { return state_ == State::kDone; }
  // Returns the state of the reader, from which another reader can continue.
  std::array<std::uint64_t, 5> position() const;
  // Continues from a state that position() returned. Returns false, without any change, if the state is
  // invalid.
  bool resume_from(const std::array<std::uint64_t, 5>& position);

 private:
  enum class State {
    kData,
    kSize,
    kExtension,
    kSizeEnd,
    kChunk,
    kChunkReturn,
    kChunkEnd,
    kTrailer,
    kTrailerLine,
    kTrailerReturn,
    kDone
  };
  Progress read_frame(char c);

  State state_ = State::kDone;
  bool until_close_ = false;
  std::size_t remaining_ = 0;
  int size_digits_ = 0;
  std::size_t trailer_bytes_ = 0;
};

// The start line and the header fields of a message. The views refer to the bytes passed to the last read().
class Head {
 public:
  enum class Kind { kRequest, kAnswer };
  explicit Head(Kind kind) : kind_(kind) {}

  // Parses `bytes`, which has to hold everything received of the message so far. Scans only the new bytes
  // until the head is complete.
  Progress read(std::string_view bytes);
  std::size_t size() const { return size_; }  // size of the head in bytes, with the empty line

  std::string_view method, target;  // set if the head is of a request
  int status = 0;                   // set if the head is of an answer
  Framing framing = Framing::kNone;
  std::size_t length = 0;  // from Content-Length, in bytes
  bool keep_alive = true;
  // Returns the value of the first field with that name, compared without regard to case; empty if there is
  // none.
  std::string_view field(std::string_view name) const;
  std::size_t count(std::string_view name) const;  // number of fields with that name

 private:
  struct Field {
    std::string_view name, value;
  };
  bool read_start(std::string_view line);
  bool read_field(std::string_view line);
  bool determine_framing();

  Kind kind_;
  std::size_t scanned_ = 0, size_ = 0;
  bool http_1_0_ = false;
  std::array<Field, 48> fields_;  // twice as many as proxies on the way usually add
  std::size_t count_ = 0;
};

// Compares field names or values without regard to case (ASCII).
bool equal_ignoring_case(std::string_view a, std::string_view b);
// Returns whether a comma-separated list contains the name, compared without regard to case.
bool list_contains(std::string_view list, std::string_view name);
// Parses a decimal number. Returns false if the text is anything else or the number is too large.
bool read_number(std::string_view text, std::uint64_t& value);

}  // namespace canvasstage::http
