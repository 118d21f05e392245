// Runs one stand-in as a separate process: discovery, executors, clients or the proxies between them.
// Receives commands on standard input and reports events on standard output (fleet/messages.h).
#include <fcntl.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fault_proxy.h"
#include "fleet/messages.h"
#include "fleet/request_sender.h"
#include "standins/discovery.h"
#include "standins/executors.h"

namespace {

using namespace canvasstage::lab;

// A stand-in that hangs must not outlive its test for long.
constexpr double kMaxLifetime = 900;  // seconds

// Writes the line unbuffered and in one call, so that it is not lost when the process is killed afterwards.
void write_line(const std::string& line) {
  const std::string whole = line + "\n";
  if (::write(STDOUT_FILENO, whole.data(), whole.size()) < 0) ::_exit(1);
}

void report_ready(const std::string& address) {
  write_line("ready " + address);
}

// Calls `on_line` with each line of standard input until the harness closes it.
void serve(Loop& loop, const std::function<void(const std::string&)>& on_line) {
  ::fcntl(STDIN_FILENO, F_SETFL, O_NONBLOCK);
  std::string buffer;
  bool input_ended = false;
  loop.watch(STDIN_FILENO, [&] {
    char chunk[65536];
    ssize_t n;
    while ((n = ::read(STDIN_FILENO, chunk, sizeof chunk)) > 0) {
      buffer.append(chunk, static_cast<std::size_t>(n));
      std::size_t from = 0;
      for (std::size_t end; (end = buffer.find('\n', from)) != std::string::npos; from = end + 1)
        on_line(buffer.substr(from, end - from));
      buffer.erase(0, from);
    }
    input_ended = n == 0;
  });
  loop.run(kMaxLifetime, [&] { return input_ended; });
}

void serve_discovery(const std::string& address) {
  Loop loop;
  Discovery discovery(loop, {}, address);
  report_ready(discovery.address());
  serve(loop, [&](const std::string& line) {
    if (const auto message = fleet::decode_replace_list(line))
      discovery.replace(message->generation, message->executors);
    if (line == "calls") write_line("calls " + std::to_string(discovery.calls));
  });
}

void serve_executors(const std::vector<std::string>& addresses, double run_time) {
  Loop loop;
  Executors executors(loop, addresses, run_time);
  executors.observe([](const StartedAttempt& attempt) { write_line(fleet::encode(attempt)); });
  report_ready(addresses.front());
  serve(loop, [&](const std::string& line) {
    const auto message = fleet::decode_set_attempt_fault(line);
    if (!message) return;
    std::vector<AttemptFaultRule> rules;
    if (message->share > 0) rules.push_back({.kind = message->kind, .share = message->share});
    executors.faults(std::move(rules));
  });
}

void serve_clients(const std::string& identity) {
  Loop loop;
  fleet::RequestSender sender(loop, identity,
                              [](const fleet::RequestResult& result) { write_line(fleet::encode(result)); });
  report_ready("clients");
  serve(loop, [&](const std::string& line) {
    if (const auto message = fleet::decode_send_request(line)) sender.send(*message);
  });
}

// Each link is a pair of addresses: the one to listen on and the target.
void serve_proxies(const std::vector<std::string>& links) {
  Loop loop;
  std::vector<std::unique_ptr<fleet::FaultProxy>> proxies;
  std::string addresses;
  for (std::size_t i = 0; i + 1 < links.size(); i += 2) {
    proxies.push_back(std::make_unique<fleet::FaultProxy>(loop, links[i], links[i + 1]));
    addresses += (addresses.empty() ? "" : " ") + proxies.back()->address();
  }
  report_ready(addresses);
  serve(loop, [&](const std::string& line) {
    const auto message = fleet::decode_set_link_fault(line);
    if (!message || message->link >= proxies.size()) return;
    proxies[message->link]->set_fault(message->fault, message->delay_ms);
    write_line("set " + std::to_string(message->link));
  });
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A stand-in process for tests of several nodes, controlled over standard input");
  app.require_subcommand(1);
  std::string address, identity;
  std::vector<std::string> addresses;
  double run_time = 0;
  CLI::App* const discovery = app.add_subcommand("discovery", "the list of executors and its watches");
  discovery->add_option("address", address, "where it listens, on loopback")->required();
  CLI::App* const executors = app.add_subcommand("executors", "executors that run jobs by waiting");
  executors->add_option("--run-time", run_time, "seconds of each job")->required();
  executors->add_option("address", addresses, "where they listen, on loopback")->required();
  CLI::App* const clients = app.add_subcommand("clients", "clients that send requests");
  clients->add_option("identity", identity, "begins the id of each request")->required();
  CLI::App* const proxies = app.add_subcommand("proxies", "links that can be cut");
  proxies->add_option("addresses", addresses, "listen and target, in turn")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    if (discovery->parsed()) serve_discovery(address);
    if (executors->parsed()) serve_executors(addresses, run_time);
    if (clients->parsed()) serve_clients(identity);
    if (proxies->parsed()) serve_proxies(addresses);
  } catch (const std::exception& failure) {
    std::cerr << "canvasstage-standin: " << failure.what() << '\n';
    return 1;
  }
  return 0;
}
