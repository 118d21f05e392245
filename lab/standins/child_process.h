// A child process that exchanges text lines with its parent over its standard input and output.
#pragma once

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "standins/loop.h"

namespace canvasstage::lab {

// The command is executed directly, without a shell.
struct ChildCommand {
  std::string program;
  std::vector<std::string> arguments;    // without argv[0]
  std::vector<std::string> environment;  // NAME=value; the whole environment of the child
};

// Belongs to the loop's thread.
class ChildProcess {
 public:
  // Starts the program. The loop calls `on_line` with each line of its standard output and standard error.
  // Throws StandinError if the program cannot be started.
  ChildProcess(Loop& loop, const ChildCommand& command, std::function<void(const std::string& line)> on_line);
  ChildProcess(const ChildProcess&) = delete;
  ~ChildProcess();  // kills the child and waits for its exit

  void tell(const std::string& line) const;
  void send_signal(int signal) const;
  // Sends SIGKILL without waiting for the exit, so that several processes can be killed at the same moment.
  void kill() const;
  pid_t pid() const { return pid_; }
  // Waits for the exit. Returns the exit code, or the negated number of the signal that ended the process.
  int exit_status();
  // The child has closed its output.
  bool ended() const { return ended_; }
  // Reads what is in the pipe. Output written before a kill may still be there.
  void read_output();

 private:
  Loop& loop_;
  std::function<void(const std::string&)> on_line_;
  std::string partial_line_;
  net::Socket input_, output_;
  pid_t pid_ = -1;
  bool ended_ = false;
  std::optional<int> status_;  // set once the exit has been waited for
};

}  // namespace canvasstage::lab
