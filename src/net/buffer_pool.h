// A pool of reusable buffers of one size. Idle connections hold no buffer.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

#include "http/parser.h"

namespace canvasstage::net {

class BufferPool;

// A buffer that returns its bytes to the pool when destroyed. Empty if the pool had no buffer left.
class Buffer {
 public:
  static constexpr std::size_t kSize = http::kMaxHeadBytes + http::kMaxBodyBytes;
  Buffer() = default;
  Buffer(std::unique_ptr<char[]> bytes, BufferPool& pool) : bytes_(std::move(bytes)), pool_(&pool) {}
  Buffer(Buffer&&) = default;
  Buffer& operator=(Buffer&& other) noexcept;
  ~Buffer();
  explicit operator bool() const { return bytes_ != nullptr; }
  char* data() const { return bytes_.get(); }

 private:
  std::unique_ptr<char[]> bytes_;
  BufferPool* pool_ = nullptr;
};

// All member functions may be called from any thread. The pool has to outlive its buffers.
class BufferPool {
 public:
  explicit BufferPool(std::size_t max_buffers) : max_buffers_(max_buffers) {}
  // Returns an empty buffer if the maximum number is in use.
  Buffer take();
  // Returns a buffer even beyond the maximum: a request handed over by another process has had its buffer in
  // that process's pool.
  Buffer take_over_limit();
  // Sets the maximum number of buffers in use. Buffers already in use stay valid.
  void set_limit(std::size_t max_buffers);
  // Waits for a buffer. Returns an empty one if none is returned to the pool within the given time.
  Buffer wait_for_buffer(std::chrono::milliseconds timeout);

 private:
  friend class Buffer;
  Buffer take_locked();
  void return_buffer(std::unique_ptr<char[]> bytes);

  std::mutex mutex_;
  std::condition_variable buffer_returned_;
  std::vector<std::unique_ptr<char[]>> free_buffers_;
  std::size_t max_buffers_, in_use_ = 0;
};

}  // namespace canvasstage::net
