#include "transport/settings.h"

#include "transport/log.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <stdexcept>

namespace persimmon::transport {

namespace {

constexpr int UsageExitStatus = 2;

std::string variableName(const std::string &name)
{
    std::string variable = "PERSIMMON_" + name;
    std::transform(variable.begin(), variable.end(), variable.begin(), [](unsigned char letter) {
        return letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
    });
    return variable;
}

template <typename Number>
std::optional<Number> readNumber(const std::string &text)
{
    Number number{};
    const auto *end = text.data() + text.size();
    const auto [parsed, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc() || parsed != end)
        return std::nullopt;
    return number;
}

template <typename Number>
Settings::Check makeRangeCheck(Number least, Number most, const std::string &kind)
{
    return [=](const std::string &text) -> std::optional<std::string> {
        const auto number = readNumber<Number>(text);
        if (number && *number >= least && *number <= most)
            return std::nullopt;
        std::ostringstream allowed;
        allowed << kind << " from " << least << " to " << most;
        return allowed.str();
    };
}

std::string formatNumber(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

template <std::size_t Size, typename Enum>
std::vector<std::string> namesOf(const std::array<EnumName<Enum>, Size> &table)
{
    std::vector<std::string> names;
    for (const auto &row : table)
        names.emplace_back(row.name);
    return names;
}

} // namespace

Settings::Settings(std::string program, std::string description)
    : program_(std::move(program)),
      description_(std::move(description))
{
}

void Settings::add(Setting setting)
{
    setting.value = setting.initial;
    settings_.push_back(std::move(setting));
}

void Settings::addText(const std::string &name, const std::string &help, const std::string &initial,
                       Check check)
{
    add({name, help, initial, std::move(check)});
}

void Settings::addInteger(const std::string &name, const std::string &help, std::int64_t initial,
                          std::int64_t least, std::int64_t most)
{
    add({name, help, std::to_string(initial), makeRangeCheck(least, most, "a whole number")});
}

void Settings::addNumber(const std::string &name, const std::string &help, double initial,
                         double least, double most)
{
    add({name, help, formatNumber(initial), makeRangeCheck(least, most, "a number")});
}

void Settings::addMilliseconds(const std::string &name, const std::string &help,
                               std::chrono::milliseconds initial, std::chrono::milliseconds least,
                               std::chrono::milliseconds most)
{
    add({name, help + " (milliseconds)", std::to_string(initial.count()),
         makeRangeCheck<std::int64_t>(least.count(), most.count(),
                                      "a whole number of milliseconds")});
}

void Settings::addEndpoint(const std::string &name, const std::string &help,
                           const std::string &initial)
{
    auto check = [initial](const std::string &text) -> std::optional<std::string> {
        if ((text.empty() && initial.empty()) || isOk(parseEndpoint(text)))
            return std::nullopt;
        return "an IP address and port such as 127.0.1.1:7100";
    };
    add({name, help, initial, check});
}

void Settings::addChoice(const std::string &name, const std::string &help,
                         const std::string &initial, std::vector<std::string> choices)
{
    std::string allowed;
    for (const auto &choice : choices)
        allowed += (allowed.empty() ? "" : ", ") + choice;
    auto check = [choices = std::move(choices),
                  allowed](const std::string &text) -> std::optional<std::string> {
        if (std::find(choices.begin(), choices.end(), text) != choices.end())
            return std::nullopt;
        return "one of " + allowed;
    };
    add({name, help + " (" + allowed + ")", initial, check});
}

void Settings::addSwitch(const std::string &name, const std::string &help)
{
    auto check = [](const std::string &text) -> std::optional<std::string> {
        if (text == "true" || text == "false")
            return std::nullopt;
        return "true or false";
    };
    add({name, help, "false", check, true});
}

void Settings::addLogging()
{
    addChoice("log-level", "least severity that is logged", "info", namesOf(LogLevelNames));
    addChoice("log-format", "form of the log lines", "text", namesOf(LogFormatNames));
}

void Settings::allowArguments(const std::string &help)
{
    argumentsHelp_ = help;
}

void Settings::require(const std::string &name)
{
    for (auto &setting : settings_) {
        if (setting.name == name)
            setting.required = true;
    }
}

std::optional<int> Settings::parse(int argc, const char *const *argv)
{
    cxxopts::Options options(program_, description_);
    auto add = options.add_options();
    for (const auto &setting : settings_) {
        auto help = setting.help + " [" + variableName(setting.name) + "]";
        if (setting.isSwitch)
            add(setting.name, help);
        else
            add(setting.name, help, cxxopts::value<std::string>()->default_value(setting.initial));
    }
    add("help", "print this help and exit");
    add("version", "print the version and exit");
    add("arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("arguments");
    options.positional_help(argumentsHelp_);
    try {
        const auto result = options.parse(argc, argv);
        if (result.count("help") > 0) {
            std::cout << options.help() << "Durations are in milliseconds; each flag can be set by "
                      << "the environment variable in brackets.\n";
            return 0;
        }
        if (result.count("version") > 0) {
            std::cout << program_ << " " << PERSIMMON_VERSION << "\n";
            return 0;
        }
        for (auto &setting : settings_) {
            const char *variable = std::getenv(variableName(setting.name).c_str());
            if (result.count(setting.name) > 0)
                setting.value = setting.isSwitch ? "true" : result[setting.name].as<std::string>();
            else if (variable != nullptr)
                setting.value = variable;
        }
        if (result.count("arguments") > 0)
            arguments_ = result["arguments"].as<std::vector<std::string>>();
    } catch (const std::exception &exception) {
        std::cerr << program_ << ": " << exception.what() << "; see --help\n";
        return UsageExitStatus;
    }
    if (argumentsHelp_.empty() && !arguments_.empty()) {
        std::cerr << program_ << ": unexpected argument '" << arguments_.front()
                  << "'; only flags are allowed, see --help\n";
        return UsageExitStatus;
    }
    return checkAll();
}

std::optional<int> Settings::checkAll() const
{
    for (const auto &setting : settings_) {
        if (setting.required && setting.value.empty())
            return reject(setting.name, "a value, since the setting is required");
        if (!setting.check)
            continue;
        if (const auto allowed = setting.check(setting.value))
            return reject(setting.name, *allowed);
    }
    return std::nullopt;
}

int Settings::reject(const std::string &name, const std::string &allowed) const
{
    std::cerr << program_ << ": --" << name << " is '" << find(name).value << "'; allowed is "
              << allowed << "\n";
    return UsageExitStatus;
}

const Settings::Setting &Settings::find(const std::string &name) const
{
    for (const auto &setting : settings_) {
        if (setting.name == name)
            return setting;
    }
    throw std::logic_error("no setting is called " + name);
}

std::string Settings::text(const std::string &name) const
{
    return find(name).value;
}

std::int64_t Settings::integer(const std::string &name) const
{
    return readNumber<std::int64_t>(text(name)).value_or(0);
}

double Settings::number(const std::string &name) const
{
    return readNumber<double>(text(name)).value_or(0);
}

std::chrono::milliseconds Settings::milliseconds(const std::string &name) const
{
    return std::chrono::milliseconds(integer(name));
}

Endpoint Settings::endpoint(const std::string &name) const
{
    return valueOf(parseEndpoint(text(name)));
}

bool Settings::isOn(const std::string &name) const
{
    return text(name) == "true";
}

void Settings::initLogging() const
{
    transport::initLogging(enumValue(LogLevelNames, text("log-level")).value_or(LogLevel::Info),
                           enumValue(LogFormatNames, text("log-format")).value_or(LogFormat::Text),
                           program_);
}

std::vector<Settings::Description> Settings::describe() const
{
    std::vector<Description> rows;
    for (const auto &setting : settings_)
        rows.push_back({setting.name, variableName(setting.name), setting.initial, setting.help});
    return rows;
}

} // namespace persimmon::transport
