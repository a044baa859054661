// SPDX-License-Identifier: Apache-2.0
#include "Standin/BaselineFetchers.h"

#include <charconv>

#include <fmt/format.h>

namespace Holdpost::Standin
{
using Common::Address;
using Common::Error;
using Common::ErrorKind;
using Common::EventLoop;
using Common::HttpReply;
using Common::Milliseconds;
using Common::Problems;
using Common::Result;

static constexpr std::uint32_t WINDOW = 4;
static constexpr Milliseconds RETRY = Milliseconds(50);

std::variant<BaselineConfig, Problems> ReadBaselineConfig(const std::string& file)
{
  auto loaded = Common::LoadYaml(file);
  if (auto* failed = std::get_if<Problems>(&loaded))
    return std::move(*failed);
  Problems problems;
  Common::YamlReader reader(file, std::get<YAML::Node>(loaded), "", &problems);
  BaselineConfig config;
  config.platform = reader.ReadAddress("platform", true, false);
  config.version = reader.RequiredString("version");
  config.count = static_cast<int>(reader.Integer("count", 1, 1, 1000));
  config.is_tree = reader.Boolean("tree", false);
  config.link_bytes_per_second =
      static_cast<std::uint64_t>(reader.Integer("link_bytes_per_second", 0, 0, 1000000000000));
  reader.Finish();
  if (!problems.empty())
    return problems;
  return config;
}

BaselineFetchers::BaselineFetchers(EventLoop& loop, BaselineConfig config)
    : m_loop(loop), m_config(std::move(config)), m_http(loop)
{
}

bool BaselineFetchers::ReadManifest()
{
  Common::HttpCall call;
  call.to = m_config.platform;
  call.path = fmt::format("/origin/{}/manifest", m_config.version);
  m_http.Start(std::move(call), {[this](const Result<HttpReply>& result)
                                 {
                                   if (const auto* reply = std::get_if<HttpReply>(&result))
                                   {
                                     auto decoded = Distribution::DecodeManifest(reply->body);
                                     if (Common::Succeeded(decoded))
                                       m_manifest = std::get<Distribution::Manifest>(decoded);
                                   }
                                   m_loop.Stop();
                                 }});
  m_loop.Run();
  return m_manifest.PieceCount() > 0;
}

Result<std::monostate> BaselineFetchers::StartServers()
{
  std::vector<Address> addresses;
  for (int i = 0; i < m_config.count; ++i)
  {
    m_fetchers.push_back(std::make_unique<Fetcher>());
    Fetcher& fetcher = *m_fetchers.back();
    fetcher.pieces.resize(m_manifest.PieceCount());
    fetcher.upload.SetRate(m_config.link_bytes_per_second);
    fetcher.download.SetRate(m_config.link_bytes_per_second);
    fetcher.server = std::make_unique<Common::HttpServer>(
        m_loop, Common::HttpServer::Limits{4 << 20, Common::Seconds(600)},
        [this, &fetcher](const Exchange& exchange) { Serve(fetcher, exchange); });
    const auto listening = fetcher.server->Listen({"127.0.0.1", 0});
    if (const auto* error = std::get_if<Error>(&listening))
      return *error;
    addresses.push_back(std::get<Address>(listening));
    const bool is_root = !m_config.is_tree || i == 0;
    fetcher.parent = is_root ? m_config.platform : addresses[static_cast<std::size_t>((i - 1) / 2)];
  }
  return std::monostate{};
}

Result<std::vector<double>> BaselineFetchers::Run()
{
  if (!ReadManifest())
    return Error{ErrorKind::NotFound, "the origin has no such version"};
  const auto started = StartServers();
  if (const auto* error = std::get_if<Error>(&started))
    return *error;
  m_started = EventLoop::Now();
  for (const auto& fetcher : m_fetchers)
    FetchNext(*fetcher);
  m_loop.Run();
  std::vector<double> seconds;
  for (const auto& fetcher : m_fetchers)
    seconds.push_back(fetcher->seconds);
  return seconds;
}

void BaselineFetchers::FetchNext(Fetcher& fetcher)
{
  while (fetcher.next < m_manifest.PieceCount() && fetcher.next < fetcher.held + WINDOW)
    Fetch(fetcher, fetcher.next++);
}

void BaselineFetchers::Fetch(Fetcher& fetcher, std::uint32_t piece)
{
  Common::HttpCall call;
  call.to = fetcher.parent;
  call.path = fmt::format("/origin/{}/pieces/{}", m_config.version, piece);
  call.idle_timeout = Milliseconds(600000);
  call.may_reuse_connection = true;
  m_http.Start(std::move(call),
               {[this, &fetcher, piece](Result<HttpReply> result)
                {
                  auto* reply = std::get_if<HttpReply>(&result);
                  if (reply && reply->status == 200)
                    OnPiece(fetcher, piece, std::move(reply->body));
                  else
                    m_loop.After(RETRY, [this, &fetcher, piece] { Fetch(fetcher, piece); });
                }});
}

void BaselineFetchers::OnPiece(Fetcher& fetcher, std::uint32_t piece, std::string data)
{
  const auto now = EventLoop::Now();
  const auto due = fetcher.download.BookReceive(data.size(), now);
  const auto taken = [this, &fetcher, piece, bytes = Common::MakeBytes(std::move(data))]
  {
    fetcher.pieces[piece] = bytes;
    ++fetcher.held;
    for (const Exchange& exchange : std::exchange(fetcher.waiting[piece], {}))
      Send(fetcher, exchange, bytes);
    FetchNext(fetcher);
    if (fetcher.held < m_manifest.PieceCount())
      return;
    fetcher.seconds = std::chrono::duration<double>(EventLoop::Now() - m_started).count();
    if (++m_done == m_config.count)
      m_loop.Stop();
  };
  m_loop.After(due - now, taken);
}

void BaselineFetchers::Serve(Fetcher& fetcher, const Exchange& exchange)
{
  const std::string& path = exchange->Request().path;
  std::uint32_t piece = 0;
  const std::size_t slash = path.rfind('/');
  std::from_chars(path.data() + slash + 1, path.data() + path.size(), piece);
  if (piece < fetcher.pieces.size() && fetcher.pieces[piece])
    Send(fetcher, exchange, fetcher.pieces[piece]);
  else
    fetcher.waiting[piece].push_back(exchange);
}

void BaselineFetchers::Send(Fetcher& fetcher, const Exchange& exchange, const Common::Bytes& data)
{
  const auto now = EventLoop::Now();
  const auto due = fetcher.upload.BookSend(data->size(), now);
  m_loop.After(due - now, [exchange, data] { exchange->Reply(200, {}, *data); });
}
} // namespace Holdpost::Standin
