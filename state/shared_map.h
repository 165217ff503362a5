#pragma once

#include <functional>
#include <map>
#include <memory>

namespace persimmon::state {

/// A map with shared content: a copy costs a pointer, and the first write to a map whose content
/// others hold copies that content. Not thread-safe for writes, like std::map.
template <typename Key, typename Value>
class SharedMap
{
public:
    using Content = std::map<Key, Value, std::less<>>;
    using const_iterator = typename Content::const_iterator;

    SharedMap() : content_(std::make_shared<Content>()) {}

    const_iterator begin() const { return content_->begin(); }
    const_iterator end() const { return content_->end(); }
    std::size_t size() const { return content_->size(); }
    bool empty() const { return content_->empty(); }

    template <typename Name>
    const_iterator find(const Name &name) const
    {
        return content_->find(name);
    }

    template <typename Name>
    bool contains(const Name &name) const
    {
        return content_->contains(name);
    }

    const Value &at(const Key &key) const { return content_->at(key); }
    Value &operator[](const Key &key) { return own()[key]; }
    std::size_t erase(const Key &key) { return own().erase(key); }

    bool operator==(const SharedMap &other) const
    {
        return content_ == other.content_ || *content_ == *other.content_;
    }

private:
    Content &own()
    {
        if (content_.use_count() > 1)
            content_ = std::make_shared<Content>(*content_);
        return *content_;
    }

    std::shared_ptr<Content> content_;
};

} // namespace persimmon::state
