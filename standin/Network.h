#pragma once

// A relay between the processes of a test fleet: forwards TCP connections,
// delays them, cuts zones off, and lets open connections go silent.
//
// A process binds one loopback address and is reached under another, at which
// the relay listens. The source address of a connection tells which zone it
// comes from.

#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jaydoor::standin {

class Network
{
public:
  // `aZoneOf` maps a source or destination IP to its zone's number; callers
  // of the test itself are in no zone (-1) and are never cut off.
  explicit Network(std::function<int(const std::string&)> aZoneOf);
  ~Network();
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  // Relays `aHost`:`aPort` to `aBind`:`aPort`. Before Start.
  void Add(const std::string& aHost,
           const std::string& aBind,
           std::uint16_t aPort);
  // One-way delay between different zones, and from callers. Before Start.
  void SetDelay(Duration aBetweenZones, Duration aFromCallers);
  void Start();

  // From any thread. A cut swallows bytes silently and lets no new
  // connection through.
  void Cut(int aZone, int aOther);
  void CutOff(int aZone);
  void Heal();
  // Open connections to this IP swallow bytes for good; new ones work.
  void Silence(const std::string& aBind);

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace jaydoor::standin
