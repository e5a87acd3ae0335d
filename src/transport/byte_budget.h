#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace greengage::transport {

/**
 * Bytes that a process keeps for its clients: buffers of connections, requests
 * that wait for the control thread, and jobs. If they exceed the limit, some
 * connections are told to release theirs, so that the others can go on. First
 * come those that hold more than an ordinary share, and among them those whose
 * request began first: an ordinary request is complete within a few round
 * trips, whatever its size, and one that is withheld grows old. May be used
 * from any thread.
 */
class ByteBudget
{
public:
  /** Called with the bytes held; must only post and not use the budget. */
  using EvictHook = std::function<void(std::size_t aBytes)>;

  /** Whether an account may be told to release its bytes. */
  enum class Eviction
  {
    eAllowed,
    eNever,
  };

  /** The bytes of one holder; they are released with it. */
  class Account
  {
  public:
    ~Account();

    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /**
     * Sets the number of bytes that the holder keeps. Returns false if it was
     * told to release them, by this call or an earlier one.
     */
    bool Set(std::size_t aBytes, Eviction aEviction = Eviction::eAllowed);

    /** Begins a request: accounts are compared by the age of their request. */
    void BeginRequest();

  private:
    friend class ByteBudget;

    Account(ByteBudget& aBudget, EvictHook aEvict);

    ByteBudget& budget_;
    EvictHook evict_;
    std::size_t bytes_ = 0;
    /** Rises with the time at which the request began. */
    std::uint64_t request_ = 0;
    bool isEvictable_ = true;
    bool isEvicted_ = false;
  };

  /**
   * @param aOrdinaryBytes accounts that hold at most this are evicted last
   */
  ByteBudget(std::size_t aMaxBytes, std::size_t aOrdinaryBytes);

  /**
   * The budget must outlive the account.
   * @param aEvict may be empty if eviction is never allowed
   */
  std::unique_ptr<Account> Open(EvictHook aEvict);

  /** Bytes of all accounts. */
  std::size_t HeldBytes() const;
  /** Returns the most bytes that were held since the last call. */
  std::size_t TakePeak();
  /** True if so much is held that connections should read little at once. */
  bool IsNearlyFull() const;

private:
  struct EvictedAccount
  {
    EvictHook evict;
    std::size_t bytes = 0;
  };

  bool Set(Account& aAccount, std::size_t aBytes, Eviction aEviction);
  /** Selects the accounts to evict; the mutex is locked. */
  std::vector<EvictedAccount> SelectEvictions();

  const std::size_t maxBytes_;
  const std::size_t ordinaryBytes_;
  mutable std::mutex mutex_;
  std::set<Account*> accounts_;
  std::size_t heldBytes_ = 0;
  std::size_t peakBytes_ = 0;
  /** Part of heldBytes_ that evicted accounts have yet to release. */
  std::size_t evictedBytes_ = 0;
  std::uint64_t lastRequest_ = 0;
};

}
