/**
 * @file settings_figure_test.cpp Which settings files a process starts with,
 * and how figures in them are read.
 */

#include <fmt/format.h>
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <sstream>

#include "platform/node_config.h"
#include "platform/settings_figure.h"
#include "scheduler/node_policy.h"

namespace bronze {

namespace {

/** A settings file by section; "" holds the fields without one. */
using Fields = std::map<std::string, std::map<std::string, std::string>>;

Fields NeededFields() {
  return {
      {"",
       {{"node_name", "vm-1"},
        {"zone", "a"},
        {"ip", "127.0.0.1"},
        {"port_range", "[7720, 7735]"}}},
      {"listen", {{"front", "\"127.0.0.1:1\""}, {"ready", "\"127.0.0.1:2\""}}},
      {"platform", {{"address", "\"127.0.0.1:9000\""}}}};
}

std::string TextOf(const Fields& aFields) {
  std::string text;
  for (const auto& [section, fields] : aFields) {
    if (!section.empty()) text += section + ":\n";
    for (const auto& [name, value] : fields) {
      text +=
          fmt::format("{}{}: {}\n", section.empty() ? "" : "  ", name, value);
    }
  }
  return text;
}

FigureId IdAt(size_t aAt) { return static_cast<FigureId>(aAt); }

/** A file with these values of figures. */
std::string TextWith(const std::map<FigureId, std::string>& aValues) {
  Fields fields = NeededFields();
  for (const auto& [id, value] : aValues) {
    const FigureField& field = FieldOf(id);
    fields[std::string(field.m_section)][std::string(field.m_name)] = value;
  }
  return TextOf(fields);
}

NodeConfigReading Decode(FigureId aId, const std::string& aValue) {
  const auto settings = DecodeNodeConfig(TextWith({{aId, aValue}}));
  BOOST_REQUIRE_MESSAGE(settings.has_value(), KeyOf(FieldOf(aId))
                                                  << ": " << aValue);
  return settings.value();
}

const std::vector<std::string> kOddValues = {"2500.5",
                                             "2.5e3",
                                             "\"2500.5\"",
                                             "+7",
                                             "-1",
                                             "-2500.5",
                                             "0",
                                             "-0.0",
                                             "1e-300",
                                             "1e300",
                                             "-1e300",
                                             "1e999",
                                             "99999999999999999999999",
                                             ".nan",
                                             ".inf",
                                             "-.inf",
                                             "nan",
                                             "inf",
                                             "true",
                                             "false",
                                             "soon",
                                             "\"\"",
                                             "''",
                                             "~",
                                             "null",
                                             "[1, 2]",
                                             "[]",
                                             "{a: 1}",
                                             "{}",
                                             "12 s",
                                             "0x10",
                                             "1_000",
                                             "1,5",
                                             "2500.",
                                             ".5",
                                             "\"2500\\n2500\"",
                                             "!!int 5",
                                             "&a 5",
                                             "2026-12-07"};

/** Whether all parts of the scheduler can work with the settings. */
void CheckUsable(const NodeConfig& aConfig) {
  constexpr Duration kLongest = seconds(2'592'000);
  for (const Duration time :
       {aConfig.m_configApply, aConfig.m_drainNotice, aConfig.m_grace,
        aConfig.m_maxLease, aConfig.m_statusRetention,
        aConfig.m_evacuationNotice.value_or(milliseconds(1))}) {
    BOOST_TEST((time > Duration::zero() && time <= kLongest));
  }
  BOOST_TEST(aConfig.m_cpuShare > 0.0);
  BOOST_TEST(aConfig.m_linkMbps > 0.0);
  BOOST_TEST(aConfig.m_spreadFactor > 0.0);
  BOOST_TEST(aConfig.m_limits.m_memory.Value() >= 32);
  BOOST_TEST(aConfig.m_limits.m_descriptors >= 64U);
  BOOST_TEST(aConfig.m_storeRowBytes >= 8192U);
  const OwnerSettings owner = OwnerSettingsOf(aConfig);
  BOOST_TEST((owner.m_cell.m_lease > Duration::zero()));
  BOOST_TEST((owner.m_cell.m_lease < owner.m_cell.m_leaseCap));
  BOOST_TEST((owner.m_maxListingAge > Duration::zero()));
  BOOST_TEST((ConfigWatchTiming(aConfig).m_wait > Duration::zero()));
  BOOST_TEST(LayoutPolicyOf(aConfig, 0).m_runnersPerCell > 0U);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SettingsFigureSuite)

/** Guards against a process that does not start because a figure in its
 *  settings file is a fraction (review/14), or anything else but a usable
 *  number. */
BOOST_AUTO_TEST_CASE(NoFigureKeepsAProcessFromStarting) {
  for (size_t at = 0; at < kFigureCount; ++at) {
    for (const std::string& value : kOddValues) {
      BOOST_TEST_CONTEXT(KeyOf(FieldOf(IdAt(at))) << ": " << value) {
        CheckUsable(Decode(IdAt(at), value).m_config);
      }
    }
  }
}

/** Guards against the same with several odd figures at once. */
BOOST_AUTO_TEST_CASE(NoFiguresTogetherKeepAProcessFromStarting) {
  const bool holds = rc::check("settings with odd figures", [] {
    std::map<FigureId, std::string> values;
    for (size_t at = 0; at < kFigureCount; ++at) {
      if (*rc::gen::arbitrary<bool>()) {
        values[IdAt(at)] = *rc::gen::oneOf(
            rc::gen::elementOf(kOddValues),
            rc::gen::map(
                rc::gen::arbitrary<double>(),
                [](double aNumber) { return std::to_string(aNumber); }),
            rc::gen::map(rc::gen::arbitrary<int64_t>(), [](int64_t aNumber) {
              return std::to_string(aNumber);
            }));
      }
    }
    const auto settings = DecodeNodeConfig(TextWith(values));
    RC_ASSERT(settings.has_value());
    CheckUsable(settings.value().m_config);
  });
  BOOST_TEST(holds);
}

/** Guards against a fraction that is cut off, or rounded to the unsafe side. */
BOOST_AUTO_TEST_CASE(FractionsAreRoundedToTheSafeSide) {
  BOOST_TEST((Decode(FigureId::DrainNotice, "2500.5").m_config.m_drainNotice ==
              Duration(2'500'500)));
  // Bounds on what this system does become no longer, those on what others do
  // no shorter.
  const std::string fine = "2500.0004";
  BOOST_TEST((Decode(FigureId::DrainNotice, fine).m_config.m_drainNotice ==
              Duration(2'500'000)));
  BOOST_TEST((Decode(FigureId::ConfigApply, fine).m_config.m_configApply ==
              Duration(2'500'000)));
  BOOST_TEST((Decode(FigureId::MaxLease, fine).m_config.m_maxLease ==
              Duration(2'500'001)));
  BOOST_TEST((Decode(FigureId::StatusRetention, "1.0000004")
                  .m_config.m_statusRetention == Duration(1'000'001)));
  BOOST_TEST(
      (Decode(FigureId::Grace, "0.6").m_config.m_grace == Duration(600'000)));
  BOOST_TEST(Decode(FigureId::RowBytes, "16384.9").m_config.m_storeRowBytes ==
             16384U);
  for (const auto* value : {"2500.5", "2500", "2.5e3", "\"2500.5\"", "~"}) {
    BOOST_TEST(Decode(FigureId::DrainNotice, value).m_corrections.empty(),
               value);
  }
}

/** Guards against a figure that is replaced without a word to the operator. */
BOOST_AUTO_TEST_CASE(CorrectionsAreNamed) {
  const auto correction = [](FigureId aId, const std::string& aValue) {
    const auto settings = Decode(aId, aValue);
    BOOST_REQUIRE_EQUAL(settings.m_corrections.size(), 1U);
    return settings.m_corrections[0];
  };
  BOOST_TEST(
      correction(FigureId::DrainNotice, "soon") ==
      "bounds.drain_ms is \"soon\", which is not a number; 2000 is used");
  BOOST_TEST(correction(FigureId::RowBytes, "100") ==
             "platform.row_bytes is 100; 8192 is used");
  BOOST_TEST(correction(FigureId::Memory, "8").find("limits.memory_mb") == 0U);
  const std::string line =
      correction(FigureId::Grace, "\"1\\n" + std::string(500, 'x') + "\"");
  BOOST_TEST(line.size() < 200U);
  BOOST_TEST(line.find('\n') == std::string::npos);
}

/** Guards against evacuations that are overlooked because their bound cannot
 *  be read. */
BOOST_AUTO_TEST_CASE(UnreadableEvacuationNoticeIsTheShortest) {
  const auto notice = [](const std::string& aValue) {
    return Decode(FigureId::EvacuationNotice, aValue)
        .m_config.m_evacuationNotice;
  };
  BOOST_TEST((notice("5000.5") == Duration(5'000'500)));
  for (const auto* value : {"0", "~", "0.0"}) BOOST_TEST(!notice(value), value);
  for (const auto* value : {"-500", "soon", ".nan", "true", "[1]"}) {
    BOOST_TEST((notice(value) == milliseconds(1)), value);
  }
}

/** Guards against an advice service that keeps all processes from starting. */
BOOST_AUTO_TEST_CASE(AdviceAddressIsNotNeeded) {
  Fields fields = NeededFields();
  const auto decode = [&](const std::string& aValue) {
    fields[""]["advice"] = aValue;
    const auto settings = DecodeNodeConfig(TextOf(fields));
    BOOST_REQUIRE_MESSAGE(settings.has_value(), aValue);
    return settings.value();
  };
  BOOST_TEST(decode("\"127.0.0.1:7\"").m_config.m_adviceAddress.has_value());
  for (const auto* value : {"~", "\"\"", "nowhere", "[1]", "{a: 1}"}) {
    BOOST_TEST(!decode(value).m_config.m_adviceAddress, value);
  }
  BOOST_TEST(decode("nowhere").m_corrections.size() == 1U);
}

/** Guards against a process that starts with a name or an address that it does
 *  not have, and against an error that does not name the field. */
BOOST_AUTO_TEST_CASE(NeededFieldsAreNamed) {
  BOOST_REQUIRE(DecodeNodeConfig(TextOf(NeededFields())).has_value());
  for (const auto& [section, needed] : NeededFields()) {
    for (const auto& [name, value] : needed) {
      const std::string key =
          section.empty() ? name : fmt::format("{}.{}", section, name);
      for (const auto* odd : {"", "~", "\"\"", "{a: 1}", "[]"}) {
        Fields fields = NeededFields();
        if (*odd == '\0') {
          fields[section].erase(name);
        } else {
          fields[section][name] = odd;
        }
        const auto settings = DecodeNodeConfig(TextOf(fields));
        BOOST_REQUIRE_MESSAGE(!settings.has_value(), key << ": " << odd);
        BOOST_TEST(settings.error().m_message.find(key) != std::string::npos,
                   settings.error().m_message);
      }
    }
  }
}

/** Guards against a page that differs from the table of figures. */
BOOST_AUTO_TEST_CASE(PageEqualsTheTable) {
  std::ostringstream page;
  page << std::ifstream(std::string(BRONZE_SOURCE_FOLDER) +
                        "/docs/SETTINGS-platform.md")
              .rdbuf();
  BOOST_TEST(PlatformSettingsDocument() == page.str());
  for (size_t at = 0; at < kFigureCount; ++at) {
    BOOST_TEST((FieldOf(IdAt(at)).m_id == IdAt(at)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bronze
