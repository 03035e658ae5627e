/**
 * @file thread_pool.cpp Traffic threads, each with its own event loop.
 */

#include "net/thread_pool.h"

namespace bronze {

ThreadPool::ThreadPool(size_t aThreads) {
  for (size_t i = 0; i < aThreads; ++i) {
    m_contexts.push_back(std::make_unique<boost::asio::io_context>(1));
    m_work.emplace_back(m_contexts.back()->get_executor());
    m_threads.emplace_back(
        [context = m_contexts.back().get()] { context->run(); });
  }
}

ThreadPool::~ThreadPool() { Stop(); }

void ThreadPool::Stop() {
  for (auto& context : m_contexts) context->stop();
  for (auto& thread : m_threads) {
    if (thread.joinable()) thread.join();
  }
}

}  // namespace bronze
