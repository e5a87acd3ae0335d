#include "transport/byte_budget.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace greengage::transport {

namespace {

// Evicting somewhat more than necessary keeps a client that goes on sending
// from causing a search with every read.
constexpr std::size_t kKeptEighths = 7;

// Evicted connections release their bytes only when their handlers run, after
// those of all connections that became readable at the same time.
constexpr std::size_t kNearlyFullEighths = 6;

}

ByteBudget::Account::Account(ByteBudget& aBudget, EvictHook aEvict)
  : budget_(aBudget)
  , evict_(std::move(aEvict))
{
}

ByteBudget::Account::~Account()
{
  Set(0);
  std::lock_guard lock(budget_.mutex_);
  budget_.accounts_.erase(this);
}

bool
ByteBudget::Account::Set(std::size_t aBytes, Eviction aEviction)
{
  return budget_.Set(*this, aBytes, aEviction);
}

void
ByteBudget::Account::BeginRequest()
{
  std::lock_guard lock(budget_.mutex_);
  request_ = ++budget_.lastRequest_;
}

ByteBudget::ByteBudget(std::size_t aMaxBytes, std::size_t aOrdinaryBytes)
  : maxBytes_(aMaxBytes)
  , ordinaryBytes_(aOrdinaryBytes)
{
}

std::unique_ptr<ByteBudget::Account>
ByteBudget::Open(EvictHook aEvict)
{
  std::unique_ptr<Account> account(new Account(*this, std::move(aEvict)));
  std::lock_guard lock(mutex_);
  account->request_ = ++lastRequest_;
  accounts_.insert(account.get());
  return account;
}

std::size_t
ByteBudget::HeldBytes() const
{
  std::lock_guard lock(mutex_);
  return heldBytes_;
}

std::size_t
ByteBudget::TakePeak()
{
  std::lock_guard lock(mutex_);
  return std::exchange(peakBytes_, heldBytes_);
}

bool
ByteBudget::IsNearlyFull() const
{
  std::lock_guard lock(mutex_);
  return heldBytes_ > maxBytes_ / 8 * kNearlyFullEighths;
}

bool
ByteBudget::Set(Account& aAccount, std::size_t aBytes, Eviction aEviction)
{
  std::vector<EvictedAccount> evictions;
  bool isEvicted = false;
  {
    std::lock_guard lock(mutex_);
    heldBytes_ = heldBytes_ - aAccount.bytes_ + aBytes;
    peakBytes_ = std::max(peakBytes_, heldBytes_);
    if (aAccount.isEvicted_) {
      evictedBytes_ = evictedBytes_ - aAccount.bytes_ + aBytes;
    }
    aAccount.bytes_ = aBytes;
    aAccount.isEvictable_ = aEviction == Eviction::eAllowed;
    if (heldBytes_ - evictedBytes_ > maxBytes_) {
      evictions = SelectEvictions();
    }
    isEvicted = aAccount.isEvicted_;
  }
  for (const EvictedAccount& eviction : evictions) {
    eviction.evict(eviction.bytes);
  }
  return !isEvicted;
}

std::vector<ByteBudget::EvictedAccount>
ByteBudget::SelectEvictions()
{
  std::vector<Account*> candidates;
  for (Account* account : accounts_) {
    if (account->isEvictable_ && !account->isEvicted_ && account->bytes_ > 0) {
      candidates.push_back(account);
    }
  }
  auto order = [this](const Account* aAccount) {
    return std::tuple(aAccount->bytes_ <= ordinaryBytes_, aAccount->request_);
  };
  std::sort(candidates.begin(),
            candidates.end(),
            [&](const Account* aLeft, const Account* aRight) {
              return order(aLeft) < order(aRight);
            });
  std::vector<EvictedAccount> evictions;
  const std::size_t kept = maxBytes_ / 8 * kKeptEighths;
  for (Account* account : candidates) {
    if (heldBytes_ - evictedBytes_ <= kept) {
      break;
    }
    account->isEvicted_ = true;
    evictedBytes_ += account->bytes_;
    evictions.push_back({ account->evict_, account->bytes_ });
  }
  return evictions;
}

}
