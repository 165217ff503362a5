#pragma once

#include <functional>
#include <map>
#include <memory>

namespace persimmon::state {

/// Copy-on-write map: copies share their content until one of them is written to. Writes are not
/// thread-safe, as with std::map.
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
    Value &operator[](const Key &key) { return detach()[key]; }
    std::size_t erase(const Key &key) { return detach().erase(key); }

    bool operator==(const SharedMap &other) const
    {
        return content_ == other.content_ || *content_ == *other.content_;
    }

private:
    /// Copies the content if other maps share it.
    Content &detach()
    {
        if (content_.use_count() > 1)
            content_ = std::make_shared<Content>(*content_);
        return *content_;
    }

    std::shared_ptr<Content> content_;
};

} // namespace persimmon::state
