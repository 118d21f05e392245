#include "net/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>

#include "net/threads.h"

namespace canvasstage::net {
namespace {

std::shared_ptr<spdlog::logger> logger;

std::string_view name_of(Side side) {
  return side == Side::kClient ? "client" : side == Side::kExecutor ? "executor" : "discovery";
}

std::string_view name_of(Reason reason) {
  static constexpr std::string_view kNames[] = {
      "peer_closed", "peer_broke", "left_while_open", "answered_last", "idle",     "bad_message",
      "too_large",   "no_room",    "unreachable",     "send_failed",   "given_up", "no_reuse",
      "silent",      "refused",    "moved",           "no_thread"};
  return kNames[static_cast<int>(reason)];
}

}  // namespace

void start_log(const std::string& name) {
  // Holds a line for each connection of a node with all descriptors in use, if all end at the same time.
  constexpr std::size_t kQueueLines = 2048;
  retry_while_refused([] { spdlog::init_thread_pool(kQueueLines, 1); });
  logger = std::make_shared<spdlog::async_logger>(name, std::make_shared<spdlog::sinks::stdout_sink_mt>(),
                                                  spdlog::thread_pool(),
                                                  spdlog::async_overflow_policy::overrun_oldest);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %n %v");
  logger->flush_on(spdlog::level::info);
}

void stop_log() {
  spdlog::shutdown();  // joins the log's thread
  logger.reset();
}

void log_connection_end(Side side, std::uint64_t id, std::string_view peer, Reason reason) {
  if (logger) logger->info("end side={} id={} peer={} reason={}", name_of(side), id, peer, name_of(reason));
}

void log_note(std::string_view text) {
  if (logger) logger->info("{}", text);
}

}  // namespace canvasstage::net
