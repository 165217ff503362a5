#pragma once

#include "entry/dispatcher_link.h"

#include <atomic>
#include <mutex>

namespace persimmon::entry {

/// The links to all dispatchers in use. Callable from any thread.
class DispatcherLinks
{
public:
    DispatcherLinks(transport::Runtime &runtime, LinkOptions options);
    ~DispatcherLinks();
    DispatcherLinks(const DispatcherLinks &) = delete;
    DispatcherLinks &operator=(const DispatcherLinks &) = delete;

    /// Closes the connections; sub-requests that are open on them are answered as lost.
    void close();

    /// @return an id that no batch of this entry incarnation had before.
    std::uint64_t nextBatchId() { return ++lastBatchId_; }

    /// @return the link to the dispatcher at @p endpoint; the same one at each call.
    std::shared_ptr<DispatcherLink> link(const transport::Endpoint &endpoint);

private:
    transport::Runtime &runtime_;
    const std::shared_ptr<const LinkOptions> options_;
    std::atomic<std::uint64_t> lastBatchId_ = 0;
    std::mutex mutex_;
    std::map<transport::Endpoint, std::shared_ptr<DispatcherLink>> links_;
};

} // namespace persimmon::entry
