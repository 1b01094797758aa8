#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <string>

namespace mimosarun {

class RawConnection;

/** Reads one response from a connection, piece by piece. */
class ResponseReader
{
public:
  explicit ResponseReader(size_t aBodyLimit);

  /**
   * Reads the bytes that arrive within aTime, up to a limit; returns false if the peer has closed the
   * connection or sent something else than a response.
   */
  bool Read(const RawConnection& aConnection, size_t aLimit, std::chrono::milliseconds aTime);

  /** Whether the response was received completely, as HTTP defines it. */
  bool IsDone() const { return m_parser.is_done(); }
  /** Whether the connection can be used for another request. */
  bool KeepsAlive() const { return IsDone() && m_parser.keep_alive(); }
  /** Whether the connection was reset. */
  bool WasReset() const { return m_reset; }
  size_t ReceivedBytes() const { return m_receivedBytes; }
  /** Zero if the head of the response wasn't received. */
  int Status() const;
  /** Returns a header of the response, or an empty text. */
  std::string Header(const std::string& aName) const;
  const std::string& Body() const { return m_parser.get().body(); }

private:
  boost::beast::http::response_parser<boost::beast::http::string_body> m_parser;
  /** Received bytes that haven't been parsed. */
  std::string m_bytes;
  size_t m_receivedBytes = 0;
  bool m_reset = false;
};

} // namespace mimosarun
