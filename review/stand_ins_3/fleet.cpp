#include "fleet.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/src.hpp>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;

namespace {

constexpr std::int64_t kMaxHoldMs = 1000;
constexpr Ms kHeartbeat{ 1500 };
const Clock::time_point kStart = Clock::now();
std::mutex recordMutex;
std::ofstream recordFile;
std::atomic<unsigned> nextFile{ 0 };

std::string
TemporaryFolder()
{
  const char* folder = std::getenv("CASE_TMP");
  return folder ? folder : "/tmp";
}

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<Ms>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
Text(const json::object& aObject, const char* aName)
{
  auto it = aObject.find(aName);
  return it != aObject.end() && it->value().is_string()
           ? std::string(it->value().as_string())
           : std::string();
}

std::int64_t
Number(const json::object& aObject, const char* aName, std::int64_t aDefault)
{
  auto it = aObject.find(aName);
  if (it == aObject.end() || !it->value().is_number()) {
    return aDefault;
  }
  boost::system::error_code error;
  auto value = it->value().to_number<std::int64_t>(error);
  return error ? aDefault : value;
}

json::object
Parse(const std::string& aBody)
{
  boost::system::error_code error;
  json::value value = json::parse(aBody, error);
  return !error && value.is_object() ? value.as_object() : json::object();
}

std::string
QueryText(const std::string& aTarget, const std::string& aName)
{
  for (const char* mark : { "?", "&" }) {
    auto at = aTarget.find(mark + aName + "=");
    if (at != std::string::npos) {
      at += aName.size() + 2;
      return aTarget.substr(at, aTarget.find('&', at) - at);
    }
  }
  return {};
}

std::uint64_t
QueryNumber(const std::string& aTarget, const std::string& aName)
{
  std::string text = QueryText(aTarget, aName);
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

void
AppendNumber(std::string& aBytes, std::uint64_t aValue, int aSize)
{
  for (int i = aSize - 1; i >= 0; --i) {
    aBytes.push_back(static_cast<char>((aValue >> (8 * i)) & 0xff));
  }
}

std::string
Base64(const std::string& aText)
{
  std::string encoded(beast::detail::base64::encoded_size(aText.size()), '\0');
  encoded.resize(
    beast::detail::base64::encode(encoded.data(), aText.data(), aText.size()));
  return encoded;
}

Response
Plain(unsigned aStatus, std::string aBody)
{
  Response response;
  response.result(aStatus);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(aBody);
  return response;
}

}

void
CannotRun(const std::string& aWhy)
{
  Record::Write("could not run: " + aWhy);
  // The processes end with this one, as they ask for a signal at its end.
  std::_Exit(2);
}

void
Record::Open(const std::string& aPath)
{
  recordFile.open(aPath, std::ios::trunc);
}

double
Record::Now()
{
  return std::chrono::duration<double, std::milli>(Clock::now() - kStart)
    .count();
}

void
Record::Write(const std::string& aLine)
{
  std::lock_guard lock(recordMutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%9.1f ", Now());
  recordFile << time << aLine << std::endl;
}

void
Sleep(Ms aTime)
{
  std::this_thread::sleep_for(aTime);
}

bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  asio::io_context context;
  tcp::acceptor acceptor{ context };
  Handler handler;
  std::mutex mutex;
  std::set<int> sockets;
  bool isStopped = false;
  std::atomic<int> connections{ 0 };
  std::thread thread;

  void Serve(tcp::socket aSocket)
  {
    beast::flat_buffer buffer;
    boost::system::error_code error;
    aSocket.set_option(tcp::no_delay(true), error);
    while (true) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(8 * 1024 * 1024);
      http::read(aSocket, buffer, parser, error);
      if (error) {
        break;
      }
      Request request = parser.release();
      Response response = handler(request);
      if (response.result_int() == 599) {
        // No answer: "A connection on which a response is lost returns
        // nothing further." It stays open until the peer closes it.
        char byte;
        while (!error) {
          aSocket.read_some(asio::buffer(&byte, 1), error);
        }
        break;
      }
      response.version(11);
      response.keep_alive(request.keep_alive());
      response.prepare_payload();
      http::write(aSocket, response, error);
      if (error || !request.keep_alive()) {
        break;
      }
    }
    std::lock_guard lock(mutex);
    sockets.erase(aSocket.native_handle());
    aSocket.close(error);
    --connections;
  }

