/**
 * @file owner_election.h Claims one cell for this daemon when it has no live
 * owner.
 *
 * The heartbeats of all owners are in the directory. If that of the cell is
 * missing, names no owner or has not changed for kOwnerTimeout, the owner row
 * is read. The cell is claimed when that row is missing or names no owner,
 * names an earlier process of this VM, or names the process whose heartbeat
 * stopped. A row that names a process without a heartbeat must not change for
 * kOwnerTimeout, either. How long a VM waits then depends on what it can carry
 * (claim_func.h). A VM that is much larger than a live owner asks it for the
 * cell (handover_func.h).
 */

#ifndef BRONZE_SCHEDULER_OWNER_ELECTION_H_
#define BRONZE_SCHEDULER_OWNER_ELECTION_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

#include "core/sched/claim_func.h"
#include "scheduler/cell_directory.h"
#include "scheduler/cell_owner.h"

namespace bronze {

/** A VM asks for one cell at a time: the heartbeats, from which it knows how
 *  many cells each VM has, do not show its other requests. */
struct AskState {
  bool m_isPending = false;  ///< A request has no answer yet.
  TimePoint m_notBefore;
};

/** What this process writes into the owner row, and when it claims a cell. */
struct NodeIdentity {
  VmId m_vm;
  uint64_t m_incarnation = 0;  ///< Increases with each process start.
  std::string m_peerAddress;
  sched::VmCapability m_capability;
  /** @return the number of cells that this process owns or claims. */
  std::function<size_t()> m_claimedCells;
  std::shared_ptr<AskState> m_askState;  ///< Of all cells.
};

class OwnerElection : public std::enable_shared_from_this<OwnerElection> {
 public:
  OwnerElection(boost::asio::io_context& aContext, OwnerLinks aLinks,
                CellDirectory& aDirectory, EventLog& aLog, CellId aCell,
                sched::CellLayout aLayout, NodeIdentity aIdentity,
                const OwnerSettings& aSettings);

  /** The directory was read: claims the cell if it has no live owner. */
  void OnDirectoryRead();

  /** Replaces the settings, also those of a running owner. */
  void SetSettings(const OwnerSettings& aSettings);

  /** Sets the configuration in force; passed on to a running owner. */
  void SetConfig(std::shared_ptr<const sched::LiveConfig> aConfig);

  /** Sets the operators' requests; passed on to a running owner. */
  void SetRequests(std::shared_ptr<const OperatorRequests> aRequests);

  /** @return the owner if this daemon schedules the cell, or null. */
  [[nodiscard]] std::shared_ptr<CellOwner> LocalOwner() const;

  /** @return whether this daemon has claimed the cell, is claiming it, or has
   *          asked its owner for it. */
  [[nodiscard]] bool IsClaimed() const;

  /** @return whether a handover to a named successor is under way that this VM
   *          takes part in, so that the cell has an owner soon. */
  [[nodiscard]] bool IsHandedOver() const;

  /** Stops claiming the cell and releases it if this daemon owns it. */
  void HandOver(std::function<void()> aDone);

 private:
  /** The owner row as read. */
  struct SeenRow {
    OwnerRow m_row;
    RowVersion m_version;  ///< 0: the row does not exist.
    TimePoint m_since;     ///< m_version is known unchanged since then.
  };

  [[nodiscard]] bool HasLiveOwner(TimePoint aNow) const;
  /** @return whether the row names the process of the last heartbeat. */
  [[nodiscard]] bool NamesHeartbeatOwner(const OwnerRow& aRow) const;
  void ReadOwnerRow();
  void OnOwnerRow(const RowsResult& aResult);
  [[nodiscard]] sched::ClaimDelay ClaimDelayAfter(const OwnerRow& aLast) const;
  void ConsiderClaim(TimePoint aNow);
  /** Logs and counts that the claim waits, once for each vacancy. */
  void NoteDeferral(const OwnerRow& aLast, const sched::ClaimDelay& aDelay);
  /** The cell has a live owner. */
  void OnLiveOwner(TimePoint aNow);
  /** Asks the owner for the cell if that is much smaller than this VM. */
  void ConsiderAsking(TimePoint aNow);
  void OnHandoverAnswer(const PeerAnswer& aAnswer);
  void Claim();
  /** @param aReplaced the row before the claim. */
  void OnClaimed(const OwnerRow& aClaimed, const OwnerRow& aReplaced,
                 const TransactionResult& aResult);
  void BeginOwning(const OwnerRow& aRow, const OwnerRow& aReplaced,
                   RowVersion aVersion);
  /** The owner lost the cell or handed it over. */
  void OnOwnerEnded();

  boost::asio::io_context& m_context;
  OwnerLinks m_links;
  CellDirectory& m_directory;
  EventLog& m_log;
  CellId m_cell;
  sched::CellLayout m_layout;
  NodeIdentity m_identity;
  OwnerSettings m_settings;
  boost::asio::steady_timer m_timer;

  /** Set while the cell seems to have no live owner. */
  std::optional<SeenRow> m_seen;
  TimePoint m_vacantSince;  ///< Since when m_seen names no owner.
  bool m_busy = false;      ///< A read or a claim has no answer yet.
  bool m_claiming = false;  ///< A claim has no answer yet.
  bool m_handingOver = false;
  bool m_claimDeferred = false;  ///< NoteDeferral was called in this vacancy.
  bool m_isSuccessor = false;    ///< m_owner or the claim was named.
  bool m_asking = false;         ///< A request has no answer yet.
  TimePoint m_successorUntil;    ///< The owner names this VM until then.
  /** When this VM lost the cell without releasing it. */
  std::optional<TimePoint> m_lostAt;
  TimePoint m_handedOverAt;  ///< When this VM handed the cell to a successor.
  std::shared_ptr<CellOwner> m_owner;
  std::shared_ptr<const sched::LiveConfig> m_config;   ///< Null: none read yet.
  std::shared_ptr<const OperatorRequests> m_requests;  ///< Null: as m_config.
};

}  // namespace bronze

#endif  // BRONZE_SCHEDULER_OWNER_ELECTION_H_
