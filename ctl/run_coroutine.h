#pragma once

#include "transport/runtime.h"

#include <functional>
#include <optional>

namespace persimmon::ctl {

/// Runs one coroutine to completion and blocks the calling thread until then.
/// @param makeCoroutine creates the coroutine for the runtime that executes it.
/// @return the result of the coroutine.
template <typename Value>
Value runCoroutine(std::function<boost::asio::awaitable<Value>(transport::Runtime &)> makeCoroutine)
{
    transport::Runtime runtime(1);
    std::optional<Value> result;
    // State is passed as parameters, since the captures of a lambda coroutine are destroyed with
    // the lambda object.
    const auto run = [](auto &factory, auto &output,
                        transport::Runtime &owner) -> boost::asio::awaitable<void> {
        output = co_await factory(owner);
        owner.requestStop();
    };
    runtime.spawn(run(makeCoroutine, result, runtime));
    runtime.run();
    return std::move(*result);
}

} // namespace persimmon::ctl
