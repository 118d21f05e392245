// The operator's settings of recovery: whole, or refused by file and field.
#include "app/recovery_settings.h"

#include <gtest/gtest.h>

#include "core/settings.h"

namespace canvasstage {
namespace {

const std::string kLeast = "[store]\ndirectory = \"/var/lib/node\"\n";

std::string refusal(const std::string& text) {
  try {
    decode_recovery_settings(text, "recovery.toml");
  } catch (const BadInput& input) {
    return input.what();
  }
  return "";
}

TEST(RecoverySettings, TheDirectoryAloneIsEnough) {
  const recovery::RecoverySettings settings = decode_recovery_settings(kLeast, "f");
  EXPECT_EQ(settings.directory, "/var/lib/node");
  EXPECT_EQ(settings.max_size_mb, 64);
  EXPECT_TRUE(settings.log_attempts);
  EXPECT_EQ(settings.attempts.keep_after_window, 60 * kSecond);
  EXPECT_EQ(settings.membership.short_list_hold, 15 * kSecond);
}

TEST(RecoverySettings, EachFieldIsRead) {
  const recovery::RecoverySettings settings = decode_recovery_settings(R"([store]
directory = "/s"
max_size_mb = 2
[attempts]
enabled = false
keep_after_window_s = 1.5
max_records = 7
[learned]
save_every_s = 2
fade_s = 30
max_age_s = 40
[membership]
short_list_hold_s = 0
short_list_share = 0.25
)",
                                                                       "f");
  EXPECT_EQ(settings.max_size_mb, 2);
  EXPECT_FALSE(settings.log_attempts);
  EXPECT_EQ(settings.attempts.keep_after_window, kSecond * 3 / 2);
  EXPECT_EQ(settings.attempts.max_records, 7u);
  EXPECT_EQ(settings.learned.save_interval, 2 * kSecond);
  EXPECT_EQ(settings.learned.decay_time, 30 * kSecond);
  EXPECT_EQ(settings.learned.max_age, 40 * kSecond);
  EXPECT_EQ(settings.membership.short_list_hold, 0);
  EXPECT_EQ(settings.membership.short_list_share, 0.25);
}

TEST(RecoverySettings, WhatIsWrongIsNamedByFileAndField) {
  const std::pair<std::string, std::string> rows[] = {
      {"", "recovery.toml: store.directory: is missing"},
      {"store = 1", "recovery.toml: store: a table is needed"},
      {"[store]\ndirectory = 1", "recovery.toml: store.directory: a string is needed"},
      {"[store]\ndirectory = \"here\"", "recovery.toml: store.directory: an absolute path is needed"},
      {kLeast + "size = 1", "recovery.toml: store.size: not known"},
      {kLeast + "max_size_mb = 0", "recovery.toml: store.max_size_mb: between 1 and 4096"},
      {kLeast + "max_size_mb = 1.5", "recovery.toml: store.max_size_mb: a whole number is needed"},
      {kLeast + "[attempts]\nenabled = 1", "recovery.toml: attempts.enabled: true or false is needed"},
      {kLeast + "[attempts]\nmax_records = \"x\"",
       "recovery.toml: attempts.max_records: a whole number is needed"},
      {kLeast + "[attempts]\nkeep_after_window_s = -1",
       "recovery.toml: attempts.keep_after_window_s: between 0 and 86400"},
      {kLeast + "[learned]\nfade_s = 0", "recovery.toml: learned.fade_s: between 1 and 1e+06"},
      {kLeast + "[learned]\nfade_s = nan", "recovery.toml: learned.fade_s: between 1 and 1e+06"},
      {kLeast + "[membership]\nshort_list_share = 2",
       "recovery.toml: membership.short_list_share: between 0 and 1"},
      {kLeast + "[membership]\nshort_list_hold_s = 61",
       "recovery.toml: membership.short_list_hold_s: between 0 and 60"},
      {kLeast + "[others]\nlist = []", "recovery.toml: others: not known"},
      {kLeast + "[peers]\nlist = []", "recovery.toml: peers.list: not known"},
      {kLeast + "[peers]\nnodes = 1", "recovery.toml: peers.nodes: a list is needed"},
      {kLeast + "[peers]\nnodes = [1]", "recovery.toml: peers.nodes: each is a table of name and address"},
      {kLeast + "[peers]\nnodes = [{name = \"n1\"}]",
       "recovery.toml: peers.nodes.address: a string is needed"},
      {kLeast + "[peers]\nnodes = [{name = \"n1\", address = \"here\"}]",
       "recovery.toml: peers.nodes.address: not an address and a port: here"},
      {kLeast + "[peers]\nnodes = [{name = \"n1\", address = \"1.2.3.4:5\", port = 1}]",
       "recovery.toml: peers.nodes.port: not known"},
      {kLeast + "[peers]\nnodes = [{name = \"n1\", address = \"1.2.3.4:5\"}, {name = \"n1\", address = "
                "\"1.2.3.4:6\"}]",
       "recovery.toml: peers.nodes: twice n1"},
      {kLeast + "[peers]\npatience_s = 9", "recovery.toml: peers.patience_s: between 0 and 4"},
  };
  for (const auto& [text, words] : rows) EXPECT_EQ(refusal(text), words) << text;
  EXPECT_TRUE(refusal("[store").starts_with("recovery.toml: ")) << refusal("[store");
}

TEST(RecoverySettings, TheFileThatIsDeployedCanBeRead) {
  ::setenv("NODE_RECOVERY", CANVASSTAGE_SOURCES "/deploy/recovery.toml", 1);
  const auto settings = read_recovery_settings();
  ::unsetenv("NODE_RECOVERY");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->directory, "/var/lib/canvasstage");
  EXPECT_FALSE(read_recovery_settings());
}

}  // namespace
}  // namespace canvasstage
