#include "app/recovery_wiring.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "net/discovery.h"
#include "net/log.h"
#include "net/world.h"
#include "storage/clock.h"

namespace canvasstage {
namespace {

// More single-use attempts in doubt than this are counted, not listed.
constexpr std::size_t kMostListed = 20;

std::string seconds_words(Time time) {
  return std::to_string(time / kSecond) + " s";
}

}  // namespace

RecoveryWiring::RecoveryWiring(const recovery::RecoverySettings& settings, const std::string& node, Time now,
                               Post post)
    : settings_(settings),
      post_(std::move(post)),
      parts_{.membership = recovery::MembershipGuard(settings.membership),
             .learned = settings.learned,
             .attempts = {},
             .store = nullptr,
             .run = 0,
             .log = [](const std::string& line) { net::log_note(line); },
             .node = node,
             .peers = {},
             .peer_answers = nullptr} {
  if (!settings.peers.nodes.empty()) parts_.peers.emplace(settings.peers, now);
  try {
    auto store = open_store(now);
    restored_ = store->restored();
    parts_.run = store->run();
    writer_ = std::make_unique<storage::StoreWriter>(std::move(store), store_events());
  } catch (const storage::StoreError& error) {
    const bool may_work_again =
        error.defect == storage::Defect::kSystem || error.defect == storage::Defect::kFull;
    net::log_note("recovery: store is " + std::string(storage::words_for(error.defect)) + ": " +
                  error.what() + (may_work_again ? "; it is tried again" : "; serving without it"));
    if (!may_work_again) return;
    writer_ = std::make_unique<storage::StoreWriter>(nullptr, store_events());
  }
  if (settings.log_attempts) parts_.attempts.emplace(settings.attempts);
  parts_.store = writer_.get();
}

std::unique_ptr<storage::NodeStore> RecoveryWiring::open_store(Time now) const {
  return std::make_unique<storage::NodeStore>(settings_, parts_.node, storage::read_clocks(), now);
}

storage::StoreEvents RecoveryWiring::store_events() {
  storage::StoreEvents events;
  events.failed = [](const std::string& failure) { net::log_note("recovery: store is " + failure); };
  events.works_again = [] { net::log_note("recovery: store works again"); };
  events.open = [this] { return open_store(net::now()); };
  events.opened = [this](const storage::NodeStore& store) {
    post_([this, run = store.run(), restored = store.restored()](Time now) mutable {
      store_opened(now, run, std::move(restored));
    });
  };
  return events;
}

// Later than the start: the list and what was learned are older by now than what the node has.
void RecoveryWiring::store_opened(Time now, std::uint64_t run, storage::Restored restored) {
  parts_.run = run;
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

const recovery::PeerAnswers& RecoveryWiring::publish_answers() {
  parts_.peer_answers = &peer_answers_;
  return peer_answers_;
}

void RecoveryWiring::refuse_itself(const recovery::RecoverySettings& settings, const std::string& node,
                                   const std::string& console) {
  for (const recovery::Peer& peer : settings.peers.nodes)
    if (peer.name == node || peer.address == console)
      throw_bad_input("NODE_RECOVERY: peers.nodes: this node itself: " + peer.name + " at " + peer.address);
}

std::uint64_t RecoveryWiring::generation() const {
  return restored_.list ? restored_.list->generation : 0;
}

void RecoveryWiring::restore(Node& node, Time now, const JsonValue& known, const std::string& discovery) {
  node.use_recovery(parts_);
  restore_list(node, now, known, discovery);
  restore_learned(node, now);
  restore_attempts(now);
  restored_ = {};
}

void RecoveryWiring::restore_list(Node& node, Time now, const JsonValue& known,
                                  const std::string& discovery) {
  if (restored_.list && restore_kept_list(node, now)) return;
  if (known.IsNull()) return;
  parts_.membership.restore(discovery, net::check_list(known));
  net::take_list(node, now, known, net::ListSource::kCached);
}

bool RecoveryWiring::restore_kept_list(Node& node, Time now) {
  try {
    rapidjson::Document list;
    list.Parse<net::kNotRecursive>(restored_.list->content.data(), restored_.list->content.size());
    net::check_list(list);
    parts_.membership.restore(restored_.list->discovery, restored_.list->generation);
    net::take_list(node, now, list, net::ListSource::kCached);
    const bool dated = restored_.list->received_at > -kNever;
    net::log_note("recovery: list of generation " + std::to_string(restored_.list->generation) +
                  (dated ? " told " + seconds_words(now - restored_.list->received_at) + " ago"
                         : " of an age that is not known") +
                  ", " + std::to_string(list["instances"].Size()) + " executors");
    return true;
  } catch (const BadInput& input) {
    net::log_note(std::string("recovery: the list that was kept is not taken: ") + input.what());
    return false;
  }
}

void RecoveryWiring::restore_learned(Node& node, Time now) {
  if (!restored_.learned) return;
  if (!recovery::is_usable(restored_.learned_age, settings_.learned))
    return net::log_note("recovery: what was learned is not used, " +
                         (restored_.learned_age ? "it is " + seconds_words(*restored_.learned_age) + " old"
                                                : std::string("its age is not known")));
  try {
    rapidjson::Document learned;
    learned.Parse<net::kNotRecursive>(restored_.learned->content.data(), restored_.learned->content.size());
    node.restore_learned(now, learned, *restored_.learned_age);
    net::log_note("recovery: what was learned " + seconds_words(*restored_.learned_age) + " ago is used");
  } catch (const BadInput& input) {
    net::log_note(std::string("recovery: what was learned is not taken: ") + input.what());
  }
}

void RecoveryWiring::restore_attempts(Time now) {
  if (!parts_.attempts) return;
  const std::size_t unknown = restored_.attempts_of_unknown_age;
  if (unknown > 0)
    net::log_note("recovery: " + std::to_string(unknown) +
                  " attempts of an age that is not known: their window counts as over");
  parts_.attempts->restore(std::move(restored_.attempts));
  parts_.store->forget(parts_.attempts->expire(now));
  net::log_note("recovery: " + std::to_string(parts_.attempts->in_doubt()) + " attempts in doubt");
  const std::vector<const recovery::AttemptRecord*> unsettled = parts_.attempts->without_key();
  for (std::size_t i = 0; i < std::min(unsettled.size(), kMostListed); ++i)
    net::log_note("recovery: in doubt and not repeatable: request " + unsettled[i]->request_id + " of " +
                  unsettled[i]->use_case + " at " + unsettled[i]->executor + ", sent " +
                  seconds_words(now - unsettled[i]->sent_at) + " ago");
  if (unsettled.size() > kMostListed)
    net::log_note("recovery: and " + std::to_string(unsettled.size() - kMostListed) +
                  " more that are not repeatable");
}

}  // namespace canvasstage
