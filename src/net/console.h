// The second address: whether the node serves, and its figures. One thread for all callers, who have a room
// of their own; it reads what the reducer published and waits for nothing else.
#pragma once

#include <atomic>
#include <string>
#include <vector>

#include "core/figures.h"
#include "net/socket.h"
#include "recovery/peer_answers.h"

namespace canvasstage::net {

// What one call is answered; `bytes`: all of it that came so far. Empty: more has to come.
// `peers`: what other nodes are answered; null: they are not known here.
std::string console_answer(const std::string& bytes, const MetricsBoard& board,
                           const recovery::PeerAnswers* peers = nullptr);
// The figures as Prometheus reads them.
std::string format_metrics(const Metrics& figures, std::uint64_t forwards);

class Console {
 public:
  // Callers at once; with the listener, what it takes of the node's descriptors.
  static constexpr int kRoom = 16;
  Console(Socket listener, const MetricsBoard& board) : listener_(std::move(listener)), board_(board) {}
  // Before it runs.
  void answer_peers(const recovery::PeerAnswers& peers) { peers_ = &peers; }
  std::string address() const { return listener_.address(); }
  void run();  // the thread's
  void stop() { stopped_ = true; }

 private:
  struct Caller {
    Socket socket;
    Clock::time_point until;
    std::string in, out;
    std::size_t sent = 0;
    bool said_all() const { return !out.empty() && sent == out.size(); }
  };
  void accept_one();
  // Whether it stays.
  bool go_on(Caller& caller);
  bool read_from(Caller& caller);

  Socket listener_;
  const MetricsBoard& board_;
  const recovery::PeerAnswers* peers_ = nullptr;
  std::vector<Caller> callers_;  // in order of arrival
  std::atomic<bool> stopped_{false};
};

}  // namespace canvasstage::net
