/**
 * @file stored_samples.cpp Samples in which every field has a different value,
 * so that swapping two fields changes the encoded bytes.
 */

#include "stored_samples.h"

#include <fmt/format.h>

#include "codec/batch_json.h"
#include "codec/cell_row_cbor.h"
#include "codec/config_json.h"
#include "codec/coordination_json.h"
#include "codec/job_cbor.h"
#include "codec/key_json.h"
#include "codec/peer_call_cbor.h"
#include "codec/peer_cbor.h"
#include "core/sched/failed_runs_func.h"

namespace bronze {

namespace {

Resources SampleResources(int64_t aBase) {
  return {Millicores(aBase), Mebibytes(aBase + 1), Accelerators(aBase + 2)};
}

sched::StepSpec SampleStep(uint32_t aFlag) {
  sched::StepSpec step;
  step.m_count = 11 + aFlag;
  step.m_need = SampleResources(12'000);
  step.m_estimate = milliseconds(850);
  step.m_after = {0, 3};
  step.m_requiredLabel = "gpu-node";
  step.m_affinityRack = "rack-3";
  step.m_image = "render";
  step.m_antiAffinity = 13;
  step.m_mayMiss = 14;
  step.m_tailTarget = milliseconds(45);
  step.m_savesProgress = aFlag == 0;
  step.m_gang = aFlag == 1;
  step.m_sameRack = aFlag == 2;
  step.m_speculative = aFlag == 3;
  step.m_longRunning = aFlag == 4;
  step.m_bestEffort = aFlag == 5;
  return step;
}

sched::JobSpec SampleSpec(bool aWithAdvice) {
  sched::JobSpec spec;
  spec.m_id = JobId(0xa1b2);
  spec.m_queue = sched::QueueId("nightly");
  spec.m_policy.m_configVersion = ConfigVersion(21);
  spec.m_policy.m_service = sched::ServiceId("pool");
  spec.m_policy.m_priority = 2;
  spec.m_policy.m_maxAttempts = 4;
  spec.m_policy.m_stretch = 1.5;
  spec.m_policy.m_targetLatency = milliseconds(250);
  if (aWithAdvice) {
    spec.m_policy.m_advice = sched::AdvicePolicy{
        milliseconds(30), milliseconds(2), milliseconds(900)};
  }
  spec.m_payload = "payload of the job";
  for (uint32_t flag = 0; flag < 6; ++flag) {
    spec.m_steps.push_back(SampleStep(flag));
  }
  spec.m_maxRuns = 6;
  spec.m_startTime = sched::UnixMillis(1'700'000'000'001);
  spec.m_intervalMs = 60'000;
  spec.m_acceptedAt = sched::UnixMillis(1'700'000'000'002);
  return spec;
}

sched::StoredState SampleState() {
  sched::StoredTask open;
  open.m_run = sched::RunNumber(1);
  sched::StoredTask resumable = open;
  resumable.m_checkpoint = "checkpoint-9";
  resumable.m_failedRuns = sched::FailedRunsOfMask(5);
  sched::StoredTask placed;
  placed.m_state = sched::StoredTask::State::Placed;
  placed.m_run = sched::RunNumber(2);
  placed.m_runner = RunnerId("runner-1");
  sched::StoredTask failedOnce = placed;
  failedOnce.m_runner = RunnerId("runner-2");
  failedOnce.m_failedRuns = sched::FailedRunsOfMask(1);
  sched::StoredTask done;
  done.m_state = sched::StoredTask::State::Done;
  done.m_run = sched::RunNumber(7);
  sched::StoredState state;
  state.m_job = JobId(0xa1b2);
  state.m_nextOccurrence = 3;
  state.m_anyStarted = true;
  state.m_occurrences = {{1, {open, resumable, placed}},
                         {2, {failedOnce, done, placed}}};
  return state;
}

OwnerRow SampleOwnerRow() {
  OwnerRow row;
  row.m_vm = "entry-1";
  row.m_incarnation = 31;
  row.m_address = "127.0.0.1:7720";
  row.m_sequence = 32;
  row.m_capability.m_cpu = Millicores(250);
  row.m_longestLease = milliseconds(7000);
  row.m_unresponsive = {{RunnerId("runner-1"), StoreMillis(33)},
                        {RunnerId("runner-2"), StoreMillis(34)}};
  return row;
}

HeartbeatRow SampleHeartbeatRow() {
  HeartbeatRow row;
  row.m_vm = "entry-1";
  row.m_incarnation = 171;
  row.m_address = "127.0.0.1:7720";
  row.m_sequence = 172;
  row.m_capability.m_cpu = Millicores(500);
  row.m_term = FencingToken(173);
  row.m_load = {174, 175, 176, 177, {"a", "b"}};
  return row;
}

sched::StoredInterference SampleInterference() {
  sched::StoredInterference interference;
  interference.m_lowestTails = {{"render", 12.5}, {"desk", 13.5}};
  interference.m_pairs = {{"render", "desk", {0.25, 0.5}}};
  return interference;
}

EpochRow SampleEpochRow() {
  const Member first{VmId("entry-1"), Incarnation(41), DataCentreId("dc-1")};
  const Member second{VmId("entry-2"), Incarnation(42), DataCentreId("dc-2")};
  EpochRow row;
  row.m_epoch = Epoch(43);
  row.m_members = {first, second};
  row.m_times = {seconds(4), seconds(3)};
  row.m_unsettled = {{Epoch(40), {first}, {seconds(6), seconds(5)}}};
  return row;
}

LeaseRow SampleLeaseRow() {
  return {VmId("entry-1"),    Incarnation(51),   Epoch(52),
          CommitSequence(53), ConfigVersion(54), Epoch(55)};
}

TaskSpec SampleTaskSpec() {
  return {TeamId("team-1"),     KindId("render"), SampleResources(60), 61, true,
          ObjectName("input-1")};
}

JobRow SampleJobRow() { return {SampleTaskSpec(), 62, "submission-1", true}; }

TaskRow SampleTaskRow() {
  return {TaskState::Evicting,  FencingToken(71),
          WorkerId("worker-1"), RackId("rack-1"),
          SampleResources(72),  75,
          WorkerId("worker-2"), ObjectName("checkpoint-1"),
          SampleResources(76),  "the last failure"};
}

std::vector<PeerBody> SamplePeerBodies() {
  const IdempotencyKey key("key-1");
  const RequestId request(0x81);
  const TaskId task{JobId(82), 83};
  TaskOffer offer{task,
                  TeamId("team-1"),
                  KindId("render"),
                  SampleResources(84),
                  -3,
                  true,
                  RowVersion(87),
                  FencingToken(88),
                  ObjectName("input-1"),
                  ObjectName("checkpoint-1"),
                  milliseconds(89),
                  SampleResources(90),
                  93,
                  WorkerId("worker-9"),
                  0.25};
  TaskUpdate update{task,
                    TaskEvent::Evicted,
                    WorkerId("worker-1"),
                    FencingToken(94),
                    RowVersion(95),
                    ObjectName("checkpoint-2"),
                    "message",
                    RackId("rack-1"),
                    96,
                    WorkerId("worker-2"),
                    SampleResources(97),
                    SampleResources(100)};
  return {Heartbeat{
              HeartbeatSequence(103),
              HeartbeatSequence(104),
              Incarnation(105),
              ConfigVersion(106),
              ConfigVersion(107),
              true,
              {VmId("entry-7")},
              false,
              {{RackId("rack-1"), SampleResources(108), SampleResources(111)}}},
          SlotReport{HeartbeatSequence(114),
                     GrantSequence(115),
                     Incarnation(116),
                     {Slots(117), Slots(118)},
                     {{RunnerId("runner-1"), Slots(119), Slots(120)}}},
          SlotGrant{GrantSequence(121),
                    HeartbeatSequence(122),
                    {{RunnerId("runner-1"), Slots(123), milliseconds(124)}}},
          KeyClaim{key, request, milliseconds(125)},
          KeyAnswer{key, request, KeyState::Finished},
          KeyOutcome{key, request, RunState::Run},
          KeyReport{true, {key}},
          ConfigPush{ConfigVersion(126), "text"},
          ConfigPull{ConfigVersion(127)},
          TaskOffers{RackId("rack-1"), {offer}},
          TaskUpdates{{update}},
          TaskCancel{task, RackId("rack-2")},
          JobForward{128, "POST", "/v1/jobs", "{}"},
          JobReply{129, 200, "body"},
          Release{{"team/1", "rack/rack-1"}},
          EpochNotice{SampleEpochRow(), RowVersion(130)}};
}

/** Makes a sample of a type that has one encoder and one decoder. */
template <class T, class Encode, class Decode>
StoredSample Make(std::string aName, const T& aValue, Encode aEncode,
                  Decode aDecode) {
  return {std::move(aName), aEncode(aValue),
          [aEncode, aDecode](std::string_view aBytes) -> std::string {
            const auto decoded = aDecode(aBytes);
            return decoded ? aEncode(decoded.value()) : "";
          }};
}

void AddPeerCalls(std::vector<StoredSample>& aSamples) {
  for (int verb = 0; verb <= static_cast<int>(PeerVerb::Adopt); ++verb) {
    PeerCall call;
    call.m_routed = verb == static_cast<int>(PeerVerb::Adopt);
    call.m_state = SampleState();
    call.m_verb = static_cast<PeerVerb>(verb);
    call.m_cell = CellId(131);
    call.m_job = JobId(132);
    call.m_queue = sched::QueueId("nightly");
    call.m_window = milliseconds(133);
    call.m_spec = SampleSpec(true);
    aSamples.push_back(Make(fmt::format("peer-call-{}", verb), call,
                            EncodePeerCall, DecodePeerCall));
  }
  PeerAnswer answer;
  answer.m_state = sched::JobState::Running;
  answer.m_count = 134;
  aSamples.push_back(
      Make("peer-answer", answer, EncodePeerAnswer, DecodePeerAnswer));
  answer.m_routedTo = CellId(135);
  aSamples.push_back(
      Make("peer-answer-routed", answer, EncodePeerAnswer, DecodePeerAnswer));
  answer.m_routedTo.reset();
  answer.m_error = MakeError(ErrorKind::NotOwner, "not the owner");
  aSamples.push_back(
      Make("peer-answer-error", answer, EncodePeerAnswer, DecodePeerAnswer));
}

/** Rows and messages with the fields that earlier builds lack. */
void AddHandoverSamples(std::vector<StoredSample>& aSamples) {
  OwnerRow owner = SampleOwnerRow();
  owner.m_capability.m_link = sched::KilobitsPerSecond(181);
  owner.m_successor = "entry-2";
  owner.m_largestAsker = {Millicores(182), sched::KilobitsPerSecond(183)};
  aSamples.push_back(
      Make("owner-row-successor", owner, EncodeOwnerRow, DecodeOwnerRow));
  HeartbeatRow heartbeat = SampleHeartbeatRow();
  heartbeat.m_capability.m_link = sched::KilobitsPerSecond(184);
  heartbeat.m_successor = "entry-2";
  aSamples.push_back(Make("heartbeat-row-successor", heartbeat,
                          EncodeHeartbeatRow, DecodeHeartbeatRow));
  PeerCall call;
  call.m_verb = PeerVerb::HandOver;
  call.m_cell = CellId(131);
  call.m_window = milliseconds(133);
  call.m_handover = {VmId("entry-2"),
                     Incarnation(185),
                     {Millicores(186), sched::KilobitsPerSecond(187)}};
  aSamples.push_back(
      Make("peer-call-handover", call, EncodePeerCall, DecodePeerCall));
  PeerAnswer answer;
  answer.m_error = MakeError(ErrorKind::NotOwner, "not the owner");
  answer.m_handedOver = true;
  aSamples.push_back(Make("peer-answer-handed-over", answer, EncodePeerAnswer,
                          DecodePeerAnswer));
}

void AddBatchRows(std::vector<StoredSample>& aSamples) {
  aSamples.push_back(
      Make("batch-job-row", SampleJobRow(), EncodeJobRow, DecodeJobRow));
  aSamples.push_back(
      Make("batch-task-row", SampleTaskRow(), EncodeTaskRow, DecodeTaskRow));
  aSamples.push_back(
      {"batch-rack-row", EncodeRackRow(SampleTaskRow(), SampleTaskSpec()),
       [](std::string_view aBytes) -> std::string {
         const auto record = DecodeRackRecord(
             {"rack/rack-1/000000000000000a/3", std::string(aBytes), {}});
         return record
                    ? EncodeRackRow(record.value().m_row, record.value().m_spec)
                    : "";
       }});
}

}  // namespace

std::vector<StoredSample> StoredSamples() {
  std::vector<StoredSample> samples;
  for (const bool withAdvice : {false, true}) {
    samples.push_back(Make(withAdvice ? "job-spec-advice" : "job-spec",
                           SampleSpec(withAdvice), EncodeJobSpec,
                           DecodeJobSpec));
  }
  sched::StoredState state = SampleState();
  const auto encodeState = [](const sched::StoredState& aState) {
    return EncodeJobState(aState);
  };
  for (int phase = 0; phase < 4; ++phase) {
    state.m_phase = static_cast<sched::JobPhase>(phase);
    samples.push_back(Make(fmt::format("job-state-{}", phase), state,
                           encodeState, DecodeJobState));
  }
  state.m_phase = sched::JobPhase::Active;
  state.m_movingTo = CellId(151);
  state.m_moveCount = 2;
  samples.push_back(
      Make("job-state-moving", state, encodeState, DecodeJobState));
  samples.push_back(
      Make("owner-row", SampleOwnerRow(), EncodeOwnerRow, DecodeOwnerRow));
  samples.push_back(Make("heartbeat-row", SampleHeartbeatRow(),
                         EncodeHeartbeatRow, DecodeHeartbeatRow));
  AddHandoverSamples(samples);
  samples.push_back(Make("layout-row", LayoutRow{{161}, "entry-1"},
                         EncodeLayoutRow, DecodeLayoutRow));
  samples.push_back(Make("route-row",
                         sched::StoredRoute{JobId(162), CellId(163), 164},
                         EncodeRoute, DecodeRoute));
  samples.push_back(Make("interference", SampleInterference(),
                         EncodeInterference, DecodeInterference));
  samples.push_back(
      Make("epoch-row", SampleEpochRow(), EncodeEpochRow, DecodeEpochRow));
  samples.push_back(
      Make("lease-row", SampleLeaseRow(), EncodeLeaseRow, DecodeLeaseRow));
  samples.push_back(Make("key-row",
                         KeyRow{IdempotencyKey("key-1"), RequestId(0x91),
                                VmId("entry-1"), KeyState::Finished},
                         EncodeKeyRow, DecodeKeyRow));
  samples.push_back(Make("config-document",
                         ConfigDocument{{{"10-request.yaml", "a: 1\n"}},
                                        "author",
                                        "note",
                                        "2026-12-04T00:00:00Z",
                                        "operation-1"},
                         EncodeConfigDocument, DecodeConfigDocument));
  AddBatchRows(samples);
  AddPeerCalls(samples);
  for (const PeerBody& body : SamplePeerBodies()) {
    samples.push_back(
        Make(fmt::format("peer-message-{}", body.index()),
             PeerMessage{VmId("entry-1"), Incarnation(141), Epoch(142), body},
             EncodePeerMessage, DecodePeerMessage));
  }
  return samples;
}

std::string ToHex(std::string_view aBytes) {
  std::string text;
  for (const char byte : aBytes) {
    text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  }
  return text;
}

}  // namespace bronze
