#include "daemon/Settings.h"

#include "base/Characters.h"
#include "wire/Json.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>

#include <boost/asio/ip/address.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>

namespace jaydoor {
namespace {

constexpr std::size_t kMinKeyBytes = 16;
constexpr std::size_t kZ85KeyBytes = 40;

struct Flag
{
  std::string_view name_;
  std::string_view help_;
  std::string_view default_;
};

constexpr std::array kFlags = {
  Flag{ "vm", "id of this VM in the fleet", "" },
  Flag{ "zone", "availability zone of this VM", "" },
  Flag{ "host", "IP number at which others reach this VM", "127.0.0.1" },
  Flag{ "bind", "IP number to bind and connect from; empty: host", "" },
  Flag{ "caller-port", "TCP port for callers, 1-65535", "7000" },
  Flag{ "admin-port", "TCP port for operators and upstreams, 1-65535", "7001" },
  Flag{ "control-port", "TCP port for control links, 1-65535", "7002" },
  Flag{ "traffic-port", "TCP port for statement links, 1-65535", "7003" },
  Flag{ "peers", "VMs to join through: id=ip:control:traffic,...", "" },
  Flag{ "voters", "ids of the VMs that have a data folder: id,...", "" },
  Flag{ "data-folder", "folder for control state; empty: no vote", "" },
  Flag{ "session-key-file",
        "file of keys for session tokens, one a line, the first signs",
        "" },
  Flag{ "operator-secret-file", "file with the operators' secret", "" },
  Flag{ "announce-secret-file",
        "file with the upstreams' secret; empty: none is needed",
        "" },
  Flag{ "link-key-file", "file made by 'jaydoorctl keys'", "" },
  Flag{ "plain-links", "links between VMs without keys: on or off", "off" },
  Flag{ "trace-file", "file for spans as OTLP JSON lines; empty: none", "" },
  Flag{ "log-level", "debug, info, warning or error", "info" },
  Flag{ "drain-limit-s", "longest time to finish requests, seconds", "30" },
  Flag{ "suspect-after-ms",
        "silence after which a status connection is dropped, ms",
        "300" },
  Flag{ "rules", "rules file to verify together with --check", "" },
};

std::string
MakeVariableName(std::string_view aFlag)
{
  std::string name = "JAYDOOR_";
  for (const char letter : aFlag) {
    name += letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
  }
  return name;
}

// The values by flag name, and the first invalid one as an error.
class FlagValues
{
public:
  void Set(std::string aName, std::string aValue)
  {
    values_[std::move(aName)] = std::move(aValue);
  }

  const std::string& Text(const std::string& aName) { return values_[aName]; }

  std::string Name(const std::string& aName)
  {
    const std::string& value = Text(aName);
    if (!IsValidName(value)) {
      RecordInvalid(aName, "1 to 64 letters, digits, '_', '-' or '.'");
    }
    return value;
  }

  long Number(const std::string& aName, long aMin, long aMax)
  {
    const std::string& value = Text(aName);
    long number = 0;
    const char* end = value.data() + value.size();
    const auto [at, error] = std::from_chars(value.data(), end, number);
    const bool valid =
      error == std::errc{} && at == end && number >= aMin && number <= aMax;
    if (!valid) {
      RecordInvalid(aName,
                    fmt::format("a whole number from {} to {}", aMin, aMax));
      return aMin;
    }
    return number;
  }

  std::uint16_t Port(const std::string& aName)
  {
    return static_cast<std::uint16_t>(Number(aName, 1, 65535));
  }

  std::vector<std::string> List(const std::string& aName)
  {
    std::vector<std::string> items;
    std::istringstream in(Text(aName));
    std::string item;
    while (std::getline(in, item, ',')) {
      items.push_back(item);
    }
    return items;
  }

  // The content of the file that a flag names; empty if the flag is empty.
  std::string File(const std::string& aName)
  {
    const std::string& path = Text(aName);
    if (path.empty()) {
      return {};
    }
    const auto text = ReadTextFile(path);
    if (!text) {
      RecordInvalid(aName, "a file that can be read");
      return {};
    }
    return *text;
  }

  void RecordInvalid(const std::string& aName, std::string_view aAllowed)
  {
    if (!error_) {
      error_ = Error{ ErrorKind::BadSetting,
                      fmt::format("--{} is '{}': allowed is {}; give --{} or "
                                  "set {} and start again",
                                  aName,
                                  Text(aName),
                                  aAllowed,
                                  aName,
                                  MakeVariableName(aName)) };
    }
  }

