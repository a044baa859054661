// SPDX-License-Identifier: Apache-2.0
// What the review's scripts share: loopback sockets, a stand-in of the platform's store, a stand-in
// of a plain runner, and the real programs as child processes. Blocking sockets, one thread for
// each connection; nothing but the standard library and POSIX.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Review
{
using Clock = std::chrono::steady_clock;

inline double Now()
{
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void SleepMs(int ms)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// --- the record of a run ---

class Record
{
public:
  explicit Record(const std::string& file) : m_file(fopen(file.c_str(), "w")) {}
  void Line(const char* format, ...)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    va_list arguments;
    va_start(arguments, format);
    char text[2048];
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    fprintf(m_file, "%8.3f %s\n", Now(), text);
    fflush(m_file);
    printf("%8.3f %s\n", Now(), text);
    fflush(stdout);
  }

private:
  FILE* m_file;
  std::mutex m_mutex;
};

// --- sockets ---

struct Address
{
  std::string host;
  std::uint16_t port = 0;
  std::string Text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in Raw(const Address& address)
{
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &raw.sin_addr);
  return raw;
}

// A loopback address of this run's own.
inline std::string Host(int machine)
{
  const int run = getpid();
  return "127." + std::to_string(96 + run / 250 % 100) + "." + std::to_string(1 + run % 250) + "." +
         std::to_string(machine);
}

// A port that is free for TCP and UDP at the host.
inline std::uint16_t FreePort(const std::string& host)
{
  for (int i = 0; i < 100; ++i)
  {
    const int stream = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in raw = Raw({host, 0});
    socklen_t size = sizeof(raw);
    bind(stream, reinterpret_cast<sockaddr*>(&raw), size);
    getsockname(stream, reinterpret_cast<sockaddr*>(&raw), &size);
    const int datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const bool is_free = bind(datagrams, reinterpret_cast<sockaddr*>(&raw), size) == 0;
    close(stream);
    close(datagrams);
    if (is_free)
      return ntohs(raw.sin_port);
  }
  return 0;
}

inline int Listen(Address* address)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in raw = Raw(*address);
  socklen_t size = sizeof(raw);
  if (bind(fd, reinterpret_cast<sockaddr*>(&raw), size) != 0 || listen(fd, 512) != 0)
  {
    perror("listen");
    exit(2);
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&raw), &size);
  address->port = ntohs(raw.sin_port);
  return fd;
}

struct ConnectOptions
{
  int receive_buffer = 0;
  int segment = 0;
};

