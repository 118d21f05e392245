// One play of a real node with stand-ins.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <sys/resource.h>

#include <algorithm>

#include "scale/real.h"
#include "standins/clients.h"
#include "standins/discovery.h"
#include "standins/executors.h"
#include "standins/node_process.h"

namespace canvasstage::lab::real {
namespace {

constexpr double kFillRequestsPerSecond = 400;  // rate at which open requests are sent
constexpr double kFillTimeoutSeconds = 5;  // beyond the schedule, until all requests have reached an executor
constexpr double kStartTimeoutSeconds = 20;
constexpr double kSettleSeconds = 1;      // between the last event and a window
constexpr double kLongRunSeconds = 3600;  // longer than any play
constexpr double kTimeLeftSeconds = 300;  // of an open request's client
constexpr double kAnswerTimeoutSeconds = 10;
constexpr double kReloadTimeoutSeconds = 10;

// Two successive versions differ in a setting that every decision reads (guarantees.askWithin).
std::string configuration(const Setup& setup, const std::string& discovery, int version) {
  rapidjson::StringBuffer out;
  rapidjson::Writer<rapidjson::StringBuffer> json(out);
  json.StartArray();
  for (int i = 0; i < static_cast<int>(setup.use_cases); ++i) {
    json.StartObject();
    json.Key("name");
    json.String(("job" + std::to_string(i)).c_str());
    json.Key("agreedTime");
    json.Double(setup.agreed_time);
    json.Key("hardLimit");
    json.Double(kTimeLeftSeconds);
    json.Key("semantics");
    json.String(setup.semantics.c_str());
    json.Key("group");
    json.String("all");
    json.Key("window");
    json.Double(10);
    json.EndObject();
  }
  json.EndArray();
  return R"({"name":"n0","listen":"127.0.0.1:0","console":"127.0.0.1:0","discovery":")" + discovery +
         R"(","seed":"7","limits":{"memory_mb":)" + std::to_string(static_cast<int>(setup.memory_mb)) +
         R"(,"sockets":)" + std::to_string(static_cast<int>(setup.sockets)) +
         R"(},"settings":{"zones":["a"],"shapes":["m"],"locality":"a","replicasOfMe":1,"quantum":0.002,
"membershipMode":"ask","caps":{"mostLaunches":5,"connIdle":30,"connectTimeout":0.25,"cancelling":true},
"domain":{"tellsStart":true,"progress":)" +
         std::to_string(setup.progress) + R"(},"guarantees":{"askWithin":)" +
         std::to_string(10 + version % 2) +
         R"(,"coldFrom":0.3,"warmUp":8,"fallMultiple":3,"overloadFor":1.5,"drainGrace":1.5},"useCases":)" +
         out.GetString() + "}}";
}

double seconds_since(LoopTime start) {
  return std::chrono::duration<double>(LoopClock::now() - start).count();
}

double quantile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

// Raises this process's soft limit of descriptors to the hard limit. Throws StandinError if that is not
// enough.
void raise_descriptor_limit(const Setup& setup) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  const double busy_requests = setup.rate * (setup.run_time + 1);
  const double needed = setup.executors + 2 * (setup.open_jobs + setup.waiting_jobs + busy_requests) + 64;
  if (needed > static_cast<double>(limit.rlim_max))
    throw StandinError("descriptors: " + std::to_string(static_cast<long>(needed)) +
                       " are needed, the system's hard limit is " + std::to_string(limit.rlim_max));
}

// CPU time, traffic and attempts since the window was constructed.
class UsageWindow {
 public:
  UsageWindow(const NodeProcess& node, const Executors& executors, const Discovery& discovery)
      : node_(node),
        executors_(executors),
        discovery_(discovery),
        cpu_(node.cpu_seconds()),
        executor_bytes_(bytes(executors.traffic)),
        discovery_bytes_(bytes(discovery.traffic)),
        attempts_(executors.received) {}
  double cpu() const { return node_.cpu_seconds() - cpu_; }
  double seconds() const { return seconds_since(start_); }
  // Adds CPU time as a share of one core, traffic in bytes per second, and the number of attempts.
  void add_to(MetricValues& metrics, const std::string& name) const {
    metrics[name + "_cpu"] = cpu() / seconds();
    metrics[name + "_executor_bytes"] =
        static_cast<double>(bytes(executors_.traffic) - executor_bytes_) / seconds();
    metrics[name + "_discovery_bytes"] =
        static_cast<double>(bytes(discovery_.traffic) - discovery_bytes_) / seconds();
    metrics[name + "_launches"] = static_cast<double>(executors_.received - attempts_);
  }

