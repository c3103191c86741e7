#include "tests/fuzz/targets.h"

#include "control/ControlState.h"
#include "daemon/LinkMessage.h"
#include "daemon/VoterDisk.h"
#include "platform/ConfigBody.h"
#include "platform/HeartbeatBody.h"
#include "platform/LineCodec.h"
#include "platform/NodeFile.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace jaydoor::fuzz {
namespace {

namespace fs = std::filesystem;

// Pushes the bytes in pieces whose sizes the bytes themselves choose.
template<typename Parser>
void
ParseInPieces(std::string_view aBytes)
{
  Parser parser;
  while (!aBytes.empty()) {
    const std::size_t size = std::min<std::size_t>(
      aBytes.size(), 1U + static_cast<unsigned char>(aBytes[0]) % 64U);
    parser.Push(aBytes.substr(0, size));
    aBytes.remove_prefix(size);
    // A message of the kinds that close the connection is returned again.
    for (std::size_t i = 0; i < size + 1 && parser.Next(); i++) {
    }
  }
}

void
ParseServerLines(std::string_view aBytes)
{
  ParseInPieces<platform::LineCodec::ServerParser>(aBytes);
  ServerAnswer answer;
  answer.rows_.emplace_back(aBytes);
  platform::LineCodec::ReadStatus(answer);
}

// Pushes the bytes in pieces, as above, and returns all messages.
template<typename Parser>
auto
CollectMessages(std::string_view aBytes)
{
  Parser parser;
  std::vector<std::decay_t<decltype(*parser.Next())>> messages;
  while (!aBytes.empty()) {
    const std::size_t size = std::min<std::size_t>(
      aBytes.size(), 1U + static_cast<unsigned char>(aBytes.back()) % 64U);
    parser.Push(aBytes.substr(0, size));
    aBytes.remove_prefix(size);
    for (std::size_t i = 0; i < size + 1; i++) {
      auto message = parser.Next();
      if (!message) {
        break;
      }
      messages.push_back(std::move(*message));
    }
  }
  return messages;
}

void
Require(bool aHolds, std::string_view aWhat)
{
  if (!aHolds) {
    std::cerr << "failed: " << aWhat << std::endl;
    std::abort();
  }
}

// The last field of a message may hold any bytes except CR LF, which ends the
// message.
std::string
MakeLastField(std::string_view aBytes)
{
  std::string field;
  for (const char byte : aBytes) {
    if (byte != '\n' || !field.ends_with('\r')) {
      field += byte;
    }
  }
  return field;
}

// Sends each part of the bytes as the last field of a valid message, and
// expects all messages to arrive as they were sent.
void
SendTextsOfCallers(std::span<const std::string> aTexts)
{
  constexpr std::array kVerbs = { "WRITE k ", "SET n ", "EXECUTE p k " };
  std::string bytes;
  std::vector<std::string> sent;
  for (const auto& text : aTexts) {
    sent.push_back(kVerbs[sent.size() % kVerbs.size()] + text);
    bytes.append("QUERY id ").append(sent.back()).append("\r\n");
  }
  const auto messages =
    CollectMessages<platform::LineCodec::CallerParser>(bytes);
  Require(messages.size() == sent.size(), "one message for each statement");
  for (std::size_t i = 0; i < sent.size(); i++) {
    Require(messages[i].kind_ == CallerMessage::Kind::Statement &&
              messages[i].statement_.text_ == sent[i],
            "the text of a statement arrives whole");
  }
}

void
SendTextsOfServers(std::span<const std::string> aTexts)
{
  std::string bytes;
  for (const auto& text : aTexts) {
    bytes.append("ROW ").append(text).append("\r\n");
    bytes.append("ROW ").append(text).append("\r\n");
    bytes.append("COMPLETE sig\r\nREADY I 1.2\r\n");
    bytes.append("ERROR FAILED ").append(text).append("\r\n");
    bytes.append("READY E 1.2\r\n");
  }
  const auto messages =
    CollectMessages<platform::LineCodec::ServerParser>(bytes);
  Require(messages.size() == 2 * aTexts.size(), "two answers for each text");
  for (std::size_t i = 0; i < aTexts.size(); i++) {
    const ServerAnswer& rows = messages[2 * i].answer_;
    const ServerAnswer& error = messages[2 * i + 1].answer_;
    Require(rows.rows_ == std::vector<std::string>(2, aTexts[i]) &&
              rows.signature_ == "sig",
            "the rows of an answer arrive whole");
    Require(error.error_ == SessionError::Failed &&
              error.errorText_ == aTexts[i],
            "the text of an error arrives whole");
  }
}

void
SendTexts(std::string_view aBytes)
{
  std::vector<std::string> texts;
  while (!aBytes.empty()) {
    const std::size_t size = std::min(aBytes.find('\0'), aBytes.size());
    texts.push_back(MakeLastField(aBytes.substr(0, size)));
    aBytes.remove_prefix(std::min(size + 1, aBytes.size()));
  }
  SendTextsOfCallers(texts);
  SendTextsOfServers(texts);
}

void
WriteFile(const std::string& aPath, std::string_view aBytes)
{
  std::ofstream(aPath, std::ios::binary) << aBytes;
}

void
ParseLog(const std::string& aFolder, std::string_view aBytes)
{
  WriteFile(aFolder + "/log", aBytes);
  VoterDisk disk;
  const auto read = disk.Open(aFolder);
  if (read) {
    ControlState state;
    state.InstallSnapshot(read->snapshot_);
    for (const auto& entry : read->entries_) {
      state.Apply(entry);
    }
  }
}

void
ParseSnapshot(std::string_view aBytes)
{
  wire::ControlSnapshot snapshot;
  if (snapshot.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    ControlState state;
    state.InstallSnapshot(snapshot);
    state.MakeSnapshot();
  }
}

void
ParseLinkMessages(std::string_view aBytes)
{
  if (IsAddressedTo(aBytes, "b")) {
    wire::ControlMessage control;
    control.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
    wire::TrafficMessage traffic;
    traffic.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()));
  }
}

