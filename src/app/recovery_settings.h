// The operator's settings of recovery: a TOML file of their own, named by NODE_RECOVERY. Without that
// variable nothing of recovery runs.
#pragma once

#include <optional>
#include <string>

#include "recovery/settings.h"

namespace canvasstage {

// Throws BadInput that names file and field.
recovery::RecoverySettings decode_recovery_settings(const std::string& text, const std::string& file);
// The file that the environment names; nothing where it names none.
std::optional<recovery::RecoverySettings> read_recovery_settings();

}  // namespace canvasstage
