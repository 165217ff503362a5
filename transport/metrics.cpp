#include "transport/metrics.h"

#include <array>
#include <sstream>

namespace persimmon::transport {

namespace {

constexpr std::array<double, 4> Quantiles{0.5, 0.9, 0.99, 0.999};

double toSeconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

void writeHeader(std::ostream &out, const std::string &name, const std::string &help,
                 const char *type)
{
    out << "# HELP " << name << " " << help << "\n# TYPE " << name << " " << type << "\n";
}

std::string formatLabels(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

void writeLatency(std::ostream &out, const std::string &name, const std::string &labels,
                  const LatencyHistogram &latency)
{
    for (const auto quantile : Quantiles) {
        out << name << "{" << labels << (labels.empty() ? "" : ",") << "quantile=\"" << quantile
            << "\"} " << toSeconds(latency.quantile(quantile)) << "\n";
    }
    out << name << "_sum" << formatLabels(labels) << " " << toSeconds(latency.sum()) << "\n";
    out << name << "_count" << formatLabels(labels) << " " << latency.count() << "\n";
}

} // namespace

Counter &Metrics::counter(const std::string &name, const std::string &help,
                          const std::string &labels)
{
    const std::lock_guard lock(mutex_);
    auto &family = counters_[name];
    family.help = help;
    auto &slot = family.byLabels[labels];
    if (!slot)
        slot = std::make_unique<Counter>();
    return *slot;
}

LatencyHistogram &Metrics::latency(const std::string &name, const std::string &help,
                                   const std::string &labels)
{
    const std::lock_guard lock(mutex_);
    auto &family = latencies_[name];
    family.help = help;
    auto &slot = family.byLabels[labels];
    if (!slot)
        slot = std::make_unique<LatencyHistogram>();
    return *slot;
}

void Metrics::gauge(const std::string &name, const std::string &help, std::function<double()> read)
{
    const std::lock_guard lock(mutex_);
    auto &family = gauges_[name];
    family.help = help;
    family.byLabels[""] = std::move(read);
}

std::string Metrics::format() const
{
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    for (const auto &[name, family] : counters_) {
        writeHeader(out, name, family.help, "counter");
        for (const auto &[labels, counter] : family.byLabels)
            out << name << formatLabels(labels) << " " << counter->value() << "\n";
    }
    for (const auto &[name, family] : gauges_) {
        writeHeader(out, name, family.help, "gauge");
        for (const auto &[labels, read] : family.byLabels)
            out << name << formatLabels(labels) << " " << read() << "\n";
    }
    for (const auto &[name, family] : latencies_) {
        writeHeader(out, name, family.help, "summary");
        for (const auto &[labels, latency] : family.byLabels)
            writeLatency(out, name, labels, *latency);
    }
    return out.str();
}

} // namespace persimmon::transport
