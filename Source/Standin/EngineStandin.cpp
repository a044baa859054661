// SPDX-License-Identifier: Apache-2.0
#include "Standin/EngineStandin.h"

#include <charconv>
#include <utility>

#include <fmt/format.h>

#include "Common/Json.h"
#include "Standin/HealthPages.h"

namespace Holdpost::Standin
{
using Common::Error;
using Common::ErrorKind;
using Common::HttpExchange;
using Common::Milliseconds;
using Common::Problems;
using nlohmann::json;

static constexpr std::size_t BODY_BYTES_MOST = 64 << 20;
static const Common::HttpHeaders JSON_TYPE = {{"Content-Type", "application/json"}};

std::variant<EngineConfig, Problems> ReadEngineConfig(const std::string& file)
{
  auto loaded = Common::LoadYaml(file);
  if (auto* failed = std::get_if<Problems>(&loaded))
    return std::move(*failed);
  Problems problems;
  Common::YamlReader reader(file, std::get<YAML::Node>(loaded), "", &problems);
  EngineConfig config;
  config.listen = reader.ReadAddress("listen", true, true);
  config.token_time = Milliseconds(reader.Integer("token_ms", 5, 0, 10000));
  config.checks_fence = reader.Boolean("checks_fence", true);
  config.keeps_weights = reader.Boolean("keeps_weights", false);
  reader.Finish();
  if (!problems.empty())
    return problems;
  return config;
}

EngineStandin::EngineStandin(Common::EventLoop& loop, EngineConfig config)
    : m_loop(loop), m_config(std::move(config)),
      m_server(loop, Common::HttpServer::Limits{BODY_BYTES_MOST, Common::Seconds(600)},
               [this](const Exchange& exchange) { Handle(exchange); })
{
}

void EngineStandin::Handle(const Exchange& exchange)
{
  const std::string& path = exchange->Request().path;
  if (AnswerHealth(*exchange, fmt::format("standin_runs_total {}\nstandin_fenced_total {}\n",
                                          m_runs.size(), m_fenced)))
    return;
  if (path.starts_with("/weights/"))
    return TakeWeights(exchange);
  if (path == "/orders/load")
    return HandleLoad(exchange);
  if (path == "/v1/completions")
    return HandleCompletion(exchange);
  if (path == "/faults")
    return HandleFaults(exchange);
  if (path == "/stats")
    return HandleStats(exchange);
  ReplyError(*exchange, {ErrorKind::NotFound, "there is no such path"});
}

static std::uint64_t ToNumber(const std::string& text)
{
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

bool EngineStandin::IsFenced(const Exchange& exchange)
{
  const std::pair order(ToNumber(exchange->Request().Header("holdpost-fence")),
                        ToNumber(exchange->Request().Header("holdpost-order")));
  if (m_config.checks_fence && order < m_newest_order)
  {
    ++m_fenced;
    exchange->Reply(409, JSON_TYPE, R"({"error":"fenced"})");
    return true;
  }
  m_newest_order = std::max(m_newest_order, order);
  return false;
}

void EngineStandin::TakeWeights(const Exchange& exchange)
{
  if (IsFenced(exchange))
    return;
  const std::string rest = exchange->Request().path.substr(std::string("/weights/").size());
  const auto slash = rest.find('/');
  Weights& weights = m_weights[rest.substr(0, slash)];
  const std::string part = rest.substr(slash + 1);
  if (part == "manifest")
    weights.manifest = exchange->Request().body;
  else
    weights.pieces[static_cast<std::uint32_t>(ToNumber(part.substr(part.find('/') + 1)))] =
        exchange->Request().body;
  exchange->Reply(200, JSON_TYPE, "{}");
}

void EngineStandin::HandleLoad(const Exchange& exchange)
{
  if (m_faults.hold_loads == 0)
    return TakeLoad(exchange);
  // It counts when it is released, also if its sender has given it up by then.
  --m_faults.hold_loads;
  m_held_loads.push_back(exchange);
}

void EngineStandin::TakeLoad(const Exchange& exchange)
{
  if (IsFenced(exchange))
    return;
  const json order = Common::ParseJsonOrDiscard(exchange->Request().body);
  const std::string version = order.value("version", "");
  if (m_faults.refuse_loads > 0)
  {
    --m_faults.refuse_loads;
    return exchange->Reply(500, JSON_TYPE, "{}");
  }
  const Weights& weights = m_weights[version];
  const auto manifest = Distribution::DecodeManifest(weights.manifest);
  const auto* known = std::get_if<Distribution::Manifest>(&manifest);
  bool is_whole = known && Common::Sha256(weights.manifest).ToHex() == version &&
                  weights.pieces.size() == known->PieceCount();
  for (std::uint32_t piece = 0; is_whole && piece < known->PieceCount(); ++piece)
  {
    if (Common::Sha256(weights.pieces.at(piece)) != known->pieces[piece])
    {
      ++m_corrupt_pieces_taken;
      is_whole = false;
    }
  }
  if (!is_whole)
    return exchange->Reply(422, JSON_TYPE, R"({"error":"the weights are not whole"})");
  m_loaded = version;
  m_model = order.value("model", "");
  m_loads.push_back(version);
  // The pieces of other versions are not needed any more; running streams keep their name only.
  if (!m_config.keeps_weights)
    std::erase_if(m_weights, [&](const auto& entry) { return entry.first != version; });
  exchange->Reply(200, JSON_TYPE, "{}");
}

void EngineStandin::HandleCompletion(const Exchange& exchange)
{
  const json body = Common::ParseJsonOrDiscard(exchange->Request().body);
  if (m_loaded.empty() || !body.is_object())
    return exchange->Reply(503, JSON_TYPE, R"({"error":"no model is loaded"})");
  const auto stream = std::make_shared<Stream>();
  stream->exchange = exchange;
  stream->version = m_loaded;
  stream->organisation = exchange->Request().Header("holdpost-organisation");
  stream->request = exchange->Request().Header("holdpost-request");
  stream->count = body.value("max_tokens", 16);
  stream->is_event_stream = body.value("stream", false);
  ++m_runs[stream->request];
  if (m_faults.oversize_answers > 0)
  {
    --m_faults.oversize_answers;
    stream->count = 10000000;
  }
  exchange->StartStream(
      200, {{"Content-Type", stream->is_event_stream ? "text/event-stream" : "application/json"},
            {"Holdpost-Version", stream->version}});
  if (!stream->is_event_stream)
    exchange->SendChunk(R"({"choices":[{"text":")");
  SendToken(stream);
}

void EngineStandin::SendToken(const std::shared_ptr<Stream>& stream)
{
  const Exchange& exchange = stream->exchange;
  if (!exchange->IsOpen())
    return;
  if (stream->next == stream->count)
  {
    exchange->SendChunk(stream->is_event_stream ? "data: [DONE]\n\n" : "\"}]}");
    exchange->EndStream();
    return;
  }
  if (stream->next == stream->count / 2 && m_faults.cut_answers > 0)
  {
    --m_faults.cut_answers;
    return exchange->Cut();
  }
  if (stream->next == stream->count / 2 && m_faults.stall_answers > 0)
  {
    --m_faults.stall_answers;
    return;
  }
  const std::string text = fmt::format("{}/{}/{}/{} ", stream->version.substr(0, 8),
                                       stream->organisation, stream->request, stream->next++);
  exchange->SendChunk(
      stream->is_event_stream
          ? fmt::format("data: {}\n\n", json{{"choices", {{{"text", text}}}}}.dump())
          : text);
  m_loop.After(m_config.token_time, [this, stream] { SendToken(stream); });
}

void EngineStandin::HandleFaults(const Exchange& exchange)
{
  const json faults = Common::ParseJsonOrDiscard(exchange->Request().body);
  if (!faults.is_object())
    return ReplyError(*exchange, {ErrorKind::BadRequest, "the body is no JSON object"});
  m_faults.cut_answers = faults.value("cut_answers", m_faults.cut_answers);
  m_faults.refuse_loads = faults.value("refuse_loads", m_faults.refuse_loads);
  m_faults.stall_answers = faults.value("stall_answers", m_faults.stall_answers);
  m_faults.oversize_answers = faults.value("oversize_answers", m_faults.oversize_answers);
  m_faults.hold_loads = faults.value("hold_loads", m_faults.hold_loads);
  if (faults.value("release_loads", false))
  {
    for (const Exchange& held : std::exchange(m_held_loads, {}))
      TakeLoad(held);
  }
  exchange->Reply(200, JSON_TYPE, "{}");
}

void EngineStandin::HandleStats(const Exchange& exchange)
{
  json runs = json::object();
  for (const auto& [request, count] : m_runs)
    runs[request] = count;
  exchange->Reply(200, JSON_TYPE,
                  json{{"loaded", m_loaded},
                       {"loads", m_loads},
                       {"fence", m_newest_order.first},
                       {"fenced", m_fenced},
                       {"corrupt_pieces_taken", m_corrupt_pieces_taken},
                       {"loads_held", m_held_loads.size()},
                       {"runs", runs}}
                      .dump());
}
} // namespace Holdpost::Standin
