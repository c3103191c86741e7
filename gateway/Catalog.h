#pragma once

// The databases that sessions can open, as the operators' configuration
// describes them.
//
//   const CatalogDatabase* database = catalog.Find("lessons");
//
// A database is served by a group of servers. Several databases can share a
// group.

#include "base/Types.h"
#include "gateway/Organisations.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jaydoor {

// The data that a read has to include.
enum class Consistency : std::uint8_t
{
  Primary,          // every write that was acknowledged to any caller
  ReadYourWrites,   // the session's own commits, and a bounded age
  BoundedStaleness, // data no older than a configured age
};

struct CatalogDatabase
{
  std::string name_; // under which sessions open it
  DatabaseId group_; // group of servers that stores it
  Consistency consistency_ = Consistency::Primary;
  Duration maxStaleness_{};   // greatest age of the data that a read returns
  Duration statementLimit_{}; // from a statement's arrival to its answer
  Duration latencyTarget_{};  // statement latency that callers expect
  int rank_ = 0;              // priority of its statements; 0 is most urgent
  bool public_ = false;       // sessions need no key of an organisation
};

struct Catalog
{
  std::uint64_t version_ = 0; // of the configuration; 0: none was read
  std::map<std::string, CatalogDatabase, std::less<>> databases_;
  std::map<DatabaseId, std::size_t> connectionLimits_; // per server
  // Who may open sessions; none: anybody, and no key is looked at.
  std::optional<Organisations> organisations_;
  // Transactions that are idle for longer are rolled back.
  Duration transactionIdleTimeout_ = 3s;

  // Returns null if no database has this name.
  const CatalogDatabase* Find(std::string_view aDatabase) const;
  // Returns the number of connections that one server of the group accepts, 0
  // if the configuration does not state it.
  std::size_t ConnectionLimit(const DatabaseId& aGroup) const;
};

using CatalogPtr = std::shared_ptr<const Catalog>;

} // namespace jaydoor
