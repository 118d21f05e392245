#include "emulator/rules.h"

#include <algorithm>
#include <cmath>

namespace canvasstage::lab {
namespace {

// An answer may be on its way when the limit passes.
constexpr Micros kLate = 50000;
// A sum of random work is to be over its bound by more than chance makes it.
constexpr double kChanceSlack = 1.25;
constexpr std::size_t kMostWords = 20;

std::uint64_t pair_of(int node, int executor) {
  return static_cast<std::uint64_t>(node) << 32 | static_cast<std::uint32_t>(executor);
}

}  // namespace

Rules::Rules(const Scenario& scenario)
    : scenario_(scenario), executors_(static_cast<std::size_t>(scenario.executors)) {}

void Rules::executor_is(int executor, int zone, int cell, double capacity) {
  Executor& one = executors_[static_cast<std::size_t>(executor)];
  one.zone = zone;
  one.cell = cell;
  one.capacity = capacity;
}

void Rules::executor_started(int executor, Micros now) {
  Executor& one = executors_[static_cast<std::size_t>(executor)];
  end_of_cold(one, now);
  one.started = now;
  one.requests.clear();
  one.in_span = one.in_all = one.highest = 0;
  one.cold.clear();
  one.cold_sum = 0;
}

void Rules::told(int node, int executor, bool ready, Micros now) {
  if (ready)
    not_ready_since_.erase(pair_of(node, executor));
  else
    not_ready_since_.emplace(pair_of(node, executor), now);
}

void Rules::taken(std::uint64_t job, int use_case, Micros due) {
  jobs_[job] = Job{use_case, due, false, {}};
}

void Rules::launched(std::uint64_t job, std::uint64_t launch, int node, int executor, double work,
                     Micros now) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end() || found->second.over) {
    breaks(Rule::kOneAnswer, now, "job " + std::to_string(job) + " launched after its end");
    return;
  }
  if (const auto since = not_ready_since_.find(pair_of(node, executor));
      since != not_ready_since_.end() && now - since->second > micros(scenario_.drain_grace))
    breaks(Rule::kDrain, now, "executor " + std::to_string(executor) + " launched at after the grace");
  check_repeat(found->second, executor, now);
  found->second.sent.push_back({launch, executor, now});
  check_cold(executors_[static_cast<std::size_t>(executor)], executor, work, now);
  count_cold(executors_[static_cast<std::size_t>(executor)], found->second.use_case, now);
}

void Rules::check_repeat(const Job& job, int executor, Micros now) {
  const WorkClass& terms = scenario_.classes[static_cast<std::size_t>(job.use_case)];
  const Executor& to = executors_[static_cast<std::size_t>(executor)];
  for (const Sent& earlier : job.sent) {
    if (earlier.out) breaks(Rule::kNoRepeat, now, "two launches of one job are out");
    if (!earlier.may_have_run || terms.effect == Effect::kIdempotent) continue;
    const Executor& from = executors_[static_cast<std::size_t>(earlier.executor)];
    const bool grouped = terms.group == IdempotencyScope::kAll ||
                         (terms.group == IdempotencyScope::kZone && from.zone == to.zone) ||
                         (terms.group == IdempotencyScope::kCell && from.cell == to.cell);
    if (terms.effect == Effect::kAtMostOnce || !grouped || now > earlier.when + micros(terms.window))
      breaks(Rule::kNoRepeat, now, "launched again though it may have run");
  }
}

void Rules::check_cold(Executor& executor, int index, double work, Micros now) {
  if (executor.started < 0 || scenario_.warm_span <= 0) return;
  const double age = in_seconds(now - executor.started);
  if (age > scenario_.warm_span) return;
  const Micros span = micros(scenario_.fall_span);
  while (!executor.cold.empty() && now - executor.cold.front().first > span) {
    executor.cold_sum -= executor.cold.front().second;
    executor.cold.pop_front();
  }
  executor.cold.emplace_back(now, work);
  executor.cold_sum += work;
  const double part = scenario_.cold_from + (1 - scenario_.cold_from) * age / scenario_.warm_span;
  const double bound = scenario_.fall_multiple * executor.capacity * part * scenario_.fall_span;
  // One job alone may be larger than all that it can bear.
  if (executor.cold.size() > 1 && executor.cold_sum > kChanceSlack * bound)
    breaks(Rule::kCold, now, "executor " + std::to_string(index) + " was sent more than it bears while cold");
}

