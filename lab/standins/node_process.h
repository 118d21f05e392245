// A real node as a child process, with its configuration, its log and what the system counts of it.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "standins/loop.h"

namespace canvasstage::lab {

class NodeProcess {
 public:
  // Starts the program with this content as its configuration; throws BadStandin where it cannot.
  NodeProcess(Loop& loop, const std::string& program, const std::string& configuration);
  NodeProcess(const NodeProcess&) = delete;
  ~NodeProcess();  // kills it
  void reload(const std::string& configuration);

  // How many lines of its log hold these words; lines about the ends of connections are not kept.
  int logged(const std::string& words) const;
  // The last word of the last such line: an address.
  std::string last_word(const std::string& words) const;
  bool ended() const { return ended_; }
  std::string log() const;

  double cpu_seconds() const;  // of the whole process since its start (CLOCK_PROCESS_CPUTIME_ID)
  double memory_mb() const;    // resident, MiB (VmRSS of /proc/PID/status)
  double threads() const;      // of /proc/PID/status
  double descriptors() const;  // entries of /proc/PID/fd

 private:
  void read_log();
  void write_configuration(const std::string& content) const;
  double status(const std::string& field) const;
  Loop& loop_;
  std::string folder_, line_;
  std::vector<std::string> notes_;
  net::Socket log_;
  pid_t pid_ = -1;
  bool ended_ = false;
};

}  // namespace canvasstage::lab
