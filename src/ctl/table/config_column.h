/**
 * @file config_column.h Table columns of the "config" commands.
 */

#ifndef BRONZE_CTL_TABLE_CONFIG_COLUMN_H_
#define BRONZE_CTL_TABLE_CONFIG_COLUMN_H_

#include "ctl/text_table.h"

namespace bronze {

inline constexpr TableColumn kHistoryColumns[] = {{"VERSION", "/version"},
                                                  {"TIME", "/time"},
                                                  {"AUTHOR", "/author"},
                                                  {"NOTE", "/note"}};

inline constexpr TableColumn kConfigStatusColumns[] = {
    {"VM", "/vm"}, {"VERSION", "/version"}, {"SEEN_MS_AGO", "/seen_ms_ago"}};

}  // namespace bronze

#endif  // BRONZE_CTL_TABLE_CONFIG_COLUMN_H_
