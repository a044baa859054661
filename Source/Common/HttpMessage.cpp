// SPDX-License-Identifier: Apache-2.0
#include "Common/HttpMessage.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <ostream>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

namespace Holdpost::Common
{
namespace beast = boost::beast;

static beast::string_view ToBeast(std::string_view text)
{
  return {text.data(), text.size()};
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b)
{
  return beast::iequals(ToBeast(a), ToBeast(b));
}

void HttpFields::Add(std::string_view name, std::string_view value)
{
  m_fields.push_back({std::string(name), std::string(value)});
}

const std::string* HttpFields::Find(std::string_view name) const
{
  for (const HttpField& field : m_fields)
  {
    if (EqualsIgnoringCase(field.name, name))
      return &field.value;
  }
  return nullptr;
}

std::optional<std::uint64_t> HttpFields::FindNumber(std::string_view name) const
{
  const std::string* text = Find(name);
  if (!text)
    return std::nullopt;
  std::uint64_t number = 0;
  const char* end = text->data() + text->size();
  const auto [parsed, error] = std::from_chars(text->data(), end, number);
  if (error != std::errc() || parsed != end)
    return std::nullopt;
  return number;
}

bool HttpFields::HasToken(std::string_view name, std::string_view token) const
{
  return std::ranges::any_of(
      m_fields,
      [&](const HttpField& field)
      {
        return EqualsIgnoringCase(field.name, name) &&
               beast::http::token_list(ToBeast(field.value)).exists(ToBeast(token));
      });
}

bool IsConnectionField(std::string_view name)
{
  static constexpr std::array<std::string_view, 9> NAMES = {"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "TE",
                                                            "Transfer-Encoding",
                                                            "Upgrade",
                                                            "Trailer"};
  return std::ranges::any_of(NAMES, [&](std::string_view known)
                             { return EqualsIgnoringCase(known, name); });
}

void AppendField(std::string* text, std::string_view name, std::string_view value)
{
  text->append(name);
  text->append(": ");
  text->append(value);
  text->append("\r\n");
}

std::string_view ReasonPhrase(int status)
{
  const auto reason = beast::http::obsolete_reason(beast::http::int_to_status(status));
  return reason.empty() ? std::string_view("Status")
                        : std::string_view(reason.data(), reason.size());
}
} // namespace Holdpost::Common
