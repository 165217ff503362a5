#pragma once

#include <utility>
#include <variant>

namespace persimmon {

/// Either a value or the error of the layer that failed.
template <typename Value, typename Error>
using Result = std::variant<Value, Error>;

/// Success without a value.
struct Ok
{
    bool operator==(const Ok &) const = default;
};

/// Either success or the error of the layer that failed.
template <typename Error>
using Status = Result<Ok, Error>;

/// @return whether @p result holds a value.
template <typename Value, typename Error>
bool isOk(const Result<Value, Error> &result)
{
    return result.index() == 0;
}

/// @return the value of @p result, which must hold one.
template <typename Value, typename Error>
const Value &valueOf(const Result<Value, Error> &result)
{
    return std::get<0>(result);
}

/// @return the value of @p result, moved out; @p result must hold one.
template <typename Value, typename Error>
Value &&takeValue(Result<Value, Error> &result)
{
    return std::move(std::get<0>(result));
}

/// @return the error of @p result, which must hold one.
template <typename Value, typename Error>
const Error &errorOf(const Result<Value, Error> &result)
{
    return std::get<1>(result);
}

} // namespace persimmon
