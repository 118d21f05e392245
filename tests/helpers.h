// A host that writes down what it was asked to do, and the smallest settings and fleet for a test.
#pragma once

#include <string>
#include <vector>

#include "policy.h"

namespace canvasstage {

struct Recorder : Host {
  struct Sent {
    int submission, executor;
    Time give_up_at;
  };
  std::vector<Sent> launches;
  std::vector<int> pushed_back, aborted;
  std::vector<std::pair<int, int>> cancelled;
  int subscriptions = 0;
  void launch(int submission, int executor, Time give_up_at) override {
    launches.push_back({submission, executor, give_up_at});
  }
  void push_back(int submission, Time) override { pushed_back.push_back(submission); }
  void abort(int submission) override { aborted.push_back(submission); }
  void cancel(int submission, int number) override { cancelled.emplace_back(submission, number); }
  void subscribe() override { ++subscriptions; }
  void wake_at(Time, std::uint64_t) override {}
};

constexpr Time kNow = 1000 * kSecond;

// Use cases 0, 1 and 2: replayable, referenced (window 10 s, by zone) and single-use.
inline Settings small_settings() {
  Settings settings;
  settings.use_cases.resize(3);
  settings.use_cases[1].effect = Effect::kReferenced;
  settings.use_cases[1].group = Group::kZone;
  settings.use_cases[1].window = 10 * kSecond;
  settings.use_cases[2].effect = Effect::kSingleUse;
  settings.quantum = 20;
  settings.most_launches = 5;
  settings.second_copies = true;
  settings.cancelling = true;
  settings.tells_start = true;
  settings.replicas = 2;
  settings.cold_from = 0.5;
  settings.warm_up = 8 * kSecond;
  settings.fall_multiple = 4;
  settings.fall_span = kSecond;
  return settings;
}

struct Node {
  explicit Node(int executors, Settings settings = small_settings())
      : policy(std::move(settings), host, 1, kNow) {
    for (int i = 0; i < executors; ++i) policy.executor_listed(kNow, i, i % 2, 0, i, Standing::kReady, 0);
    policy.roster_arrived(kNow, RosterForm::kWhole);
  }
  void arrive(int submission, int use_case, Time now = kNow) {
    policy.submission_arrived(now, submission, use_case, kNow + 5 * kSecond, 0, 1);
  }
  // The timer of a submission falls due.
  void look_at(int submission, Time now) {
    policy.timer_due(now, std::uint64_t{policy.submissions[submission].serial} << 24 |
                              static_cast<std::uint64_t>(submission));
  }
  Recorder host;
  Policy policy;
};

}  // namespace canvasstage
