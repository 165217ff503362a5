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

/// Flags and environment variables of one program. A flag goes before its variable: --agent-address
/// is also PERSIMMON_AGENT_ADDRESS.
class Settings
{
public:
    /// Checks a text.
    /// @return what is allowed, when the text is not; else nothing.
    using Check = std::function<std::optional<std::string>(const std::string &)>;

    Settings(std::string program, std::string description);

    void addText(const std::string &name, const std::string &help, const std::string &initial,
                 Check check = {});
    void addInteger(const std::string &name, const std::string &help, std::int64_t initial,
                    std::int64_t least, std::int64_t most);
    void addNumber(const std::string &name, const std::string &help, double initial, double least,
                   double most);
    /// A duration in whole milliseconds.
    void addMilliseconds(const std::string &name, const std::string &help,
                         std::chrono::milliseconds initial, std::chrono::milliseconds least,
                         std::chrono::milliseconds most);
    /// An "IP:port"; an empty initial value makes it optional.
    void addEndpoint(const std::string &name, const std::string &help, const std::string &initial);
    void addChoice(const std::string &name, const std::string &help, const std::string &initial,
                   std::vector<std::string> choices);
    /// A switch that is off unless given.
    void addSwitch(const std::string &name, const std::string &help);
    /// Adds --log-level and --log-format.
    void addLogging();
    /// Allows positional arguments; see arguments().
    void allowArguments(const std::string &help);
    /// Marks a setting that must not be empty.
    void require(const std::string &name);

    /// Reads flags and variables. Prints help, version or one line about the first fault.
    /// @return the exit status when the program must end: 0 after help or version, 2 after a fault.
    std::optional<int> parse(int argc, const char *const *argv);

    std::string text(const std::string &name) const;
    std::int64_t integer(const std::string &name) const;
    double number(const std::string &name) const;
    std::chrono::milliseconds milliseconds(const std::string &name) const;
    /// The endpoint; the setting must not be empty.
    Endpoint endpoint(const std::string &name) const;
    bool isOn(const std::string &name) const;
    bool isEmpty(const std::string &name) const { return text(name).empty(); }
    const std::vector<std::string> &arguments() const { return arguments_; }

    /// Sets up logging from --log-level and --log-format.
    void initLogging() const;

    /// Prints one line about an inconsistent set of settings to standard error.
    /// @return 2, the exit status to use.
    int reject(const std::string &name, const std::string &allowed) const;

    /// One setting as OPERATING.md lists it.
    struct Description
    {
        std::string name;
        std::string variable;
        std::string initial;
        std::string help;
    };
    std::vector<Description> describe() const;

private:
    struct Setting
    {
        std::string name;
        std::string help;
        std::string initial;
        Check check = {};
        bool isSwitch = false;
        bool required = false;
        std::string value = {};
    };

    void add(Setting setting);
    const Setting &find(const std::string &name) const;
    std::optional<int> checkAll() const;

    std::string program_;
    std::string description_;
    std::string argumentsHelp_;
    std::vector<Setting> settings_;
    std::vector<std::string> arguments_;
};

} // namespace persimmon::transport
