/**
 * @file table_client.h Client of the platform's table service.
 */

#ifndef BRONZE_TABLESERVICE_TABLE_CLIENT_H_
#define BRONZE_TABLESERVICE_TABLE_CLIENT_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

#include "codec/table_json.h"
#include "core/metrics/counter_type.h"
#include "core/store/store_type.h"
#include "net/http_client.h"

namespace bronze {

/** Handlers run on the event loop of the HTTP client. */
class TableClient {
 public:
  TableClient(HttpClient& aClient,
              const boost::asio::ip::tcp::endpoint& aPlatform,
              Counters& aCounters)
      : m_client(aClient), m_platform(aPlatform), m_counters(aCounters) {}

  void Commit(const TableTransaction& aTransaction, Duration aTimeout,
              std::function<void(CommitReply aReply)> aHandler);

  void ReadRow(const std::string& aKey, Duration aTimeout,
               std::function<void(Result<TableRow> aRow)> aHandler);

  /** Reads one page of rows: keys that start with aPrefix, after aAfter. */
  void Scan(const std::string& aPrefix, const std::string& aAfter,
            size_t aLimit, Duration aTimeout,
            std::function<void(Result<TableScan> aScan)> aHandler);

 private:
  void Get(std::string aTarget, Duration aTimeout,
           std::function<void(Result<std::string> aBody)> aHandler);

  HttpClient& m_client;
  boost::asio::ip::tcp::endpoint m_platform;
  Counters& m_counters;
};

}  // namespace bronze

#endif  // BRONZE_TABLESERVICE_TABLE_CLIENT_H_
