// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

// Values that other writers may leave in a field, and texts with one field changed to each of them,
// for tests of what reads such texts.
namespace Holdpost::Testing
{
struct OddText
{
  std::string name;
  std::string text;
};

inline std::string NestedLists(std::size_t depth)
{
  return std::string(depth, '[') + std::string(depth, ']');
}

// Each value as it stands in a JSON text. Lists are nested up to `max_depth` levels.
inline std::vector<OddText> OddValues(std::size_t max_depth)
{
  std::vector<OddText> values = {{"null", "null"},
                                 {"true", "true"},
                                 {"a list", "[]"},
                                 {"an object", "{}"},
                                 {"a list of a list", "[[1]]"},
                                 {"zero", "0"},
                                 {"-1", "-1"},
                                 {"-0.5", "-0.5"},
                                 {"a fraction", "1.5"},
                                 {"2^16", "65536"},
                                 {"2^31", "2147483648"},
                                 {"2^32", "4294967296"},
                                 {"2^53+1", "9007199254740993"},
                                 {"2^63", "9223372036854775808"},
                                 {"-2^63", "-9223372036854775808"},
                                 {"2^64-1", "18446744073709551615"},
                                 {"2^64", "18446744073709551616"},
                                 {"1e308", "1e308"},
                                 {"-1e308", "-1e308"},
                                 {"1e-308", "1e-308"},
                                 {"1e400", "1e400"},
                                 {"NaN", "NaN"},
                                 {"the text NaN", R"("NaN")"},
                                 {"a number as text", R"("7")"},
                                 {"an empty text", R"("")"},
                                 {"a huge text", '"' + std::string(100'000, 'x') + '"'},
                                 {"line ends", R"("a\r\nX-Other: b")"},
                                 {"a null character", R"("10.0.0.9\u0000:80")"},
                                 {"invalid UTF-8", "\"\xff\xfe\xc0\""},
                                 {"a surrogate", R"("\ud800")"},
                                 {"port 0", R"("10.0.0.9:0")"},
                                 {"port 65536", R"("10.0.0.9:65536")"},
                                 {"port -1", R"("10.0.0.9:-1")"},
                                 {"an empty port", R"("10.0.0.9:")"},
                                 {"no port", R"("10.0.0.9")"},
                                 {"IPv6", R"("[2001:db8::1]:80")"},
                                 {"IPv6 without brackets", R"("::1:80")"},
                                 {"a name", R"("runner.example:80")"},
                                 {"no address", R"("0.0.0.0:80")"},
                                 {"a broadcast address", R"("255.255.255.255:80")"}};
  for (const std::size_t depth : {10U, 60U, 63U, 64U, 65U, 10'000U, 1'000'000U})
  {
    if (depth <= max_depth)
      values.push_back({fmt::format("{} nested lists", depth), NestedLists(depth)});
  }
  return values;
}

// The text of an object with one field changed; `raw` is a JSON text, or no JSON at all.
inline std::string WithField(const nlohmann::json& object, const std::string& field,
                             const std::string& raw)
{
  static const std::string MARK = "@@the-odd-value@@";
  nlohmann::json changed = object;
  changed[nlohmann::json::json_pointer(field)] = MARK;
  std::string text = changed.dump();
  const std::string quoted = '"' + MARK + '"';
  return text.replace(text.find(quoted), quoted.size(), raw);
}

// The object with each of its fields, given as JSON pointers, changed to each odd value or left
// out, and texts that are odd as a whole.
inline std::vector<OddText> OddTexts(const nlohmann::json& sound,
                                     const std::vector<std::string>& fields, std::size_t max_depth)
{
  std::vector<OddText> texts;
  const std::vector<OddText> values = OddValues(max_depth);
  const std::string whole = sound.dump();
  for (const std::string& field : fields)
  {
    const nlohmann::json::json_pointer at(field);
    if (sound.contains(at))
    {
      nlohmann::json parent_changed = sound;
      nlohmann::json& parent = parent_changed[at.parent_pointer()];
      if (parent.is_object())
      {
        parent.erase(at.back());
        texts.push_back({field + " is missing", parent_changed.dump()});
      }
    }
    for (const OddText& value : values)
      texts.push_back({field + " is " + value.name, WithField(sound, field, value.text)});
  }
  for (const OddText& value : values)
  {
    texts.push_back({"the text is " + value.name, value.text});
    texts.push_back({"an unknown field is " + value.name, WithField(sound, "/Odd", value.text)});
  }
  for (const std::size_t length : {std::size_t{1}, whole.size() / 3, whole.size() - 1})
    texts.push_back({fmt::format("cut after {} bytes", length), whole.substr(0, length)});
  texts.push_back({"all fields twice", whole.substr(0, whole.size() - 1) + "," + whole.substr(1)});
  texts.push_back({"binary bytes", std::string("\x00\x01\x7f\x80\xff\xfe\x0d\x0a", 8)});
  texts.push_back({"bytes behind the end", whole + "x"});
  texts.push_back({"a byte order mark", "\xef\xbb\xbf" + whole});
  return texts;
}
} // namespace Holdpost::Testing
