/**
 * @file owner_election.h Tracks which daemon owns one cell, and claims the cell
 * for this daemon when it has no live owner.
 *
 * The owner row is read at a fixed interval. The cell is claimed when the row
 * is missing, names no owner, names an earlier process of this VM, or has not
 * changed for kOwnerTimeout while the store could be read.
 */

#ifndef BRONZE_SCHEDULER_OWNER_ELECTION_H_
#define BRONZE_SCHEDULER_OWNER_ELECTION_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

#include "scheduler/cell_owner.h"

namespace bronze {

/** What this process writes into the owner row, and when it claims a cell. */
struct NodeIdentity {
  VmId m_vm;
  uint64_t m_incarnation = 0;  ///< Increases with each process start.
  std::string m_peerAddress;
  Duration m_claimDelay{};  ///< Differs by VM, so that claims do not collide.
  double m_cpuShare = 1.0;  ///< CPU limit of this process, in cores.
};

class OwnerElection : public std::enable_shared_from_this<OwnerElection> {
 public:
  OwnerElection(boost::asio::io_context& aContext, StoreClient& aStore,
                RunnerClient& aRunners, AdviceClient& aAdvisor, EventLog& aLog,
                CellId aCell, NodeIdentity aIdentity,
                const sched::CellSettings& aSettings);

  void Start();

  /** Replaces the settings, also those of a running owner. */
  void SetSettings(const sched::CellSettings& aSettings);

  /** Sets the configuration in force; passed on to a running owner. */
  void SetConfig(std::shared_ptr<const sched::LiveConfig> aConfig);

  /** @return the owner if this daemon schedules the cell, or null. */
  [[nodiscard]] std::shared_ptr<CellOwner> LocalOwner() const;

  /** @return the address of the daemon that owns the cell, if it is another one
   *          and known. */
  [[nodiscard]] std::optional<std::string> RemoteOwner() const;

  /** Stops claiming the cell and releases it if this daemon owns it. */
  void HandOver(std::function<void()> aDone);

 private:
  void Poll();
  void OnPolled(RowsResult aResult);
  /** @return the wait before a claim. It is longer on a VM with less CPU than
   *  the last owner, so that a larger VM claims the cell first. */
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

  OwnerRow m_row;         ///< Owner row as last read.
  RowVersion m_version;   ///< Of m_row; 0: the row does not exist.
  TimePoint m_changedAt;  ///< m_version is known unchanged since then.
  TimePoint m_polledAt;   ///< Time of the last successful read.
  bool m_everPolled = false;
  bool m_handingOver = false;
  std::shared_ptr<CellOwner> m_owner;
  std::shared_ptr<const sched::LiveConfig> m_config;  ///< Null: none read yet.
};

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_OWNER_ELECTION_H_
