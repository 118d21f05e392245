#include "net/buffer_pool.h"

#include <utility>

namespace canvasstage::net {

Buffer& Buffer::operator=(Buffer&& other) noexcept {
  std::swap(bytes_, other.bytes_);
  std::swap(pool_, other.pool_);
  return *this;
}

Buffer::~Buffer() {
  if (bytes_) pool_->return_buffer(std::move(bytes_));
}

Buffer BufferPool::take() {
  const std::lock_guard lock(mutex_);
  return in_use_ < max_buffers_ ? take_locked() : Buffer();
}

Buffer BufferPool::take_over_limit() {
  const std::lock_guard lock(mutex_);
  return take_locked();
}

void BufferPool::set_limit(std::size_t max_buffers) {
  const std::lock_guard lock(mutex_);
  max_buffers_ = max_buffers;
  buffer_returned_.notify_all();
}

Buffer BufferPool::wait_for_buffer(std::chrono::milliseconds timeout) {
  std::unique_lock lock(mutex_);
  return buffer_returned_.wait_for(lock, timeout, [this] { return in_use_ < max_buffers_; }) ? take_locked()
                                                                                             : Buffer();
}

Buffer BufferPool::take_locked() {
  ++in_use_;
  // Not zeroed: the system allocates pages when they are first written, and most messages are small.
  if (free_buffers_.empty()) return {std::unique_ptr<char[]>(new char[Buffer::kSize]), *this};
  Buffer buffer(std::move(free_buffers_.back()), *this);
  free_buffers_.pop_back();
  return buffer;
}

void BufferPool::return_buffer(std::unique_ptr<char[]> bytes) {
  const std::lock_guard lock(mutex_);
  --in_use_;
  free_buffers_.push_back(std::move(bytes));
  buffer_returned_.notify_one();
}

}  // namespace canvasstage::net
