#include "net/buffer_pool.h"

#include <utility>

namespace canvasstage::net {

Buffer& Buffer::operator=(Buffer&& other) noexcept {
  std::swap(bytes_, other.bytes_);
  std::swap(pool_, other.pool_);
  return *this;
}

Buffer::~Buffer() {
  if (bytes_) pool_->give_back(std::move(bytes_));
}

Buffer BufferPool::take() {
  const std::lock_guard lock(mutex_);
  return out_ < most_ ? next() : Buffer();
}

Buffer BufferPool::take_beyond() {
  const std::lock_guard lock(mutex_);
  return next();
}

void BufferPool::limit(std::size_t most) {
  const std::lock_guard lock(mutex_);
  most_ = most;
  given_back_.notify_all();
}

Buffer BufferPool::wait_for_one(std::chrono::milliseconds limit) {
  std::unique_lock lock(mutex_);
  return given_back_.wait_for(lock, limit, [this] { return out_ < most_; }) ? next() : Buffer();
}

Buffer BufferPool::next() {
  ++out_;
  // Not zeroed: the system gives pages as they are written, and most messages are small.
  if (free_.empty()) return {std::unique_ptr<char[]>(new char[Buffer::kSize]), *this};
  Buffer buffer(std::move(free_.back()), *this);
  free_.pop_back();
  return buffer;
}

void BufferPool::give_back(std::unique_ptr<char[]> bytes) {
  const std::lock_guard lock(mutex_);
  --out_;
  free_.push_back(std::move(bytes));
  given_back_.notify_one();
}

}  // namespace canvasstage::net
