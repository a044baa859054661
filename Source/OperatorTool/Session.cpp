// SPDX-License-Identifier: Apache-2.0
#include "OperatorTool/Session.h"

#include <optional>

namespace Holdpost::OperatorTool
{
using Common::Error;
using Common::ErrorKind;
using Common::HttpReply;
using Common::Milliseconds;
using Common::Offset;
using Common::Result;
using PlatformPeer::LogRead;
using PlatformPeer::PlatformClient;

static constexpr int READ_ATTEMPTS = 20;
static constexpr Milliseconds READ_PAUSE = Milliseconds(250);

Result<HttpReply> Session::Get(const Common::Address& address, const std::string& path)
{
  Result<HttpReply> reply = Error{ErrorKind::Internal, "not asked"};
  Common::HttpCall call;
  call.to = address;
  call.path = path;
  call.idle_timeout = Milliseconds(3000);
  m_http.Start(std::move(call), {[&](Result<HttpReply> result)
                                 {
                                   reply = std::move(result);
                                   m_loop.Stop();
                                 }});
  m_loop.Run();
  return reply;
}

void Session::Sleep(Common::Duration time)
{
  m_loop.After(time, [this] { m_loop.Stop(); });
  m_loop.Run();
}

Result<LogRead> Session::ReadLog(PlatformClient& client, Offset after)
{
  Result<LogRead> read = Error{ErrorKind::Internal, "not asked"};
  client.ReadLog(after, Milliseconds(0),
                 [&](Result<LogRead> result)
                 {
                   read = std::move(result);
                   m_loop.Stop();
                 });
  m_loop.Run();
  return read;
}

Result<Settings::Fold> Session::ReadFold(const std::vector<Common::Address>& platform)
{
  PlatformClient client(m_http, platform);
  Settings::Fold fold;
  while (true)
  {
    const Result<LogRead> result = ReadLog(client, fold.Position());
    if (const auto* error = std::get_if<Error>(&result))
      return *error;
    const auto& read = std::get<LogRead>(result);
    if (!fold.ApplyAll(read.records))
      return Error{ErrorKind::BadSettings, "the log has no snapshot to start from"};
    if (fold.Position() >= read.head)
      return fold;
  }
}

Result<Settings::Verdict> Session::Publish(const std::vector<Common::Address>& platform,
                                           const Settings::Change& change)
{
  const Result<Settings::Fold> before = ReadFold(platform);
  if (const auto* error = std::get_if<Error>(&before))
    return *error;
  Settings::Fold fold = std::get<Settings::Fold>(before);
  PlatformClient client(m_http, platform);
  bool is_answered = false;
  client.Append(Settings::EncodeRecord(change),
                [&](const Result<Offset>& result)
                {
                  is_answered = Common::Succeeded(result);
                  m_loop.Stop();
                });
  m_loop.Run();
  // The record's own place in the log tells, whether or not the append was answered.
  for (int attempt = 0; attempt < READ_ATTEMPTS; ++attempt)
  {
    const Result<LogRead> result = ReadLog(client, fold.Position());
    if (const auto* read = std::get_if<LogRead>(&result))
    {
      for (const Settings::LogRecord& record : read->records)
      {
        const Settings::Verdict verdict = fold.Apply(record);
        const auto decoded = Settings::DecodeRecord(record.text);
        const auto* known = std::get_if<Settings::Record>(&decoded);
        const auto* own = known ? std::get_if<Settings::Change>(known) : nullptr;
        if (own && own->id == change.id)
          return verdict;
      }
      if (read->records.empty() && !is_answered && attempt > 2)
        return Error{ErrorKind::PlatformUnavailable, "the change is not in the log"};
      if (!read->records.empty())
        continue;
    }
    Sleep(READ_PAUSE);
  }
  return Error{ErrorKind::PlatformUnavailable,
               "it is not known whether the change is in the log; publish again to find out"};
}
} // namespace Holdpost::OperatorTool
