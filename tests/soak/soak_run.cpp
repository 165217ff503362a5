#include "tests/soak/soak_run.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <sstream>

namespace persimmon::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Callers = 6;
/// Faults begin within this time of the start.
constexpr milliseconds PlanSpan{7000};
constexpr milliseconds GraceTime{3000};
constexpr milliseconds LeastDrain{4000};
constexpr milliseconds RecoveryTime{12000};
constexpr milliseconds StepPoll{10};
constexpr milliseconds CallerPause{8};

milliseconds lengthOf(const Fault &fault)
{
    if (fault.kind == FaultKind::StopHost)
        return GraceTime;
    // Long enough to see whether work still arrives after the drain time.
    return fault.kind == FaultKind::UpstreamDrained ? fault.length + LeastDrain : fault.length;
}

std::string serviceOf(const std::string &upstream)
{
    return upstream.substr(0, upstream.find('-'));
}

} // namespace

/// One caller: keeps a connection to a host until it ends, then connects to any host.
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
            std::this_thread::sleep_for(CallerPause);
        }
    }

private:
    void connect()
    {
        host_ = 1 + static_cast<int>(random_() % PlatformCluster::HostCount);
        connection_ = std::make_unique<RawCaller>(run_.cluster_->frontPort(host_));
    }

    std::string drawTarget(bool &repeatable)
    {
        const auto draw = random_() % 10;
        repeatable = draw > 1;
        if (draw <= 1)
            return "/pay/1";
        if (draw == 2)
            return "/look/1";
        // One newer than the system may know shows which version is in force.
        return draw < 6 ? "/v" + std::to_string(run_.newestVersion_) + "/q" : "/g/q";
    }

    void send()
    {
        SoakLedger::Attempt attempt;
        attempt.id = "s" + std::to_string(number_) + "-" + std::to_string(++count_);
        attempt.target = drawTarget(attempt.repeatable);
        attempt.host = host_;
        attempt.incarnation = run_.incarnations_.at(host_);
        attempt.sentAt = Clock::now();
        connection_->send((attempt.repeatable ? "GET " : "POST ") + attempt.target
                          + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + attempt.id
                          + "\r\nX-Deadline-Ms: " + std::to_string(SoakTerms::Deadline.count())
                          + "\r\nContent-Length: 0\r\n\r\n");
        const auto response = connection_->receive(SoakTerms::FinalAnswer);
        attempt.endedAt = Clock::now();
        attempt.status = statusOf(response);
        run_.served_ += attempt.status == 200 ? 1 : 0;
        run_.ledger_.check(attempt, response);
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

SoakRun::SoakRun(std::uint32_t seed) : seed_(seed)
{
    PlatformPlan plan;
    plan.serviceOf.clear();
    for (int shard = 0; shard < SoakTerms::Shards; ++shard) {
        for (const auto *replica : {"-a", "-b"})
            plan.serviceOf["s" + std::to_string(shard) + replica] = "s" + std::to_string(shard);
    }
    for (const auto *id : {"pay-a", "pay-b", "look-a", "look-b"})
        plan.serviceOf[id] = serviceOf(id);
    for (const auto &[id, service] : plan.serviceOf)
        upstreams_.push_back(id);
    plan.answer = [this](const std::string &upstream, const std::string &request) {
        return answer(upstream, request);
    };
    plan.routeToUpstream = [this](const std::string &id, const std::string &address) {
        upstreamAddresses_[id] = address;
        upstreamProxies_[id] = std::make_unique<FaultProxy>(address);
        return upstreamProxies_.at(id)->address();
    };
    plan.routeToStore = [this](int host, const std::string &address) {
        auto &proxy = storeProxies_[host];
        if (!proxy)
            proxy = std::make_unique<FaultProxy>(address);
        return proxy->address();
    };
    plan_ = makeSoakPlan(seed, PlanSpan, PlatformCluster::HostCount, upstreams_);
    for (int host = 1; host <= PlatformCluster::HostCount; ++host)
        incarnations_[host] = 1;
    cluster_ = std::make_unique<PlatformCluster>(std::move(plan));
    writeConfig();
}

SoakRun::~SoakRun()
{
    cluster_.reset();
}

RawResponse SoakRun::answer(const std::string &upstream, const std::string &request)
{
    const auto id = fieldOf(request, "X-Request-Id");
    const auto service = serviceOf(upstream);
    const auto line = request.substr(0, request.find("\r\n"));
    ledger_.noteArrival(id, upstream);
    bool losesAnswer = false;
    {
        const std::lock_guard lock(mutex_);
        losesAnswer = losesAnswers_.contains(upstream);
    }
    const auto expected = service == "pay"    ? "POST /pay/1 HTTP/1.1"
                          : service == "look" ? "GET /look/1 HTTP/1.1"
                                              : "GET /";
    if (!line.starts_with(expected))
        ledger_.report("UNASKED: " + upstream + " got " + line);
    if (losesAnswer)
        return {"", true};
    const auto stamp = "X-Response-Stamp: " + service + "." + id + "\r\n";
    RawResponse result{makeResponse(makeSoakRecord(service, id, 0) + makeSoakRecord(service, id, 1),
                                    "", stamp + "X-Request-Id: " + id + "\r\n")};
    result.delay = milliseconds(4);
    return result;
}

void SoakRun::writeConfig()
{
    const int version = ++newestVersion_;
    std::ostringstream text;
    text << R"({"version":)" << version << R"(,"services":[],"limits":{"max_header_bytes":16384,)"
         << R"("max_body_bytes":262144,"header_ms":3000,"idle_ms":15000},"routes":[)";
    const auto prefixes = {std::string("/g/"), "/v" + std::to_string(version) + "/",
                           "/v" + std::to_string(version - 1) + "/"};
    for (const auto &prefix : prefixes) {
        text << R"({"name":")" << prefix << R"(","host":"h.example","prefix":")" << prefix
             << R"(","kind":"idempotent","deadline_ms":1500,"goal_ms":400,"priority":1,)"
             << R"("gather":["s0","s1","s2","s3"],"max_attempts":2,"min_fraction":0.5,"top_k":)"
             << SoakTerms::TopRecords << "},";
    }
    text << R"({"name":"pay","host":"h.example","prefix":"/pay/","kind":"non_idempotent",)"
         << R"("deadline_ms":1500,"goal_ms":400,"priority":0,"service":"pay","max_attempts":2},)"
         << R"({"name":"look","host":"h.example","prefix":"/look/","kind":"idempotent",)"
         << R"("deadline_ms":1500,"goal_ms":400,"priority":1,"service":"look","max_attempts":2}]})";
    cluster_->store().put("op/config", text.str());
    ledger_.noteVersion();
}

