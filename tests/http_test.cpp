#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "http/parser.h"
#include "http/writer.h"

// Guards against a parser that reads a message differently from other HTTP implementations or depending on
// how the bytes are split over reads: a request could then be smuggled in behind another one, or a valid one
// be rejected.
namespace canvasstage::http {
namespace {

Progress parse_head(Head& head, const std::string& bytes) {
  return head.read(bytes);
}

Progress parse_request(const std::string& bytes) {
  Head head(Head::Kind::kRequest);
  return parse_head(head, bytes);
}

// Returns the content of a body that is read in two parts, split at `cut`; prefixed by "more:" if the body is
// incomplete. Sets `bytes_after` to the bytes behind the body.
std::string decode_body(const std::string& bytes, std::size_t cut, Framing framing, std::size_t length,
                        std::string* bytes_after = nullptr) {
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
  if (bytes_after != nullptr) *bytes_after = rest;
  return progress == Progress::kDone ? content : "more:" + content;
}

TEST(Head, SplitHeadParsesTheSame) {
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

TEST(Head, MalformedHeadsAreRejected) {
  const std::string end = " HTTP/1.1\r\n\r\n";
  EXPECT_EQ(parse_request("GET /" + end), Progress::kDone);
  for (const std::string bad :
       {"GET\r\n\r\n", "GET / HTTP/2.0\r\n\r\n", "G T / HTTP/1.1\r\n\r\n", "GET x HTTP/1.1\r\n\r\n",
        "GET /\x01 HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nNo colon\r\n\r\n",
        "GET / HTTP/1.1\r\n: none\r\n\r\n", "GET / HTTP/1.1\r\nA : b\r\n\r\n",
        "GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", "GET / HTTP/1.1\r\n folded: x\r\n\r\n", "\r\n\r\n"})
    EXPECT_EQ(parse_request(bad), Progress::kBad) << bad;
}

TEST(Head, AmbiguousLengthsAreRejected) {
  const auto with = [](const std::string& fields) {
    return parse_request("POST / HTTP/1.1\r\n" + fields + "\r\n");
  };
  for (const char* const bad :
       {"Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: -1\r\n", "Content-Length: 5x\r\n", "Content-Length:\r\n",
        "Content-Length: 99999999999999999999\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n"})
    EXPECT_EQ(with(bad), Progress::kBad) << bad;
}

TEST(Head, OversizedMessagesAreRejected) {
  EXPECT_EQ(parse_request("GET / HTTP/1.1\r\nA: " + std::string(kMaxHeadBytes, 'x')),
            Progress::kHeadTooLarge);
  std::string many = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 100; ++i) many += "A: b\r\n";
  EXPECT_EQ(parse_request(many + "\r\n"), Progress::kHeadTooLarge);
  EXPECT_EQ(parse_request("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"), Progress::kBodyTooLarge);
}

TEST(Head, KeepAliveFollowsVersionAndConnectionField) {
  Head persistent(Head::Kind::kRequest), closing(Head::Kind::kRequest), http_1_0(Head::Kind::kRequest);
  EXPECT_EQ(parse_head(persistent, "GET / HTTP/1.1\r\n\r\n"), Progress::kDone);
  EXPECT_TRUE(persistent.keep_alive);
  EXPECT_EQ(parse_head(closing, "GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n"), Progress::kDone);
  EXPECT_FALSE(closing.keep_alive);
  EXPECT_EQ(parse_head(http_1_0, "GET / HTTP/1.0\r\n\r\n"), Progress::kDone);
  EXPECT_FALSE(http_1_0.keep_alive);
}

TEST(Head, AnswerFramingFollowsFields) {
  Head chunked(Head::Kind::kAnswer), until_close(Head::Kind::kAnswer), bad(Head::Kind::kAnswer);
  EXPECT_EQ(parse_head(chunked, "HTTP/1.1 503 X\r\nTransfer-Encoding: Chunked\r\n\r\n"), Progress::kDone);
  EXPECT_EQ(chunked.status, 503);
  EXPECT_EQ(chunked.framing, Framing::kChunked);
  EXPECT_EQ(parse_head(until_close, "HTTP/1.1 200 OK\r\n\r\n"), Progress::kDone);
  EXPECT_EQ(until_close.framing, Framing::kUntilClose);
  EXPECT_FALSE(until_close.keep_alive);
  EXPECT_EQ(parse_head(bad, "HTTP/1.1 20 OK\r\n\r\n"), Progress::kBad);
}

TEST(Body, SplitChunksDecodeTheSame) {
  const std::string bytes = "4;name=\"v\"\r\nabcd\r\n0a\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\nGET";
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    std::string bytes_after;
    ASSERT_EQ(decode_body(bytes, cut, Framing::kChunked, 0, &bytes_after), "abcd0123456789") << cut;
    EXPECT_EQ(bytes_after, "GET") << cut;
  }
}

TEST(Body, MalformedChunksAreRejected) {
  for (const char* const bad :
       {"x\r\n", "\r\n", "4\r\nabcdX", "4\nabcd", "fffffffff\r\n", "-1\r\n", "2\r\nab\rX"})
    EXPECT_EQ(decode_body(bad, 0, Framing::kChunked, 0), "bad") << bad;
}

TEST(Body, LengthLeavesFollowingBytes) {
  std::string bytes_after;
  EXPECT_EQ(decode_body("abcdef", 2, Framing::kLength, 4, &bytes_after), "abcd");
  EXPECT_EQ(bytes_after, "ef");
  EXPECT_EQ(decode_body("", 0, Framing::kLength, 0), "");
  EXPECT_EQ(decode_body("abc", 1, Framing::kLength, 4), "more:abc");
}

TEST(Writer, WritesCompleteMessage) {
  std::string out;
  Writer(out).answer(503).field("Connection", "close").body("why");
  EXPECT_EQ(out, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 3\r\n\r\nwhy");
}

}  // namespace
}  // namespace canvasstage::http
