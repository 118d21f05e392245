// Replaces operator new and delete to count the heap bytes requested. Each block is preceded by a header with
// its size. Over-aligned blocks use the library's operators and are not counted; the core has none.
#include <cstddef>
#include <cstdlib>
#include <new>

#include "scale/scale.h"
#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/asan_interface.h>
#else
#define ASAN_POISON_MEMORY_REGION(pointer, size) ((void)(pointer))
#define ASAN_UNPOISON_MEMORY_REGION(pointer, size) ((void)(pointer))
#endif

namespace {

enum class AllocationKind : std::size_t { kSingle = 0x6f6e65, kArray = 0x6d616e79 };
struct BlockHeader {
  std::size_t size;
  AllocationKind kind;
};
constexpr std::size_t kHeaderSize = alignof(std::max_align_t);
static_assert(kHeaderSize >= sizeof(BlockHeader));
thread_local constinit std::int64_t thread_bytes_in_use = 0;

void* allocate(std::size_t size, AllocationKind kind) noexcept {
  char* const block =
      size > PTRDIFF_MAX - kHeaderSize ? nullptr : static_cast<char*>(std::malloc(size + kHeaderSize));
  if (block == nullptr) return nullptr;
  *reinterpret_cast<BlockHeader*>(block) = {size, kind};
  ASAN_POISON_MEMORY_REGION(
      block, kHeaderSize);  // replaces the sanitizer's red zone, which now lies before the header
  thread_bytes_in_use += static_cast<std::int64_t>(size);
  return block + kHeaderSize;
}

// Aborts if new and delete do not match: the sanitizer no longer sees which operator allocated a block.
void deallocate(void* pointer, AllocationKind kind) noexcept {
  if (pointer == nullptr) return;
  char* const block = static_cast<char*>(pointer) - kHeaderSize;
  ASAN_UNPOISON_MEMORY_REGION(block, kHeaderSize);
  const BlockHeader header = *reinterpret_cast<BlockHeader*>(block);
  if (header.kind != kind) std::abort();
  thread_bytes_in_use -= static_cast<std::int64_t>(header.size);
  std::free(block);
}

void* allocate_or_throw(std::size_t size, AllocationKind kind) {
  void* const pointer = allocate(size, kind);
  if (pointer == nullptr) throw std::bad_alloc();
  return pointer;
}

}  // namespace

namespace canvasstage::lab {
std::int64_t bytes_in_use() {
  return thread_bytes_in_use;
}
}  // namespace canvasstage::lab

void* operator new(std::size_t size) {
  return allocate_or_throw(size, AllocationKind::kSingle);
}
void* operator new[](std::size_t size) {
  return allocate_or_throw(size, AllocationKind::kArray);
}
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  return allocate(size, AllocationKind::kSingle);
}
void* operator new[](std::size_t size, const std::nothrow_t&) noexcept {
  return allocate(size, AllocationKind::kArray);
}
void operator delete(void* pointer) noexcept {
  deallocate(pointer, AllocationKind::kSingle);
}
void operator delete[](void* pointer) noexcept {
  deallocate(pointer, AllocationKind::kArray);
}
void operator delete(void* pointer, std::size_t) noexcept {
  deallocate(pointer, AllocationKind::kSingle);
}
void operator delete[](void* pointer, std::size_t) noexcept {
  deallocate(pointer, AllocationKind::kArray);
}
void operator delete(void* pointer, const std::nothrow_t&) noexcept {
  deallocate(pointer, AllocationKind::kSingle);
}
void operator delete[](void* pointer, const std::nothrow_t&) noexcept {
  deallocate(pointer, AllocationKind::kArray);
}
