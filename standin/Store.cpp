#include "standin/Store.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace jaydoor::standin {
namespace {

namespace json = boost::json;

std::vector<std::string>
SplitStatement(std::string_view aText)
{
  std::vector<std::string> words;
  const std::size_t first = aText.find(' ');
  words.emplace_back(aText.substr(0, first));
  if (first == std::string_view::npos) {
    return words;
  }
  aText.remove_prefix(first + 1);
  const std::size_t second = aText.find(' ');
  words.emplace_back(aText.substr(0, second));
  if (second != std::string_view::npos) {
    words.emplace_back(aText.substr(second + 1));
  }
  return words;
}

std::string
WriteEntry(const LogEntry& aEntry)
{
  json::object object;
  object["term"] = aEntry.point_.term_;
  json::array statements;
  for (const auto& statement : aEntry.statements_) {
    statements.emplace_back(statement);
  }
  object["statements"] = std::move(statements);
  return json::serialize(object);
}

} // namespace

Store::~Store()
{
  if (file_ >= 0) {
    close(file_);
  }
}

Expected<bool>
Store::Open(const std::string& aPath, bool aSync)
{
  sync_ = aSync;
  if (aPath.empty()) {
    return true;
  }
  std::size_t good = 0;
  {
    std::ifstream in(aPath, std::ios::binary);
    std::string line;
    while (std::getline(in, line) && !in.eof() && Load(line)) {
      good += line.size() + 1;
    }
  }
  file_ = open(aPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (file_ < 0 || ftruncate(file_, static_cast<off_t>(good)) != 0) {
    return MakeError(ErrorKind::Disk,
                     fmt::format("can't write '{}'; check the folder", aPath));
  }
  lseek(file_, 0, SEEK_END);
  Rebuild();
  return true;
}

// Lines: {"promised":N}, {"drop":true} or an entry.
bool
Store::Load(std::string_view aLine)
{
  boost::system::error_code error;
  const json::value value = json::parse(aLine, error);
  if (error || !value.is_object()) {
    return false;
  }
  const json::object& object = value.get_object();
  if (const auto* promised = object.if_contains("promised")) {
    promised_ = promised->to_number<std::uint64_t>();
  } else if (object.contains("drop")) {
    log_.pop_back();
  } else {
    LogEntry entry;
    entry.point_.term_ = object.at("term").to_number<std::uint64_t>();
    entry.point_.position_ = log_.size() + 1;
    for (const auto& statement : object.at("statements").as_array()) {
      entry.statements_.emplace_back(statement.as_string());
    }
    log_.push_back(std::move(entry));
  }
  return true;
}

void
Store::Write(std::string aLine)
{
  if (file_ < 0) {
    return;
  }
  aLine += '\n';
  std::string_view rest = aLine;
  while (!rest.empty()) {
    const ssize_t wrote = write(file_, rest.data(), rest.size());
    if (wrote <= 0) {
      std::abort(); // a database that can't write its log is dead
    }
    rest.remove_prefix(static_cast<std::size_t>(wrote));
  }
  if (sync_ && fdatasync(file_) != 0) {
    std::abort();
  }
}

void
Store::Promise(std::uint64_t aTerm)
{
  promised_ = aTerm;
  Write(fmt::format(R"({{"promised":{}}})", aTerm));
}

LogPoint
Store::Commit(std::uint64_t aTerm, std::vector<std::string> aStatements)
{
  LogEntry entry{ { aTerm, log_.size() + 1 }, std::move(aStatements) };
  Replicate(std::move(entry));
  return Last();
}

void
Store::Replicate(LogEntry aEntry)
{
  Write(WriteEntry(aEntry));
  Apply(aEntry);
  log_.push_back(std::move(aEntry));
}

void
Store::DropLast()
{
  Write(R"({"drop":true})");
  log_.pop_back();
  Rebuild();
}

void
Store::Apply(const LogEntry& aEntry)
{
  for (const auto& statement : aEntry.statements_) {
    const auto words = SplitStatement(statement);
    auto& values = data_[words[1]];
    if (words[0] == "put") {
      values.clear();
    }
    values.push_back(words[2]);
  }
}

void
Store::Rebuild()
{
  data_.clear();
  for (const auto& entry : log_) {
    Apply(entry);
  }
}

bool
Store::IsWrite(std::string_view aStatement)
{
  const auto words = SplitStatement(aStatement);
  return words.size() == 3 && (words[0] == "put" || words[0] == "add");
}

Expected<std::vector<std::string>>
Store::Read(std::string_view aStatement) const
{
  const auto words = SplitStatement(aStatement);
  if (words.size() != 2 || words[0] != "get") {
    return MakeError(ErrorKind::BadInput,
                     "expected 'get KEY', 'put KEY VALUE' or 'add KEY VALUE'");
  }
  const auto found = data_.find(words[1]);
  return found == data_.end() ? std::vector<std::string>{} : found->second;
}

LogPoint
Store::Last() const
{
  return log_.empty() ? LogPoint{} : log_.back().point_;
}

std::uint64_t
Store::TermAt(std::uint64_t aPosition) const
{
  const bool known = aPosition > 0 && aPosition <= log_.size();
  return known ? log_[aPosition - 1].point_.term_ : 0;
}

std::vector<LogEntry>
Store::After(std::uint64_t aPosition, std::size_t aMax) const
{
  const std::size_t from = std::min<std::size_t>(aPosition, log_.size());
  const std::size_t count = std::min(aMax, log_.size() - from);
  const auto first = log_.begin() + static_cast<std::ptrdiff_t>(from);
  return { first, first + static_cast<std::ptrdiff_t>(count) };
}

} // namespace jaydoor::standin
