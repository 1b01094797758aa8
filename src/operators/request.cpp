#include "operators/request.h"

#include "settings/jsonreader.h"

namespace mimosarun {

Result<OperatorRequest>
ParseOperatorRequest(const std::string& aBody)
{
  MIMOSARUN_TRY(const nlohmann::json document, ParseJson(aBody, "request"));
  Problems problems;
  JsonReader reader(document, "request", problems);
  OperatorRequest request{ .command = reader.Text("command"),
                           .requestId = reader.Text("requestId", ""),
                           .author = reader.Text("author", "operator"),
                           .document = reader.Text("document", "") };
  reader.ReportUnknownKeys();
  if (!problems.Empty()) {
    return Fail(ErrorKind::InvalidInput, problems.Text());
  }
  return request;
}

} // namespace mimosarun
