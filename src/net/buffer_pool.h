// Buffers of one size, used again. An idle connection holds none.
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

// Goes back to its pool by itself. Empty where the pool had none left.
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

class BufferPool {
 public:
  explicit BufferPool(std::size_t most) : most_(most) {}
  Buffer take();
  // What came from another process's pool has room here too.
  Buffer take_beyond();
  void limit(std::size_t most);
  // Empty where none came back in that time.
  Buffer wait_for_one(std::chrono::milliseconds limit);

 private:
  friend class Buffer;
  Buffer next();
  void give_back(std::unique_ptr<char[]> bytes);

  std::mutex mutex_;
  std::condition_variable given_back_;
  std::vector<std::unique_ptr<char[]>> free_;
  std::size_t most_, out_ = 0;
};

}  // namespace canvasstage::net