// Requests of mean work that the settings allow in one span at this part of the full capacity.
double Rules::allowed(const Executor& executor, double part) const {
  return scenario_.fall_multiple * executor.capacity * part * scenario_.fall_span / scenario_.mean_work();
}

void Rules::count_cold(Executor& executor, int use_case, Micros now) {
  if (executor.started < 0 || scenario_.warm_span <= 0) return;
  const double age = in_seconds(now - executor.started);
  if (age > scenario_.warm_span) return;
  const WorkClass& terms = scenario_.classes[static_cast<std::size_t>(use_case)];
  const double request = terms.work * terms.width / scenario_.mean_work();
  while (!executor.requests.empty() && now - executor.requests.front().first > micros(scenario_.fall_span)) {
    executor.in_span -= executor.requests.front().second;
    executor.requests.pop_front();
  }
  executor.requests.emplace_back(now, request);
  executor.in_span += request;
  executor.in_all += request;
  const double part = scenario_.cold_from + (1 - scenario_.cold_from) * age / scenario_.warm_span;
  const double n = allowed(executor, part);
  executor.highest = std::max(executor.highest, executor.in_span / (n + 2 * std::sqrt(n) + 2));
}

// Its warm-up is over, or its process, or the run.
void Rules::end_of_cold(Executor& executor, Micros now) {
  if (executor.started < 0 || scenario_.warm_span <= 0) return;
  const double until = std::min(in_seconds(now - executor.started), scenario_.warm_span);
  if (until <= 0) return;
  const double part = scenario_.cold_from + (1 - scenario_.cold_from) * until / scenario_.warm_span / 2;
  const double use = executor.in_all * scenario_.fall_span / (allowed(executor, part) * until);
  if (executor.highest > 1) ++cold_.fallen;
  cold_.highest = std::max(cold_.highest, executor.highest);
  cold_.use += (use - cold_.use) / static_cast<double>(++cold_.executors);
}

void Rules::never_ran(std::uint64_t job, std::uint64_t launch) {
  if (const auto found = jobs_.find(job); found != jobs_.end())
    for (Sent& sent : found->second.sent)
      if (sent.launch == launch) sent.may_have_run = false;
}

void Rules::not_out(std::uint64_t job, std::uint64_t launch) {
  if (const auto found = jobs_.find(job); found != jobs_.end())
    for (Sent& sent : found->second.sent)
      if (sent.launch == launch) sent.out = false;
}

void Rules::answered(std::uint64_t job, bool pushed_back, Micros now) {
  const auto found = jobs_.find(job);
  if (found == jobs_.end() || found->second.over) {
    breaks(Rule::kOneAnswer, now, "job " + std::to_string(job) + " answered again");
    return;
  }
  Job& one = found->second;
  if (now > one.due + kLate)
    breaks(Rule::kOneAnswer, now, "job " + std::to_string(job) + " answered after its limit");
  const WorkClass& terms = scenario_.classes[static_cast<std::size_t>(one.use_case)];
  const bool repeats_anywhere =
      terms.effect == Effect::kIdempotent ||
      (terms.effect == Effect::kIdempotentByKey && terms.group == IdempotencyScope::kAll);
  if (pushed_back && !repeats_anywhere &&
      std::any_of(one.sent.begin(), one.sent.end(), [](const Sent& sent) { return sent.may_have_run; }))
    breaks(Rule::kNoRepeat, now, "job " + std::to_string(job) + " pushed back though it may have run");
  one.over = true;
  one.sent.clear();
}

void Rules::client_left(std::uint64_t job) {
  if (const auto found = jobs_.find(job); found != jobs_.end()) found->second.over = true;
}

void Rules::ended(Micros now) {
  for (Executor& executor : executors_) end_of_cold(executor, std::min(now, micros(scenario_.length)));
  std::uint64_t lost = 0;
  for (const auto& [number, job] : jobs_)
    if (!job.over && now > job.due + kLate) ++lost;
  for (; lost > 0; --lost) breaks(Rule::kOneAnswer, now, "a job was never answered");
}

std::uint64_t Rules::broken() const {
  std::uint64_t sum = 0;
  for (const std::uint64_t count : counts_) sum += count;
  return sum;
}

void Rules::breaks(Rule rule, Micros now, const std::string& what) {
  ++counts_[static_cast<std::size_t>(rule)];
  if (words_.size() < kMostWords) words_.push_back(std::to_string(in_seconds(now)) + " s: " + what);
}

}  // namespace canvasstage::lab
