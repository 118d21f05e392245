// The node's second address: serves its readiness, its metrics and its answers to peers over HTTP. One thread
// serves all connections, whose number has a limit of its own. The thread reads what the reducer published
// and waits for no other thread.
#pragma once

#include <atomic>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "net/socket.h"
#include "recovery/peer_answers.h"

namespace canvasstage::net {

// Returns the response to the request `received` so far, or an empty string while that is incomplete.
// `peer_answers`: the answers to other nodes; null: their paths are unknown.
std::string console_response(const std::string& received, const MetricsBoard& board,
                             const recovery::PeerAnswers* peer_answers = nullptr);
// Returns the metrics in the Prometheus text exposition format, version 0.0.4.
std::string format_metrics(const Metrics& metrics, std::uint64_t attempts_sent);

class Console {
 public:
  // The limit of open connections. Together with the listener they are counted among the node's descriptors.
  static constexpr int kMaxConnections = 16;
  Console(Socket listener, const MetricsBoard& board) : listener_(std::move(listener)), board_(board) {}
  // Called before run().
  void set_peer_answers(const recovery::PeerAnswers& peer_answers) { peer_answers_ = &peer_answers; }
  std::string address() const { return listener_.address(); }
  // The body of the console's thread. Returns after stop().
  void run();
  void stop() { stopped_ = true; }

 private:
  struct Connection {
    Socket socket;
    Clock::time_point deadline;
    std::string request, response;
    std::size_t sent = 0;
    bool all_sent() const { return !response.empty() && sent == response.size(); }
  };
  void accept_connection();
  // Reads or writes what is possible without waiting. Returns whether the connection stays open.
  bool handle_ready(Connection& connection);
  bool read_request(Connection& connection);

  Socket listener_;
  const MetricsBoard& board_;
  const recovery::PeerAnswers* peer_answers_ = nullptr;
  std::vector<Connection> connections_;  // in order of arrival
  std::atomic<bool> stopped_{false};
};

}  // namespace canvasstage::net
