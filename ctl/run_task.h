#pragma once

#include "transport/runtime.h"

#include <functional>
#include <optional>

namespace persimmon::ctl {

/// Runs one coroutine to its end on the calling thread.
/// @param make makes the coroutine for the runtime that runs it.
/// @return the coroutine's result.
template <typename Value>
Value runTask(std::function<boost::asio::awaitable<Value>(transport::Runtime &)> make)
{
    transport::Runtime runtime(1);
    std::optional<Value> result;
    // The coroutine gets its state as parameters: a lambda's captures end with the lambda.
    const auto run = [](auto &maker, auto &place,
                        transport::Runtime &runner) -> boost::asio::awaitable<void> {
        place = co_await maker(runner);
        runner.requestStop();
    };
    runtime.spawn(run(make, result, runtime));
    runtime.run();
    return std::move(*result);
}

} // namespace persimmon::ctl
