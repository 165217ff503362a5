#include "protocol/protocol.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

using namespace persimmon;
using namespace persimmon::protocol;

namespace {

/// Bounded, so that the whole run takes about a second; longer runs set the variable.
constexpr std::uint64_t DefaultIterations = 20'000;
constexpr std::size_t LargestInput = 64U * 1024U;

std::uint64_t setting(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

std::vector<std::string> loadCorpus(const std::string &prefix)
{
    std::vector<std::filesystem::path> paths;
    for (const auto &file :
         std::filesystem::directory_iterator(PERSIMMON_SOURCE_DIR "/tests/protocol/corpus")) {
        if (file.path().filename().string().starts_with(prefix))
            paths.push_back(file.path());
    }
    // The order of a directory is unspecified, and a seed must give the same run everywhere.
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> corpus;
    for (const auto &path : paths) {
        std::ifstream stream(path, std::ios::binary);
        corpus.emplace_back(std::istreambuf_iterator<char>(stream),
                            std::istreambuf_iterator<char>());
    }
    REQUIRE_FALSE(corpus.empty());
    return corpus;
}

/// Changes corpus entries with a seeded generator.
class Mutator
{
public:
    Mutator(std::vector<std::string> corpus, std::uint64_t seed)
        : corpus_(std::move(corpus)),
          random_(seed)
    {
    }

    std::string next()
    {
        auto input = corpus_[below(corpus_.size())];
        const auto changes = 1 + below(4);
        for (std::size_t change = 0; change < changes; ++change)
            mutate(input);
        input.resize(std::min(input.size(), LargestInput));
        return input;
    }

private:
    std::size_t below(std::size_t limit) { return limit == 0 ? 0 : random_() % limit; }

    void mutate(std::string &input)
    {
        // Heads of arrays, strings and integers with large sizes, and JSON punctuation.
        static const std::vector<std::string> tokens{"\xdd\xff\xff\xff\xff",
                                                     "\xdb\xff\xff\xff\xff",
                                                     "\xdc\xff\xff",
                                                     "\xcf\xff",
                                                     "\xc1",
                                                     "\x9f",
                                                     "\xc7",
                                                     "[[[[",
                                                     "{}",
                                                     "null",
                                                     "-1",
                                                     "1e999",
                                                     "\\ud800"};
        const auto place = below(input.size());
        switch (below(5)) {
        case 0:
            if (!input.empty())
                input[place] = static_cast<char>(below(256));
            break;
        case 1:
            input.erase(place, 1 + below(8));
            break;
        case 2:
            input.insert(place, tokens[below(tokens.size())]);
            break;
        case 3:
            input.replace(place, 1, tokens[below(tokens.size())]);
            break;
        default: {
            const auto &other = corpus_[below(corpus_.size())];
            input = input.substr(0, place) + other.substr(below(other.size()));
        }
        }
    }

    std::vector<std::string> corpus_;
    std::mt19937_64 random_;
};

/// Runs @p check, which returns whether the input was accepted, on the corpus and on changed input.
template <typename Check>
void fuzz(const std::string &prefix, Check check)
{
    const auto seed = setting("PERSIMMON_FUZZ_SEED", std::random_device{}());
    const auto iterations = setting("PERSIMMON_FUZZ_ITERATIONS", DefaultIterations);
    const auto corpus = loadCorpus(prefix);
    for (const auto &entry : corpus)
        CHECK(check(entry));
    Mutator mutator(corpus, seed);
    std::uint64_t accepted = 0;
    for (std::uint64_t round = 0; round < iterations; ++round)
        accepted += check(mutator.next()) ? 1 : 0;
    std::cout << "fuzz " << prefix << ": PERSIMMON_FUZZ_SEED=" << seed << ", " << iterations
              << " inputs, " << accepted << " accepted\n";
}

/// Checks that what a decoder accepts means the same after a round trip.
template <typename Message>
bool isStable(const std::string &input, ProtocolResult<Message> (*decode)(std::string_view),
              std::string (*encode)(const Message &))
{
    const auto first = decode(input);
    if (!isOk(first))
        return false;
    const auto second = decode(encode(valueOf(first)));
    REQUIRE(isOk(second));
    REQUIRE(valueOf(second) == valueOf(first));
    return true;
}

} // namespace

// Guards against crashes and over-reads on damaged frames (the sanitizer builds detect them), and
// against accepted frames that a peer would understand differently.
TEST_CASE("the frame decoder withstands mutated frames")
{
    fuzz("frame-", [](const std::string &input) {
        return isStable<FrameMessage>(input, decodeFrame, encodeFrame);
    });
}

// The same for the messages of the view exchange.
TEST_CASE("the view exchange decoders withstand mutated messages")
{
    fuzz("view-", [](const std::string &input) {
        const bool request = isStable<ViewRequest>(input, decodeViewRequest, encodeViewRequest);
        return isStable<ViewResponse>(input, decodeViewResponse, encodeViewResponse) || request;
    });
}
