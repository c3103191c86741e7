// jaydoorctl: the operators' command line.
//
// Sections:
//   1. Options and requests
//   2. Rules: show, history, diff, apply
//   3. Status, drain, resume, keys
//
// Exit codes: 0 done, 1 refused or not reachable, 2 wrong use, 3 conflict,
// 4 outcome not known (run the same command again with --request).

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

constexpr Duration kLimit = 10s;
constexpr int kRefused = 1;
constexpr int kWrongUse = 2;
constexpr int kConflict = 3;
constexpr int kNotKnown = 4;

// ---- 1. Options and requests

struct Options
{
  std::string host_;
  std::uint16_t port_ = 0;
  std::string secret_;
  std::string author_;
  std::string request_; // id of a rule change; made up if empty
  bool json_ = false;
  std::vector<std::string> words_; // the command
};

constexpr std::string_view kUsage =
  "Commands:\n"
  "  rules show            the rules in force\n"
  "  rules history         the kept versions\n"
  "  rules diff FILE       how FILE differs from the rules in force\n"
  "  rules apply FILE      put FILE in force, if nobody else changed the "
  "rules\n"
  "  status                VMs, upstreams, primaries, versions\n"
  "  drain | resume        this VM takes no new work | takes it again\n"
  "  keys                  a new key pair for --link-key-file\n";

int
Say(int aCode, std::string_view aText)
{
  (aCode == 0 ? std::cout : std::cerr) << aText << "\n";
  return aCode;
}

HttpAnswer
Ask(const Options& aOptions, const std::string& aPath, const std::string& aBody)
{
  return CallAndWait(
    aOptions.host_, aOptions.port_, aPath, aBody, kLimit, aOptions.secret_);
}

json::object
ReadObject(const HttpAnswer& aAnswer)
{
  boost::system::error_code error;
  json::value value = json::parse(aAnswer.body_, error);
  return error || !value.is_object() ? json::object{} : value.get_object();
}

std::string
TextOf(const json::object& aObject, std::string_view aName)
{
  const json::value* field = aObject.if_contains(aName);
  if (field == nullptr) {
    return "-";
  }
  return field->is_string() ? std::string(field->get_string())
                            : json::serialize(*field);
}

int
SayProblem(const Options& aOptions, const HttpAnswer& aAnswer)
{
  if (aAnswer.status_ == 0) {
    return Say(kRefused,
               fmt::format("no answer from {}:{}; check --admin and that "
                           "jaydoord runs there",
                           aOptions.host_,
                           aOptions.port_));
  }
  return Say(kRefused, TextOf(ReadObject(aAnswer), "remedy"));
}

// ---- 2. Rules

int
ShowRules(const Options& aOptions)
{
  const auto answer = Ask(aOptions, "/v1/rules", "");
  if (answer.status_ != 200) {
    return SayProblem(aOptions, answer);
  }
  if (aOptions.json_) {
    return Say(0, answer.body_);
  }
  const auto object = ReadObject(answer);
  return Say(0,
             fmt::format("# version {}\n{}",
                         TextOf(object, "version"),
                         TextOf(object, "text")));
}

