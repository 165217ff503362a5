#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace persimmon {

/// One row of a name table: an enumerator and the name used in messages and logs.
template <typename Enum>
struct EnumName
{
    Enum value;
    std::string_view name;
};

/// @return the name of @p value in @p table, or "invalid" if the table has none.
template <typename Enum, std::size_t Size>
constexpr std::string_view enumName(const std::array<EnumName<Enum>, Size> &table, Enum value)
{
    for (const auto &row : table) {
        if (row.value == value)
            return row.name;
    }
    return "invalid";
}

/// @return the enumerator named @p name in @p table, or std::nullopt if the table has none.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> enumValue(const std::array<EnumName<Enum>, Size> &table,
                                        std::string_view name)
{
    for (const auto &row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace persimmon
