/// Tests of raw connections whose peers read slowly.

#define BOOST_TEST_MODULE net_stream
#include <boost/test/unit_test.hpp>

#include "net_fixture.h"

#include <sys/resource.h>
#include <sys/socket.h>

#include <atomic>

using namespace shallotford;
using namespace shallotford::test;

namespace {

/// The error with which the next send fails, as when memory is short.
std::atomic<int> g_sendError{ 0 }; // NOLINT: read by send()

} // namespace

/// Stands in for the C library's.
extern "C" ssize_t
send(int aSocket, const void* aBytes, std::size_t aLength, int aFlags)
{
  if (int error = g_sendError.exchange(0); error != 0) {
    errno = error;
    return -1;
  }
  return ::sendto(aSocket, aBytes, aLength, aFlags, nullptr, 0);
}

namespace {

constexpr std::size_t kMuch = 16u << 20; // more than sockets hold
constexpr std::size_t kRefill = 4u << 20;

/// A connection to a peer that the test reads by hand.
struct Sender : StreamHandlerI
{
  Sender()
    : m_stream(m_loop.Do([this] {
      return m_loop->Streams().Connect({ .m_address = m_listener.Address() },
                                       *this);
    }))
    , m_peer(m_listener.Accept())
  {
    // The kernel accepts before the loop knows; a first send that fails then
    // breaks the connection.
    BOOST_TEST(m_connected.Take().value_or(false));
  }
  ~Sender() override
  {
    m_loop.Do([this] { m_stream.reset(); });
  }
  Sender(const Sender&) = delete;
  Sender& operator=(const Sender&) = delete;

  void OnConnected() override { m_connected.Put(true); }
  void OnBytes(std::string_view /*aBytes*/) override {}
  void OnPeerFinished() override { m_ends.Put("end"); }
  void OnBroken(const std::string& /*aReason*/) override
  {
    m_ends.Put("broken");
  }
  void OnDrained() override
  {
    while (m_refills > 0 && m_stream->Buffered() == 0) {
      --m_refills;
      m_stream->Write(std::string(kRefill, 'r'));
    }
    if (m_refills == 0) {
      m_stream->FinishWriting(); // after what is buffered
    }
  }

  LoopThread m_loop;
  RawListener m_listener;
  int m_refills{ 0 }; ///< writes that follow from inside OnDrained()
  Inbox<std::string> m_ends;
  Inbox<bool> m_connected;
  std::unique_ptr<StreamI> m_stream;
  std::unique_ptr<RawSocket> m_peer;
};

/// Keeps this process from opening descriptors.
class NoDescriptors
{
public:
  NoDescriptors()
  {
    ::getrlimit(RLIMIT_NOFILE, &m_before);
    int lowestFree = ::dup(0);
    ::close(lowestFree);
    rlimit none = m_before;
    none.rlim_cur = static_cast<rlim_t>(lowestFree);
    ::setrlimit(RLIMIT_NOFILE, &none);
  }
  ~NoDescriptors() { ::setrlimit(RLIMIT_NOFILE, &m_before); }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;

private:
  rlimit m_before{};
};

} // namespace

BOOST_AUTO_TEST_CASE(accepting_goes_on_when_there_are_descriptors_again)
{
  LoopThread loop;
  Inbox<std::string> events;
  std::unique_ptr<StreamI> accepted;
  std::unique_ptr<StreamListenerI> listener = loop.Do([&] {
    return loop->Streams().Listen(
      { .m_address = "127.0.0.1:0",
        .m_onExhausted = [&] { events.Put("exhausted"); } },
      [&](std::unique_ptr<StreamI> aStream) {
        accepted = std::move(aStream);
        events.Put("accepted");
      });
  });
  sockaddr_in address = RawSocket::LoopbackAddress(listener->Port());
  RawSocket peer(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), false);
  {
    NoDescriptors none;
    int connected = ::connect(
      peer.Descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address);
    BOOST_TEST(connected == 0);
    BOOST_TEST(events.Take().value_or("nothing") == "exhausted");
  }
  std::string event = events.Take().value_or("nothing");
  while (event == "exhausted") {
    event = events.Take().value_or("nothing");
  }
  BOOST_TEST(event == "accepted");
  loop.Do([&] {
    accepted.reset();
    listener.reset();
  });
}

BOOST_FIXTURE_TEST_CASE(bytes_held_back_by_a_full_socket_go_on, Sender)
{
  m_loop.Do([this] { m_stream->Write(std::string(kMuch, 'b')); });
  BOOST_TEST(m_peer->ReadToEnd().size() == kMuch);
  BOOST_TEST(m_peer->IsClosedByPeer());
}

BOOST_FIXTURE_TEST_CASE(bytes_written_as_the_socket_drains_go_on, Sender)
{
  constexpr int kRefills = 3;
  m_loop.Do([this] {
    m_refills = kRefills;
    m_stream->Write(std::string(kMuch, 'b'));
  });
  BOOST_TEST(m_peer->ReadToEnd().size() == kMuch + kRefills * kRefill);
  BOOST_TEST(m_peer->IsClosedByPeer());
}

/// A write that meets the reset first takes the socket's error.
BOOST_FIXTURE_TEST_CASE(a_reset_that_a_write_meets_is_no_end, Sender)
{
  m_loop.Do([this] { m_stream->Write("first"); });
  m_peer->ReadUntil("first");
  m_loop.Do([this] {
    m_peer->Reset();
    while (!m_stream->HasPeerLeft()) {
    }
    m_stream->Write("second");
  });
  BOOST_TEST(m_ends.Take().value_or("nothing") == "broken");
}

BOOST_FIXTURE_TEST_CASE(an_end_that_a_write_follows_is_an_end, Sender)
{
  m_loop.Do([this] { m_stream->Write("first"); });
  m_peer->ReadUntil("first");
  m_loop.Do([this] {
    m_peer->Close();
    while (!m_stream->HasPeerLeft()) {
    }
    m_stream->Write("second");
    m_stream->Write("third");
  });
  BOOST_TEST(m_ends.Take().value_or("nothing") == "end");
}

BOOST_FIXTURE_TEST_CASE(an_end_after_a_send_that_went_on_is_an_end, Sender)
{
  m_loop.Do([this] {
    g_sendError = ENOBUFS;
    m_stream->Write("first");
  });
  m_peer->ReadUntil("first");
  BOOST_TEST(g_sendError == 0);
  m_peer->Close();
  BOOST_TEST(m_ends.Take().value_or("nothing") == "end");
}
