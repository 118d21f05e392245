#include "fleet/fleet.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "fleet/request_sender.h"

namespace canvasstage::lab::fleet {
namespace {

constexpr double kStartTimeout = 20;  // seconds until a stand-in process is ready or an awaited event occurs

std::int64_t unix_now_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Appends a number to a name prefix.
std::string with_number(const char* beginning, int number) {
  return std::string(beginning).append(std::to_string(number));
}

// Returns a loopback network prefix that depends on the process id, so that concurrent fleets do not use the
// same addresses.
std::string network_prefix(const char* kind) {
  constexpr int kFirst = 32, kNetworks = 192;
  return with_number("127.", kFirst + ::getpid() % kNetworks) + "." + kind + ".";
}
constexpr const char* kNodeNetwork = "1";
constexpr const char* kDiscoveryNetwork = "2";
constexpr const char* kExecutorNetwork = "3";
constexpr const char* kDiscoveryLinkNetwork = "4";
constexpr const char* kExecutorLinkNetwork = "5";
constexpr const char* kPeerLinkNetwork = "6";
constexpr const char* kConsoleNetwork = "7";

// Returns an address of `host` with a currently unused port. The port is not reserved.
std::string unused_address(const std::string& host) {
  return net::listen_on(host + ":0").address();
}

std::string zone_of(int executor, int executors) {
  return executor < (executors + 1) / 2 ? "a" : "b";
}

std::vector<std::string> zones_of(int executors) {
  std::vector<std::string> zones;
  zones.reserve(static_cast<std::size_t>(executors));
  for (int i = 0; i < executors; ++i) zones.push_back(zone_of(i, executors));
  return zones;
}

}  // namespace

Programs programs_beside() {
  const std::filesystem::path folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  return {folder / "canvasstage", folder / "canvasstage-standin", folder / "canvasstage-lossy",
          folder / "canvasstage-faulty"};
}

Fleet::Fleet(FleetPlan plan)
    : plan_(std::move(plan)),
      folder_("/tmp/canvasstage-fleet-XXXXXX"),
      ledger_(zones_of(plan_.executors), plan_.window) {
  if (mkdtemp(folder_.data()) == nullptr)
    throw StandinError("cannot create a temporary folder for the fleet");
  discovery_address_ = unused_address(network_prefix(kDiscoveryNetwork) + "1");
  for (int i = 0; i < plan_.nodes; ++i)
    node_addresses_.push_back(unused_address(with_number(network_prefix(kNodeNetwork).c_str(), 1 + i)));
  for (int i = 0; i < plan_.nodes && plan_.peers; ++i)
    console_addresses_.push_back(unused_address(with_number(network_prefix(kConsoleNetwork).c_str(), 1 + i)));
  for (int i = 0; i < plan_.executors; ++i)
    executor_addresses_.push_back(
        unused_address(with_number(network_prefix(kExecutorNetwork).c_str(), 1 + i)));
  start_proxies();
  nodes_.resize(static_cast<std::size_t>(plan_.nodes));
  for (int i = 0; i < plan_.nodes && plan_.faulty_system_calls; ++i)
    faults_.push_back(std::make_unique<faults::FaultSwitches>(folder_ + with_number("/faults-", i)));
}

Fleet::~Fleet() {
  // Stops all processes first, since the objects that the callbacks refer to may be destroyed already.
  nodes_.clear();
  executors_.clear();
  for (auto* const standin : {&clients_, &discovery_, &proxies_}) standin->reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::vector<std::string> Fleet::lossy_disk(std::uint64_t seed, double torn_share) {
  return {"LAB_DISK_SEED=" + std::to_string(seed), "LAB_DISK_TEAR=" + std::to_string(torn_share)};
}

std::unique_ptr<Fleet::Standin> Fleet::start_standin(std::vector<std::string> arguments,
                                                     std::function<void(const std::string&)> on_line) {
  const std::string role = arguments.front();
  auto standin = std::make_unique<Standin>();
  standin->process = std::make_unique<ChildProcess>(
      loop_, ChildCommand{plan_.programs.standin, std::move(arguments), {}},
      [starting = standin.get(), on_line = std::move(on_line)](const std::string& line) {
        constexpr std::string_view kReady = "ready ";
        if (line.starts_with(kReady))
          starting->ready = line.substr(kReady.size());
        else
          on_line(line);
      });
  const bool ready =
      loop_.run(kStartTimeout, [&] { return !standin->ready.empty() || standin->process->ended(); });
  if (!ready || standin->ready.empty()) throw StandinError(role + ": did not become ready");
  return standin;
}

void Fleet::start_proxies() {
  std::vector<std::string> arguments = {"proxies"};
  const auto link = [&](const std::string& host, const std::string& target) {
    arguments.push_back(host + ":0");
    arguments.push_back(target);
  };
  for (int i = 0; i < plan_.nodes; ++i)
    link(with_number(network_prefix(kDiscoveryLinkNetwork).c_str(), 1 + i), discovery_address_);
  for (int i = 0; i < plan_.executors && plan_.proxied_executors; ++i)
    link(with_number(network_prefix(kExecutorLinkNetwork).c_str(), 1 + i), executor_addresses_[i]);
  for (int from = 0; from < plan_.nodes && plan_.peers; ++from)
    for (int to = 0; to < plan_.nodes; ++to)
      link(network_prefix(kPeerLinkNetwork) + "1", console_addresses_[to]);
  proxies_ = start_standin(std::move(arguments), [this](const std::string&) { ++link_faults_confirmed_; });
  std::istringstream addresses(proxies_->ready);
  for (std::string address; addresses >> address;) link_addresses_.push_back(address);
  listed_addresses_ = executor_addresses_;
  if (plan_.proxied_executors)
    listed_addresses_.assign(link_addresses_.begin() + plan_.nodes,
                             link_addresses_.begin() + plan_.nodes + plan_.executors);
}

void Fleet::start_discovery(std::uint64_t generation, const std::vector<ListedExecutor>& list) {
  discovery_calls_ = 0;
  discovery_ = start_standin({"discovery", discovery_address_}, [this](const std::string& line) {
    constexpr std::string_view kCalls = "calls ";
    if (!line.starts_with(kCalls)) return;
    discovery_calls_ = std::strtoull(line.c_str() + kCalls.size(), nullptr, 10);
    discovery_calls_received_ = true;
  });
  publish_list(generation, list);
}

std::unique_ptr<Fleet::Standin> Fleet::start_executor_process(int process) {
  std::vector<std::string> arguments = {"executors", "--run-time", std::to_string(plan_.run_time)};
  const int begin = first_executor_of(process);
  arguments.insert(arguments.end(), executor_addresses_.begin() + begin,
                   executor_addresses_.begin() + first_executor_of(process + 1));
  return start_standin(std::move(arguments), [this, begin](const std::string& line) {
    auto attempt = decode_started_attempt(line);
    if (!attempt) return;
    attempt->executor += static_cast<std::size_t>(begin);
    ledger_.add(*attempt, LoopClock::now());
    if (attempt_observer_) attempt_observer_(*attempt);
  });
}

void Fleet::kill_executors(int process) {
  std::unique_ptr<Standin>& standin = executors_[static_cast<std::size_t>(process)];
  standin->process->kill();
  // Attempts that began before the kill are still in the pipe: read them up to its end.
  loop_.run(kStartTimeout, [&] { return standin->process->ended(); });
  standin.reset();
}

void Fleet::restart_executors(int process) {
  executors_[static_cast<std::size_t>(process)] = start_executor_process(process);
  for (int i = first_executor_of(process); i < first_executor_of(process + 1); ++i)
    executor_list_[static_cast<std::size_t>(i)].started_ms = unix_now_ms();
}

void Fleet::set_attempt_fault(int process, AttemptFault kind, double share) {
  if (executors_running(process))
    executors_[static_cast<std::size_t>(process)]->process->tell(encode(SetAttemptFault{kind, share}));
}

void Fleet::start_executors() {
  executors_.clear();
  for (int process = 0; process < plan_.executor_processes; ++process)
    executors_.push_back(start_executor_process(process));
  executor_list_.clear();
  for (int i = 0; i < plan_.executors; ++i) {
    ListedExecutor executor;
    executor.id = with_number("s-", 1 + i);
    executor.address = listed_addresses_[i];
    executor.zone = zone_of(i, plan_.executors);
    executor.cell = i / 2;
    executor.started_ms = unix_now_ms();
    executor_list_.push_back(std::move(executor));
  }
}

void Fleet::start_clients() {
  char identity[20];
  std::snprintf(identity, sizeof identity, "%06llx%02x",
                static_cast<unsigned long long>(plan_.seed & 0xffffff), ++clients_started_ & 0xff);
  clients_identity_ = identity;
  clients_ = start_standin({"clients", identity}, [this](const std::string& line) {
    const auto result = decode_request_result(line);
    if (!result) return;
    const auto found = open_requests_.find(result->request);
    if (found == open_requests_.end()) return;
    const EndCallback on_end = std::move(found->second);
    open_requests_.erase(found);
    on_end(*result);
  });
}

std::string Fleet::configuration(int node) const {
  const std::string name = with_number("n", node);
  std::ostringstream out;
  out << R"({"name":")" << name << R"(","listen":")" << node_addresses_[node] << R"(","discovery":")"
      << link_addresses_[static_cast<std::size_t>(node)] << R"(","seed":")" << std::hex
      << plan_.seed * 64 + static_cast<unsigned>(node) << std::dec << '"'
      << (plan_.peers ? R"(,"console":")" + console_addresses_[node] + '"' : std::string())
      << R"(,"limits":{"memory_mb":192,"sockets":1024},"settings":{"zones":["a","b"],)"
      << R"("shapes":["m"],"locality":"a","replicasOfMe":)" << plan_.nodes
      << R"(,"membershipMode":"ask","quantum":0.001,"useCases":[)"
      << R"({"name":")" << kIdempotentUseCase << R"(","agreedTime":0.25,"hardLimit":5,"semantics":"free"},)"
      << R"({"name":")" << kKeyedUseCase
      << R"(","agreedTime":0.5,"hardLimit":10,"semantics":"guarded","group":"zone","window":)" << plan_.window
      << R"(},{"name":")" << kAtMostOnceUseCase
      << R"(","agreedTime":0.5,"hardLimit":10,"semantics":"single_shot"}],)"
      << R"("caps":{"mostLaunches":5,"connIdle":30,"connectTimeout":0.25,"cancelling":true},)"
      << R"("domain":{"tellsStart":true,"progress":0},)"
      << R"("guarantees":{"askWithin":10,"drainGrace":)" << kDrainGrace << "}" << plan_.settings << "}"
      << known_list_ << "}";
  return out.str();
}

