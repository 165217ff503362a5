#pragma once

#include "transport/endpoint.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmon::transport {

/// Command line flags and environment variables of one program. Each flag has a variable, for
/// example --agent-address and PERSIMMON_AGENT_ADDRESS; the flag takes precedence.
class Settings
{
public:
    /// Validates the text of a setting.
    /// @return std::nullopt for a valid text, else a description of the allowed values.
    using Validator = std::function<std::optional<std::string>(const std::string &)>;

    Settings(std::string program, std::string description);

    void addText(const std::string &name, const std::string &help, const std::string &defaultValue,
                 Validator validate = {});
    void addInteger(const std::string &name, const std::string &help, std::int64_t defaultValue,
                    std::int64_t min, std::int64_t max);
    void addNumber(const std::string &name, const std::string &help, double defaultValue,
                   double min, double max);
    /// Adds a duration in whole milliseconds.
    void addMilliseconds(const std::string &name, const std::string &help,
                         std::chrono::milliseconds defaultValue, std::chrono::milliseconds min,
                         std::chrono::milliseconds max);
    /// Adds an "IP:port" address. An empty @p defaultValue makes it optional.
    void addEndpoint(const std::string &name, const std::string &help,
                     const std::string &defaultValue);
    void addChoice(const std::string &name, const std::string &help,
                   const std::string &defaultValue, std::vector<std::string> choices);
    /// Adds a boolean flag that is off by default.
    void addSwitch(const std::string &name, const std::string &help);
    /// Adds --log-level and --log-format.
    void addLogging();
    /// Permits positional arguments; see positionalArguments().
    void allowPositionalArguments(const std::string &help);
    /// Marks a setting as required: its value must not be empty.
    void require(const std::string &name);

    /// Parses flags and variables. Prints the help, the version or the first error.
    /// @return std::nullopt on success, else the exit status: 0 after help or version, 2 after an
    ///         error.
    std::optional<int> parse(int argc, const char *const *argv);

    std::string text(const std::string &name) const;
    std::int64_t integer(const std::string &name) const;
    double number(const std::string &name) const;
    std::chrono::milliseconds milliseconds(const std::string &name) const;
    /// @return the address in a setting that must not be empty.
    Endpoint endpoint(const std::string &name) const;
    bool isOn(const std::string &name) const;
    bool isEmpty(const std::string &name) const { return text(name).empty(); }
    const std::vector<std::string> &positionalArguments() const { return positionalArguments_; }

    /// Initializes logging from --log-level and --log-format.
    void initLogging() const;

    /// Prints an error about the value of a setting to standard error.
    /// @param allowed description of the allowed values.
    /// @return the exit status of a usage error, 2.
    int reportInvalid(const std::string &name, const std::string &allowed) const;

    /// Documentation of one setting, as listed in OPERATING.md.
    struct Description
    {
        std::string name;
        std::string variable;
        std::string defaultValue;
        std::string help;
    };
    std::vector<Description> describe() const;

private:
    struct Setting
    {
        std::string name;
        std::string help;
        std::string defaultValue;
        Validator validate = {};
        bool isSwitch = false;
        bool required = false;
        std::string value = {};
    };

    void add(Setting setting);
    const Setting &find(const std::string &name) const;
    std::optional<int> validateAll() const;

    std::string program_;
    std::string description_;
    std::string positionalHelp_;
    std::vector<Setting> settings_;
    std::vector<std::string> positionalArguments_;
};

} // namespace persimmon::transport
