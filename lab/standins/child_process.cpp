#include "standins/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>

namespace canvasstage::lab {
namespace {

std::vector<char*> pointers_to(std::vector<std::string>& strings) {
  std::vector<char*> pointers;
  pointers.reserve(strings.size() + 1);
  for (std::string& string : strings) pointers.push_back(string.data());
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

ChildProcess::ChildProcess(Loop& loop, const ChildCommand& command,
                           std::function<void(const std::string& line)> on_line)
    : loop_(loop), on_line_(std::move(on_line)) {
  if (::access(command.program.c_str(), X_OK) != 0)
    throw StandinError(command.program + ": not an executable file");
  int input_pipe[2], output_pipe[2];
  if (::pipe2(input_pipe, O_CLOEXEC) != 0) throw StandinError("cannot create the input pipe");
  input_ = net::Socket(input_pipe[1]);
  const net::Socket child_input(input_pipe[0]);
  if (::pipe2(output_pipe, O_CLOEXEC) != 0) throw StandinError("cannot create the output pipe");
  output_ = net::Socket(output_pipe[0]);
  const net::Socket child_output(output_pipe[1]);
  std::vector<std::string> argv = {command.program};
  argv.insert(argv.end(), command.arguments.begin(), command.arguments.end());
  std::vector<std::string> variables = command.environment;
  const std::vector<char*> arguments = pointers_to(argv), environment = pointers_to(variables);
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(child_input.fd(), 0);
    ::dup2(child_output.fd(), 1);
    ::dup2(child_output.fd(), 2);
    ::execve(command.program.c_str(), arguments.data(), environment.data());
    ::_exit(127);
  }
  if (pid_ < 0) throw StandinError("fork failed");
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
  const std::string bytes = line + "\n";
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t n = ::write(input_.fd(), bytes.data() + sent, bytes.size() - sent);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return;  // the child has exited, which the end of its output reports
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
  char buffer[16384];
  ssize_t n;
  while ((n = ::read(output_.fd(), buffer, sizeof buffer)) > 0) {
    partial_line_.append(buffer, static_cast<std::size_t>(n));
    std::size_t line_start = 0;
    for (std::size_t line_end; (line_end = partial_line_.find('\n', line_start)) != std::string::npos;
         line_start = line_end + 1)
      if (line_end > line_start) on_line_(partial_line_.substr(line_start, line_end - line_start));
    partial_line_.erase(0, line_start);
  }
  if (n != 0) return;
  ended_ = true;
  loop_.forget(output_.fd());
}

}  // namespace canvasstage::lab