std::string
MakeConfigSeed()
{
  return R"({"version":3,"routes":[{"name":"r","host":"h","pathPrefix":"/",)"
         R"("routeType":"read_your_writes","timeoutMs":5000,)"
         R"("targetLatencyMs":2000,"priority":1,"service":"db","public":true,)"
         R"("maxAttempts":2,"maxStalenessMs":5000}],"tenants":[{"name":"o",)"
         R"("apiKeys":["k"],"priority":1,"ratePerS":5,"burst":9}],)"
         R"("services":[{"name":"db","maxConns":40,"syncReplicas":0}],)"
         R"("limits":{"txIdleMs":3000}})";
}

std::string
MakeHeartbeatSeed()
{
  return R"({"service":"db","address":"127.0.0.1:9001","zone":"z",)"
         R"("version":"v1","slots":5,"state":"ready","coldRemainingMs":0,)"
         R"("dbRole":"replica","seqNo":4,"born":1700000000000})";
}

std::string
MakeSettingsSeed()
{
  return "nodeName: \"n\"\nzone: \"z\"\nip: \"10.1.0.10\"\n"
         "listen: {front: \"10.1.0.10:1\", control: \"10.1.0.10:8782\"}\n"
         "internalPortRange: [7440, 7455]\nseeds: [\"10.1.0.10:8782\"]\n"
         "bootstrap: true\ndataDir: \"/d\"\n"
         "limits: {maxFds: 4096, memoryMb: 112, openTimeoutMs: 500}\n"
         "faultTolerance: {machines: 2}\n"
         "bounds: {graceS: 6, drainMs: 7000}\n"
         "cloudApi: {address: \"10.200.0.1:8783\"}\n";
}

