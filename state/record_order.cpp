#include "state/record_order.h"

#include <xxhash.h>

namespace persimmon::state {

namespace {

std::uint64_t hashValue(const std::string &value)
{
    return XXH64(value.data(), value.size(), 0);
}

std::uint64_t revisionEra(const StoreRecord &record, std::uint64_t currentEra)
{
    return record.era == UnconfirmedEra ? currentEra : record.era;
}

} // namespace

bool RecordOrder::replaces(const StoreRecord &candidate, const StoreRecord &known,
                           std::uint64_t currentEra) const
{
    if (revisionEra(candidate, currentEra) == revisionEra(known, currentEra)) {
        // A deletion that was inferred from a range read has the revision of the read, which may
        // equal that of a write that its pages missed.
        return candidate.revision > known.revision
               || (candidate.revision == known.revision && candidate.value && !known.value);
    }
    if (candidate.value && known.value) {
        const auto newer = contentVersionOf_(candidate);
        const auto older = contentVersionOf_(known);
        const bool sameWriter = newer && older && newer->writerStart == older->writerStart;
        const bool isUnconfirmed = candidate.era == UnconfirmedEra || known.era == UnconfirmedEra;
        if (newer && older && newer != older && (sameWriter || isUnconfirmed))
            return newer > older;
    }
    return candidate.era > known.era;
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
                          record.deletedWrite};
    if (record.value)
        tombstone.deletedWrite = {record.revision, hashValue(*record.value),
                                  contentVersionOf_(record)};
    return tombstone;
}

} // namespace persimmon::state
