#include "entry/dispatcher_link_pool.h"

namespace persimmon::entry {

DispatcherLinkPool::DispatcherLinkPool(transport::Runtime &runtime, LinkOptions options)
    : runtime_(runtime),
      options_(std::make_shared<const LinkOptions>(std::move(options)))
{
}

DispatcherLinkPool::~DispatcherLinkPool()
{
    close();
}

void DispatcherLinkPool::close()
{
    const std::lock_guard lock(mutex_);
    for (const auto &[endpoint, link] : links_)
        link->close();
}

std::shared_ptr<DispatcherLink> DispatcherLinkPool::link(const transport::Endpoint &endpoint)
{
    const std::lock_guard lock(mutex_);
    auto &link = links_[endpoint];
    if (!link)
        link = std::make_shared<DispatcherLink>(runtime_, endpoint, options_);
    return link;
}

} // namespace persimmon::entry
