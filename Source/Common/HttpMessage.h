// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The head of an HTTP/1.1 message as it came, in the order and spelling of the sender.
namespace Holdpost::Common
{
struct HttpField
{
  std::string name;
  std::string value;
};

// Header fields in order. Names compare without regard to case.
class HttpFields
{
public:
  void Add(std::string_view name, std::string_view value);
  // The first field of the name; null if there is none.
  const std::string* Find(std::string_view name) const;
  // The first field of the name as a whole number from 0; empty if absent or no such number.
  std::optional<std::uint64_t> FindNumber(std::string_view name) const;
  // Whether some field of the name has `token` in its comma-separated list.
  bool HasToken(std::string_view name, std::string_view token) const;
  void Clear() { m_fields.clear(); }

  auto begin() const { return m_fields.begin(); }
  auto end() const { return m_fields.end(); }

private:
  std::vector<HttpField> m_fields;
};

// How the end of a message's body is marked.
enum class BodyFraming
{
  None,
  Length,
  Chunked,
  UntilClose,
};

struct HttpHead
{
  std::string method; // requests only
  std::string target; // requests only: path and query
  int status = 0;     // answers only
  std::string reason; // answers only
  bool is_http_1_0 = false;
  // The connection may carry another message after this one.
  bool keeps_alive = false;
  BodyFraming framing = BodyFraming::None;
  std::uint64_t content_length = 0; // with BodyFraming::Length
  HttpFields fields;
};

// Answers with a lower status are interim ones: another answer follows.
inline constexpr int MIN_FINAL_STATUS = 200;

// Compares without regard to case, for ASCII.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);
// True for fields that concern one connection only and are never passed on.
bool IsConnectionField(std::string_view name);
// Appends "name: value" and the line's end.
void AppendField(std::string* text, std::string_view name, std::string_view value);
// The reason phrase that goes with a status; "Status" for one that is not known.
std::string_view ReasonPhrase(int status);
} // namespace Holdpost::Common
