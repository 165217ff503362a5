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

/// Limits the run to about a second; PERSIMMON_FUZZ_ITERATIONS sets another number of inputs.
constexpr std::uint64_t DefaultIterations = 20'000;
constexpr std::size_t MaxInputBytes = 64U * 1024U;

std::uint64_t environmentInteger(const char *variable, std::uint64_t fallback)
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
    // The iteration order of a directory is unspecified; a seed must select the same inputs
    // everywhere.
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

/// Generates inputs by mutating corpus entries with a seeded generator.
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
        auto input = corpus_[randomBelow(corpus_.size())];
        const auto changes = 1 + randomBelow(4);
        for (std::size_t change = 0; change < changes; ++change)
            mutate(input);
        input.resize(std::min(input.size(), MaxInputBytes));
        return input;
    }

private:
    std::size_t randomBelow(std::size_t limit) { return limit == 0 ? 0 : random_() % limit; }

    void mutate(std::string &input)
    {
        // MessagePack headers of arrays, strings and integers with large sizes, and JSON fragments.
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
        const auto position = randomBelow(input.size());
        switch (randomBelow(5)) {
        case 0:
            if (!input.empty())
                input[position] = static_cast<char>(randomBelow(256));
            break;
        case 1:
            input.erase(position, 1 + randomBelow(8));
            break;
        case 2:
            input.insert(position, tokens[randomBelow(tokens.size())]);
            break;
        case 3:
            input.replace(position, 1, tokens[randomBelow(tokens.size())]);
            break;
        default: {
            const auto &other = corpus_[randomBelow(corpus_.size())];
            input = input.substr(0, position) + other.substr(randomBelow(other.size()));
        }
        }
    }

    std::vector<std::string> corpus_;
    std::mt19937_64 random_;
};

/// Runs @p check on the corpus, which it must accept, and on mutated inputs. @p check returns
/// whether the decoder accepted the input.
template <typename Check>
void fuzz(const std::string &prefix, Check check)
{
    const auto seed = environmentInteger("PERSIMMON_FUZZ_SEED", std::random_device{}());
    const auto iterations = environmentInteger("PERSIMMON_FUZZ_ITERATIONS", DefaultIterations);
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

/// Checks that an accepted message is preserved by encoding and decoding it again.
/// @return whether the decoder accepted @p input.
template <typename Message>
bool checkRoundTrip(const std::string &input, ProtocolResult<Message> (*decode)(std::string_view),
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

// Guards against crashes and out-of-bounds reads on malformed frames, which the sanitizer builds
// detect, and against accepted frames that a peer would decode differently.
TEST_CASE("the frame decoder rejects or preserves mutated frames")
{
    fuzz("frame-", [](const std::string &input) {
        return checkRoundTrip<FrameMessage>(input, decodeFrame, encodeFrame);
    });
}

// Guards against the same failures in the messages of the view exchange.
TEST_CASE("the view exchange decoders reject or preserve mutated messages")
{
    fuzz("view-", [](const std::string &input) {
        const bool request =
                checkRoundTrip<ViewRequest>(input, decodeViewRequest, encodeViewRequest);
        return checkRoundTrip<ViewResponse>(input, decodeViewResponse, encodeViewResponse)
               || request;
    });
}
