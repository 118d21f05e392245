#include "standins/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>

namespace canvasstage::lab {
namespace {

std::vector<char*> pointers_to(std::vector<std::string>& words) {
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (std::string& word : words) pointers.push_back(word.data());
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

ChildProcess::ChildProcess(Loop& loop, const ChildCommand& command,
                           std::function<void(const std::string& line)> told)
    : loop_(loop), told_(std::move(told)) {
  if (::access(command.program.c_str(), X_OK) != 0) throw BadStandin(command.program + ": no program");
  int in[2], out[2];
  if (::pipe2(in, O_CLOEXEC) != 0) throw BadStandin("no pipe for the input");
  input_ = net::Socket(in[1]);
  const net::Socket input_end(in[0]);
  if (::pipe2(out, O_CLOEXEC) != 0) throw BadStandin("no pipe for the output");
  output_ = net::Socket(out[0]);
  const net::Socket output_end(out[1]);
  std::vector<std::string> words = {command.program};
  words.insert(words.end(), command.arguments.begin(), command.arguments.end());
  std::vector<std::string> variables = command.environment;
  const std::vector<char*> arguments = pointers_to(words), environment = pointers_to(variables);
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(input_end.fd(), 0);
    ::dup2(output_end.fd(), 1);
    ::dup2(output_end.fd(), 2);
    ::execve(command.program.c_str(), arguments.data(), environment.data());
    ::_exit(127);
  }
  if (pid_ < 0) throw BadStandin("no process");
  ::fcntl(output_.fd(), F_SETFL, O_NONBLOCK);
  loop_.watch(output_.fd(), [this] { read_output(); });
}

ChildProcess::~ChildProcess() {
  if (!ended_) loop_.forget(output_.fd());
  if (status_) return;
  kill();
  exit_status();
}

int ChildProcess::exit_status() {
  if (status_) return *status_;
  int status = 0;
  while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
  }
  status_ = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
  return *status_;
}

void ChildProcess::tell(const std::string& line) const {
  const std::string whole = line + "\n";
  for (std::size_t sent = 0; sent < whole.size();) {
    const ssize_t n = ::write(input_.fd(), whole.data() + sent, whole.size() - sent);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return;  // it has gone: its output's end tells of that
    sent += static_cast<std::size_t>(n);
  }
}

void ChildProcess::send_signal(int signal) const {
  if (!status_) ::kill(pid_, signal);
}

void ChildProcess::kill() const {
  send_signal(SIGKILL);
}

void ChildProcess::read_output() {
  if (ended_) return;
  char part[16384];
  ssize_t n;
  while ((n = ::read(output_.fd(), part, sizeof part)) > 0) {
    rest_.append(part, static_cast<std::size_t>(n));
    std::size_t from = 0;
    for (std::size_t end; (end = rest_.find('\n', from)) != std::string::npos; from = end + 1)
      if (end > from) told_(rest_.substr(from, end - from));
    rest_.erase(0, from);
  }
  if (n != 0) return;
  ended_ = true;
  loop_.forget(output_.fd());
}

}  // namespace canvasstage::lab
