#include "measure/measure.h"
#include "transport/settings.h"

#include <iostream>

using namespace persimmon;

int main(int argc, char **argv)
{
    transport::Settings settings(
            "persimmon-measure",
            "Measures memory, CPU time and message sizes by data size in one process");
    settings.addChoice(
            "part", "what to measure", "all",
            {"all", "views", "planning", "stores", "exchange", "codecs", "propagation", "epochs"});
    settings.addInteger("seed", "seed of the random number generator", 1, 0, 1'000'000'000);
    if (const auto status = settings.parse(argc, argv))
        return *status;
    const auto seed = static_cast<std::uint64_t>(settings.integer("seed"));
    const auto selectedPart = settings.text("part");
    const auto run = [&](const std::string &part, auto measurement) {
        if (selectedPart == "all" || selectedPart == part)
            std::cout << measure::formatTable(measurement()) << std::flush;
    };
    run("views", measure::measureViews);
    run("planning", measure::measurePlanning);
    run("stores", measure::measureStores);
    run("exchange", measure::measureExchange);
    run("codecs", measure::measureCodecs);
    run("propagation", [seed] { return measure::measurePropagation(seed); });
    run("epochs", [seed] { return measure::measureEpochPropagation(seed); });
    return 0;
}
