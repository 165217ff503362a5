#pragma once

#include "protocol/json_reader.h"

namespace persimmon::protocol {

/// Adds the era to @p object. The first era is left out, as builds and services that know of no
/// eras do.
inline void writeEra(boost::json::object &object, std::string_view name, std::uint64_t era)
{
    if (era > 1)
        object[name] = era;
}

/// @return the era in the member @p name of an object; 1 if it is absent.
inline std::uint64_t readEra(const JsonReader &reader, std::string_view name)
{
    return reader.has(name) ? reader.member(name).integer(1) : 1;
}

} // namespace persimmon::protocol
