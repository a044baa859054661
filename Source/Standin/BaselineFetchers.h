// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Common/HttpClient.h"
#include "Common/HttpServer.h"
#include "Common/YamlReader.h"
#include "Core/Distribution/LinkBudget.h"
#include "Core/Distribution/Manifest.h"

// The baselines of BurstBench: instances that fetch a version without exchanging pieces, either all
// from the origin or down a fixed binary tree. One process holds them all.
namespace Holdpost::Standin
{
struct BaselineConfig
{
  Common::Address platform;
  std::string version;
  int count = 1;
  bool is_tree = false;
  std::uint64_t link_bytes_per_second = 0; // of each fetcher, in each direction
};

std::variant<BaselineConfig, Common::Problems> ReadBaselineConfig(const std::string& file);

class BaselineFetchers
{
public:
  BaselineFetchers(Common::EventLoop& loop, BaselineConfig config);
  // Fetches everything; the seconds after which each fetcher held the version.
  Common::Result<std::vector<double>> Run();

private:
  using Exchange = std::shared_ptr<Common::HttpExchange>;

  struct Fetcher
  {
    Common::Address parent; // the origin or another fetcher
    std::unique_ptr<Common::HttpServer> server;
    Distribution::LinkBudget upload;
    Distribution::LinkBudget download;
    std::vector<Common::Bytes> pieces;
    std::map<std::uint32_t, std::vector<Exchange>> waiting; // children ahead of us
    std::uint32_t next = 0;
    std::uint32_t held = 0;
    double seconds = 0;
  };

  bool ReadManifest();
  Common::Result<std::monostate> StartServers();
  void FetchNext(Fetcher& fetcher);
  void Fetch(Fetcher& fetcher, std::uint32_t piece);
  void OnPiece(Fetcher& fetcher, std::uint32_t piece, std::string data);
  void Serve(Fetcher& fetcher, const Exchange& exchange);
  void Send(Fetcher& fetcher, const Exchange& exchange, const Common::Bytes& data);

  Common::EventLoop& m_loop;
  BaselineConfig m_config;
  Common::HttpClient m_http;
  Distribution::Manifest m_manifest;
  std::vector<std::unique_ptr<Fetcher>> m_fetchers;
  Common::TimePoint m_started{};
  int m_done = 0;
};
} // namespace Holdpost::Standin
