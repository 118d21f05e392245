// One stand-in as a process of its own: discovery, executors, clients or the proxies between them. It is told
// what to do over its standard input and tells what it saw over its output (fleet/messages.h).
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

// Whoever is stuck here is not to outlive a test by long.
constexpr double kLongestLife = 900;  // seconds

// Written in one piece and at once: what was told before a kill has been told.
void tell(const std::string& line) {
  const std::string whole = line + "\n";
  if (::write(STDOUT_FILENO, whole.data(), whole.size()) < 0) ::_exit(1);
}

void tell_ready(const std::string& address) {
  tell("ready " + address);
}

// Calls it with each line that is told, until the rig has gone.
void serve(Loop& loop, const std::function<void(const std::string&)>& told) {
  ::fcntl(STDIN_FILENO, F_SETFL, O_NONBLOCK);
  std::string rest;
  bool over = false;
  loop.watch(STDIN_FILENO, [&] {
    char part[65536];
    ssize_t n;
    while ((n = ::read(STDIN_FILENO, part, sizeof part)) > 0) {
      rest.append(part, static_cast<std::size_t>(n));
      std::size_t from = 0;
      for (std::size_t end; (end = rest.find('\n', from)) != std::string::npos; from = end + 1)
        told(rest.substr(from, end - from));
      rest.erase(0, from);
    }
    over = n == 0;
  });
  loop.run(kLongestLife, [&] { return over; });
}

void serve_discovery(const std::string& address) {
  Loop loop;
  Discovery discovery(loop, {}, address);
  tell_ready(discovery.address());
  serve(loop, [&](const std::string& line) {
    if (const auto message = fleet::decode_replace_list(line))
      discovery.replace(message->generation, message->executors);
    if (line == "calls") tell("calls " + std::to_string(discovery.calls));
  });
}

void serve_executors(const std::vector<std::string>& addresses, double run_time) {
  Loop loop;
  Executors executors(loop, addresses, run_time);
  executors.observe([](const StartedAttempt& job) { tell(fleet::encode(job)); });
  tell_ready(addresses.front());
  serve(loop, [&](const std::string& line) {
    const auto message = fleet::decode_set_job_fault(line);
    if (!message) return;
    std::vector<AttemptFaultRule> rules;
    if (message->share > 0) rules.push_back({.kind = message->kind, .share = message->share});
    executors.faults(std::move(rules));
  });
}

void serve_clients(const std::string& identity) {
  Loop loop;
  fleet::RequestSender sender(loop, identity,
                              [](const fleet::RequestAnswered& answered) { tell(fleet::encode(answered)); });
  tell_ready("clients");
  serve(loop, [&](const std::string& line) {
    if (const auto message = fleet::decode_send_request(line)) sender.send(*message);
  });
}

// Each link is two addresses: where it listens and where it leads.
void serve_proxies(const std::vector<std::string>& links) {
  Loop loop;
  std::vector<std::unique_ptr<fleet::FaultProxy>> proxies;
  std::string addresses;
  for (std::size_t i = 0; i + 1 < links.size(); i += 2) {
    proxies.push_back(std::make_unique<fleet::FaultProxy>(loop, links[i], links[i + 1]));
    addresses += (addresses.empty() ? "" : " ") + proxies.back()->address();
  }
  tell_ready(addresses);
  serve(loop, [&](const std::string& line) {
    const auto message = fleet::decode_set_link_fault(line);
    if (!message || message->link >= proxies.size()) return;
    proxies[message->link]->set(message->fault, message->delay_ms);
    tell("set " + std::to_string(message->link));
  });
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("A stand-in for tests of several nodes; told what to do over standard input");
  app.require_subcommand(1);
  std::string address, identity;
  std::vector<std::string> addresses;
  double run_time = 0;
  CLI::App* const discovery = app.add_subcommand("discovery", "the list of executors and its watches");
  discovery->add_option("address", address, "where it listens, on loopback")->required();
  CLI::App* const executors = app.add_subcommand("executors", "executors that run jobs by waiting");
  executors->add_option("--run-time", run_time, "seconds of each job")->required();
  executors->add_option("address", addresses, "where they listen, on loopback")->required();
  CLI::App* const clients = app.add_subcommand("clients", "hands in requests");
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
