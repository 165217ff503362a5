#include "review/case_result.h"

#include <cstdlib>
#include <iostream>
#include <set>

namespace persimmon::review {

int runCase(int argc, char **argv,
            const std::function<CaseResult(Record &record, bool trouble)> &play)
{
    if (argc != 3) {
        std::cerr << "usage: " << argv[0] << " RECORD TROUBLE\n";
        return static_cast<int>(CaseResult::NotRun);
    }
    Record record(argv[1]);
    const bool trouble = std::string(argv[2]) != "0";
    record.note(trouble ? "with the disruption" : "without the disruption");
    const auto result = play(record, trouble);
    const std::map<CaseResult, std::string> texts{{CaseResult::Held, "the rule held"},
                                                  {CaseResult::Broken, "the rule was broken"},
                                                  {CaseResult::NotRun, "the case could not run"}};
    record.note(texts.at(result));
    std::cout << texts.at(result) << "\n";
    return static_cast<int>(result);
}

void Recurrence::begin()
{
    startedAt_ = std::chrono::steady_clock::now().time_since_epoch().count();
}

bool Recurrence::isActive() const
{
    const auto start = startedAt_.load();
    if (start == 0)
        return false;
    const auto time = std::chrono::steady_clock::now().time_since_epoch()
                      - std::chrono::steady_clock::duration(start) - FirstDelay;
    const auto period =
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(length_ + pause_);
    return time.count() >= 0 && time / period < count_ && time % period < length_;
}

OnceReport checkOnce(Record &record)
{
    static const std::set<int> promises{408, 421, 429, 503};
    const auto runs = record.detailsOf("run");
    const auto answers = record.detailsOf("answered");
    OnceReport report;
    report.sent = record.count("sent");
    report.runs = record.count("run");
    for (const auto &[id, servers] : runs) {
        const auto answer = answers.find(id);
        const bool answered = answer != answers.end();
        const int status = answered ? std::atoi(answer->second.front().c_str()) : 0;
        if (servers.size() > 1) {
            report.ranTwice.push_back(id);
            record.note("TWICE: " + id + " ran " + std::to_string(servers.size())
                        + " times and was answered " + std::to_string(status));
        }
        if (promises.contains(status)) {
            report.refusedAndRun.push_back(id);
            record.note("REFUSED: " + id + " was answered " + std::to_string(status)
                        + " and has run");
        }
    }
    record.note("sent " + std::to_string(report.sent) + ", runs " + std::to_string(report.runs)
                + ", ran more than once " + std::to_string(report.ranTwice.size())
                + ", refused and run " + std::to_string(report.refusedAndRun.size()));
    return report;
}

} // namespace persimmon::review
