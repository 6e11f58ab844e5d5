#ifndef REVIEW_STAND_IN_2_SCENARIO_H
#define REVIEW_STAND_IN_2_SCENARIO_H

#include "http.h"
#include "record.h"

// The cases that are scripts. Each tells whether the rule held.
namespace review {

enum class verdict : int { Held = 0, Broken = 1, NotRun = 2 };

using scenario = asio::awaitable<verdict> (*)(asio::io_context &context, record &log, bool trouble);

asio::awaitable<verdict> failingService(asio::io_context &context, record &log, bool trouble);
asio::awaitable<verdict> failuresAtStartOfTasks(asio::io_context &context, record &log,
                                                bool trouble);

} // namespace review

#endif
