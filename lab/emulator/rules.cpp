#include "emulator/rules.h"

#include <algorithm>
#include <cmath>

namespace canvasstage::lab {
namespace {

// 50 ms: an answer may be in flight when the deadline passes.
constexpr Microseconds kAnswerGrace = 50000;
// Tolerance for sums of random work, which may exceed their bound by chance.
constexpr double kRandomWorkFactor = 1.25;
constexpr std::size_t kMaxMessages = 20;

std::uint64_t node_executor_key(int node, int executor) {
  return static_cast<std::uint64_t>(node) << 32 | static_cast<std::uint32_t>(executor);
}

}  // namespace

RuleChecker::RuleChecker(const Scenario& scenario)
    : scenario_(scenario), executors_(static_cast<std::size_t>(scenario.executors)) {}

void RuleChecker::add_executor(int executor, int zone, int cell, double capacity) {
  Executor& state = executors_[static_cast<std::size_t>(executor)];
  state.zone = zone;
  state.cell = cell;
  state.capacity = capacity;
}

void RuleChecker::executor_started(int executor, Microseconds now) {
  Executor& state = executors_[static_cast<std::size_t>(executor)];
  finish_warm_up(state, now);
  state.started = now;
  state.recent_requests.clear();
  state.requests_in_span = state.total_requests = state.peak_load = 0;
  state.recent_work.clear();
  state.recent_work_sum = 0;
}

void RuleChecker::membership_reported(int node, int executor, bool active, Microseconds now) {
  if (active)
    inactive_since_.erase(node_executor_key(node, executor));
  else
    inactive_since_.emplace(node_executor_key(node, executor), now);
}

void RuleChecker::request_accepted(std::uint64_t request, int use_case, Microseconds due) {
  requests_[request] = Request{use_case, due, false, {}};
}

void RuleChecker::attempt_started(std::uint64_t request, std::uint64_t attempt_id, int node, int executor,
                                  double work, Microseconds now) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second.closed) {
    report_violation(Rule::kSingleAnswer, now,
                     "request " + std::to_string(request) + ": attempt started after the request ended");
    return;
  }
  if (const auto since = inactive_since_.find(node_executor_key(node, executor));
      since != inactive_since_.end() && now - since->second > to_microseconds(scenario_.drain_grace))
    report_violation(Rule::kDrain, now,
                     "executor " + std::to_string(executor) + ": attempt started after the drain grace");
  check_retry(found->second, executor, now);
  found->second.attempts.push_back({attempt_id, executor, now});
  check_cold_load(executors_[static_cast<std::size_t>(executor)], executor, work, now);
  record_cold_load(executors_[static_cast<std::size_t>(executor)], found->second.use_case, now);
}

void RuleChecker::check_retry(const Request& record, int executor, Microseconds now) {
  const WorkClass& work_class = scenario_.classes[static_cast<std::size_t>(record.use_case)];
  const Executor& target = executors_[static_cast<std::size_t>(executor)];
  for (const Attempt& earlier : record.attempts) {
    if (earlier.open) report_violation(Rule::kNoUnsafeRetry, now, "two attempts of one request are open");
    if (!earlier.may_have_run || work_class.effect == Effect::kIdempotent) continue;
    const Executor& previous = executors_[static_cast<std::size_t>(earlier.executor)];
    const bool in_scope =
        work_class.idempotency_scope == IdempotencyScope::kAll ||
        (work_class.idempotency_scope == IdempotencyScope::kZone && previous.zone == target.zone) ||
        (work_class.idempotency_scope == IdempotencyScope::kCell && previous.cell == target.cell);
    if (work_class.effect == Effect::kAtMostOnce || !in_scope ||
        now > earlier.started_at + to_microseconds(work_class.idempotency_window))
      report_violation(Rule::kNoUnsafeRetry, now, "retried although an earlier attempt may have run");
  }
}

void RuleChecker::check_cold_load(Executor& executor, int index, double work, Microseconds now) {
  if (executor.started < 0 || scenario_.executor_warm_up <= 0) return;
  const double age = to_seconds(now - executor.started);
  if (age > scenario_.executor_warm_up) return;
  const Microseconds span = to_microseconds(scenario_.overload_span);
  while (!executor.recent_work.empty() && now - executor.recent_work.front().first > span) {
    executor.recent_work_sum -= executor.recent_work.front().second;
    executor.recent_work.pop_front();
  }
  executor.recent_work.emplace_back(now, work);
  executor.recent_work_sum += work;
  const double capacity_share =
      scenario_.cold_start_share + (1 - scenario_.cold_start_share) * age / scenario_.executor_warm_up;
  const double work_limit =
      scenario_.overload_multiple * executor.capacity * capacity_share * scenario_.overload_span;
  // A single request may be larger than the whole limit.
  if (executor.recent_work.size() > 1 && executor.recent_work_sum > kRandomWorkFactor * work_limit)
    report_violation(
        Rule::kColdLoad, now,
        "executor " + std::to_string(index) + " received more work than its cold capacity allows");
}

