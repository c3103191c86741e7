#pragma once

// The organisations of the soak's callers and their keys.
//
// Half of the callers have a key that is listed in all configurations. The key
// of the others is withdrawn by every second configuration, and they go on with
// a new one: see KeyOf().

#include <string>

namespace jaydoor::soak {

// Returns the organisation of the caller.
std::string
OrganisationOf(int aCaller);

// Returns the item that the caller writes. The servers check that statements
// about it arrive on connections of the caller's organisation.
std::string
ItemOf(int aCaller);

// Returns the caller's key by the configuration of this version.
std::string
KeyOf(int aCaller, int aVersion);

// Returns the configuration. It lists the keys of this version and of the one
// before.
std::string
MakeConfig(int aVersion);

} // namespace jaydoor::soak
