// A child process that is told lines over its standard input and tells lines over its output.
#pragma once

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "standins/loop.h"

namespace canvasstage::lab {

// What to start: no shell stands between.
struct ChildCommand {
  std::string program;
  std::vector<std::string> arguments;    // behind the program's name
  std::vector<std::string> environment;  // NAME=value, and nothing else
};

class ChildProcess {
 public:
  // Starts it; `told` is called from the loop with each line of its output and its errors. Throws BadStandin
  // where the program cannot be started.
  ChildProcess(Loop& loop, const ChildCommand& command, std::function<void(const std::string& line)> told);
  ChildProcess(const ChildProcess&) = delete;
  ~ChildProcess();  // kills it and waits for its end

  void tell(const std::string& line) const;
  void send_signal(int signal) const;
  // SIGKILL, without waiting for its end: several can lose power in one moment.
  void kill() const;
  pid_t pid() const { return pid_; }
  // Waits for its end and says how it ended; negative: by that signal.
  int exit_status();
  // Its output has ended.
  bool ended() const { return ended_; }
  // What it wrote before it was killed may still be in the pipe.
  void read_output();

 private:
  Loop& loop_;
  std::function<void(const std::string&)> told_;
  std::string rest_;
  net::Socket input_, output_;
  pid_t pid_ = -1;
  bool ended_ = false;
  std::optional<int> status_;  // once it was waited for
};

}  // namespace canvasstage::lab
