// Tests of the simulator adapter: unknown events, invalid input, and the reply to a request.
#include "simhost/adapter.h"

#include <gtest/gtest.h>

#include <string>

namespace canvasstage::simhost {
namespace {

std::string answer(Adapter& adapter, std::string line) {
  return std::string(adapter.answer(line));
}

std::string error_of(std::string line) {
  Adapter adapter;
  try {
    adapter.answer(line);
  } catch (const BadInput& input) {
    return input.what();
  }
  return "";
}

TEST(Adapter, UnknownEventsAndInstancesAreSkipped) {
  Adapter adapter;
  EXPECT_EQ(answer(adapter, R"({"clock":1,"news":[["Later",3],["TickDue",3,7],["ClientGone",9,4]]})"),
            "{\"actions\":[]}\n");
}

TEST(Adapter, BadInputNamesTheField) {
  EXPECT_NE(error_of("{").find("not JSON"), std::string::npos);
  EXPECT_NE(error_of(R"({"clock":1})").find("news"), std::string::npos);
  EXPECT_NE(error_of(R"({"clock":1,"news":[["Hello",0,1,{}]]})").find("useCases"), std::string::npos);
  EXPECT_NE(error_of(R"({"clock":1,"news":[["TickDue","x",7]]})").find("TickDue: node"), std::string::npos);
}

TEST(Adapter, RequestWithoutExecutorsIsAnsweredBeforeDeadline) {
  Adapter adapter;
  const std::string hello =
      R"({"clock":10.0,"news":[["Hello",0,1,{"caps":{"mostLaunches":2},"guarantees":{},"replicasOfMe":1,)"
      R"("useCases":[{"name":"a","agreedTime":9,"hardLimit":9,"semantics":"free"}]}],)"
      R"(["Topology",0,"remembered",1,[]],["Knock",0,77,"a",null,null,12.5,null,1,null,0]]})";
  EXPECT_EQ(answer(adapter, hello).find("Bounce"), std::string::npos);
  const std::string reply = answer(adapter, R"({"clock":12.499,"news":[["TickDue",0,16777216]]})");
  EXPECT_NE(reply.find(R"(["Bounce",0,77])"), std::string::npos) << reply;
}

}  // namespace
}  // namespace canvasstage::simhost
