#include "hostile/hostile_connections.h"

#include <thread>

namespace greengage::testing_support {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds kStalledTimeout{ 1 };
constexpr std::chrono::milliseconds kPause{ 2 };

}

HostileConnections::HostileConnections(unsigned aPort, std::size_t aCount)
{
  asio::ip::tcp::endpoint address(asio::ip::make_address("127.0.0.1"),
                                  static_cast<unsigned short>(aPort));
  for (std::size_t i = 0; i < aCount; ++i) {
    connections_.push_back({ asio::ip::tcp::socket(context_) });
    error_code error;
    connections_.back().socket.connect(address, error);
    if (!error) {
      connections_.back().socket.non_blocking(true, error);
    }
    connections_.back().closed = bool(error);
  }
}

void
HostileConnections::Send(const std::string& aPrefix,
                         const std::string& aFiller,
                         std::size_t aMaxBytes)
{
  for (Connection& connection : connections_) {
    connection.prefix = aPrefix;
    connection.maxBytes = aMaxBytes;
  }
  SendAll(aFiller);
}

void
HostileConnections::SendEach(
  const std::function<std::string(std::size_t)>& aText)
{
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    connections_[i].prefix = aText(i);
    connections_[i].maxBytes = connections_[i].prefix.size();
  }
  SendAll("");
}

void
HostileConnections::SendAll(const std::string& aFiller)
{
  auto lastProgress = std::chrono::steady_clock::now();
  bool isOpen = true;
  while (isOpen &&
         std::chrono::steady_clock::now() - lastProgress < kStalledTimeout) {
    isOpen = false;
    bool hasProgress = false;
    for (Connection& connection : connections_) {
      if (!connection.closed && connection.sentBytes < connection.maxBytes) {
        isOpen = true;
        hasProgress |= SendSome(connection, aFiller);
      }
    }
    if (hasProgress) {
      lastProgress = std::chrono::steady_clock::now();
    } else {
      std::this_thread::sleep_for(kPause);
    }
  }
}

bool
HostileConnections::SendSome(Connection& aConnection,
                             const std::string& aFiller)
{
  const std::string& prefix = aConnection.prefix;
  bool isPrefix = aConnection.sentBytes < prefix.size();
  std::size_t at = isPrefix
                     ? aConnection.sentBytes
                     : (aConnection.sentBytes - prefix.size()) % aFiller.size();
  const std::string& text = isPrefix ? prefix : aFiller;
  error_code error;
  std::size_t bytes = aConnection.socket.write_some(
    asio::buffer(text.data() + at, text.size() - at), error);
  aConnection.sentBytes += bytes;
  aConnection.closed = error && error != asio::error::would_block;
  return bytes > 0;
}

}