std::string Fleet::store_folder(int node) const {
  return folder_ + with_number("/store-", node);
}

std::string Fleet::recovery_settings_path(int node) const {
  return folder_ + with_number("/recovery-", node) + ".toml";
}

void Fleet::write_recovery_settings(int node) const {
  std::ofstream(recovery_settings_path(node)) << "[store]\ndirectory = \"" << store_folder(node) << "\"\n"
                                              << plan_.recovery_tables << peer_settings(node);
}

std::string Fleet::peer_settings(int node) const {
  if (!plan_.peers) return "";
  std::string nodes;
  for (int other = 0; other < plan_.nodes; ++other) {
    if (other == node) continue;
    nodes.append("{name = \"").append(with_number("n", other)).append("\", address = \"");
    nodes.append(link_addresses_[peer_link(node, other)]).append("\"},");
  }
  if (plan_.extra_peers) nodes += plan_.extra_peers(node);
  return "\n[peers]\nnodes = [" + nodes + "]\nask_every_s = 0.25\n";
}

void Fleet::reload_node(int node) {
  nodes_[node]->reload(configuration(node));
}

void Fleet::start_node(int node) {
  std::vector<std::string> environment;
  if (plan_.environment) environment = plan_.environment(node);
  if (plan_.recovery) {
    write_recovery_settings(node);
    environment.push_back("NODE_RECOVERY=" + recovery_settings_path(node));
  }
  if (plan_.faulty_system_calls) {
    environment.push_back(std::string(faults::kTableVariable) + "=" + faults(node).path());
    environment.push_back(std::string(faults::kSeedVariable) + "=" + std::to_string(plan_.seed * 64 + node));
  }
  nodes_[node] = std::make_unique<NodeProcess>(
      loop_, plan_.faulty_system_calls ? plan_.programs.node_with_fault_injection : plan_.programs.node,
      configuration(node), environment);
}

