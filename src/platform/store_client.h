/**
 * @file store_client.h The one client of the platform's store of rows.
 */

#ifndef BRONZE_PLATFORM_STORE_CLIENT_H_
#define BRONZE_PLATFORM_STORE_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "net/http_client.h"

namespace bronze {

/** What is known about a call to the store. */
enum class StoreOutcome : uint8_t {
  Done,
  Conflict,     ///< A condition does not hold; nothing was done.
  Refused,      ///< Nothing was done; a later try may succeed.
  HistoryLost,  ///< The changes since the given version are gone: read again.
  Unknown,      ///< No answer: it may have been done, or may still be.
  Malformed,    ///< The answer cannot be read.
};

/** Name of a row. All rows of one transaction share the part. */
struct RowKey {
  std::string m_table;
  std::string m_part;
  std::string m_key;
};

struct StoreRow {
  RowKey m_key;
  std::string m_value;  ///< Bytes.
  RowVersion m_version;
  bool m_deleted = false;
};

struct RowCondition {
  RowKey m_key;
  RowVersion m_version;  ///< 0: the row must not exist.
};

struct StoreTransaction {
  std::vector<RowCondition> m_expected;
  std::vector<StoreRow> m_puts;  ///< Their versions are ignored.
  std::vector<RowKey> m_removes;
};

struct TransactionResult {
  StoreOutcome m_outcome = StoreOutcome::Unknown;
  RowVersion m_version;             ///< Of the rows that were put.
  std::vector<StoreRow> m_current;  ///< With Conflict: the rows expected.
};

struct RowsResult {
  StoreOutcome m_outcome = StoreOutcome::Unknown;
  std::vector<StoreRow> m_rows;
  RowVersion m_version;  ///< All changes up to this one are in the rows.
  std::optional<StoreMillis> m_storeTime;  ///< When the store answered.
  bool m_truncated = false;
};

class StoreClient {
 public:
  /** @param aClock this VM's clock; it runs on while the VM is suspended. */
  StoreClient(boost::asio::io_context& aContext,
              boost::asio::ip::tcp::endpoint aAddress,
              std::function<TimePoint()> aClock);

  void Transact(const StoreTransaction& aTransaction, Duration aTimeout,
                std::function<void(TransactionResult)> aHandler);

  /** Rows of one part with keys from aFrom on; all when it is empty. */
  void Read(const std::string& aTable, const std::string& aPart,
            const std::string& aFrom, Duration aTimeout,
            std::function<void(RowsResult)> aHandler);

  /** Waits up to aWait for changes of the table after aAfter. */
  void Watch(const std::string& aTable, RowVersion aAfter, Duration aWait,
             std::function<void(RowsResult)> aHandler);

  /**
   * The store's steady clock, on which all VMs agree. It is known to within the
   * time that the last answer took, so there are two readings.
   * @return a reading that is not too low at aLocal; nothing before the first
   *         answer.
   */
  [[nodiscard]] std::optional<StoreMillis> StoreTimeAtMost(
      TimePoint aLocal) const;
  /** @return a moment at which the store's clock surely shows aTime. */
  [[nodiscard]] std::optional<TimePoint> LocalTimeAtMost(
      StoreMillis aTime) const;

  [[nodiscard]] uint64_t Calls() const { return m_calls; }
  [[nodiscard]] uint64_t Failures() const { return m_failures; }

 private:
  void Call(HttpCall aCall, Duration aTimeout,
            std::function<void(CallOutcome)> aHandler);
  void ReadRows(std::string aTarget, Duration aTimeout,
                std::function<void(RowsResult)> aHandler);
  void NoteStoreTime(const RowsResult& aResult, TimePoint aAskedAt);

  /** An answer's reading of the store's clock, taken between two moments. */
  struct ClockReading {
    StoreMillis m_shown;
    TimePoint m_askedAt;
    TimePoint m_answeredAt;
  };

  boost::asio::ip::tcp::endpoint m_address;
  HttpClient m_client;
  std::function<TimePoint()> m_clock;
  std::optional<ClockReading> m_reading;  ///< Of the newest answer.
  uint64_t m_calls = 0;
  uint64_t m_failures = 0;
};

/** The operators' tables: rows with an empty part. */
inline constexpr char kOperatorTable[] = "op";
inline constexpr char kConfigRow[] = "config";
inline constexpr char kRunnerTable[] = "servers";

}  // namespace bronze

#endif  // BRONZE_PLATFORM_STORE_CLIENT_H_
