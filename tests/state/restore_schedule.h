#pragma once

#include "tests/state/model_store.h"

#include <array>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace persimmon::state::test {

/// Random schedule of writes, restores and copies of a store. Checks after each step that what a
/// copy shows never goes back in the order in which the writers have written.
class RestoreSchedule
{
public:
    explicit RestoreSchedule(std::uint32_t seed) : random_(seed), keys_(Keys.size()) {}

    /// @return the first fault, empty if there is none.
    std::string run();

    /// @return the number of keys for which the answers of peers were not checked; see ambiguous_.
    std::size_t uncheckedKeys() const { return ambiguous_.size(); }

private:
    static constexpr int Steps = 80;
    /// One configuration, registrations of servers and evacuations.
    static constexpr std::array<const char *, 6> Keys{"config",   "server/1", "server/2",
                                                      "server/3", "zone/1",   "zone/2"};

    /// All that the writers of a key have written. Does not change with a restore.
    struct Key
    {
        std::vector<std::optional<std::string>> writes{std::nullopt};
        ContentVersion version;
    };

    /// Answer of the store or of a peer that is delivered later.
    struct Answer
    {
        enum class Kind { Read, Watch, Peer };
        Kind kind = Kind::Read;
        std::size_t copy = 0;
        /// Era of the copy that asked.
        std::uint64_t era = 0;
        RecordDelta delta;
    };

    struct Copy
    {
        RecordMirror mirror{contentVersionOf};
        /// The returned changes, replayed.
        std::map<std::string, std::string> replayed;
        /// For each key, the earliest write that explains all that was shown.
        std::map<std::string, std::size_t> shown;
        /// Call to the store in progress. RecordFollower makes one at a time.
        std::optional<Answer> call;
    };

    static std::optional<ContentVersion> contentVersionOf(const StoreRecord &record);
    std::size_t pick(std::size_t count) { return random_() % count; }
    bool oneIn(std::size_t count) { return pick(count) == 0; }
    void step();
    void writeNew(std::size_t key);
    std::optional<std::string> makeValue(std::size_t key);
    void writeAgain();
    void restore();
    std::vector<std::size_t> lostKeys() const;
    RecordDelta readStore();
    void read(std::size_t copy);
    void watch(std::size_t copy);
    void endCall(std::size_t copy);
    void askPeer(std::size_t copy);
    void deliver(const Answer &answer);
    void reconcile(std::size_t copy);
    void restartCopy(std::size_t copy);
    void noteComplete();
    void noteLateRead(const Answer &answer);
    bool isComplete(const Copy &copy) const;
    void apply(std::size_t copy, const std::function<std::vector<StoreRecord>(RecordMirror &)> &);
    void checkShown(Copy &copy, bool isFromPeer);
    /// @param after position of the copy before the watch.
    void checkWatched(const Copy &copy, const std::vector<StoreRecord> &changes,
                      std::uint64_t after);
    void finish();
    void fail(const std::string &fault);

    std::mt19937 random_;
    ModelStore store_;
    std::vector<Key> keys_;
    std::array<Copy, 4> copies_;
    /// Answers of peers, which may be delivered several times.
    std::vector<Answer> answers_;
    /// Position of the current era at which all that was lost had been written again.
    std::map<std::uint64_t, std::uint64_t> completeAt_{{1, 0}};
    /// Keys without a version that a copy has read for the first time in an era after a write that
    /// followed a restore. Nothing shows whether that write is from before or after the restore.
    std::set<std::string> ambiguous_;
    std::string event_;
    std::string fault_;
};

} // namespace persimmon::state::test
