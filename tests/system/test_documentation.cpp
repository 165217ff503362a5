#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <regex>
#include <string>

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string readHelpText(const std::string &program)
{
    const auto command = std::string(PERSIMMON_BINARY_DIR) + "/" + program + " --help";
    const std::unique_ptr<FILE, int (*)(FILE *)> pipe(popen(command.c_str(), "r"), pclose);
    std::string text;
    std::array<char, 4096> buffer{};
    while (std::fgets(buffer.data(), buffer.size(), pipe.get()) != nullptr)
        text += buffer.data();
    return text;
}

} // namespace

// Guards against settings that the operators' page does not document.
TEST_CASE("the operators' page lists every setting of the daemons")
{
    const auto folder = std::string(PERSIMMON_SOURCE_DIR) + "/docs/";
    const auto page = readFile(folder + "OPERATING.md") + readFile(folder + "OPERATIONS.md");
    const std::regex flag("--[a-z-]+");
    for (const auto *program :
         {"persimmon-agent", "persimmon-dispatch", "persimmon-entry", "persimmon-host"}) {
        const auto help = readHelpText(program);
        CHECK(help.size() > 100);
        for (std::sregex_iterator it(help.begin(), help.end(), flag); it != std::sregex_iterator();
             ++it) {
            const auto name = it->str();
            if (name == "--help" || name == "--version")
                continue;
            CHECK_MESSAGE(page.find("`" + name + "`") != std::string::npos, program << " " << name);
        }
    }
}
