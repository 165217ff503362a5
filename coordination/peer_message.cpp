#include "coordination/peer_message.h"

#include "transport/transport.h"

#include <boost/json.hpp>

#include <algorithm>

namespace json = boost::json;

namespace persimmon::coordination {

namespace {

constexpr const char *Part = "peers";
/// Larger than the limit of any upstream, in requests per second.
constexpr double MaxRequestLimit = 1e9;
/// Longest fields of a later version that are relayed for a host.
constexpr std::size_t MaxLaterBytes = 256;
/// Array positions of the columns of a member state.
enum MemberColumn {
    Control,
    Front,
    Domain,
    Region,
    Incarnation,
    Heartbeat,
    Phase,
    StoreUnreachable,
    Capacity,
    Load,
    /// Hosts of earlier versions leave out the columns from here on.
    Relay,
    UpstreamsUnreachable,
    /// Hosts of later versions may add columns from here on.
    Later,
};
/// Array positions of the columns of a store record. The value is null for a deleted key. The
/// columns from Era are left out if the revision was assigned in the era of the message and no
/// deleted write is known, those of the version if the deleted write has none.
enum RecordColumn {
    Key,
    Revision,
    Value,
    Era,
    Confirmed,
    DeletedRevision,
    DeletedHash,
    DeletedWriterStart,
    DeletedSequence,
};

std::string readAddress(const json::value &column)
{
    auto address = json::value_to<std::string>(column);
    if (!isOk(transport::parseEndpoint(address)))
        throw std::invalid_argument("'" + address + "' is not IP:port");
    return address;
}

state::MemberState readMember(const json::array &columns)
{
    state::MemberState member;
    member.control = readAddress(columns.at(Control));
    member.front = readAddress(columns.at(Front));
    member.failureDomain = json::value_to<std::string>(columns.at(Domain));
    member.region = json::value_to<std::string>(columns.at(Region));
    member.incarnation = columns.at(Incarnation).to_number<std::uint64_t>();
    member.heartbeat = columns.at(Heartbeat).to_number<std::uint64_t>();
    const auto phase = columns.at(Phase).to_number<std::size_t>();
    member.phase = state::EntryPhaseNames.at(phase).value;
    member.storeUnreachable = columns.at(StoreUnreachable).to_number<int>() != 0;
    member.capacity = columns.at(Capacity).to_number<std::uint32_t>();
    member.load = columns.at(Load).to_number<std::uint32_t>();
    member.isPartial = columns.size() <= UpstreamsUnreachable;
    if (columns.size() > Relay && !columns.at(Relay).as_string().empty())
        member.relay = readAddress(columns.at(Relay));
    if (columns.size() > UpstreamsUnreachable)
        member.upstreamsUnreachable = columns.at(UpstreamsUnreachable).to_number<int>() != 0;
    if (columns.size() > Later)
        member.laterFields = json::serialize(json::array(columns.begin() + Later, columns.end()));
    if (member.laterFields.size() > MaxLaterBytes)
        throw std::invalid_argument("the fields of a later version are too long");
    return member;
}

json::array writeMember(const state::MemberState &member)
{
    json::array columns{member.control,
                        member.front,
                        member.failureDomain,
                        member.region,
                        member.incarnation,
                        member.heartbeat,
                        static_cast<std::uint64_t>(member.phase),
                        member.storeUnreachable ? 1 : 0,
                        member.capacity,
                        member.load};
    if (member.isPartial)
        return columns;
    columns.emplace_back(member.relay);
    columns.emplace_back(member.upstreamsUnreachable ? 1 : 0);
    if (member.laterFields.empty())
        return columns;
    const auto later = json::parse(member.laterFields);
    columns.insert(columns.end(), later.as_array().begin(), later.as_array().end());
    return columns;
}

/// @param numbers flat array of host, heartbeat and load for each host.
std::vector<state::MemberHeartbeat> readHeartbeats(const json::array &numbers)
{
    constexpr std::size_t Columns = 3;
    std::vector<state::MemberHeartbeat> heartbeats;
    for (std::size_t i = 0; i + Columns <= numbers.size(); i += Columns) {
        heartbeats.push_back({numbers[i].to_number<std::uint32_t>(),
                              numbers[i + 1].to_number<std::uint64_t>(),
                              numbers[i + 2].to_number<std::uint32_t>()});
    }
    return heartbeats;
}

constexpr std::uint32_t ClearedFlag = 1;
constexpr std::uint32_t RepeatedFlag = 2;

std::vector<state::CrashReport> readCrashReports(const json::array &numbers)
{
    constexpr std::size_t Columns = 5;
    std::vector<state::CrashReport> reports;
    for (std::size_t i = 0; i + Columns <= numbers.size(); i += Columns) {
        reports.push_back({numbers[i].to_number<std::uint64_t>(),
                           numbers[i + 1].to_number<std::uint64_t>(),
                           numbers[i + 2].to_number<std::uint64_t>(),
                           (numbers[i + 3].to_number<std::uint32_t>() & ClearedFlag) != 0,
                           (numbers[i + 3].to_number<std::uint32_t>() & RepeatedFlag) != 0,
                           std::chrono::seconds(numbers[i + 4].to_number<std::uint32_t>())});
    }
    return reports;
}

json::array writeCrashReports(const std::vector<state::CrashReport> &reports)
{
    json::array numbers;
    for (const auto &report : reports) {
        const auto flags =
                (report.cleared ? ClearedFlag : 0) | (report.repeated ? RepeatedFlag : 0);
        numbers.insert(numbers.end(), {report.fingerprint, report.upstream, report.service, flags,
                                       report.timeLeft.count()});
    }
    return numbers;
}

state::RestrictionReport readRestriction(const json::array &columns)
{
    state::RestrictionReport report;
    report.upstream = json::value_to<std::string>(columns.at(0));
    report.incarnation = columns.at(1).to_number<std::uint64_t>();
    report.version = columns.at(2).to_number<std::uint32_t>();
    report.requestLimit = columns.at(3).to_number<double>();
    if (!(report.requestLimit >= 0 && report.requestLimit <= MaxRequestLimit))
        throw std::invalid_argument("a request limit is out of range");
    report.leaving = columns.at(4).to_number<int>() != 0;
    return report;
}

/// Reads the rows of a list. One that can't be read is left out and logged.
template <typename Row>
std::vector<Row> readRows(const json::array &list, Row (*read)(const json::array &))
{
    std::vector<Row> rows;
    for (const auto &row : list) {
        try {
            rows.push_back(read(row.as_array()));
        } catch (const std::exception &exception) {
            transport::logWarning(Part, "left out an invalid row of a peer message",
                                  {{"reason", exception.what()}});
        }
    }
    return rows;
}

json::array writeRestriction(const state::RestrictionReport &report)
{
    return {report.upstream, report.incarnation, report.version, report.requestLimit,
            report.leaving ? 1 : 0};
}

state::DeletedWrite readDeletedWrite(const json::array &columns)
{
    state::DeletedWrite write;
    write.revision = columns.at(DeletedRevision).to_number<std::uint64_t>();
    write.valueHash = columns.at(DeletedHash).to_number<std::uint64_t>();
    if (columns.size() > DeletedWriterStart)
        write.version = {columns.at(DeletedWriterStart).to_number<std::uint64_t>(),
                         columns.at(DeletedSequence).to_number<std::uint64_t>()};
    return write;
}

state::StoreRecord readRecord(const json::array &columns, std::uint64_t era)
{
    state::StoreRecord record;
    record.key = json::value_to<std::string>(columns.at(Key));
    record.revision = columns.at(Revision).to_number<std::uint64_t>();
    if (columns.size() > Value && !columns.at(Value).is_null())
        record.value = json::value_to<std::string>(columns.at(Value));
    record.era = columns.size() > Era ? columns.at(Era).to_number<std::uint64_t>() : era;
    record.isConfirmed = columns.size() <= Era || columns.at(Confirmed).to_number<int>() != 0;
    if (columns.size() > DeletedRevision)
        record.deletedWrite = readDeletedWrite(columns);
    return record;
}

json::array writeRecord(const state::StoreRecord &record, std::uint64_t era)
{
    json::array columns{record.key, record.revision};
    const bool hasEra = record.era != era || !record.isConfirmed || record.deletedWrite;
    if (record.value)
        columns.emplace_back(*record.value);
    else if (hasEra)
        columns.emplace_back(nullptr);
    if (hasEra) {
        columns.emplace_back(record.era);
        columns.emplace_back(record.isConfirmed ? 1 : 0);
    }
    if (!record.deletedWrite)
        return columns;
    columns.emplace_back(record.deletedWrite->revision);
    columns.emplace_back(record.deletedWrite->valueHash);
    if (const auto &version = record.deletedWrite->version) {
        columns.emplace_back(version->writerStart);
        columns.emplace_back(version->sequence);
    }
    return columns;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    json::array members;
    for (const auto &member : message.members)
        members.push_back(writeMember(member));
    json::array heartbeats;
    for (const auto &heartbeat : message.heartbeats) {
        heartbeats.insert(heartbeats.end(), {heartbeat.host, heartbeat.heartbeat, heartbeat.load});
    }
    json::object object{{"rows", std::move(members)},
                        {"beats", std::move(heartbeats)},
                        {"digest", message.digest},
                        {"era", message.position.era},
                        {"revision", message.position.revision}};
    if (message.isReconciled)
        object["reconciled"] = true;
    if (message.storeAnswers)
        object["answers"] = json::array{writeStoreAnswers(*message.storeAnswers)};
    if (message.wantsMembers)
        object["wants_rows"] = true;
    if (message.wantsRecords)
        object["wants_records"] = true;
    if (!message.crashReports.empty())
        object["crashes"] = writeCrashReports(message.crashReports);
    if (!message.restrictions.empty()) {
        json::array restrictions;
        for (const auto &report : message.restrictions)
            restrictions.emplace_back(writeRestriction(report));
        object["restrictions"] = std::move(restrictions);
    }
    if (message.delta) {
        object["snapshot"] = message.delta->isSnapshot;
        json::array records;
        for (const auto &record : message.delta->records)
            records.emplace_back(writeRecord(record, message.position.era));
        object["records"] = std::move(records);
    }
    return json::serialize(object);
}

Result<PeerMessage, CoordinationError> decodePeerMessage(const std::string &text)
{
    PeerMessage message;
    try {
        const auto parsed = json::parse(text);
        const auto &object = parsed.as_object();
        message.position.era = object.at("era").to_number<std::uint64_t>();
        message.position.revision = object.at("revision").to_number<std::uint64_t>();
        message.isReconciled = object.contains("reconciled");
        message.wantsMembers = object.contains("wants_rows");
        message.wantsRecords = object.contains("wants_records");
        message.digest = object.at("digest").to_number<std::uint64_t>();
        message.heartbeats = readHeartbeats(object.at("beats").as_array());
        const auto &members = object.at("rows").as_array();
        // The first row is the sender's: without it, the message has no valid origin.
        if (!members.empty())
            readMember(members.front().as_array());
        message.members = readRows(members, readMember);
        if (const auto *answers = object.if_contains("answers")) {
            const auto rows = readRows(answers->as_array(), readStoreAnswers);
            if (!rows.empty())
                message.storeAnswers = rows.front();
        }
        if (const auto *crashes = object.if_contains("crashes"))
            message.crashReports = readCrashReports(crashes->as_array());
        if (const auto *restrictions = object.if_contains("restrictions"))
            message.restrictions = readRows(restrictions->as_array(), readRestriction);
        if (const auto *records = object.if_contains("records")) {
            auto &delta = message.delta.emplace();
            delta.asOf = message.position;
            delta.isReconciled = message.isReconciled;
            delta.isSnapshot = object.at("snapshot").as_bool();
            for (const auto &record : records->as_array())
                delta.records.push_back(readRecord(record.as_array(), message.position.era));
        }
    } catch (const std::exception &exception) {
        return CoordinationError{CoordinationErrorCode::InvalidAnswer, exception.what()};
    }
    return message;
}

} // namespace persimmon::coordination
