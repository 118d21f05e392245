// Tests of the configuration file: validation, and reloads on SIGHUP while the program runs.
#include "app/configuration.h"

#include <gtest/gtest.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "helpers.h"

namespace canvasstage {
namespace {

const std::string kValidFile = R"({"name":"n0","listen":"127.0.0.1:8443","discovery":"127.0.0.1:8500",
  "console":"127.0.0.1:9800","seed":"8c1f30d27a5be964","limits":{"memory_mb":48,"sockets":384},
  "known":{"generation":1,"reset":true,"instances":[]},
  "settings":{"replicasOfMe":2,"caps":{"mostLaunches":5},"guarantees":{"drainGrace":1.5},
    "useCases":[{"name":"lookup","agreedTime":0.25,"hardLimit":5,"semantics":"free"}]}})";

std::string error_of(const std::string& text) {
  try {
    decode_configuration(text);
  } catch (const BadInput& input) {
    return input.what();
  }
  return "";
}

TEST(Configuration, TruncatedFileIsRejected) {
  ASSERT_EQ(error_of(kValidFile), "");
  for (std::size_t length = 0; length < kValidFile.size(); ++length)
    EXPECT_NE(error_of(kValidFile.substr(0, length)), "") << kValidFile.substr(0, length);
}

TEST(Configuration, ErrorNamesMissingKey) {
  const std::vector<std::vector<const char*>> paths = {{"name"},
                                                       {"listen"},
                                                       {"discovery"},
                                                       {"seed"},
                                                       {"limits"},
                                                       {"limits", "memory_mb"},
                                                       {"limits", "sockets"},
                                                       {"settings"},
                                                       {"settings", "replicasOfMe"},
                                                       {"settings", "caps"},
                                                       {"settings", "caps", "mostLaunches"},
                                                       {"settings", "guarantees"},
                                                       {"settings", "useCases"},
                                                       {"settings", "useCases", "name"},
                                                       {"settings", "useCases", "agreedTime"},
                                                       {"settings", "useCases", "hardLimit"},
                                                       {"settings", "useCases", "semantics"}};
  for (const std::vector<const char*>& path : paths) {
    rapidjson::Document file;
    file.Parse(kValidFile.c_str());
    rapidjson::Value* at = &file;
    for (std::size_t i = 0; i + 1 < path.size(); ++i) {
      at = &(*at)[path[i]];
      if (at->IsArray()) at = &(*at)[0];
    }
    at->RemoveMember(path.back());
    rapidjson::StringBuffer out;
    rapidjson::Writer<rapidjson::StringBuffer> writer(out);
    file.Accept(writer);
    EXPECT_NE(error_of(out.GetString()).find(path.back()), std::string::npos) << path.back();
  }
}

TEST(Configuration, InvalidNumbersAreRejected) {
  const auto with_replacement = [](const std::string& from, const std::string& to) {
    std::string text = kValidFile;
    return text.replace(text.find(from), from.size(), to);
  };
  for (const std::string source : {"5", "[\"live\"]", "true"})
    EXPECT_NE(error_of(with_replacement("\"settings\":{", "\"settings\":{\"weightSource\":" + source + ","))
                  .find("weightSource"),
              std::string::npos);
  EXPECT_EQ(
      error_of(with_replacement("\"settings\":{", "\"settings\":{\"weightSource\":\"of a later platform\",")),
      "");
  EXPECT_NE(error_of(with_replacement("\"hardLimit\":5", "\"hardLimit\":1e400")), "");
  EXPECT_NE(error_of(with_replacement("\"hardLimit\":5", "\"hardLimit\":NaN")), "");
  EXPECT_NE(error_of(with_replacement("\"hardLimit\":5", "\"hardLimit\":-5")).find("hardLimit"),
            std::string::npos);
  EXPECT_NE(error_of(with_replacement("127.0.0.1:9800", "9800")).find("console"), std::string::npos);
  EXPECT_NE(error_of(with_replacement("\"sockets\":384", "\"sockets\":0")).find("sockets"),
            std::string::npos);
}

