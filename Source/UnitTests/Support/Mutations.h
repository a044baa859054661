// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>

// Seeded mutations of texts that are right, for tests of what reads them.
namespace Holdpost::Testing
{
class Mutator
{
public:
  explicit Mutator(std::uint64_t seed) : m_random(seed) {}

  // A copy of `text` with up to four changes. `tokens` are characters that mean something there.
  std::string Change(std::string text, std::string_view tokens)
  {
    for (std::size_t changes = 1 + Below(4); changes > 0; --changes)
      ChangeOnce(text, tokens);
    return text;
  }
  std::size_t Below(std::size_t limit) { return static_cast<std::size_t>(m_random() % limit); }

private:
  void ChangeOnce(std::string& text, std::string_view tokens)
  {
    if (text.empty())
      return;
    const std::size_t at = Below(text.size());
    const std::size_t count = std::min<std::size_t>(1 + Below(12), text.size() - at);
    switch (Below(6))
    {
    case 0:
      text[at] = static_cast<char>(m_random());
      return;
    case 1:
      text[at] = tokens[Below(tokens.size())];
      return;
    case 2:
      text.insert(at, 1, tokens[Below(tokens.size())]);
      return;
    case 3:
      text.erase(at, count);
      return;
    case 4:
      text.insert(Below(text.size()), text.substr(at, count));
      return;
    default:
      text.resize(at);
    }
  }

  std::mt19937_64 m_random;
};
} // namespace Holdpost::Testing
