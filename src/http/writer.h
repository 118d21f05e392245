// Writes HTTP/1.1 messages to a string. Does no I/O.
#pragma once

#include <string>
#include <string_view>

namespace canvasstage::http {

// Appends the parts of one message to `out`, in the order of the calls: request() or answer(), field() for
// each header field, then body() or end(). Names and values are not checked.
class Writer {
 public:
  explicit Writer(std::string& out) : out_(out) {}
  Writer& request(std::string_view method, std::string_view target);
  Writer& answer(int status);
  Writer& field(std::string_view name, std::string_view value);
  // Adds Content-Length, ends the head and appends the content.
  void body(std::string_view content);
  // Ends the head of a message without a body, or with one that is sent separately.
  void end();

 private:
  std::string& out_;
};

// Returns the reason phrase of a status that the node uses; "Other" for any other status.
std::string_view reason_phrase(int status);

}  // namespace canvasstage::http
