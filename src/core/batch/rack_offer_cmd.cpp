/**
 * @file rack_offer_cmd.cpp Offers of team owners: placement on workers, and
 *                         preemption for urgent tasks.
 */

#include <algorithm>

#include "core/batch/placement_func.h"
#include "core/batch/rack_cmd.h"
#include "core/batch/rack_internal.h"

namespace bronze {

namespace {

// A full rack keeps offers this long, so that freed capacity is used at once
// and goes to the waiting team with the lowest share.
constexpr Duration kMaxOfferWait = seconds(4);
constexpr size_t kMaxWaitingOffers = 64;  // Per rack.
// Expected slowdown factor of services above which a task that is not urgent
// waits. It is less than kExcessiveSlowdown in rack_health_cmd.cpp, so that
// placement does not cause throttling.
constexpr double kMaxPlacementSlowdown = 1.25;
constexpr double kNegligibleSlowdown = 0.01;  // A task below it never waits.

Resources NeedOf(const RackOwnerState& aState, const TaskOffer& aOffer,
                 const Resources& aLimit) {
  return SizeToReserve(aState.m_usage, aOffer.m_kind,
                       AtLeast(aOffer.m_resources, aOffer.m_measured), aLimit);
}

/** @return the expected slowdown factor of the worker's services with one more
 *         task of aKind. */
double SlowdownOn(const RackOwnerState& aState, const Worker& aWorker,
                  const KindId& aKind, TimePoint aNow) {
  if (!aState.m_useInterference) return 1.0;
  const LoadLevel load = LoadLevelOf(aWorker.m_reserved, aWorker.m_total);
  const double one = ExpectedTaskSlowdown(
      aState.m_interference, aWorker.m_slowdowns, aKind, load, aNow);
  if (one < kNegligibleSlowdown) return 1.0 + one;
  double worst = 1.0;
  for (const auto& [service, slowdown] : aWorker.m_slowdowns) {
    worst = std::max(worst,
                     1.0 + ExpectedTotalSlowdown(aState.m_interference, service,
                                                 aWorker.m_kinds, load, aNow));
  }
  return worst + one;
}

/** @return whether the worker is in quarantine and the offered task may probe
 *         it now. */
bool CanProbe(const Worker& aWorker, const TaskOffer& aOffer,
              const Resources& aNeed, TimePoint aNow) {
  return aWorker.m_health.m_quarantined && !aOffer.m_urgent &&
         aWorker.m_health.m_nextProbe <= aNow &&
         !aWorker.m_health.m_probe.m_job.IsValid() &&
         aWorker.m_state == VmState::Live && !aWorker.m_draining &&
         aWorker.m_reachable && aOffer.m_failedOn != aWorker.m_id &&
         Fits(aNeed, aWorker.m_limit - aWorker.m_reserved);
}

Worker* ChooseWorker(const RackContext& aContext, const RackId& aRack,
                     const TaskOffer& aOffer) {
  RackOwnerState& state = aContext.m_state;
  Worker* best = nullptr;
  double bestScore = 0.0;
  for (auto& [id, worker] : state.m_workers) {
    if (worker.m_rack != aRack) continue;
    const PlacementRequest request{NeedOf(state, aOffer, worker.m_limit),
                                   aOffer.m_failedOn};
    if (CanProbe(worker, aOffer, request.m_need, aContext.m_now))
      return &worker;
    if (!CanPlace(worker, request)) continue;
    const double slowdown =
        SlowdownOn(state, worker, aOffer.m_kind, aContext.m_now);
    if (slowdown > kMaxPlacementSlowdown && !aOffer.m_urgent) continue;
    if (state.m_settings.m_placePolicy == PlacePolicy::FirstFit) {
      return &worker;
    }
    const double score = PlacementScore(worker, request, slowdown);
    if (best == nullptr || score < bestScore) {
      best = &worker;
      bestScore = score;
    }
  }
  return best;
}

/** Reserves capacity for the offered task and submits its start. */
void Reserve(const RackContext& aContext, Worker& aWorker,
             const TaskOffer& aOffer) {
  RackTask rackTask;
  rackTask.m_spec = {aOffer.m_team,     aOffer.m_kind,   aOffer.m_resources,
                     aOffer.m_priority, aOffer.m_urgent, aOffer.m_input};
  rackTask.m_row.m_token = aOffer.m_token;
  rackTask.m_row.m_checkpoint = aOffer.m_checkpoint;
  rackTask.m_row.m_measured = aOffer.m_measured;
  rackTask.m_row.m_attempts = aOffer.m_attempts;
  rackTask.m_row.m_failedOn = aOffer.m_failedOn;
  rackTask.m_version = aOffer.m_rowVersion;
  rackTask.m_worker = aWorker.m_id;
  rackTask.m_reserved = NeedOf(aContext.m_state, aOffer, aWorker.m_limit);
  rackTask.m_lastCheckpoint = aOffer.m_checkpoint;
  if (aWorker.m_health.m_quarantined) {
    rackTask.m_probe = true;
    aWorker.m_health.m_probe = aOffer.m_task;
    Count(aContext.m_counters, CounterId::WorkersProbed);
  }
  RackTask& kept =
      AddRackTask(aContext.m_state, aOffer.m_task, std::move(rackTask));
  TaskRow next = kept.m_row;
  if (StartTask(next, {aWorker.m_id, aWorker.m_rack, kept.m_reserved})) {
    CommitRow(aContext, aOffer.m_task, kept, std::move(next));
  }
}

/** @return the core time since the start or the last checkpoint, which an
 *         eviction would lose. */
double LostWork(const RackTask& aRackTask, TimePoint aNow) {
  const Duration since =
      aNow - std::max(aRackTask.m_started, aRackTask.m_checkpointed);
  return static_cast<double>(aRackTask.m_reserved.m_cores.Value()) *
         static_cast<double>(since.count());
}

/** @return whether the task may be evicted for an urgent one. */
bool IsVictim(const RackTask& aRackTask) {
  return aRackTask.m_row.m_state == TaskState::Running &&
         aRackTask.m_seen == SeenAtWorker::Running &&
         !aRackTask.m_spec.m_urgent && aRackTask.m_evict == EvictReason::None &&
         !aRackTask.m_change.IsValid();
}

/** Evicts the task that loses least work among those whose eviction alone makes
 * room for the offer. @return whether there was one. */
bool Preempt(const RackContext& aContext, const RackId& aRack,
             const TaskOffer& aOffer) {
  RackOwnerState& state = aContext.m_state;
  const TaskId* best = nullptr;
  double bestLoss = 0.0;
  for (const auto& [id, worker] : state.m_workers) {
    if (worker.m_rack != aRack || worker.m_state != VmState::Live ||
        worker.m_draining || worker.m_health.m_quarantined ||
        !worker.m_reachable) {
      continue;
    }
    const Resources need = NeedOf(state, aOffer, worker.m_limit);
    for (const TaskId& task : worker.m_tasks) {
      const RackTask& rackTask = state.m_tasks.at(task);
      if (!IsVictim(rackTask)) continue;
      if (!Fits(need,
                worker.m_limit - worker.m_reserved + rackTask.m_reserved)) {
        continue;
      }
      const double loss = LostWork(rackTask, aContext.m_now);
      if (best == nullptr || loss < bestLoss) {
        best = &task;
        bestLoss = loss;
      }
    }
  }
  if (best == nullptr) return false;
  RequestEviction(aContext, *best, EvictReason::Urgent);
  return true;
}

/** Urgent offers go first. Then offers of one team go by priority, and others
 * by the lowest share of the team. */
bool GoesBefore(const WaitingOffer& aLeft, const WaitingOffer& aRight) {
  const TaskOffer& left = aLeft.m_offer;
  const TaskOffer& right = aRight.m_offer;
  if (left.m_urgent != right.m_urgent) return left.m_urgent;
  if (left.m_team == right.m_team && left.m_priority != right.m_priority) {
    return left.m_priority > right.m_priority;
  }
  return left.m_share < right.m_share;
}

}  // namespace

void RefuseOffer(RackOwnerState& aState, const TaskOffer& aOffer,
                 const RackId& aRack, std::string_view aReason) {
  TaskUpdate update;
  update.m_task = aOffer.m_task;
  update.m_event = TaskEvent::Refused;
  update.m_rack = aRack;
  update.m_token = aOffer.m_token;
  update.m_rowVersion = aOffer.m_rowVersion;
  update.m_message = aReason;
  QueueUpdate(aState, std::move(update));
}

void OffersArrived(RackOwnerState& aState, const TaskOffers& aOffers,
                   TimePoint aNow, Counters& aCounters,
                   BatchEffects& aEffects) {
  const auto rack = aState.m_racks.find(aOffers.m_rack);
  const bool isReady =
      rack != aState.m_racks.end() && rack->second.m_phase == UnitPhase::Ready;
  for (const TaskOffer& offer : aOffers.m_offers) {
    if (!isReady) {
      RefuseOffer(aState, offer, aOffers.m_rack,
                  "this daemon does not own the rack, or is still loading it");
      continue;
    }
    // A repeated offer of a task that has capacity here is ignored.
    if (aState.m_tasks.contains(offer.m_task)) continue;
    auto& waiting = rack->second.m_offers;
    const auto same = std::find_if(
        waiting.begin(), waiting.end(), [&](const WaitingOffer& aWaiting) {
          return aWaiting.m_offer.m_task == offer.m_task;
        });
    if (same != waiting.end()) {
      same->m_offer = offer;
    } else if (waiting.size() >= kMaxWaitingOffers && !offer.m_urgent) {
      Count(aCounters, CounterId::TaskRetryNoCapacity);
      RefuseOffer(aState, offer, aOffers.m_rack,
                  "too many offers wait for capacity in the rack");
    } else {
      waiting.push_back({offer, aNow, false});
    }
  }
  if (isReady) {
    PlaceOffers({aState, aNow, aCounters, aEffects}, aOffers.m_rack);
  }
}

void PlaceOffers(const RackContext& aContext, const RackId& aRack) {
  const auto rack = aContext.m_state.m_racks.find(aRack);
  if (rack == aContext.m_state.m_racks.end()) return;
  // The calls below may free capacity and call this function again. Moving the
  // list away ensures that no offer is handled twice.
  std::deque<WaitingOffer> waiting;
  waiting.swap(rack->second.m_offers);
  std::stable_sort(waiting.begin(), waiting.end(), GoesBefore);
  std::deque<WaitingOffer> left;
  for (WaitingOffer& item : waiting) {
    if (Worker* worker = ChooseWorker(aContext, aRack, item.m_offer)) {
      Reserve(aContext, *worker, item.m_offer);
      continue;
    }
    if (item.m_offer.m_urgent && !item.m_evicted) {
      item.m_evicted = Preempt(aContext, aRack, item.m_offer);
      if (!item.m_evicted) {
        Count(aContext.m_counters, CounterId::TaskRetryNoCapacity);
        RefuseOffer(
            aContext.m_state, item.m_offer, aRack,
            "no single eviction in the rack makes room for the urgent task");
        continue;
      }
    }
    if (aContext.m_now - item.m_arrived >= kMaxOfferWait &&
        !item.m_offer.m_urgent) {
      Count(aContext.m_counters, CounterId::TaskRetryNoCapacity);
      RefuseOffer(aContext.m_state, item.m_offer, aRack,
                  "no worker of the rack had room within the waiting time");
      continue;
    }
    left.push_back(std::move(item));
  }
  // Offers that nested calls have left in the list come last.
  for (WaitingOffer& item : rack->second.m_offers) {
    left.push_back(std::move(item));
  }
  rack->second.m_offers = std::move(left);
}

}  // namespace bronze
