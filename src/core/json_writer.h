// Writes members of the JSON object that is currently open.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string>

namespace canvasstage {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

inline void write(JsonWriter& json, const char* key, double value) {
  json.Key(key);
  json.Double(value);
}

inline void write(JsonWriter& json, const char* key, const std::string& value) {
  json.Key(key);
  json.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

inline void write_integer(JsonWriter& json, const char* key, std::int64_t value) {
  json.Key(key);
  json.Int64(value);
}

}  // namespace canvasstage