TEST(Configuration, ErrorNamesFieldWithInvalidValue) {
  const auto with_semantics = [](const std::string& more) {
    return replaced(kValidFile, R"("semantics":"free")", more);
  };
  const auto with_guarantee = [](const std::string& more) {
    return replaced(kValidFile, R"("drainGrace":1.5)", R"("drainGrace":1.5,)" + more);
  };
  const auto with_cap = [](const std::string& more) {
    return replaced(kValidFile, R"("mostLaunches":5)", R"("mostLaunches":5,)" + more);
  };
  for (const auto& [text, field] : std::vector<std::pair<std::string, std::string>>{
           {with_semantics(R"("semantics":"harmless")"), "semantics"},
           {with_semantics(R"("semantics":"guarded")"), "group"},
           {with_semantics(R"("semantics":"guarded","group":"street")"), "group"},
           {with_semantics(R"("semantics":"guarded","group":"all","window":-1)"), "window"},
           {replaced(kValidFile, R"("hardLimit":5)", R"("hardLimit":0)"), "hardLimit"},
           {replaced(kValidFile, R"("hardLimit":5)", R"("hardLimit":-5)"), "hardLimit"},
           {replaced(kValidFile, R"("replicasOfMe":2)", R"("replicasOfMe":0)"), "replicasOfMe"},
           {replaced(kValidFile, R"("replicasOfMe":2)", R"("replicasOfMe":1e300)"), "replicasOfMe"},
           {replaced(kValidFile, R"("replicasOfMe":2)", R"("replicasOfMe":2,"membershipMode":"guess")"),
            "membershipMode"},
           {replaced(kValidFile, R"("replicasOfMe":2)", R"("replicasOfMe":2,"quantum":-1)"), "quantum"},
           {replaced(kValidFile, R"("drainGrace":1.5)", R"("drainGrace":-1)"), "drainGrace"},
           {with_guarantee(R"("askWithin":-1)"), "askWithin"},
           {with_guarantee(R"("warmUp":-1)"), "warmUp"},
           {with_guarantee(R"("coldFrom":-0.5)"), "coldFrom"},
           {with_guarantee(R"("fallMultiple":-3)"), "fallMultiple"},
           {with_guarantee(R"("overloadFor":-1)"), "overloadFor"},
           {with_cap(R"("connIdle":-1)"), "connIdle"},
           {with_cap(R"("connectTimeout":-1)"), "connectTimeout"},
           {replaced(kValidFile, R"("instances":[])",
                     R"("instances":[{"instanceId":"s","hostPort":"h","lifecycle":"active","cell":1e300}])"),
            "cell"}})
    EXPECT_EQ(error_of(text).substr(0, field.size()), field) << text;
}

// --- Reload on SIGHUP ---

std::string metric(const Running& run, const std::string& name) {
  Peer caller = Peer::to(run.console);
  const std::string answer = caller.write("GET /_vars HTTP/1.1\r\n\r\n").read_to_end();
  const std::size_t at = answer.find("\n" + name + " ");
  return at == std::string::npos
             ? ""
             : answer.substr(at + name.size() + 2, answer.find('\n', at + 1) - at - name.size() - 2);
}

bool wait_for_metric(const Running& run, const std::string& name, const std::string& value) {
  for (int i = 0; i < 100; ++i) {
    if (metric(run, name) == value) return true;
    usleep(20000);
  }
  return false;
}

std::string status_of(const Running& run, const std::string& use_case, const std::string& id) {
  return Peer::to(run.address).write(Running::request_text(use_case, id, "100m")).read_message().substr(9, 3);
}