 private:
  static std::uint64_t bytes(const Traffic& traffic) { return traffic.read + traffic.written; }
  const NodeProcess& node_;
  const Executors& executors_;
  const Discovery& discovery_;
  const LoopTime start_ = LoopClock::now();
  double cpu_;
  std::uint64_t executor_bytes_, discovery_bytes_, attempts_;
};

class Play {
 public:
  Play(const Setup& setup, double seconds, const std::string& program)
      : setup_(setup),
        seconds_(seconds),
        executors_(loop_, static_cast<int>(setup.executors), kLongRunSeconds),
        discovery_(loop_, executors_.addresses()),
        started_(LoopClock::now()),
        node_(loop_, program, configuration(setup, discovery_.address(), 0)) {
    executors_.progress(setup.progress);
  }

  MetricValues run() {
    wait_until_ready();
    Clients clients(loop_, node_.last_word("listening on "), "job0");
    fill(clients);
    run_idle_window();
    if (setup_.rate > 0) run_busy_window(clients);
    measure_reload(clients);
    metrics_["open"] = executors_.open;
    if (node_.ended()) throw StandinError("the node exited during the play: " + node_.log());
    return metrics_;
  }

 private:
  void require(bool condition, const std::string& what) const {
    if (!condition) throw StandinError(what + "; the node's log: " + node_.log());
  }

  void wait_until_ready() {
    require(loop_.run(kStartTimeoutSeconds,
                      [&] {
                        return node_.ended() ||
                               (node_.logged("listening on ") > 0 && node_.logged("roster taken") > 0);
                      }) &&
                !node_.ended(),
            "the node did not start or has exited");
    metrics_["ready"] = seconds_since(started_);
  }

  void fill(Clients& clients) {
    fill(clients, setup_.open_jobs);
    // The fault stays for retries, which the node may start in the idle window.
    if (setup_.waiting_jobs > 0)
      executors_.faults(
          {{setup_.waiting_as == "hang" ? AttemptFault::kHang : AttemptFault::kSilent, 1, 0, 1e9, 0}});
    fill(clients, setup_.waiting_jobs);
    loop_.run(kSettleSeconds);
  }

  void fill(Clients& clients, double requests) {
    const std::uint64_t sent = clients.sent + static_cast<std::uint64_t>(requests);
    clients.send_requests({kFillRequestsPerSecond, static_cast<int>(requests), kTimeLeftSeconds});
    const LoopTime from = LoopClock::now();
    loop_.run(requests / kFillRequestsPerSecond + kFillTimeoutSeconds,
              [&] { return clients.sent >= sent && executors_.received >= sent; });
    if (requests > 0) metrics_["filled"] = seconds_since(from);
    require(requests == 0 || executors_.open > 0, "no request has reached an executor");
  }

  void run_idle_window() {
    ListScript script{setup_.list_changes, setup_.whole_lists > 0, static_cast<int>(setup_.gone),
                      seconds_ / 2};
    discovery_.run_script(script);
    const UsageWindow window(node_, executors_, discovery_);
    const LoopTime until = LoopClock::now() + seconds_of(seconds_);
    LoopTime next = LoopClock::now();
    while (setup_.reloads > 0 && next + seconds_of(0.1) < until) {
      reload();
      next += seconds_of(60 / setup_.reloads);
      loop_.run(std::chrono::duration<double>(std::min(next, until) - LoopClock::now()).count());
    }
    loop_.run(std::chrono::duration<double>(until - LoopClock::now()).count());
    window.add_to(metrics_, "idle");
    metrics_["memory"] = node_.memory_mb();
    metrics_["threads"] = node_.threads();
    metrics_["descriptors"] = node_.descriptors();
  }