  void Accept()
  {
    while (true) {
      boost::system::error_code error;
      tcp::socket socket(context);
      acceptor.accept(socket, error);
      std::lock_guard lock(mutex);
      if (isStopped) {
        return;
      }
      if (error) {
        continue;
      }
      sockets.insert(socket.native_handle());
      ++connections;
      std::thread([self = shared_from_this(),
                   moved = std::make_shared<tcp::socket>(
                     std::move(socket))]() mutable {
        self->Serve(std::move(*moved));
      }).detach();
    }
  }
};

HttpServer::HttpServer(const std::string& aIp, unsigned aPort, Handler aHandler)
  : impl_(std::make_shared<Impl>())
  , port_(aPort)
{
  impl_->handler = std::move(aHandler);
  tcp::endpoint endpoint(asio::ip::make_address(aIp),
                         static_cast<std::uint16_t>(aPort));
  boost::system::error_code error;
  impl_->acceptor.open(endpoint.protocol());
  impl_->acceptor.set_option(tcp::acceptor::reuse_address(true));
  impl_->acceptor.bind(endpoint, error);
  if (!error) {
    impl_->acceptor.listen(256, error);
  }
  if (error) {
    CannotRun("cannot listen on " + aIp);
  }
  port_ = impl_->acceptor.local_endpoint().port();
  impl_->thread = std::thread([impl = impl_] { impl->Accept(); });
}

HttpServer::~HttpServer()
{
  Stop();
}

void
HttpServer::Stop()
{
  if (!impl_->thread.joinable()) {
    return;
  }
  {
    std::lock_guard lock(impl_->mutex);
    impl_->isStopped = true;
    ::shutdown(impl_->acceptor.native_handle(), SHUT_RDWR);
    for (int socket : impl_->sockets) {
      linger hard{ 1, 0 };
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
      ::shutdown(socket, SHUT_RDWR);
    }
  }
  impl_->thread.join();
  boost::system::error_code error;
  impl_->acceptor.close(error);
  while (impl_->connections > 0) {
    Sleep(Ms(2));
  }
}

Answer
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::map<std::string, std::string>& aHeaders,
     const std::string& aBody,
     Ms aTimeout)
{
  Answer answer;
  auto colon = aAddress.find(':');
  asio::io_context context;
  beast::tcp_stream stream(context);
  tcp::endpoint endpoint(
    asio::ip::make_address(aAddress.substr(0, colon)),
    static_cast<std::uint16_t>(std::stoul(aAddress.substr(colon + 1))));
  Request request;
  request.method_string(aMethod);
  request.target(aTarget);
  request.version(11);
  request.set(http::field::host, aAddress);
  request.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : aHeaders) {
    request.set(name, value);
  }
  request.body() = aBody;
  request.prepare_payload();
  beast::flat_buffer buffer;
  Response response;
  stream.expires_after(aTimeout);
  stream.async_connect(endpoint, [&](auto aError) {
    if (aError) {
      return;
    }
    http::async_write(stream, request, [&](auto aWriteError, std::size_t) {
      if (aWriteError) {
        return;
      }
      http::async_read(
        stream, buffer, response, [&](auto aReadError, std::size_t) {
          if (!aReadError) {
            answer.status = response.result_int();
            answer.body = response.body();
          }
        });
    });
  });
  context.run();
  return answer;
}

