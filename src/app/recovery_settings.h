// The operator's recovery settings: a separate TOML file, named by the environment variable NODE_RECOVERY.
// Where the variable is not set, recovery is disabled.
#pragma once

#include <optional>
#include <string>

#include "recovery/settings.h"

namespace canvasstage {

// Decodes and validates the text of a settings file. Throws BadInput with the names of the file and the
// field.
recovery::RecoverySettings decode_recovery_settings(const std::string& text, const std::string& file);
// Reads the file named by NODE_RECOVERY. Empty where the variable is not set. Throws BadInput.
std::optional<recovery::RecoverySettings> read_recovery_settings();

}  // namespace canvasstage
