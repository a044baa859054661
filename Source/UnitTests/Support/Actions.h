// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <utility>
#include <variant>
#include <vector>

// Helpers for tests of state machines that return actions.
namespace Holdpost::Testing
{
// The actions of one type, in order.
template <typename T, typename Action>
std::vector<T> Only(const std::vector<Action>& actions)
{
  std::vector<T> found;
  for (const Action& action : actions)
  {
    if (const auto* typed = std::get_if<T>(&action))
      found.push_back(*typed);
  }
  return found;
}

// The same, and forgets all of them.
template <typename T, typename Action>
std::vector<T> Take(std::vector<Action>& actions)
{
  return Only<T>(std::exchange(actions, {}));
}
} // namespace Holdpost::Testing