std::vector<std::string> SoakRun::play()
{
    for (int host = 1; host <= PlatformCluster::HostCount; ++host) {
        if (!cluster_->waitUntilReady(host))
            return {"START: host " + std::to_string(host)
                    + " is not ready; it logged: " + cluster_->lastLogLine(host)};
    }
    std::vector<std::thread> callers;
    for (int number = 0; number < Callers; ++number)
        callers.emplace_back([this, number] { Caller(*this, number).run(); });
    for (const auto &step : makeSteps(Clock::now() + seconds(1))) {
        while (Clock::now() < step.at) {
            noteEndedProcesses();
            std::this_thread::sleep_for(StepPoll);
        }
        carryOut(step);
    }
    recover();
    running_ = false;
    for (auto &caller : callers)
        caller.join();
    return ledger_.finish();
}

std::vector<SoakRun::Step> SoakRun::makeSteps(Clock::time_point start) const
{
    std::vector<Step> steps;
    for (std::size_t i = 0; i < plan_.size(); ++i) {
        steps.push_back({start + plan_[i].at, i, true});
        steps.push_back({start + plan_[i].at + lengthOf(plan_[i]), i, false});
    }
    std::stable_sort(steps.begin(), steps.end(),
                     [](const Step &left, const Step &right) { return left.at < right.at; });
    return steps;
}

