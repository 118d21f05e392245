#include "net/threads.h"

#include <pthread.h>
#include <time.h>

#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace canvasstage::net {
namespace {

using std::chrono::milliseconds;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t kStackBytes = 512 * 1024;  // sanitizers make stack frames several times larger
#else
constexpr std::size_t kStackBytes = 64 * 1024;
#endif
constexpr milliseconds kRetryInterval{10};
// A process that gets no thread for 10 s cannot serve at all.
constexpr int kMaxStartTries = 1000;

void pause_before_retry() {
  constexpr timespec kPause{0, kRetryInterval.count() * 1000000};
  ::nanosleep(&kPause, nullptr);
}

// Counts the running threads, apart from the reserve thread.
struct RunningThreads {
  std::mutex mutex;
  std::condition_variable thread_ended;
  int count = 0;
};

RunningThreads& running_threads() {
  static RunningThreads all;
  return all;
}

void count_end() {
  const std::lock_guard lock(running_threads().mutex);
  --running_threads().count;
  running_threads().thread_ended.notify_all();
}

using Body = std::function<void()>;

void* run_body(void* argument) {
  {
    const std::unique_ptr<Body> body(static_cast<Body*>(argument));
    (*body)();
  }
  count_end();
  return nullptr;
}

bool create_thread(void* (*run)(void*), void* argument) {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kStackBytes);
  pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  pthread_t thread;
  const bool created = pthread_create(&thread, &attributes, run, argument) == 0;
  pthread_attr_destroy(&attributes);
  return created;
}

// Starts a thread for the body and takes ownership of it. Returns false, leaving the body to the caller, if
// the system refuses.
bool try_start(std::unique_ptr<Body>& body) {
  {
    const std::lock_guard lock(running_threads().mutex);
    ++running_threads().count;
  }
  if (create_thread(run_body, body.get())) {
    static_cast<void>(body.release());  // the thread owns it now
    return true;
  }
  count_end();
  return false;
}

// Holds the thread starts that the system refused, and retries them in order on a reserve thread.
class PendingStarts {
 public:
  // Never destroyed, because its thread runs until the process ends.
  static PendingStarts& instance() {
    static PendingStarts* const pending_starts = new PendingStarts;
    return *pending_starts;
  }

  void add(std::unique_ptr<Body> body, std::function<bool()> still_waiting) {
    const std::lock_guard lock(mutex_);
    pending_.push_back({std::move(body), std::move(still_waiting)});
    start_added_.notify_one();
  }

  void clear() {
    const std::lock_guard lock(mutex_);  // waits until retry_starts() has finished with the list
    pending_.clear();
  }

 private:
  struct PendingStart {
    std::unique_ptr<Body> body;
    std::function<bool()> still_waiting;
  };

  PendingStarts() {
    const auto run = [](void* self) -> void* { static_cast<PendingStarts*>(self)->retry_starts(); };
    for (int tries = 0; !create_thread(run, this); ++tries) {
      if (tries == kMaxStartTries) throw std::runtime_error("the system refused the reserve thread for 10 s");
      pause_before_retry();
    }
  }

  [[noreturn]] void retry_starts() {
    for (;;) {
      {
        std::unique_lock lock(mutex_);
        start_added_.wait(lock, [this] { return !pending_.empty(); });
        pending_.remove_if([](PendingStart& start) {
          return try_start(start.body) || (start.still_waiting && start.still_waiting());
        });
        if (pending_.empty()) continue;
      }
      pause_before_retry();
    }
  }

  std::mutex mutex_;
  std::condition_variable start_added_;
  std::list<PendingStart> pending_;
};

}  // namespace

void start_thread(std::function<void()> body, std::function<bool()> still_waiting) {
  PendingStarts& pending_starts = PendingStarts::instance();
  auto owned_body = std::make_unique<Body>(std::move(body));
  if (!try_start(owned_body)) pending_starts.add(std::move(owned_body), std::move(still_waiting));
}

void retry_while_refused(const std::function<void()>& start) {
  for (int tries = 1;; ++tries) try {
      return start();
    } catch (const std::system_error&) {
      if (tries == kMaxStartTries) throw;
      pause_before_retry();
    }
}

bool wait_for_threads(milliseconds timeout) {
  PendingStarts::instance().clear();
  std::unique_lock lock(running_threads().mutex);
  return running_threads().thread_ended.wait_for(lock, timeout, [] { return running_threads().count == 0; });
}

}  // namespace canvasstage::net
