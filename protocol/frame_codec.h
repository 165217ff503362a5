#pragma once

#include "protocol/frame_messages.h"
#include "protocol/protocol_error.h"

#include <string>
#include <string_view>

namespace persimmon::protocol {

/// Encodes @p message as a MessagePack payload.
std::string encodeFrame(const FrameMessage &message);

/// Decodes an untrusted payload. Allocates memory at most in proportion to the payload size.
/// @return the message, or an error with the code Malformed, UnknownType or InvalidValue.
ProtocolResult<FrameMessage> decodeFrame(std::string_view payload);

/// Encodes @p message as JSON text. Not used on connections; kept to compare the two codecs on a
/// real batch.
std::string encodeFrameJson(const FrameMessage &message);

/// Decodes the JSON text of a frame message.
/// @return the message, or an error if @p text is not a valid message.
ProtocolResult<FrameMessage> decodeFrameJson(std::string_view text);

} // namespace persimmon::protocol
