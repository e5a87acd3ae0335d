#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace greengage::testing_support {

/** A plain TCP client that can send what no HTTP library would send. */
class RawClient
{
public:
  explicit RawClient(const boost::asio::ip::tcp::endpoint& aServer);

  void Send(std::string_view aText);
  /** Ends the sending direction only. */
  void HalfClose();
  /** Everything until the server closes, or what came within the timeout. */
  std::string ReadAll(std::chrono::milliseconds aTimeout);
  /** Reads until aText has appeared aCount times or the timeout has passed. */
  std::string ReadUntil(std::string_view aText,
                        std::size_t aCount,
                        std::chrono::milliseconds aTimeout);
  /** True once the server has closed the connection. */
  bool Closed() const { return closed_; }

private:
  /** Adds bytes to text_; false at the end or after the deadline. */
  bool ReadSome(std::chrono::steady_clock::time_point aDeadline);

  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
  std::string text_;
  bool closed_ = false;
};

/** Number of times that a text contains another. */
std::size_t
CountOf(std::string_view aText, std::string_view aPart);

}
