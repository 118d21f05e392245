// A real node as a child process, with its configuration, its log and what the system counts of it.
#pragma once

#include <signal.h>

#include <memory>
#include <string>
#include <vector>

#include "standins/child_process.h"

namespace canvasstage::lab {

class NodeProcess {
 public:
  // Starts the program with this content as its configuration and these further variables (NAME=value);
  // throws BadStandin where it cannot.
  NodeProcess(Loop& loop, const std::string& program, const std::string& configuration,
              const std::vector<std::string>& environment = {});
  NodeProcess(const NodeProcess&) = delete;
  ~NodeProcess();  // kills it
  void reload(const std::string& configuration);
  void kill() { process_->kill(); }
  void terminate() { process_->send_signal(SIGTERM); }
  // Holds it up where it stands, and lets it go on.
  void pause() { process_->send_signal(SIGSTOP); }
  void resume() { process_->send_signal(SIGCONT); }

  // How many lines of its log hold these words; lines about the ends of connections are not kept.
  int logged(const std::string& words) const;
  // The last word of the last such line: an address.
  std::string last_word(const std::string& words) const;
  bool ended() const { return process_->ended(); }
  // Of a process that ended: waits for it, and says how it ended; negative: by that signal.
  int exit_status() const { return process_->exit_status(); }
  std::string log() const;

  double cpu_seconds() const;  // of the whole process since its start (CLOCK_PROCESS_CPUTIME_ID)
  double memory_mb() const;    // resident, MiB (VmRSS of /proc/PID/status)
  double threads() const;      // of /proc/PID/status
  double descriptors() const;  // entries of /proc/PID/fd

 private:
  void write_configuration(const std::string& content) const;
  double status(const std::string& field) const;
  std::string folder_;
  std::vector<std::string> notes_;
  std::unique_ptr<ChildProcess> process_;
};

}  // namespace canvasstage::lab
