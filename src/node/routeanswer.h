#pragma once

#include "caller/routeexplanation.h"
#include "operators/answer.h"

namespace mimosarun {

/** Returns the answer to 'explain route': a row for each gate that was considered, the best one first. */
Answer
RouteAnswer(const RouteExplanation& aExplanation);

} // namespace mimosarun
