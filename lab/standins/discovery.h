// A stand-in for discovery: serves the executor list and watches of it, and changes the list by a script.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "standins/loop.h"

namespace canvasstage::lab {

// Changes of the executor list over time.
struct ListScript {
  double changes_per_s = 0;      // entries whose executor restarts, per second
  bool sends_snapshots = false;  // sends the whole list instead of a delta
  int removed = 0;               // entries that leave in a single update,
  double removed_at_s = 0;       // seconds after the script starts
};

// One entry of the executor list.
struct ListedExecutor {
  std::string id, address;
  std::string lifecycle = "active";
  std::int64_t started_ms = 0;  // Unix time; 0: long ago
  std::string zone = "a";
  int cell = 1;
};

// Belongs to the loop's thread.
class Discovery {
 public:
  // Listens on a loopback address (127.0.0.1:0: any port). Generation 1 holds these executors. Throws
  // StandinError for an address outside 127.0.0.0/8.
  Discovery(Loop& loop, const std::vector<std::string>& executors,
            const std::string& listen_address = "127.0.0.1:0");
  const std::string& address() const { return address_; }
  void run_script(const ListScript& script);
  void change_entries(int entries, bool is_snapshot);
  void remove_entries(int entries);
  // Replaces the whole list and sends it to every watch.
  void replace(std::uint64_t generation, std::vector<ListedExecutor> executors);

  Traffic traffic;
  std::uint64_t calls = 0, lists_sent = 0;  // requests received; list lines written

 private:
  using Entry = ListedExecutor;
  void accept();
  void read_from(const StreamRef& stream);
  void answer(const StreamRef& stream, std::string_view target);
  void broadcast(const std::vector<const Entry*>& entries, bool is_snapshot);
  void schedule_keep_alive();
  void schedule_changes(LoopTime next, double carried_changes, ListScript script);
  std::vector<const Entry*> present_entries() const;
  std::string encode_list(const std::vector<const Entry*>& entries, bool is_snapshot) const;
  Loop& loop_;
  net::Socket listener_;
  std::string address_;
  std::vector<Entry> entries_;
  std::size_t next_changed_ = 0;  // index of the next entry to change, modulo the list's size
  std::uint64_t generation_ = 1;
  std::unordered_map<Stream*, StreamRef> streams_;
  std::vector<StreamRef> watches_;
};

}  // namespace canvasstage::lab
