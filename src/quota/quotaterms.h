#pragma once

#include <chrono>

namespace mimosarun {

/** Time from a node's report until its fallback rate ends; ledgers charge silent nodes as long. */
inline constexpr std::chrono::milliseconds kQuotaFallbackTime{ 8000 };

/** Time beyond the interval of reports for which a grant holds, so that a slow report doesn't end it. */
inline constexpr std::chrono::milliseconds kQuotaGrantGrace{ 500 };

/** Shortest time between two reports of a node about a team. */
inline constexpr std::chrono::milliseconds kQuotaReportInterval{ 500 };

/** Wire fields with rates hold thousandths. */
inline constexpr double kQuotaMilli = 1000;

} // namespace mimosarun
