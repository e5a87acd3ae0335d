#pragma once

#include <cstddef>
#include <optional>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace greengage::transport {

/**
 * Received bytes of a connection and the parser of its requests. It uses no
 * socket and knows how many bytes it holds.
 */
class HttpInput
{
public:
  using Body = boost::beast::http::string_body;
  using Request = boost::beast::http::request<Body>;

  enum class Progress
  {
    eNeedsMore,
    /** The header is complete; returned once per request. */
    eHeader,
    eRequest,
    eFailed,
  };

  /**
   * @param aMaxHeaderBytes limit of a header, and of a chunk header and the
   *        trailers, which the parser keeps until they are complete
   */
  HttpInput(std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes);

  /** Returns space for received bytes; call Commit() before the next call. */
  boost::asio::mutable_buffer Prepare(std::size_t aBytes);
  void Commit(std::size_t aBytes);

  /** Goes on with the first request that is not released yet. */
  Progress Parse();
  /** Call if the peer sends no more bytes and Parse() needs more. */
  Progress ParseEnd();

  /** Reason of eFailed. */
  boost::system::error_code Error() const { return error_; }
  /** The request whose header is complete. */
  const Request& Current() const { return parser_->get(); }
  /** Returns the complete request; Parse() then begins with the next one. */
  Request Release();

  /** True if no byte of a request is held. */
  bool IsEmpty() const;
  /** Bytes that were received and are not parsed. */
  std::size_t UnparsedBytes() const { return buffer_.size(); }
  /** Memory for the unparsed bytes, the header and the body. */
  std::size_t HeldBytes() const;

  /** Releases the memory of everything that was received. */
  void Clear();

private:
  std::size_t maxHeaderBytes_;
  std::size_t maxBodyBytes_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<Body>> parser_;
  std::size_t headerBytes_ = 0;
  boost::system::error_code error_;
};

}
