#include "coordination/peer_exchange.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace persimmon::coordination {

namespace {

/// Columns of a row of a host.
enum RowColumn { Control, Front, Domain, Region, Incarnation, Heartbeat, Phase, RowColumnCount };
/// Columns of a record of the store; the value is absent for a deleted key.
enum RecordColumn { Key, Revision, Value, RecordColumnCount };

state::EntryRow readRow(const json::array &columns)
{
    state::EntryRow row;
    row.control = json::value_to<std::string>(columns.at(Control));
    row.front = json::value_to<std::string>(columns.at(Front));
    row.failureDomain = json::value_to<std::string>(columns.at(Domain));
    row.region = json::value_to<std::string>(columns.at(Region));
    row.incarnation = columns.at(Incarnation).to_number<std::uint64_t>();
    row.heartbeat = columns.at(Heartbeat).to_number<std::uint64_t>();
    const auto phase = columns.at(Phase).to_number<std::size_t>();
    row.phase = state::EntryPhaseNames.at(phase).value;
    return row;
}

state::StoreRecord readRecord(const json::array &columns)
{
    state::StoreRecord record;
    record.key = json::value_to<std::string>(columns.at(Key));
    record.revision = columns.at(Revision).to_number<std::uint64_t>();
    if (columns.size() > Value)
        record.value = json::value_to<std::string>(columns.at(Value));
    return record;
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    json::array rows;
    for (const auto &row : message.rows) {
        rows.push_back(json::array{row.control, row.front, row.failureDomain, row.region,
                                   row.incarnation, row.heartbeat,
                                   static_cast<std::uint64_t>(row.phase)});
    }
    json::object text{{"rows", std::move(rows)}, {"revision", message.revision}};
    if (message.wantsRecords)
        text["wants_records"] = true;
    if (message.delta) {
        text["snapshot"] = message.delta->isSnapshot;
        json::array records;
        for (const auto &record : message.delta->records) {
            json::array columns{record.key, record.revision};
            if (record.value)
                columns.emplace_back(*record.value);
            records.emplace_back(std::move(columns));
        }
        text["records"] = std::move(records);
    }
    return json::serialize(text);
}

Result<PeerMessage, CoordinationError> decodePeerMessage(const std::string &text)
{
    PeerMessage message;
    try {
        const auto parsed = json::parse(text);
        const auto &object = parsed.as_object();
        message.revision = object.at("revision").to_number<std::uint64_t>();
        message.wantsRecords = object.contains("wants_records");
        for (const auto &row : object.at("rows").as_array())
            message.rows.push_back(readRow(row.as_array()));
        if (const auto *records = object.if_contains("records")) {
            auto &delta = message.delta.emplace();
            delta.asOf = message.revision;
            delta.isSnapshot = object.at("snapshot").as_bool();
            for (const auto &record : records->as_array())
                delta.records.push_back(readRecord(record.as_array()));
        }
    } catch (const std::exception &exception) {
        return CoordinationError{CoordinationErrorCode::InvalidAnswer, exception.what()};
    }
    return message;
}

} // namespace persimmon::coordination