TEST(ProgramNewSettings, ReloadAddsRemovesAndRestrictsUseCases) {
  Running run;
  Peer discovery_watch = run.accept_watch(Running::instance_json("s-1", run.first.address));
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  Peer client = run.client();
  client.write(Running::request_text("lookup", "id1"));
  Peer executor = run.first.accept();
  executor.read_message();
  // The new file makes lookups at most once, removes charges and adds renders.
  std::string file = run.config(256, "127.0.0.1:0", "7", run.discovery.address);
  file = replaced(file, R"("hardLimit":5,"semantics":"free")", R"("hardLimit":5,"semantics":"single_shot")");
  file = replaced(file, R"({"name":"charge")", R"({"name":"render")");
  run.reload(file);
  EXPECT_TRUE(wait_for_metric(run, "node_sighup_applied_total", "1"));
  EXPECT_EQ(status_of(run, "charge", "id2"), "404");
  EXPECT_EQ(status_of(run, "render", "id3"), "503");  // the use case is known, but the deadline has passed
  // The attempt may have run, but lookup was idempotent when id1 arrived, so id1 is retried.
  executor.close();
  Peer again = run.first.accept();
  EXPECT_NE(again.read_message().find("id1"), std::string::npos);
  again.send_result("served");
  EXPECT_NE(client.read_message().find("served"), std::string::npos);
  client.write(Running::request_text("lookup", "id4"));
  again.read_message();
  again.close();
  EXPECT_EQ(client.read_message().substr(9, 3), "502");  // lookup is at most once since the reload
  EXPECT_TRUE(wait_for_metric(run, "node_results_total{service=\"charge\",disposition=\"aborted\"}", "0"));
}

TEST(ProgramNewSettings, InvalidFileChangesNothing) {
  Running run;
  Peer discovery_watch = run.accept_watch(Running::instance_json("s-1", run.first.address));
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  Listener other_discovery;
  std::string file = run.config(256, "127.0.0.1:0", "7", other_discovery.address);
  file = replaced(file, R"({"name":"charge")", R"({"name":"render")");
  const std::vector<std::pair<std::string, std::string>> invalid_files = {
      {"", "NODE_CONFIG"},
      {file.substr(0, file.size() / 2), "NODE_CONFIG"},
      {replaced(file, R"("agreedTime":3)", R"("agreedTime":0)"), "agreedTime"},
      {replaced(file, R"("agreedTime":3,)", ""), "agreedTime"},
      {replaced(file, R"("mostLaunches":5)", R"("mostLaunches":"5")"), "mostLaunches"},
      {replaced(file, R"({"name":"render")", R"({"name":"lookup")"), "useCases.name"}};
  int rejected = 0;
  for (const auto& [text, field] : invalid_files) {
    run.reload(text);
    EXPECT_TRUE(run.wait_for_log("reload: nothing changes: " + field)) << field;
    EXPECT_TRUE(wait_for_metric(run, "node_sighup_rejected_total", std::to_string(++rejected)));
  }
  EXPECT_EQ(metric(run, "node_sighup_applied_total"), "0");
  EXPECT_EQ(status_of(run, "render", "id1"), "404");
  EXPECT_TRUE(other_discovery.nobody_waits());
}

// Clients that take up all client connections must not use the connections reserved for the console address.
// Otherwise metrics could not be read while the node is overloaded.
TEST(ProgramConsole, ManyClientConnectionsDoNotDelayConsole) {
  Running run(96);
  Peer discovery_watch = run.accept_watch(Running::instance_json("s-1", run.first.address));
  EXPECT_TRUE(run.wait_for_log("roster taken"));
  std::vector<Peer> connections;
  for (int i = 0; i < 300; ++i) {
    connections.push_back(run.client());
    if (i % 3 == 0) connections.back().write("POST /loo");
    if (i % 20 != 0) continue;
    const auto start = std::chrono::steady_clock::now();
    EXPECT_NE(metric(run, "node_outstanding"), "");
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(1));
  }
  Peer client = run.client();
  client.write(Running::request_text("lookup", "id1"));
  Peer executor = run.first.accept();
  executor.read_message();
  executor.send_result("served");
  EXPECT_NE(client.read_message().find("served"), std::string::npos);
}

}  // namespace
}  // namespace canvasstage
