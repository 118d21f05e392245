// Sets up the recovery components of one node: opens the store and restores the state that an earlier run
// stored.
#pragma once

#include <memory>
#include <string>

#include "core/node.h"
#include "recovery/settings.h"
#include "storage/store_writer.h"

namespace canvasstage {

// Owns the store writer and the recovery state that the node uses.
class RecoveryWiring {
 public:
  // Runs a function on the reducer's thread.
  using Post = std::function<void(std::function<void(Time now)>)>;
  // Opens the store. A store that cannot be used is logged, and the node serves without a store. After a disk
  // error or on a full disk the store is retried, and requests with an idempotency key are not accepted until
  // the store can be read.
  RecoveryWiring(const recovery::RecoverySettings& settings, const std::string& node, Time now, Post post);
  RecoveryWiring(const RecoveryWiring&) = delete;
  // Writes the pending updates and logs the number of commits.
  ~RecoveryWiring();
  // Null where the store cannot be used.
  recovery::Store* store() { return writer_.get(); }
  // Returns the answers to peers, for the console address where there is one. From this call on the node
  // publishes its answers there.
  const recovery::PeerAnswers& publish_peer_answers();
  // Throws BadInput where a peer has the name or the console address of this node.
  static void reject_self_as_peer(const recovery::RecoverySettings& settings, const std::string& node,
                                  const std::string& console);
  // The generation of the stored executor list, or 0 where no list was stored.
  std::uint64_t generation() const;
  // Restores the stored executor list, learned state and attempts into the node. Where no list was stored, or
  // the stored list is invalid, uses `configured_list` and its discovery address.
  void restore(Node& node, Time now, const JsonValue& configured_list, const std::string& discovery);

 private:
  void restore_list(Node& node, Time now, const JsonValue& configured_list, const std::string& discovery);
  bool restore_stored_list(Node& node, Time now);
  void restore_learned(Node& node, Time now);
  void restore_attempts(Time now);
  std::unique_ptr<storage::NodeStore> open_store(Time now) const;
  storage::StoreEvents store_events();
  void restore_late_store(Time now, std::uint64_t run, storage::RestoredState restored);

  const recovery::RecoverySettings settings_;
  const Post post_;
  storage::RestoredState restored_;
  recovery::NodeRecovery node_recovery_;
  recovery::PeerAnswers peer_answers_;
  std::unique_ptr<storage::StoreWriter> writer_;
};

}  // namespace canvasstage
