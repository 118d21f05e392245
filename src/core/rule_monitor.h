// The rules that hold for every request and every attempt, in one place, checked at run time against what the
// node was told and has sent. It keeps its own account: what the module decided, and on which grounds, is not
// asked. An attempt that it refuses is not sent; what it finds broken is counted and told. No I/O, no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "policy.h"

namespace canvasstage {

enum class Rule {
  kFinalAnswer,  // one for each request, before its deadline; no attempt behind it
  kEffectOnce,   // a further attempt only where no effect can happen twice; one at a time
  kDrain,        // nothing new for an executor that drains or is gone, once the grace is over
  kDeadline,     // an attempt is told no more time than its client has left
  kCount
};
constexpr std::size_t kRules = static_cast<std::size_t>(Rule::kCount);
const char* name_of(Rule rule);

struct RuleViolation {
  Rule rule;
  std::string what;
};

class RuleMonitor {
 public:
  using Counts = std::array<std::uint64_t, kRules>;

  // The list says so from now on.
  void executor_listed(Time now, int executor, Lifecycle standing, int zone, int cell);

  // Requests go by the node's index, which is used again. `due`: as its client said.
  void request_accepted(int request, const UseCase& terms, Time due);
  // Of another process, or before a power loss.
  void restore_attempt(int request, int executor, Time sent, bool pending, bool may_have_run);
  // It has its final answer.
  std::optional<RuleViolation> request_answered(Time now, int request);
  // Its client left, or it goes on in another process.
  void request_released(int request);

  // Asked before an attempt is sent; one that breaks a rule is not to be.
  std::optional<RuleViolation> check_attempt(Time now, int request, int executor, Time give_up_at,
                                             Time drain_grace);
  void attempt_ended(int request, std::size_t number, bool may_have_run);

  // Violations of each rule so far.
  const Counts& counts() const { return counts_; }

 private:
  struct ExecutorSeen {
    Lifecycle standing = Lifecycle::kActive;
    int zone = -1, cell = -1;
    Time since = 0;  // of that standing
  };
  struct AttemptSeen {
    int executor = 0;
    Time sent = 0;
    bool pending = true, may_have_run = true;
  };
  // Thousands may be open: what is needed of its terms, and no more.
  struct RequestSeen {
    Effect effect = Effect::kIdempotent;
    IdempotencyScope group = IdempotencyScope::kAll;
    bool over = true;
    Time window = 0;
    Time due = 0;
    std::vector<AttemptSeen> attempts;
  };
  RequestSeen& request_at(int request);
  const ExecutorSeen& executor_at(int executor);
  std::optional<RuleViolation> violated(Rule rule, std::string what);
  std::optional<RuleViolation> check_repeat(Time now, const RequestSeen& request, int executor);

  std::vector<ExecutorSeen> executors_;
  std::vector<RequestSeen> requests_;
  Counts counts_{};
};

}  // namespace canvasstage