unsigned
FreePort(const std::string& aIp)
{
  // Below the range of outgoing connections, so that no such connection takes
  // the port before the program listens on it.
  static std::atomic<unsigned> next{ 12000 +
                                     static_cast<unsigned>(::getpid()) % 8000 };
  for (unsigned i = 0; i < 2000; ++i) {
    unsigned port = next++;
    asio::io_context context;
    boost::system::error_code error;
    auto address = asio::ip::make_address(aIp);
    tcp::acceptor acceptor(context);
    acceptor.open(tcp::v4());
    acceptor.bind({ address, static_cast<std::uint16_t>(port) }, error);
    if (error) {
      continue;
    }
    asio::ip::udp::socket socket(context);
    socket.open(asio::ip::udp::v4());
    socket.bind({ address, static_cast<std::uint16_t>(port) }, error);
    if (!error) {
      return port;
    }
  }
  CannotRun("no free port");
}

Store::Store(const std::string& aIp)
  : ip_(aIp)
  , http_(std::make_unique<HttpServer>(
      aIp,
      FreePort(aIp),
      [this](const Request& aRequest) { return Handle(aRequest); }))
{
}

std::string
Store::Address() const
{
  return ip_ + ":" + std::to_string(http_->Port());
}

void
Store::Put(const std::string& aKey, const std::string& aValue)
{
  std::lock_guard lock(mutex_);
  newest_[aKey] = { aValue, records_.size() };
  records_.push_back(std::string(1, static_cast<char>(aKey.size())) + aKey +
                     aValue);
  Record::Write("store: op/" + aKey + " acknowledged");
  changed_.notify_all();
}

