// SPDX-License-Identifier: Apache-2.0
#include "Peers/Platform/PlatformClient.h"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Common/JsonFields.h"
#include "Common/UnreadableRecords.h"

namespace Holdpost::PlatformPeer
{
using Common::Bytes;
using Common::Error;
using Common::ErrorKind;
using Common::EventLoop;
using Common::HttpReply;
using Common::Milliseconds;
using Common::Offset;
using Common::Result;
using nlohmann::json;

static constexpr Milliseconds CALL_TIMEOUT = Milliseconds(3000);
static constexpr std::size_t MAX_LOGGED_NAME = 256;
// The origin's limit may hold a piece back for a while; stalls are judged by the exchange.
static constexpr Milliseconds PIECE_TIMEOUT = Milliseconds(60000);

PlatformClient::PlatformClient(Common::HttpClient& http, std::vector<Common::Address> addresses)
    : m_http(http), m_addresses(std::move(addresses))
{
}

static std::optional<Milliseconds> RetryAfter(const HttpReply& reply)
{
  const auto found = reply.headers.find("retry-after-ms");
  if (found == reply.headers.end())
    return std::nullopt;
  int milliseconds = 0;
  const std::string& text = found->second;
  std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  return Milliseconds(std::max(milliseconds, 1));
}

static Error ErrorFor(const HttpReply& reply)
{
  if (reply.status == 503 || reply.status == 429)
    return {ErrorKind::SourceBusy, "the platform says to come back later", RetryAfter(reply)};
  if (reply.status == 404)
    return {ErrorKind::NotFound, "the platform does not have it"};
  return {ErrorKind::PlatformUnavailable, fmt::format("the platform answered {}", reply.status)};
}

Common::HttpClient::CallId PlatformClient::Get(const std::string& path, Milliseconds idle_timeout,
                                               std::function<void(Result<HttpReply>)> done,
                                               const Common::HttpHeaders& headers)
{
  Common::HttpCall call;
  call.to = CurrentAddress();
  call.path = path;
  call.headers = headers;
  call.idle_timeout = idle_timeout;
  call.may_reuse_connection = true;
  Common::HttpCallbacks callbacks;
  callbacks.on_done = [this, done = std::move(done)](Result<HttpReply> result)
  {
    if (auto* error = std::get_if<Error>(&result))
    {
      OnFailed();
      done(Error{ErrorKind::PlatformUnavailable, error->message});
      return;
    }
    const auto& reply = std::get<HttpReply>(result);
    if (reply.status != 200 && reply.status != 304)
      done(ErrorFor(reply));
    else
      done(std::move(result));
  };
  return m_http.Start(std::move(call), std::move(callbacks));
}

static Result<LogRead> ParseLogRead(const std::string& body, Common::TimePoint sent)
{
  try
  {
    const json object = Common::ParseJson(body);
    LogRead read;
    read.sent = sent;
    read.first = Common::RequiredInteger<Offset>(object, "first");
    read.head = Common::RequiredInteger<Offset>(object, "head");
    for (const json& record : object.at("records"))
      read.records.push_back(
          {Common::RequiredInteger<Offset>(record, "offset"), record.at("text")});
    return read;
  }
  catch (const std::exception& error)
  {
    return Error{ErrorKind::PlatformUnavailable, error.what()};
  }
}

void PlatformClient::ReadLog(Offset after, Milliseconds wait,
                             std::function<void(Result<LogRead>)> done)
{
  const auto sent = EventLoop::Now();
  Get(fmt::format("/log?after={}&wait_ms={}", after, wait.count()), CALL_TIMEOUT + wait,
      [done = std::move(done), sent](Result<HttpReply> result)
      {
        if (const auto* error = std::get_if<Error>(&result))
          done(*error);
        else
          done(ParseLogRead(std::get<HttpReply>(result).body, sent));
      });
}

static Result<Offset> ParseAppended(const Result<HttpReply>& result)
{
  if (const auto* error = std::get_if<Error>(&result))
    return Error{ErrorKind::PlatformUnavailable, error->message};
  const auto& reply = std::get<HttpReply>(result);
  if (reply.status != 200)
    return ErrorFor(reply);
  const json object = Common::ParseJsonOrDiscard(reply.body);
  const auto offset = object.find("offset");
  if (offset == object.end() || !offset->is_number_unsigned())
    return Error{ErrorKind::PlatformUnavailable, "the log's answer cannot be read"};
  return offset->get<Offset>();
}

void PlatformClient::Append(const std::string& record, std::function<void(Result<Offset>)> done)
{
  Common::HttpCall call;
  call.to = CurrentAddress();
  call.method = "POST";
  call.path = "/log";
  call.body = record;
  call.idle_timeout = CALL_TIMEOUT;
  Common::HttpCallbacks callbacks;
  callbacks.on_done = [this, done = std::move(done)](const Result<HttpReply>& result)
  {
    if (!Common::Succeeded(result))
      OnFailed();
    done(ParseAppended(result));
  };
  m_http.Start(std::move(call), std::move(callbacks));
}

static Membership::Role RoleFromName(const std::string& name)
{
  if (name == "entry")
    return Membership::Role::Entry;
  if (name == "agent")
    return Membership::Role::Agent;
  throw Common::FieldError("role", "is neither entry nor agent");
}

static Membership::ListedInstance ListedFromJson(const json& object)
{
  Membership::ListedInstance listed;
  listed.instance = Common::RequiredText(object, "instance");
  listed.hall = Common::RequiredText(object, "hall");
  listed.pool = object.value("pool", "");
  listed.role = RoleFromName(Common::RequiredText(object, "role"));
  listed.address = Common::RequiredAddress(object, "address");
  listed.is_leaving = object.value("state", "live") == "leaving";
  return listed;
}

// An entry that cannot be read is another writer's; it names no instance, and the others hold.
static void AddListed(const json& object, std::vector<Membership::ListedInstance>* list)
{
  try
  {
    list->push_back(ListedFromJson(object));
  }
  catch (const std::exception& error)
  {
    const bool is_named = object.is_object() && object.contains("instance");
    const std::string name = is_named ? object["instance"].dump() : "";
    Common::UnreadableRecords::Instance().Note(
        fmt::format("instance {}", name.substr(0, MAX_LOGGED_NAME)), error.what(),
        EventLoop::Now());
  }
}

static NodeCore::ListRead ParseList(const std::string& text)
{
  try
  {
    std::vector<Membership::ListedInstance> list;
    const json body = Common::ParseJsonPruned(text);
    for (const json& object : body.at("instances"))
      AddListed(object, &list);
    return list;
  }
  catch (const std::exception& error)
  {
    return Error{ErrorKind::PlatformUnavailable, error.what()};
  }
}

void PlatformClient::ListInstances(std::function<void(NodeCore::ListRead)> done)
{
  Common::HttpHeaders headers;
  if (!m_list_tag.empty())
    headers["If-None-Match"] = m_list_tag;
  const auto on_reply = [this, done = std::move(done)](const Result<HttpReply>& result)
  {
    if (const auto* error = std::get_if<Error>(&result))
      return done(*error);
    const auto& reply = std::get<HttpReply>(result);
    if (reply.status == 304)
      return done(NodeCore::ListUnchanged{});
    NodeCore::ListRead read = ParseList(reply.body);
    const auto tag = reply.headers.find("etag");
    const bool is_good = !std::holds_alternative<Error>(read);
    m_list_tag = is_good && tag != reply.headers.end() ? tag->second : "";
    done(std::move(read));
  };
  Get("/instances", CALL_TIMEOUT, on_reply, headers);
}

Common::HttpClient::CallId PlatformClient::FetchPiece(Distribution::PlatformSource source,
                                                      const Common::Digest& version,
                                                      std::uint32_t piece,
                                                      std::function<void(Result<Bytes>)> done)
{
  const char* name = source == Distribution::PlatformSource::Store ? "store" : "origin";
  const std::string path = piece == Distribution::MANIFEST_PIECE
                               ? fmt::format("/{}/{}/manifest", name, version.ToHex())
                               : fmt::format("/{}/{}/pieces/{}", name, version.ToHex(), piece);
  return Get(path, PIECE_TIMEOUT,
             [done = std::move(done)](Result<HttpReply> result)
             {
               if (const auto* error = std::get_if<Error>(&result))
                 done(*error);
               else
                 done(Common::MakeBytes(std::move(std::get<HttpReply>(result).body)));
             });
}
} // namespace Holdpost::PlatformPeer
