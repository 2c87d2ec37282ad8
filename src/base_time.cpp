/// The system's and the tests' clocks and random number generators.

#include "shallotford/base.h"

#include <random>

namespace shallotford {

namespace {

class SystemClock : public ClockI
{
public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

class MersenneRandom : public RandomI
{
public:
  explicit MersenneRandom(std::uint64_t aSeed)
    : m_engine(aSeed)
  {
  }
  std::uint64_t Next() override { return m_engine(); }

private:
  std::mt19937_64 m_engine;
};

std::uint64_t
SystemSeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace

WallTime
FakeClock::WallNow() const
{
  return WallTime{ std::chrono::duration_cast<WallTime::duration>(
    m_now.time_since_epoch()) };
}

std::unique_ptr<ClockI>
MakeSystemClock()
{
  return std::make_unique<SystemClock>();
}

std::unique_ptr<RandomI>
MakeSystemRandom()
{
  return std::make_unique<MersenneRandom>(SystemSeed());
}

std::unique_ptr<RandomI>
MakeSeededRandom(std::uint64_t aSeed)
{
  return std::make_unique<MersenneRandom>(aSeed);
}

} // namespace shallotford
