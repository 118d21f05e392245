#include "app/recovery_settings.h"

#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>
#include <string_view>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "core/settings.h"
#include "net/socket.h"

namespace canvasstage {
namespace {

// Reads one table's fields by name, and knows which were asked for.
class TableReader {
 public:
  TableReader(const toml::table& file, std::string file_name, std::string name)
      : file_name_(std::move(file_name)), name_(std::move(name)) {
    const toml::node* const node = file.get(name_);
    if (node == nullptr) return;
    table_ = node->as_table();
    if (table_ == nullptr) fail("", "a table is needed");
  }

  double number(const char* field, double otherwise, double least, double most) {
    const toml::node* const node = value(field);
    if (node == nullptr) return otherwise;
    if (!node->is_number()) fail(field, "a number is needed");
    const double given = *node->value<double>();
    if (!(given >= least && given <= most)) fail(field, "between " + words(least) + " and " + words(most));
    return given;
  }
  int whole(const char* field, int otherwise, int least, int most) {
    if (const toml::node* const node = value(field); node != nullptr && !node->is_integer())
      fail(field, "a whole number is needed");
    return static_cast<int>(number(field, otherwise, least, most));
  }
  bool flag(const char* field, bool otherwise) {
    const toml::node* const node = value(field);
    if (node == nullptr) return otherwise;
    if (!node->is_boolean()) fail(field, "true or false is needed");
    return *node->value<bool>();
  }
  std::string path(const char* field) {
    const toml::node* const node = value(field);
    if (node == nullptr) fail(field, "is missing");
    if (!node->is_string()) fail(field, "a string is needed");
    std::string given = *node->value<std::string>();
    if (given.empty() || given.front() != '/') fail(field, "an absolute path is needed");
    return given;
  }
  const toml::array* list(const char* field) {
    const toml::node* const node = value(field);
    if (node != nullptr && !node->is_array()) fail(field, "a list is needed");
    return node == nullptr ? nullptr : node->as_array();
  }
  [[noreturn]] void fail(const std::string& field, const std::string& why) const {
    throw_bad_input(file_name_ + ": " + name_ + (field.empty() ? "" : "." + field) + ": " + why);
  }
  // After all fields were asked for.
  void refuse_unknown() const {
    if (table_ == nullptr) return;
    for (const auto& [key, node] : *table_)
      if (!asked_.contains(key.str())) fail(std::string(key.str()).c_str(), "not known");
  }

 private:
  const toml::node* value(const char* field) {
    asked_.insert(field);
    return table_ == nullptr ? nullptr : table_->get(field);
  }
  static std::string words(double value) {
    std::ostringstream out;
    out << value;
    return out.str();
  }

