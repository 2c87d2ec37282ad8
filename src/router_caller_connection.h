#ifndef SHALLOTFORD_SRC_ROUTER_CALLER_CONNECTION_H
#define SHALLOTFORD_SRC_ROUTER_CALLER_CONNECTION_H

/// One connection of a caller, and the answer that it sends.

#include "router_caller.h"

namespace shallotford {

class CallerConnection;

/// The answer that one connection is sending.
class CallerExchange : public CallerExchangeI
{
public:
  explicit CallerExchange(CallerConnection* aConnection)
    : m_connection(aConnection)
  {
  }
  void Respond(int aStatus,
               const std::string& aReason,
               HttpHeaders aFields,
               std::string_view aBody) override;
  void Begin(int aStatus,
             const std::string& aReason,
             HttpHeaders aFields) override;
  void Write(std::string_view aBytes) override;
  void End() override;
  void Abort() override;
  bool HasCallerLeft() const override;
  bool ClaimRoom() override;
  void SetHeld(std::size_t aBytes) override;
  bool MayHold(std::size_t aBytes) const override;
  std::size_t MaxBuffered() const override;
  std::size_t Buffered() const override;
  void OnDrained(std::function<void()> aCallback) override
  {
    m_onDrained = std::move(aCallback);
  }
  void OnClosed(std::function<void()> aCallback) override
  {
    m_onClosed = std::move(aCallback);
  }

