#include "standin/request_target.h"

#include <boost/url.hpp>

#include <charconv>

namespace persimmon::standin {

std::string targetPath(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

std::string targetParameter(const std::string &target, const std::string &name)
{
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed)
        return "";
    const auto parameters = parsed->params();
    const auto found = parameters.find(name);
    return found == parameters.end() ? "" : std::string((*found).value);
}

std::uint64_t targetNumber(const std::string &target, const std::string &name)
{
    const auto text = targetParameter(target, name);
    std::uint64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return result.ec == std::errc() ? number : 0;
}

} // namespace persimmon::standin
