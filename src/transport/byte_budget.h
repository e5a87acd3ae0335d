#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace greengage::transport {

/**
 * Bytes that the connections of a process keep in buffers. If they exceed the
 * limit, the connections that hold the most are told to release theirs, so that
 * the others can go on. May be used from any thread.
 */
class ByteBudget
{
public:
  /** Called with the bytes held; must only post and not use the budget. */
  using EvictHook = std::function<void(std::size_t aBytes)>;

  /** The bytes of one connection; they are released with it. */
  class Account
  {
  public:
    ~Account();

    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /**
     * Sets the number of bytes that the connection holds. Returns false if it
     * was told to release them, by this call or an earlier one.
     */
    bool Set(std::size_t aBytes);

  private:
    friend class ByteBudget;

    Account(ByteBudget& aBudget, EvictHook aEvict);

    ByteBudget& budget_;
    EvictHook evict_;
    std::size_t bytes_ = 0;
    bool isEvicted_ = false;
  };

  explicit ByteBudget(std::size_t aMaxBytes);

  /** The budget must outlive the account. */
  std::unique_ptr<Account> Open(EvictHook aEvict);

  /** Bytes of all accounts. */
  std::size_t HeldBytes() const;

private:
  struct Eviction
  {
    EvictHook evict;
    std::size_t bytes = 0;
  };

  bool Set(Account& aAccount, std::size_t aBytes);
  /** Selects the accounts to evict; the mutex is locked. */
  std::vector<Eviction> SelectEvictions();

  const std::size_t maxBytes_;
  mutable std::mutex mutex_;
  std::set<Account*> accounts_;
  std::size_t heldBytes_ = 0;
  /** Part of heldBytes_ that evicted accounts have yet to release. */
  std::size_t evictedBytes_ = 0;
};

}
