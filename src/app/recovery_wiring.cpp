#include "app/recovery_wiring.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "net/discovery.h"
#include "net/log.h"
#include "net/node_context.h"
#include "storage/clock.h"

namespace canvasstage {
namespace {

// Limits the log lines for attempts in doubt that cannot be repeated. The attempts beyond this number are
// only counted.
constexpr std::size_t kMaxListedAttempts = 20;

std::string format_seconds(Time time) {
  return std::to_string(time / kSecond) + " s";
}

}  // namespace

RecoveryWiring::RecoveryWiring(const recovery::RecoverySettings& settings, const std::string& node, Time now,
                               Post post)
    : settings_(settings),
      post_(std::move(post)),
      node_recovery_{.membership = recovery::MembershipGuard(settings.membership),
                     .learned = settings.learned,
                     .attempts = {},
                     .store = nullptr,
                     .run = 0,
                     .log = [](const std::string& line) { net::log_note(line); },
                     .node = node,
                     .peers = {},
                     .peer_answers = nullptr} {
  if (!settings.peers.nodes.empty()) node_recovery_.peers.emplace(settings.peers, now);
  try {
    auto store = open_store(now);
    restored_ = store->restored();
    node_recovery_.run = store->run();
    writer_ = std::make_unique<storage::StoreWriter>(std::move(store), store_events());
  } catch (const storage::StoreError& error) {
    const bool is_retryable =
        error.kind == storage::StoreErrorKind::kSystem || error.kind == storage::StoreErrorKind::kFull;
    net::log_note("recovery: store is " + std::string(storage::describe(error.kind)) + ": " + error.what() +
                  (is_retryable ? "; it is tried again" : "; serving without a store"));
    if (!is_retryable) return;
    writer_ = std::make_unique<storage::StoreWriter>(nullptr, store_events());
  }
  if (settings.log_attempts) node_recovery_.attempts.emplace(settings.attempts);
  node_recovery_.store = writer_.get();
}

std::unique_ptr<storage::NodeStore> RecoveryWiring::open_store(Time now) const {
  return std::make_unique<storage::NodeStore>(settings_, node_recovery_.node, storage::read_clocks(), now);
}

storage::StoreEvents RecoveryWiring::store_events() {
  storage::StoreEvents events;
  events.failed = [](const std::string& failure) { net::log_note("recovery: store is " + failure); };
  events.recovered = [] { net::log_note("recovery: store works again"); };
  events.open = [this] { return open_store(net::now()); };
  events.opened = [this](const storage::NodeStore& store) {
    post_([this, run = store.run(), restored = store.restored()](Time now) mutable {
      restore_late_store(now, run, std::move(restored));
    });
  };
  return events;
}

// Runs after the start of the node, when the node already has a newer executor list and learned state: only
// the attempts are restored.
void RecoveryWiring::restore_late_store(Time now, std::uint64_t run, storage::RestoredState restored) {
  node_recovery_.run = run;
  restored_ = std::move(restored);
  restore_attempts(now);
  restored_ = {};
  writer_->accept_attempts();
}

RecoveryWiring::~RecoveryWiring() {
  if (!writer_) return;
  const std::uint64_t commits = writer_->commits();
  writer_.reset();
  net::log_note("recovery: commits of the store: " + std::to_string(commits));
}

const recovery::PeerAnswers& RecoveryWiring::publish_peer_answers() {
  node_recovery_.peer_answers = &peer_answers_;
  return peer_answers_;
}

void RecoveryWiring::reject_self_as_peer(const recovery::RecoverySettings& settings, const std::string& node,
                                         const std::string& console) {
  for (const recovery::Peer& peer : settings.peers.nodes)
    if (peer.name == node || peer.address == console)
      throw_bad_input("NODE_RECOVERY: peers.nodes: this node itself: " + peer.name + " at " + peer.address);
}

std::uint64_t RecoveryWiring::generation() const {
  return restored_.list ? restored_.list->generation : 0;
}

void RecoveryWiring::restore(Node& node, Time now, const JsonValue& configured_list,
                             const std::string& discovery) {
  node.use_recovery(node_recovery_);
  restore_list(node, now, configured_list, discovery);
  restore_learned(node, now);
  restore_attempts(now);
  restored_ = {};
}

void RecoveryWiring::restore_list(Node& node, Time now, const JsonValue& configured_list,
                                  const std::string& discovery) {
  if (restored_.list && restore_stored_list(node, now)) return;
  if (configured_list.IsNull()) return;
  node_recovery_.membership.restore(discovery, net::validate_list(configured_list));
  net::apply_list(node, now, configured_list, net::ListSource::kCached);
}

bool RecoveryWiring::restore_stored_list(Node& node, Time now) {
  try {
    rapidjson::Document list;
    list.Parse<net::kIterativeJsonParse>(restored_.list->content.data(), restored_.list->content.size());
    net::validate_list(list);
    node_recovery_.membership.restore(restored_.list->discovery, restored_.list->generation);
    net::apply_list(node, now, list, net::ListSource::kCached);
    const bool is_age_known = restored_.list->received_at > -kNever;
    net::log_note("recovery: restored executor list of generation " +
                  std::to_string(restored_.list->generation) +
                  (is_age_known ? " received " + format_seconds(now - restored_.list->received_at) + " ago"
                                : " of unknown age") +
                  ", " + std::to_string(list["instances"].Size()) + " executors");
    return true;
  } catch (const BadInput& input) {
    net::log_note(std::string("recovery: stored executor list is invalid and ignored: ") + input.what());
    return false;
  }
}

void RecoveryWiring::restore_learned(Node& node, Time now) {
  if (!restored_.learned) return;
  if (!recovery::is_usable(restored_.learned_age, settings_.learned))
    return net::log_note("recovery: stored learned state is not used, " +
                         (restored_.learned_age ? "it is " + format_seconds(*restored_.learned_age) + " old"
                                                : std::string("its age is unknown")));
  try {
    rapidjson::Document learned;
    learned.Parse<net::kIterativeJsonParse>(restored_.learned->content.data(),
                                            restored_.learned->content.size());
    node.restore_learned(now, learned, *restored_.learned_age);
    net::log_note("recovery: learned state stored " + format_seconds(*restored_.learned_age) +
                  " ago is used");
  } catch (const BadInput& input) {
    net::log_note(std::string("recovery: stored learned state is invalid and ignored: ") + input.what());
  }
}

void RecoveryWiring::restore_attempts(Time now) {
  if (!node_recovery_.attempts) return;
  const std::size_t unknown_age_count = restored_.attempts_of_unknown_age;
  if (unknown_age_count > 0)
    net::log_note("recovery: " + std::to_string(unknown_age_count) +
                  " attempts of unknown age: their idempotency window is treated as expired");
  node_recovery_.attempts->restore(std::move(restored_.attempts));
  node_recovery_.store->forget(node_recovery_.attempts->expire(now));
  net::log_note("recovery: " + std::to_string(node_recovery_.attempts->in_doubt()) + " attempts in doubt");
  const std::vector<const recovery::AttemptRecord*> unrepeatable =
      node_recovery_.attempts->in_doubt_without_key();
  for (std::size_t i = 0; i < std::min(unrepeatable.size(), kMaxListedAttempts); ++i)
    net::log_note("recovery: in doubt and not repeatable: request " + unrepeatable[i]->request_id + " of " +
                  unrepeatable[i]->use_case + " at " + unrepeatable[i]->executor + ", sent " +
                  format_seconds(now - unrepeatable[i]->sent_at) + " ago");
  if (unrepeatable.size() > kMaxListedAttempts)
    net::log_note("recovery: and " + std::to_string(unrepeatable.size() - kMaxListedAttempts) +
                  " more that are not repeatable");
}

}  // namespace canvasstage