  const std::optional<Error>& FirstError() const { return error_; }

private:
  std::map<std::string, std::string> values_;
  std::optional<Error> error_;
};

// Parses "id=ip:control-port:traffic-port".
std::optional<wire::Vm>
ParsePeer(const std::string& aText)
{
  const std::size_t equals = aText.find('=');
  const std::size_t last = aText.rfind(':');
  const std::size_t first =
    last == std::string::npos ? last : aText.rfind(':', last - 1);
  if (equals == std::string::npos || first == std::string::npos ||
      first < equals) {
    return std::nullopt;
  }
  wire::Vm vm;
  vm.set_id(aText.substr(0, equals));
  vm.set_host(aText.substr(equals + 1, first - equals - 1));
  const auto port = [&aText](std::size_t aFrom, std::size_t aTo) {
    unsigned number = 0;
    const char* end = aText.data() + aTo;
    const auto [at, error] = std::from_chars(aText.data() + aFrom, end, number);
    return error == std::errc{} && at == end && number <= 65535 ? number : 0;
  };
  vm.set_control_port(port(first + 1, last));
  vm.set_traffic_port(port(last + 1, aText.size()));
  boost::system::error_code error;
  boost::asio::ip::make_address(vm.host(), error);
  const bool valid = IsValidName(vm.id()) && !error && vm.control_port() != 0 &&
                     vm.traffic_port() != 0;
  return valid ? std::optional(vm) : std::nullopt;
}

std::vector<std::string>
SplitLines(const std::string& aText)
{
  std::vector<std::string> lines;
  std::istringstream in(aText);
  std::string line;
  while (std::getline(in, line)) {
    if (!line.empty()) {
      lines.push_back(line);
    }
  }
  return lines;
}

// Returns true if the text can be sent as the value of an HTTP header: it has
// no line end or other control character, and no blank at its ends.
bool
IsHeaderValue(std::string_view aText)
{
  const auto isBlank = [](char aChar) { return aChar == ' ' || aChar == '\t'; };
  return aText.empty() ||
         (!isBlank(aText.front()) && !isBlank(aText.back()) &&
          std::all_of(aText.begin(), aText.end(), [&](char aChar) {
            return isBlank(aChar) || !IsControlCharacter(aChar);
          }));
}

void
ReadSecrets(FlagValues& aValues, Settings& aSettings)
{
  aSettings.sessionKeys_ = SplitLines(aValues.File("session-key-file"));
  const auto isTooShort = [](const std::string& aKey) {
    return aKey.size() < kMinKeyBytes;
  };
  const bool areKeysValid = !aSettings.sessionKeys_.empty() &&
                            std::none_of(aSettings.sessionKeys_.begin(),
                                         aSettings.sessionKeys_.end(),
                                         isTooShort);
  if (!areKeysValid) {
    aValues.RecordInvalid("session-key-file",
                          "a file with keys of 16 bytes or more, one a line");
  }
  aSettings.operatorSecret_ = aValues.File("operator-secret-file");
  if (isTooShort(aSettings.operatorSecret_) ||
      !IsHeaderValue(aSettings.operatorSecret_)) {
    aValues.RecordInvalid("operator-secret-file",
                          "a file with a secret of 16 bytes or more, in one "
                          "line that ends with LF or not at all");
  }
  aSettings.announceSecret_ = aValues.File("announce-secret-file");
  if (!IsHeaderValue(aSettings.announceSecret_)) {
    aValues.RecordInvalid("announce-secret-file",
                          "a file with a secret in one line that ends with LF "
                          "or not at all");
  }
  const auto keys = SplitLines(aValues.File("link-key-file"));
  const std::string& plain = aValues.Text("plain-links");
  if (plain != "on" && plain != "off") {
    aValues.RecordInvalid("plain-links", "on or off");
  }
  if (plain == "on") {
    return;
  }
  const bool isKeyPair = keys.size() == 2 && keys[0].size() == kZ85KeyBytes &&
                         keys[1].size() == kZ85KeyBytes;
  if (!isKeyPair) {
    aValues.RecordInvalid(
      "link-key-file",
      "a file made by 'jaydoorctl keys' (or --plain-links on)");
    return;
  }
  aSettings.linkPublicKey_ = keys[0];
  aSettings.linkSecretKey_ = keys[1];
}

void
ReadFleetSettings(FlagValues& aValues, Settings& aSettings)
{
  for (const auto& text : aValues.List("peers")) {
    const auto peer = ParsePeer(text);
    if (peer) {
      aSettings.peers_.push_back(*peer);
    } else {
      aValues.RecordInvalid("peers", "id=ip:control-port:traffic-port,...");
    }
  }
  aSettings.voterVms_ = aValues.List("voters");
  if (aSettings.voterVms_.empty()) {
    aValues.RecordInvalid("voters",
                          "at least one VM id; three or five are usual");
  }
  aSettings.dataFolder_ = aValues.Text("data-folder");
  const bool listed = std::find(aSettings.voterVms_.begin(),
                                aSettings.voterVms_.end(),
                                aSettings.vm_) != aSettings.voterVms_.end();
  if (listed != !aSettings.dataFolder_.empty()) {
    aValues.RecordInvalid("data-folder",
                          "a folder exactly on the VMs that --voters names");
  }
}

std::optional<Level>
ParseLevel(std::string_view aText)
{
  constexpr std::array<std::string_view, 4> kLevels = {
    "debug", "info", "warning", "error"
  };
  for (std::size_t i = 0; i < kLevels.size(); i++) {
    if (kLevels[i] == aText) {
      return static_cast<Level>(i);
    }
  }
  return std::nullopt;
}

Expected<Settings>
CheckValues(FlagValues& aValues)
{
  Settings settings;
  settings.vm_ = aValues.Name("vm");
  settings.zone_ = aValues.Name("zone");
  settings.host_ = aValues.Text("host");
  boost::system::error_code error;
  boost::asio::ip::make_address(settings.host_, error);
  if (error) {
    aValues.RecordInvalid("host", "an IP number");
  }
  settings.bind_ = aValues.Text("bind");
  if (settings.bind_.empty()) {
    settings.bind_ = settings.host_;
  }
  boost::asio::ip::make_address(settings.bind_, error);
  if (error) {
    aValues.RecordInvalid("bind", "an IP number of this VM");
  }
  settings.callerPort_ = aValues.Port("caller-port");
  settings.adminPort_ = aValues.Port("admin-port");
  settings.controlPort_ = aValues.Port("control-port");
  settings.trafficPort_ = aValues.Port("traffic-port");
  ReadFleetSettings(aValues, settings);
  ReadSecrets(aValues, settings);
  settings.traceFile_ = aValues.Text("trace-file");
  settings.rulesFile_ = aValues.Text("rules");
  const auto level = ParseLevel(aValues.Text("log-level"));
  if (!level) {
    aValues.RecordInvalid("log-level", "debug, info, warning or error");
  }
  settings.logLevel_ = level.value_or(Level::Info);
  settings.drainLimit_ =
    std::chrono::seconds(aValues.Number("drain-limit-s", 0, 3600));
  settings.suspectTimeout_ =
    std::chrono::milliseconds(aValues.Number("suspect-after-ms", 50, 10'000));
  if (aValues.FirstError()) {
    return tl::unexpected<Error>(*aValues.FirstError());
  }
  return settings;
}

} // namespace

Expected<std::string>
ReadTextFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  if (!in) {
    return MakeError(
      ErrorKind::BadInput,
      fmt::format("can't read '{}'; check its path and permissions", aPath));
  }
  std::ostringstream text;
  text << in.rdbuf();
  std::string result = text.str();
  if (result.ends_with('\n')) {
    result.pop_back();
  }
  return result;
}

Expected<Settings>
ReadSettings(int aCount, const char* const* aArguments)
{
  cxxopts::Options options(
    "jaydoord",
    "Database proxy with session consistency. Each flag can be given as an\n"
    "environment variable too: --caller-port is JAYDOOR_CALLER_PORT.");
  auto add = options.add_options();
  for (const auto& flag : kFlags) {
    add(
      std::string(flag.name_),
      std::string(flag.help_),
      cxxopts::value<std::string>()->default_value(std::string(flag.default_)));
  }
  add("check", "verify settings and rules, then exit");
  add("help", "print this help");
  try {
    const auto read = options.parse(aCount, aArguments);
    if (read.count("help") > 0) {
      Settings settings;
      settings.help_ = true;
      settings.helpText_ = options.help();
      return settings;
    }
    if (!read.unmatched().empty()) {
      return MakeError(
        ErrorKind::BadSetting,
        fmt::format("'{}' is not a flag; see --help for all flags",
                    read.unmatched().front()));
    }
    FlagValues values;
    for (const auto& flag : kFlags) {
      const std::string name(flag.name_);
      const char* variable = std::getenv(MakeVariableName(name).c_str());
      const bool given = read.count(name) > 0;
      values.Set(name,
                 !given && variable != nullptr ? std::string(variable)
                                               : read[name].as<std::string>());
    }
    auto settings = CheckValues(values);
    if (settings) {
      settings->checkOnly_ = read.count("check") > 0;
    }
    return settings;
  } catch (const cxxopts::exceptions::exception& error) {
    return MakeError(ErrorKind::BadSetting,
                     fmt::format("{}; see --help", error.what()));
  }
}

} // namespace jaydoor
