#include "ctl/config_check.h"

#include "ctl/report_format.h"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace json = boost::json;

namespace persimmon::ctl {

namespace {

using protocol::ConfigError;

/// Adds @p fault if @p requiredKey is missing from the configuration. A key with an invalid value
/// counts as present, since the value has a fault of its own.
void requireKey(const json::object &values, const std::string &requiredKey, ConfigError fault,
                std::vector<ConfigError> &faults)
{
    if (values.contains(requiredKey))
        return;
    fault.reason += requiredKey + " does not exist";
    faults.push_back(std::move(fault));
}

/// Adds a fault for each reference from @p document to a key that is missing.
/// @param key key of @p document.
void checkReferences(const json::object &values, const std::string &key,
                     const protocol::ConfigDocument &document, std::vector<ConfigError> &faults)
{
    if (const auto *profile = std::get_if<protocol::Profile>(&document)) {
        const auto value = json::serialize(json::string(profile->group));
        requireKey(values, "group/" + profile->group, {key, "/group", value, "the key "}, faults);
    }
    const auto name = key.substr(key.find('/') + 1);
    if (std::holds_alternative<protocol::GroupSettings>(document))
        requireKey(values, "index/" + name, {key, "", "", "the group has no index, the key "},
                   faults);
    if (std::holds_alternative<protocol::GroupIndex>(document))
        requireKey(values, "group/" + name, {key, "", "", "the index has no group, the key "},
                   faults);
}

json::value toJson(const std::vector<ConfigError> &faults)
{
    json::array rows;
    for (const auto &fault : faults) {
        rows.emplace_back(json::object{{"key", fault.key},
                                       {"path", fault.path},
                                       {"value", fault.value},
                                       {"reason", fault.reason}});
    }
    return rows;
}

} // namespace

std::vector<ConfigError> checkConfiguration(std::string_view text)
{
    json::error_code failure;
    const auto parsed = json::parse(text, failure);
    if (failure)
        return {{"", "", "", "the file is not valid JSON: " + failure.message()}};
    const auto *values = parsed.if_object();
    if (values == nullptr)
        return {{"", "", "", "the file must contain a JSON object that maps keys to values"}};
    std::vector<ConfigError> faults;
    for (const auto &row : *values) {
        const std::string key(row.key().data(), row.key().size());
        const auto document = protocol::parseConfigDocument(key, json::serialize(row.value()));
        if (isOk(document))
            checkReferences(*values, key, valueOf(document), faults);
        else
            faults.push_back(errorOf(document));
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const auto &left, const auto &right) { return left.key < right.key; });
    return faults;
}

CommandResult checkConfigFile(const std::string &path, bool asJson)
{
    std::ifstream stream(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(stream),
                           std::istreambuf_iterator<char>()};
    if (!stream)
        return makeFailure("the file " + path + " cannot be read");
    const auto faults = checkConfiguration(text);
    const auto status = faults.empty() ? ExitStatus::Success : ExitStatus::Failed;
    if (asJson)
        return {status, formatReport(toJson(faults), true), ""};
    std::string output;
    for (const auto &fault : faults) {
        output += (fault.key.empty() ? path : fault.key) + " " + fault.path + ": " + fault.reason;
        output += (fault.value.empty() ? "" : " (value " + fault.value + ")") + "\n";
    }
    return {status, faults.empty() ? "the configuration is valid\n" : output, ""};
}

} // namespace persimmon::ctl
