#pragma once

#include "coordination/audit_trail.h"

#include <json/value.h>

namespace persimmon::coordination {

/// @return `{"revision", "entries": {key: value}}` with the configuration in effect.
Json::Value describeConfig(const state::ClusterView &view);

/// @return `{"services": {service: [host]}}` with the ranked dispatchers, the owner first.
Json::Value describeOwners(const state::ClusterView &view);

/// @return `{"rows": [{time_ms, source, key, revision_before, revision_after, accepted, path?,
///         value?, reason?}]}`, oldest first; `time_ms` counts from the Unix epoch.
Json::Value describeAudit(const std::vector<AuditRow> &rows);

} // namespace persimmon::coordination
