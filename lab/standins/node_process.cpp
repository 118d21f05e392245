#include "standins/node_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace canvasstage::lab {

NodeProcess::NodeProcess(Loop& loop, const std::string& program, const std::string& configuration)
    : loop_(loop), folder_("/tmp/canvasstage-lab-XXXXXX") {
  if (::access(program.c_str(), X_OK) != 0) throw BadStandin(program + ": no program");
  if (mkdtemp(folder_.data()) == nullptr) throw BadStandin("no folder for the configuration");
  write_configuration(configuration);
  int out[2];
  if (::pipe2(out, O_CLOEXEC) != 0) throw BadStandin("no pipe for the log");
  const std::string variable = "NODE_CONFIG=" + folder_ + "/config.json";
  char* const arguments[] = {const_cast<char*>(program.c_str()), nullptr};
  char* const environment[] = {const_cast<char*>(variable.c_str()), nullptr};
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(out[1], 1);
    ::dup2(out[1], 2);
    ::execve(program.c_str(), arguments, environment);
    ::_exit(127);
  }
  ::close(out[1]);
  log_ = net::Socket(out[0]);
  ::fcntl(out[0], F_SETFL, O_NONBLOCK);
  if (pid_ < 0) throw BadStandin("no process");
  loop_.watch(out[0], [this] { read_log(); });
}

NodeProcess::~NodeProcess() {
  loop_.forget(log_.fd());
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void NodeProcess::write_configuration(const std::string& content) const {
  std::ofstream(folder_ + "/config.json") << content;
}

void NodeProcess::reload(const std::string& configuration) {
  write_configuration(configuration);
  ::kill(pid_, SIGHUP);
}

void NodeProcess::read_log() {
  char part[16384];
  ssize_t n;
  while ((n = ::read(log_.fd(), part, sizeof part)) > 0) {
    line_.append(part, static_cast<std::size_t>(n));
    std::size_t from = 0;
    for (std::size_t end; (end = line_.find('\n', from)) != std::string::npos; from = end + 1)
      if (line_.compare(from, end - from, "") != 0 && line_.find(" end side=", from) >= end)
        notes_.push_back(line_.substr(from, end - from));
    line_.erase(0, from);
  }
  if (n != 0) return;
  ended_ = true;
  loop_.forget(log_.fd());
}

int NodeProcess::logged(const std::string& words) const {
  return static_cast<int>(std::count_if(notes_.begin(), notes_.end(), [&](const std::string& note) {
    return note.find(words) != std::string::npos;
  }));
}

std::string NodeProcess::last_word(const std::string& words) const {
  for (auto note = notes_.rbegin(); note != notes_.rend(); ++note)
    if (note->find(words) != std::string::npos) return note->substr(note->rfind(' ') + 1);
  return "";
}

std::string NodeProcess::log() const {
  std::string all;
  for (const std::string& note : notes_) all += note + "\n";
  return all;
}

double NodeProcess::cpu_seconds() const {
  clockid_t clock;
  timespec used{};
  if (::clock_getcpuclockid(pid_, &clock) != 0 || ::clock_gettime(clock, &used) != 0) return 0;
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
}

double NodeProcess::status(const std::string& field) const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(file, line);)
    if (line.starts_with(field + ":")) return std::strtod(line.c_str() + field.size() + 1, nullptr);
  return 0;
}

double NodeProcess::memory_mb() const {
  return status("VmRSS") / 1024;
}

double NodeProcess::threads() const {
  return status("Threads");
}

double NodeProcess::descriptors() const {
  std::error_code failed;
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(pid_) + "/fd", failed);
  return failed ? 0 : static_cast<double>(std::distance(begin(all), end(all)));
}

}  // namespace canvasstage::lab
