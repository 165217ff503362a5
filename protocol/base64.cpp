#include "protocol/base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace iterators = boost::archive::iterators;

namespace persimmon::protocol {

namespace {

constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupCharacters = 4;

} // namespace

std::string encodeBase64(const std::string &bytes)
{
    using Encoder = iterators::base64_from_binary<
            iterators::transform_width<std::string::const_iterator, 6, 8>>;
    std::string text(Encoder(bytes.begin()), Encoder(bytes.end()));
    text.append((GroupBytes - bytes.size() % GroupBytes) % GroupBytes, '=');
    return text;
}

std::optional<std::string> decodeBase64(const std::string &text)
{
    using Decoder =
            iterators::transform_width<iterators::binary_from_base64<std::string::const_iterator>,
                                       8, 6>;
    const auto end = text.find_last_not_of('=') + 1;
    const auto padding = text.size() - end;
    if (text.size() % GroupCharacters != 0 || padding >= GroupBytes)
        return std::nullopt;
    // The decoder requires complete groups; 'A' encodes the zero bits in place of the padding.
    const std::string groups = text.substr(0, end) + std::string(padding, 'A');
    try {
        std::string bytes(Decoder(groups.begin()), Decoder(groups.end()));
        bytes.resize(bytes.size() - padding);
        return bytes;
    } catch (const iterators::dataflow_exception &) {
        return std::nullopt;
    }
}

} // namespace persimmon::protocol
