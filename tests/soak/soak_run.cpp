#include "tests/soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <random>

namespace persimmon::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int CallerCount = 6;
/// Time within which all faults of the plan start.
constexpr milliseconds FaultStartWindow{7000};
constexpr milliseconds GraceTime{3000};
constexpr milliseconds MinDrainDuration{4000};
constexpr milliseconds RecoveryTime{12000};
constexpr milliseconds StepPollInterval{10};
constexpr milliseconds RequestInterval{8};

milliseconds durationOf(const Fault &fault)
{
    if (fault.kind == FaultKind::StopHost)
        return GraceTime;
    // Longer than DrainPropagationLimit, so that work which still arrives after it is observed.
    return fault.kind == FaultKind::UpstreamDrained ? fault.duration + MinDrainDuration
                                                    : fault.duration;
}

std::string serviceOf(const std::string &upstream)
{
    return upstream.substr(0, upstream.find('-'));
}

} // namespace

/// Caller that keeps a connection to one host until it is closed, then connects to a random host.
class SoakRun::Caller
{
public:
    Caller(SoakRun &run, int number) : run_(run), number_(number), random_(run.seed_ * 100 + number)
    {
    }

    void run()
    {
        while (run_.running_) {
            if (!connection_)
                connect();
            send();
            std::this_thread::sleep_for(RequestInterval);
        }
    }

private:
    void connect()
    {
        host_ = 1 + static_cast<int>(random_() % PlatformCluster::HostCount);
        connection_ = std::make_unique<RawCaller>(run_.cluster_->frontPort(host_));
    }

    std::string drawRequestTarget(bool &idempotent)
    {
        const auto draw = random_() % 10;
        idempotent = draw > 1;
        if (draw <= 1)
            return "/pay/1";
        if (draw == 2)
            return "/look/1";
        // The target has the version written last, which hosts may not have applied yet, so the
        // status shows whether they have.
        return draw < 6 ? "/v" + std::to_string(run_.latestConfigVersion_) + "/q" : "/g/q";
    }

    void send()
    {
        InvariantChecker::Attempt attempt;
        attempt.id = "s" + std::to_string(number_) + "-" + std::to_string(++count_);
        attempt.target = drawRequestTarget(attempt.idempotent);
        attempt.host = host_;
        attempt.incarnation = run_.incarnations_.at(host_);
        attempt.sentAt = Clock::now();
        connection_->send((attempt.idempotent ? "GET " : "POST ") + attempt.target
                          + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + attempt.id
                          + "\r\nX-Deadline-Ms: " + std::to_string(SoakParameters::Deadline.count())
                          + "\r\nContent-Length: 0\r\n\r\n");
        const auto response = connection_->receive(SoakParameters::ResponseTimeout);
        attempt.endedAt = Clock::now();
        attempt.status = statusOf(response);
        run_.successCount_ += attempt.status == 200 ? 1 : 0;
        run_.checker_.checkResponse(attempt, response);
        if (attempt.status == 0 || fieldOf(response, "Connection") == "close")
            connection_.reset();
    }

    SoakRun &run_;
    const int number_;
    std::mt19937 random_;
    int host_ = 1;
    int count_ = 0;
    std::unique_ptr<RawCaller> connection_;
};

SoakRun::SoakRun(std::uint32_t seed, const std::vector<FaultKind> &requiredKinds) : seed_(seed)
{
    PlatformClusterOptions options;
    options.serviceOf.clear();
    for (int shard = 0; shard < SoakParameters::Shards; ++shard) {
        for (const auto *replica : {"-a", "-b"})
            options.serviceOf["s" + std::to_string(shard) + replica] = "s" + std::to_string(shard);
    }
    for (const auto *id : {"pay-a", "pay-b", "look-a", "look-b"})
        options.serviceOf[id] = serviceOf(id);
    for (const auto &[id, service] : options.serviceOf)
        upstreams_.push_back(id);
    options.requestHandler = [this](const std::string &upstream, const std::string &request) {
        return handleRequest(upstream, request);
    };
    options.upstreamAddressFor = [this](const std::string &id, const std::string &address) {
        upstreamAddresses_[id] = address;
        upstreamProxies_[id] = std::make_unique<FaultProxy>(address);
        return upstreamProxies_.at(id)->address();
    };
    options.storeAddressFor = [this](int host, const std::string &address) {
        auto &proxy = storeProxies_[host];
        if (!proxy)
            proxy = std::make_unique<FaultProxy>(address);
        return proxy->address();
    };
    plan_ = makeFaultPlan(seed, FaultStartWindow, PlatformCluster::HostCount, upstreams_,
                          requiredKinds);
    for (int host = 1; host <= PlatformCluster::HostCount; ++host)
        incarnations_[host] = 1;
    cluster_ = std::make_unique<PlatformCluster>(std::move(options));
    writers_ = std::make_unique<StoreWriters>(*cluster_, seed);
    publishConfig();
}

