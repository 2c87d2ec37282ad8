#ifndef SHALLOTFORD_SRC_NET_STREAM_H
#define SHALLOTFORD_SRC_NET_STREAM_H

/// Raw TCP connections on a libwebsockets loop. libwebsockets waits for the
/// descriptors; reading and writing are done here.

#include "config.h"
#include "net_loop.h"

#include <poll.h>

#include <algorithm>
#include <array>

namespace shallotford {

inline constexpr const char* kStreamProtocol = "stream";
inline constexpr const char* kListenerProtocol = "stream-listener";

/// A descriptor that libwebsockets polls. Closes it when it is destroyed.
class PolledDescriptor
{
public:
  /// Takes over aDescriptor.
  /// @param aOwner  handed to the protocol's callback
  /// @throws Error (Internal) if the loop has no room for it
  PolledDescriptor(Loop& aLoop,
                   int aDescriptor,
                   const char* aProtocol,
                   void* aOwner);
  ~PolledDescriptor();
  PolledDescriptor(const PolledDescriptor&) = delete;
  PolledDescriptor& operator=(const PolledDescriptor&) = delete;

  /// Returns the owner of aWsi, or nullptr if it is gone.
  static void* OwnerOf(lws* aWsi);
  /// To be called when libwebsockets closes aWsi, after OwnerOf().
  static void OnClosed(lws* aWsi);

  /// Returns nullptr once libwebsockets has closed the descriptor.
  lws* Wsi() const { return m_slot->m_wsi; }
  int Descriptor() const { return m_descriptor; }
  void WantWritable();
  void AllowReading(bool aAllowed);
  void ResetOnDestroy() { m_slot->m_end = SocketEnd::Reset; }

private:
  /// Shared with libwebsockets, which may close the descriptor by itself.
  struct Slot
  {
    lws* m_wsi{ nullptr };
    void* m_owner{ nullptr };
    SocketEnd m_end{ SocketEnd::Finish };
  };

  Loop& m_loop;
  int m_descriptor;
  std::shared_ptr<Slot> m_slot;
};

class Stream : public StreamI
{
public:
  /// @param aDescriptor  a connected or connecting non-blocking socket
  Stream(Loop& aLoop,
         int aDescriptor,
         bool aConnecting,
         StreamHandlerI* aHandler);
  ~Stream() override;
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  static int OnEvent(lws* aWsi,
                     lws_callback_reasons aReason,
                     void* aUser,
                     void* aIn,
                     std::size_t aLength);

  void SetHandler(StreamHandlerI* aHandler) override { m_handler = aHandler; }
  void Write(std::string_view aBytes) override;
  std::size_t Buffered() const override { return m_queued.size() - m_offset; }
  std::uint64_t BytesSent() const override { return m_sent; }
  Duration SinceArrival() const override;
  bool HasPeerLeft() const override;
  bool HasUnread() const override { return !m_broken && Polls(POLLIN); }
  void FinishWriting() override;
  void ResetOnDestroy() override { m_descriptor->ResetOnDestroy(); }
  /// Reads what a newly accepted connection brought with it.
  /// @param aArrivedAfter  it opened after this time
  void ReadFirst(TimePoint aArrivedAfter);
  std::weak_ptr<bool> Alive() const { return m_alive; }
  /// Reports a connection that failed at once, in a later turn of the loop.
  void BreakLater(int aError);
  void PauseReading() override;
  void ResumeReading() override;
  void LimitReads(std::size_t aBytes) override
  {
    m_maxRead = std::min(aBytes, kStreamReadBytes);
  }

private:
  void OnReadable();
  void OnWritable();
  void FinishConnecting();
  /// Gives bytes to the socket.
  /// @return how many it took; errno is set if not all
  std::size_t Send(std::string_view aBytes);
  /// Gives queued bytes to the socket. Returns false, with errno set, unless it
  /// took all of them.
  bool SendQueued();
  /// Empties the queue; memory of a large one is given back.
  void ReleaseQueue();
  /// The same on an event, which reports the end. Returns false if the
  /// connection broke.
  bool Flush();
  bool Polls(short aEvent) const;
  /// Returns the socket's own error number, or 0.
  int PendingError() const;
  /// Tells the handler; the object may be gone afterwards.
  void Break(int aError);

  Loop& m_loop;
  bool m_connecting;
  StreamHandlerI* m_handler;
  std::unique_ptr<PolledDescriptor> m_descriptor;
  std::string m_queued;
  std::size_t m_offset{ 0 }; ///< bytes of m_queued that are sent
  std::uint64_t m_sent{ 0 };
  bool m_finish{ false };       ///< the end follows the queued bytes
  bool m_finished{ false };     ///< the end is sent
  bool m_peerFinished{ false }; ///< the peer's end was read
  bool m_broken{ false };
  int m_sendError{ 0 }; ///< that a write met, with which the connection broke
  bool m_paused{ false };
  std::size_t m_maxRead{ kStreamReadBytes };
  bool m_drainDue{ false }; ///< OnDrained() is owed
  /// What the first read brings has arrived after this time.
  TimePoint m_acceptedAfter{ TimePoint::max() };
  /// Tells running callbacks that the object is gone.
  std::shared_ptr<bool> m_alive{ std::make_shared<bool>(true) };
};

class StreamListener : public StreamListenerI
{
public:
  StreamListener(Loop& aLoop,
                 const StreamListenerOptions& aOptions,
                 std::function<void(std::unique_ptr<StreamI>)> aOnAccept);
  ~StreamListener() override;
  StreamListener(const StreamListener&) = delete;
  StreamListener& operator=(const StreamListener&) = delete;

  static int OnEvent(lws* aWsi,
                     lws_callback_reasons aReason,
                     void* aUser,
                     void* aIn,
                     std::size_t aLength);
  std::uint16_t Port() const override { return m_port; }

private:
  void AcceptAll();
  /// No descriptor was left. The connection that waits would wake the loop in
  /// each turn.
  void PauseAccepting();

  Loop& m_loop;
  StreamListenerOptions m_options;
  std::function<void(std::unique_ptr<StreamI>)> m_onAccept;
  std::uint16_t m_port{ 0 };
  /// The last turn left connections that wait to be accepted.
  bool m_isBacklogged{ false };
  TimePoint m_arrivedAfter{}; ///< connections that are accepted now
  TimersI::TimerId m_acceptTimer{ 0 };
  std::unique_ptr<PolledDescriptor> m_descriptor;
};

class Streams : public StreamsI
{
public:
  explicit Streams(Loop& aLoop)
    : m_loop(aLoop)
  {
  }
  std::unique_ptr<StreamI> Connect(const StreamOptions& aOptions,
                                   StreamHandlerI& aHandler) override;
  std::unique_ptr<StreamListenerI> Listen(
    const StreamListenerOptions& aOptions,
    std::function<void(std::unique_ptr<StreamI>)> aOnAccept) override;

private:
  Loop& m_loop;
};

} // namespace shallotford

#endif // SHALLOTFORD_SRC_NET_STREAM_H
