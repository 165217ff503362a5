#pragma once

#include "coordination/view_client.h"
#include "transport/transport.h"

#include <cstdint>

namespace persimmon::coordination {

/// Adds the settings common to all daemons: --host, --address, --port, --failure-domain, --service,
/// --admin and logging.
/// @param port default of --port.
void addDaemonSettings(transport::Settings &settings, std::uint16_t port);

/// Adds the settings of a daemon that reads its view from the agent on its host: --agent and
/// --threads.
void addViewSettings(transport::Settings &settings);

/// @return the listening endpoint given by --address and --port.
transport::Endpoint daemonEndpoint(const transport::Settings &settings);

/// @return the view client options given by --host, --agent and --service.
ViewClientOptions viewClientOptions(const transport::Settings &settings);

/// @return a random number that identifies one run of a process.
std::uint64_t makeIncarnation();

/// Logs the endpoint on which a server listens, or the error if binding failed.
/// @param part log part under which the message appears.
/// @return whether the server is listening.
bool logListenResult(std::string_view part,
                     const transport::TransportResult<transport::Endpoint> &bound);

} // namespace persimmon::coordination