Response
Store::Handle(const Request& aRequest)
{
  std::string target(aRequest.target());
  std::string topic = QueryText(target, "topic");
  std::unique_lock lock(mutex_);
  if (target.starts_with("/-/log-newest")) {
    json::array items;
    if (topic == "keyed.op") {
      std::string after = QueryText(target, "after");
      for (const auto& [key, value] : newest_) {
        if (key > after && !value.first.empty()) {
          items.push_back(json::object{ { "key", key },
                                        { "value", Base64(value.first) },
                                        { "offset", value.second } });
        }
      }
    }
    return Plain(200,
                 json::serialize(json::object{
                   { "items", items },
                   { "hasMore", false },
                   { "end", topic == "keyed.op" ? records_.size() : 0 } }));
  }
  if (target.starts_with("/-/log-read")) {
    std::uint64_t from = QueryNumber(target, "from");
    Ms wait(std::min<std::uint64_t>(QueryNumber(target, "waitMs"), 30'000));
    if (topic == "keyed.op") {
      changed_.wait_for(lock, wait, [&] { return from < records_.size(); });
    } else {
      lock.unlock();
      Sleep(wait);
      lock.lock();
    }
    std::string bytes;
    std::size_t end = topic == "keyed.op" ? records_.size() : 0;
    AppendNumber(bytes, end, 8);
    AppendNumber(bytes, 0, 8);
    for (std::size_t i = from; i < end; ++i) {
      AppendNumber(bytes, records_[i].size(), 4);
      bytes += records_[i];
    }
    return Plain(200, bytes);
  }
  Record::Write("store: call that the stand-in does not serve: " + target);
  return Plain(400, "{}");
}

Worker::Worker(WorkerOptions aOptions, std::string aAgent)
  : options_(std::move(aOptions))
  , agent_(std::move(aAgent))
  , bornAt_(Clock::now())
  , born_(UnixMs())
  , lease_(bornAt_)
{
  http_ = std::make_unique<HttpServer>(
    options_.ip, options_.port, [this](const Request& aRequest) {
      return Handle(aRequest);
    });
  beater_ = std::thread([this] { Beat(); });
}

Worker::~Worker()
{
  Crash();
}

void
Worker::Crash()
{
  if (!isUp_.exchange(false)) {
    return;
  }
  {
    std::lock_guard lock(mutex_);
    Advance();
    for (const Run& run : running_) {
      SetEnd(run, "crash");
    }
    running_.clear();
    ended_.notify_all();
  }
  http_->Stop();
  beater_.join();
}

void
Worker::SetWork(Ms aWork)
{
  std::lock_guard lock(mutex_);
  options_.work = aWork;
}

std::vector<Start>
Worker::Starts() const
{
  std::lock_guard lock(mutex_);
  return starts_;
}

std::int64_t
Worker::ClockMs() const
{
  return std::chrono::duration_cast<Ms>(Clock::now() - bornAt_).count();
}

Response
Worker::Respond(unsigned aStatus, json::object aBody)
{
  aBody["clockMs"] = ClockMs();
  aBody["born"] = born_;
  return Plain(aStatus, json::serialize(aBody));
}

void
Worker::AddEnd(const Run& aRun, const std::string& aHow)
{
  ends_.push_back({ nextEnd_++, aRun.task, aRun.run, aHow });
  SetEnd(aRun, aHow);
  auto& highest = highestEnded_[aRun.task];
  highest = std::max(highest, aRun.run);
  Record::Write(options_.id + ": " + aRun.task + " run " +
                std::to_string(aRun.run) + " ended: " + aHow);
  ended_.notify_all();
}

void
Worker::CarryOutLate(const json::object& aOrder)
{
  std::lock_guard lock(mutex_);
  CarryOut(aOrder, true);
}

void
Worker::SetEnd(const Run& aRun, const std::string& aHow)
{
  for (Start& start : starts_) {
    if (start.task == aRun.task && start.run == aRun.run && start.how.empty()) {
      start.end = Record::Now();
      start.how = aHow;
    }
  }
}

void
Worker::Advance()
{
  auto now = Clock::now();
  for (auto it = running_.begin(); it != running_.end();) {
    bool isDone = it->end <= now && it->end <= lease_;
    if (!isDone && lease_ > now) {
      ++it;
      continue;
    }
    Run run = *it;
    it = running_.erase(it);
    AddEnd(run, isDone ? "done" : "lapsed");
  }
}

bool
Worker::TakeFence(const json::object& aBody)
{
  std::int64_t fence = Number(aBody, "fencingToken", 0);
  if (fence < fence_) {
    return false;
  }
  fence_ = fence;
  return true;
}

void
Worker::TakeDeadline(const json::object& aBody)
{
  std::int64_t deadline = Number(aBody, "deadlineMs", -1);
  if (deadline < 0) {
    return;
  }
  deadline = std::min(deadline, ClockMs() + kMaxHoldMs);
  lease_ = std::max(lease_, bornAt_ + Ms(deadline));
}

std::pair<unsigned, std::string>
Worker::CarryOut(const json::object& aBody, bool aIsLate)
{
  if (!isUp_) {
    return { 503, "" };
  }
  Advance();
  std::string task = Text(aBody, "task");
  auto run = static_cast<std::uint64_t>(Number(aBody, "run", 0));
  std::string what = options_.id + ": start of " + task + " run " +
                     std::to_string(run) + " token " +
                     std::to_string(Number(aBody, "fencingToken", 0)) +
                     (aIsLate ? " (carried out late)" : "");
  if (!TakeFence(aBody)) {
    Record::Write(what + ": rejected, fence");
    return { 409, "fence" };
  }
  if (Number(aBody, "deadlineMs", -1) <= ClockMs()) {
    Record::Write(what + ": rejected, late");
    return { 409, "late" };
  }
  std::int64_t cpu = 1600;
  std::int64_t used = 0;
  for (const Run& other : running_) {
    if (other.task == task && other.run == run) {
      TakeDeadline(aBody);
      return { 200, "" };
    }
    used += other.cpu;
  }
  TakeDeadline(aBody);
  if (run <= highestEnded_[task]) {
    Record::Write(what + ": rejected, old");
    return { 409, "old" };
  }
  if (used + cpu > options_.cpu) {
    Record::Write(what + ": rejected, room");
    return { 409, "room" };
  }
  running_.push_back({ task, run, cpu, Clock::now() + options_.work });
  starts_.push_back({ Record::Now(),
                      options_.id,
                      options_.labels.front(),
                      task.substr(0, task.find('.')),
                      task,
                      run,
                      Text(aBody, "spec"),
                      1e12,
                      "" });
  Record::Write(what + ": started");
  return { 200, "" };
}

Response
Worker::HandleStart(const Request& aRequest)
{
  json::object body = Parse(aRequest.body());
  if (Text(body, "task").empty()) {
    return Respond(400, {});
  }
  if (withholds && withholds(body)) {
    Record::Write(options_.id + ": start of " + Text(body, "task") +
                  " is left unanswered");
    Response none;
    none.result(599);
    return none;
  }
  std::lock_guard lock(mutex_);
  auto [status, reason] = CarryOut(body, false);
  json::object answer;
  if (!reason.empty()) {
    answer["reason"] = reason;
  }
  return Respond(status, answer);
}

Response
Worker::HandleStop(const Request& aRequest)
{
  json::object body = Parse(aRequest.body());
  std::string task = Text(body, "task");
  auto run = static_cast<std::uint64_t>(Number(body, "run", 0));
  std::lock_guard lock(mutex_);
  Advance();
  if (!TakeFence(body)) {
    return Respond(409, { { "reason", "fence" } });
  }
  for (auto it = running_.begin(); it != running_.end(); ++it) {
    if (it->task == task && it->run <= run) {
      Run stopped = *it;
      running_.erase(it);
      AddEnd(stopped, "stopped");
      break;
    }
  }
  auto& highest = highestEnded_[task];
  highest = std::max(highest, run);
  return Respond(200, {});
}

Response
Worker::HandleHold(const Request& aRequest)
{
  json::object body = Parse(aRequest.body());
  auto lastSeen = static_cast<std::uint64_t>(Number(body, "lastSeen", 0));
  Ms wait(std::clamp<std::int64_t>(Number(body, "waitMs", 0), 0, 2000));
  std::unique_lock lock(mutex_);
  Advance();
  if (!TakeFence(body)) {
    return Respond(409, { { "reason", "fence" } });
  }
  TakeDeadline(body);
  ends_.remove_if([&](const End& aEnd) { return aEnd.number <= lastSeen; });
  auto until = Clock::now() + wait;
  while (ends_.empty() && isUp_ && Clock::now() < until) {
    ended_.wait_for(lock, Ms(5));
    Advance();
  }
  json::array running;
  for (const Run& run : running_) {
    running.push_back(json::array{ run.task, run.run, "", 50, 1600 });
  }
  json::array finished;
  for (const End& end : ends_) {
    if (finished.size() < 500) {
      finished.push_back(
        json::array{ end.number, end.task, end.run, end.how, "" });
    }
  }
  return Respond(200, { { "running", running }, { "finished", finished } });
}

Response
Worker::Handle(const Request& aRequest)
{
  std::string target(aRequest.target());
  auto expected = aRequest["X-Expect-Instance"];
  if (!isUp_ || (!expected.empty() && std::string(expected) != options_.id)) {
    return Respond(421, {});
  }
  if (target == "/-/run-start") {
    return HandleStart(aRequest);
  }
  if (target == "/-/run-stop") {
    return HandleStop(aRequest);
  }
  if (target == "/-/hold") {
    return HandleHold(aRequest);
  }
  Response response = Plain(target == "/health" ? 200 : 404, "{}");
  response.set("X-Instance-Id", options_.id);
  return response;
}

void
Worker::Beat()
{
  std::uint64_t sequence = 0;
  while (isUp_) {
    json::array labels;
    for (const std::string& label : options_.labels) {
      labels.push_back(json::value(label));
    }
    json::object body{
      { "service", options_.service },
      { "address", options_.ip + ":" + std::to_string(options_.port) },
      { "zone", options_.zone },
      { "version", "v1" },
      { "slots", 8 },
      { "state", "ready" },
      { "coldLeftMs", 0 },
      { "capacity",
        { { "cpu", options_.cpu }, { "memMb", 65536 }, { "gpu", 0 } } },
      { "labels", labels },
      { "clockMs", ClockMs() },
      { "seq", ++sequence },
      { "born", born_ }
    };
    Answer answer = Call(agent_,
                         "POST",
                         "/-/instances/" + options_.id + "/heartbeat",
                         {},
                         json::serialize(body),
                         Ms(1000));
    bool isAcknowledged = answer.status >= 200 && answer.status < 300;
    isAcknowledged_ = isAcknowledged_ || isAcknowledged;
    auto until = Clock::now() + (isAcknowledged ? kHeartbeat : Ms(100));
    while (isUp_ && Clock::now() < until) {
      Sleep(Ms(5));
      std::lock_guard lock(mutex_);
      Advance();
    }
  }
}

Program::Program(std::string aName, std::string aRole, json::object aSettings)
  : name_(std::move(aName))
  , role_(std::move(aRole))
  , settingsPath_(TemporaryFolder() + "/" + name_ + ".json")
  , logPath_(TemporaryFolder() + "/" + name_ + ".log")
  , metricsPort_(FreePort("127.0.0.1"))
{
  std::ofstream(settingsPath_) << json::serialize(aSettings);
}

Program::~Program()
{
  Stop();
}

void
Program::Launch()
{
  std::string path = "target/bin/greengage-platform-" + role_;
  std::string port = std::to_string(metricsPort_);
  std::string settings = "GREENGAGEWORKS_NODE_FILE=" + settingsPath_;
  pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) {
    CannotRun("no new process");
  }
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(127);
    }
    int log = ::open(logPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::close(log);
    for (int i = 3; i < 1024; ++i) {
      ::close(i);
    }
    std::string option = "--metrics-port";
    char* arguments[] = { path.data(), option.data(), port.data(), nullptr };
    char* environment[] = { settings.data(), nullptr };
    ::execve(path.c_str(), arguments, environment);
    ::_exit(127);
  }
  Record::Write(name_ + ": " + path + " --metrics-port " + port +
                " started as process " + std::to_string(pid_));
}

