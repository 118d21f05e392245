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
    : folder_("/tmp/canvasstage-lab-XXXXXX") {
  if (mkdtemp(folder_.data()) == nullptr) throw BadStandin("no folder for the configuration");
  write_configuration(configuration);
  ChildCommand command{program, {}, {"NODE_CONFIG=" + folder_ + "/config.json"}};
  command.environment.insert(command.environment.end(), environment.begin(), environment.end());
  process_ = std::make_unique<ChildProcess>(loop, command, [this](const std::string& line) {
    if (line.find(" end side=") == std::string::npos) notes_.push_back(line);
  });
}

NodeProcess::~NodeProcess() {
  process_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void NodeProcess::write_configuration(const std::string& content) const {
  std::ofstream(folder_ + "/config.json") << content;
}

void NodeProcess::reload(const std::string& configuration) {
  write_configuration(configuration);
  process_->send_signal(SIGHUP);
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
  if (::clock_getcpuclockid(process_->pid(), &clock) != 0 || ::clock_gettime(clock, &used) != 0) return 0;
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * 1e-9;
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
  const std::filesystem::directory_iterator all("/proc/" + std::to_string(process_->pid()) + "/fd", failed);
  return failed ? 0 : static_cast<double>(std::distance(begin(all), end(all)));
}

}  // namespace canvasstage::lab
