// A canvasstage node as a child process, with its configuration, its log and its resource usage.
#pragma once

#include <signal.h>

#include <memory>
#include <string>
#include <vector>

#include "standins/child_process.h"

namespace canvasstage::lab {

// Belongs to the loop's thread.
class NodeProcess {
 public:
  // Starts the program with the given content as its configuration file and additional environment variables
  // (NAME=value). Throws StandinError if the program cannot be started.
  NodeProcess(Loop& loop, const std::string& program, const std::string& configuration,
              const std::vector<std::string>& environment = {});
  NodeProcess(const NodeProcess&) = delete;
  ~NodeProcess();  // kills the process
  // Writes a new configuration and sends SIGHUP.
  void reload(const std::string& configuration);
  void kill() { process_->kill(); }
  void terminate() { process_->send_signal(SIGTERM); }
  // Stop and continue the process with SIGSTOP and SIGCONT.
  void pause() { process_->send_signal(SIGSTOP); }
  void resume() { process_->send_signal(SIGCONT); }

  // Number of log lines that contain the text. Lines about ended connections are not kept.
  int logged(const std::string& text) const;
  // The last word of the last line that contains the text, such as an address; empty if there is none.
  std::string last_word(const std::string& text) const;
  bool ended() const { return process_->ended(); }
  // Waits for the exit. Returns the exit code, or the negated number of the signal that ended the process.
  int exit_status() const { return process_->exit_status(); }
  std::string log() const;

  double cpu_seconds() const;  // CPU time of the process since its start (clock_getcpuclockid)
  double memory_mb() const;    // resident, MiB (VmRSS of /proc/PID/status)
  double threads() const;      // from /proc/PID/status
  double descriptors() const;  // entries of /proc/PID/fd

 private:
  void write_configuration(const std::string& content) const;
  double status(const std::string& field) const;
  std::string directory_;
  std::vector<std::string> log_lines_;
  std::unique_ptr<ChildProcess> process_;
};

}  // namespace canvasstage::lab
