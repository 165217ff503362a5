#pragma once

#include "transport/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <thread>
#include <vector>

namespace persimmon::transport {

/// Threads that run one io_context, with the clock that all parts of a process use.
class Runtime
{
public:
    /// @param threads number of threads that run handlers, at least 1.
    explicit Runtime(int threads);
    ~Runtime();
    Runtime(const Runtime &) = delete;
    Runtime &operator=(const Runtime &) = delete;

    boost::asio::io_context &context() { return context_; }
    Clock &clock() { return clock_; }

    /// @return an executor whose handlers never run at the same time: a new strand, or the context
    ///         itself when one thread runs it.
    boost::asio::any_io_executor makeStrand();

    /// Runs @p task on a strand of its own. An exception that leaves it is logged.
    void spawn(boost::asio::awaitable<void> task);

    /// Calls @p handler on the first SIGTERM or SIGINT.
    void onTermination(std::function<void()> handler);

    /// Runs handlers on the configured number of threads, the calling one among them, until stop().
    void run();

    /// Runs handlers on background threads; stop() joins them.
    void start();

    /// Ends run() and joins the background threads. Not to be called from a background thread.
    void stop();

    /// Ends run() without waiting; callable from any handler.
    void requestStop() { context_.stop(); }

private:
    void startThreads(int count);

    const int threadCount_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::signal_set signals_;
    Clock clock_;
    std::vector<std::thread> threads_;
};

} // namespace persimmon::transport
