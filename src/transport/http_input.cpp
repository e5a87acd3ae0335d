#include "transport/http_input.h"

namespace greengage::transport {

namespace http = boost::beast::http;

namespace {

/** Larger buffers are released when they are empty. */
constexpr std::size_t kKeptBufferBytes = 16 * 1024;

}

HttpInput::HttpInput(std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes)
  : maxHeaderBytes_(aMaxHeaderBytes)
  , maxBodyBytes_(aMaxBodyBytes)
{
}

boost::asio::mutable_buffer
HttpInput::Prepare(std::size_t aBytes)
{
  return buffer_.prepare(aBytes);
}

void
HttpInput::Commit(std::size_t aBytes)
{
  buffer_.commit(aBytes);
}

HttpInput::Progress
HttpInput::Parse()
{
  if (!parser_) {
    if (buffer_.size() == 0) {
      return Progress::eNeedsMore;
    }
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(maxHeaderBytes_));
    parser_->body_limit(maxBodyBytes_);
    headerBytes_ = 0;
  }
  while (!parser_->is_done()) {
    if (buffer_.size() == 0) {
      return Progress::eNeedsMore;
    }
    bool hadHeader = parser_->is_header_done();
    std::size_t bytes = parser_->put(buffer_.data(), error_);
    buffer_.consume(bytes);
    if (error_ == http::error::need_more || (!error_ && bytes == 0)) {
      error_ = {};
      if (buffer_.size() > maxHeaderBytes_) {
        error_ = http::error::header_limit;
        return Progress::eFailed;
      }
      return Progress::eNeedsMore;
    }
    if (error_) {
      return Progress::eFailed;
    }
    if (!hadHeader) {
      headerBytes_ += bytes;
    }
    if (!hadHeader && parser_->is_header_done()) {
      parser_->eager(true);
      return Progress::eHeader;
    }
  }
  return Progress::eRequest;
}

HttpInput::Progress
HttpInput::ParseEnd()
{
  if (!parser_) {
    // No byte of a request has arrived.
    return Progress::eNeedsMore;
  }
  parser_->put_eof(error_);
  if (error_) {
    return Progress::eFailed;
  }
  return parser_->is_done() ? Progress::eRequest : Progress::eNeedsMore;
}

HttpInput::Request
HttpInput::Release()
{
  Request request = parser_->release();
  parser_.reset();
  headerBytes_ = 0;
  if (buffer_.size() == 0 && buffer_.capacity() > kKeptBufferBytes) {
    buffer_.shrink_to_fit();
  }
  return request;
}

bool
HttpInput::IsEmpty() const
{
  return !parser_ && buffer_.size() == 0;
}

std::size_t
HttpInput::HeldBytes() const
{
  std::size_t bodyBytes = parser_ ? parser_->get().body().capacity() : 0;
  return buffer_.capacity() + headerBytes_ + bodyBytes;
}

void
HttpInput::Clear()
{
  parser_.reset();
  headerBytes_ = 0;
  buffer_.clear();
  buffer_.shrink_to_fit();
}

}
