#include "http/parser.h"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace canvasstage::http {
namespace {

bool is_token(char c) {
  static constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         kOthers.find(c) != std::string_view::npos;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return is_token(c); });
}

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

int hex(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  c = lower(c);
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

bool lists(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (same_name(trimmed(list.substr(0, comma)), name)) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

bool read_number(std::string_view text, std::uint64_t& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

// --- Body ---

BodyReader::BodyReader(Framing framing, std::size_t length) : left_(length) {
  if (framing == Framing::kChunked) state_ = State::kSize;
  if (framing == Framing::kUntilClose) until_close_ = true;
  if (until_close_ || (framing == Framing::kLength && length > 0)) state_ = State::kData;
}

std::array<std::uint64_t, 5> BodyReader::place() const {
  return {static_cast<std::uint64_t>(state_), until_close_ ? 1u : 0u, left_,
          static_cast<std::uint64_t>(digits_), trailer_};
}

bool BodyReader::go_on_from(const std::array<std::uint64_t, 5>& place) {
  if (place[0] > static_cast<std::uint64_t>(State::kDone) || place[1] > 1 || place[3] > 16) return false;
  state_ = static_cast<State>(place[0]);
  until_close_ = place[1] == 1;
  left_ = place[2];
  digits_ = static_cast<int>(place[3]);
  trailer_ = place[4];
  return true;
}

Progress BodyReader::read(const char* in, std::size_t size, char* out, std::size_t& taken,
                          std::size_t& written) {
  taken = written = 0;
  while (state_ != State::kDone && taken < size) {
    if (state_ != State::kData && state_ != State::kChunk) {
      const Progress progress = read_frame(in[taken++]);
      if (progress == Progress::kBad) return progress;
      continue;
    }
    const std::size_t n = until_close_ ? size - taken : std::min(size - taken, left_);
    std::memmove(out + written, in + taken, n);
    taken += n;
    written += n;
    if (until_close_) continue;
    left_ -= n;
    if (left_ == 0) state_ = state_ == State::kData ? State::kDone : State::kChunkReturn;
  }
  return state_ == State::kDone ? Progress::kDone : Progress::kMore;
}

Progress BodyReader::read_frame(char c) {
  constexpr int kMostDigits = 7;  // no chunk of ours comes near 256 MiB
  switch (state_) {
    case State::kSize:
      if (const int digit = hex(c); digit >= 0 && digits_ < kMostDigits) {
        left_ = left_ * 16 + static_cast<std::size_t>(digit);
        ++digits_;
        return Progress::kMore;
      }
      if (digits_ == 0) return Progress::kBad;
      if (c == '\r')
        state_ = State::kSizeEnd;
      else if (c == ';' || c == ' ' || c == '\t')
        state_ = State::kExtension;
      else
        return Progress::kBad;
      return Progress::kMore;
    case State::kExtension:
      if (c == '\n') return Progress::kBad;
      if (c == '\r') state_ = State::kSizeEnd;
      return Progress::kMore;
    case State::kSizeEnd:
      state_ = left_ > 0 ? State::kChunk : State::kTrailer;
      digits_ = 0;
      return c == '\n' ? Progress::kMore : Progress::kBad;
    case State::kChunkReturn:
      state_ = State::kChunkEnd;
      return c == '\r' ? Progress::kMore : Progress::kBad;
    case State::kChunkEnd:
      state_ = State::kSize;
      return c == '\n' ? Progress::kMore : Progress::kBad;
    case State::kTrailer:
      state_ = c == '\r' ? State::kTrailerReturn : State::kTrailerLine;
      break;
    case State::kTrailerLine:
      if (c == '\n') state_ = State::kTrailer;
      break;
    case State::kTrailerReturn:
      state_ = State::kDone;
      return c == '\n' ? Progress::kDone : Progress::kBad;
    default:
      return Progress::kBad;
  }
  return ++trailer_ > kMaxHeadBytes ? Progress::kBad : Progress::kMore;
}

// --- Head ---

Progress Head::read(std::string_view bytes) {
  static constexpr std::string_view kEnd = "\r\n\r\n";
  // What can never become a head is refused at once, not when time runs out.
  if (kind_ == Kind::kRequest && !bytes.empty() && !is_token(bytes[0])) return Progress::kBad;
  for (std::size_t at = bytes.find('\n', looked_); at != std::string_view::npos;
       at = bytes.find('\n', at + 1)) {
    if (at == 0 || bytes[at - 1] != '\r') return Progress::kBad;
    if (at >= 3 && bytes.substr(at - 3, 4) == kEnd) break;
  }
  const std::size_t from = looked_ < kEnd.size() ? 0 : looked_ - kEnd.size() + 1;
  const std::size_t end = bytes.find(kEnd, from);
  looked_ = bytes.size();
  if (end == std::string_view::npos)
    return bytes.size() > kMaxHeadBytes ? Progress::kHeadTooLarge : Progress::kMore;
  size_ = end + kEnd.size();
  if (size_ > kMaxHeadBytes) return Progress::kHeadTooLarge;
  std::string_view lines = bytes.substr(0, end + 2);
  bool first = true;
  while (!lines.empty()) {
    const std::size_t at = lines.find("\r\n");
    const std::string_view line = lines.substr(0, at);
    lines.remove_prefix(at + 2);
    // No stray line ends or zero bytes, which others may read differently.
    if (line.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos) return Progress::kBad;
    if (!first && count_ == fields_.size()) return Progress::kHeadTooLarge;
    if (!(first ? read_start(line) : read_field(line))) return Progress::kBad;
    first = false;
  }
  if (!settle_framing()) return Progress::kBad;
  return framing == Framing::kLength && length > kMaxBodyBytes ? Progress::kBodyTooLarge : Progress::kDone;
}

bool Head::read_start(std::string_view line) {
  static constexpr std::string_view kVersion = "HTTP/1.";
  const std::size_t space = line.find(' ');
  if (space == std::string_view::npos) return false;
  std::string_view version = line.substr(0, space);
  if (kind_ == Kind::kRequest) {
    method = line.substr(0, space);
    const std::size_t second = line.find(' ', space + 1);
    if (second == std::string_view::npos) return false;
    target = line.substr(space + 1, second - space - 1);
    version = line.substr(second + 1);
    if (!is_token(method) || target.empty() || target[0] != '/') return false;
    // Visible characters only: it is written out again as it came.
    if (!std::all_of(target.begin(), target.end(), [](char c) { return c > ' ' && c < 127; })) return false;
  } else {
    const std::string_view code = line.substr(space + 1, 3);
    std::uint64_t value = 0;
    if (code.size() != 3 || !read_number(code, value) || value < 100) return false;
    if (line.size() > space + 4 && line[space + 4] != ' ') return false;
    status = static_cast<int>(value);
  }
  if (version.size() != kVersion.size() + 1 || !version.starts_with(kVersion)) return false;
  http_1_0_ = version.back() == '0';
  return http_1_0_ || version.back() == '1';
}

bool Head::read_field(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return false;
  fields_[count_++] = {line.substr(0, colon), trimmed(line.substr(colon + 1))};
  return true;
}

bool Head::settle_framing() {
  bool has_length = false;
  bool chunked = false;
  for (std::size_t i = 0; i < count_; ++i) {
    const auto& [name, value] = fields_[i];
    if (same_name(name, "Content-Length")) {
      std::uint64_t n = 0;
      if (!read_number(value, n) || has_length) return false;
      has_length = true;
      length = n;
    } else if (same_name(name, "Transfer-Encoding")) {
      if (chunked || !same_name(value, "chunked")) return false;
      chunked = true;
    }
  }
  if (chunked && (has_length || http_1_0_)) return false;
  const std::string_view connection = field("Connection");
  keep_alive = http_1_0_ ? lists(connection, "keep-alive") : !lists(connection, "close");
  framing = chunked ? Framing::kChunked : has_length ? Framing::kLength : Framing::kNone;
  if (kind_ == Kind::kAnswer) {
    if (status < 200 || status == 204 || status == 304)
      framing = Framing::kNone;
    else if (framing == Framing::kNone)
      framing = Framing::kUntilClose;
    if (framing == Framing::kUntilClose) keep_alive = false;
  }
  return true;
}

std::size_t Head::count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(fields_.begin(),
                                                fields_.begin() + static_cast<std::ptrdiff_t>(count_),
                                                [&](const Field& f) { return same_name(f.name, name); }));
}

std::string_view Head::field(std::string_view name) const {
  for (std::size_t i = 0; i < count_; ++i)
    if (same_name(fields_[i].name, name)) return fields_[i].value;
  return {};
}

}  // namespace canvasstage::http
