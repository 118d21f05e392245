#include "faults/fault_table.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace canvasstage::lab::faults {

FaultTable* map_fault_table(const char* path) {
  const int file = ::open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file < 0) return nullptr;
  void* mapped = MAP_FAILED;
  if (::ftruncate(file, sizeof(FaultTable)) == 0)
    mapped = ::mmap(nullptr, sizeof(FaultTable), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  return mapped == MAP_FAILED ? nullptr : static_cast<FaultTable*>(mapped);
}

FaultSwitches::FaultSwitches(std::string path)
    : path_(std::move(path)), table_(map_fault_table(path_.c_str())) {
  if (table_ == nullptr) throw std::runtime_error("cannot map the fault table: " + path_);
}

FaultSwitches::~FaultSwitches() {
  ::munmap(table_, sizeof(FaultTable));
}

void FaultSwitches::set(Fault fault, double share) {
  constexpr double kMillion = 1e6;
  table_->per_million[static_cast<std::size_t>(fault)] = static_cast<std::uint32_t>(share * kMillion);
}

void FaultSwitches::clear() {
  for (std::atomic<std::uint32_t>& share : table_->per_million) share = 0;
}

void FaultSwitches::set_wall_clock_offset(double seconds) {
  table_->wall_clock_offset_ms = static_cast<std::int64_t>(seconds * 1000);
}

std::uint64_t FaultSwitches::injected(Fault fault) const {
  return table_->injected[static_cast<std::size_t>(fault)];
}

}  // namespace canvasstage::lab::faults
