#include "state/record_order.h"

#include <xxhash.h>

namespace persimmon::state {

namespace {

std::uint64_t hashValue(const std::string &value)
{
    return XXH64(value.data(), value.size(), 0);
}

} // namespace

bool RecordOrder::replaces(const StoreRecord &candidate, const StoreRecord &known) const
{
    if (candidate.era > known.era)
        return replacesEarlierEra(candidate, known);
    if (candidate.era < known.era)
        return isOrdered(candidate, known) && !replacesEarlierEra(known, candidate);
    return candidate.revision > known.revision;
}

bool RecordOrder::isOrdered(const StoreRecord &earlier, const StoreRecord &read) const
{
    if (!earlier.value)
        return earlier.deletedWrite.has_value();
    return contentVersionOf_(earlier) && (!read.value || contentVersionOf_(read));
}

bool RecordOrder::replacesEarlierEra(const StoreRecord &candidate, const StoreRecord &known) const
{
    if (!candidate.value)
        return true;
    if (!candidate.isConfirmed)
        return isWrittenAfter(candidate, known);
    return !known.value || !isEarlierWriteOfSameWriter(candidate, known);
}

bool RecordOrder::isWrittenAfter(const StoreRecord &read, const StoreRecord &known) const
{
    if (!known.value)
        return isWrittenAfterDeletion(read, known);
    const auto readVersion = contentVersionOf_(read);
    const auto knownVersion = contentVersionOf_(known);
    if (readVersion && knownVersion)
        return readVersion > knownVersion;
    return read.revision > known.revision
           || (read.revision == known.revision && read.value != known.value);
}

bool RecordOrder::isWrittenAfterDeletion(const StoreRecord &read,
                                         const StoreRecord &tombstone) const
{
    if (!tombstone.deletedWrite)
        return read.revision > tombstone.revision;
    const auto &deleted = *tombstone.deletedWrite;
    const auto version = contentVersionOf_(read);
    if (version && deleted.version)
        return version > deleted.version;
    // Between the deleted write and the deletion the key was not written, so a later revision was
    // assigned after the restore.
    return read.revision > deleted.revision
           || (read.revision == deleted.revision && hashValue(*read.value) != deleted.valueHash);
}

bool RecordOrder::isEarlierWriteOfSameWriter(const StoreRecord &candidate,
                                             const StoreRecord &known) const
{
    const auto candidateVersion = contentVersionOf_(candidate);
    const auto knownVersion = contentVersionOf_(known);
    return candidateVersion && knownVersion
           && candidateVersion->writerStart == knownVersion->writerStart
           && candidateVersion->sequence < knownVersion->sequence;
}

StoreRecord RecordOrder::makeTombstone(const StoreRecord &record,
                                       const StorePosition &deletedAt) const
{
    StoreRecord tombstone{record.key, deletedAt.revision, std::nullopt, deletedAt.era,
                          true,       record.deletedWrite};
    if (record.value)
        tombstone.deletedWrite = {record.revision, hashValue(*record.value),
                                  contentVersionOf_(record)};
    return tombstone;
}

} // namespace persimmon::state
