#include "entry/dispatcher_links.h"

namespace persimmon::entry {

DispatcherLinks::DispatcherLinks(transport::Runtime &runtime, LinkOptions options)
    : runtime_(runtime),
      options_(std::make_shared<const LinkOptions>(std::move(options)))
{
}

DispatcherLinks::~DispatcherLinks()
{
    close();
}

void DispatcherLinks::close()
{
    const std::lock_guard lock(mutex_);
    for (const auto &[endpoint, link] : links_)
        link->close();
}

std::shared_ptr<DispatcherLink> DispatcherLinks::link(const transport::Endpoint &endpoint)
{
    const std::lock_guard lock(mutex_);
    auto &link = links_[endpoint];
    if (!link)
        link = std::make_shared<DispatcherLink>(runtime_, endpoint, options_);
    return link;
}

} // namespace persimmon::entry
