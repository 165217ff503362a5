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

constexpr int UsageErrorStatus = 2;

std::string variableName(const std::string &name)
{
    std::string variable = "PERSIMMON_" + name;
    std::transform(variable.begin(), variable.end(), variable.begin(), [](unsigned char letter) {
        return letter == '-' ? '_' : static_cast<char>(std::toupper(letter));
    });
    return variable;
}

template <typename Number>
std::optional<Number> parseNumber(const std::string &text)
{
    Number number{};
    const auto *end = text.data() + text.size();
    const auto [parsed, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc() || parsed != end)
        return std::nullopt;
    return number;
}

template <typename Number>
Settings::Validator makeRangeValidator(Number min, Number max, const std::string &kind)
{
    return [=](const std::string &text) -> std::optional<std::string> {
        const auto number = parseNumber<Number>(text);
        if (number && *number >= min && *number <= max)
            return std::nullopt;
        std::ostringstream allowed;
        allowed << kind << " from " << min << " to " << max;
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
std::vector<std::string> enumNames(const std::array<EnumName<Enum>, Size> &table)
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
    setting.value = setting.defaultValue;
    settings_.push_back(std::move(setting));
}

void Settings::addText(const std::string &name, const std::string &help,
                       const std::string &defaultValue, Validator validate)
{
    add({name, help, defaultValue, std::move(validate)});
}

void Settings::addInteger(const std::string &name, const std::string &help,
                          std::int64_t defaultValue, std::int64_t min, std::int64_t max)
{
    add({name, help, std::to_string(defaultValue), makeRangeValidator(min, max, "an integer")});
}

void Settings::addNumber(const std::string &name, const std::string &help, double defaultValue,
                         double min, double max)
{
    add({name, help, formatNumber(defaultValue), makeRangeValidator(min, max, "a number")});
}

void Settings::addMilliseconds(const std::string &name, const std::string &help,
                               std::chrono::milliseconds defaultValue,
                               std::chrono::milliseconds min, std::chrono::milliseconds max)
{
    add({name, help + " (milliseconds)", std::to_string(defaultValue.count()),
         makeRangeValidator<std::int64_t>(min.count(), max.count(),
                                          "an integer number of milliseconds")});
}

void Settings::addEndpoint(const std::string &name, const std::string &help,
                           const std::string &defaultValue)
{
    auto validate = [defaultValue](const std::string &text) -> std::optional<std::string> {
        if ((text.empty() && defaultValue.empty()) || isOk(parseEndpoint(text)))
            return std::nullopt;
        return "an IP address and port such as 127.0.1.1:7100";
    };
    add({name, help, defaultValue, validate});
}

void Settings::addChoice(const std::string &name, const std::string &help,
                         const std::string &defaultValue, std::vector<std::string> choices)
{
    std::string allowed;
    for (const auto &choice : choices)
        allowed += (allowed.empty() ? "" : ", ") + choice;
    auto validate = [choices = std::move(choices),
                     allowed](const std::string &text) -> std::optional<std::string> {
        if (std::find(choices.begin(), choices.end(), text) != choices.end())
            return std::nullopt;
        return "one of " + allowed;
    };
    add({name, help + " (" + allowed + ")", defaultValue, validate});
}

void Settings::addSwitch(const std::string &name, const std::string &help)
{
    auto validate = [](const std::string &text) -> std::optional<std::string> {
        if (text == "true" || text == "false")
            return std::nullopt;
        return "true or false";
    };
    add({name, help, "false", validate, true});
}

void Settings::addLogging()
{
    addChoice("log-level", "minimum severity of logged messages", "info", enumNames(LogLevelNames));
    addChoice("log-format", "format of log lines", "text", enumNames(LogFormatNames));
}

void Settings::allowPositionalArguments(const std::string &help)
{
    positionalHelp_ = help;
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
            add(setting.name, help,
                cxxopts::value<std::string>()->default_value(setting.defaultValue));
    }
    add("help", "print this help and exit");
    add("version", "print the version and exit");
    add("arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("arguments");
    options.positional_help(positionalHelp_);
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
            positionalArguments_ = result["arguments"].as<std::vector<std::string>>();
    } catch (const std::exception &exception) {
        std::cerr << program_ << ": " << exception.what() << "; see --help\n";
        return UsageErrorStatus;
    }
    if (positionalHelp_.empty() && !positionalArguments_.empty()) {
        std::cerr << program_ << ": unexpected argument '" << positionalArguments_.front()
                  << "'; only flags are allowed, see --help\n";
        return UsageErrorStatus;
    }
    return validateAll();
}

std::optional<int> Settings::validateAll() const
{
    for (const auto &setting : settings_) {
        if (setting.required && setting.value.empty())
            return reportInvalid(setting.name, "a non-empty value");
        if (!setting.validate)
            continue;
        if (const auto allowed = setting.validate(setting.value))
            return reportInvalid(setting.name, *allowed);
    }
    return std::nullopt;
}

int Settings::reportInvalid(const std::string &name, const std::string &allowed) const
{
    std::cerr << program_ << ": invalid value '" << find(name).value << "' for --" << name
              << "; expected " << allowed << "\n";
    return UsageErrorStatus;
}

const Settings::Setting &Settings::find(const std::string &name) const
{
    for (const auto &setting : settings_) {
        if (setting.name == name)
            return setting;
    }
    throw std::logic_error("unknown setting: " + name);
}

std::string Settings::text(const std::string &name) const
{
    return find(name).value;
}

std::int64_t Settings::integer(const std::string &name) const
{
    return parseNumber<std::int64_t>(text(name)).value_or(0);
}

double Settings::number(const std::string &name) const
{
    return parseNumber<double>(text(name)).value_or(0);
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
        rows.push_back(
                {setting.name, variableName(setting.name), setting.defaultValue, setting.help});
    return rows;
}

} // namespace persimmon::transport
