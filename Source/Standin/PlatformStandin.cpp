// SPDX-License-Identifier: Apache-2.0
#include "Standin/PlatformStandin.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

#include "Common/Json.h"
#include "Common/Log.h"
#include "Core/Distribution/Manifest.h"
#include "Standin/HealthPages.h"

namespace Holdpost::Standin
{
using Common::Address;
using Common::Error;
using Common::ErrorKind;
using Common::EventLoop;
using Common::HttpExchange;
using Common::Milliseconds;
using Common::Offset;
using Common::Problems;
using Common::Result;
using Common::TimePoint;
using nlohmann::json;

static constexpr std::size_t RECORDS_PER_READ = 2000;
static constexpr Milliseconds POLL = Milliseconds(5);
// The origin tells callers to come back when more than this waits.
static constexpr Milliseconds ORIGIN_QUEUE_MOST = Milliseconds(2000);
static constexpr std::size_t BODY_BYTES_MOST = 64 << 20;
static const Common::HttpHeaders JSON_TYPE = {{"Content-Type", "application/json"}};

std::variant<PlatformConfig, Problems> ReadPlatformConfig(const std::string& file)
{
  auto loaded = Common::LoadYaml(file);
  if (auto* failed = std::get_if<Problems>(&loaded))
    return std::move(*failed);
  Problems problems;
  Common::YamlReader reader(file, std::get<YAML::Node>(loaded), "", &problems);
  PlatformConfig config;
  const Address first = reader.ReadAddress("listen", true, true);
  const auto listeners = reader.Integer("listeners", 1, 1, 64);
  config.listen.assign(static_cast<std::size_t>(listeners), first);
  config.weights_dir = reader.RequiredString("weights_dir");
  config.origin_bytes_per_second =
      static_cast<std::uint64_t>(reader.Integer("origin_bytes_per_second", 0, 0, 1000000000000));
  config.has_store = reader.Boolean("has_store", false);
  config.store_bytes_per_second =
      static_cast<std::uint64_t>(reader.Integer("store_bytes_per_second", 0, 0, 1000000000000));
  config.retain_records =
      static_cast<std::size_t>(reader.Integer("retain_records", 100000, 10, 100000000));
  reader.Finish();
  if (!problems.empty())
    return problems;
  return config;
}

PlatformStandin::PlatformStandin(EventLoop& loop, PlatformConfig config)
    : m_loop(loop), m_config(std::move(config)), m_log(m_config.retain_records)
{
  m_origin_link.SetRate(m_config.origin_bytes_per_second);
  m_store_link.SetRate(m_config.store_bytes_per_second);
  m_faults.cut.assign(m_config.listen.size(), false);
  for (std::size_t i = 0; i < m_config.listen.size(); ++i)
  {
    m_servers.push_back(std::make_unique<Common::HttpServer>(
        loop, Common::HttpServer::Limits{BODY_BYTES_MOST, Common::Seconds(600)},
        [this, i](const Exchange& exchange) { Handle(i, exchange); }));
  }
}

Result<std::vector<Address>> PlatformStandin::Listen()
{
  std::vector<Address> addresses;
  for (std::size_t i = 0; i < m_servers.size(); ++i)
  {
    const Result<Address> address = m_servers[i]->Listen(m_config.listen[i]);
    if (const auto* error = std::get_if<Error>(&address))
      return *error;
    addresses.push_back(std::get<Address>(address));
  }
  return addresses;
}

void PlatformStandin::Handle(std::size_t listener, const Exchange& exchange)
{
  const std::string& path = exchange->Request().path;
  if (path == "/faults")
    return HandleFaults(exchange);
  if (path == "/stats")
    return HandleStats(exchange);
  if (AnswerHealth(*exchange,
                   fmt::format("standin_appends_total {}\nstandin_origin_requests_total {}\n",
                               m_appends, m_origin_requests)))
    return;
  if (m_faults.cut[listener])
    return exchange->Cut();
  if (path == "/log")
    return HandleLog(exchange);
  if (path.starts_with("/instances"))
    return HandleInstances(exchange);
  if (path.starts_with("/origin/"))
    return HandleWeights(exchange, false);
  if (path.starts_with("/store/") && m_config.has_store)
    return HandleWeights(exchange, true);
  ReplyError(*exchange, {ErrorKind::NotFound, "there is no such path"});
}

static std::uint64_t Number(const std::map<std::string, std::string>& query,
                            const std::string& name)
{
  std::uint64_t value = 0;
  if (const auto found = query.find(name); found != query.end())
    std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
  return value;
}

void PlatformStandin::HandleLog(const Exchange& exchange)
{
  if (m_faults.is_log_down)
    return exchange->Cut();
  const auto serve = [this, exchange]
  {
    if (exchange->Request().method == "POST")
      return AppendLog(exchange);
    const auto& query = exchange->Request().query;
    ReadLog(exchange, Number(query, "after"),
            EventLoop::Now() + Milliseconds(Number(query, "wait_ms")));
  };
  if (m_faults.log_delay.count() > 0)
    m_loop.After(m_faults.log_delay, serve);
  else
    serve();
}

void PlatformStandin::ReadLog(const Exchange& exchange, Offset after, TimePoint until)
{
  if (!exchange->IsOpen())
    return;
  const auto records = m_log.After(after, RECORDS_PER_READ);
  if (records.empty() && EventLoop::Now() < until)
  {
    m_loop.After(POLL, [this, exchange, after, until] { ReadLog(exchange, after, until); });
    return;
  }
  json list = json::array();
  for (const auto& record : records)
    list.push_back({{"offset", record.offset}, {"text", record.text}});
  exchange->Reply(200, JSON_TYPE,
                  json{{"first", m_log.First()}, {"head", m_log.Head()}, {"records", list}}.dump());
}

void PlatformStandin::AppendLog(const Exchange& exchange)
{
  const Offset offset = m_log.Append(exchange->Request().body);
  ++m_appends;
  if (m_faults.lose_append_answers > 0)
  {
    --m_faults.lose_append_answers;
    return exchange->Cut();
  }
  exchange->Reply(200, JSON_TYPE, json{{"offset", offset}}.dump());
}

void PlatformStandin::HandleInstances(const Exchange& exchange)
{
  const auto& request = exchange->Request();
  const std::string name =
      request.path.size() > 11 ? request.path.substr(std::string("/instances/").size()) : "";
  if (request.method == "PUT")
  {
    json entry = Common::ParseJsonOrDiscard(request.body);
    if (!entry.is_object())
      return ReplyError(*exchange, {ErrorKind::BadRequest, "the body is no JSON object"});
    entry["instance"] = name;
    m_instances[name] = std::move(entry);
    ++m_list_revision;
    return exchange->Reply(200, JSON_TYPE, "{}");
  }
  if (request.method == "DELETE")
  {
    m_instances.erase(name);
    ++m_list_revision;
    return exchange->Reply(200, JSON_TYPE, "{}");
  }
  const std::string tag = fmt::format("\"{}\"", m_list_revision);
  if (request.Header("if-none-match") == tag)
    return exchange->Reply(304, {{"ETag", tag}}, "");
  json list = json::array();
  for (const auto& [instance, entry] : m_instances)
    list.push_back(entry);
  exchange->Reply(200, {{"Content-Type", "application/json"}, {"ETag", tag}},
                  json{{"instances", list}}.dump());
}

static std::string ReadFile(const std::string& path)
{
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  content << file.rdbuf();
  return file ? content.str() : "";
}

PlatformStandin::Version* PlatformStandin::FindVersion(const std::string& digest)
{
  if (const auto found = m_versions.find(digest); found != m_versions.end())
    return &found->second;
  if (!Common::DigestFromHex(digest))
    return nullptr;
  const std::string manifest = ReadFile(m_config.weights_dir + "/" + digest + ".manifest");
  const auto decoded = Distribution::DecodeManifest(manifest);
  if (!Common::Succeeded(decoded))
    return nullptr;
  Version& version = m_versions[digest];
  version.manifest = Common::MakeBytes(manifest);
  version.weights = ReadFile(m_config.weights_dir + "/" + digest + ".weights");
  version.piece_bytes = std::get<Distribution::Manifest>(decoded).piece_bytes;
  return &version;
}

void PlatformStandin::SendLimited(const Exchange& exchange, std::string data,
                                  Distribution::LinkBudget& link, std::uint64_t* fetched)
{
  const TimePoint now = EventLoop::Now();
  if (link.FreeAt() > now + ORIGIN_QUEUE_MOST)
  {
    const auto wait = std::chrono::ceil<Milliseconds>(link.FreeAt() - now - ORIGIN_QUEUE_MOST);
    return exchange->Reply(503, {{"Retry-After-Ms", std::to_string(wait.count())}}, "");
  }
  *fetched += data.size();
  const TimePoint due = link.BookSend(data.size(), now);
  m_loop.After(due - now,
               [exchange, data = std::move(data)] {
                 exchange->Reply(200, {{"Content-Type", "application/octet-stream"}}, data);
               });
}

// Path: /origin/DIGEST/manifest or /origin/DIGEST/pieces/N; the same below /store.
void PlatformStandin::HandleWeights(const Exchange& exchange, bool is_store)
{
  if (m_faults.is_origin_down && !is_store)
    return exchange->Cut();
  ++m_origin_requests;
  std::istringstream parts(exchange->Request().path.substr(1));
  std::string source;
  std::string digest;
  std::string kind;
  std::string number;
  std::getline(parts, source, '/');
  std::getline(parts, digest, '/');
  std::getline(parts, kind, '/');
  std::getline(parts, number, '/');
  Version* version = FindVersion(digest);
  if (!version)
    return ReplyError(*exchange, {ErrorKind::NotFound, "there is no such version"});
  Distribution::LinkBudget& link = is_store ? m_store_link : m_origin_link;
  std::uint64_t* fetched = is_store ? &version->store_bytes_fetched : &version->bytes_fetched;
  if (kind == "manifest")
    return SendLimited(exchange, *version->manifest, link, fetched);
  std::uint64_t piece = 0;
  std::from_chars(number.data(), number.data() + number.size(), piece);
  const std::uint64_t start = piece * version->piece_bytes;
  if (kind != "pieces" || number.empty() || start >= version->weights.size())
    return ReplyError(*exchange, {ErrorKind::NotFound, "the version has no such piece"});
  std::string data = version->weights.substr(start, version->piece_bytes);
  if (m_faults.corrupt_pieces > 0)
  {
    --m_faults.corrupt_pieces;
    data[data.size() / 2] = static_cast<char>(data[data.size() / 2] ^ 1);
  }
  SendLimited(exchange, std::move(data), link, fetched);
}

void PlatformStandin::HandleFaults(const Exchange& exchange)
{
  const json faults = Common::ParseJsonOrDiscard(exchange->Request().body);
  if (!faults.is_object())
    return ReplyError(*exchange, {ErrorKind::BadRequest, "the body is no JSON object"});
  m_faults.is_log_down = faults.value("log_down", m_faults.is_log_down);
  m_faults.is_origin_down = faults.value("origin_down", m_faults.is_origin_down);
  m_faults.lose_append_answers = faults.value("lose_append_answers", m_faults.lose_append_answers);
  m_faults.corrupt_pieces = faults.value("corrupt_pieces", m_faults.corrupt_pieces);
  m_faults.log_delay = Milliseconds(faults.value("log_delay_ms", m_faults.log_delay.count()));
  if (const auto cut = faults.find("cut"); cut != faults.end())
  {
    m_faults.cut.assign(m_config.listen.size(), false);
    for (const std::size_t listener : *cut)
      m_faults.cut.at(listener) = true;
  }
  exchange->Reply(200, JSON_TYPE, "{}");
}

void PlatformStandin::HandleStats(const Exchange& exchange)
{
  json versions = json::object();
  for (const auto& [digest, version] : m_versions)
  {
    versions[digest] = {{"bytes_fetched", version.bytes_fetched},
                        {"store_bytes_fetched", version.store_bytes_fetched},
                        {"bytes", version.weights.size()},
                        {"copies", static_cast<double>(version.bytes_fetched) /
                                       static_cast<double>(version.weights.size())}};
  }
  exchange->Reply(200, JSON_TYPE,
                  json{{"versions", versions},
                       {"origin_requests", m_origin_requests},
                       {"corrupt_pieces_left", m_faults.corrupt_pieces},
                       {"appends", m_appends},
                       {"head", m_log.Head()}}
                      .dump());
}
} // namespace Holdpost::Standin
