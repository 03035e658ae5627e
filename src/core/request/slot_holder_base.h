/**
 * @file slot_holder_base.h An entry VM's view of the slot owners that grant it
 * slots.
 */

#ifndef BRONZE_CORE_REQUEST_SLOT_HOLDER_BASE_H_
#define BRONZE_CORE_REQUEST_SLOT_HOLDER_BASE_H_

#include <deque>
#include <map>
#include <utility>
#include <vector>

#include "core/message/peer_message_type.h"
#include "core/request/forecast_func.h"
#include "core/request/runner_base.h"

namespace bronze {

/** State of the message exchange with one slot owner. */
struct OwnerLink {
  Incarnation m_incarnation;  ///< Of the owner, from its latest grant.
  GrantSequence m_grantSeen;
  HeartbeatSequence m_reportSent;
  /** Send times of recent reports, which a grant may still answer. */
  std::deque<std::pair<HeartbeatSequence, TimePoint>> m_sendTimes;
  TimePoint m_lastReport;
  SlotDemand m_demandSent;
  bool m_reportDue = true;  ///< Send a report as soon as the interval allows.
  std::vector<RunnerIndex> m_rows;  ///< Rows of its runners.
  Slots m_capacity;                 ///< Total slots of its usable runners.
  TimePoint m_validUntil;           ///< Latest end of validity of its grants.
};

struct SlotHolderState {
  std::map<VmId, OwnerLink> m_owners;
  ForecastState m_shortNeed;  ///< Slots needed from all owners together.
  ForecastState m_longNeed;
  TimePoint m_nextReport;  ///< No report to any owner before this time.
  TimePoint m_lastSample;  ///< Last sample of m_shortNeed and m_longNeed.
  Slots m_grantedTotal;    ///< Over all runners, including expired grants.
};

}  // namespace bronze

#endif  // BRONZE_CORE_REQUEST_SLOT_HOLDER_BASE_H_
