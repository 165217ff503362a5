#include "protocol/config_documents.h"

#include "protocol/config_document_readers.h"
#include "protocol/json_reader.h"

#include <xxhash.h>

#include <optional>

namespace persimmon::protocol {

namespace {

/// Maximum size of a configuration value, in bytes.
constexpr std::size_t ConfigValueLimit = 1024U * 1024U;

using Parser = ConfigDocument (*)(const JsonReader &);

/// Maps a configuration key or key prefix to the parser of its documents.
struct KeyKind
{
    std::string_view prefix;
    /// Whether the prefix must be followed by a name.
    bool isNamed;
    Parser parser;
};

ConfigDocument parseProfile(const JsonReader &reader)
{
    return readProfile(reader);
}

ConfigDocument parseGroup(const JsonReader &reader)
{
    return readGroupSettings(reader);
}

ConfigDocument parseIndex(const JsonReader &reader)
{
    return readGroupIndex(reader);
}

ConfigDocument parseOutOfService(const JsonReader &reader)
{
    return readOutOfService(reader);
}

constexpr std::array<KeyKind, 5> KeyKinds{{
        {"profile/", true, parseProfile},
        {"group/", true, parseGroup},
        {"index/", true, parseIndex},
        {"out/domains", false, parseOutOfService},
        {"out/hosts", false, parseOutOfService},
}};

const KeyKind *findKind(std::string_view key)
{
    for (const auto &kind : KeyKinds) {
        if (!kind.isNamed && key == kind.prefix)
            return &kind;
        if (kind.isNamed && key.starts_with(kind.prefix)
            && isValidName(key.substr(kind.prefix.size())))
            return &kind;
    }
    return nullptr;
}

} // namespace

Result<ConfigDocument, ConfigError> parseConfigDocument(std::string_view key, std::string_view text)
{
    const auto *kind = findKind(key);
    if (kind == nullptr) {
        return ConfigError{std::string(key.substr(0, NameLimit)), "", "",
                           "the key must be profile/<name>, group/<name>, index/<group>, "
                           "out/domains or out/hosts"};
    }
    if (text.size() > ConfigValueLimit)
        return ConfigError{std::string(key), "", "", "the value is larger than 1 MB"};
    std::optional<JsonError> error;
    const auto value = parseJson(text, error);
    if (value) {
        auto document = kind->parser(JsonReader(*value, "", error));
        if (!error)
            return document;
    }
    return ConfigError{std::string(key), error->path, error->value, error->reason};
}

std::uint32_t keyPosition(std::string_view key)
{
    return static_cast<std::uint32_t>(XXH64(key.data(), key.size(), 0) % KeySpaceSize);
}

} // namespace persimmon::protocol
