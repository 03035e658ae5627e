/**
 * @file config_json.cpp JSON form of the table row config/VERSION.
 */

#include "codec/config_json.h"

#include "codec/bounded_json.h"

namespace bronze {

using nlohmann::json;

std::string EncodeConfigDocument(const ConfigDocument& aDocument) {
  return json{{"files", aDocument.m_files},
              {"author", aDocument.m_author},
              {"note", aDocument.m_note},
              {"time", aDocument.m_time},
              {"operation", aDocument.m_operation}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<ConfigDocument> DecodeConfigDocument(std::string_view aText) {
  const auto parsed = ParseBoundedJson(aText);
  if (!parsed) return parsed.error();
  try {
    const json& body = parsed.value();
    ConfigDocument document;
    document.m_files =
        body.at("files").get<std::map<std::string, std::string>>();
    document.m_author = body.value("author", "");
    document.m_note = body.value("note", "");
    document.m_time = body.value("time", "");
    document.m_operation = body.value("operation", "");
    return document;
  } catch (const json::exception& error) {
    return MakeError(ErrorKind::BadRequest,
                     std::string("malformed configuration: ") + error.what());
  }
}

}  // namespace bronze
