#pragma once

namespace jaydoor {

// Returns true for the control characters of ASCII, among them CR, LF and the
// tabulator.
constexpr bool
IsControlCharacter(char aChar)
{
  constexpr char kDelete = 0x7f;
  return static_cast<unsigned char>(aChar) < ' ' || aChar == kDelete;
}

} // namespace jaydoor
