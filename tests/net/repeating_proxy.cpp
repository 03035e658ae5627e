/**
 * @file repeating_proxy.cpp A TCP proxy that sends some answers of a server
 * twice.
 *
 * What one read from the server returns counts as one answer. On loopback that
 * holds for answers that are smaller than the buffer.
 */

#include "repeating_proxy.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace bronze {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

struct RepeatingProxy::State {
  State(asio::io_context& aContext, const tcp::endpoint& aServer,
        uint64_t aSeed)
      : m_context(aContext),
        m_server(aServer),
        m_acceptor(aContext, {asio::ip::address_v4::loopback(), 0}),
        m_random(aSeed) {}

  /** @return the delay of the second answer; none: it is sent once. */
  std::optional<Duration> ChooseDelay(std::string_view aAnswer) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_repetition.m_applies && !m_repetition.m_applies(aAnswer)) return {};
    if (std::uniform_real_distribution<>()(m_random) >= m_repetition.m_share) {
      return {};
    }
    ++m_repeated;
    return Duration(std::uniform_int_distribution<int64_t>(
        m_repetition.m_shortestDelay.count(),
        m_repetition.m_longestDelay.count())(m_random));
  }

  asio::io_context& m_context;
  tcp::endpoint m_server;
  tcp::acceptor m_acceptor;
  std::atomic<size_t> m_repeated = 0;
  std::mutex m_mutex;  ///< Guards all below.
  std::mt19937_64 m_random;
  Repetition m_repetition;
};

namespace {

/** @return the answer with a clock that is aDelay later, or one that differs at
 *          least. */
std::string MadeAnew(std::string aAnswer, Duration aDelay) {
  for (const std::string name : {"\"clock_ms\":", "\"now_ms\":"}) {
    const size_t found = aAnswer.find(name);
    if (found == std::string::npos) continue;
    const size_t begin = found + name.size();
    const size_t end = aAnswer.find_first_not_of("0123456789", begin);
    const int64_t clock = std::stoll(aAnswer.substr(begin, end - begin));
    const std::string text = std::to_string(
        clock + 1 + std::chrono::duration_cast<milliseconds>(aDelay).count());
    // Content-Length stays as it is.
    if (text.size() == end - begin) aAnswer.replace(begin, end - begin, text);
  }
  return aAnswer;
}

/** One connection from a client, and one to the server. */
template <class ProxyState>
class Relay : public std::enable_shared_from_this<Relay<ProxyState>> {
 public:
  Relay(std::shared_ptr<ProxyState> aState, tcp::socket aClient)
      : m_state(std::move(aState)),
        m_client(std::move(aClient)),
        m_server(m_state->m_context) {}

  void Start() {
    m_server.async_connect(m_state->m_server,
                           [self = this->shared_from_this()](auto aError) {
                             if (aError) {
                               self->Close();
                               return;
                             }
                             self->m_server.set_option(tcp::no_delay(true));
                             self->m_client.set_option(tcp::no_delay(true));
                             self->ReadCalls();
                             self->ReadAnswers();
                           });
  }

 private:
  void ReadCalls() {
    m_client.async_read_some(
        asio::buffer(m_calls),
        [self = this->shared_from_this()](auto aError, size_t aCount) {
          if (aError) {
            self->Close();
            return;
          }
          asio::async_write(self->m_server, asio::buffer(self->m_calls, aCount),
                            [self](auto aFailed, size_t) {
                              if (aFailed) {
                                self->Close();
                              } else {
                                self->ReadCalls();
                              }
                            });
        });
  }

  void ReadAnswers() {
    m_server.async_read_some(
        asio::buffer(m_answers),
        [self = this->shared_from_this()](auto aError, size_t aCount) {
          if (aError) {
            self->Close();
            return;
          }
          const std::string answer(self->m_answers.data(), aCount);
          self->Send(answer);
          self->MaybeRepeat(answer);
          self->ReadAnswers();
        });
  }

  void MaybeRepeat(const std::string& aAnswer) {
    const auto delay = m_state->ChooseDelay(aAnswer);
    if (!delay) return;
    std::string second = aAnswer;
    {
      const std::lock_guard<std::mutex> lock(m_state->m_mutex);
      if (m_state->m_repetition.m_madeAnew) {
        second = MadeAnew(std::move(second), *delay);
      }
      second.resize(std::min(second.size(), m_state->m_repetition.m_bytes));
    }
    auto timer =
        std::make_shared<asio::steady_timer>(m_state->m_context, *delay);
    timer->async_wait([self = this->shared_from_this(), timer,
                       second = std::move(second)](auto aError) {
      if (!aError) self->Send(second);
    });
  }

  void Send(std::string aBytes) {
    m_queue.push_back(std::move(aBytes));
    if (m_queue.size() == 1) SendFirst();
  }

  void SendFirst() {
    asio::async_write(m_client, asio::buffer(m_queue.front()),
                      [self = this->shared_from_this()](auto aError, size_t) {
                        if (aError) {
                          self->Close();
                          return;
                        }
                        self->m_queue.pop_front();
                        if (!self->m_queue.empty()) self->SendFirst();
                      });
  }

  void Close() {
    boost::system::error_code ignored;
    m_client.close(ignored);
    m_server.close(ignored);
  }

  std::shared_ptr<ProxyState> m_state;
  tcp::socket m_client;
  tcp::socket m_server;
  std::array<char, 65536> m_calls{};
  std::array<char, 65536> m_answers{};
  std::deque<std::string> m_queue;  ///< To the client; the first is under way.
};

template <class ProxyState>
void Accept(const std::shared_ptr<ProxyState>& aState) {
  aState->m_acceptor.async_accept([aState](auto aError, tcp::socket aClient) {
    if (aError) return;
    std::make_shared<Relay<ProxyState>>(aState, std::move(aClient))->Start();
    Accept(aState);
  });
}

}  // namespace

RepeatingProxy::RepeatingProxy(asio::io_context& aContext,
                               const tcp::endpoint& aServer, uint64_t aSeed)
    : m_state(std::make_shared<State>(aContext, aServer, aSeed)) {
  Accept(m_state);
}

RepeatingProxy::~RepeatingProxy() {
  asio::post(m_state->m_context, [state = m_state] {
    boost::system::error_code ignored;
    state->m_acceptor.close(ignored);
  });
}

tcp::endpoint RepeatingProxy::Address() const {
  return m_state->m_acceptor.local_endpoint();
}

void RepeatingProxy::SetRepetition(Repetition aRepetition) {
  const std::lock_guard<std::mutex> lock(m_state->m_mutex);
  m_state->m_repetition = std::move(aRepetition);
}

size_t RepeatingProxy::Repeated() const { return m_state->m_repeated; }

}  // namespace bronze
