#pragma once

#include "coordination/view_client.h"
#include "transport/transport.h"

#include <cstdint>

namespace persimmon::coordination {

/// Adds the settings that all daemons have: --host, --address, --port, --failure-domain, --service,
/// --admin and logging.
/// @param port default port.
void addDaemonSettings(transport::Settings &settings, std::uint16_t port);

/// Adds the settings of a daemon that takes its view from the agent of its host: --agent and
/// --threads.
void addViewSettings(transport::Settings &settings);

/// @return endpoint made of --address and --port.
transport::Endpoint daemonEndpoint(const transport::Settings &settings);

/// @return options of the view client from --host, --agent and --service.
ViewClientOptions viewClientOptions(const transport::Settings &settings);

/// @return a random number that tells one run of a process from another.
std::uint64_t makeIncarnation();

/// Logs where a server listens, or why it does not.
/// @param part prefix of the log line.
/// @return whether it listens.
bool hasStarted(std::string_view part,
                const transport::TransportResult<transport::Endpoint> &bound);

} // namespace persimmon::coordination
