#include "ctl/ctl.h"
#include "protocol/caller_codec.h"
#include "transport/settings.h"

#include <iostream>

using namespace persimmon;

namespace {

using ctl::CommandResult;
using transport::Settings;

constexpr const char *CommandSyntax =
        "locate | query | status | config check FILE | config show | owners | audit";

void declareSettings(Settings &settings)
{
    using std::chrono::milliseconds;
    settings.addEndpoint("entry", "address of an entry, for locate and query", "127.0.0.1:7100");
    settings.addEndpoint("admin",
                         "admin address of a daemon, for status, config show, owners and audit",
                         "127.0.0.1:7301");
    settings.addText("caller", "name of the caller, for locate and query", "persimmonctl");
    settings.addText("profile", "profile of the query", "");
    settings.addText("query", "query object as JSON", "{}");
    settings.addText("key", "key of a lookup", "");
    settings.addText("request-id", "request id; required for a non-repeatable profile", "");
    settings.addText("snapshot-token",
                     "minimum snapshot of the answer: the token of an earlier answer", "");
    settings.addMilliseconds("deadline",
                             "maximum time until the answer; 0 uses the deadline of the profile",
                             milliseconds(0), milliseconds(0), std::chrono::hours(1));
    settings.addMilliseconds("timeout", "maximum time to wait for the response of a daemon",
                             milliseconds(10'000), milliseconds(1), std::chrono::hours(1));
    settings.addSwitch("json", "print JSON instead of text");
    settings.allowPositionalArguments(CommandSyntax);
}

std::optional<std::string> optionalText(const Settings &settings, const std::string &name)
{
    return settings.isEmpty(name) ? std::nullopt : std::optional(settings.text(name));
}

CommandResult runQueryCommand(const Settings &settings)
{
    protocol::QueryRequest request{settings.text("profile"),
                                   settings.text("caller"),
                                   settings.text("query"),
                                   optionalText(settings, "key"),
                                   std::nullopt,
                                   optionalText(settings, "snapshot-token"),
                                   optionalText(settings, "request-id")};
    if (settings.milliseconds("deadline").count() > 0)
        request.deadline = settings.milliseconds("deadline");
    // Validates the request with the decoder that the entry uses, so that an invalid flag is a
    // usage error and nothing is sent.
    const auto validated = protocol::decodeQueryRequest(protocol::encodeQueryRequest(request));
    if (!isOk(validated))
        return {ctl::ExitStatus::Usage, "", "the query is invalid: " + errorOf(validated).message};
    return ctl::runQuery(settings.endpoint("entry"), valueOf(validated),
                         settings.milliseconds("timeout"), settings.isOn("json"));
}

CommandResult runCommand(const Settings &settings)
{
    const auto &arguments = settings.positionalArguments();
    const auto asJson = settings.isOn("json");
    const auto timeout = settings.milliseconds("timeout");
    std::string command;
    for (std::size_t index = 0; index < arguments.size() && index < 2; ++index)
        command += (index == 0 ? "" : " ") + arguments[index];
    if (arguments.size() == 3 && command == "config check")
        return ctl::checkConfigFile(arguments[2], asJson);
    if (arguments.size() <= 2) {
        if (command == "locate")
            return ctl::locate(settings.endpoint("entry"), settings.text("caller"),
                               settings.text("profile"), timeout, asJson);
        if (command == "query")
            return runQueryCommand(settings);
        if (command == "config show")
            return ctl::callAdmin(settings.endpoint("admin"), "config_show", timeout, asJson);
        if (command == "status" || command == "owners" || command == "audit")
            return ctl::callAdmin(settings.endpoint("admin"), command, timeout, asJson);
    }
    return {ctl::ExitStatus::Usage, "",
            std::string("the command must be one of: ") + CommandSyntax};
}

} // namespace

int main(int argc, char **argv)
{
    Settings settings("persimmonctl",
                      "Queries the daemons of persimmonhead and validates configurations.");
    declareSettings(settings);
    if (const auto status = settings.parse(argc, argv))
        return *status;
    const auto result = runCommand(settings);
    std::cout << result.output;
    if (!result.error.empty())
        std::cerr << "persimmonctl: " << result.error << "\n";
    return static_cast<int>(result.status);
}
