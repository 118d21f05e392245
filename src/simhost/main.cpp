// The simulator host: runs the policy for the nodes of a simulation. Reads one batch of events per line from
// standard input and writes one reply per line to standard output. Exits with 1 on invalid input or a write
// error, with 2 on wrong arguments.
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <iostream>
#include <string>

#include "adapter.h"

namespace {

constexpr const char* kUsage =
    "usage: canvasstage_simhost [--help | --version]\n"
    "Reads batches of events from standard input, one JSON object a line, and writes one reply a line.\n";

bool write_all(std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = ::write(STDOUT_FILENO, text.data(), text.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return false;
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 2 && std::strcmp(argv[1], "--help") == 0) {
    std::cout << kUsage;
    return 0;
  }
  if (argc == 2 && std::strcmp(argv[1], "--version") == 0) {
    std::cout << "canvasstage_simhost " CANVASSTAGE_VERSION "\n";
    return 0;
  }
  if (argc != 1) {
    std::cerr << kUsage;
    return 2;
  }
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  canvasstage::simhost::Adapter adapter;
  std::string line;
  for (std::uint64_t line_number = 1; std::getline(std::cin, line); ++line_number) {
    try {
      if (!write_all(adapter.answer(line))) {
        std::cerr << "canvasstage_simhost: cannot write: " << std::strerror(errno) << '\n';
        return 1;
      }
    } catch (const canvasstage::BadInput& input) {
      std::cerr << "canvasstage_simhost: line " << line_number << ": " << input.what() << '\n';
      return 1;
    }
  }
  return 0;
}
