#pragma once

// A database server of the upstream contract, without I/O.

#include "standin/Store.h"
#include "wire/Json.h"

#include <functional>
#include <map>

namespace jaydoor::tests {

class FakeServer
{
public:
  explicit FakeServer(wire::Upstream aInfo);

  UpstreamAnswer Handle(const UpstreamRequest& aRequest,
                        std::uint64_t aConnection);
  bool HasSlot() const { return running_ < info_.slots(); }
  void CloseConnection(std::uint64_t aConnection);
  // Copies one batch from the primary that it follows.
  void PullFrom(const FakeServer& aPrimary);
  // A restart: what was not durable is gone.
  void Restart();

  wire::Upstream info_;
  standin::Store store_;
  std::string primaryHost_; // followed; empty: none
  bool primary_ = false;
  std::size_t running_ = 0;
  std::size_t oversubscribed_ = 0; // times that its slots were exceeded
  bool up_ = true;
  bool frozen_ = false;
  std::uint64_t life_ = 1;                  // starts so far
  std::vector<std::function<void()>> held_; // events while frozen

private:
  UpstreamAnswer Answer(UpstreamResult aResult, Reason aReason) const;
  UpstreamAnswer Execute(const UpstreamRequest& aRequest,
                         std::uint64_t aConnection);

  std::map<std::uint64_t, std::vector<std::string>> transactions_;
};

} // namespace jaydoor::tests
