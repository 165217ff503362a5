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

/// Thread pool that runs one io_context, and the clock shared by all components of a process.
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

    /// @return an executor whose handlers never run concurrently: a new strand, or the context
    /// itself
    ///         when the runtime has a single thread.
    boost::asio::any_io_executor makeStrand();

    /// Runs @p task on a new strand. An exception that escapes it is logged.
    void spawn(boost::asio::awaitable<void> task);

    /// Calls @p handler on the first SIGTERM or SIGINT.
    void onTermination(std::function<void()> handler);

    /// Runs handlers on the configured number of threads, including the calling one, until stop()
    /// or requestStop().
    void run();

    /// Runs handlers on background threads; stop() joins them.
    void start();

    /// Stops the io_context and joins the background threads. Must not be called from one of them.
    void stop();

    /// Stops the io_context without waiting. Thread-safe; may be called from any handler.
    void requestStop() { context_.stop(); }

private:
    void startThreads(int count);

    const int threadCount_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard_;
    boost::asio::signal_set signals_;
    Clock clock_;
    std::vector<std::thread> threads_;
};

} // namespace persimmon::transport