// Returns the requests of mean work that the settings allow in one span at this share of the full capacity.
double RuleChecker::allowed_requests(const Executor& executor, double capacity_share) const {
  return scenario_.overload_multiple * executor.capacity * capacity_share * scenario_.overload_span /
         scenario_.mean_work();
}

void RuleChecker::record_cold_load(Executor& executor, int use_case, Microseconds now) {
  if (executor.started < 0 || scenario_.executor_warm_up <= 0) return;
  const double age = to_seconds(now - executor.started);
  if (age > scenario_.executor_warm_up) return;
  const WorkClass& work_class = scenario_.classes[static_cast<std::size_t>(use_case)];
  const double mean_requests = work_class.work * work_class.width / scenario_.mean_work();
  while (!executor.recent_requests.empty() &&
         now - executor.recent_requests.front().first > to_microseconds(scenario_.overload_span)) {
    executor.requests_in_span -= executor.recent_requests.front().second;
    executor.recent_requests.pop_front();
  }
  executor.recent_requests.emplace_back(now, mean_requests);
  executor.requests_in_span += mean_requests;
  executor.total_requests += mean_requests;
  const double capacity_share =
      scenario_.cold_start_share + (1 - scenario_.cold_start_share) * age / scenario_.executor_warm_up;
  const double allowed = allowed_requests(executor, capacity_share);
  executor.peak_load =
      std::max(executor.peak_load, executor.requests_in_span / (allowed + 2 * std::sqrt(allowed) + 2));
}

// Closes the statistics of a warm-up when it, the process or the run ends.
void RuleChecker::finish_warm_up(Executor& executor, Microseconds now) {
  if (executor.started < 0 || scenario_.executor_warm_up <= 0) return;
  const double until = std::min(to_seconds(now - executor.started), scenario_.executor_warm_up);
  if (until <= 0) return;
  const double capacity_share =
      scenario_.cold_start_share + (1 - scenario_.cold_start_share) * until / scenario_.executor_warm_up / 2;
  const double budget_use = executor.total_requests * scenario_.overload_span /
                            (allowed_requests(executor, capacity_share) * until);
  if (executor.peak_load > 1) ++cold_.overloaded;
  cold_.peak_load = std::max(cold_.peak_load, executor.peak_load);
  cold_.budget_use += (budget_use - cold_.budget_use) / static_cast<double>(++cold_.executors);
}

void RuleChecker::attempt_not_run(std::uint64_t request, std::uint64_t attempt_id) {
  if (const auto found = requests_.find(request); found != requests_.end())
    for (Attempt& attempt : found->second.attempts)
      if (attempt.id == attempt_id) attempt.may_have_run = false;
}

void RuleChecker::attempt_closed(std::uint64_t request, std::uint64_t attempt_id) {
  if (const auto found = requests_.find(request); found != requests_.end())
    for (Attempt& attempt : found->second.attempts)
      if (attempt.id == attempt_id) attempt.open = false;
}

void RuleChecker::answered(std::uint64_t request, bool shed, Microseconds now) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || found->second.closed) {
    report_violation(Rule::kSingleAnswer, now, "request " + std::to_string(request) + " answered again");
    return;
  }
  Request& record = found->second;
  if (now > record.due + kAnswerGrace)
    report_violation(Rule::kSingleAnswer, now,
                     "request " + std::to_string(request) + " answered after its deadline");
  const WorkClass& work_class = scenario_.classes[static_cast<std::size_t>(record.use_case)];
  const bool may_retry_anywhere =
      work_class.effect == Effect::kIdempotent || (work_class.effect == Effect::kIdempotentByKey &&
                                                   work_class.idempotency_scope == IdempotencyScope::kAll);
  if (shed && !may_retry_anywhere &&
      std::any_of(record.attempts.begin(), record.attempts.end(),
                  [](const Attempt& attempt) { return attempt.may_have_run; }))
    report_violation(Rule::kNoUnsafeRetry, now,
                     "request " + std::to_string(request) + " shed although an attempt may have run");
  record.closed = true;
  record.attempts.clear();
}

void RuleChecker::client_disconnected(std::uint64_t request) {
  if (const auto found = requests_.find(request); found != requests_.end()) found->second.closed = true;
}

void RuleChecker::run_ended(Microseconds now) {
  for (Executor& executor : executors_)
    finish_warm_up(executor, std::min(now, to_microseconds(scenario_.length)));
  std::uint64_t unanswered = 0;
  for (const auto& [id, record] : requests_)
    if (!record.closed && now > record.due + kAnswerGrace) ++unanswered;
  for (; unanswered > 0; --unanswered)
    report_violation(Rule::kSingleAnswer, now, "a request was never answered");
}

std::uint64_t RuleChecker::violations() const {
  std::uint64_t sum = 0;
  for (const std::uint64_t count : violations_) sum += count;
  return sum;
}

void RuleChecker::report_violation(Rule rule, Microseconds now, const std::string& message) {
  ++violations_[static_cast<std::size_t>(rule)];
  if (messages_.size() < kMaxMessages)
    messages_.push_back(std::to_string(to_seconds(now)) + " s: " + message);
}

}  // namespace canvasstage::lab
