#pragma once

// What the operators' configuration says of the databases that sessions open.
//
//   const CatalogDatabase* database = catalog.Find("lessons");
//
// A database is served by a group of servers; several databases may share one.

#include "base/Types.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace jaydoor {

// What a read has to show.
enum class Consistency : std::uint8_t
{
  Primary,          // all that was acknowledged to anybody
  ReadYourWrites,   // the session's own commits, and a bounded age
  BoundedStaleness, // a bounded age
};

struct CatalogDatabase
{
  std::string name_; // as sessions name it
  DatabaseId group_; // group of servers behind it
  Consistency consistency_ = Consistency::Primary;
  Duration maxStaleness_{};   // oldest data that a read may show
  Duration statementLimit_{}; // longest time that one statement may take
  Duration latencyTarget_{};  // latency that callers want
  int rank_ = 0;              // 0 is the most urgent
};

struct Catalog
{
  std::uint64_t version_ = 0;
  std::map<std::string, CatalogDatabase, std::less<>> databases_;
  std::map<DatabaseId, std::size_t> connectionLimits_; // of each server
  Duration transactionIdleTimeout_ =
    3s; // an idle transaction may be ended then

  const CatalogDatabase* Find(std::string_view aDatabase) const;
  // Connections that one server of the group takes; 0: not known.
  std::size_t ConnectionLimit(const DatabaseId& aGroup) const;
};

using CatalogPtr = std::shared_ptr<const Catalog>;

} // namespace jaydoor