void
Program::Signal(int aSignal)
{
  Record::Write(name_ + ": " + strsignal(aSignal));
  ::kill(pid_, aSignal);
}

void
Program::Kill()
{
  Signal(SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

void
Program::Stop()
{
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

bool
Program::HasEnded()
{
  int status = 0;
  if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
    Record::Write(name_ + ": ended by itself, status " +
                  std::to_string(status));
    pid_ = 0;
    return true;
  }
  return false;
}

json::object
Fleet::Settings(const std::string& aNode,
                const std::string& aClass,
                const std::string& aIp,
                const std::string& aZone) const
{
  json::array seeds;
  for (const std::string& seed : seeds_) {
    seeds.push_back(json::value(seed));
  }
  json::value settings = json::parse(R"({
    "region":"addis","zones":{"bole":"addis","kirkos":"addis","yeka":"addis"},
    "bootstrap":true,"countsLoss":false,
    "limits":{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,
      "linkMbps":1000.0,"diskMb":0},
    "dataDir":null,"discovery":"local","entry":"vip","heartbeatMs":1500,
    "contracts":["base","drain","config","cost","recover","sched","platform",
      "advice","upkeep","sharing"],
    "faultTolerance":{"machines":1,"zones":0,"regions":0},
    "bounds":{"seedLagS":3,"addrReuseS":2,"contactMs":3000,"ackMs":4000,
      "catchUpS":4,"drainMs":2000,"graceS":6,"lossSlackMs":200,
      "configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,
      "recoverS":12,"maxHoldMs":1000,"stopMs":50,"gangWaitMs":3000,
      "cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,
      "status_s":120,"farFactor":1.5,"checkpointIntervalS":2,"restoreMs":600,
      "noticeMs":4500,"moveS":1.5,"maintenanceS":2,"requireFencing":false,
      "leaseMs":3000,"thawMs":300,"paceMs":100,"harmMs":4000,
      "resendMs":1300},
    "controlMode":"call"})");
  json::object& object = settings.as_object();
  object["node"] = aNode;
  object["role"] = aClass == "edge" ? "entry" : "agent";
  object["machineClass"] = aClass;
  object["serves"] =
    aClass == "edge" ? json::array{ "edge", "control" } : json::array{ "side" };
  object["ip"] = aIp;
  object["zone"] = aZone;
  object["seeds"] = seeds;
  object["internalPortRange"] =
    json::array{ internalPort_, internalPort_ + 15 };
  object["platform"] = json::object{ { "address", store->Address() },
                                     { "form", "log" },
                                     { "writesPerS", 800 },
                                     { "readsPerS", 2000 },
                                     { "parts", 24 },
                                     { "appendMs", 1.0 },
                                     { "partMbS", 20.0 },
                                     { "readMbS", 80.0 },
                                     { "recordBytes", 262144 },
                                     { "callBytes", 2097152 },
                                     { "keep_s", 300 },
                                     { "partMb", 200 },
                                     { "minTtlMs", 1000 } };
  if (aClass == "side") {
    object["limits"].as_object()["cpuShare"] = 0.15;
    object["limits"].as_object()["memoryMb"] = 128;
    object["service"] = service;
  }
  return object;
}

Fleet::Fleet(unsigned aSides)
  : nextJob_((static_cast<std::uint64_t>(::getpid()) << 32) + 1)
{
  const char* zones[] = { "bole", "kirkos", "yeka" };
  net_ = "127." + std::to_string(64 + ::getpid() % 128) + ".";
  store = std::make_unique<Store>(net_ + "9.1");
  store->Put(
    "config",
    R"({"version":7,"routes":[{"name":"r-3hwrr6x","host":"nony24.example",)"
    R"("pathPrefix":"/lohu930/","kind":"non_idempotent","timeoutMs":1500,)"
    R"("targetRuntimeMs":60,"priority":0,"service":"huvo11a",)"
    R"("maxAttempts":3,"stretch":1.6}],"services":[{"name":"huvo11a",)"
    R"("healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,)"
    R"("admissionCheck":true,"standby":false}],"limits":)"
    R"({"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
  unsigned frontPort = FreePort(net_ + "1.1");
  unsigned readyPort = FreePort(net_ + "1.1");
  unsigned controlPort = FreePort(net_ + "1.1");
  unsigned appPort = FreePort(net_ + "1.1");
  internalPort_ = 21000 + 16 * (static_cast<unsigned>(::getpid()) % 500);
  for (unsigned i = 0; i < 3; ++i) {
    seeds_.push_back(net_ + std::to_string(i + 1) +
                     ".1:" + std::to_string(controlPort));
  }
  for (unsigned i = 0; i < 3; ++i) {
    std::string ip = net_ + std::to_string(i + 1) + ".1";
    std::string node = std::string("edge-") + zones[i] + "-1";
    json::object settings = Settings(node, "edge", ip, zones[i]);
    settings["listen"] =
      json::object{ { "front", ip + ":" + std::to_string(frontPort) },
                    { "readyAddr", ip + ":" + std::to_string(readyPort) },
                    { "control", ip + ":" + std::to_string(controlPort) } };
    entries.push_back({ ip,
                        ip + ":" + std::to_string(frontPort),
                        ip + ":" + std::to_string(readyPort),
                        std::make_unique<Program>(node, "entry", settings) });
  }
  for (unsigned i = 0; i < aSides; ++i) {
    std::string ip =
      net_ + std::to_string(i % 3 + 1) + "." + std::to_string(i / 3 + 2);
    std::string zone = zones[i % 3];
    std::string node = "side-" + zone + "-" + std::to_string(i / 3 + 1);
    json::object settings = Settings(node, "side", ip, zone);
    std::string control = ip + ":" + std::to_string(controlPort);
    settings["listen"] = json::object{ { "control", control } };
    settings["app"] = ip + ":" + std::to_string(appPort);
    WorkerOptions options;
    options.ip = ip;
    options.port = appPort;
    options.id = "i-" + zone + "-" + std::to_string(i / 3 + 1);
    options.service = service;
    options.zone = zone;
    options.labels = { "a", "r1-" + std::to_string(i % 3 + 1) };
    sides.push_back({ ip,
                      std::make_unique<Program>(node, "agent", settings),
                      nullptr,
                      options,
                      control });
  }
}

Fleet::~Fleet()
{
  for (Side& side : sides) {
    side.agent->Stop();
    if (side.worker) {
      side.worker->Crash();
    }
  }
  for (Entry& entry : entries) {
    entry.program->Stop();
  }
}

void
Fleet::StartWorker(unsigned aSide)
{
  Side& side = sides[aSide];
  if (side.worker) {
    former.push_back(std::move(side.worker));
  }
  side.worker = std::make_unique<Worker>(side.options, side.control);
}

void
Fleet::Launch()
{
  for (Entry& entry : entries) {
    entry.program->Launch();
  }
  for (unsigned i = 0; i < sides.size(); ++i) {
    sides[i].agent->Launch();
    StartWorker(i);
  }
}

Answer
Fleet::Ready(unsigned aEntry)
{
  return Call(entries[aEntry].ready, "GET", "/-/ready", {}, "", Ms(500));
}

void
Fleet::AwaitReady()
{
  auto until = Clock::now() + Ms(20'000);
  json::object step{
    { "count", 1 }, { "cpu", 1600 }, { "memMb", 64 }, { "estimateMs", 600 }
  };
  for (unsigned i = 0; i < entries.size(); ++i) {
    while (Ready(i).status != 200 ||
           Post(i, NewJob(), "first", step, Ms(1500)).status != 200) {
      if (Clock::now() > until) {
        CannotRun("the fleet does not get ready");
      }
      Sleep(Ms(300));
    }
  }
}

std::string
Fleet::NewJob()
{
  std::uint64_t number = nextJob_++ * 0x9e3779b97f4a7c15ULL;
  char text[32];
  std::snprintf(
    text, sizeof(text), "%016llx", static_cast<unsigned long long>(number));
  return text;
}

Answer
Fleet::Post(unsigned aEntry,
            const std::string& aJob,
            const std::string& aSpec,
            const json::object& aStep,
            Ms aDeadline)
{
  json::object body{ { "spec", aSpec },
                     { "bestEffort", true },
                     { "steps", json::array{ aStep } } };
  std::string who =
    "client: POST " + prefix + aJob + " at " + entries[aEntry].program->Name();
  Record::Write(who);
  Answer answer =
    Call(entries[aEntry].front,
         "POST",
         prefix + aJob,
         { { "Host", host },
           { "X-Deadline-Ms", std::to_string(aDeadline.count()) } },
         json::serialize(body),
         aDeadline);
  Record::Write(
    who + " -> " +
    (answer.status ? std::to_string(answer.status) : std::string("no answer")) +
    " " + answer.body);
  return answer;
}

Answer
Fleet::Delete(unsigned aEntry, const std::string& aJob, Ms aDeadline)
{
  std::string who = "client: DELETE " + prefix + aJob + " at " +
                    entries[aEntry].program->Name();
  Record::Write(who);
  Answer answer =
    Call(entries[aEntry].front,
         "DELETE",
         prefix + aJob,
         { { "Host", host },
           { "X-Deadline-Ms", std::to_string(aDeadline.count()) } },
         "",
         aDeadline);
  Record::Write(
    who + " -> " +
    (answer.status ? std::to_string(answer.status) : std::string("no answer")) +
    " " + answer.body);
  return answer;
}

std::vector<Start>
Fleet::Starts() const
{
  std::vector<Start> all;
  auto add = [&](const Worker* aWorker) {
    if (aWorker) {
      auto starts = aWorker->Starts();
      all.insert(all.end(), starts.begin(), starts.end());
    }
  };
  for (const auto& side : sides) {
    add(side.worker.get());
  }
  for (const auto& worker : former) {
    add(worker.get());
  }
  return all;
}

}
