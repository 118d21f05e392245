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
constexpr std::size_t kStack = 512 * 1024;  // the sanitizers' frames are several times larger
#else
constexpr std::size_t kStack = 64 * 1024;
#endif
constexpr milliseconds kRetry{10};
// A process that has no thread for so long cannot serve at all.
constexpr int kMostStarts = 1000;

void pause() {
  constexpr timespec kPause{0, kRetry.count() * 1000000};
  ::nanosleep(&kPause, nullptr);
}

// The threads that run, but for the one in reserve.
struct Running {
  std::mutex mutex;
  std::condition_variable ended;
  int count = 0;
};

Running& running() {
  static Running all;
  return all;
}

void count_end() {
  const std::lock_guard lock(running().mutex);
  --running().count;
  running().ended.notify_all();
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

bool create(void* (*run)(void*), void* argument) {
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kStack);
  pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  pthread_t thread;
  const bool created = pthread_create(&thread, &attributes, run, argument) == 0;
  pthread_attr_destroy(&attributes);
  return created;
}

// Takes the body where it could be started.
bool start_now(std::unique_ptr<Body>& body) {
  {
    const std::lock_guard lock(running().mutex);
    ++running().count;
  }
  if (create(run_body, body.get())) {
    static_cast<void>(body.release());  // the thread owns it now
    return true;
  }
  count_end();
  return false;
}

// Starts what could not be started at once, in order.
class Reserve {
 public:
  // Lives as long as the process: its thread waits for ever.
  static Reserve& instance() {
    static Reserve* const one = new Reserve;
    return *one;
  }

  void add(std::unique_ptr<Body> body, std::function<bool()> waiting) {
    const std::lock_guard lock(mutex_);
    entries_.push_back({std::move(body), std::move(waiting)});
    added_.notify_one();
  }

  void drop_all() {
    const std::lock_guard lock(mutex_);  // not while an entry is looked at
    entries_.clear();
  }

 private:
  struct Entry {
    std::unique_ptr<Body> body;
    std::function<bool()> waiting;
  };

  Reserve() {
    const auto run = [](void* self) -> void* { static_cast<Reserve*>(self)->serve(); };
    for (int starts = 0; !create(run, this); ++starts) {
      if (starts == kMostStarts) throw std::runtime_error("no thread to be had");
      pause();
    }
  }

  [[noreturn]] void serve() {
    for (;;) {
      {
        std::unique_lock lock(mutex_);
        added_.wait(lock, [this] { return !entries_.empty(); });
        entries_.remove_if(
            [](Entry& entry) { return start_now(entry.body) || (entry.waiting && entry.waiting()); });
        if (entries_.empty()) continue;
      }
      pause();
    }
  }

  std::mutex mutex_;
  std::condition_variable added_;
  std::list<Entry> entries_;
};

}  // namespace

void start_thread(std::function<void()> body, std::function<bool()> waiting) {
  Reserve& reserve = Reserve::instance();
  auto owned = std::make_unique<Body>(std::move(body));
  if (!start_now(owned)) reserve.add(std::move(owned), std::move(waiting));
}

void retry_while_refused(const std::function<void()>& start) {
  for (int starts = 1;; ++starts) try {
      return start();
    } catch (const std::system_error&) {
      if (starts == kMostStarts) throw;
      pause();
    }
}

bool threads_end_within(milliseconds limit) {
  Reserve::instance().drop_all();
  std::unique_lock lock(running().mutex);
  return running().ended.wait_for(lock, limit, [] { return running().count == 0; });
}

}  // namespace canvasstage::net
