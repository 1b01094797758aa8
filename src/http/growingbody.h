#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace mimosarun {

/**
 * Body of a message that is being parsed; it takes memory only for the bytes that have arrived. Beast's
 * string_body allocates the length that the head announces, which the sender may choose freely.
 */
struct GrowingBody
{
  using value_type = std::string;

  static uint64_t size(const value_type& aBody) { return aBody.size(); }

  /** Appends the received bytes to the body; the functions are those that Beast's parsers call. */
  class Reader
  {
  public:
    template<bool isRequest, class Fields>
    Reader(boost::beast::http::header<isRequest, Fields>& /*aHeader*/, value_type& aBody)
      : m_body(aBody)
    {
    }

    void init(const boost::optional<uint64_t>& /*aAnnouncedLength*/, boost::system::error_code& aError)
    {
      aError = {};
    }

    template<class ConstBufferSequence>
    size_t put(const ConstBufferSequence& aBuffers, boost::system::error_code& aError)
    {
      const size_t lengthBefore = m_body.size();
      for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(aBuffers)) {
        m_body.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      aError = {};
      return m_body.size() - lengthBefore;
    }

    void finish(boost::system::error_code& aError) { aError = {}; }

  private:
    value_type& m_body;
  };

  /** Beast's name for it. */
  using reader = Reader;
};

} // namespace mimosarun
