// Counts the heap's bytes as they are asked for: each block bears its size in front. Over-aligned blocks keep
// the library's own operators and aren't counted; the core has none.
#include <cstddef>
#include <cstdlib>
#include <new>

#include "scale/scale.h"

namespace {

constexpr std::size_t kHead = alignof(std::max_align_t);
static_assert(kHead >= sizeof(std::size_t));
thread_local constinit std::int64_t in_use = 0;

void* taken(std::size_t size) noexcept {
  char* const block = size > PTRDIFF_MAX - kHead ? nullptr : static_cast<char*>(std::malloc(size + kHead));
  if (block == nullptr) return nullptr;
  *reinterpret_cast<std::size_t*>(block) = size;
  in_use += static_cast<std::int64_t>(size);
  return block + kHead;
}

void given_back(void* at) noexcept {
  if (at == nullptr) return;
  char* const block = static_cast<char*>(at) - kHead;
  in_use -= static_cast<std::int64_t>(*reinterpret_cast<std::size_t*>(block));
  std::free(block);
}

void* taken_or_thrown(std::size_t size) {
  void* const at = taken(size);
  if (at == nullptr) throw std::bad_alloc();
  return at;
}

}  // namespace

namespace canvasstage::lab {
std::int64_t bytes_in_use() {
  return in_use;
}
}  // namespace canvasstage::lab

void* operator new(std::size_t size) {
  return taken_or_thrown(size);
}
void* operator new[](std::size_t size) {
  return taken_or_thrown(size);
}
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  return taken(size);
}
void* operator new[](std::size_t size, const std::nothrow_t&) noexcept {
  return taken(size);
}
void operator delete(void* at) noexcept {
  given_back(at);
}
void operator delete[](void* at) noexcept {
  given_back(at);
}
void operator delete(void* at, std::size_t) noexcept {
  given_back(at);
}
void operator delete[](void* at, std::size_t) noexcept {
  given_back(at);
}
void operator delete(void* at, const std::nothrow_t&) noexcept {
  given_back(at);
}
void operator delete[](void* at, const std::nothrow_t&) noexcept {
  given_back(at);
}
