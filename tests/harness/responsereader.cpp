#include "harness/responsereader.h"

#include "harness/rawserver.h"

#include <boost/asio/buffer.hpp>

#include <cerrno>

namespace mimosarun {

namespace http = boost::beast::http;

ResponseReader::ResponseReader(size_t aBodyLimit)
{
  m_parser.eager(true);
  m_parser.body_limit(aBodyLimit);
}

bool
ResponseReader::Read(const RawConnection& aConnection, size_t aLimit, std::chrono::milliseconds aTime)
{
  const size_t before = m_bytes.size();
  const bool open = aConnection.ReceiveSome(m_bytes, aLimit, aTime);
  m_reset = !open && errno != 0;
  m_receivedBytes += m_bytes.size() - before;
  boost::system::error_code error;
  m_bytes.erase(0, m_parser.put(boost::asio::buffer(m_bytes), error));
  return open && (!error || error == http::error::need_more);
}

int
ResponseReader::Status() const
{
  return m_parser.is_header_done() ? static_cast<int>(m_parser.get().result_int()) : 0;
}

std::string
ResponseReader::Header(const std::string& aName) const
{
  return m_parser.is_header_done() ? std::string(m_parser.get()[aName]) : "";
}

} // namespace mimosarun