  const std::string file_name_, name_;
  const toml::table* table_ = nullptr;
  std::set<std::string, std::less<>> asked_;
};

void read_store(TableReader reader, recovery::RecoverySettings& settings) {
  settings.directory = reader.path("directory");
  settings.max_size_mb = reader.whole("max_size_mb", settings.max_size_mb, 1, 4096);
  reader.refuse_unknown();
}

void read_attempts(TableReader reader, recovery::RecoverySettings& settings) {
  recovery::AttemptLogSettings& attempts = settings.attempts;
  settings.log_attempts = reader.flag("enabled", settings.log_attempts);
  attempts.keep_after_window = time_from_seconds(reader.number("keep_after_window_s", 60, 0, 86400));
  attempts.max_records = static_cast<std::size_t>(
      reader.whole("max_records", static_cast<int>(attempts.max_records), 1, 100000));
  reader.refuse_unknown();
}

void read_learned(TableReader reader, recovery::LearnedSettings& learned) {
  learned.save_interval = time_from_seconds(reader.number("save_every_s", 5, 1, 3600));
  learned.decay_time = time_from_seconds(reader.number("fade_s", 600, 1, 1e6));
  learned.max_age = time_from_seconds(reader.number("max_age_s", 86400, 0, 1e7));
  reader.refuse_unknown();
}

void read_membership(TableReader reader, recovery::MembershipGuardSettings& membership) {
  membership.short_list_hold = time_from_seconds(reader.number("short_list_hold_s", 15, 0, 60));
  membership.short_list_share = reader.number("short_list_share", 0.5, 0, 1);
  reader.refuse_unknown();
}

recovery::Peer read_peer(const TableReader& reader, const toml::node& node) {
  const toml::table* const entry = node.as_table();
  if (entry == nullptr) reader.fail("nodes", "each is a table of name and address");
  for (const auto& [key, value] : *entry)
    if (key != "name" && key != "address") reader.fail("nodes." + std::string(key.str()), "not known");
  recovery::Peer peer;
  for (const auto& [key, into] : {std::pair("name", &peer.name), {"address", &peer.address}}) {
    const auto value = (*entry)[key].value_exact<std::string>();
    if (!value || value->empty()) reader.fail(std::string("nodes.") + key, "a string is needed");
    *into = *value;
  }
  if (!net::is_address(peer.address))
    reader.fail("nodes.address", "not an address and a port: " + peer.address);
  return peer;
}

void read_peers(TableReader reader, recovery::PeerSettings& peers) {
  constexpr std::size_t kMostPeers = 64;
  if (const toml::array* const nodes = reader.list("nodes"); nodes != nullptr)
    for (const toml::node& node : *nodes) {
      const recovery::Peer peer = read_peer(reader, node);
      for (const recovery::Peer& other : peers.nodes)
        if (other.name == peer.name || other.address == peer.address)
          reader.fail("nodes", "twice " + (other.name == peer.name ? peer.name : peer.address));
      peers.nodes.push_back(peer);
    }
  if (peers.nodes.size() > kMostPeers) reader.fail("nodes", "64 at most");
  peers.poll_interval = time_from_seconds(reader.number("ask_every_s", 1, 0.1, 60));
  peers.poll_duration = time_from_seconds(reader.number("ask_for_s", 60, 1, 3600));
  peers.timeout = time_from_seconds(reader.number("timeout_s", 0.5, 0.05, 5));
  peers.startup_wait = time_from_seconds(reader.number("patience_s", 2, 0, 4));
  peers.max_answer_bytes = static_cast<std::size_t>(reader.whole("max_answer_kb", 1024, 1, 8192)) * 1024;
  reader.refuse_unknown();
}

}  // namespace

recovery::RecoverySettings decode_recovery_settings(const std::string& text, const std::string& file) {
  toml::table content;
  try {
    content = toml::parse(text);
  } catch (const toml::parse_error& error) {
    std::ostringstream where;
    where << error.source().begin;
    throw_bad_input(file + ": " + std::string(error.description()) + " (" + where.str() + ")");
  }
  static const std::set<std::string_view> kTables = {"store", "attempts", "learned", "membership", "peers"};
  for (const auto& [key, node] : content)
    if (!kTables.contains(key.str())) throw_bad_input(file + ": " + std::string(key.str()) + ": not known");
  recovery::RecoverySettings settings;
  read_store({content, file, "store"}, settings);
  read_attempts({content, file, "attempts"}, settings);
  read_learned({content, file, "learned"}, settings.learned);
  read_membership({content, file, "membership"}, settings.membership);
  read_peers({content, file, "peers"}, settings.peers);
  return settings;
}

std::optional<recovery::RecoverySettings> read_recovery_settings() {
  const char* const path = std::getenv("NODE_RECOVERY");
  if (path == nullptr) return std::nullopt;
  std::ifstream in(path);
  if (!in) throw_bad_input(std::string("NODE_RECOVERY: cannot read ") + path);
  std::stringstream content;
  content << in.rdbuf();
  return decode_recovery_settings(content.str(), path);
}

}  // namespace canvasstage
