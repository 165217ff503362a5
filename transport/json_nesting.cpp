#include "transport/json_nesting.h"

namespace persimmon {
namespace transport {

bool isNestedDeeper(const std::string &text, std::size_t maxDepth)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char letter = text[i];
        if (inString && letter == '\\')
            ++i;
        else if (letter == '"')
            inString = !inString;
        else if (!inString && (letter == '[' || letter == '{') && ++depth > maxDepth)
            return true;
        else if (!inString && (letter == ']' || letter == '}') && depth > 0)
            --depth;
    }
    return false;
}

} // namespace transport
} // namespace persimmon
