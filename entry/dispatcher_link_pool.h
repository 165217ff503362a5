#pragma once

#include "entry/dispatcher_link.h"

#include <atomic>
#include <mutex>

namespace persimmon::entry {

/// Links to dispatchers, one for each endpoint, created on demand. Callable from any thread.
class DispatcherLinkPool
{
public:
    DispatcherLinkPool(transport::Runtime &runtime, LinkOptions options);
    ~DispatcherLinkPool();
    DispatcherLinkPool(const DispatcherLinkPool &) = delete;
    DispatcherLinkPool &operator=(const DispatcherLinkPool &) = delete;

    /// Closes the connections; their pending sub-requests fail with ConnectionLost.
    void close();

    /// @return a batch id that is unique within this entry incarnation.
    std::uint64_t nextBatchId() { return ++lastBatchId_; }

    /// @return the link to the dispatcher at @p endpoint, always the same one for an endpoint.
    std::shared_ptr<DispatcherLink> link(const transport::Endpoint &endpoint);

private:
    transport::Runtime &runtime_;
    const std::shared_ptr<const LinkOptions> options_;
    std::atomic<std::uint64_t> lastBatchId_ = 0;
    std::mutex mutex_;
    std::map<transport::Endpoint, std::shared_ptr<DispatcherLink>> links_;
};

} // namespace persimmon::entry
