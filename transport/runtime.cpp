#include "transport/runtime.h"

#include "transport/log.h"

#include <boost/asio/executor_work_guard.hpp>

#include <algorithm>
#include <csignal>

namespace asio = boost::asio;

namespace persimmon::transport {

Runtime::Runtime(int threads)
    : threadCount_(std::max(1, threads)),
      context_(threadCount_),
      workGuard_(asio::make_work_guard(context_)),
      signals_(context_)
{
}

Runtime::~Runtime()
{
    stop();
}

void Runtime::spawn(asio::awaitable<void> task)
{
    asio::co_spawn(makeStrand(), std::move(task), [](const std::exception_ptr &failure) {
        if (!failure)
            return;
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception &exception) {
            logError("runtime", std::string("Unhandled exception in a task: ") + exception.what());
        }
    });
}

void Runtime::onTermination(std::function<void()> handler)
{
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.async_wait([handler = std::move(handler)](boost::system::error_code error, int) {
        if (!error)
            handler();
    });
}

asio::any_io_executor Runtime::makeStrand()
{
    if (threadCount_ == 1)
        return context_.get_executor();
    return asio::make_strand(context_);
}

void Runtime::run()
{
    startThreads(threadCount_ - 1);
    context_.run();
    for (auto &thread : threads_)
        thread.join();
    threads_.clear();
}

void Runtime::start()
{
    startThreads(threadCount_);
}

void Runtime::startThreads(int count)
{
    for (int i = 0; i < count; ++i)
        threads_.emplace_back([this] { context_.run(); });
}

void Runtime::stop()
{
    context_.stop();
    for (auto &thread : threads_)
        thread.join();
    threads_.clear();
}

} // namespace persimmon::transport
