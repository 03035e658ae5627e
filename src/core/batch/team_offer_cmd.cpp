/**
 * @file team_offer_cmd.cpp Selection of the next queued task and of the rack
 *                          that it is offered to.
 *
 * Weighted fair sharing by dominant share (Ghodsi et al. 2011): the team with
 * the lowest dominant share per weight goes first. All tasks of a team are
 * known here. Among teams of different owners the rack owner decides, by the
 * share that each offer carries.
 */

#include <algorithm>
#include <map>

#include "core/batch/placement_func.h"
#include "core/batch/row_key_func.h"
#include "core/batch/team_internal.h"

namespace bronze {

namespace {

// A standby offer goes to a rack that seems full. It is made only below these
// numbers of open offers: enough to use freed capacity at once, few enough to
// cost only a few messages per second.
constexpr size_t kStandbyOffers = 16;
constexpr size_t kStandbyOffersPerTeam = 2;
constexpr size_t kMaxOffersPerTick = 64;
constexpr Duration kUrgentRetryDelay = milliseconds(500);

constexpr const char* kWaitsForQuota = "the quota of the team";
constexpr const char* kWaitsForCapacity = "free capacity";
constexpr const char* kWaitsForRetry = "another try after a refusal";
constexpr const char* kWaitsForRack = "the answer of a rack";

TeamSettings SettingsOf(const TeamOwnerState& aState, const TeamId& aTeam) {
  const auto found = aState.m_settings.m_teams.find(aTeam);
  return found == aState.m_settings.m_teams.end() ? TeamSettings{}
                                                  : found->second;
}

double Fraction(int64_t aPart, int64_t aWhole) {
  return aWhole <= 0 ? 0.0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

double DominantShare(const TeamOwnerState& aState, const TeamId& aTeam,
                     const Team& aEntry) {
  const Resources& used = aEntry.m_used;
  const Resources& all = aState.m_capacity;
  const double share = std::max(
      {Fraction(used.m_cores.Value(), all.m_cores.Value()),
       Fraction(used.m_memory.Value(), all.m_memory.Value()),
       Fraction(used.m_accelerators.Value(), all.m_accelerators.Value())});
  return share / static_cast<double>(
                     std::max<int64_t>(SettingsOf(aState, aTeam).m_weight, 1));
}

/** State of one call of OfferQueued(). */
struct OfferRound {
  TeamOwnerState& m_state;
  TimePoint m_now;
  BatchEffects& m_effects;
  std::map<RackId, TaskOffers> m_offers;
  std::map<TeamId, size_t> m_standbyOfTeam;
  size_t m_standby = 0;
  size_t m_sent = 0;  ///< Number of offers.
};

/** @return the first task of the job that can be offered now; null if none. */
TeamTask* FirstOfferable(OfferRound& aRound, TeamJob& aJob, uint32_t& aIndex) {
  bool foundQueued = false;
  for (uint32_t i = aJob.m_firstQueued; i < aJob.m_tasks.size(); ++i) {
    TeamTask& task = aJob.m_tasks[i];
    const bool queued = task.m_row.m_state == TaskState::Queued &&
                        !task.m_offeredTo.IsValid() && !task.m_change.IsValid();
    if (!queued) {
      if (!foundQueued) aJob.m_firstQueued = i + 1;
      continue;
    }
    foundQueued = true;
    if (aRound.m_now < task.m_retryAt) {
      aJob.m_waitingFor = kWaitsForRetry;
      continue;
    }
    aIndex = i;
    return &task;
  }
  return nullptr;
}

/** @return a rack that seems to have room, or else a random one for a standby
 *         offer; not set if the standby limits are reached. */
std::optional<size_t> RackFor(OfferRound& aRound, const TeamId& aTeam,
                              const TaskSpec& aSpec, const Resources& aNeed,
                              bool& aStandby) {
  TeamOwnerState& state = aRound.m_state;
  aStandby = false;
  if (const auto rack =
          ChooseRack(state.m_racks, aNeed, state.m_settings.m_placePolicy,
                     state.m_random)) {
    return rack;
  }
  aStandby = true;
  if (state.m_racks.empty()) return std::nullopt;
  std::uniform_int_distribution<size_t> any(0, state.m_racks.size() - 1);
  if (aSpec.m_urgent) return any(state.m_random);
  if (state.m_offers.size() >= kStandbyOffers ||
      aRound.m_standbyOfTeam[aTeam] >= kStandbyOffersPerTeam) {
    return std::nullopt;
  }
  ++aRound.m_standbyOfTeam[aTeam];
  return any(state.m_random);
}

/** Subtracts an offered task from the free capacity of a rack. */
void SubtractNeed(RackSummary& aRack, const Resources& aNeed) {
  aRack.m_free -= aNeed;
  // Which worker will take the task is unknown, so the free capacity of the
  // largest one is only limited to what is left of the rack.
  aRack.m_largestFree.m_cores =
      std::min(aRack.m_largestFree.m_cores, aRack.m_free.m_cores);
  aRack.m_largestFree.m_memory =
      std::min(aRack.m_largestFree.m_memory, aRack.m_free.m_memory);
  aRack.m_largestFree.m_accelerators =
      std::min(aRack.m_largestFree.m_accelerators, aRack.m_free.m_accelerators);
}

TaskOffer MakeOffer(const OfferRound& aRound, TaskId aTask, const TeamJob& aJob,
                    const TeamTask& aEntry) {
  const TaskSpec& spec = aJob.m_row.m_spec;
  TaskOffer offer;
  offer.m_task = aTask;
  offer.m_team = spec.m_team;
  offer.m_kind = spec.m_kind;
  offer.m_resources = spec.m_resources;
  offer.m_measured = aEntry.m_row.m_measured;
  offer.m_priority = spec.m_priority;
  offer.m_urgent = spec.m_urgent;
  offer.m_rowVersion = aEntry.m_version;
  offer.m_token = aEntry.m_row.m_token;
  offer.m_input = spec.m_input;
  offer.m_checkpoint = aEntry.m_row.m_checkpoint;
  offer.m_waited = aRound.m_now - aEntry.m_since;
  offer.m_attempts = aEntry.m_row.m_attempts;
  offer.m_failedOn = aEntry.m_row.m_failedOn;
  offer.m_share = DominantShare(aRound.m_state, spec.m_team,
                                aRound.m_state.m_teams.at(spec.m_team));
  return offer;
}

/** Result of an offer; Blocked: tasks are queued, but none may be offered. */
enum class OfferEnd : uint8_t { Offered, NothingQueued, Blocked };

/** Offers one task of the job, if there is one that may be offered. */
OfferEnd OfferFromJob(OfferRound& aRound, const TeamId& aTeam, JobId aJobId) {
  TeamOwnerState& state = aRound.m_state;
  TeamJob& job = state.m_jobs.at(aJobId);
  if (job.m_row.m_cancelled) return OfferEnd::NothingQueued;
  uint32_t index = 0;
  TeamTask* task = FirstOfferable(aRound, job, index);
  if (task == nullptr) {
    return job.m_firstQueued >= job.m_tasks.size() ? OfferEnd::NothingQueued
                                                   : OfferEnd::Blocked;
  }
  const Resources need = TaskNeed(job, *task);
  const Team& team = state.m_teams.at(aTeam);
  if (!Fits(team.m_used + need, SettingsOf(state, aTeam).m_quota)) {
    job.m_waitingFor = kWaitsForQuota;
    return OfferEnd::Blocked;
  }
  bool standby = false;
  const auto rack = RackFor(aRound, aTeam, job.m_row.m_spec, need, standby);
  if (!rack) {
    job.m_waitingFor = kWaitsForCapacity;
    return OfferEnd::Blocked;
  }
  job.m_waitingFor = standby ? kWaitsForCapacity : kWaitsForRack;
  RackSummary& summary = state.m_racks[*rack];
  if (!standby) SubtractNeed(summary, need);
  const TaskId id{aJobId, index};
  TaskOffer offer = MakeOffer(aRound, id, job, *task);
  SetOffer(state, id, *task, summary.m_rack, aRound.m_now);
  if (job.m_row.m_spec.m_urgent) {
    task->m_retryAt = aRound.m_now + kUrgentRetryDelay;
  }
  TaskOffers& offers = aRound.m_offers[summary.m_rack];
  offers.m_rack = summary.m_rack;
  offers.m_offers.push_back(std::move(offer));
  ++aRound.m_sent;
  return OfferEnd::Offered;
}

/** @return whether the team had a task to offer. */
bool OfferFromTeam(OfferRound& aRound, const TeamId& aTeam, Team& aEntry) {
  for (auto item = aEntry.m_queue.begin(); item != aEntry.m_queue.end();) {
    switch (OfferFromJob(aRound, aTeam, std::get<JobId>(*item))) {
      case OfferEnd::Offered:
        return true;
      case OfferEnd::NothingQueued:
        item = aEntry.m_queue.erase(item);
        break;
      case OfferEnd::Blocked:
        // A later job of the team may have smaller tasks that fit.
        ++item;
        break;
    }
  }
  return false;
}

}  // namespace

void OfferQueued(TeamOwnerState& aState, TimePoint aNow,
                 BatchEffects& aEffects) {
  OfferRound round{aState, aNow, aEffects, {}, {}, 0, 0};
  for (const auto& [task, since] : aState.m_offers) {
    ++round.m_standbyOfTeam[aState.m_jobs.at(task.m_job).m_row.m_spec.m_team];
  }
  // Teams with queued jobs, sorted by share; each offer raises a team's share.
  std::multimap<double, TeamId> order;
  for (auto& [id, team] : aState.m_teams) {
    if (!team.m_queue.empty()) {
      order.emplace(DominantShare(aState, id, team), id);
    }
  }
  while (!order.empty() && round.m_sent < kMaxOffersPerTick) {
    const TeamId id = order.begin()->second;
    order.erase(order.begin());
    Team& team = aState.m_teams.at(id);
    if (!OfferFromTeam(round, id, team)) continue;
    order.emplace(DominantShare(aState, id, team), id);
  }
  for (auto& [rack, offers] : round.m_offers) {
    aEffects.emplace_back(SendOffers{std::move(offers)});
  }
}

}  // namespace bronze
