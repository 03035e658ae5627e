/**
 * @file wire_fuzz.cpp libFuzzer target of the scheduler's decoders.
 *
 * Other programs write to the tables that the scheduler reads, so any bytes may
 * arrive at any decoder. wire_replay_test runs the seeds in corpus/wire.
 */

#include "wire_fuzz.h"

#include <cstdlib>
#include <string>
#include <vector>

#include "codec/cell_row_cbor.h"
#include "codec/job_cbor.h"
#include "codec/peer_call_cbor.h"
#include "net/address_func.h"
#include "platform/wire_decode.h"

namespace bronze {

namespace {

/** Aborts if the condition is false, so that the fuzzer saves the input. */
void Require(bool aCondition) {
  if (!aCondition) std::abort();
}

template <class T>
int CountAccepted(const Result<T>& aResult) {
  if (aResult) return 1;
  Require(!aResult.error().m_message.empty());
  return 0;
}

}  // namespace

int DecodeFuzzedMessage(std::string_view aInput) {
  int accepted = 0;
  const auto entry = DecodeRunnerEntry("runner", aInput);
  accepted += CountAccepted(entry);
  if (entry) {
    const auto address = ParseAddress(entry.value().m_address);
    Require(address.has_value() && address.value().port() != 0);
  }
  std::vector<std::string> problems;
  accepted += CountAccepted(DecodeLiveConfig(aInput, problems));
  accepted += CountAccepted(DecodeRunnerReport(aInput));
  accepted += CountAccepted(DecodeAdviceAnswer(aInput));
  accepted += CountAccepted(DecodeJobBody(aInput));
  accepted += CountAccepted(DecodeTaskName(aInput));
  accepted += CountAccepted(DecodeJobId(aInput));
  accepted += CountAccepted(DecodeJobSpec(aInput));
  accepted += CountAccepted(DecodeJobState(aInput));
  accepted += CountAccepted(DecodeInterference(aInput));
  accepted += CountAccepted(DecodeOwnerRow(aInput));
  accepted += CountAccepted(DecodePeerCall(aInput));
  accepted += CountAccepted(DecodePeerAnswer(aInput));
  return accepted;
}

}  // namespace bronze
