// SPDX-License-Identifier: Apache-2.0
// One hall with two gateways, six plain runners that answer by streams, and 39 clients that send
// documents of 2,900,000 bytes on kept connections, each every two seconds. One gateway loses
// power for 3.5 s, and its clients go to the other one. The platform kills what goes over MemoryMb
// and starts it again.
#include "Harness.h"

using namespace Review;

static constexpr int CLIENTS = 39;               // of bergen-a
static constexpr double MEMORY_MB = 260;         // MemoryMb of a front machine
static constexpr std::size_t DOCUMENT = 2900000; // MaxBodyBytes is 4,194,304
static constexpr double PERIOD_S = 2.0;
static constexpr double FAULT_AT_S = 8.0;
static constexpr double DOWN_S = 3.5;
static constexpr double END_S = 24.0;
static constexpr int DEADLINE_MS = 6000; // the route's TimeoutMs, too
static constexpr double CONTACT_S = 3.0;
static constexpr int CUT_MOST = 3;

// What the platform does: it kills and starts processes, and asks gateways whether they are ready.
struct Machine
{
  std::unique_ptr<Gateway> gateway;
  std::mutex mutex;
  std::atomic<bool> takes_clients = false;
  std::atomic<bool> has_power = true;
  double disturbed_at = -100; // by what this script did to it on purpose
  double start_at = -1;
  double most_mb = 0;
  int own_ends = 0;
};

static std::vector<std::unique_ptr<Machine>> machines;
static std::atomic<bool> is_over = false;

static void Watch(Machine& machine, Record& record)
{
  double asked_at = 0;
  int missed = 2;
  while (!is_over)
  {
    SleepMs(20);
    {
      const std::lock_guard<std::mutex> lock(machine.mutex);
      Gateway& gateway = *machine.gateway;
      const double mb = gateway.Pid() > 0 ? gateway.ResidentMb() : 0;
      machine.most_mb = std::max(machine.most_mb, mb);
      if (mb > MEMORY_MB)
      {
        record.Line("%s uses %.1f MB of %.0f: the platform kills it", gateway.Name().c_str(), mb,
                    MEMORY_MB);
        gateway.Kill();
        ++machine.own_ends;
        machine.start_at = Now() + 0.3;
      }
      else if (const auto status = gateway.Ended())
      {
        record.Line("%s ended by itself, status %d", gateway.Name().c_str(), *status);
        ++machine.own_ends;
        machine.start_at = Now() + 0.3;
      }
      if (machine.has_power && gateway.Pid() <= 0 && machine.start_at > 0 &&
          Now() >= machine.start_at)
      {
        gateway.Start();
        machine.start_at = -1;
        record.Line("%s is started again", gateway.Name().c_str());
      }
    }
    if (Now() - asked_at < 1)
      continue;
    asked_at = Now();
    missed = machine.gateway->IsReady() ? 0 : missed + 1;
    machine.takes_clients = missed < 2;
  }
}

// The platform hands a new connection to a ready gateway by a hash of the client.
static int ChooseFor(int client)
{
  const int first = client % 2;
  if (machines[first]->takes_clients || !machines[1 - first]->takes_clients)
    return first;
  return 1 - first;
}

static std::mutex runs_mutex;
static std::map<std::string, double> runs; // when the request began at a runner

