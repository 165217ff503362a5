#pragma once

#include "transport/latency_histogram.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace persimmon::transport {

/// A number that only rises.
class Counter
{
public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_ = 0;
};

/// The metrics of one process, served at GET /metrics in the Prometheus text format.
class Metrics
{
public:
    /// @param name such as "persimmon_entry_queries_total".
    /// @param labels such as `outcome="done"`; empty for none.
    /// @return the counter of that name and labels; the same one at each call.
    Counter &counter(const std::string &name, const std::string &help,
                     const std::string &labels = "");

    /// Latency in seconds.
    LatencyHistogram &latency(const std::string &name, const std::string &help,
                              const std::string &labels = "");

    /// Registers a value that is read when metrics are served.
    void gauge(const std::string &name, const std::string &help, std::function<double()> read);

    /// @return all metrics in the Prometheus text format.
    std::string format() const;

private:
    template <typename Metric>
    struct Family
    {
        std::string help;
        std::map<std::string, Metric> byLabels;
    };

    mutable std::mutex mutex_;
    std::map<std::string, Family<std::unique_ptr<Counter>>> counters_;
    std::map<std::string, Family<std::unique_ptr<LatencyHistogram>>> latencies_;
    std::map<std::string, Family<std::function<double()>>> gauges_;
};

} // namespace persimmon::transport
