/**
 * @file thread_pool.h Traffic threads, each with its own event loop.
 */

#ifndef BRONZE_NET_THREAD_POOL_H_
#define BRONZE_NET_THREAD_POOL_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace bronze {

/** Runs one io_context per thread, so a session needs no lock or strand. */
class ThreadPool {
 public:
  explicit ThreadPool(size_t aThreads);
  ~ThreadPool();
  ThreadPool(const ThreadPool&) = delete;
  ThreadPool& operator=(const ThreadPool&) = delete;

  [[nodiscard]] size_t Size() const { return m_contexts.size(); }
  [[nodiscard]] boost::asio::io_context& Context(size_t aIndex) {
    return *m_contexts[aIndex];
  }

  /** Stops all loops and joins the threads. */
  void Stop();

 private:
  using Work =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  std::vector<std::unique_ptr<boost::asio::io_context>> m_contexts;
  std::vector<Work> m_work;  ///< Keeps each loop running while it is idle.
  std::vector<std::thread> m_threads;
};

}  // namespace bronze

#endif  // BRONZE_NET_THREAD_POOL_H_
