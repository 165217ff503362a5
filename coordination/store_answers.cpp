#include "coordination/store_answers.h"

#include <algorithm>
#include <stdexcept>

namespace json = boost::json;

namespace persimmon::coordination {

namespace {

/// Longer ages of the store's answers are sent as this age, which makes no difference.
constexpr std::chrono::milliseconds MaxAnswerAge{std::chrono::hours(1)};

/// Array positions of the columns of StoreAnswerAges. The columns from OutageSince are left out if
/// no outage and no failure is known.
enum AnswerColumn {
    AnswerEra,
    AnswersSince,
    LastAnswer,
    OutageSince,
    FailingFrom,
    FailingTo,
};

std::chrono::milliseconds readAge(const json::value &column)
{
    const std::chrono::milliseconds age(column.to_number<std::int64_t>());
    if (age.count() < 0 || age > MaxAnswerAge)
        throw std::invalid_argument("an age of the store's answers is out of range");
    return age;
}

json::value writeAge(std::chrono::milliseconds age)
{
    return std::min(age, MaxAnswerAge).count();
}

} // namespace

std::optional<StoreAnswerAges> toAges(const state::StoreAvailability &store, state::TimePoint now)
{
    const auto &period = store.period();
    if (!period)
        return std::nullopt;
    const auto ageOf = [now](state::TimePoint time) {
        return std::chrono::ceil<std::chrono::milliseconds>(now - time);
    };
    StoreAnswerAges ages{period->era, ageOf(period->since), ageOf(period->until)};
    if (period->outageSince)
        ages.outageSince = ageOf(*period->outageSince);
    if (const auto &failing = store.failing())
        ages.failing = FailingAges{ageOf(failing->from), ageOf(failing->to)};
    return ages;
}

void mergeAges(const StoreAnswerAges &ages, state::TimePoint sentAt, state::TimePoint now,
               state::StoreAvailability &store)
{
    if (ages.failing) {
        const auto from = now - ages.failing->from;
        store.merge(state::FailingSpan{from, std::max(from, sentAt - ages.failing->to)});
    }
    const auto since = now - ages.since;
    state::AnsweringPeriod period{ages.era, since, std::max(since, sentAt - ages.last)};
    if (ages.outageSince)
        period.outageSince = now - *ages.outageSince;
    store.merge(period);
}

StoreAnswerAges readStoreAnswers(const json::array &columns)
{
    StoreAnswerAges ages;
    ages.era = columns.at(AnswerEra).to_number<std::uint64_t>();
    ages.since = readAge(columns.at(AnswersSince));
    ages.last = readAge(columns.at(LastAnswer));
    const auto has = [&columns](std::size_t column) {
        return columns.size() > column && !columns.at(column).is_null();
    };
    if (has(OutageSince))
        ages.outageSince = readAge(columns.at(OutageSince));
    if (has(FailingTo))
        ages.failing = {readAge(columns.at(FailingFrom)), readAge(columns.at(FailingTo))};
    if (ages.since < ages.last || ages.outageSince.value_or(ages.since) < ages.since
        || (ages.failing && ages.failing->from < ages.failing->to))
        throw std::invalid_argument("the ages of the store's answers are out of order");
    return ages;
}

json::array writeStoreAnswers(const StoreAnswerAges &ages)
{
    json::array columns{ages.era, writeAge(ages.since), writeAge(ages.last)};
    if (!ages.outageSince && !ages.failing)
        return columns;
    columns.emplace_back(ages.outageSince ? writeAge(*ages.outageSince) : json::value(nullptr));
    if (!ages.failing)
        return columns;
    columns.emplace_back(writeAge(ages.failing->from));
    columns.emplace_back(writeAge(ages.failing->to));
    return columns;
}

} // namespace persimmon::coordination
