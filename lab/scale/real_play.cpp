// One play of a real node among stand-ins.
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

constexpr double kFillRate = 400;      // open jobs handed in, a second
constexpr double kMostFilling = 5;     // seconds beyond the schedule until all have reached an executor
constexpr double kMostStarting = 20;   // seconds
constexpr double kSettling = 1;        // seconds between the last event and a window
constexpr double kLongRun = 3600;      // seconds: longer than any play
constexpr double kTimeLeft = 300;      // seconds that an open job's client waits
constexpr double kMostAnswering = 10;  // seconds
constexpr double kMostReloading = 10;  // seconds

// The configuration differs from one version to the next in a figure that each decision reads.
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
    json.Double(kTimeLeft);
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

double since(LoopTime then) {
  return std::chrono::duration<double>(LoopClock::now() - then).count();
}

double quantile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

// Its own soft limit goes up to the hard one; throws where that is not enough.
void need_descriptors(const Setup& setup) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  const double busy = setup.rate * (setup.run_time + 1);
  const double needed = setup.executors + 2 * (setup.open_jobs + setup.waiting_jobs + busy) + 64;
  if (needed > static_cast<double>(limit.rlim_max))
    throw BadStandin("descriptors: " + std::to_string(static_cast<long>(needed)) +
                     " are needed, the system's hard limit is " + std::to_string(limit.rlim_max));
}

// What has been used since it was made.
class Window {
 public:
  Window(const NodeProcess& node, const Executors& executors, const Discovery& discovery)
      : node_(node),
        executors_(executors),
        discovery_(discovery),
        cpu_(node.cpu_seconds()),
        executor_bytes_(bytes(executors.traffic)),
        discovery_bytes_(bytes(discovery.traffic)),
        launches_(executors.came) {}
  double cpu() const { return node_.cpu_seconds() - cpu_; }
  double seconds() const { return since(start_); }
  // As shares of a core and bytes a second.
  void write_into(Figures& figures, const std::string& name) const {
    figures[name + "_cpu"] = cpu() / seconds();
    figures[name + "_executor_bytes"] =
        static_cast<double>(bytes(executors_.traffic) - executor_bytes_) / seconds();
    figures[name + "_discovery_bytes"] =
        static_cast<double>(bytes(discovery_.traffic) - discovery_bytes_) / seconds();
    figures[name + "_launches"] = static_cast<double>(executors_.came - launches_);
  }

 private:
  static std::uint64_t bytes(const Traffic& traffic) { return traffic.read + traffic.written; }
  const NodeProcess& node_;
  const Executors& executors_;
  const Discovery& discovery_;
  const LoopTime start_ = LoopClock::now();
  double cpu_;
  std::uint64_t executor_bytes_, discovery_bytes_, launches_;
};

class Play {
 public:
  Play(const Setup& setup, double seconds, const std::string& program)
      : setup_(setup),
        seconds_(seconds),
        executors_(loop_, static_cast<int>(setup.executors), kLongRun),
        discovery_(loop_, executors_.addresses()),
        started_(LoopClock::now()),
        node_(loop_, program, configuration(setup, discovery_.address(), 0)) {
    executors_.progress(setup.progress);
  }

  Figures run() {
    come_up();
    Clients clients(loop_, node_.last_word("listening on "), "job0");
    fill(clients);
    quiet();
    if (setup_.rate > 0) busy(clients);
    last_reload(clients);
    figures_["open"] = executors_.open;
    if (node_.ended()) throw BadStandin("the node ended in the middle of the play: " + node_.log());
    return figures_;
  }

 private:
  void need(bool fulfilled, const std::string& what) const {
    if (!fulfilled) throw BadStandin(what + "; the node's log: " + node_.log());
  }

  void come_up() {
    need(loop_.run(kMostStarting,
                   [&] {
                     return node_.ended() ||
                            (node_.logged("listening on ") > 0 && node_.logged("roster taken") > 0);
                   }) &&
             !node_.ended(),
         "the node did not come up");
    figures_["ready"] = since(started_);
  }

  void fill(Clients& clients) {
    fill(clients, setup_.open_jobs);
    // Also where they are launched again, which the node may do in the quiet window.
    if (setup_.waiting_jobs > 0)
      executors_.faults({{setup_.waiting_as == "hang" ? JobFault::kHang : JobFault::kSilent, 1, 0, 1e9, 0}});
    fill(clients, setup_.waiting_jobs);
    loop_.run(kSettling);
  }