void SoakRun::carryOut(const Step &step)
{
    const auto &fault = plan_[step.fault];
    if (isHostFault(fault.kind))
        step.begins ? beginHostFault(fault) : endHostFault(fault);
    else if (isUpstreamFault(fault.kind))
        step.begins ? beginUpstreamFault(fault) : endUpstreamFault(fault);
    else if (step.begins)
        beginStoreFault(fault);
    else if (fault.kind == FaultKind::StoreDown)
        cluster_->store().setDown(false);
}

void SoakRun::beginHostFault(const Fault &fault)
{
    auto &process = cluster_->process(fault.host);
    const auto now = Clock::now();
    const auto length = lengthOf(fault);
    if (fault.kind != FaultKind::ReloadHost)
        ledger_.disturb(fault.host, now, now + length);
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
        storeProxies_.at(fault.host)->silenceOpen();
        break;
    }
}

void SoakRun::endHostFault(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::KillHost:
    case FaultKind::StopHost:
        cluster_->process(fault.host).kill();
        ledger_.disturb(fault.host, Clock::now(), Clock::now());
        ++incarnations_.at(fault.host);
        expectedDown_.erase(fault.host);
        cluster_->start(fault.host);
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

void SoakRun::beginUpstreamFault(const Fault &fault)
{
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
        proxy.silenceOpen();
        break;
    case FaultKind::UpstreamDrained: {
        cluster_->registerUpstream(fault.upstream, "draining");
        const auto now = Clock::now();
        ledger_.noteDrain(fault.upstream, now, now + lengthOf(fault));
        break;
    }
    case FaultKind::AddressReused:
        cluster_->store().remove("servers/" + fault.upstream);
        proxy.setMode(ProxyMode::Reset);
        proxy.setTarget(
                upstreamAddresses_.at(serviceOf(fault.upstream) == "pay" ? "look-a" : "pay-a"));
        proxy.setMode(ProxyMode::Pass);
        break;
    default: {
        const std::lock_guard lock(mutex_);
        losesAnswers_.insert(fault.upstream);
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
    if (fault.kind == FaultKind::AddressReused || fault.kind == FaultKind::UpstreamDrained)
        cluster_->registerUpstream(fault.upstream, "ready");
    const std::lock_guard lock(mutex_);
    losesAnswers_.erase(fault.upstream);
}

void SoakRun::beginStoreFault(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::StoreDown:
        for (int host = 1; host <= PlatformCluster::HostCount; ++host)
            ledger_.disturb(host, Clock::now(), Clock::now() + fault.length);
        cluster_->store().setDown(true);
        break;
    case FaultKind::StoreCompacted:
        cluster_->store().compact();
        break;
    default:
        writeConfig();
        break;
    }
}

void SoakRun::noteEndedProcesses()
{
    for (int host = 1; host <= PlatformCluster::HostCount; ++host) {
        if (expectedDown_.contains(host) || cluster_->process(host).isRunning())
            continue;
        expectedDown_.insert(host);
        ledger_.report("FAULT: host " + std::to_string(host) + " ended by itself");
    }
}

void SoakRun::recover()
{
    cluster_->store().setDown(false);
    for (auto &[host, proxy] : storeProxies_)
        proxy->setMode(ProxyMode::Pass);
    for (const auto &upstream : upstreams_)
        upstreamProxies_.at(upstream)->setMode(ProxyMode::Pass);
    const auto end = Clock::now() + RecoveryTime;
    for (int host = 1; host <= PlatformCluster::HostCount; ++host) {
        const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now());
        const bool whole = PlatformCluster::waitUntil(
                [&] {
                    const auto response = cluster_->call(host, "/g/q");
                    return statusOf(response) == 200 && fieldOf(response, "X-Missing-Parts") == "0";
                },
                left);
        if (!whole)
            ledger_.report("RECOVER: host " + std::to_string(host) + " gives no whole answers");
    }
}

} // namespace persimmon::tests
