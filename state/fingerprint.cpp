#include "state/fingerprint.h"

#include <xxhash.h>

#include <string>

namespace persimmon::state {

std::uint64_t queryFingerprint(std::string_view group, std::string_view query)
{
    // The separator distinguishes ("ab", "c") from ("a", "bc").
    std::string text(group);
    text += '\n';
    text += query;
    return XXH64(text.data(), text.size(), 0);
}

} // namespace persimmon::state
