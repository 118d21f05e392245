#include "http/writer.h"

namespace canvasstage::http {

std::string_view reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    default:
      return "Other";
  }
}

Writer& Writer::request(std::string_view method, std::string_view target) {
  out_.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  return *this;
}

Writer& Writer::answer(int status) {
  out_.append("HTTP/1.1 ")
      .append(std::to_string(status))
      .append(" ")
      .append(reason_phrase(status))
      .append("\r\n");
  return *this;
}

Writer& Writer::field(std::string_view name, std::string_view value) {
  out_.append(name).append(": ").append(value).append("\r\n");
  return *this;
}

void Writer::body(std::string_view content) {
  field("Content-Length", std::to_string(content.size()));
  end();
  out_.append(content);
}

void Writer::end() {
  out_.append("\r\n");
}

}  // namespace canvasstage::http
