// Builds the parts of recovery for one node: opens its store, and gives the node what an earlier run left.
#pragma once

#include <memory>
#include <string>

#include "core/node.h"
#include "recovery/settings.h"
#include "storage/store_writer.h"

namespace canvasstage {

class RecoveryWiring {
 public:
  // Runs something on the reducer's thread.
  using Post = std::function<void(std::function<void(Time now)>)>;
  // Opens the store. One that cannot be used is a line of the log, and the node serves without it. One whose
  // disk fails is tried again: until it can be read no request with a key is taken.
  RecoveryWiring(const recovery::RecoverySettings& settings, const std::string& node, Time now, Post post);
  RecoveryWiring(const RecoveryWiring&) = delete;
  // Writes what is left, and says how often it wrote.
  ~RecoveryWiring();
  recovery::Store* store() { return writer_.get(); }
  // For the second address, where there is one: from then on what it answers is published.
  const recovery::PeerAnswers& publish_answers();
  // Throws BadInput where a peer is this node, by name or by its second address.
  static void refuse_itself(const recovery::RecoverySettings& settings, const std::string& node,
                            const std::string& console);
  // The generation of the list that was kept; 0: none was.
  std::uint64_t generation() const;
  // Gives the node the kept list and what was learned; `known` and its discovery count where none was kept.
  void restore(Node& node, Time now, const JsonValue& known, const std::string& discovery);

 private:
  void restore_list(Node& node, Time now, const JsonValue& known, const std::string& discovery);
  bool restore_kept_list(Node& node, Time now);
  void restore_learned(Node& node, Time now);
  void restore_attempts(Time now);
  std::unique_ptr<storage::NodeStore> open_store(Time now) const;
  storage::StoreEvents store_events();
  void store_opened(Time now, std::uint64_t run, storage::Restored restored);

  const recovery::RecoverySettings settings_;
  const Post post_;
  storage::Restored restored_;
  recovery::NodeRecovery parts_;
  recovery::PeerAnswers peer_answers_;
  std::unique_ptr<storage::StoreWriter> writer_;
};

}  // namespace canvasstage