wire::ControlSnapshot
MakeSnapshotSeed()
{
  ControlState state;
  wire::Change change;
  change.set_index(1);
  change.set_term(1);
  change.mutable_document()->set_version(3);
  change.mutable_document()->set_body("x");
  state.Apply(change);
  return state.MakeSnapshot();
}

std::string
MakeLogSeed(const std::string& aFolder)
{
  VoterDisk disk;
  if (!disk.Open(aFolder)) {
    return {};
  }
  wire::HardState hard;
  hard.set_term(4);
  hard.set_voted_for("b/1");
  disk.Save(SaveHardState{ hard });
  wire::Change change;
  change.set_index(1);
  change.set_term(1);
  change.set_noop(true);
  disk.Save(SaveEntries{ { change } });
  disk.Sync();
  std::ifstream in(aFolder + "/log", std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string
MakeLinkSeed()
{
  wire::ControlMessage message;
  message.set_from("a");
  message.set_to("b");
  *message.mutable_snapshot()->mutable_snapshot() = MakeSnapshotSeed();
  return message.SerializeAsString();
}

} // namespace

std::vector<Target>
MakeTargets(const std::string& aFolder)
{
  const std::string disk = aFolder + "/disk";
  fs::create_directories(disk);
  const std::string settings = aFolder + "/settings.yaml";
  return {
    { "caller_lines",
      ParseInPieces<platform::LineCodec::CallerParser>,
      { "OPEN db key\r\nQUERY 1 BEGIN READ\r\nQUERY 2 READ k\r\nQUERY 3 SET a "
        "b\r\n",
        "QUERY 4 PREPARE p WRITE x\nQUERY 5 EXECUTE p 1\r\nQUERY 6 DEALLOC "
        "p\r\nCLOSE\r\n" } },
    { "server_lines",
      ParseServerLines,
      { "READY I 1.2\r\nROW a b\r\nCOMPLETE sig\r\nREADY T 18446744073709551615"
        ".3\r\n",
        "ERROR BUSY text\r\nREADY E -\r\n",
        "primary 3 4.5 x" } },
    { "whole_texts",
      SendTexts,
      { std::string("a\nb\0c\rd\0\n\0e\r\0COMPLETE sig\nREADY I 1.2", 37),
        "a\nCOMPLETE sig\nREADY T 1.2\nROW b" } },
    { "config_body",
      [](std::string_view aBytes) { platform::ReadConfigBody(aBytes); },
      { MakeConfigSeed() } },
    { "heartbeat_body",
      [](std::string_view aBytes) {
        platform::ReadHeartbeatBody("127.0.0.1:9001", aBytes);
      },
      { MakeHeartbeatSeed() } },
    { "settings_file",
      [settings](std::string_view aBytes) {
        WriteFile(settings, aBytes);
        if (const auto file = platform::ReadNodeFile(settings)) {
          platform::MakeSettings(*file);
        }
      },
      { MakeSettingsSeed() } },
    { "link_messages", ParseLinkMessages, { MakeLinkSeed() } },
    { "stored_log",
      [disk](std::string_view aBytes) { ParseLog(disk, aBytes); },
      { MakeLogSeed(disk) },
      10 }, // it syncs files
    { "stored_snapshot",
      ParseSnapshot,
      { MakeSnapshotSeed().SerializeAsString() } },
  };
}

std::vector<std::pair<std::string_view, std::string>>
ListRegressions()
{
  const std::string start = "nodeName: \"n\"\nzone: \"z\"\nip: \"10.1.0.10\"\n";
  const std::string ports = "internalPortRange: [7440, 7455]\n";
  return {
    // Conversions and a difference that overflowed an int.
    { "settings_file", start + ports + "bounds: {graceS: 1e300}\n" },
    { "settings_file", start + ports + "bounds: {graceS: .nan}\n" },
    { "settings_file",
      start + "internalPortRange: [-2147483648, 2147483647]\n" },
  };
}

} // namespace jaydoor::fuzz
