/**
 * @file strong_type.h Distinct types for ids, counts and units.
 *
 * Each alias has its own tag type, so code that mixes two kinds of id or two
 * units does not compile. The wrappers add no cost at run time.
 */

#ifndef BRONZE_CORE_BASE_STRONG_TYPE_H_
#define BRONZE_CORE_BASE_STRONG_TYPE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <utility>

namespace bronze {

/** An opaque number that identifies something. The largest value is invalid. */
template <class Tag, class Rep = uint64_t>
class NumberId {
 public:
  constexpr NumberId() = default;
  constexpr explicit NumberId(Rep aValue) : m_value(aValue) {}

  [[nodiscard]] constexpr Rep Value() const { return m_value; }
  [[nodiscard]] constexpr bool IsValid() const { return m_value != kInvalid; }

  friend constexpr auto operator<=>(const NumberId&, const NumberId&) = default;

 private:
  static constexpr Rep kInvalid = std::numeric_limits<Rep>::max();
  Rep m_value = kInvalid;  ///< kInvalid: identifies nothing.
};

/** A name that identifies something. The empty name is invalid. */
template <class Tag>
class NameId {
 public:
  NameId() = default;
  explicit NameId(std::string aName) : m_name(std::move(aName)) {}

  [[nodiscard]] const std::string& Value() const { return m_name; }
  [[nodiscard]] bool IsValid() const { return !m_name.empty(); }

  friend auto operator<=>(const NameId&, const NameId&) = default;

 private:
  std::string m_name;  ///< Empty: identifies nothing.
};

/** An amount in one unit. Only amounts in the same unit can be added,
 * subtracted and compared. */
template <class Tag, class Rep = int64_t>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(Rep aValue) : m_value(aValue) {}

  [[nodiscard]] constexpr Rep Value() const { return m_value; }

  constexpr Quantity& operator+=(Quantity aOther) {
    m_value += aOther.m_value;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity aOther) {
    m_value -= aOther.m_value;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity aLeft, Quantity aRight) {
    return aLeft += aRight;
  }
  friend constexpr Quantity operator-(Quantity aLeft, Quantity aRight) {
    return aLeft -= aRight;
  }
  friend constexpr auto operator<=>(const Quantity&, const Quantity&) = default;

 private:
  Rep m_value = 0;
};

/** A number that only increases: an epoch, a version, a fencing token. */
template <class Tag>
class Sequence {
 public:
  constexpr Sequence() = default;
  constexpr explicit Sequence(uint64_t aValue) : m_value(aValue) {}

  [[nodiscard]] constexpr uint64_t Value() const { return m_value; }
  [[nodiscard]] constexpr Sequence Next() const {
    return Sequence(m_value + 1);
  }

  friend constexpr auto operator<=>(const Sequence&, const Sequence&) = default;

 private:
  uint64_t m_value = 0;  ///< 0: none has been assigned yet.
};

}  // namespace bronze

template <class Tag, class Rep>
struct std::hash<bronze::NumberId<Tag, Rep>> {
  size_t operator()(const bronze::NumberId<Tag, Rep>& aId) const noexcept {
    return std::hash<Rep>()(aId.Value());
  }
};

template <class Tag>
struct std::hash<bronze::NameId<Tag>> {
  size_t operator()(const bronze::NameId<Tag>& aId) const noexcept {
    return std::hash<std::string>()(aId.Value());
  }
};

#endif  // BRONZE_CORE_BASE_STRONG_TYPE_H_
