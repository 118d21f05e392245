#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "http/parser.h"
#include "http/writer.h"

namespace canvasstage::http {
namespace {

Progress read_head(Head& head, const std::string& bytes) {
  return head.read(bytes);
}

Progress request(const std::string& bytes) {
  Head head(Head::Kind::kRequest);
  return read_head(head, bytes);
}

// The content of a body that comes in two reads, cut at `cut`; `left`: what lies behind it.
std::string body(const std::string& bytes, std::size_t cut, Framing framing, std::size_t length,
                 std::string* left = nullptr) {
  BodyReader reader(framing, length);
  std::string content;
  std::string rest;
  Progress progress = reader.done() ? Progress::kDone : Progress::kMore;
  for (std::string part : {bytes.substr(0, cut), bytes.substr(cut)}) {
    std::size_t taken = 0, written = 0;
    if (progress == Progress::kMore)
      progress = reader.read(part.data(), part.size(), part.data(), taken, written);
    if (progress == Progress::kBad) return "bad";
    content += part.substr(0, written);
    rest += part.substr(taken);
  }
  if (left != nullptr) *left = rest;
  return progress == Progress::kDone ? content : "more:" + content;
}

TEST(Head, AnySplitReadsTheSame) {
  const std::string bytes = "POST /a/7?x=%20 HTTP/1.1\r\nX-One:  two \r\ncontent-length: 12\r\n\r\nrest";
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    Head head(Head::Kind::kRequest);
    const Progress first = head.read(std::string_view(bytes).substr(0, cut));
    if (first != Progress::kDone) {
      ASSERT_EQ(first, Progress::kMore) << cut;
      ASSERT_EQ(head.read(bytes), Progress::kDone) << cut;
    }
    EXPECT_EQ(head.method, "POST");
    EXPECT_EQ(head.target, "/a/7?x=%20");
    EXPECT_EQ(head.field("x-one"), "two");
    EXPECT_EQ(head.length, 12u);
    EXPECT_EQ(head.size(), bytes.size() - 4);
  }
}

TEST(Head, BadOnesAreRefused) {
  const std::string end = " HTTP/1.1\r\n\r\n";
  EXPECT_EQ(request("GET /" + end), Progress::kDone);
  for (const std::string bad :
       {"GET\r\n\r\n", "GET / HTTP/2.0\r\n\r\n", "G T / HTTP/1.1\r\n\r\n", "GET x HTTP/1.1\r\n\r\n",
        "GET /\x01 HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nNo colon\r\n\r\n",
        "GET / HTTP/1.1\r\n: none\r\n\r\n", "GET / HTTP/1.1\r\nA : b\r\n\r\n",
        "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", "GET / HTTP/1.1\r\n folded: x\r\n\r\n", "\r\n\r\n"})
    EXPECT_EQ(request(bad), Progress::kBad) << bad;
}

TEST(Head, LengthsThatMislead) {
  const auto with = [](const std::string& fields) {
    return request("POST / HTTP/1.1\r\n" + fields + "\r\n");
  };
  for (const char* const bad :
       {"Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: -1\r\n", "Content-Length: 5x\r\n", "Content-Length:\r\n",
        "Content-Length: 99999999999999999999\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n"})
    EXPECT_EQ(with(bad), Progress::kBad) << bad;
}

TEST(Head, TooLarge) {
  EXPECT_EQ(request("GET / HTTP/1.1\r\nA: " + std::string(kMaxHeadBytes, 'x')), Progress::kHeadTooLarge);
  std::string many = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 100; ++i) many += "A: b\r\n";
  EXPECT_EQ(request(many + "\r\n"), Progress::kHeadTooLarge);
  EXPECT_EQ(request("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"), Progress::kBodyTooLarge);
}

TEST(Head, WhetherTheConnectionStays) {
  Head stays(Head::Kind::kRequest), ends(Head::Kind::kRequest), old(Head::Kind::kRequest);
  EXPECT_EQ(read_head(stays, "GET / HTTP/1.1\r\n\r\n"), Progress::kDone);
  EXPECT_TRUE(stays.keep_alive);
  EXPECT_EQ(read_head(ends, "GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n"), Progress::kDone);
  EXPECT_FALSE(ends.keep_alive);
  EXPECT_EQ(read_head(old, "GET / HTTP/1.0\r\n\r\n"), Progress::kDone);
  EXPECT_FALSE(old.keep_alive);
}

TEST(Head, AnswersByTheirFraming) {
  Head chunked(Head::Kind::kAnswer), until_close(Head::Kind::kAnswer), bad(Head::Kind::kAnswer);
  EXPECT_EQ(read_head(chunked, "HTTP/1.1 503 X\r\nTransfer-Encoding: Chunked\r\n\r\n"), Progress::kDone);
  EXPECT_EQ(chunked.status, 503);
  EXPECT_EQ(chunked.framing, Framing::kChunked);
  EXPECT_EQ(read_head(until_close, "HTTP/1.1 200 OK\r\n\r\n"), Progress::kDone);
  EXPECT_EQ(until_close.framing, Framing::kUntilClose);
  EXPECT_FALSE(until_close.keep_alive);
  EXPECT_EQ(read_head(bad, "HTTP/1.1 20 OK\r\n\r\n"), Progress::kBad);
}

TEST(Body, ChunksAtAnySplit) {
  const std::string bytes = "4;name=\"v\"\r\nabcd\r\n0a\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\nGET";
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    std::string left;
    ASSERT_EQ(body(bytes, cut, Framing::kChunked, 0, &left), "abcd0123456789") << cut;
    EXPECT_EQ(left, "GET") << cut;
  }
}

TEST(Body, BadChunks) {
  for (const char* const bad :
       {"x\r\n", "\r\n", "4\r\nabcdX", "4\nabcd", "fffffffff\r\n", "-1\r\n", "2\r\nab\rX"})
    EXPECT_EQ(body(bad, 0, Framing::kChunked, 0), "bad") << bad;
}

TEST(Body, ByLengthLeavesWhatFollows) {
  std::string left;
  EXPECT_EQ(body("abcdef", 2, Framing::kLength, 4, &left), "abcd");
  EXPECT_EQ(left, "ef");
  EXPECT_EQ(body("", 0, Framing::kLength, 0), "");
  EXPECT_EQ(body("abc", 1, Framing::kLength, 4), "more:abc");
}

TEST(Writer, WritesAWholeMessage) {
  std::string out;
  Writer(out).answer(503).field("Connection", "close").body("why");
  EXPECT_EQ(out, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 3\r\n\r\nwhy");
}

}  // namespace
}  // namespace canvasstage::http