void Fleet::start_all_nodes() {
  for (int i = 0; i < plan_.nodes; ++i) start_node(i);
}

void Fleet::lose_power(Scope scope) {
  const bool executors_too = scope == Scope::kAll && !executors_.empty();
  for (const auto& node : nodes_)
    if (node) node->kill();
  for (const auto& standin : executors_)
    if (executors_too && standin) standin->process->kill();
  if (discovery_) discovery_->process->kill();
  for (auto& node : nodes_) node.reset();
  discovery_.reset();
  if (!executors_too) return;
  // Attempts that began before the kill are still in the pipe: read them up to its end.
  loop_.run(kStartTimeout, [&] {
    return std::ranges::all_of(executors_,
                               [](const auto& standin) { return !standin || standin->process->ended(); });
  });
  executors_.clear();
}

void Fleet::configure_known_list(std::uint64_t generation, const std::vector<ListedExecutor>& list) {
  std::ostringstream out;
  out << R"(,"known":{"generation":)" << generation << R"(,"reset":true,"instances":[)";
  for (std::size_t i = 0; i < list.size(); ++i) {
    const ListedExecutor& executor = list[i];
    out << (i > 0 ? "," : "") << R"({"instanceId":")" << executor.id << R"(","hostPort":")"
        << executor.address << R"(","zone":")" << executor.zone << R"(","machineType":"m","cell":)"
        << executor.cell << R"(,"lifecycle":")" << executor.lifecycle << R"(","weight":1.0,"startedAtMs":)"
        << executor.started_ms << "}";
  }
  out << "]}";
  known_list_ = out.str();
}