SoakRun::~SoakRun()
{
    cluster_.reset();
}

RawResponse SoakRun::handleRequest(const std::string &upstream, const std::string &request)
{
    const auto id = fieldOf(request, "X-Request-Id");
    const auto service = serviceOf(upstream);
    const auto line = request.substr(0, request.find("\r\n"));
    checker_.recordArrival(id, upstream);
    bool dropsResponse = false;
    {
        const std::lock_guard lock(mutex_);
        dropsResponse = upstreamsDroppingResponses_.contains(upstream);
    }
    const auto expected = service == "pay"    ? "POST /pay/1 HTTP/1.1"
                          : service == "look" ? "GET /look/1 HTTP/1.1"
                                              : "GET /";
    if (!line.starts_with(expected))
        checker_.reportViolation("MISROUTED: " + upstream + " got " + line);
    if (dropsResponse)
        return {"", true};
    const auto stamp = "X-Response-Stamp: " + service + "." + id + "\r\n";
    RawResponse result{makeResponse(makeSoakRecord(service, id, 0) + makeSoakRecord(service, id, 1),
                                    "", stamp + "X-Request-Id: " + id + "\r\n")};
    result.delay = milliseconds(4);
    return result;
}

void SoakRun::publishConfig()
{
    writers_->putConfig(++latestConfigVersion_);
    checker_.recordConfigVersion();
}

std::vector<std::string> SoakRun::run()
{
    for (int host = 1; host <= PlatformCluster::HostCount; ++host) {
        if (!cluster_->waitUntilReady(host))
            return {"START: host " + std::to_string(host)
                    + " is not ready; last log line: " + cluster_->lastLogLine(host)};
    }
    std::vector<std::thread> callers;
    for (int number = 0; number < CallerCount; ++number)
        callers.emplace_back([this, number] { Caller(*this, number).run(); });
    for (const auto &step : makeSchedule(Clock::now() + seconds(1))) {
        while (Clock::now() < step.time) {
            detectExitedProcesses();
            writers_->writeDue();
            std::this_thread::sleep_for(StepPollInterval);
        }
        execute(step);
    }
    recover();
    running_ = false;
    for (auto &caller : callers)
        caller.join();
    return checker_.finish();
}

std::vector<SoakRun::Step> SoakRun::makeSchedule(Clock::time_point start) const
{
    std::vector<Step> steps;
    for (std::size_t i = 0; i < plan_.size(); ++i) {
        steps.push_back({start + plan_[i].startOffset, i, true});
        steps.push_back({start + plan_[i].startOffset + durationOf(plan_[i]), i, false});
    }
    std::stable_sort(steps.begin(), steps.end(),
                     [](const Step &left, const Step &right) { return left.time < right.time; });
    return steps;
}

void SoakRun::execute(const Step &step)
{
    const auto &fault = plan_[step.fault];
    if (isHostFault(fault.kind))
        step.starts ? startHostFault(fault) : endHostFault(fault);
    else if (isUpstreamFault(fault.kind))
        step.starts ? startUpstreamFault(fault) : endUpstreamFault(fault);
    else if (step.starts)
        startStoreFault(fault);
    else
        endStoreFault(fault);
}

void SoakRun::startHostFault(const Fault &fault)
{
    auto &process = cluster_->process(fault.host);
    const auto now = Clock::now();
    const auto duration = durationOf(fault);
    if (fault.kind != FaultKind::ReloadHost)
        checker_.recordDisturbance(fault.host, now, now + duration);
    switch (fault.kind) {
    case FaultKind::KillHost:
        expectedDown_.insert(fault.host);
        process.kill();
        break;
    case FaultKind::StopHost:
        expectedDown_.insert(fault.host);
        process.signal(SIGTERM);
        break;
    case FaultKind::PauseHost:
        process.signal(SIGSTOP);
        break;
    case FaultKind::ReloadHost:
        process.signal(SIGHUP);
        break;
    case FaultKind::StoreRefusesHost:
        storeProxies_.at(fault.host)->setMode(ProxyMode::Reset);
        break;
    case FaultKind::StoreHeld:
        storeProxies_.at(fault.host)->setMode(ProxyMode::HoldFromTarget);
        break;
    default:
        storeProxies_.at(fault.host)->stallOpenConnections();
        break;
    }
}

void SoakRun::endHostFault(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::KillHost:
    case FaultKind::StopHost:
        cluster_->process(fault.host).kill();
        checker_.recordDisturbance(fault.host, Clock::now(), Clock::now());
        ++incarnations_.at(fault.host);
        expectedDown_.erase(fault.host);
        cluster_->startHost(fault.host);
        break;
    case FaultKind::PauseHost:
        cluster_->process(fault.host).signal(SIGCONT);
        break;
    case FaultKind::StoreRefusesHost:
    case FaultKind::StoreHeld:
        storeProxies_.at(fault.host)->setMode(ProxyMode::Pass);
        break;
    default:
        break;
    }
}

