// Writes HTTP/1.1 messages into a string. No I/O.
#pragma once

#include <string>
#include <string_view>

namespace canvasstage::http {

class Writer {
 public:
  explicit Writer(std::string& out) : out_(out) {}
  Writer& request(std::string_view method, std::string_view target);
  Writer& answer(int status);
  Writer& field(std::string_view name, std::string_view value);
  // Ends the head; the body's length goes with it.
  void body(std::string_view content);
  void end();

 private:
  std::string& out_;
};

std::string_view reason(int status);

}  // namespace canvasstage::http
