// SPDX-License-Identifier: Apache-2.0
// Two gateways and two plain runners serve requests. Then one entry of another writer stands on the
// list of runners: JSON of under 262,144 bytes with a field that no page names and that holds
// nested lists. It names no runner, and the other entries hold. The platform starts again what
// ends.
#include "Harness.h"

using namespace Review;

static constexpr int GATEWAYS = 2;
static constexpr std::size_t RECORD_BYTES = 262144;
static constexpr std::size_t DEPTH = 131000; // levels
static constexpr double FAULT_AT_S = 5;
static constexpr double END_S = 25;
static constexpr int OWN_ENDS = 3;

int main(int argc, char** argv)
{
  signal(SIGPIPE, SIG_IGN);
  const char* trouble = getenv("TROUBLE");
  const bool has_trouble = !trouble || std::string(trouble) != "0";
  Record record(argc > 1 ? argv[1] : "record.txt");
  const std::string folder = TemporaryFolder();
  Store store(Host(250));
  store.Put("keyed.op", "config", PlainConfig("idempotent", 2000));
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < 2; ++i)
  {
    runners.push_back(std::make_unique<Runner>(store, "i-" + std::to_string(i), Host(200 + i),
                                               "files",
                                               [](const Message&)
                                               {
                                                 SleepMs(20);
                                                 return std::string(800, 'a');
                                               }));
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < GATEWAYS; ++i)
  {
    gateways.push_back(
        std::make_unique<Gateway>(folder, i + 1, store.At(), "\"" + Host(1) + ":8000\""));
    gateways[i]->Start();
  }
  for (const auto& gateway : gateways)
  {
    if (!WaitReady(*gateway, 10))
    {
      record.Line("%s is not ready", gateway->Name().c_str());
      return 2;
    }
  }
  SleepMs(500);
  const double began = Now();
  int sent = 0, served_before = 0, served_after = 0, sent_after = 0;
  std::vector<int> ends(GATEWAYS, 0);
  std::vector<double> start_at(GATEWAYS, -1);
  bool is_written = false;
  while (Now() < began + END_S)
  {
    if (!is_written && Now() > began + FAULT_AT_S)
    {
      is_written = true;
      if (has_trouble)
      {
        const std::string value = std::string(DEPTH, '[') + std::string(DEPTH, ']');
        if (value.size() + 16 > RECORD_BYTES)
          return 2;
        store.Put("keyed.servers", "other-1", value);
        record.Line("another writer's entry servers/other-1 is written, %zu bytes", value.size());
      }
    }
    for (int i = 0; i < GATEWAYS; ++i)
    {
      Gateway& gateway = *gateways[i];
      if (const auto status = gateway.Ended())
      {
        ++ends[i];
        start_at[i] = Now() + 0.5;
        record.Line("%s ended by itself: %s %d (time %d)", gateway.Name().c_str(),
                    WIFSIGNALED(*status) ? "signal" : "exit code",
                    WIFSIGNALED(*status) ? WTERMSIG(*status) : WEXITSTATUS(*status), ends[i]);
      }
      if (gateway.Pid() <= 0 && Now() >= start_at[i])
      {
        gateway.Start();
        record.Line("%s is started again", gateway.Name().c_str());
      }
      const std::string id = "r-" + std::to_string(++sent);
      sent_after += is_written ? 1 : 0;
      const int fd = Connect(gateway.Front());
      Message answer;
      if (fd >= 0)
      {
        const timeval most = {2, 0};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof(most));
        SendAll(fd, Request(id, 2000, "text"));
        Reader reader(fd);
        reader.Read(&answer);
        close(fd);
      }
      const bool is_served = answer.is_whole && answer.Status() == 200;
      (is_written ? served_after : served_before) += is_served ? 1 : 0;
      if (!is_served)
        record.Line("%s to %s: %s", id.c_str(), gateway.Name().c_str(),
                    fd < 0                 ? "no connection"
                    : answer.first.empty() ? "no answer"
                                           : answer.first.substr(0, 12).c_str());
    }
    SleepMs(100);
  }
  int machines = 0;
  for (int i = 0; i < GATEWAYS; ++i)
  {
    record.Line("%s ended by itself %d times", gateways[i]->Name().c_str(), ends[i]);
    machines += ends[i] >= OWN_ENDS ? 1 : 0;
    gateways[i]->Kill();
  }
  std::filesystem::remove_all(folder);
  record.Line("sent %d; served %d before the entry, and %d of %d after it", sent, served_before,
              served_after, sent_after);
  const bool is_broken = machines >= 2;
  record.Line("processes ended by themselves %d times or more on %d machines: Fault %s", OWN_ENDS,
              machines, is_broken ? "is broken" : "holds");
  _exit(served_before == 0 ? 2 : is_broken ? 1 : 0);
}
