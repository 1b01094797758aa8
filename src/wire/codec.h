#pragma once

#include "common/clock.h"
#include "common/error.h"
#include "wire/gen-cpp/mesh_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>

namespace mimosarun {

/** Serializes a Thrift message with the compact protocol. */
template<typename Message>
std::string
Encode(const Message& aMessage)
{
  const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
  aMessage.write(&protocol);
  return buffer->getBufferAsString();
}

/** Reverses Encode(); returns an error if the bytes are damaged. */
template<typename Message>
Result<Message>
Decode(const std::string& aBytes)
{
  using apache::thrift::transport::TMemoryBuffer;
  // The buffer doesn't change the bytes, but Thrift's interface requires a pointer to non-const.
  auto* bytes = reinterpret_cast<uint8_t*>(const_cast<char*>(aBytes.data()));
  const auto buffer = std::make_shared<TMemoryBuffer>(bytes, static_cast<uint32_t>(aBytes.size()));
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  Message message;
  try {
    message.read(&protocol);
  } catch (const std::exception& error) {
    return Fail(ErrorKind::CorruptData,
                std::string("a message is damaged: ") + error.what() + "; send it again");
  }
  return message;
}

/** Returns a new timestamp of the process clock for a message. */
wire::Stamp
StampNow();

/** Merges the timestamp of a received message into the process clock. */
void
ObserveStamp(const wire::Stamp& aStamp);

} // namespace mimosarun