int main(int argc, char** argv)
{
  signal(SIGPIPE, SIG_IGN);
  const char* trouble = getenv("TROUBLE");
  const bool has_trouble = !trouble || std::string(trouble) != "0";
  Record record(argc > 1 ? argv[1] : "record.txt");
  const std::string folder = TemporaryFolder();
  Store store(Host(250));
  store.Put("keyed.op", "config", PlainConfig("streaming", DEADLINE_MS));
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < 6; ++i)
  {
    runners.push_back(
        std::make_unique<Runner>(store, "i-" + std::to_string(i), Host(200 + i), "files",
                                 [](const Message& request)
                                 {
                                   {
                                     const std::lock_guard<std::mutex> lock(runs_mutex);
                                     runs[request.Field("x-request-id")] = Now();
                                   }
                                   return std::string();
                                 }));
    // The first event within the objective of 500 ms, then 19 more, five tokens apart.
    runners.back()->SetStream(400, 20, 46);
  }
  const std::string seeds = "\"" + Host(1) + ":8000\", \"" + Host(2) + ":8000\"";
  for (int i = 0; i < 2; ++i)
  {
    machines.push_back(std::make_unique<Machine>());
    machines[i]->gateway = std::make_unique<Gateway>(folder, i + 1, store.At(), seeds);
    machines[i]->gateway->Start();
  }
  for (const auto& machine : machines)
  {
    if (!WaitReady(*machine->gateway, 10))
    {
      record.Line("%s is not ready", machine->gateway->Name().c_str());
      return 2;
    }
    machine->takes_clients = true;
  }
  std::vector<std::thread> threads;
  for (const auto& machine : machines)
    threads.emplace_back([&] { Watch(*machine, record); });

  const double began = Now();
  const std::string document(DOCUMENT, 'd');
  std::atomic<int> sent = 0, served = 0, refused = 0, cut = 0, unconnected = 0;
  for (int client = 0; client < CLIENTS; ++client)
  {
    threads.emplace_back(
        [&, client]
        {
          double next = began + 0.5 + PERIOD_S * client / CLIENTS;
          int fd = -1, at = 0, on_connection = 0;
          std::unique_ptr<Reader> reader;
          for (int number = 0; next < began + END_S;
               ++number, next = std::max(next + PERIOD_S, Now()))
          {
            while (Now() < next)
              SleepMs(5);
            if (fd < 0)
            {
              at = ChooseFor(client);
              fd = Connect(machines[at]->gateway->Front());
              on_connection = 0;
              if (fd < 0)
              {
                ++unconnected;
                continue;
              }
              const timeval most = {6, 0};
              setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof(most));
              setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &most, sizeof(most));
              reader = std::make_unique<Reader>(fd);
            }
            const std::string id = "r-" + std::to_string(client) + "-" + std::to_string(number);
            const double sent_at = Now();
            ++sent;
            const bool is_kept = ++on_connection > 1;
            Message answer;
            const bool is_sent = SendAll(fd, Request(id, DEADLINE_MS, document));
            const bool is_answered = is_sent && reader->Read(&answer) && answer.is_whole;
            if (is_answered && answer.Status() == 200)
              ++served;
            else if (is_answered)
            {
              ++refused;
              record.Line("%s: %d from %s", id.c_str(), answer.Status(),
                          machines[at]->gateway->Name().c_str());
            }
            else
            {
              bool has_run = false;
              {
                const std::lock_guard<std::mutex> lock(runs_mutex);
                has_run = runs.contains(id);
              }
              Machine& machine = *machines[at];
              double disturbed_at = 0;
              {
                const std::lock_guard<std::mutex> lock(machine.mutex);
                disturbed_at = machine.disturbed_at;
              }
              // In touch: nothing was done to the machine from ContactMs before the request.
              const bool is_in_touch = disturbed_at < sent_at - CONTACT_S;
              // Nothing of an answer came, and the client's time was not over.
              const bool has_no_answer =
                  answer.first.empty() && Now() < sent_at + DEADLINE_MS / 1000.0;
              const bool is_counted = is_kept && has_run && is_in_touch && has_no_answer;
              cut += is_counted ? 1 : 0;
              record.Line("%s: %s from %s, connection ended (%s); sent at %.3f, %s, %s%s",
                          id.c_str(), answer.first.empty() ? "no answer" : "part of an answer",
                          machine.gateway->Name().c_str(), reader->End(), sent_at,
                          is_kept ? "kept connection" : "new connection",
                          has_run ? "handed to a runner" : "not handed to a runner",
                          is_counted    ? ": COUNTED"
                          : is_in_touch ? ""
                                        : ", machine not in touch");
            }
            if (!is_answered || answer.Field("connection") == "close")
            {
              close(fd);
              fd = -1;
            }
          }
          if (fd >= 0)
            close(fd);
        });
  }
  while (Now() < began + FAULT_AT_S)
    SleepMs(5);
  for (const auto& machine : machines)
    record.Line("%s has used %.1f MB at most", machine->gateway->Name().c_str(), machine->most_mb);
  if (has_trouble)
  {
    Machine& machine = *machines[0];
    {
      const std::lock_guard<std::mutex> lock(machine.mutex);
      machine.has_power = false;
      machine.disturbed_at = Now() + DOWN_S;
      machine.gateway->Kill();
      machine.start_at = Now();
    }
    record.Line("node_kill: %s is killed, and dark for %.1f s", machine.gateway->Name().c_str(),
                DOWN_S);
    SleepMs(static_cast<int>(DOWN_S * 1000));
    machine.has_power = true;
  }
  while (Now() < began + END_S + 3)
    SleepMs(20);
  is_over = true;
  for (std::thread& thread : threads)
    thread.join();
  int own_ends = 0;
  for (const auto& machine : machines)
  {
    record.Line("%s: %.1f MB at most, ended %d times over the limit",
                machine->gateway->Name().c_str(), machine->most_mb, machine->own_ends);
    own_ends += machine->own_ends;
    machine->gateway->Kill();
  }
  std::filesystem::remove_all(folder);
  record.Line(
      "sent %d, served %d, refused or failed %d, no connection %d; cut with no answer on a kept "
      "connection "
      "after the request was handed to a sound runner, by machines in touch: %d (3 are allowed)",
      sent.load(), served.load(), refused.load(), unconnected.load(), cut.load());
  const bool is_broken = cut > CUT_MOST;
  record.Line("%s", is_broken ? "LOST is broken" : "LOST holds");
  if (served == 0)
    _exit(2);
  _exit(is_broken ? 1 : 0);
}