bool SoakRun::changesRegistration(FaultKind kind)
{
    return kind == FaultKind::AddressReused || kind == FaultKind::UpstreamDrained;
}

void SoakRun::restoreRegistration(const Fault &fault)
{
    auto &active = registrationFaults_[fault.upstream];
    active.erase(active.find(fault.kind));
    if (active.contains(FaultKind::AddressReused))
        return;
    const bool drains = active.contains(FaultKind::UpstreamDrained);
    writers_->registerUpstream(fault.upstream, drains ? "draining" : "ready");
}

void SoakRun::startUpstreamFault(const Fault &fault)
{
    if (changesRegistration(fault.kind))
        registrationFaults_[fault.upstream].insert(fault.kind);
    auto &proxy = *upstreamProxies_.at(fault.upstream);
    switch (fault.kind) {
    case FaultKind::UpstreamDelayed:
        proxy.setMode(ProxyMode::Delay);
        break;
    case FaultKind::UpstreamCrashed:
        proxy.setMode(ProxyMode::Reset);
        break;
    case FaultKind::UpstreamHeld:
        proxy.setMode(ProxyMode::HoldFromTarget);
        break;
    case FaultKind::UpstreamSilent:
        proxy.stallOpenConnections();
        break;
    case FaultKind::UpstreamDrained: {
        writers_->registerUpstream(fault.upstream, "draining");
        const auto now = Clock::now();
        checker_.recordDrain(fault.upstream, now, now + durationOf(fault));
        break;
    }
    case FaultKind::AddressReused:
        writers_->deregisterUpstream(fault.upstream);
        proxy.setMode(ProxyMode::Reset);
        proxy.setTarget(
                upstreamAddresses_.at(serviceOf(fault.upstream) == "pay" ? "look-a" : "pay-a"));
        proxy.setMode(ProxyMode::Pass);
        break;
    default: {
        const std::lock_guard lock(mutex_);
        upstreamsDroppingResponses_.insert(fault.upstream);
        break;
    }
    }
}

void SoakRun::endUpstreamFault(const Fault &fault)
{
    auto &proxy = *upstreamProxies_.at(fault.upstream);
    proxy.setMode(ProxyMode::Pass);
    if (fault.kind == FaultKind::AddressReused) {
        proxy.setMode(ProxyMode::Reset);
        proxy.setTarget(upstreamAddresses_.at(fault.upstream));
        proxy.setMode(ProxyMode::Pass);
    }
    if (changesRegistration(fault.kind))
        restoreRegistration(fault);
    const std::lock_guard lock(mutex_);
    upstreamsDroppingResponses_.erase(fault.upstream);
}

void SoakRun::startStoreFault(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::StoreDown:
    case FaultKind::StoreRestored:
        for (int host = 1; host <= PlatformCluster::HostCount; ++host)
            checker_.recordDisturbance(host, Clock::now(), Clock::now() + fault.duration);
        cluster_->store().setDown(true);
        break;
    case FaultKind::StoreCompacted:
        cluster_->store().compact();
        break;
    default:
        publishConfig();
        break;
    }
}

void SoakRun::endStoreFault(const Fault &fault)
{
    if (fault.kind == FaultKind::StoreRestored)
        writers_->restoreStore(fault.copyAge);
    if (fault.kind == FaultKind::StoreRestored || fault.kind == FaultKind::StoreDown)
        cluster_->store().setDown(false);
}

void SoakRun::detectExitedProcesses()
{
    for (int host = 1; host <= PlatformCluster::HostCount; ++host) {
        if (expectedDown_.contains(host) || cluster_->process(host).isRunning())
            continue;
        expectedDown_.insert(host);
        checker_.reportViolation("CRASH: host " + std::to_string(host) + " exited unexpectedly");
    }
}

void SoakRun::recover()
{
    cluster_->store().setDown(false);
    for (auto &[host, proxy] : storeProxies_)
        proxy->setMode(ProxyMode::Pass);
    for (const auto &upstream : upstreams_)
        upstreamProxies_.at(upstream)->setMode(ProxyMode::Pass);
    while (!writers_->writeDue())
        std::this_thread::sleep_for(StepPollInterval);
    publishConfig();
    const auto end = Clock::now() + RecoveryTime;
    const auto latest = "/v" + std::to_string(latestConfigVersion_) + "/q";
    for (int host = 1; host <= PlatformCluster::HostCount; ++host) {
        const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now());
        const bool isComplete = PlatformCluster::waitUntil(
                [&] {
                    const auto response = cluster_->call(host, latest);
                    return statusOf(response) == 200 && fieldOf(response, "X-Missing-Parts") == "0";
                },
                left);
        if (!isComplete)
            checker_.reportViolation("RECOVER: host " + std::to_string(host)
                                     + " does not return complete responses to " + latest);
    }
}

} // namespace persimmon::tests
