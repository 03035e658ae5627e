/**
 * @file config_driver.h Accepts, distributes and applies the configuration.
 */

#ifndef BRONZE_DAEMON_CONFIG_DRIVER_H_
#define BRONZE_DAEMON_CONFIG_DRIVER_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "codec/config_json.h"
#include "core/confdist/confdist_cmd.h"
#include "core/config/settings_parse_func.h"
#include "daemon/coordination_driver.h"
#include "net/http_server.h"

namespace bronze {

/** Callbacks into the other drivers; all on the control thread. */
struct ConfigEvents {
  /** Gets the settings of a version that comes into force. */
  std::function<void(const SystemSettings& aSettings)> m_apply;
  /** Gets the latest version received by this VM, whether or not in force. */
  std::function<void(ConfigVersion aVersion)> m_held;
  std::function<void()> m_sendHeartbeat;
};

/** A new configuration as an operator sends it. */
struct ConfigChange {
  ConfigVersion m_basedOn;  ///< Version that the operator has edited.
  ConfigDocument m_document;
};

/** Every function is called on the control thread. */
class ConfigDriver {
 public:
  ConfigDriver(const VmId& aSelf, Incarnation aIncarnation, PeerHub& aHub,
               TableClient& aTable, CoordinationDriver& aCoordination,
               Counters& aCounters, ConfigEvents aEvents);

  void OnEpochAdopted();
  void OnHeartbeat(const PeerMessage& aMessage);
  void OnPush(const ConfigPush& aPush);
  void OnPull(const VmId& aFrom, const ConfigPull& aPull);
  void OnLeaseRow(const LeaseRow& aRow);
  void Tick();

  [[nodiscard]] bool IsReady() const { return m_state.m_ready; }
  [[nodiscard]] const ConfdistState& State() const { return m_state; }

  // HTTP calls of operators.

  /** @param aVersion version to show; 0: the one in force. */
  void Show(ConfigVersion aVersion, std::shared_ptr<HttpResponder> aResponder);
  void Change(ConfigChange aChange, std::shared_ptr<HttpResponder> aResponder);
  void History(size_t aLimit, std::shared_ptr<HttpResponder> aResponder);
  void Status(const std::shared_ptr<HttpResponder>& aResponder) const;

 private:
  struct Commit;

  void CarryOut(ConfdistEffects& aEffects);
  void ReadHead();
  void ReadVersion(ConfigVersion aVersion);
  void Apply(const ApplyConfig& aEffect);
  void OnChangeEnd(const std::shared_ptr<Commit>& aCommit,
                   const CommitReply& aReply);
  void ResolveLostReply(const std::shared_ptr<Commit>& aCommit);
  void Accepted(const std::shared_ptr<Commit>& aCommit);
  void RefuseConflict(const std::shared_ptr<Commit>& aCommit);

  PeerHub& m_hub;
  TableClient& m_table;
  CoordinationDriver& m_coordination;
  Counters& m_counters;
  ConfigEvents m_events;
  ConfdistState m_state;
  Duration m_pollInterval = seconds(1);
  TimePoint m_nextHeadRead;
  bool m_readingHead = false;
  RowVersion m_headRowVersion;  ///< Row version of config/head when last read.
  ConfigVersion m_head;         ///< Latest accepted version, per config/head.
  uint64_t m_lastCall = 0;
  /** Calls of accepted changes, each answered by an AnswerOperator effect. */
  std::unordered_map<OperatorCallId, std::shared_ptr<HttpResponder>>
      m_pendingCalls;
};

/**
 * @return the answer that lists the problems of a configuration: the result of
 * a check, or the refusal of a change.
 */
[[nodiscard]] HttpReply ProblemsReply(
    const std::vector<SettingsProblem>& aProblems, bool aIsCheck);

}  // namespace bronze

#endif  // BRONZE_DAEMON_CONFIG_DRIVER_H_
