#include "transport/byte_budget.h"

#include <algorithm>

namespace greengage::transport {

namespace {

// Evicting somewhat more than necessary keeps a client that goes on sending
// from causing a search for the largest account with every read.
constexpr std::size_t kKeptEighths = 7;

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
ByteBudget::Account::Set(std::size_t aBytes)
{
  return budget_.Set(*this, aBytes);
}

ByteBudget::ByteBudget(std::size_t aMaxBytes)
  : maxBytes_(aMaxBytes)
{
}

std::unique_ptr<ByteBudget::Account>
ByteBudget::Open(EvictHook aEvict)
{
  std::unique_ptr<Account> account(new Account(*this, std::move(aEvict)));
  std::lock_guard lock(mutex_);
  accounts_.insert(account.get());
  return account;
}

std::size_t
ByteBudget::HeldBytes() const
{
  std::lock_guard lock(mutex_);
  return heldBytes_;
}

bool
ByteBudget::Set(Account& aAccount, std::size_t aBytes)
{
  std::vector<Eviction> evictions;
  bool isEvicted = false;
  {
    std::lock_guard lock(mutex_);
    heldBytes_ = heldBytes_ - aAccount.bytes_ + aBytes;
    if (aAccount.isEvicted_) {
      evictedBytes_ = evictedBytes_ - aAccount.bytes_ + aBytes;
    }
    aAccount.bytes_ = aBytes;
    if (heldBytes_ - evictedBytes_ > maxBytes_) {
      evictions = SelectEvictions();
    }
    isEvicted = aAccount.isEvicted_;
  }
  for (const Eviction& eviction : evictions) {
    eviction.evict(eviction.bytes);
  }
  return !isEvicted;
}

std::vector<ByteBudget::Eviction>
ByteBudget::SelectEvictions()
{
  std::vector<Account*> byBytes;
  for (Account* account : accounts_) {
    if (!account->isEvicted_ && account->bytes_ > 0) {
      byBytes.push_back(account);
    }
  }
  std::sort(
    byBytes.begin(), byBytes.end(), [](Account* aLeft, Account* aRight) {
      return aLeft->bytes_ > aRight->bytes_;
    });
  std::vector<Eviction> evictions;
  const std::size_t kept = maxBytes_ / 8 * kKeptEighths;
  for (Account* account : byBytes) {
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
