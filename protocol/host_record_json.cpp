#include "protocol/host_record_json.h"

#include "protocol/era_json.h"

namespace json = boost::json;

namespace persimmon::protocol {

HostRecord readHost(const JsonReader &reader)
{
    HostRecord host;
    host.name = reader.member("name").name();
    host.kind = reader.member("kind").enumerator(HostKindNames);
    host.address = reader.member("address").name();
    host.failureDomain = reader.member("failure_domain").name();
    if (host.kind == HostKind::Upstream)
        host.service = reader.member("service").name();
    host.state = reader.member("state").enumerator(HostStateNames);
    host.era = readEra(reader, "era");
    if (reader.has("revision"))
        host.revision = reader.member("revision").integer();
    return host;
}

json::array hostsArray(const std::vector<HostRecord> &hosts)
{
    json::array rows;
    for (const auto &host : hosts) {
        json::object row{{"name", host.name},
                         {"kind", enumName(HostKindNames, host.kind)},
                         {"address", host.address},
                         {"failure_domain", host.failureDomain},
                         {"state", enumName(HostStateNames, host.state)}};
        if (host.kind == HostKind::Upstream)
            row["service"] = host.service;
        writeEra(row, "era", host.era);
        if (host.revision > 0)
            row["revision"] = host.revision;
        rows.emplace_back(std::move(row));
    }
    return rows;
}

std::vector<HostRecord> readHosts(const JsonReader &reader)
{
    std::vector<HostRecord> hosts;
    reader.forEach([&](const JsonReader &row) { hosts.push_back(readHost(row)); });
    return hosts;
}

} // namespace persimmon::protocol
