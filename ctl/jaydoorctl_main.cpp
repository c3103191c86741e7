// jaydoorctl: the operators' command-line tool. It calls the admin port of a
// jaydoord.
//
// Sections:
//   1. Options and requests
//   2. Rules: show, history, diff, apply
//   3. Status, explain, drain, resume, keys
//
// Exit codes: 0 done, 1 refused or not reachable, 2 invalid command line,
// 3 conflict, 4 outcome not known (run the command again with the --request ID
// that it prints).

#include "base/Error.h"
#include "daemon/Http.h"
#include "daemon/Link.h"
#include "daemon/Settings.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>

#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>

namespace {

using namespace jaydoor;
namespace json = boost::json;

constexpr Duration kCallTimeout = 10s;
constexpr int kExitRefused = 1;
constexpr int kExitInvalidUse = 2;
constexpr int kExitConflict = 3;
constexpr int kExitOutcomeUnknown = 4;

// ---- 1. Options and requests

struct Options
{
  std::string host_;               // of the admin port
  std::uint16_t port_ = 0;         // the admin port
  std::string secret_;             // the operators' secret; empty: none is sent
  std::string author_;             // recorded with a rule change
  std::string request_;            // id of a rule change; generated if empty
  bool json_ = false;              // print the JSON body of the answer
  std::vector<std::string> words_; // the command and its arguments
};

constexpr std::string_view kUsage =
  "Commands:\n"
  "  rules show            the rules in force\n"
  "  rules history         the versions that are kept\n"
  "  rules diff FILE       how FILE differs from the rules in force\n"
  "  rules apply FILE      put FILE in force, unless the rules are changed "
  "meanwhile\n"
  "  status                VMs, upstreams, primaries, versions in force\n"
  "  explain DATABASE KIND [ORGANISATION]\n"
  "                        where a statement would go now and why; KIND: "
  "read, write,\n"
  "                        begin or begin-read-only; ask an entry VM\n"
  "  drain | resume        the VM stops taking new work | takes it again\n"
  "  keys                  print a new key pair for --link-key-file\n";

// Prints the text, to standard error unless the exit code is 0, and returns the
// exit code.
int
PrintResult(int aCode, std::string_view aText)
{
  (aCode == 0 ? std::cout : std::cerr) << aText << "\n";
  return aCode;
}

// Calls the admin port. An empty body makes the call a GET, else it is a POST.
HttpCallResult
CallAdminPort(const Options& aOptions,
              const std::string& aPath,
              const std::string& aBody)
{
  return CallAndWait(aOptions.host_,
                     aOptions.port_,
                     aPath,
                     aBody,
                     kCallTimeout,
                     aOptions.secret_);
}

// The JSON object in the body; empty if the body holds none.
json::object
ParseObject(const HttpCallResult& aAnswer)
{
  boost::system::error_code error;
  json::value value = json::parse(aAnswer.body_, error);
  return error || !value.is_object() ? json::object{} : value.get_object();
}

// The field as text; "-" if it is absent.
std::string
GetFieldText(const json::object& aObject, std::string_view aName)
{
  const json::value* field = aObject.if_contains(aName);
  if (field == nullptr) {
    return "-";
  }
  return field->is_string() ? std::string(field->get_string())
                            : json::serialize(*field);
}

// Prints why a call failed, or the remedy that jaydoord has sent.
int
PrintFailure(const Options& aOptions, const HttpCallResult& aAnswer)
{
  if (aAnswer.status_ == 0) {
    return PrintResult(
      kExitRefused,
      fmt::format("no answer from {}:{}; check --admin and that "
                  "jaydoord runs there",
                  aOptions.host_,
                  aOptions.port_));
  }
  return PrintResult(kExitRefused,
                     GetFieldText(ParseObject(aAnswer), "remedy"));
}

// ---- 2. Rules: show, history, diff, apply

int
ShowRules(const Options& aOptions)
{
  const auto answer = CallAdminPort(aOptions, "/v1/rules", "");
  if (answer.status_ != 200) {
    return PrintFailure(aOptions, answer);
  }
  if (aOptions.json_) {
    return PrintResult(0, answer.body_);
  }
  const auto object = ParseObject(answer);
  return PrintResult(0,
                     fmt::format("# version {}\n{}",
                                 GetFieldText(object, "version"),
                                 GetFieldText(object, "text")));
}

int
ShowHistory(const Options& aOptions)
{
  const auto answer = CallAdminPort(aOptions, "/v1/rules/history", "");
  if (answer.status_ != 200) {
    return PrintFailure(aOptions, answer);
  }
  if (aOptions.json_) {
    return PrintResult(0, answer.body_);
  }
  for (const auto& version : ParseObject(answer).at("versions").as_array()) {
    const auto& object = version.as_object();
    const std::string text = GetFieldText(object, "text");
    std::cout << fmt::format("version {}  by {}  {} lines\n",
                             GetFieldText(object, "version"),
                             GetFieldText(object, "author"),
                             std::count(text.begin(), text.end(), '\n'));
  }
  return 0;
}

std::vector<std::string>
SplitLines(const std::string& aText)
{
  std::vector<std::string> lines;
  std::istringstream in(aText);
  for (std::string line; std::getline(in, line);) {
    lines.push_back(line);
  }
  return lines;
}

// Lists the lines that only one of the texts has: '-' marks lines of `aOld`,
// '+' lines of `aNew`. The order of the lines is not compared.
std::string
DiffLines(const std::string& aOld, const std::string& aNew)
{
  const auto oldLines = SplitLines(aOld);
  const auto newLines = SplitLines(aNew);
  std::string text;
  const auto addMissing =
    [&text](const auto& aFrom, const auto& aOther, char aMark) {
      for (const auto& line : aFrom) {
        if (std::find(aOther.begin(), aOther.end(), line) == aOther.end()) {
          text += fmt::format("{} {}\n", aMark, line);
        }
      }
    };
  addMissing(oldLines, newLines, '-');
  addMissing(newLines, oldLines, '+');
  return text.empty() ? "no line differs" : text;
}

int
DiffRules(const Options& aOptions, const std::string& aText)
{
  const auto answer = CallAdminPort(aOptions, "/v1/rules", "");
  if (answer.status_ != 200) {
    return PrintFailure(aOptions, answer);
  }
  return PrintResult(
    0, DiffLines(GetFieldText(ParseObject(answer), "text"), aText));
}

std::string
MakeRequestId()
{
  std::random_device random;
  return fmt::format("ctl-{:08x}{:08x}", random(), random());
}

int
ApplyRules(const Options& aOptions, const std::string& aText)
{
  const auto current = CallAdminPort(aOptions, "/v1/rules", "");
  if (current.status_ != 200) {
    return PrintFailure(aOptions, current);
  }
  const auto before = ParseObject(current);
  const std::string request =
    aOptions.request_.empty() ? MakeRequestId() : aOptions.request_;
  json::object body{ { "text", aText },
                     { "base_version", before.at("version") },
                     { "request", request },
                     { "author", aOptions.author_ } };
  const auto answer =
    CallAdminPort(aOptions, "/v1/rules", json::serialize(body));
  if (aOptions.json_ && answer.status_ != 0) {
    std::cout << answer.body_ << "\n";
  }
  const auto outcome = ParseObject(answer);
  switch (answer.status_) {
    case 200:
      return PrintResult(
        0,
        fmt::format("in force as version {}\n{}",
                    GetFieldText(outcome, "version"),
                    DiffLines(GetFieldText(before, "text"), aText)));
    case 409:
      return PrintResult(
        kExitConflict,
        fmt::format("version {} came into force meanwhile; check "
                    "'rules diff' and apply again",
                    GetFieldText(outcome, "version")));
    case 0:
    case 504:
      return PrintResult(
        kExitOutcomeUnknown,
        fmt::format("the outcome is not known; run the command again "
                    "with --request {}",
                    request));
    default:
      return PrintFailure(aOptions, answer);
  }
}

int
RunRules(const Options& aOptions)
{
  const auto& words = aOptions.words_;
  const std::string subcommand = words.size() > 1 ? words[1] : "";
  if (subcommand == "show" && words.size() == 2) {
    return ShowRules(aOptions);
  }
  if (subcommand == "history" && words.size() == 2) {
    return ShowHistory(aOptions);
  }
  const bool takesFile =
    (subcommand == "diff" || subcommand == "apply") && words.size() == 3;
  if (!takesFile) {
    return PrintResult(kExitInvalidUse, kUsage);
  }
  const auto text = ReadTextFile(words[2]);
  if (!text) {
    return PrintResult(kExitInvalidUse, text.error().message_);
  }
  return subcommand == "diff" ? DiffRules(aOptions, *text + "\n")
                              : ApplyRules(aOptions, *text + "\n");
}

// ---- 3. Status, explain, drain, resume, keys

void
PrintStatus(const json::object& aStatus)
{
  std::cout << fmt::format("leader {}   rules version {}   control index {}\n",
                           GetFieldText(aStatus, "leader"),
                           GetFieldText(aStatus, "rules_version"),
                           GetFieldText(aStatus, "index"));
  for (const auto& item : aStatus.at("vms").as_array()) {
    const auto& vm = item.as_object();
    std::cout << fmt::format("vm {:<12} zone {:<10} {}{}\n",
                             GetFieldText(vm, "vm"),
                             GetFieldText(vm, "zone"),
                             vm.at("leaving").as_bool() ? "leaving" : "serving",
                             vm.at("votes").as_bool() ? ", votes" : "");
  }
  for (const auto& item : aStatus.at("databases").as_array()) {
    const auto& database = item.as_object();
    std::cout << fmt::format("database {}   primary {} at term {}\n",
                             GetFieldText(database, "database"),
                             GetFieldText(database, "primary"),
                             GetFieldText(database, "term"));
    for (const auto& entry : database.at("servers").as_array()) {
      const auto& server = entry.as_object();
      std::cout << fmt::format(
        "  server {:<14} zone {:<10} owner {:<10} position {:<8} queued {}{}\n",
        GetFieldText(server, "server"),
        GetFieldText(server, "zone"),
        GetFieldText(server, "owner"),
        GetFieldText(server, "position"),
        GetFieldText(server, "queued"),
        server.at("leaving").as_bool() ? "  leaving" : "");
    }
  }
}

int
ShowStatus(const Options& aOptions)
{
  const auto answer = CallAdminPort(aOptions, "/v1/status", "");
  if (answer.status_ != 200) {
    return PrintFailure(aOptions, answer);
  }
  if (aOptions.json_) {
    return PrintResult(0, answer.body_);
  }
  PrintStatus(ParseObject(answer));
  return 0;
}

// A point of a log as "term:position".
std::string
GetPointText(const json::object& aObject, std::string_view aName)
{
  const json::value* field = aObject.if_contains(aName);
  const json::object* point = field == nullptr ? nullptr : field->if_object();
  return point == nullptr ? "-"
                          : fmt::format("{}:{}",
                                        GetFieldText(*point, "term"),
                                        GetFieldText(*point, "position"));
}

// The field in ms, as text.
std::string
GetMsText(const json::object& aObject, std::string_view aName)
{
  const json::value* field = aObject.if_contains(aName);
  return field == nullptr || !field->is_number()
           ? "-"
           : fmt::format("{:.1f}", field->to_number<double>());
}

// Why the statement does not go to the server.
std::string
GetPassedOverText(const json::object& aServer, const std::string& aChosen)
{
  const std::string obstacle = GetFieldText(aServer, "obstacle");
  return !obstacle.empty()                            ? obstacle
         : GetFieldText(aServer, "server") == aChosen ? "-"
                                                      : "by cost";
}

void
PrintExplanation(const json::object& aExplanation)
{
  std::cout << fmt::format("{} on {}: {}{}\n",
                           GetFieldText(aExplanation, "kind"),
                           GetFieldText(aExplanation, "database"),
                           GetFieldText(aExplanation, "outcome"),
                           aExplanation.at("server").as_string().empty()
                             ? ""
                             : " on " + GetFieldText(aExplanation, "server"));
  std::cout << "because: " << GetFieldText(aExplanation, "reason") << "\n";
  if (const auto* route = aExplanation.at("route").if_object()) {
    std::cout << fmt::format(
      "route: group {}, rank {}, consistency {}, target {} ms, limit {} ms, "
      "configuration {}\n",
      GetFieldText(*route, "group"),
      GetFieldText(*route, "rank"),
      GetFieldText(*route, "consistency"),
      GetFieldText(*route, "target_ms"),
      GetFieldText(*route, "limit_ms"),
      GetFieldText(aExplanation, "configuration_version"));
  }
  if (const auto* limit = aExplanation.at("limit").if_object()) {
    std::cout << fmt::format("limit of {}: {} per second, burst {}\n",
                             GetFieldText(aExplanation, "organisation"),
                             GetFieldText(*limit, "rate_per_second"),
                             GetFieldText(*limit, "burst"));
  }
  if (const auto* usage = aExplanation.at("usage").if_object()) {
    std::cout << fmt::format(
      "this VM holds {:.1f}% of it, {:.1f} operations are left\n",
      100 * usage->at("share").to_number<double>(),
      usage->at("operations_left").to_number<double>());
  }
  if (aExplanation.at("servers").as_array().empty()) {
    return;
  }
  const std::string required = GetPointText(aExplanation, "required_point");
  std::cout << (required == "-" ? "needs the primary\n"
                                : "needs a log at " + required + "\n");
  const std::string chosen = GetFieldText(aExplanation, "server");
  constexpr std::string_view kRow =
    "{:<14} {:<8} {:<10} {:>8} {:>8} {:>9} {:>9} {:>7} {:>9} {:>9}  {}\n";
  std::cout << fmt::format(kRow,
                           "server",
                           "role",
                           "zone",
                           "point",
                           "age ms",
                           "delay ms",
                           "running",
                           "idle",
                           "link",
                           "cost ms",
                           "passed over");
  for (const auto& item : aExplanation.at("servers").as_array()) {
    const auto& server = item.as_object();
    std::cout << fmt::format(kRow,
                             GetFieldText(server, "server"),
                             GetFieldText(server, "role"),
                             GetFieldText(server, "zone"),
                             GetPointText(server, "point"),
                             GetMsText(server, "age_ms"),
                             GetMsText(server, "delay_ms"),
                             fmt::format("{} of {}",
                                         GetFieldText(server, "running"),
                                         GetFieldText(server, "slot_share")),
                             fmt::format("{} of {}",
                                         GetFieldText(server, "idle_links"),
                                         GetFieldText(server, "links")),
                             GetFieldText(server, "link"),
                             GetMsText(server, "cost_ms"),
                             GetPassedOverText(server, chosen));
  }
}

int
ExplainStatement(const Options& aOptions)
{
  const auto& words = aOptions.words_;
  if (words.size() < 3 || words.size() > 4) {
    return PrintResult(kExitInvalidUse, kUsage);
  }
  const json::object body{ { "database", words[1] },
                           { "kind", words[2] },
                           { "organisation",
                             words.size() == 4 ? words[3] : "" } };
  const auto answer =
    CallAdminPort(aOptions, "/v1/explain", json::serialize(body));
  if (answer.status_ != 200) {
    return PrintFailure(aOptions, answer);
  }
  if (aOptions.json_) {
    return PrintResult(0, answer.body_);
  }
  PrintExplanation(ParseObject(answer));
  return 0;
}

// Sends the command "drain" or "resume".
int
SendDrainCommand(const Options& aOptions, const std::string& aCommand)
{
  const auto answer = CallAdminPort(aOptions, "/v1/" + aCommand, "{}");
  return answer.status_ == 200 ? PrintResult(0, answer.body_)
                               : PrintFailure(aOptions, answer);
}

int
Run(const Options& aOptions)
{
  const std::string command =
    aOptions.words_.empty() ? "" : aOptions.words_.front();
  if (command == "keys") {
    const LinkKeys keys = MakeLinkKeys();
    return PrintResult(0, keys.public_ + "\n" + keys.secret_);
  }
  if (command == "rules") {
    return RunRules(aOptions);
  }
  if (command == "status") {
    return ShowStatus(aOptions);
  }
  if (command == "explain") {
    return ExplainStatement(aOptions);
  }
  if (command == "drain" || command == "resume") {
    return SendDrainCommand(aOptions, command);
  }
  return PrintResult(kExitInvalidUse, kUsage);
}

std::string
ReadEnvironment(const char* aName, const std::string& aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? aDefault : value;
}

Expected<Options>
ReadOptions(int aCount, char** aArguments)
{
  cxxopts::Options parser("jaydoorctl", std::string(kUsage));
  auto add = parser.add_options();
  add("admin",
      "IP:PORT of a jaydoord's admin port (JAYDOOR_ADMIN)",
      cxxopts::value<std::string>()->default_value(
        ReadEnvironment("JAYDOOR_ADMIN", "127.0.0.1:7001")));
  add("secret-file",
      "file with the operators' secret (JAYDOOR_OPERATOR_SECRET_FILE)",
      cxxopts::value<std::string>()->default_value(
        ReadEnvironment("JAYDOOR_OPERATOR_SECRET_FILE", "")));
  add("author",
      "name recorded with a rule change",
      cxxopts::value<std::string>()->default_value(
        ReadEnvironment("USER", "operator")));
  add("request",
      "id of an earlier rule change, to send it again",
      cxxopts::value<std::string>()->default_value(""));
  add("json", "print the answer as JSON");
  add("help", "print this help");
  add("words", "", cxxopts::value<std::vector<std::string>>());
  parser.parse_positional({ "words" });
  parser.positional_help("COMMAND");
  const auto parsed = parser.parse(aCount, aArguments);
  if (parsed.count("help") > 0) {
    std::cout << parser.help();
    std::exit(0);
  }
  Options options;
  options.json_ = parsed.count("json") > 0;
  options.author_ = parsed["author"].as<std::string>();
  options.request_ = parsed["request"].as<std::string>();
  if (parsed.count("words") > 0) {
    options.words_ = parsed["words"].as<std::vector<std::string>>();
  }
  const std::string admin = parsed["admin"].as<std::string>();
  const std::size_t colon = admin.rfind(':');
  const int port =
    colon == std::string::npos ? 0 : std::atoi(admin.c_str() + colon + 1);
  if (port < 1 || port > 65535) {
    return MakeError(
      ErrorKind::BadSetting,
      fmt::format("--admin is '{}': give IP:PORT of an admin port", admin));
  }
  options.host_ = admin.substr(0, colon);
  options.port_ = static_cast<std::uint16_t>(port);
  const std::string path = parsed["secret-file"].as<std::string>();
  if (!path.empty()) {
    const auto secret = ReadTextFile(path);
    if (!secret) {
      return tl::unexpected(secret.error());
    }
    options.secret_ = *secret;
  }
  return options;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    const auto options = ReadOptions(aCount, aArguments);
    return options ? Run(*options)
                   : PrintResult(kExitInvalidUse, options.error().message_);
  } catch (const std::exception& error) {
    return PrintResult(kExitInvalidUse, error.what());
  }
}
