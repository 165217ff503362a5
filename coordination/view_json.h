#pragma once

#include "coordination/audit_trail.h"

#include <json/value.h>

namespace persimmon::coordination {

/// @return the effective configuration as `{"revision", "entries": {key: value}}`.
Json::Value describeConfig(const state::ClusterView &view);

/// @return the dispatchers of each service in rank order, the owner first, as
///         `{"services": {service: [host]}}`.
Json::Value describeOwners(const state::ClusterView &view);

/// @return `{"rows": [{time_ms, source, key, revision_before, revision_after, accepted, path?,
///         value?, reason?}]}`, oldest first. `time_ms` is in Unix milliseconds.
Json::Value describeAudit(const std::vector<AuditRow> &rows);

} // namespace persimmon::coordination
