// Threads with small stacks, also where the system refuses one for a while.
#pragma once

#include <chrono>
#include <functional>

namespace canvasstage::net {

// Runs it on a thread of its own. Where the system has none left (EAGAIN) it waits for one; meanwhile
// `waiting` is called every 10 ms on a thread in reserve, and has to return soon. True: that has dealt with
// it, and no thread is needed any more.
void start_thread(std::function<void()> body, std::function<bool()> waiting = nullptr);
// Calls it again and again while it ends with std::system_error, as std::thread does where the system refuses
// one; the last error goes on.
void retry_while_refused(const std::function<void()>& start);
// Waits until every thread has ended, for as long as this at most. What still waits for a thread is dropped
// first.
bool threads_end_within(std::chrono::milliseconds limit);

}  // namespace canvasstage::net