std::vector<ListedExecutor> Fleet::executor_list() const {
  return executor_list_;
}

void Fleet::publish_list(std::uint64_t generation, const std::vector<ListedExecutor>& list) {
  discovery_->process->tell(encode(ReplaceList{generation, list}));
}

void Fleet::set_link(std::size_t link, LinkFault fault, int delay_ms) {
  ++link_faults_sent_;
  proxies_->process->tell(encode(SetLinkFault{link, fault, delay_ms}));
  loop_.run(kStartTimeout, [this] { return link_faults_confirmed_ == link_faults_sent_; });
}

std::size_t Fleet::peer_link(int from, int to) const {
  const int executors = plan_.proxied_executors ? plan_.executors : 0;
  return static_cast<std::size_t>(plan_.nodes + executors + from * plan_.nodes + to);
}

void Fleet::set_peer_link(int from, int to, LinkFault fault, int delay_ms) {
  set_link(peer_link(from, to), fault, delay_ms);
}

void Fleet::set_discovery_link(int node, LinkFault fault, int delay_ms) {
  set_link(static_cast<std::size_t>(node), fault, delay_ms);
}

void Fleet::set_executor_link(int executor, LinkFault fault, int delay_ms) {
  set_link(static_cast<std::size_t>(plan_.nodes + executor), fault, delay_ms);
}

void Fleet::send(int node, const std::string& use_case, const std::string& idempotency_key, double time_left,
                 StatusCallback on_status) {
  SendRequest request;
  request.use_case = use_case;
  request.idempotency_key = idempotency_key;
  request.time_left_ms = static_cast<int>(time_left * 1000);
  send(node, std::move(request),
       [on_status = std::move(on_status)](const RequestResult& end) { on_status(end.status); });
}

std::uint64_t Fleet::send(int node, SendRequest request, EndCallback on_end) {
  request.request = ++requests_;
  request.node = node_addresses_[node];
  open_requests_.emplace(request.request, std::move(on_end));
  clients_->process->tell(encode(request));
  return request.request;
}

std::string Fleet::correlation_id(std::uint64_t request) const {
  return RequestSender::correlation_id(clients_identity_, request);
}

bool Fleet::run(double seconds, const std::function<bool()>& done) {
  return loop_.run(seconds, done);
}

bool Fleet::listening(int node) const {
  return nodes_[node] && nodes_[node]->logged("listening on") > 0;
}

bool Fleet::all_listening() const {
  for (int i = 0; i < plan_.nodes; ++i)
    if (!listening(i)) return false;
  return true;
}

int Fleet::nodes_that_logged(const std::string& text) const {
  return static_cast<int>(
      std::ranges::count_if(nodes_, [&](const auto& node) { return node && node->logged(text) > 0; }));
}

std::uint64_t Fleet::discovery_calls() {
  if (!discovery_) return 0;
  discovery_calls_received_ = false;
  discovery_->process->tell("calls");
  loop_.run(1, [this] { return discovery_calls_received_; });
  return discovery_calls_;
}

}  // namespace canvasstage::lab::fleet
