// An incremental HTTP/1.1 parser over bytes that stand in one buffer. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace canvasstage::http {

constexpr std::size_t kMaxBodyBytes = 64 * 1024;  // the protocol's limit
constexpr std::size_t kMaxHeadBytes = 8 * 1024;   // what common servers take; ours need a few hundred bytes

enum class Progress { kMore, kDone, kBad, kHeadTooLarge, kBodyTooLarge };
enum class Framing { kNone, kLength, kChunked, kUntilClose };

// Turns the bytes of a body into its content, in place: what comes out is never longer than what went in.
class BodyReader {
 public:
  BodyReader() = default;
  BodyReader(Framing framing, std::size_t length);
  // Takes from `in` what belongs to the body and writes its content to `out`, which may be `in`.
  Progress read(const char* in, std::size_t size, char* out, std::size_t& taken, std::size_t& written);
  bool done() const { return state_ == State::kDone; }
  // How far it has come, for another reader that goes on from there; false: that is none.
  std::array<std::uint64_t, 5> place() const;
  bool go_on_from(const std::array<std::uint64_t, 5>& place);

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
  std::size_t left_ = 0;
  int digits_ = 0;
  std::size_t trailer_ = 0;
};

// The start line and the header fields. The views point into the bytes given last.
class Head {
 public:
  enum class Kind { kRequest, kAnswer };
  explicit Head(Kind kind) : kind_(kind) {}

  // `bytes`: all of the message so far. Looks only at what is new until the head is whole.
  Progress read(std::string_view bytes);
  std::size_t size() const { return size_; }  // of the head, with its empty line

  std::string_view method, target;  // of a request
  int status = 0;                   // of an answer
  Framing framing = Framing::kNone;
  std::size_t length = 0;
  bool keep_alive = true;
  // The first field of that name, compared without case; empty: none.
  std::string_view field(std::string_view name) const;
  std::size_t count(std::string_view name) const;  // how often it stands there

 private:
  struct Field {
    std::string_view name, value;
  };
  bool read_start(std::string_view line);
  bool read_field(std::string_view line);
  bool settle_framing();

  Kind kind_;
  std::size_t looked_ = 0, size_ = 0;
  bool http_1_0_ = false;
  std::array<Field, 48> fields_;  // twice what proxies in between are wont to add
  std::size_t count_ = 0;
};

bool same_name(std::string_view a, std::string_view b);
// Whether a list of names with commas holds this one.
bool lists(std::string_view list, std::string_view name);
// A decimal number and nothing else; false: it is none, or too large.
bool read_number(std::string_view text, std::uint64_t& value);

}  // namespace canvasstage::http
