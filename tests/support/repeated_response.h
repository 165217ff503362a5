#pragma once

#include "tests/support/raw_http.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace persimmon::tests {

/// What an upstream that repeats responses sends on a connection in place of one response. "Copy"
/// is its response to an earlier request.
enum class Repetition : std::uint8_t {
    CopyFirst,
    TwoCopiesFirst,
    HalfCopyFirst,
    CopyWithoutIdFirst,
    StatusLineFirst,
    HeadBrokenOff,
    BodyBrokenOff,
    BodyBrokenOffThenLate,
    BodyBrokenOffTwice,
    BodyBrokenOffThenCopy,
    BodyBrokenOffThenInterim,
    BodyBrokenOffThenSplit,
    LastByteMissing,
    StatusLineCut,
    FieldsCut,
    WithoutLength,
    OldVersion,
    Chunked,
};

struct RepetitionName
{
    Repetition repetition;
    std::string_view name;
};

inline constexpr std::array RepetitionNames{
        RepetitionName{Repetition::CopyFirst, "copy in front"},
        RepetitionName{Repetition::TwoCopiesFirst, "two copies in front"},
        RepetitionName{Repetition::HalfCopyFirst, "half a copy in front"},
        RepetitionName{Repetition::CopyWithoutIdFirst, "copy without its id in front"},
        RepetitionName{Repetition::StatusLineFirst, "status line of a copy in front"},
        RepetitionName{Repetition::HeadBrokenOff, "head broken off, then whole"},
        RepetitionName{Repetition::BodyBrokenOff, "body broken off, then whole"},
        RepetitionName{Repetition::BodyBrokenOffThenLate, "body broken off, whole after a pause"},
        RepetitionName{Repetition::BodyBrokenOffTwice, "body broken off twice, then whole"},
        RepetitionName{Repetition::BodyBrokenOffThenCopy, "body broken off, then a copy"},
        RepetitionName{Repetition::BodyBrokenOffThenInterim,
                       "body broken off, then interim and whole"},
        RepetitionName{Repetition::BodyBrokenOffThenSplit,
                       "body broken off, whole split where the body ends"},
        RepetitionName{Repetition::LastByteMissing, "last byte missing, then whole"},
        RepetitionName{Repetition::StatusLineCut, "12 bytes missing, then whole"},
        RepetitionName{Repetition::FieldsCut, "40 bytes missing, then whole"},
        RepetitionName{Repetition::WithoutLength, "no length, broken off, then whole"},
        RepetitionName{Repetition::OldVersion, "HTTP/1.0, broken off, then whole"},
        RepetitionName{Repetition::Chunked, "chunked, broken off, then whole"},
};

/// @param own the whole response, with a Content-Length that is its last field.
/// @param copy the whole response to an earlier request.
/// @param idField name of the field that holds the request id.
RawResponse repeatResponse(Repetition repetition, const std::string &own, const std::string &copy,
                           const std::string &idField);

} // namespace persimmon::tests
