// Detached threads with small stacks. If the system refuses a thread for a while, the start is retried.
#pragma once

#include <chrono>
#include <functional>

namespace canvasstage::net {

// Runs `body` on a thread of its own. If the system has no thread left (EAGAIN), the start is retried every
// 10 ms. After each failed retry, `still_waiting` is called on a reserve thread and has to return soon; if it
// returns true, `body` is dropped without being run.
void start_thread(std::function<void()> body, std::function<bool()> still_waiting = nullptr);
// Calls `start` until it returns without std::system_error, which std::thread throws if the system refuses a
// thread. After too many failures the last error is thrown on.
void retry_while_refused(const std::function<void()>& start);
// Drops all starts that still wait for a thread, and waits until every thread has ended. Returns false if
// that takes longer than the given time.
bool wait_for_threads(std::chrono::milliseconds timeout);

}  // namespace canvasstage::net
