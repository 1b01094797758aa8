#pragma once

#include "http/message.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

struct MHD_Connection;
struct MHD_Response;

namespace mimosarun {

/**
 * One request at a server and its answer. The answer may come from any thread, whole or in pieces; no server
 * thread waits for it. Thread-safe.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  explicit Exchange(HttpRequest aRequest);

  const HttpRequest& Request() const { return m_request; }

  /** Answers with a whole body; ignored once an answer has begun. */
  void Respond(HttpResponse aResponse);

  /** Begins an answer whose body follows by Write(); false if an answer has begun already. */
  bool Start(HttpHead aHead);

  /** Adds a piece of the body; false when the buffer is full and the writer should wait for a drain. */
  bool Write(std::string_view aBytes);

  /** Ends the body. An incomplete one closes the connection so that the cut shows. */
  void Finish(bool aComplete);

  /** Called once when the other end has gone before the answer was complete. */
  void OnCancel(std::function<void()> aCallback);

  /** Called when a full buffer has room again. */
  void OnDrain(std::function<void()> aCallback);

  bool Started() const;

private:
  friend class HttpServer;
  friend struct ServerCallbacks;

  /** How far the answer is. */
  enum class Stage
  {
    Waiting,
    Started,
    Finished,
    Broken,
  };

  static ssize_t ReadBody(void* aSelf, uint64_t aPosition, char* aBuffer, size_t aLimit);
  ssize_t ReadBodyLocked(char* aBuffer, size_t aLimit, std::function<void()>& aDrained);

  void Suspend(MHD_Connection* aConnection, int aSocket);
  void ResumeLocked();
  bool ReadyToQueue() const;
  MHD_Response* MakeResponse(const std::shared_ptr<Exchange>& aSelf);
  int Status() const;
  void Cancel();
  int WatchedSocket() const;

  HttpRequest m_request;
  mutable std::mutex m_mutex;
  Stage m_stage = Stage::Waiting;
  HttpHead m_head;
  std::string m_buffer;
  size_t m_bufferStart = 0;
  bool m_writerWaits = false;
  bool m_cancelled = false;
  bool m_suspended = false;
  MHD_Connection* m_connection = nullptr;
  int m_socket = -1;
  std::function<void()> m_onCancel;
  std::function<void()> m_onDrain;
};

using ExchangePointer = std::shared_ptr<Exchange>;

} // namespace mimosarun
