/**
 * @file overloaded.h Combines several lambdas into one visitor for std::visit.
 */

#ifndef BRONZE_DAEMON_OVERLOADED_H_
#define BRONZE_DAEMON_OVERLOADED_H_

namespace bronze {

template <class... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};

template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}  // namespace bronze

#endif  // BRONZE_DAEMON_OVERLOADED_H_
