/**
 * @file config_driver.cpp Accepts, distributes and applies the configuration.
 */

#include "daemon/config_driver.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <random>

#include "core/metrics/counter_func.h"
#include "daemon/clock.h"
#include "daemon/overloaded.h"
#include "net/error_reply.h"
#include "net/log_func.h"

namespace bronze {

using nlohmann::json;

namespace {

constexpr Duration kTableTimeout = seconds(2);
constexpr char kHeadKey[] = "config/head";

std::string VersionKey(ConfigVersion aVersion) {
  return fmt::format("config/{}", aVersion.Value());
}

ConfigVersion ParseVersion(const std::string& aText) {
  uint64_t value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return ConfigVersion(value);
}

std::string UtcNow() {
  const auto now =
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(now));
}

/**
 * The id lets the daemon recognize its own commit after the reply was lost,
 * when another operator may have committed the same version.
 */
std::string NewOperationId() {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

HttpReply JsonReply(const json& aBody, int aStatus = 200) {
  HttpReply reply;
  reply.m_status = aStatus;
  reply.m_body =
      aBody.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return reply;
}

HttpReply ShownVersion(ConfigVersion aVersion, const std::string& aText) {
  const auto document = DecodeConfigDocument(aText);
  if (!document) return ErrorReply(document.error());
  return JsonReply(
      {{"version", aVersion.Value()}, {"files", document.value().m_files}});
}

json VersionJson(ConfigVersion aVersion, const ConfigDocument& aDocument) {
  return {{"version", aVersion.Value()},
          {"author", aDocument.m_author},
          {"note", aDocument.m_note},
          {"time", aDocument.m_time}};
}

}  // namespace

HttpReply ProblemsReply(const std::vector<SettingsProblem>& aProblems,
                        bool aIsCheck) {
  json list = json::array();
  for (const SettingsProblem& problem : aProblems) {
    list.push_back({{"file", problem.m_origin.m_file},
                    {"line", problem.m_origin.m_line},
                    {"key", problem.m_key},
                    {"message", problem.m_message},
                    {"accepted", problem.m_accepted}});
  }
  if (aIsCheck) {
    return JsonReply({{"ok", aProblems.empty()}, {"problems", list}});
  }
  HttpReply reply = ErrorReply(MakeError(
      ErrorKind::ConfigInvalid,
      fmt::format("the configuration has {} problems", aProblems.size())));
  json body = json::parse(reply.m_body);
  body["problems"] = std::move(list);
  return JsonReply(body, reply.m_status);
}

/** A change that is being committed to the table. */
struct ConfigDriver::Commit {
  ConfigVersion m_version;
  std::string m_text;
  std::shared_ptr<HttpResponder> m_responder;
};

ConfigDriver::ConfigDriver(const VmId& aSelf, Incarnation aIncarnation,
                           PeerHub& aHub, TableClient& aTable,
                           CoordinationDriver& aCoordination,
                           Counters& aCounters, ConfigEvents aEvents)
    : m_hub(aHub),
      m_table(aTable),
      m_coordination(aCoordination),
      m_counters(aCounters),
      m_events(std::move(aEvents)) {
  m_state.m_self = aSelf;
  m_state.m_incarnation = aIncarnation;
}

void ConfigDriver::OnEpochAdopted() {
  ConfdistEffects effects;
  SetConfigMembers(m_state, m_coordination.Members().m_row.m_members, Now(),
                   effects);
  CarryOut(effects);
  m_nextHeadRead = TimePoint();
}

void ConfigDriver::OnHeartbeat(const PeerMessage& aMessage) {
  ConfdistEffects effects;
  ConfigHeartbeat(m_state, aMessage, Now(), m_counters, effects);
  CarryOut(effects);
}

void ConfigDriver::OnPush(const ConfigPush& aPush) {
  ConfdistEffects effects;
  ConfigReceived(m_state, aPush.m_version, aPush.m_text, Now(), effects);
  CarryOut(effects);
}

void ConfigDriver::OnPull(const VmId& aFrom, const ConfigPull& aPull) {
  ConfdistEffects effects;
  ConfigPulledBy(m_state, aFrom, aPull, m_counters, effects);
  CarryOut(effects);
}

void ConfigDriver::OnLeaseRow(const LeaseRow& aRow) {
  ConfdistEffects effects;
  ConfigLeaseRow(m_state, aRow, Now(), effects);
  CarryOut(effects);
}

void ConfigDriver::Tick() {
  const TimePoint now = Now();
  ConfdistEffects effects;
  TickConfdist(m_state, now, m_counters, effects);
  CarryOut(effects);
  if (now >= m_nextHeadRead) ReadHead();
}

void ConfigDriver::ReadHead() {
  if (m_readingHead) return;
  m_readingHead = true;
  m_nextHeadRead = Now() + m_pollInterval;
  m_table.ReadRow(kHeadKey, kTableTimeout, [this](Result<TableRow> aRow) {
    m_readingHead = false;
    if (!aRow) return;
    m_coordination.OnStoreAnswered();
    if (aRow.value().m_version < m_headRowVersion) return;
    m_headRowVersion = aRow.value().m_version;
    m_head = ParseVersion(aRow.value().m_value);
    ConfdistEffects effects;
    ConfigHeadRead(m_state, m_head, Now(), effects);
    CarryOut(effects);
  });
}

void ConfigDriver::ReadVersion(ConfigVersion aVersion) {
  m_table.ReadRow(VersionKey(aVersion), kTableTimeout,
                  [this, aVersion](Result<TableRow> aRow) {
                    if (!aRow) return;
                    m_coordination.OnStoreAnswered();
                    if (aRow.value().m_version == RowVersion()) return;
                    Count(m_counters, CounterId::ConfigPulled);
                    ConfdistEffects effects;
                    ConfigReceived(m_state, aVersion,
                                   std::move(aRow.value().m_value), Now(),
                                   effects);
                    CarryOut(effects);
                  });
}

void ConfigDriver::Apply(const ApplyConfig& aEffect) {
  const auto document = DecodeConfigDocument(aEffect.m_text);
  if (!document) {
    Log(LogLevel::Error, LogPart::Config,
        "cannot decode the configuration version={} error=\"{}\"",
        aEffect.m_version.Value(), document.error().m_message);
    return;
  }
  const auto settings = ParseSystemSettings(document.value().m_files);
  if (!settings) {
    // The daemon that accepted it had checked it, so it ran another release.
    Log(LogLevel::Error, LogPart::Config,
        "configuration not applied, as some settings are invalid version={} "
        "mistakes={}",
        aEffect.m_version.Value(), settings.error().size());
    return;
  }
  Log(LogLevel::Info, LogPart::Config,
      "configuration is now in force version={}", aEffect.m_version.Value());
  m_pollInterval = settings.value().m_coordination.m_configPollInterval;
  m_events.m_apply(settings.value());
}

void ConfigDriver::CarryOut(ConfdistEffects& aEffects) {
  m_events.m_held(m_state.m_held);
  for (ConfdistEffect& effect : aEffects) {
    std::visit(
        Overloaded{
            [this](const PushConfig& aEffect) {
              m_hub.Send(aEffect.m_to,
                         ConfigPush{m_state.m_held, m_state.m_heldText});
            },
            [this](const PullConfig& aEffect) {
              m_hub.Send(aEffect.m_from, ConfigPull{aEffect.m_atLeast});
            },
            [this](const ReadConfigRow& aEffect) {
              ReadVersion(aEffect.m_version);
            },
            [this](const bronze::ReadLeaseRows&) {
              std::vector<VmId> vms;
              for (const Member& member : m_state.m_members) {
                if (member.m_vm != m_state.m_self) vms.push_back(member.m_vm);
              }
              m_coordination.ReadLeaseRows(vms);
            },
            [this](const ApplyConfig& aEffect) { Apply(aEffect); },
            [this](const SendHeartbeatNow&) { m_events.m_sendHeartbeat(); },
            [this](const AnswerOperator& aEffect) {
              auto waiting = m_pendingCalls.extract(aEffect.m_call);
              if (!waiting) return;
              waiting.mapped()->Reply(
                  JsonReply({{"version", aEffect.m_version.Value()},
                             {"in_force", aEffect.m_inForce},
                             {"members", aEffect.m_members}}));
            },
            [](const ConfigReady&) {
              Log(LogLevel::Info, LogPart::Config,
                  "configuration is up to date, ready to serve");
            }},
        effect);
  }
}

void ConfigDriver::Show(ConfigVersion aVersion,
                        std::shared_ptr<HttpResponder> aResponder) {
  const ConfigVersion version =
      aVersion == ConfigVersion() ? m_state.m_inForce : aVersion;
  if (version == ConfigVersion()) {
    aResponder->Reply(JsonReply({{"version", 0}, {"files", json::object()}}));
    return;
  }
  if (m_state.m_held == version) {
    aResponder->Reply(ShownVersion(version, m_state.m_heldText));
    return;
  }
  m_table.ReadRow(
      VersionKey(version), kTableTimeout,
      [version, responder = std::move(aResponder)](Result<TableRow> aRow) {
        if (!aRow) {
          responder->Reply(ErrorReply(aRow.error()));
        } else if (aRow.value().m_version == RowVersion()) {
          responder->Reply(ErrorReply(
              MakeError(ErrorKind::UnknownConfigVersion,
                        fmt::format("configuration version {} does not exist",
                                    version.Value()))));
        } else {
          responder->Reply(ShownVersion(version, aRow.value().m_value));
        }
      });
}

void ConfigDriver::Change(ConfigChange aChange,
                          std::shared_ptr<HttpResponder> aResponder) {
  const auto settings = ParseSystemSettings(aChange.m_document.m_files);
  if (!settings) {
    Count(m_counters, CounterId::ConfigRefusedInvalid);
    aResponder->Reply(ProblemsReply(settings.error(), false));
    return;
  }
  auto commit = std::make_shared<Commit>();
  commit->m_version = aChange.m_basedOn.Next();
  commit->m_responder = std::move(aResponder);
  aChange.m_document.m_time = UtcNow();
  aChange.m_document.m_operation = NewOperationId();
  commit->m_text = EncodeConfigDocument(aChange.m_document);
  if (aChange.m_basedOn != m_head) {
    RefuseConflict(commit);
    return;
  }
  const TableTransaction transaction{
      {{kHeadKey, m_headRowVersion}, {VersionKey(commit->m_version), {}}},
      {{kHeadKey, std::to_string(commit->m_version.Value())},
       {VersionKey(commit->m_version), commit->m_text}}};
  m_table.Commit(transaction, kTableTimeout,
                 [this, commit](const CommitReply& aReply) {
                   OnChangeEnd(commit, aReply);
                 });
}

void ConfigDriver::OnChangeEnd(const std::shared_ptr<Commit>& aCommit,
                               const CommitReply& aReply) {
  switch (aReply.m_end) {
    case CommitEnd::Committed:
      m_headRowVersion = aReply.m_version;
      m_head = aCommit->m_version;
      Accepted(aCommit);
      return;
    case CommitEnd::Conflict:
      RefuseConflict(aCommit);
      return;
    case CommitEnd::Unavailable:
      aCommit->m_responder->Reply(
          ErrorReply(MakeError(ErrorKind::StoreUnavailable,
                               "the table service is unavailable; the "
                               "configuration was not changed")));
      return;
    case CommitEnd::ReplyLost:
      ResolveLostReply(aCommit);
      return;
  }
}

void ConfigDriver::ResolveLostReply(const std::shared_ptr<Commit>& aCommit) {
  m_table.ReadRow(
      VersionKey(aCommit->m_version), kTableTimeout,
      [this, aCommit](Result<TableRow> aRow) {
        if (!aRow) {
          aCommit->m_responder->Reply(ErrorReply(MakeError(
              ErrorKind::OutcomeUnknown,
              "the table service does not answer; check the configuration "
              "history for whether the change was accepted")));
          return;
        }
        if (aRow.value().m_value == aCommit->m_text) {
          Count(m_counters, CounterId::CommitsResolved);
          Accepted(aCommit);
        } else if (aRow.value().m_version == RowVersion()) {
          aCommit->m_responder->Reply(ErrorReply(MakeError(
              ErrorKind::OutcomeUnknown,
              "the change has not been committed so far, but still may be")));
        } else {
          RefuseConflict(aCommit);
        }
      });
}

void ConfigDriver::Accepted(const std::shared_ptr<Commit>& aCommit) {
  Count(m_counters, CounterId::ConfigAccepted);
  const OperatorCallId call(++m_lastCall);
  m_pendingCalls.emplace(call, aCommit->m_responder);
  ConfdistEffects effects;
  ConfigCommitted(m_state, call, aCommit->m_version, aCommit->m_text, Now(),
                  m_counters, effects);
  CarryOut(effects);
}

void ConfigDriver::RefuseConflict(const std::shared_ptr<Commit>& aCommit) {
  Count(m_counters, CounterId::ConfigRefusedConflict);
  m_nextHeadRead = TimePoint();
  // The latest version shows the operator what the change would have reverted.
  m_table.ReadRow(
      kHeadKey, kTableTimeout, [this, aCommit](Result<TableRow> aHead) {
        if (!aHead) {
          aCommit->m_responder->Reply(ErrorReply(aHead.error()));
          return;
        }
        const ConfigVersion head = ParseVersion(aHead.value().m_value);
        m_table.ReadRow(
            VersionKey(head), kTableTimeout,
            [aCommit, head](Result<TableRow> aRow) {
              HttpReply reply = ErrorReply(MakeError(
                  ErrorKind::ConfigConflict,
                  fmt::format("version {} is newer than the version that the "
                              "change is based on",
                              head.Value())));
              json body = json::parse(reply.m_body);
              body["version"] = head.Value();
              body["files"] = json::object();
              if (aRow) {
                const auto document =
                    DecodeConfigDocument(aRow.value().m_value);
                if (document) body["files"] = document.value().m_files;
              }
              aCommit->m_responder->Reply(JsonReply(body, reply.m_status));
            });
      });
}

void ConfigDriver::History(size_t aLimit,
                           std::shared_ptr<HttpResponder> aResponder) {
  struct HistoryRead {
    json m_versions = json::array();
    size_t m_remaining;
    std::shared_ptr<HttpResponder> m_responder;
  };
  auto history = std::make_shared<HistoryRead>();
  history->m_remaining = aLimit;
  history->m_responder = std::move(aResponder);
  // Versions are consecutive, so each row is read by its key.
  const auto readNext = std::make_shared<std::function<void(ConfigVersion)>>();
  *readNext = [this, history,
               weak = std::weak_ptr(readNext)](ConfigVersion aVersion) {
    if (aVersion == ConfigVersion() || history->m_remaining-- == 0) {
      history->m_responder->Reply(
          JsonReply({{"versions", history->m_versions}}));
      return;
    }
    m_table.ReadRow(
        VersionKey(aVersion), kTableTimeout,
        [history, aVersion, next = weak.lock()](Result<TableRow> aRow) {
          if (!aRow) {
            history->m_responder->Reply(ErrorReply(aRow.error()));
            return;
          }
          const auto document = DecodeConfigDocument(aRow.value().m_value);
          if (document) {
            history->m_versions.push_back(
                VersionJson(aVersion, document.value()));
          }
          (*next)(ConfigVersion(aVersion.Value() - 1));
        });
  };
  (*readNext)(m_head);
}

void ConfigDriver::Status(
    const std::shared_ptr<HttpResponder>& aResponder) const {
  json vms = json::array();
  for (const ConfigStatus& status : ConfigStatuses(m_state, Now())) {
    vms.push_back(
        {{"vm", status.m_vm.Value()},
         {"version", status.m_inForce.Value()},
         {"seen_ms_ago",
          std::chrono::duration_cast<milliseconds>(status.m_seenAgo).count()}});
  }
  aResponder->Reply(JsonReply(
      {{"version", m_state.m_inForce.Value()}, {"vms", std::move(vms)}}));
}

}  // namespace bronze