inline int Connect(const Address& address, const ConnectOptions& options = {})
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (options.receive_buffer > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer, sizeof(int));
  if (options.segment > 0)
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segment, sizeof(int));
  const sockaddr_in raw = Raw(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw)) != 0)
  {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool SendAll(int fd, std::string_view data)
{
  while (!data.empty())
  {
    const ssize_t count = send(fd, data.data(), data.size(), MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    data.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

// --- HTTP ---

struct Message
{
  std::string first; // the request line or the status line
  std::map<std::string, std::string> fields;
  std::string body;
  bool is_whole = false;

  std::string Field(const std::string& name) const
  {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  int Status() const { return first.size() > 12 ? atoi(first.c_str() + 9) : 0; }
  std::string Path() const
  {
    const std::size_t begin = first.find(' ') + 1;
    return first.substr(begin, first.find(' ', begin) - begin);
  }
};

// Reads messages from a connection, whatever the pieces in which they come.
class Reader
{
public:
  explicit Reader(int fd) : m_fd(fd) {}
  // Waits before each read: a peer on a slow link.
  void SetPace(std::function<void(std::size_t)> pace) { m_pace = std::move(pace); }
  const char* End() const { return m_end; }

  bool ReadHead(Message* message)
  {
    std::size_t end = 0;
    while ((end = m_data.find("\r\n\r\n")) == std::string::npos)
    {
      if (!More())
        return false;
    }
    std::istringstream lines(m_data.substr(0, end));
    m_data.erase(0, end + 4);
    std::string line;
    std::getline(lines, message->first);
    while (std::getline(lines, line))
    {
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      std::string name = line.substr(0, colon);
      for (char& c : name)
        c = static_cast<char>(tolower(c));
      std::string value = line.substr(line.find_first_not_of(' ', colon + 1));
      while (!value.empty() && value.back() == '\r')
        value.pop_back();
      message->fields[name] = value;
    }
    return true;
  }
  bool Read(Message* message)
  {
    *message = {};
    if (!ReadHead(message))
      return false;
    if (message->Field("transfer-encoding") == "chunked")
      return message->is_whole = ReadChunks(&message->body);
    const std::size_t length = strtoull(message->Field("content-length").c_str(), nullptr, 10);
    while (m_data.size() < length)
    {
      if (!More())
      {
        message->body = m_data;
        return true;
      }
    }
    message->body = m_data.substr(0, length);
    m_data.erase(0, length);
    message->is_whole = true;
    return true;
  }

private:
  bool More()
  {
    static thread_local char buffer[16384];
    const ssize_t count = recv(m_fd, buffer, sizeof(buffer), 0);
    if (count <= 0)
    {
      m_end = count == 0 ? "closed" : strerror(errno);
      return false;
    }
    m_data.append(buffer, static_cast<std::size_t>(count));
    if (m_pace)
      m_pace(static_cast<std::size_t>(count));
    return true;
  }
  bool ReadChunks(std::string* body)
  {
    for (;;)
    {
      std::size_t end = 0;
      while ((end = m_data.find("\r\n")) == std::string::npos)
      {
        if (!More())
          return false;
      }
      const std::size_t size = strtoull(m_data.c_str(), nullptr, 16);
      while (m_data.size() < end + 2 + size + 2)
      {
        if (!More())
        {
          body->append(m_data, std::min(end + 2, m_data.size()));
          return false;
        }
      }
      body->append(m_data, end + 2, size);
      m_data.erase(0, end + 2 + size + 2);
      if (size == 0)
        return true;
    }
  }

  int m_fd;
  std::string m_data;
  const char* m_end = "";
  std::function<void(std::size_t)> m_pace;
};

inline std::string Answer(int status, const std::string& fields, const std::string& body)
{
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Serves each connection in a thread of its own until the process ends.
class Server
{
public:
  using Handler = std::function<void(const Message& request, int fd)>;
  Server(Address address, Handler handler)
      : m_address(std::move(address)), m_handler(std::move(handler))
  {
    m_fd = Listen(&m_address);
    std::thread([this] { Accept(); }).detach();
  }
  const Address& At() const { return m_address; }

private:
  void Accept()
  {
    for (;;)
    {
      const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread(
          [this, fd]
          {
            Reader reader(fd);
            Message request;
            while (reader.Read(&request) && request.is_whole)
              m_handler(request, fd);
            close(fd);
          })
          .detach();
    }
  }

  Address m_address;
  Handler m_handler;
  int m_fd = -1;
};

inline std::string Query(const std::string& path, const std::string& name)
{
  for (const char* mark : {"?", "&"})
  {
    const std::size_t at = path.find(mark + name + "=");
    if (at != std::string::npos)
    {
      const std::size_t begin = at + name.size() + 2;
      return path.substr(begin, path.find('&', begin) - begin);
    }
  }
  return "";
}

inline std::string Base64(const std::string& bytes)
{
  static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3)
  {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8 | (i + k < bytes.size() ? static_cast<std::uint8_t>(bytes[i + k]) : 0);
    for (std::size_t k = 0; k < 4; ++k)
      text += i + k > bytes.size() ? '=' : letters[group >> (18 - 6 * k) & 63];
  }
  return text;
}

// --- the platform's store: the calls that gateways and sidecars make of it ---

class Store
{
public:
  explicit Store(const std::string& host)
      : m_server({host, 0}, [this](const Message& request, int fd) { Handle(request, fd); })
  {
  }
  const Address& At() const { return m_server.At(); }

  void Put(const std::string& topic, const std::string& key, const std::string& value)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_topics[topic].push_back({key, value});
    m_changed.notify_all();
  }

private:
  struct Entry
  {
    std::string key;
    std::string value;
  };
  static std::string BigEndian(std::uint64_t number, int bytes)
  {
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
      text.push_back(static_cast<char>(number >> (8 * i) & 0xff));
    return text;
  }
  void Handle(const Message& request, int fd)
  {
    const std::string path = request.Path();
    const std::string topic = Query(path, "topic");
    std::unique_lock<std::mutex> lock(m_mutex);
    std::vector<Entry>& entries = m_topics[topic];
    std::string answer;
    if (path.starts_with("/holdpost/log-read"))
    {
      const std::size_t from = strtoull(Query(path, "From").c_str(), nullptr, 10);
      const int wait = atoi(Query(path, "WaitMs").c_str());
      m_changed.wait_for(lock, std::chrono::milliseconds(wait),
                         [&] { return entries.size() > from; });
      std::string body = BigEndian(entries.size(), 8) + BigEndian(0, 8);
      // 1,024 KB an answer, as the pages say.
      for (std::size_t i = from; i < entries.size() && body.size() < (1024 << 10) - (256 << 10);
           ++i)
      {
        const std::string record =
            BigEndian(entries[i].key.size(), 1) + entries[i].key + entries[i].value;
        body += BigEndian(record.size(), 4) + record;
      }
      answer = Answer(200, "", body);
    }
    else if (path.starts_with("/holdpost/log-newest"))
    {
      std::map<std::string, std::string> newest;
      for (const Entry& entry : entries)
        newest[entry.key] = entry.value;
      const std::string after = Query(path, "SinceRev");
      std::string items;
      bool has_more = false;
      int count = 0;
      for (auto entry = after.empty() ? newest.begin() : newest.upper_bound(after);
           entry != newest.end(); ++entry)
      {
        if (entry->second.empty())
          continue;
        if (++count > 500 || items.size() > (700U << 10))
        {
          has_more = true;
          break;
        }
        items += std::string(items.empty() ? "" : ",") + "{\"PrivateKey\":\"" + entry->first +
                 "\",\"Value\":\"" + Base64(entry->second) + "\"}";
      }
      answer = Answer(200, "Content-Type: application/json\r\n",
                      "{\"Items\":[" + items + "],\"more\":" + (has_more ? "true" : "false") +
                          ",\"end\":" + std::to_string(entries.size()) + "}");
    }
    else if (path.starts_with("/holdpost/log-append"))
    {
      const std::size_t offset = entries.size();
      std::string_view body = request.body;
      while (body.size() > 4)
      {
        std::size_t length = 0;
        for (int i = 0; i < 4; ++i)
          length = length << 8 | static_cast<std::uint8_t>(body[static_cast<std::size_t>(i)]);
        const std::string_view record = body.substr(4, length);
        const std::size_t key = static_cast<std::uint8_t>(record[0]);
        entries.push_back(
            {std::string(record.substr(1, key)), std::string(record.substr(1 + key))});
        body.remove_prefix(4 + length);
      }
      m_changed.notify_all();
      answer = Answer(200, "Content-Type: application/json\r\n",
                      "{\"offset\":" + std::to_string(offset) +
                          ",\"end\":" + std::to_string(entries.size()) + "}");
    }
    else
      answer = Answer(404, "", "");
    lock.unlock();
    SendAll(fd, answer);
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::vector<Entry>> m_topics;
  Server m_server;
};

// --- a plain runner ---

// Answers requests with what `work` returns, and writes its entry into the store each 1.2 s.
class Runner
{
public:
  using Work = std::function<std::string(const Message& request)>;
  Runner(Store& store, std::string id, const std::string& host, std::string service, Work work)
      : m_store(store), m_id(std::move(id)), m_service(std::move(service)), m_work(std::move(work)),
        m_server({host, 0}, [this](const Message& request, int fd) { Handle(request, fd); })
  {
    std::thread(
        [this]
        {
          for (int sequence = 1;; ++sequence)
          {
            m_store.Put(
                "keyed.servers", m_id,
                "{\"Service\":\"" + m_service + "\",\"Address\":\"" + m_server.At().Text() +
                    "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\","
                    "\"ColdLeftMs\":0,\"born\":1788408695000,\"Sequence\":" +
                    std::to_string(sequence) + "}");
            SleepMs(1200);
          }
        })
        .detach();
  }
  int Ran() const { return m_ran; }
  // Answers by a stream of events from now on.
  void SetStream(int first_ms, int events, int gap_ms)
  {
    m_first_ms = first_ms;
    m_events = events;
    m_gap_ms = gap_ms;
  }
  // Called with the id of each request when its answer was written whole.
  void SetOnAnswered(std::function<void(const std::string&)> called)
  {
    m_on_answered = std::move(called);
  }

private:
  void Handle(const Message& request, int fd)
  {
    const std::string echo = "X-Request-Id: " + request.Field("x-request-id") + "\r\n";
    if (request.Path() == "/health")
      return void(SendAll(fd, Answer(200, "X-Instance-Id: " + m_id + "\r\n", "")));
    if (request.Field("x-expect-instance") != m_id)
      return void(SendAll(fd, Answer(421, echo + "X-Instance-Id: " + m_id + "\r\n", "")));
    ++m_ran;
    const std::string body = m_work(request);
    if (m_events > 0)
      return Stream(request, echo, fd);
    const std::string id = request.Field("x-request-id");
    if (SendAll(fd, Answer(200, echo + "X-Server-Stamp: stamp-" + id + "\r\n", body)) &&
        m_on_answered)
      m_on_answered(id);
  }

  void Stream(const Message& request, const std::string& echo, int fd)
  {
    SleepMs(m_first_ms);
    std::string text = "HTTP/1.1 200 OK\r\n" + echo + "X-Server-Stamp: stamp-" +
                       request.Field("x-request-id") +
                       "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int event = 1; event <= m_events; ++event)
    {
      const std::string data =
          "id: " + std::to_string(event) + "\ndata: " + std::string(50, 'a') + "\n\n";
      char size[16];
      snprintf(size, sizeof(size), "%zx\r\n", data.size());
      text += size + data + "\r\n";
      if (!SendAll(fd, text))
        return;
      text.clear();
      SleepMs(m_gap_ms);
    }
    SendAll(fd, "0\r\n\r\n");
  }

  Store& m_store;
  std::string m_id;
  std::string m_service;
  Work m_work;
  std::atomic<int> m_ran = 0;
  int m_first_ms = 0;
  int m_events = 0;
  int m_gap_ms = 0;
  std::function<void(const std::string&)> m_on_answered;
  Server m_server;
};

// --- the real programs ---

// A gateway with the settings of the repository's template, started as the deploy file says.
class Gateway
{
public:
  Gateway(const std::string& folder, int machine, const Address& store, const std::string& seeds)
      : m_name("front-zone-a-" + std::to_string(machine)), m_folder(folder)
  {
    const std::string host = Host(machine);
    m_front = {host, FreePort(host)};
    m_ready = {host, FreePort(host)};
    std::ifstream file("platform/settings/gateway.yaml");
    std::ostringstream text;
    text << file.rdbuf();
    std::string settings = text.str();
    const std::string begin = "{{#Seeds}}";
    const std::string end = "{{/Seeds}}";
    const std::size_t at = settings.find(begin);
    settings.replace(at, settings.find(end) + end.size() - at, seeds);
    const std::map<std::string, std::string> values = {
        {"NodeName", m_name},
        {"Region", "region-a"},
        {"Zone", "zone-a"},
        {"Listen.Front", m_front.Text()},
        {"Listen.Ready", m_ready.Text()},
        {"Ip", host},
        {"InternalPorts.0", std::to_string(MESH_PORT)},
        {"Platform.Address", store.Text()},
        {"Bounds.version_ms", "8000"},
        {"Bounds.ContactMs", "3000"},
        {"Bounds.DrainMs", "2000"},
        {"Bounds.GraceS", "8"},
        {"Limits.LinkMbps", "1000.0"},
        {"Bounds.RetryBudgetRatio", "0.2"},
        {"Bounds.BudgetExtra", "102"},
        {"Bounds.BudgetWindowS", "10"},
    };
    for (const auto& [name, value] : values)
    {
      const std::string mark = "{{" + name + "}}";
      for (std::size_t gap; (gap = settings.find(mark)) != std::string::npos;)
        settings.replace(gap, mark.size(), value);
    }
    std::ofstream(SettingsFile()) << settings;
  }
  ~Gateway() { Kill(); }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  static constexpr int MESH_PORT = 27700;
  const std::string& Name() const { return m_name; }
  const Address& Front() const { return m_front; }
  pid_t Pid() const { return m_pid; }

  void Start()
  {
    const std::string variable = "HOLDPOST_NODE_FILE=" + SettingsFile();
    const std::string log = m_folder + "/" + m_name + ".log";
    m_pid = fork();
    if (m_pid != 0)
      return;
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    signal(SIGINT, SIG_DFL);
    prctl(PR_SET_PDEATHSIG, SIGKILL); // no process outlives the driver
    const char* arguments[] = {"target/bin/holdpost-platform", "gateway", nullptr};
    const char* path = "PATH=/usr/bin:/bin";
    const char* variables[] = {variable.c_str(), path, nullptr};
    execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(variables));
    _exit(127);
  }
  void Signal(int number) const
  {
    if (m_pid > 0)
      kill(m_pid, number);
  }
  // How the process ended, if it has ended since the last call.
  std::optional<int> Ended()
  {
    int status = 0;
    if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid)
      return std::nullopt;
    m_pid = -1;
    return status;
  }
  void Kill()
  {
    if (m_pid <= 0)
      return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }
  bool IsReady() const
  {
    const int fd = Connect(m_ready);
    if (fd < 0)
      return false;
    const timeval most = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof(most));
    SendAll(fd, "GET /holdpost/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    Reader reader(fd);
    Message answer;
    const bool is_ready = reader.Read(&answer) && answer.Status() == 200;
    close(fd);
    return is_ready;
  }
  // In MB; 0 if it does not run.
  double ResidentMb() const
  {
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(file, line);)
    {
      if (line.starts_with("VmRSS:"))
        return atof(line.c_str() + 6) / 1024;
    }
    return 0;
  }

private:
  std::string SettingsFile() const { return m_folder + "/" + m_name + ".yaml"; }

  std::string m_name;
  std::string m_folder;
  Address m_front;
  Address m_ready;
  pid_t m_pid = -1;
};

inline std::string TemporaryFolder()
{
  char pattern[] = "/tmp/holdpost-review-XXXXXX";
  return mkdtemp(pattern);
}

inline bool WaitReady(Gateway& gateway, double seconds)
{
  for (const double end = Now() + seconds; Now() < end; SleepMs(50))
  {
    if (gateway.IsReady())
      return true;
  }
  return false;
}

// One plain service behind one route, with the limits of the pages' example.
inline std::string PlainConfig(const std::string& kind, int timeout_ms)
{
  return "{\"Version\":1,\"Routes\":[{\"Name\":\"r-1\",\"Host\":\"files.example\",\"PathPrefix\":"
         "\"/\","
         "\"Kind\":\"" +
         kind + "\",\"TimeoutMs\":" + std::to_string(timeout_ms) +
         ",\"GoalMs\":300,\"Priority\":1,\"Service\":\"files\",\"MaxAttempts\":" +
         (kind == "non_idempotent" ? "1" : "2") +
         (kind == "streaming" ? ",\"StreamResume\":true,\"GapTargetMs\":400" : "") +
         ",\"AllowAnonymous\":false}],\"Services\":[{\"Name\":\"files\",\"HealthPath\":\"/health\","
         "\"MaxConns\":100}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
         "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
         "\"Tenants\":[{\"Name\":\"bygg\",\"ApiKeys\":[\"key-1\"]}]}";
}

inline std::string Request(const std::string& id, int deadline_ms, const std::string& body)
{
  return "POST /document HTTP/1.1\r\nHost: files.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\nAuthorization: Bearer key-1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}
} // namespace Review
