#pragma once

#include "common/clock.h"
#include "control/controller.h"
#include "operators/answer.h"
#include "operators/command.h"
#include "operators/request.h"

#include <string>

namespace mimosarun {

/** Runs operators' commands on a control replica. */
class ControlCommandRunner
{
public:
  explicit ControlCommandRunner(Controller& aController);

  Answer Run(const OperatorRequest& aRequest, Deadline aDeadline);

private:
  Answer CatchUpAndShow(const OperatorCommand& aCommand, Deadline aDeadline);
  Answer Show(const OperatorCommand& aCommand);
  Answer ShowInForce() const;
  Answer ShowServices() const;
  Answer ShowRoutes() const;
  Answer ShowTargets() const;
  Answer ShowNodes() const;
  Answer ShowTeams();
  Answer ShowControl();
  Answer ShowVersions() const;
  Answer ShowProposals() const;
  Answer ShowRollouts() const;
  Answer StartRollout(const OperatorCommand& aCommand, const OperatorRequest& aRequest, Deadline aDeadline);
  Answer EndRollout(const OperatorCommand& aCommand, const OperatorRequest& aRequest, Deadline aDeadline);
  Answer ExplainVersion(int64_t aVersion) const;
  Answer ShowDifference(int64_t aFrom, int64_t aTo) const;
  Answer SubmitCommand(const OperatorCommand& aCommand, const OperatorRequest& aRequest, Deadline aDeadline);

  Controller& m_controller;
};

/** Converts the result of a replicated command; aDoneMessage is the message if it succeeded. */
Answer
ToAnswer(const wire::CommandResult& aResult, const std::string& aDoneMessage);

} // namespace mimosarun
