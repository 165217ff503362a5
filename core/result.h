#pragma once

#include <utility>
#include <variant>

namespace persimmon {

/// Either a value or an error of the layer that failed.
template <typename Value, typename Error>
using Result = std::variant<Value, Error>;

/// Value of a successful operation that returns no data.
struct Ok
{
    bool operator==(const Ok &) const = default;
};

/// Either success without a value or an error of the layer that failed.
template <typename Error>
using Status = Result<Ok, Error>;

/// @return whether @p result contains a value.
template <typename Value, typename Error>
bool isOk(const Result<Value, Error> &result)
{
    return result.index() == 0;
}

/// @return the value of @p result, which must contain one.
template <typename Value, typename Error>
const Value &valueOf(const Result<Value, Error> &result)
{
    return std::get<0>(result);
}

/// @return an rvalue reference to the value of @p result, which must contain one.
template <typename Value, typename Error>
Value &&takeValue(Result<Value, Error> &result)
{
    return std::move(std::get<0>(result));
}

/// @return the error of @p result, which must contain one.
template <typename Value, typename Error>
const Error &errorOf(const Result<Value, Error> &result)
{
    return std::get<1>(result);
}

} // namespace persimmon
