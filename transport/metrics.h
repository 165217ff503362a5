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

/// Thread-safe monotonic counter.
class Counter
{
public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_ = 0;
};

/// Registry of the metrics of one process, served at GET /metrics in the Prometheus text format.
class Metrics
{
public:
    /// @param name metric name such as "persimmon_entry_queries_total".
    /// @param help description of the metric.
    /// @param labels label pairs such as `outcome="done"`; empty for none.
    /// @return the counter with this name and these labels, created on the first call.
    Counter &counter(const std::string &name, const std::string &help,
                     const std::string &labels = "");

    /// @return the latency summary, in seconds, with this name and these labels, created on the
    /// first
    ///         call.
    LatencyHistogram &latency(const std::string &name, const std::string &help,
                              const std::string &labels = "");

    /// Registers a gauge.
    /// @param read returns the current value; called under the lock of the registry by format().
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
