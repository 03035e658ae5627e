/**
 * @file config_json.h JSON form of the table row config/VERSION.
 */

#ifndef BRONZE_CODEC_CONFIG_JSON_H_
#define BRONZE_CODEC_CONFIG_JSON_H_

#include <map>
#include <string>
#include <string_view>

#include "core/error/error_type.h"

namespace bronze {

/** One accepted version of the configuration. */
struct ConfigDocument {
  std::map<std::string, std::string> m_files;  ///< Text by file name.
  std::string m_author;
  std::string m_note;
  std::string m_time;       ///< When it was accepted: UTC, ISO 8601.
  std::string m_operation;  ///< Unique id of the attempt to commit it.
};

[[nodiscard]] std::string EncodeConfigDocument(const ConfigDocument& aDocument);

/** All fields but the files may be missing; they are then empty. */
[[nodiscard]] Result<ConfigDocument> DecodeConfigDocument(
    std::string_view aText);

}  // namespace bronze

#endif  // BRONZE_CODEC_CONFIG_JSON_H_
