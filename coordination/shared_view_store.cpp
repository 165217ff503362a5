#include "coordination/shared_view_store.h"

namespace persimmon::coordination {

SharedViewStore::SharedViewStore(std::string host, std::string part)
    : part_(std::move(part)),
      store_(std::move(host))
{
}

bool SharedViewStore::update(const std::function<state::ViewUpdate(state::ViewStore &)> &merge)
{
    const auto update = read(merge);
    for (const auto &change : update.changes)
        record(change);
    for (const auto &restore : update.restores)
        logRestore(restore);
    return update.changed;
}

std::shared_ptr<const state::ClusterView> SharedViewStore::view()
{
    return read([](auto &store) { return store.view(); });
}

void SharedViewStore::record(const state::ConfigChange &change)
{
    audit_.add(change);
    const auto revision = std::to_string(change.revisionAfter);
    if (!change.fault) {
        transport::logInfo(part_, "Accepted a configuration change.",
                           {{"key", change.key}, {"revision", revision}});
        return;
    }
    transport::logWarning(part_, "Rejected a configuration change.",
                          {{"key", change.key},
                           {"revision", revision},
                           {"path", change.fault->path},
                           {"reason", change.fault->reason}});
}

void SharedViewStore::logRestore(const state::RestoreEvent &restore)
{
    const auto *text = restore.isAdopted
                               ? "Adopted the state of a restored service."
                               : "A service was restored from an older copy; what it lacks is kept "
                                 "while it is written again.";
    transport::logInfo(part_, text,
                       {{"source", restore.source},
                        {"era", std::to_string(restore.position.era)},
                        {"revision", std::to_string(restore.position.revision)}});
}

} // namespace persimmon::coordination
