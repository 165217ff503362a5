#pragma once

#include "protocol/frame_messages.h"
#include "protocol/protocol_error.h"

#include <string>
#include <string_view>

namespace persimmon::protocol {

/// @return the MessagePack payload of @p message.
std::string encodeFrame(const FrameMessage &message);

/// Decodes a payload that may come from a faulty peer; allocates at most in proportion to its size.
/// @return the message, or Malformed, UnknownType or InvalidValue.
ProtocolResult<FrameMessage> decodeFrame(std::string_view payload);

/// The same messages as JSON text, kept to compare the two codecs on a real batch.
std::string encodeFrameJson(const FrameMessage &message);

/// @return the message, or the reason why the text holds none.
ProtocolResult<FrameMessage> decodeFrameJson(std::string_view text);

} // namespace persimmon::protocol
