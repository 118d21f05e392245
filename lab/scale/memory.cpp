// Counts the heap's bytes as they are asked for: each block bears its size in front. Over-aligned blocks keep
// the library's own operators and aren't counted; the core has none.
#include <cstddef>
#include <cstdlib>
#include <new>

#include "scale/scale.h"
#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/asan_interface.h>
#else
#define ASAN_POISON_MEMORY_REGION(at, size) ((void)(at))
#define ASAN_UNPOISON_MEMORY_REGION(at, size) ((void)(at))
#endif

namespace {

enum class Form : std::size_t { kOne = 0x6f6e65, kArray = 0x6d616e79 };
struct Head {
  std::size_t size;
  Form form;
};
constexpr std::size_t kHead = alignof(std::max_align_t);
static_assert(kHead >= sizeof(Head));
thread_local constinit std::int64_t in_use = 0;

void* taken(std::size_t size, Form form) noexcept {
  char* const block = size > PTRDIFF_MAX - kHead ? nullptr : static_cast<char*>(std::malloc(size + kHead));
  if (block == nullptr) return nullptr;
  *reinterpret_cast<Head*>(block) = {size, form};
  ASAN_POISON_MEMORY_REGION(block, kHead);  // as the sanitizer's own red zone, which is further in front now
  in_use += static_cast<std::int64_t>(size);
  return block + kHead;
}

// The sanitizer no longer sees which operator a block came from.
void given_back(void* at, Form form) noexcept {
  if (at == nullptr) return;
  char* const block = static_cast<char*>(at) - kHead;
  ASAN_UNPOISON_MEMORY_REGION(block, kHead);
  const Head head = *reinterpret_cast<Head*>(block);
  if (head.form != form) std::abort();
  in_use -= static_cast<std::int64_t>(head.size);
  std::free(block);
}

void* taken_or_thrown(std::size_t size, Form form) {
  void* const at = taken(size, form);
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
  return taken_or_thrown(size, Form::kOne);
}
void* operator new[](std::size_t size) {
  return taken_or_thrown(size, Form::kArray);
}
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  return taken(size, Form::kOne);
}
void* operator new[](std::size_t size, const std::nothrow_t&) noexcept {
  return taken(size, Form::kArray);
}
void operator delete(void* at) noexcept {
  given_back(at, Form::kOne);
}
void operator delete[](void* at) noexcept {
  given_back(at, Form::kArray);
}
void operator delete(void* at, std::size_t) noexcept {
  given_back(at, Form::kOne);
}
void operator delete[](void* at, std::size_t) noexcept {
  given_back(at, Form::kArray);
}
void operator delete(void* at, const std::nothrow_t&) noexcept {
  given_back(at, Form::kOne);
}
void operator delete[](void* at, const std::nothrow_t&) noexcept {
  given_back(at, Form::kArray);
}
