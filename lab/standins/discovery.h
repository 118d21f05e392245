// A stand-in for discovery: the list, watches, and a script of changes.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "standins/loop.h"

namespace canvasstage::lab {

// How the list changes while it is watched.
struct ListScript {
  double changes = 0;  // entries that changed (their executor started anew) in each second
  bool whole = false;  // tells the whole list each time instead of what changed
  int gone = 0;        // so many entries leave in one list,
  double gone_at = 0;  // so many seconds after the script starts
};

// One executor as the list names it.
struct ListedExecutor {
  std::string id, address;
  std::string lifecycle = "active";
  std::int64_t started_ms = 0;  // Unix time; 0: long ago
  std::string zone = "a";
  int cell = 1;
};

class Discovery {
 public:
  // Listens on a loopback address (127.0.0.1:0: any port); the first version holds these executors.
  Discovery(Loop& loop, const std::vector<std::string>& executors, const std::string& at = "127.0.0.1:0");
  const std::string& address() const { return address_; }
  void play(const ListScript& script);
  void change(int entries, bool whole);
  void leave(int entries);
  // From now on this is the list, whatever it was: each watch is told it whole.
  void replace(std::uint64_t generation, std::vector<ListedExecutor> executors);

  Traffic traffic;
  std::uint64_t calls = 0, lists = 0;  // requests; lines with a list that were written

 private:
  using Entry = ListedExecutor;
  void accept();
  void read_from(const StreamRef& stream);
  void answer(const StreamRef& stream, std::string_view target);
  void tell(const std::vector<const Entry*>& entries, bool whole);
  void keep_alive();
  void change_on(LoopTime next, double owed, ListScript script);
  std::vector<const Entry*> all() const;
  std::string line(const std::vector<const Entry*>& entries, bool whole) const;
  Loop& loop_;
  net::Socket listener_;
  std::string address_;
  std::vector<Entry> entries_;
  std::size_t next_ = 0;  // the entry that changes next
  std::uint64_t generation_ = 1;
  std::unordered_map<Stream*, StreamRef> callers_;
  std::vector<StreamRef> watches_;
};

}  // namespace canvasstage::lab
