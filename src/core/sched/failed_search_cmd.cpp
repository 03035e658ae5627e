/**
 * @file failed_search_cmd.cpp Remembers searches that found no runner.
 */

#include "core/sched/failed_search_cmd.h"

#include <algorithm>

namespace bronze::sched {

namespace {

/** Entries per kind. More are only needed by steps of which each needs less of
 *  one resource and more of another than all others. */
constexpr size_t kMaxPerKind = 16;

SearchKind KindOf(const StepSpec& aStep, const ServiceId& aService,
                  bool aHasSlack) {
  return {aService, aStep.m_requiredLabel, aStep.m_bestEffort,
          aStep.m_bestEffort ? aStep.m_imageIndex : ImageIndex(),
          aStep.m_bestEffort && aHasSlack};
}

/** Adds what the searches of a kind tell about a task that needs this. */
void AddKnown(const FailedSearches& aKnown, const SearchKind& aKind,
              const Resources& aNeed, std::optional<KnownFailure>& aLatest) {
  const auto ofKind = aKnown.m_byKind.find(aKind);
  if (ofKind == aKnown.m_byKind.end()) return;
  for (const FailedSearch& failed : ofKind->second) {
    if (!Fits(failed.m_need, aNeed)) continue;
    if (aLatest && aLatest->m_seen >= failed.m_seen) continue;
    aLatest = {failed.m_seen, true};
  }
}

}  // namespace

std::optional<KnownFailure> FindFailedSearch(const Cell& aCell,
                                             const StepKey& aKey,
                                             const StepSpec& aStep,
                                             const ServiceId& aService,
                                             bool aHasSlack) {
  std::optional<KnownFailure> latest;
  const FailedSearches& known = aCell.m_failedSearches;
  AddKnown(known, KindOf(aStep, aService, false), aStep.m_need, latest);
  if (aStep.m_bestEffort && aHasSlack) {
    AddKnown(known, KindOf(aStep, aService, true), aStep.m_need, latest);
  }
  const auto ofStep = known.m_byStep.find(aKey);
  if (ofStep == known.m_byStep.end()) return latest;
  if (latest && latest->m_seen >= ofStep->second) return latest;
  return KnownFailure{ofStep->second, false};
}

void NoteFailedSearch(Cell& aCell, const StepKey& aKey,
                      const PlacementQuery& aQuery,
                      const std::optional<KnownFailure>& aBase) {
  // Anti-affinity or the queue's policy may have excluded room that another
  // step can use.
  const bool reliesOnStep = aQuery.m_changesFrom && aBase && !aBase->m_forKind;
  const bool excluded =
      aQuery.m_tally == nullptr || aQuery.m_tally->m_excluded > 0;
  // Steps with advice ask for it when their own search fails.
  if (reliesOnStep || excluded || aQuery.m_isApproved) {
    NoteFailedStep(aCell, aKey);
    return;
  }
  const StepSpec& step = *aQuery.m_step;
  auto& ofKind =
      aCell.m_failedSearches
          .m_byKind[KindOf(step, aQuery.m_service, aQuery.m_hasSlack)];
  std::erase_if(ofKind, [&](const FailedSearch& aFailed) {
    return Fits(step.m_need, aFailed.m_need);
  });
  if (ofKind.size() >= kMaxPerKind) ofKind.erase(ofKind.begin());
  ofKind.push_back({step.m_need, aCell.m_roomChanges.size()});
}

void NoteFailedStep(Cell& aCell, const StepKey& aKey) {
  aCell.m_failedSearches.m_byStep[aKey] = aCell.m_roomChanges.size();
}

void ForgetFailedSearches(Cell& aCell) {
  aCell.m_failedSearches = {};
  aCell.m_roomChanges.clear();
}

}  // namespace bronze::sched