  void fill(Clients& clients, double jobs) {
    const std::uint64_t sent = clients.sent + static_cast<std::uint64_t>(jobs);
    clients.hand_in({kFillRate, static_cast<int>(jobs), kTimeLeft});
    const LoopTime from = LoopClock::now();
    loop_.run(jobs / kFillRate + kMostFilling,
              [&] { return clients.sent >= sent && executors_.came >= sent; });
    if (jobs > 0) figures_["filled"] = since(from);
    need(jobs == 0 || executors_.open > 0, "no job has reached an executor");
  }

  void quiet() {
    ListScript script{setup_.list_changes, setup_.whole_lists > 0, static_cast<int>(setup_.gone),
                      seconds_ / 2};
    discovery_.play(script);
    const Window window(node_, executors_, discovery_);
    const LoopTime until = LoopClock::now() + seconds_of(seconds_);
    LoopTime next = LoopClock::now();
    while (setup_.reloads > 0 && next + seconds_of(0.1) < until) {
      reload();
      next += seconds_of(60 / setup_.reloads);
      loop_.run(std::chrono::duration<double>(std::min(next, until) - LoopClock::now()).count());
    }
    loop_.run(std::chrono::duration<double>(until - LoopClock::now()).count());
    window.write_into(figures_, "idle");
    figures_["memory"] = node_.memory_mb();
    figures_["threads"] = node_.threads();
    figures_["descriptors"] = node_.descriptors();
  }

  void busy(Clients& clients) {
    executors_.run_time(setup_.run_time);
    executors_.faults({});
    const std::uint64_t sent = clients.sent, served = clients.served;
    const int jobs = static_cast<int>(setup_.rate * seconds_);
    clients.took.clear();
    const std::uint64_t refused = clients.refused, failed = clients.failed;
    clients.hand_in({setup_.rate, jobs, kTimeLeft});
    const Window window(node_, executors_, discovery_);
    loop_.run(seconds_ + kMostAnswering, [&] {
      return clients.sent - sent == static_cast<std::uint64_t>(jobs) &&
             clients.served + clients.refused + clients.failed - served - refused - failed >=
                 static_cast<std::uint64_t>(jobs);
    });
    window.write_into(figures_, "busy");
    const double done = static_cast<double>(clients.served - served);
    const double own = window.cpu() - figures_["idle_cpu"] * window.seconds();
    if (done > 0) figures_["job_cpu"] = own / done * 1000;
    figures_["unserved"] = jobs - done;
    figures_["latency_p50"] = quantile(clients.took, 0.5) * 1000;
    figures_["latency_p99"] = quantile(clients.took, 0.99) * 1000;
  }

  void reload() {
    const LoopTime from = LoopClock::now();
    const int before = node_.logged("reload: discovery is ");
    node_.reload(configuration(setup_, discovery_.address(), ++version_));
    loop_.run(kMostReloading, [&] { return node_.logged("reload: discovery is ") > before; });
    reload_took_.push_back(since(from));
  }

  // Applied as the console tells it, which it does of figures that are up to 0.1 s old.
  void last_reload(Clients& clients) {
    const std::string console = node_.last_word("console on ");
    const LoopTime from = LoopClock::now();
    reload();
    const std::string applied = "node_sighup_applied_total " + std::to_string(version_) + "\n";
    bool in_force = false;
    while (!in_force && since(from) < kMostReloading) {
      bool answered = false;
      clients.ask(console, "/_vars", [&](const std::string& answer) {
        answered = true;
        in_force = answer.find(applied) != std::string::npos;
      });
      if (!loop_.run(kMostReloading, [&] { return answered; }))
        throw BadStandin("the console does not answer");
      if (!in_force) loop_.run(0.01);
    }
    figures_["reload_applied"] = since(from);
    figures_["reload_read"] = quantile(reload_took_, 0.5);
  }

  const Setup setup_;
  const double seconds_;
  Loop loop_;
  Executors executors_;
  Discovery discovery_;
  LoopTime started_;
  NodeProcess node_;
  Figures figures_;
  std::vector<double> reload_took_;
  int version_ = 0;
};

}  // namespace

const std::vector<Measure>& measures() {
  static const std::vector<Measure> kAll = {
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
  return kAll;
}

Figures play(const Setup& setup, double seconds, const std::string& program) {
  need_descriptors(setup);
  return Play(setup, seconds, program).run();
}

}  // namespace canvasstage::lab::real
