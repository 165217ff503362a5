#include "tests/state/restore_schedule.h"

#include <functional>
#include <utility>

namespace persimmon::state::test {

namespace {

std::string describe(const StorePosition &position)
{
    return std::to_string(position.era) + "/" + std::to_string(position.revision);
}

} // namespace

std::optional<ContentVersion> RestoreSchedule::contentVersionOf(const StoreRecord &record)
{
    if (!record.value || record.key.starts_with("zone/"))
        return std::nullopt;
    const auto colon = record.value->find(':');
    return ContentVersion{std::stoull(*record.value), std::stoull(record.value->substr(colon + 1))};
}

std::string RestoreSchedule::run()
{
    for (std::size_t key = 0; key < keys_.size(); ++key)
        writeNew(key);
    for (int i = 0; i < Steps && fault_.empty(); ++i)
        step();
    if (fault_.empty())
        finish();
    return fault_;
}

void RestoreSchedule::step()
{
    const auto copy = pick(copies_.size());
    switch (pick(16)) {
    case 0:
    case 1:
    case 2:
        writeNew(pick(keys_.size()));
        break;
    case 3:
    case 4:
        writeAgain();
        break;
    case 5:
        if (oneIn(2))
            restore();
        break;
    case 6:
    case 7:
        read(copy);
        break;
    case 8:
    case 9:
    case 10:
        watch(copy);
        break;
    case 11:
    case 12:
        askPeer(copy);
        break;
    case 13:
        if (!answers_.empty())
            deliver(answers_[pick(answers_.size())]);
        endCall(copy);
        break;
    case 14:
        reconcile(copy);
        break;
    default:
        if (oneIn(4))
            restartCopy(copy);
    }
}

void RestoreSchedule::writeNew(std::size_t key)
{
    const auto value = makeValue(key);
    if (!value && !keys_[key].writes.back())
        return;
    keys_[key].writes.push_back(value);
    store_.write(Keys.at(key), value);
    noteComplete();
}

std::optional<std::string> RestoreSchedule::makeValue(std::size_t key)
{
    const std::string name = Keys.at(key);
    auto &version = keys_[key].version;
    ++version.sequence;
    const bool isConfig = key == 0;
    if (!isConfig && oneIn(3))
        return std::nullopt;
    if (name.starts_with("zone/"))
        return oneIn(2) ? "same" : "zone " + std::to_string(version.sequence);
    if (!isConfig && oneIn(4))
        version = {version.writerStart + 1, 1};
    return std::to_string(version.writerStart) + ":" + std::to_string(version.sequence);
}

std::vector<std::size_t> RestoreSchedule::lostKeys() const
{
    const auto values = store_.values();
    std::vector<std::size_t> lost;
    for (std::size_t key = 0; key < keys_.size(); ++key) {
        const auto found = values.find(Keys.at(key));
        const auto stored = found == values.end() ? std::nullopt : std::optional(found->second);
        if (stored != keys_[key].writes.back())
            lost.push_back(key);
    }
    return lost;
}

void RestoreSchedule::writeAgain()
{
    const auto lost = lostKeys();
    if (lost.empty())
        return;
    const auto key = lost[pick(lost.size())];
    store_.write(Keys.at(key), keys_[key].writes.back());
    noteComplete();
}

void RestoreSchedule::restore()
{
    store_.restore(1 + pick(store_.position().revision));
    noteComplete();
}

void RestoreSchedule::noteComplete()
{
    if (lostKeys().empty())
        completeAt_.emplace(store_.position().era, store_.position().revision);
}

RecordDelta RestoreSchedule::readStore()
{
    RecordDelta read{{}, store_.position(), true};
    const auto half = std::string(Keys.at(pick(Keys.size())));
    for (const auto &[key, record] : store_.items()) {
        if (key < half)
            read.records.push_back(record);
    }
    // Pages are not read atomically.
    if (oneIn(2))
        writeNew(pick(keys_.size()));
    else if (oneIn(2))
        writeAgain();
    for (const auto &[key, record] : store_.items()) {
        if (key >= half)
            read.records.push_back(record);
    }
    return read;
}

void RestoreSchedule::read(std::size_t copy)
{
    endCall(copy);
    copies_.at(copy).call = {Answer::Kind::Read, copy, 0, readStore()};
    if (!oneIn(3))
        endCall(copy);
}

void RestoreSchedule::watch(std::size_t copy)
{
    endCall(copy);
    const auto &position = copies_.at(copy).mirror.position();
    if (position.revision > store_.position().revision || position == StorePosition{})
        return read(copy);
    copies_.at(copy).call = {Answer::Kind::Watch,
                             copy,
                             position.era,
                             {store_.changesAfter(position.revision), store_.position()}};
    if (!oneIn(3))
        endCall(copy);
}

void RestoreSchedule::endCall(std::size_t copy)
{
    const auto call = std::exchange(copies_.at(copy).call, std::nullopt);
    if (call)
        deliver(*call);
}

void RestoreSchedule::askPeer(std::size_t copy)
{
    auto &mirror = copies_.at(copy).mirror;
    const auto &peer = copies_.at(pick(copies_.size())).mirror;
    const bool isNewer = peer.position() > mirror.position();
    if (!isNewer && peer.isReconciled() && peer.position().era == mirror.position().era) {
        event_ = "reconciled peer";
        apply(copy, [](RecordMirror &own) { return own.reconcile(); });
    }
    if (!isNewer)
        return;
    const Answer answer{Answer::Kind::Peer, copy, mirror.position().era,
                        peer.deltaSince(mirror.position())};
    answers_.push_back(answer);
    if (!oneIn(4))
        deliver(answer);
}

void RestoreSchedule::deliver(const Answer &answer)
{
    const auto &delta = answer.delta;
    const auto before = copies_.at(answer.copy).mirror.position();
    event_ = std::string(answer.kind == Answer::Kind::Read    ? "read"
                         : answer.kind == Answer::Kind::Watch ? "watch"
                                                              : "peer")
             + " as of " + describe(delta.asOf) + " by copy " + std::to_string(answer.copy) + " at "
             + describe(before);
    if (answer.kind == Answer::Kind::Read)
        noteLateRead(answer);
    if (answer.kind == Answer::Kind::Read)
        return apply(answer.copy, [&](RecordMirror &mirror) {
            return mirror.applySnapshot(delta.records, delta.asOf);
        });
    // As in RecordFollower::applyPeerDelta().
    if (answer.kind == Answer::Kind::Peer && delta.asOf <= before)
        return;
    if (answer.kind == Answer::Kind::Peer)
        return apply(answer.copy, [&](RecordMirror &mirror) { return mirror.apply(delta); });
    // RecordFollower reads the store again if a watch is answered from another era.
    if (answer.era != delta.asOf.era)
        return read(answer.copy);
    apply(answer.copy,
          [&](RecordMirror &mirror) { return mirror.apply(delta.records, delta.asOf); });
    if (delta.asOf.era == before.era)
        checkWatched(copies_.at(answer.copy), delta.records, before.revision);
}

void RestoreSchedule::noteLateRead(const Answer &answer)
{
    const auto &asOf = answer.delta.asOf;
    if (asOf.era != store_.position().era || asOf.era == 1
        || copies_.at(answer.copy).mirror.position().era == asOf.era)
        return;
    for (const auto &change : store_.changesAfter(0)) {
        if (change.key.starts_with("zone/") && change.era > 1 && change.revision <= asOf.revision)
            ambiguous_.insert(change.key);
    }
}

bool RestoreSchedule::isComplete(const Copy &copy) const
{
    const auto &position = copy.mirror.position();
    const auto complete = completeAt_.find(position.era);
    return complete != completeAt_.end() && complete->second <= position.revision;
}

void RestoreSchedule::reconcile(std::size_t copy)
{
    if (!isComplete(copies_.at(copy)))
        return;
    event_ = "reconcile of copy " + std::to_string(copy);
    apply(copy, [](RecordMirror &mirror) { return mirror.reconcile(); });
}

void RestoreSchedule::restartCopy(std::size_t copy)
{
    copies_.at(copy) = Copy();
    std::erase_if(answers_, [copy](const Answer &answer) { return answer.copy == copy; });
}

void RestoreSchedule::apply(
        std::size_t index, const std::function<std::vector<StoreRecord>(RecordMirror &)> &operation)
{
    auto &copy = copies_.at(index);
    const auto before = copy.mirror.position();
    for (const auto &change : operation(copy.mirror)) {
        if (change.value)
            copy.replayed[change.key] = *change.value;
        else
            copy.replayed.erase(change.key);
    }
    if (copy.mirror.position() < before)
        fail("the position went back");
    if (copy.replayed != valuesOf(copy.mirror))
        fail("the returned changes do not lead to the records");
    checkShown(copy, event_.starts_with("peer"));
}

void RestoreSchedule::checkShown(Copy &copy, bool isFromPeer)
{
    const auto values = valuesOf(copy.mirror);
    for (std::size_t key = 0; key < keys_.size(); ++key) {
        const std::string name = Keys.at(key);
        const auto found = values.find(name);
        const auto value = found == values.end() ? std::nullopt : std::optional(found->second);
        const auto &writes = keys_[key].writes;
        auto &shown = copy.shown[name];
        auto write =
                std::find(writes.begin() + static_cast<std::ptrdiff_t>(shown), writes.end(), value);
        if (write == writes.end() && isFromPeer && ambiguous_.contains(name))
            write = std::find(writes.begin(), writes.end(), value);
        if (write == writes.end())
            return fail(name + " shows " + value.value_or("nothing") + " after "
                        + writes[shown].value_or("nothing") + ", write " + std::to_string(shown)
                        + " of " + std::to_string(writes.size()));
        shown = static_cast<std::size_t>(write - writes.begin());
    }
}

void RestoreSchedule::checkWatched(const Copy &copy, const std::vector<StoreRecord> &changes,
                                   std::uint64_t after)
{
    std::map<std::string, std::optional<std::string>> last;
    for (const auto &change : changes) {
        if (change.revision > after)
            last[change.key] = change.value;
    }
    const auto values = valuesOf(copy.mirror);
    for (const auto &[key, value] : last) {
        const auto found = values.find(key);
        if (value != (found == values.end() ? std::nullopt : std::optional(found->second)))
            fail("a watched change of " + key + " is not applied");
    }
}

void RestoreSchedule::finish()
{
    while (!lostKeys().empty())
        writeAgain();
    for (std::size_t copy = 0; copy < copies_.size() && fault_.empty(); ++copy) {
        auto &mirror = copies_.at(copy).mirror;
        const auto &position = mirror.position();
        endCall(copy);
        if (position.era != store_.position().era)
            read(copy);
        endCall(copy);
        while (!lostKeys().empty())
            writeAgain();
    }
    for (std::size_t copy = 0; copy < copies_.size() && fault_.empty(); ++copy) {
        auto &mirror = copies_.at(copy).mirror;
        deliver({Answer::Kind::Watch,
                 copy,
                 mirror.position().era,
                 {store_.changesAfter(mirror.position().revision), store_.position()}});
        reconcile(copy);
        if (valuesOf(mirror) != store_.values())
            fail("copy " + std::to_string(copy) + " differs from the store at the end");
    }
}

void RestoreSchedule::fail(const std::string &fault)
{
    if (fault_.empty())
        fault_ = event_ + ": " + fault;
}

} // namespace persimmon::state::test
