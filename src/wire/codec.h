#pragma once

#include "common/clock.h"
#include "common/error.h"
#include "wire/gen-cpp/mesh_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>

namespace mimosarun {

/** A Thrift message as bytes of the compact protocol. */
template<typename Message>
std::string
Encode(const Message& aMessage)
{
  const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
  aMessage.write(&protocol);
  return buffer->getBufferAsString();
}

/** Undoes Encode(); damaged bytes give an error. */
template<typename Message>
Result<Message>
Decode(const std::string& aBytes)
{
  using apache::thrift::transport::TMemoryBuffer;
  // The buffer only reads; Thrift's interface has no constant view.
  auto* bytes = reinterpret_cast<uint8_t*>(const_cast<char*>(aBytes.data()));
  const auto buffer = std::make_shared<TMemoryBuffer>(bytes, static_cast<uint32_t>(aBytes.size()));
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  Message message;
  try {
    message.read(&protocol);
  } catch (const std::exception& fault) {
    return Fail(ErrorKind::CorruptData,
                std::string("a message is damaged: ") + fault.what() + "; send it again");
  }
  return message;
}

/** A reading of the process clock for a message. */
wire::Stamp
StampNow();

/** Takes the clock reading of a received message into the process clock. */
void
ObserveStamp(const wire::Stamp& aStamp);

} // namespace mimosarun
