/**
 * @file cell_seat.h This daemon's view of one cell: who owns it, and whether to
 * claim it.
 *
 * The owner row is read at a fixed pace. The cell is claimed when the row is
 * missing, names no owner, names an earlier life of this daemon, or has not
 * changed for kOwnerSilence while the store could be read.
 */

#ifndef BRONZE_SCHEDULER_CELL_SEAT_H_
#define BRONZE_SCHEDULER_CELL_SEAT_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

#include "scheduler/cell_owner.h"

namespace bronze {

/** What identifies this process to others. */
struct NodeIdentity {
  VmId m_vm;
  uint64_t m_incarnation = 0;  ///< Rises with each start.
  std::string m_peerAddress;
  Duration m_claimDelay{};  ///< Before a claim, so that daemons take turns.
  double m_cpuShare = 1.0;  ///< Of one core.
};

class CellSeat : public std::enable_shared_from_this<CellSeat> {
 public:
  CellSeat(boost::asio::io_context& aContext, StoreClient& aStore,
           RunnerClient& aRunners, AdviceClient& aAdvisor, EventLog& aLog,
           CellId aCell, NodeIdentity aIdentity,
           const sched::CellSettings& aSettings);

  void Start();

  /** New settings; an owner takes them at once. */
  void SetSettings(const sched::CellSettings& aSettings);

  /** The configuration in force on this VM; an owner is told of it. */
  void SetConfig(std::shared_ptr<const sched::LiveConfig> aConfig);

  /** @return the owner if it is this daemon and acts; else null. */
  [[nodiscard]] std::shared_ptr<CellOwner> LocalOwner() const;

  /** @return the address of another daemon that is known to own the cell. */
  [[nodiscard]] std::optional<std::string> RemoteOwner() const;

  /** Stops claiming and hands the cell over if this daemon owns it. */
  void HandOver(std::function<void()> aDone);

 private:
  void Poll();
  void OnPolled(RowsResult aResult);
  /** Pause before a claim; longer on a VM that is smaller than the last owner,
   *  so that another one as large as that takes the cell if there is one. */
  [[nodiscard]] Duration ClaimDelay() const;
  void ConsiderClaim(TimePoint aNow);
  void Claim();
  void OnClaimed(const OwnerRow& aClaimed, TransactionResult aResult);
  void BeginOwning(const OwnerRow& aRow, RowVersion aVersion);
  void PollLater(Duration aPause);

  boost::asio::io_context& m_context;
  StoreClient& m_store;
  RunnerClient& m_runners;
  AdviceClient& m_advisor;
  EventLog& m_log;
  CellId m_cell;
  NodeIdentity m_identity;
  sched::CellSettings m_settings;
  boost::asio::steady_timer m_timer;

  OwnerRow m_row;         ///< As last read.
  RowVersion m_version;   ///< 0: the row does not exist.
  TimePoint m_changedAt;  ///< When another version was first seen.
  TimePoint m_polledAt;   ///< Of the last successful read.
  bool m_everPolled = false;
  bool m_handingOver = false;
  std::shared_ptr<CellOwner> m_owner;
  std::shared_ptr<const sched::LiveConfig> m_config;  ///< Null: none yet.
};

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_CELL_SEAT_H_
