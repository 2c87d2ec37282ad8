#ifndef SHALLOTFORD_ADMISSION_H
#define SHALLOTFORD_ADMISSION_H

/// Decisions about the memory of decode engines when it is scarce: how much of
/// it a request needs, who gets it first, and who
/// is refused at once. Pure: time is passed in.

#include "shallotford/base.h"

#include <deque>
#include <optional>
#include <vector>

namespace shallotford {

/// A request that is about to reserve memory of an engine.
struct MemoryNeed
{
  std::uint32_t m_promptTokens{ 0 };
  std::uint32_t m_outputTokens{ 0 }; ///< upper bound
  double m_engineRequests{ 1 };      ///< of the engine, with this one
  std::uint32_t m_engineTokens{ 0 }; ///< that its memory holds; 0: not known
  bool m_isLate{ false };            ///< it can't be on time any more
};

/// How much memory an engine needs free beside a request's prompt: what its
/// requests generate until one of them ends and frees its own. That is about
/// the mean output of one request, however many run: of n requests one ends
/// after a n-th of a mean output, and each of the n generates that much. The
/// mean is learnt from what callers say of their requests.
class GrowthEstimate
{
public:
  /// @param aTypicalOutput  mean output in tokens to begin with; 0: not known
  explicit GrowthEstimate(double aTypicalOutput = 0);
  /// @param aHint   the caller's estimate of the output, if it gives one
  /// @param aBound  the most output; 0 if it isn't known
  void OnRequest(std::optional<std::uint32_t> aHint,
                 std::uint32_t aBound,
                 TimePoint aNow);
  /// Returns the mean output of a request in tokens, or nothing if too little
  /// is known.
  std::optional<double> MeanOutput() const;
  /// Returns the tokens to reserve. An engine that grants them has room for the
  /// request until another one ends.
  std::uint32_t TokensToReserve(const MemoryNeed& aNeed) const;

private:
  /// Sums over requests that lose weight with time.
  double m_tokens;
  double m_weight;
  TimePoint m_addedAt{};
};

/// A request that waits for memory of an engine.
struct WaitingRequest
{
  std::uint64_t m_id{ 0 };
  TimePoint m_onTimeUntil;     ///< latest time to serve it on time
  TimePoint m_giveUpAt;        ///< time at which its caller will have left
  std::int32_t m_urgency{ 0 }; ///< 0 is the most urgent
  TimePoint m_since{};         ///< time of its receipt
};

/// A waiting request whose turn it is to try.
struct MemoryTurn
{
  std::uint64_t m_id{ 0 };
  bool m_isOwed{ false }; ///< more urgent ones wait on
};

/// The order in which requests of one service get engine memory: the most
/// urgent first, and of these the ones that can still be on time, oldest first;
/// late ones get the memory that is left. When the load exceeds the engine
/// memory for some seconds, serving strictly in order of arrival would make all
/// requests late. While less urgent requests wait, one grant in five is owed to
/// the one of them that has waited longest and can still be on time, or else
/// that has waited longest.
class MemoryQueue
{
public:
  void Add(const WaitingRequest& aRequest);
  void Remove(std::uint64_t aId);
  /// Returns the id of the next request to serve, if any waits.
  std::optional<std::uint64_t> Next(TimePoint aNow) const;
  /// Removes the next request, which tries to get memory. If it finds none it
  /// is added again.
  std::optional<MemoryTurn> Take(TimePoint aNow);
  /// A request that isn't in the queue, or not any more, got memory.
  void OnGrant(std::int32_t aUrgency);
  /// Removes the requests that have reached m_giveUpAt and returns their ids.
  std::vector<std::uint64_t> TakeExpired(TimePoint aNow);
  /// Returns whether a request waits that can still be on time and goes before
  /// a new one of aUrgency, which then has to wait behind it.
  bool HasTimely(TimePoint aNow, std::int32_t aUrgency) const;
  /// Returns how many requests of its urgency go before a new one, while it is
  /// on time or once it is late.
  std::size_t Ahead(const WaitingRequest& aRequest,
                    bool aIsLate,
                    TimePoint aNow) const;
  bool IsEmpty() const { return m_waiting.empty(); }
  std::size_t Size() const { return m_waiting.size(); }

private:
  bool IsOwed() const;
  /// Returns the less urgent request that is owed the next grant, if any.
  const WaitingRequest* Longest(TimePoint aNow) const;

  std::vector<WaitingRequest> m_waiting; ///< by m_urgency, then m_onTimeUntil
  std::uint32_t m_urgentGrants{ 0 };     ///< since one that was owed
  bool m_owedTried{ false }; ///< and found no memory, since the last grant
};

/// A request got memory.
struct MemoryGrant
{
  TimePoint m_at;
  std::int32_t m_urgency{ 0 };
  bool m_isLate{ false };
  bool m_waited{ false }; ///< it has been in the queue
};

/// Forecasts when a queue's requests get memory, by what requests of their
/// urgency and less urgent ones got in the last seconds: what more urgent ones
/// took is not in it. Under a load that
/// stays above the engines' limits most late requests would wait in vain, which
/// their callers learn only when they have left.
class MemoryForecast
{
public:
  /// A request is about to enter the queue.
  void OnWait(const MemoryQueue& aQueue, TimePoint aNow);
  void OnGrant(const MemoryGrant& aGrant);
  /// Returns by how much a new request would come to its turn after its
  /// m_giveUpAt; nothing if it may get memory before, or too little is known.
  std::optional<Duration> Excess(const MemoryQueue& aQueue,
                                 const WaitingRequest& aRequest,
                                 TimePoint aNow) const;

private:
  /// Returns whether a request of aUrgency would just now have had no wait.
  bool HadRoom(std::int32_t aUrgency, TimePoint aNow) const;
  /// Returns the wait behind aAhead others.
  Duration TurnOf(std::size_t aAhead,
                  std::int32_t aUrgency,
                  bool aIsLate,
                  TimePoint aNow) const;

  std::deque<MemoryGrant> m_grants;
  std::optional<TimePoint> m_busySince; ///< since then requests wait
  TimePoint m_waitedAt{};               ///< when the last one began to
};

} // namespace shallotford

#endif // SHALLOTFORD_ADMISSION_H
