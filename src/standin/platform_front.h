/**
 * @file platform_front.h HTTP front end of table, object store and VM list.
 */

#ifndef BRONZE_STANDIN_PLATFORM_FRONT_H_
#define BRONZE_STANDIN_PLATFORM_FRONT_H_

#include "standin/front_func.h"
#include "standin/target_func.h"

namespace bronze {

class PlatformFront {
 public:
  explicit PlatformFront(FrontContext aContext) : m_context(aContext) {}

  void Handle(HttpCall aCall, ResponderPtr aResponder);

 private:
  void OnTable(const CallTarget& aTarget, const HttpCall& aCall,
               const ResponderPtr& aResponder);
  void OnCommit(const HttpCall& aCall, const ResponderPtr& aResponder);
  void OnObject(const std::string& aName, const HttpCall& aCall,
                const ResponderPtr& aResponder);
  void OnVmList(const ResponderPtr& aResponder);

  FrontContext m_context;
};

}  // namespace bronze

#endif  // BRONZE_STANDIN_PLATFORM_FRONT_H_
