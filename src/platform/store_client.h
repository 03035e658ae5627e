/**
 * @file store_client.h Client of the platform's row store.
 */

#ifndef BRONZE_PLATFORM_STORE_CLIENT_H_
#define BRONZE_PLATFORM_STORE_CLIENT_H_

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "net/http_client.h"

namespace bronze {

/** @return the lowest key after aKey, to continue a truncated read. */
[[nodiscard]] inline std::string KeyAfter(std::string aKey) {
  aKey.push_back('\0');
  return aKey;
}

/** Outcome of a call to the store. */
enum class StoreOutcome : uint8_t {
  Done,
  Conflict,     ///< A condition does not hold; nothing was written.
  Refused,      ///< Nothing was written; a later try may succeed.
  Rejected,     ///< Nothing was written; the same call never succeeds.
  HistoryLost,  ///< Changes since the given version are no longer kept.
  Unknown,      ///< No answer: may be written already, later or never.
  Malformed,    ///< The answer cannot be read.
};

/** Key of a row. All rows of one transaction must have the same m_part. */
struct RowKey {
  std::string m_table;
  std::string m_part;
  std::string m_key;
};

struct StoreRow {
  RowKey m_key;
  std::string m_value;  ///< Arbitrary bytes; base64 on the wire.
  RowVersion m_version;
  bool m_deleted = false;
};

struct RowCondition {
  RowKey m_key;
  RowVersion m_version;  ///< Required version; 0: the row must not exist.
};

struct StoreTransaction {
  std::vector<RowCondition> m_expected;
  std::vector<StoreRow> m_puts;  ///< m_version of these rows is ignored.
  std::vector<RowKey> m_removes;
};

struct TransactionResult {
  StoreOutcome m_outcome = StoreOutcome::Unknown;
  RowVersion m_version;             ///< Version of the rows written.
  std::vector<StoreRow> m_current;  ///< With Conflict: current m_expected rows.
  /** With Refused: the store had too many calls. */
  bool m_overloaded = false;
  int m_status = 0;      ///< For the log; 0: no answer.
  ReplyOrigin m_origin;  ///< For the log.
};

struct RowsResult {
  StoreOutcome m_outcome = StoreOutcome::Unknown;
  std::vector<StoreRow> m_rows;
  RowVersion m_version;  ///< m_rows includes all changes up to this version.
  std::optional<StoreMillis> m_storeTime;  ///< Store's clock at its answer.
  bool m_truncated = false;  ///< There are further rows in the range.
  /** There may be further changes: the store does not mark an answer about
   *  changes that lacks some. */
  bool m_isFull = false;
};

class StoreClient {
 public:
  /** @param aClock clock of this VM; must include the time it was suspended. */
  StoreClient(boost::asio::io_context& aContext,
              boost::asio::ip::tcp::endpoint aAddress,
              std::function<TimePoint()> aClock,
              std::shared_ptr<ReplyBudget> aBudget = nullptr);

  void Transact(const StoreTransaction& aTransaction, Duration aTimeout,
                std::function<void(TransactionResult)> aHandler);

  /** Reads the rows of one part with keys >= aFrom; all if aFrom is empty. Keys
   *  may contain any byte. */
  void Read(const std::string& aTable, const std::string& aPart,
            const std::string& aFrom, Duration aTimeout,
            std::function<void(RowsResult)> aHandler);

  /** Waits up to aWait for changes of the table after version aAfter. All
   *  changes of a row are given in turn. */
  void Watch(const std::string& aTable, RowVersion aAfter, Duration aWait,
             std::function<void(RowsResult)> aHandler);

  /**
   * Converts a time of this VM to the store's steady clock, which all VMs can
   * read. An answer of the store was stamped at an unknown moment between
   * request and answer, so the conversion gives only a bound.
   * @return the highest time that the store's clock may show at aLocal; not set
   *         before the first answer.
   */
  [[nodiscard]] std::optional<StoreMillis> StoreTimeUpperBound(
      TimePoint aLocal) const;
  /** @return the time of this VM at which the store's clock has certainly
   *          reached aTime; not set before the first answer. */
  [[nodiscard]] std::optional<TimePoint> LocalTimeUpperBound(
      StoreMillis aTime) const;

  /** @return when the store last answered a call without refusing it; read on
   *          the thread of the calls. */
  [[nodiscard]] TimePoint AnsweredAt() const { return m_answeredAt; }
  [[nodiscard]] uint64_t Calls() const { return m_calls; }
  [[nodiscard]] uint64_t Failures() const { return m_failures; }
  [[nodiscard]] uint64_t MismatchedReplies() const {
    return m_client.MismatchedReplies();
  }

 private:
  void Call(HttpCall aCall, Duration aTimeout, CallOptions aOptions,
            std::function<void(CallOutcome)> aHandler);
  /** @param aBelongs whether a row with that key can be in the answer. */
  void ReadRows(std::string aTarget, Duration aTimeout,
                std::function<bool(const RowKey&)> aBelongs,
                std::function<void(RowsResult)> aHandler);
  void UpdateClockReading(const RowsResult& aResult, TimePoint aAskedAt);

  /** Store's clock as stamped between a request and its answer. */
  struct ClockReading {
    StoreMillis m_storeClock;
    TimePoint m_askedAt;
    TimePoint m_answeredAt;
  };

  boost::asio::ip::tcp::endpoint m_address;
  HttpClient m_client;
  std::function<TimePoint()> m_clock;
  std::optional<ClockReading> m_reading;  ///< From a recent answer.
  TimePoint m_answeredAt;
  // Read by the thread that serves metrics.
  std::atomic<uint64_t> m_calls = 0;
  std::atomic<uint64_t> m_failures = 0;
};

/** The operators' tables; m_part of their rows is empty. */
inline constexpr char kOperatorTable[] = "op";
inline constexpr char kConfigRow[] = "config";
/** Before the name of a data centre: its evacuation is requested while the row
 *  exists, whatever its value is. */
inline constexpr std::string_view kEvacuationPrefix = "evacuate/";
inline constexpr char kRunnerTable[] = "servers";

}  // namespace bronze

#endif  // BRONZE_PLATFORM_STORE_CLIENT_H_