  void run_busy_window(Clients& clients) {
    executors_.run_time(setup_.run_time);
    executors_.faults({});
    const std::uint64_t sent = clients.sent, served = clients.served;
    const int requests = static_cast<int>(setup_.rate * seconds_);
    clients.latencies_s.clear();
    const std::uint64_t refused = clients.refused, failed = clients.failed;
    clients.send_requests({setup_.rate, requests, kTimeLeftSeconds});
    const UsageWindow window(node_, executors_, discovery_);
    loop_.run(seconds_ + kAnswerTimeoutSeconds, [&] {
      return clients.sent - sent == static_cast<std::uint64_t>(requests) &&
             clients.served + clients.refused + clients.failed - served - refused - failed >=
                 static_cast<std::uint64_t>(requests);
    });
    window.add_to(metrics_, "busy");
    const double done = static_cast<double>(clients.served - served);
    const double above_idle = window.cpu() - metrics_["idle_cpu"] * window.seconds();
    if (done > 0) metrics_["job_cpu"] = above_idle / done * 1000;
    metrics_["unserved"] = requests - done;
    metrics_["latency_p50"] = quantile(clients.latencies_s, 0.5) * 1000;
    metrics_["latency_p99"] = quantile(clients.latencies_s, 0.99) * 1000;
  }

  void reload() {
    const LoopTime from = LoopClock::now();
    const int before = node_.logged("reload: discovery is ");
    node_.reload(configuration(setup_, discovery_.address(), ++configuration_version_));
    loop_.run(kReloadTimeoutSeconds, [&] { return node_.logged("reload: discovery is ") > before; });
    reload_seconds_.push_back(seconds_since(from));
  }

  // Measures one reload until the console reports it as applied. The console's metrics are up to 0.1 s old.
  void measure_reload(Clients& clients) {
    const std::string console = node_.last_word("console on ");
    const LoopTime from = LoopClock::now();
    reload();
    const std::string applied = "node_sighup_applied_total " + std::to_string(configuration_version_) + "\n";
    bool in_force = false;
    while (!in_force && seconds_since(from) < kReloadTimeoutSeconds) {
      bool answered = false;
      clients.get(console, "/_vars", [&](const std::string& answer) {
        answered = true;
        in_force = answer.find(applied) != std::string::npos;
      });
      if (!loop_.run(kReloadTimeoutSeconds, [&] { return answered; }))
        throw StandinError("the console does not answer");
      if (!in_force) loop_.run(0.01);
    }
    metrics_["reload_applied"] = seconds_since(from);
    metrics_["reload_read"] = quantile(reload_seconds_, 0.5);
  }

  const Setup setup_;
  const double seconds_;
  Loop loop_;
  Executors executors_;
  Discovery discovery_;
  LoopTime started_;
  NodeProcess node_;
  MetricValues metrics_;
  std::vector<double> reload_seconds_;
  int configuration_version_ = 0;
};

}  // namespace

const std::vector<MetricDefinition>& metric_definitions() {
  static const std::vector<MetricDefinition> kDefinitions = {
      {"ready", "s", "from the start of the process until it listens and has taken the list"},
      {"filled", "s", "from the first open job's request until all have reached executors"},
      {"open", "jobs", "open at the executors at the end, second launches included"},
      {"memory", "MiB", "resident at the end of the quiet window (VmRSS)"},
      {"threads", "", "at the end of the quiet window"},
      {"descriptors", "", "at the end of the quiet window"},
      {"idle_cpu", "core", "in the quiet window: nothing is handed in"},
      {"idle_executor_bytes", "B/s", "both ways between the node and all executors, quiet window"},
      {"idle_discovery_bytes", "B/s", "both ways between the node and discovery, quiet window"},
      {"idle_launches", "", "that executors saw in the quiet window"},
      {"busy_cpu", "core", "in the busy window"},
      {"job_cpu", "ms", "of processor time for each job that was served, above idle_cpu"},
      {"busy_executor_bytes", "B/s", "both ways between the node and all executors, busy window"},
      {"busy_discovery_bytes", "B/s", "both ways between the node and discovery, busy window"},
      {"busy_launches", "", "that executors saw in the busy window"},
      {"unserved", "jobs", "of the busy window: refused, failed or unanswered"},
      {"latency_p50", "ms", "of the busy window, at the client"},
      {"latency_p99", "ms", "of the busy window, at the client"},
      {"reload_read", "s", "median, from SIGHUP to the log's line that the file was read"},
      {"reload_applied", "s", "of one reload after the windows, until the console counts it (every 0.1 s)"},
  };
  return kDefinitions;
}

MetricValues play(const Setup& setup, double seconds, const std::string& program) {
  raise_descriptor_limit(setup);
  return Play(setup, seconds, program).run();
}

}  // namespace canvasstage::lab::real
