// SPDX-License-Identifier: Apache-2.0
#include "UnitTests/Process/Hall.h"

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "Common/Hash.h"
#include "Common/YamlReader.h"

namespace Holdpost::Process
{
using Common::Address;
using Common::Error;
using Common::HttpReply;
using Common::Result;
using nlohmann::json;

static const std::string LISTEN = "127.0.0.1:0";
static const std::string CREDENTIAL = "credential-of-bygg";
// Long, as it is no measurement: a slow machine must come to the same verdict.
static constexpr auto WAIT_MOST = std::chrono::seconds(60);

Daemon::Daemon(const std::string& program, const std::vector<std::string>& arguments,
               const std::string& log_file)
    : ChildProcess(program, arguments, "", log_file)
{
  const std::string line = ReadLine();
  REQUIRE_MESSAGE(!line.empty(), program, " did not start, see ", log_file);
  std::istringstream words(line);
  for (std::string word; words >> word;)
  {
    const auto equals = word.find('=');
    if (equals == std::string::npos)
      continue;
    if (const auto address = Common::ParseAddress(word.substr(equals + 1)))
      m_addresses[word.substr(0, equals)].push_back(*address);
  }
}

std::shared_ptr<Result<HttpReply>> Caller::Start(Common::HttpCall call)
{
  auto reply = std::make_shared<Result<HttpReply>>(Error{Common::ErrorKind::Internal, "open"});
  ++m_open;
  m_http.Start(std::move(call), {[this, reply](Result<HttpReply> result)
                                 {
                                   *reply = std::move(result);
                                   if (--m_open == 0 && m_is_waiting)
                                     m_loop.Stop();
                                 }});
  return reply;
}

void Caller::Finish()
{
  m_is_waiting = true;
  if (m_open > 0)
    m_loop.Run();
  m_is_waiting = false;
}

Result<HttpReply> Caller::Call(Common::HttpCall call)
{
  // On a loop of its own, so that calls that were started before need not end first.
  Caller alone;
  const auto reply = alone.Start(std::move(call));
  alone.Finish();
  return *reply;
}

Result<HttpReply> Caller::Get(const Address& address, const std::string& path)
{
  Common::HttpCall call;
  call.to = address;
  call.path = path;
  return Call(std::move(call));
}

json Caller::Json(const Address& address, const std::string& path)
{
  const auto reply = Get(address, path);
  const auto* whole = std::get_if<HttpReply>(&reply);
  return whole ? json::parse(whole->body, nullptr, false) : json(nullptr);
}

Hall::Hall(int agents, int entries, const json& platform_extra)
{
  std::string pattern = "/tmp/holdpost-test-XXXXXX";
  REQUIRE(mkdtemp(pattern.data()) != nullptr);
  m_dir = pattern;
  std::filesystem::create_directory(Path("weights"));
  json platform = {{"listen", LISTEN}, {"weights_dir", Path("weights")}};
  platform.update(platform_extra.is_null() ? json::object() : platform_extra);
  Start("platform", "holdpost-standin", "platform", platform);
  for (int i = 1; i <= agents; ++i)
  {
    const std::string number = std::to_string(i);
    StartEngine("engine-" + number);
    StartAgent("agent-" + number, "engine-" + number, "target-" + number);
  }
  for (int i = 1; i <= entries; ++i)
    StartEntry("entry-" + std::to_string(i));
}

Hall::~Hall()
{
  m_daemons.clear();
  if (m_keeps_files)
    return;
  std::error_code ignored;
  std::filesystem::remove_all(m_dir, ignored);
}

Daemon& Hall::Start(const std::string& name, const std::string& program,
                    const std::string& subcommand, const json& config)
{
  const std::string file = Path(fmt::format("{}-{}.yaml", name, ++m_starts));
  std::ofstream(file) << config.dump(); // JSON is YAML
  std::vector<std::string> arguments;
  if (!subcommand.empty())
    arguments.push_back(subcommand);
  arguments.insert(arguments.end(), {"--config", file});
  m_daemons[name] = std::make_unique<Daemon>(program, arguments, Path(name + ".log"));
  return Get(name);
}

json Hall::ConfigOf(const std::string& name, const json& own, std::size_t platform_listener) const
{
  const Address platform =
      m_way_to_platform.value_or(m_daemons.at("platform")->AllAt("address").at(platform_listener));
  json config = {{"instance", name},
                 {"hall", "oslo-a"},
                 {"listen", LISTEN},
                 {"admin_listen", LISTEN},
                 {"platform", {platform.ToString()}}};
  config.update(own);
  return config;
}

void Hall::List(const std::string& name, const std::string& role)
{
  Common::HttpCall call;
  call.to = Get("platform").At("address");
  call.method = "PUT";
  call.path = "/instances/" + name;
  call.body = json{{"hall", "oslo-a"},
                   {"role", role},
                   {"pool", role == "agent" ? "runners" : ""},
                   {"address", Get(name).At("rpc").ToString()}}
                  .dump();
  REQUIRE(Common::Succeeded(m_caller.Call(std::move(call))));
}

void Hall::StartEngine(const std::string& name, const json& extra)
{
  json config = {{"listen", LISTEN}, {"token_ms", 5}};
  config.update(extra.is_null() ? json::object() : extra);
  Start(name, "holdpost-standin", "engine", config);
}

void Hall::StartAgent(const std::string& name, const std::string& engine,
                      const std::string& target_name, bool checks_fence,
                      std::size_t platform_listener)
{
  const json own = {{"pool", "runners"},
                    {"target", Get(engine).At("address").ToString()},
                    {"target_name", target_name},
                    {"target_checks_fence", checks_fence}};
  Start(name, "holdpost-agent", "", ConfigOf(name, own, platform_listener));
  List(name, "agent");
}

void Hall::StartAgentOf(const Address& engine, const std::string& name,
                        const std::string& target_name)
{
  const json own = {{"pool", "runners"},
                    {"target", engine.ToString()},
                    {"target_name", target_name},
                    {"target_checks_fence", true}};
  Start(name, "holdpost-agent", "", ConfigOf(name, own));
  List(name, "agent");
}

void Hall::StartEntry(const std::string& name)
{
  Start(name, "holdpost-entry", "", ConfigOf(name, {{"caller_listen", LISTEN}}));
  List(name, "entry");
}

std::string Hall::MakeWeights(const std::string& name, std::size_t bytes, std::size_t piece_bytes)
{
  std::mt19937_64 random(Common::StableHash(name));
  std::string data(bytes, '\0');
  for (char& byte : data)
    byte = static_cast<char>(random());
  std::ofstream(Path(name), std::ios::binary) << data;
  const auto [code, output] =
      RunProgram("holdpost", {"manifest", Path(name), "--name", name, "--piece-bytes",
                              std::to_string(piece_bytes), "--out", Path("weights")});
  REQUIRE(code == 0);
  return output.substr(0, output.find('\n'));
}

int Hall::Publish(const std::string& version, const json& root, const json& service)
{
  json root_settings = {{"heartbeat_ms", 200}, {"dead_after_ms", 1500}};
  root_settings.update(root.is_null() ? json::object() : root);
  json service_settings = {{"pool", "runners"}, {"model", "assist-model"}, {"version", version}};
  service_settings.update(service.is_null() ? json::object() : service);
  const json tree = {
      {"nodes",
       {{{"path", "/"}, {"settings", root_settings}},
        {{"path", "/ost"}},
        {{"path", "/ost/oslo-a"}},
        {{"path", "/ost/oslo-a/assist"}, {"settings", service_settings}},
        {{"path", "/*/*/*/bygg"},
         {"settings", {{"credential_sha256", Common::Sha256(CREDENTIAL).ToHex()}}}}}}};
  std::ofstream(Path("tree.yaml")) << tree.dump();
  return RunProgram(
             "holdpost",
             {"publish", Path("tree.yaml"), "--platform", Get("platform").At("address").ToString()},
             Path("publish.log"))
      .first;
}

void Hall::SetFaults(const std::string& daemon, const json& faults)
{
  Common::HttpCall call;
  call.to = Get(daemon).At("address");
  call.method = "POST";
  call.path = "/faults";
  call.body = faults.dump();
  REQUIRE(Common::Succeeded(m_caller.Call(std::move(call))));
}

json Hall::Status(const std::string& name)
{
  return m_caller.Json(Get(name).At("admin"), "/status");
}

json Hall::Stats(const std::string& name)
{
  return m_caller.Json(Get(name).At("address"), "/stats");
}

bool Hall::Serves(const std::string& agent, const std::string& version)
{
  const json status = Status(agent);
  return status.is_object() && status["ready"] == true && status["serving_version"] == version;
}

double Hall::CopiesFetched(const std::string& version)
{
  return Stats("platform")["versions"][version]["copies"];
}

Common::HttpCall Hall::Completion(const std::string& entry, int tokens) const
{
  Common::HttpCall call;
  call.to = m_daemons.at(entry)->At("caller");
  call.method = "POST";
  call.path = "/v1/completions";
  call.headers = {{"Authorization", "Bearer " + CREDENTIAL}, {"Content-Type", "application/json"}};
  call.body =
      json{{"model", "assist-model"}, {"prompt", "p"}, {"max_tokens", tokens}, {"stream", true}}
          .dump();
  call.idle_timeout = Common::Milliseconds(60000);
  return call;
}

void Hall::WaitUntil(const std::string& what, const std::function<bool()>& condition)
{
  const auto deadline = std::chrono::steady_clock::now() + WAIT_MOST;
  while (!condition())
  {
    if (std::chrono::steady_clock::now() >= deadline)
    {
      m_keeps_files = true;
      FAIL("did not come true: ", what, "; logs are kept in ", m_dir);
    }
    m_caller.RunDue();
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

void Hall::WaitServing(const std::vector<std::string>& agents, const std::string& version)
{
  for (const std::string& agent : agents)
    WaitUntil(fmt::format("{} serves {}", agent, version), [&] { return Serves(agent, version); });
}
} // namespace Holdpost::Process
