#include "standin/result_items.h"

#include <boost/json.hpp>
#include <xxhash.h>

namespace json = boost::json;

namespace persimmon::standin {

namespace {

constexpr int ItemsPerShard = 3;

constexpr std::array<EnumName<QueryOperation>, 4> QueryOperationNames{{
        {QueryOperation::Search, "search"},
        {QueryOperation::Lookup, "lookup"},
        {QueryOperation::Pay, "pay"},
        {QueryOperation::Crash, "crash"},
}};

json::object parseQuery(const std::string &query)
{
    boost::system::error_code error;
    auto value = json::parse(query, error);
    return !error && value.is_object() ? std::move(value.as_object()) : json::object{};
}

json::object makeItem(const protocol::ExecuteRequest &request, int index)
{
    const auto id =
            request.shard + "/" + std::to_string(request.snapshot) + "/" + std::to_string(index);
    const auto score =
            XXH64(request.query.data(), request.query.size(), XXH64(id.data(), id.size(), 0));
    return {{"id", id},
            {"shard", request.shard},
            {"snapshot", request.snapshot},
            {"score", score % 1000}};
}

} // namespace

QueryOperation queryOperation(const std::string &query)
{
    const auto object = parseQuery(query);
    const auto *name = object.if_contains("op");
    if (name == nullptr || !name->is_string())
        return QueryOperation::Search;
    return enumValue(QueryOperationNames, std::string_view(name->as_string()))
            .value_or(QueryOperation::Search);
}

std::string makeResultItems(const protocol::ExecuteRequest &request)
{
    json::array items;
    const auto operation = queryOperation(request.query);
    if (operation == QueryOperation::Search || operation == QueryOperation::Crash) {
        for (int index = 0; index < ItemsPerShard; ++index)
            items.push_back(makeItem(request, index));
        return json::serialize(items);
    }
    auto item = makeItem(request, 0);
    item["key"] = request.key;
    if (operation == QueryOperation::Pay) {
        const auto query = parseQuery(request.query);
        item["receipt"] = request.requestId;
        item["amount"] = query.contains("amount") ? query.at("amount") : json::value();
    }
    items.push_back(std::move(item));
    return json::serialize(items);
}

} // namespace persimmon::standin