int
ShowHistory(const Options& aOptions)
{
  const auto answer = Ask(aOptions, "/v1/rules/history", "");
  if (answer.status_ != 200) {
    return SayProblem(aOptions, answer);
  }
  if (aOptions.json_) {
    return Say(0, answer.body_);
  }
  for (const auto& version : ReadObject(answer).at("versions").as_array()) {
    const auto& object = version.as_object();
    const std::string text = TextOf(object, "text");
    std::cout << fmt::format("version {}  by {}  {} lines\n",
                             TextOf(object, "version"),
                             TextOf(object, "author"),
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

// Lines that only one side has: '-' in force, '+' in the file.
std::string
DiffLines(const std::string& aOld, const std::string& aNew)
{
  const auto left = SplitLines(aOld);
  const auto right = SplitLines(aNew);
  std::string text;
  const auto add = [&text](const auto& aFrom, const auto& aOther, char aMark) {
    for (const auto& line : aFrom) {
      if (std::find(aOther.begin(), aOther.end(), line) == aOther.end()) {
        text += fmt::format("{} {}\n", aMark, line);
      }
    }
  };
  add(left, right, '-');
  add(right, left, '+');
  return text.empty() ? "no line differs" : text;
}

int
DiffRules(const Options& aOptions, const std::string& aText)
{
  const auto answer = Ask(aOptions, "/v1/rules", "");
  if (answer.status_ != 200) {
    return SayProblem(aOptions, answer);
  }
  return Say(0, DiffLines(TextOf(ReadObject(answer), "text"), aText));
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
  const auto current = Ask(aOptions, "/v1/rules", "");
  if (current.status_ != 200) {
    return SayProblem(aOptions, current);
  }
  const auto before = ReadObject(current);
  const std::string request =
    aOptions.request_.empty() ? MakeRequestId() : aOptions.request_;
  json::object body{ { "text", aText },
                     { "base_version", before.at("version") },
                     { "request", request },
                     { "author", aOptions.author_ } };
  const auto answer = Ask(aOptions, "/v1/rules", json::serialize(body));
  if (aOptions.json_ && answer.status_ != 0) {
    std::cout << answer.body_ << "\n";
  }
  const auto outcome = ReadObject(answer);
  switch (answer.status_) {
    case 200:
      return Say(0,
                 fmt::format("in force as version {}\n{}",
                             TextOf(outcome, "version"),
                             DiffLines(TextOf(before, "text"), aText)));
    case 409:
      return Say(kConflict,
                 fmt::format("version {} was put in force in between; look at "
                             "'rules diff' and apply again",
                             TextOf(outcome, "version")));
    case 0:
    case 504:
      return Say(kNotKnown,
                 fmt::format("the outcome is not known yet; run it again with "
                             "--request {}",
                             request));
    default:
      return SayProblem(aOptions, answer);
  }
}

int
RunRules(const Options& aOptions)
{
  const auto& words = aOptions.words_;
  const std::string what = words.size() > 1 ? words[1] : "";
  if (what == "show" && words.size() == 2) {
    return ShowRules(aOptions);
  }
  if (what == "history" && words.size() == 2) {
    return ShowHistory(aOptions);
  }
  const bool file = (what == "diff" || what == "apply") && words.size() == 3;
  if (!file) {
    return Say(kWrongUse, kUsage);
  }
  const auto text = ReadTextFile(words[2]);
  if (!text) {
    return Say(kWrongUse, text.error().message_);
  }
  return what == "diff" ? DiffRules(aOptions, *text + "\n")
                        : ApplyRules(aOptions, *text + "\n");
}

// ---- 3. Status, drain, resume, keys

void
PrintStatus(const json::object& aStatus)
{
  std::cout << fmt::format("leader {}   rules version {}   control index {}\n",
                           TextOf(aStatus, "leader"),
                           TextOf(aStatus, "rules_version"),
                           TextOf(aStatus, "index"));
  for (const auto& item : aStatus.at("vms").as_array()) {
    const auto& vm = item.as_object();
    std::cout << fmt::format("vm {:<12} zone {:<10} {}{}\n",
                             TextOf(vm, "vm"),
                             TextOf(vm, "zone"),
                             vm.at("leaving").as_bool() ? "leaving" : "serving",
                             vm.at("votes").as_bool() ? ", votes" : "");
  }
  for (const auto& item : aStatus.at("databases").as_array()) {
    const auto& database = item.as_object();
    std::cout << fmt::format("database {}   primary {} at term {}\n",
                             TextOf(database, "database"),
                             TextOf(database, "primary"),
                             TextOf(database, "term"));
    for (const auto& entry : database.at("servers").as_array()) {
      const auto& server = entry.as_object();
      std::cout << fmt::format(
        "  server {:<14} zone {:<10} owner {:<10} position {:<8} queued {}{}\n",
        TextOf(server, "server"),
        TextOf(server, "zone"),
        TextOf(server, "owner"),
        TextOf(server, "position"),
        TextOf(server, "queued"),
        server.at("leaving").as_bool() ? "  leaving" : "");
    }
  }
}

int
ShowStatus(const Options& aOptions)
{
  const auto answer = Ask(aOptions, "/v1/status", "");
  if (answer.status_ != 200) {
    return SayProblem(aOptions, answer);
  }
  if (aOptions.json_) {
    return Say(0, answer.body_);
  }
  PrintStatus(ReadObject(answer));
  return 0;
}

int
SetDrain(const Options& aOptions, const std::string& aWhat)
{
  const auto answer = Ask(aOptions, "/v1/" + aWhat, "{}");
  return answer.status_ == 200 ? Say(0, answer.body_)
                               : SayProblem(aOptions, answer);
}

int
Run(const Options& aOptions)
{
  const std::string command =
    aOptions.words_.empty() ? "" : aOptions.words_.front();
  if (command == "keys") {
    const LinkKeys keys = MakeLinkKeys();
    return Say(0, keys.public_ + "\n" + keys.secret_);
  }
  if (command == "rules") {
    return RunRules(aOptions);
  }
  if (command == "status") {
    return ShowStatus(aOptions);
  }
  if (command == "drain" || command == "resume") {
    return SetDrain(aOptions, command);
  }
  return Say(kWrongUse, kUsage);
}

std::string
FromEnvironment(const char* aName, const std::string& aDefault)
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
        FromEnvironment("JAYDOOR_ADMIN", "127.0.0.1:7001")));
  add("secret-file",
      "file with the operators' secret (JAYDOOR_OPERATOR_SECRET_FILE)",
      cxxopts::value<std::string>()->default_value(
        FromEnvironment("JAYDOOR_OPERATOR_SECRET_FILE", "")));
  add("author",
      "who changes the rules",
      cxxopts::value<std::string>()->default_value(
        FromEnvironment("USER", "operator")));
  add("request",
      "id of a rule change that is sent again",
      cxxopts::value<std::string>()->default_value(""));
  add("json", "answer for programs");
  add("help", "print this help");
  add("words", "", cxxopts::value<std::vector<std::string>>());
  parser.parse_positional({ "words" });
  parser.positional_help("COMMAND");
  const auto read = parser.parse(aCount, aArguments);
  if (read.count("help") > 0) {
    std::cout << parser.help();
    std::exit(0);
  }
  Options options;
  options.json_ = read.count("json") > 0;
  options.author_ = read["author"].as<std::string>();
  options.request_ = read["request"].as<std::string>();
  if (read.count("words") > 0) {
    options.words_ = read["words"].as<std::vector<std::string>>();
  }
  const std::string admin = read["admin"].as<std::string>();
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
  const std::string path = read["secret-file"].as<std::string>();
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
    return options ? Run(*options) : Say(kWrongUse, options.error().message_);
  } catch (const std::exception& error) {
    return Say(kWrongUse, error.what());
  }
}
