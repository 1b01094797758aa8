#include "node/routeanswer.h"

namespace mimosarun {

static const char*
Name(Locality aLocality)
{
  switch (aLocality) {
    case Locality::FailureDomain:
      return "failure-domain";
    case Locality::Region:
      return "region";
    case Locality::OtherRegion:
      return "other-region";
  }
  return "other-region";
}

static std::string
Text(std::chrono::microseconds aTime)
{
  return std::to_string(aTime.count());
}

static std::vector<std::string>
Row(const ExplainedService& aService, size_t aIndex)
{
  const GateCost& gate = aService.considered[aIndex];
  return { aService.service,
           std::to_string(aIndex + 1),
           gate.node,
           Name(gate.locality),
           Text(gate.totalCost),
           Text(gate.distanceCost),
           Text(gate.failurePenalty),
           Text(gate.responseTime),
           Text(gate.queueWait),
           gate.reportAge ? Text(*gate.reportAge) : "unknown",
           gate.isEjected      ? "ejected"
           : gate.waitsTooLong ? "wait-too-long"
                               : "usable" };
}

Answer
RouteAnswer(const RouteExplanation& aExplanation)
{
  const std::string version = "version " + std::to_string(aExplanation.version);
  if (aExplanation.route.empty()) {
    return { .code = AnswerCode::Refused, .message = "no route matches the request in " + version };
  }
  Answer answer{ .columns = { "service",
                              "rank",
                              "gate",
                              "locality",
                              "cost-micros",
                              "distance",
                              "failures",
                              "response-time",
                              "queue-wait",
                              "report-age",
                              "state" } };
  answer.message = "route " + aExplanation.route + ", " + version + ", longest wait " +
                   Text(aExplanation.longestWait) + " us";
  if (aExplanation.quarantinedFor) {
    answer.message += "; not sent: quarantined for " + std::to_string(aExplanation.quarantinedFor->count()) +
                      " ms, as targets ended whenever they ran the request";
  }
  for (const ExplainedService& service : aExplanation.services) {
    answer.message += "; service " + service.service + ": weight " + std::to_string(service.weight) + ", " +
                      std::to_string(service.considered.size()) + " of " + std::to_string(service.gates) +
                      " gates considered";
    for (size_t index = 0; index < service.considered.size(); ++index) {
      answer.rows.push_back(Row(service, index));
    }
  }
  return answer;
}

} // namespace mimosarun
