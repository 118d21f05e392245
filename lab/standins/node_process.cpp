#include "standins/node_process.h"

#include <signal.h>
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace canvasstage::lab {

NodeProcess::NodeProcess(Loop& loop, const std::string& program, const std::string& configuration,
                         const std::vector<std::string>& environment)
    : directory_("/tmp/canvasstage-lab-XXXXXX") {
  if (mkdtemp(directory_.data()) == nullptr)
    throw StandinError("cannot create a directory for the configuration");
  write_configuration(configuration);
  ChildCommand command{program, {}, {"NODE_CONFIG=" + directory_ + "/config.json"}};
  command.environment.insert(command.environment.end(), environment.begin(), environment.end());
  process_ = std::make_unique<ChildProcess>(loop, command, [this](const std::string& line) {
    if (line.find(" end side=") == std::string::npos) log_lines_.push_back(line);
  });
}

NodeProcess::~NodeProcess() {
  process_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

void NodeProcess::write_configuration(const std::string& content) const {
  std::ofstream(directory_ + "/config.json") << content;
}

void NodeProcess::reload(const std::string& configuration) {
  write_configuration(configuration);
  process_->send_signal(SIGHUP);
}

int NodeProcess::logged(const std::string& text) const {
  return static_cast<int>(std::count_if(log_lines_.begin(), log_lines_.end(), [&](const std::string& line) {
    return line.find(text) != std::string::npos;
  }));
}

std::string NodeProcess::last_word(const std::string& text) const {
  for (auto line = log_lines_.rbegin(); line != log_lines_.rend(); ++line)
    if (line->find(text) != std::string::npos) return line->substr(line->rfind(' ') + 1);
  return "";
}

std::string NodeProcess::log() const {
  std::string text;
  for (const std::string& line : log_lines_) text += line + "\n";
  return text;
}

double NodeProcess::cpu_seconds() const {
  clockid_t clock;
  timespec cpu_time{};
  if (::clock_getcpuclockid(process_->pid(), &clock) != 0 || ::clock_gettime(clock, &cpu_time) != 0) return 0;
  return static_cast<double>(cpu_time.tv_sec) + static_cast<double>(cpu_time.tv_nsec) * 1e-9;
}

double NodeProcess::status(const std::string& field) const {
  std::ifstream file("/proc/" + std::to_string(process_->pid()) + "/status");
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
  const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process_->pid()) + "/fd",
                                                    failed);
  return failed ? 0 : static_cast<double>(std::distance(begin(entries), end(entries)));
}

}  // namespace canvasstage::lab