  /// Separates the exchange from its connection once the answer has ended or
  /// the caller has disconnected.
  void Detach(bool aCallerLeft)
  {
    m_connection = nullptr;
    m_onDrained = nullptr;
    auto onClosed = std::exchange(m_onClosed, nullptr);
    if (aCallerLeft && onClosed) {
      onClosed();
    }
  }
  void NotifyDrained()
  {
    if (m_onDrained) {
      m_onDrained();
    }
  }

private:
  CallerConnection* m_connection;
  std::function<void()> m_onDrained;
  std::function<void()> m_onClosed;
};

/// One connection of a caller.
class CallerConnection
  : public StreamHandlerI
  , private MessageSinkI
{
public:
  /// @param aIsBrief  it is closed after one request, or after
  ///                  kBriefConnectionTime without one
  CallerConnection(CallerListener& aListener,
                   std::unique_ptr<StreamI> aStream,
                   bool aIsBrief);

  ~CallerConnection() override;

  /// Leaves the listener and its account, which may be gone afterwards.
  void Leave();

  /// Notes progress since the last call.
  void Sweep();
  IntakeHolder Holder() const
  {
    return { .m_bytes = m_held, .m_stalled = m_loop.Now() - m_progressAt };
  }
  /// Returns whether the caller has left while its request runs, which no event
  /// tells as nothing is read.
  bool HasLeftUnseen() const
  {
    return m_exchange != nullptr && m_isPaused && !m_closing && HasCallerLeft();
  }
  /// Handles the end of the connection; destroys this object after the current
  /// event.
  void OnCallerLeft();
  /// Updates the account of memory. Reads on only while there is room there and
  /// for what arrives ahead.
  void Account();

  bool IsHeldBack() const { return m_isHeldBack; }
  /// Reads on if there is room again.
  /// @param aHasRoom  there is for anyone, not only within a share or grant
  void ReadOn(bool aHasRoom);
  /// Returns whether a request is being received, which can still be refused.
  bool IsInsideRequest() const
  {
    return WaitsForRequest() && m_reader->IsInside();
  }
  /// Returns whether no complete request has come since the last answer.
  bool WaitsForRequest() const { return m_exchange == nullptr && !m_closing; }
  /// Returns whether the last answer is in the socket, and only its receipt is
  /// waited for.
  bool IsLingering() const { return m_closing && m_stream->Buffered() == 0; }
  /// Refuses the request that is being received, which has not run.
  void RefuseForRoom();
  /// Closes the connection at once, as there is no room for what it holds.
  void CloseForRoom()
  {
    m_stream->ResetOnDestroy();
    OnCallerLeft();
  }
  /// Closes the connection at once for another one.
  void GiveWay()
  {
    if (m_closing) {
      OnCallerLeft();
    } else {
      CloseForRoom();
    }
  }

  /// Gives up the part of a request that was received. The listener may be gone
  /// once there is none.
  void ReleaseBody();

  bool IsIdle() const
  {
    return m_exchange == nullptr && !m_reader->IsInside() && !m_closing &&
           m_stream->Buffered() == 0 && !HasUnread();
  }

  /// Closes an idle connection without reading any more. A request that crosses
  /// the close stays unread, which its sender sees by a reset: it has not run.
  void CloseUnread(CloseCause aCause);

  /// Closes the sending side and drops received bytes until the caller closes
  /// the connection too, until kLingerTime after the last byte was sent. The
  /// caller thus gets the whole answer before the connection is closed.
  void LingeringClose(CloseCause aCause);

  void OnBytes(std::string_view aBytes) override;

  void OnPeerFinished() override { OnCallerLeft(); }
  void OnBroken(const std::string& /*aReason*/) override { OnCallerLeft(); }
  void OnDrained() override;

  // Calls of the exchange.

  void Respond(int aStatus,
               const std::string& aReason,
               HttpHeaders aFields,
               std::string_view aBody);

  void Begin(int aStatus, const std::string& aReason, HttpHeaders aFields);

  void Write(std::string_view aBytes);

  void End();

  void Abort();

  bool HasCallerLeft() const { return m_stream->HasPeerLeft(); }

  bool ClaimRoom();

  void SetHeld(std::size_t aBytes)
  {
    m_heldAnswer = aBytes;
    Account();
  }

  bool MayHold(std::size_t aBytes) const;

  std::size_t MaxBuffered() const;

  std::size_t Buffered() const { return m_stream->Buffered(); }

private:
  void OnRequestHead(const RequestHead& aHead) override;

  void OnBody(std::string_view aBytes) override;

  void OnEnd() override { m_complete = true; }

  /// Returns whether bytes that may be a request wait here or in the socket.
  bool HasUnread() const
  {
    return !m_pipelined.empty() || m_stream->HasUnread();
  }

  /// Reports the first bytes that this connection drops.
  void Drop(std::string_view aBytes)
  {
    if (!aBytes.empty() && !std::exchange(m_hasDropped, true)) {
      m_handler.OnDropped(m_closeCause, aBytes.size());
    }
  }

  TimePoint ArrivalTime() const
  {
    return m_loop.Now() - m_stream->SinceArrival();
  }

  /// Reads bytes until one request is complete.
  /// @param aArrivedAt  time at which the request's first bytes arrived
  void ReadRequests(std::string_view aBytes, TimePoint aArrivedAt);

  /// Gives bytes to the reader, up to the end of one request at most. Returns
  /// how many it took, or nothing if the request was refused.
  std::optional<std::size_t> Feed(std::string_view aBytes,
                                  TimePoint aArrivedAt);

  /// Must not be called inside a request.
  void UseNewestMaxHead();

  void Deliver();

  void RefuseRequest(const Error& aError);

  /// Gives up the head of a request that was refused. Nothing is read after it.
  void ReleaseHead();

  void AddConnectionField(HttpHeaders& aFields);

  /// @param aCallerLeft  the caller disconnected before the answer's end
  void DetachExchange(bool aCallerLeft);

  void EndAnswer();

  /// Reads the next request once the answers before it are mostly sent.
  void GoOn();

  void ReadPipelined();

  /// Returns whether too much of the earlier answers is unread for another one.
  bool WaitsForDrain() const;

  /// Returns what the connection holds of a request beyond kConnectionBytes. A
  /// body is held twice, as it is copied for the upstream. While a request is
  /// received the reader holds its head too.
  std::size_t HeldOfRequests() const;

  /// Returns what the connection holds beyond kConnectionBytes.
  std::size_t Held() const
  {
    return HeldOfRequests() +
           std::max(m_heldAnswer + m_stream->Buffered(), m_claim);
  }

  /// Takes room for the whole body that is being received, which may then be
  /// read on: large bodies that all had their equal share would never end.
  /// @return whether it has the room
  bool TakeGrant();

  void DropGrant();

  bool MayReadOn();

  void SetHeldBack(bool aIsHeldBack);

  std::string_view Pipelined() const
  {
    return std::string_view(m_pipelined).substr(m_pipelinedTaken);
  }

  /// Gives up the first bytes, and memory as soon as half of it is unused.
  void TakePipelined(std::size_t aCount);

  [[noreturn]] static void ThrowBodyTooLarge(std::size_t aLimit);

  void Arm(std::chrono::milliseconds aDelay)
  {
    m_waitsSince = m_loop.Now();
    ArmAt(m_waitsSince + aDelay);
  }

  void ArmAt(TimePoint aDue)
  {
    m_loop.CancelTimer(m_timer);
    m_timer = m_loop.RunAfter(aDue - m_loop.Now(), [this] { OnTimer(); });
  }

  /// Returns the longest time without a request, and for a whole request.
  std::chrono::milliseconds IdleTimeout() const;
  std::chrono::milliseconds HeadTimeout() const;

  void OnTimer();

  /// The time for a request is over whose rest isn't read for lack of room.
  void OnHeldBackTimer(bool aIsIdle);

  CallerListener& m_listener;
  LoopI& m_loop;
  CallerHandlerI& m_handler;
  std::unique_ptr<StreamI> m_stream;
  std::size_t m_maxHead; ///< that m_reader enforces
  std::unique_ptr<MessageReaderI> m_reader;
  CallerRequest m_request; ///< being received
  std::string m_body;      ///< being received
  std::size_t m_maxBody{ 0 };
  std::size_t m_granted{ 0 }; ///< bytes of the whole body that have room
  bool m_isBrief;
  bool m_hasHead{ false }; ///< of the request that is being received
  bool m_complete{ false };
  bool m_keepAlive{ true };
  bool m_toHead{ false };
  bool m_oldVersion{ false }; ///< the request came by HTTP/1.0
  /// The answer being sent ends with the connection.
  bool m_untilClose{ false };
  bool m_closing{ false };
  CloseCause m_closeCause{}; ///< once m_closing is set
  bool m_hasDropped{ false };
  bool m_hasLeft{ false };       ///< the listener and its account
  bool m_isHeldBack{ false };    ///< not read, as the account is near its bound
  bool m_isPaused{ false };      ///< not read, for this or what it sent ahead
  std::size_t m_held{ 0 };       ///< in the account
  std::size_t m_headBytes{ 0 };  ///< of a head that isn't complete
  std::size_t m_fieldBytes{ 0 }; ///< of the parsed head
  std::size_t m_runBytes{ 0 };   ///< of the body of the request that runs
  std::size_t m_heldAnswer{ 0 }; ///< bytes held until the answer is complete
  std::size_t m_claim{ 0 };      ///< room for the answer's first bytes
  std::uint64_t m_received{ 0 }; ///< bytes
  std::uint64_t m_moved{ 0 };    ///< bytes in both directions by last Sweep()
  TimePoint m_progressAt{};
  bool m_goesOn{ false };   ///< the next request is about to be read
  TimePoint m_waitsSince{}; ///< for a request or its rest
  TimePoint m_arrivedAt{};  ///< of the request that is being received
  std::string m_pipelined;  ///< bytes after the request that is being answered
  std::size_t m_pipelinedTaken{ 0 }; ///< bytes of m_pipelined that were read
  TimePoint m_pipelinedAt{}; ///< time at which the first of them arrived
  std::shared_ptr<CallerExchange> m_exchange;
  TimersI::TimerId m_timer{ 0 };
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_ROUTER_CALLER_CONNECTION_H
