#pragma once

#include "protocol/config_documents.h"
#include "protocol/json_reader.h"

namespace persimmon::protocol {

/// @return whether @p name has 1 to 128 characters of A-Z a-z 0-9 . _ -.
bool isValidName(std::string_view name);

// Read one configuration document each. They validate the document and record the first error in
// the reader.
Profile readProfile(const JsonReader &reader);
GroupSettings readGroupSettings(const JsonReader &reader);
GroupIndex readGroupIndex(const JsonReader &reader);
OutOfService readOutOfService(const JsonReader &reader);

} // namespace persimmon::protocol
