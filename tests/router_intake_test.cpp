/// Tests of what callers' connections hold, on a fake loop: random orders of
/// reads, answers, drains and sweeps, with fixed seeds, against the order in
/// which the requests were sent.

#define BOOST_TEST_MODULE router_intake
#include <boost/test/unit_test.hpp>

#include "config.h"
#include "fake_streams.h"
#include "router_caller.h"

#include <algorithm>
#include <deque>
#include <random>

using namespace shallotford;
using namespace std::chrono_literals;

namespace {

/// A connection whose peer sends and reads when the test says so.
struct PeerStream : StreamI
{
  void SetHandler(StreamHandlerI* aHandler) override { m_handler = aHandler; }
  void Write(std::string_view aBytes) override { m_queued += aBytes; }
  std::size_t Buffered() const override { return m_queued.size(); }
  std::uint64_t BytesSent() const override { return m_sent; }
  Duration SinceArrival() const override { return Duration::zero(); }
  bool HasPeerLeft() const override { return m_left; }
  bool HasUnread() const override { return false; }
  void FinishWriting() override {}
  void ResetOnDestroy() override {}
  void PauseReading() override { m_paused = true; }
  void ResumeReading() override { m_paused = false; }

  void Drain(std::size_t aMax, std::string& aRead)
  {
    std::size_t count = std::min(aMax, m_queued.size());
    aRead += m_queued.substr(0, count);
    m_queued.erase(0, count);
    m_sent += count;
    if (count > 0 && m_queued.empty()) {
      m_handler->OnDrained();
    }
  }

  StreamHandlerI* m_handler{ nullptr };
  std::string m_queued;
  std::uint64_t m_sent{ 0 };
  bool m_paused{ false };
  bool m_left{ false };
};

/// A listener whose requests the test answers later.
struct Callers : CallerHandlerI
{
  explicit Callers(std::size_t aMaxIntake,
                   const StreamListenerOptions& aOptions = {})
    : m_intake(std::make_shared<Intake>(aMaxIntake))
    , m_listener(m_loop, aOptions, *this, m_intake)
  {
  }
  PeerStream* Connect()
  {
    auto stream = std::make_unique<PeerStream>();
    PeerStream* peer = stream.get();
    std::size_t before = m_listener.Count();
    m_loop.m_streams.m_onAccept(std::move(stream));
    return m_listener.Count() == before ? nullptr : peer;
  }
  /// A connection in place of another one.
  PeerStream* Displace()
  {
    auto stream = std::make_unique<PeerStream>();
    PeerStream* peer = stream.get();
    int before = m_acts[IntakeAct::Displace];
    m_loop.m_streams.m_onAccept(std::move(stream));
    BOOST_TEST_REQUIRE(m_acts[IntakeAct::Displace] == before + 1);
    return peer;
  }
  void OnRequest(CallerExchangePtr aExchange, CallerRequest aRequest) override
  {
    m_running.emplace_back(aExchange, aRequest.m_head.m_target);
  }
  void OnBadRequest(const Error&) override { ++m_bad; }
  void OnIntake(IntakeAct aAct) override { ++m_acts[aAct]; }
  CallerLimits Limits() const override { return {}; }
  bool IsLeaving() const override { return false; }

  Transcript m_transcript;
  StreamLoop m_loop{ m_transcript };
  std::shared_ptr<Intake> m_intake;
  std::deque<std::pair<CallerExchangePtr, std::string>> m_running;
  std::map<IntakeAct, int> m_acts;
  int m_bad{ 0 };
  CallerListener m_listener;
};

constexpr std::size_t kAnswerBytes = 20'000;

std::string
Request(int aNumber, std::size_t aBody)
{
  return "POST /" + std::to_string(aNumber) +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(aBody) +
         "\r\n\r\n" + std::string(aBody, 'b');
}

} // namespace

BOOST_AUTO_TEST_CASE(every_order_of_events_answers_each_request_once_in_order)
{
  constexpr int kRequests = 60;
  constexpr std::size_t kRead = 16u << 10;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed)
    {
      std::mt19937 random(seed); // NOLINT: fixed seeds
      std::string sent;
      std::string expected;
      for (int i = 0; i < kRequests; ++i) {
        sent += Request(i, random() % 3 == 0 ? random() % 40'000 : 0);
        expected += "<" + std::to_string(i) + ">";
      }
      Callers callers(kDefaultIntakeBytes);
      PeerStream* peer = callers.Connect();
      std::string read;
      std::size_t at = 0;
      std::size_t most = 0;
      auto isDone = [&] {
        return at == sent.size() && callers.m_running.empty() &&
               peer->m_queued.empty();
      };
      for (int turn = 0; turn < 100'000; ++turn) {
        if (isDone()) {
          callers.m_loop.RunFor(0s); // may begin another request
          if (isDone()) {
            break;
          }
        }
        switch (random() % 4) {
          case 0:
            if (!peer->m_paused && at < sent.size()) {
              std::size_t count =
                std::min<std::size_t>(1 + random() % kRead, sent.size() - at);
              at += count;
              peer->m_handler->OnBytes(
                std::string_view(sent).substr(at - count, count));
            }
            break;
          case 1:
            if (!callers.m_running.empty()) {
              auto [exchange, target] = callers.m_running.front();
              callers.m_running.pop_front();
              exchange->Respond(200,
                                "OK",
                                {},
                                "<" + target.substr(1) + ">" +
                                  std::string(random() % kAnswerBytes, 'a'));
            }
            break;
          case 2:
            peer->Drain(random() % 100'000, read);
            break;
          default:
            callers.m_loop.RunFor(0s);
        }
        most = std::max(most, peer->m_queued.size());
        BOOST_REQUIRE(callers.m_running.size() <= 1U);
      }
      callers.m_loop.RunFor(0s);
      std::string answered;
      for (std::size_t from = read.find('<'); from != std::string::npos;
           from = read.find('<', from + 1)) {
        answered += read.substr(from, read.find('>', from) - from + 1);
      }
      BOOST_TEST(answered == expected);
      BOOST_TEST(most <= kMaxUnreadAnswerBytes + kAnswerBytes + 1'000);
      BOOST_TEST(callers.m_intake->Bytes() < kConnectionBytes + 1'000);
    }
  }
}

BOOST_AUTO_TEST_CASE(what_is_sent_ahead_of_an_answer_has_a_bound)
{
  Callers callers(kDefaultIntakeBytes);
  PeerStream* peer = callers.Connect();
  const std::string many = [] {
    std::string text;
    for (int i = 0; i < 20'000; ++i) {
      text += Request(i, 0);
    }
    return text;
  }();
  constexpr std::size_t kRead = 16u << 10;
  std::size_t at = 0;
  std::size_t answered = 0;
  std::string read;
  for (int round = 0; round < 200; ++round) {
    while (!peer->m_paused) { // as much as is taken
      peer->m_handler->OnBytes(std::string_view(many).substr(at, kRead));
      at += kRead;
    }
    callers.m_running.front().first->Respond(200, "OK", {}, "");
    callers.m_running.pop_front();
    answered += Request(round, 0).size();
    callers.m_loop.RunFor(0s);
    peer->Drain(1'000, read);
    BOOST_REQUIRE(at - answered <= kMaxPipelinedBytes + 2 * kRead);
  }
}

BOOST_AUTO_TEST_CASE(near_the_bound_callers_that_send_little_are_still_served)
{
  Callers callers(2u << 20);
  std::vector<PeerStream*> heavy;
  for (int i = 0; i < 30; ++i) { // bodies without their last byte
    if (PeerStream* peer = callers.Connect()) {
      heavy.push_back(peer);
      std::string body = Request(i, 200'000);
      for (std::size_t at = 0; at + 1 < body.size() && !peer->m_paused;
           at += 16'000) {
        peer->m_handler->OnBytes(std::string_view(body).substr(
          at, std::min<std::size_t>(16'000, body.size() - at - 1)));
      }
    }
  }
  BOOST_TEST(callers.m_intake->Bytes() <= 2u << 20);
  BOOST_TEST(callers.m_acts[IntakeAct::Pause] > 0);
  // Without progress they are refused or closed, and there is room again.
  for (int i = 0; i < 8; ++i) {
    callers.m_loop.RunFor(500ms);
    callers.m_listener.Sweep();
  }
  PeerStream* ordinary = callers.Connect();
  BOOST_TEST_REQUIRE((ordinary != nullptr));
  ordinary->m_handler->OnBytes(Request(99, 10));
  BOOST_TEST_REQUIRE(callers.m_running.size() == 1U);
  callers.m_running.front().first->Respond(200, "OK", {}, "hello");
  BOOST_TEST(ordinary->m_queued.find("hello") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(heads_are_counted_until_their_requests_end)
{
  // The most fields of a head, near its greatest length.
  std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n";
  for (int i = 0; i < 250; ++i) {
    head += "a" + std::to_string(i) + ": " + std::string(50, 'v') + "\r\n";
  }
  head += "\r\n";
  Callers callers(IntakeBytes(88));
  PeerStream* peer = callers.Connect();
  peer->m_handler->OnBytes(head);
  std::size_t received = callers.m_intake->Bytes() - kConnectionBytes;
  BOOST_TEST(received > 2 * head.size());
  BOOST_TEST(received < 10 * head.size());
  peer->m_handler->OnBytes("b");
  BOOST_TEST_REQUIRE(callers.m_running.size() == 1U);
  BOOST_TEST(callers.m_intake->Bytes() - kConnectionBytes >= received / 2);
  BOOST_TEST(callers.m_intake->Bytes() - kConnectionBytes < received / 2 + 99);
  callers.m_running.front().first->Respond(200, "OK", {}, "");
  std::string read;
  peer->Drain(1'000, read);
  BOOST_TEST(callers.m_intake->Bytes() < kConnectionBytes + 100);
  // Many of them fill the account, which then refuses others.
  for (int i = 0; i < 1'000; ++i) {
    if (PeerStream* one = callers.Connect()) {
      one->m_handler->OnBytes(head);
    }
  }
  BOOST_TEST((callers.m_intake->Step() == IntakeStep::Refuse));
  BOOST_TEST(callers.m_listener.Count() < 600U);
  BOOST_TEST(callers.m_intake->Bytes() <= IntakeBytes(88));
  callers.m_loop.RunFor(4s);
  callers.m_listener.Sweep();
  BOOST_TEST((callers.m_intake->Step() == IntakeStep::Calm));
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_while_it_is_not_read_is_noticed)
{
  Callers callers(kDefaultIntakeBytes);
  PeerStream* paused = callers.Connect();
  PeerStream* read = callers.Connect();
  for (PeerStream* peer : { paused, read }) {
    peer->m_handler->OnBytes(Request(1, 0));
  }
  BOOST_TEST_REQUIRE(callers.m_running.size() == 2U);
  while (!paused->m_paused) {
    paused->m_handler->OnBytes(Request(2, 16'000));
  }
  int closed = 0;
  callers.m_running.front().first->OnClosed([&] { ++closed; });
  callers.m_listener.Sweep();
  BOOST_TEST(callers.m_listener.Count() == 2U);
  paused->m_left = true;
  read->m_left = true; // its event tells
  callers.m_listener.Sweep();
  BOOST_TEST(callers.m_listener.Count() == 1U);
  BOOST_TEST(closed == 1);
  BOOST_TEST(callers.m_running.front().first->HasCallerLeft());
}

BOOST_AUTO_TEST_CASE(a_caller_that_is_held_back_is_refused_before_it_is_closed)
{
  Callers callers(2u << 20);
  std::vector<PeerStream*> heavy;
  for (int i = 0; i < 30; ++i) { // bodies without their last byte
    if (PeerStream* peer = callers.Connect()) {
      heavy.push_back(peer);
      std::string body = Request(i, 200'000);
      body.pop_back();
      for (std::size_t at = 0; at < body.size() && !peer->m_paused;
           at += 16'000) {
        peer->m_handler->OnBytes(std::string_view(body).substr(at, 16'000));
      }
    }
  }
  BOOST_TEST_REQUIRE((callers.m_intake->Step() == IntakeStep::Refuse));
  for (int i = 0; i < 5; ++i) { // shorter than the time for a request
    callers.m_loop.RunFor(500ms);
    callers.m_listener.Sweep();
  }
  BOOST_TEST((callers.m_intake->Step() != IntakeStep::Refuse));
  BOOST_TEST(callers.m_bad > 0);
  BOOST_TEST(callers.m_acts[IntakeAct::Close] == 0);
  BOOST_TEST_REQUIRE(callers.m_listener.Count() == heavy.size());
  auto refused =
    std::count_if(heavy.begin(), heavy.end(), [](const PeerStream* aPeer) {
      return aPeer->m_queued.find("HTTP/1.1 503 ") == 0;
    });
  BOOST_TEST(refused == callers.m_bad);
}

BOOST_AUTO_TEST_CASE(answers_are_held_and_requests_run_as_far_as_there_is_room)
{
  constexpr std::size_t kBound = 2u << 20;
  Callers callers(kBound);
  std::vector<PeerStream*> peers;
  for (int i = 0; i < 40; ++i) {
    peers.push_back(callers.Connect());
    peers.back()->m_handler->OnBytes(Request(i, 0));
  }
  BOOST_TEST_REQUIRE(callers.m_running.size() == peers.size());
  CallerExchangeI& first = *callers.m_running[0].first;
  BOOST_TEST(first.ClaimRoom());
  BOOST_TEST(first.MayHold(kMaxHeldAnswerBytes));
  BOOST_TEST(first.MaxBuffered() == kMaxCallerQueueBytes);
  // Answers fill the account up to the step Refuse.
  std::size_t held = 0;
  for (std::size_t i = 8; callers.m_intake->Step() != IntakeStep::Refuse; ++i) {
    BOOST_TEST_REQUIRE(i < peers.size());
    callers.m_running[i].first->SetHeld(100'000);
    held += 100'000;
  }
  BOOST_TEST(held < kBound);
  // What was claimed may be held, and no more.
  BOOST_TEST(first.MayHold(kAnswerClaim));
  BOOST_TEST(!first.MayHold(kAnswerClaim + 1'000));
  BOOST_TEST(first.MaxBuffered() == kAnswerClaim);
  // A request whose answer is within its connection's share may run.
  std::size_t share = callers.m_intake->Share();
  BOOST_TEST(share < kAnswerClaim);
  BOOST_TEST(!callers.m_running[1].first->ClaimRoom());
  BOOST_TEST(callers.m_acts[IntakeAct::Request] == 1);
  callers.m_running[8].first->SetHeld(0);
  callers.m_running[9].first->SetHeld(0);
  BOOST_TEST(callers.m_running[1].first->ClaimRoom());
}

BOOST_AUTO_TEST_CASE(callers_are_served_while_all_connections_are_taken)
{
  constexpr std::size_t kMaxConnections = 10;
  Callers callers(kDefaultIntakeBytes, { .m_maxConnections = kMaxConnections });
  std::vector<PeerStream*> silent;
  for (std::size_t i = 0; i < kMaxConnections; ++i) {
    silent.push_back(callers.Connect());
  }
  for (int i = 0; i < 3; ++i) {
    PeerStream* peer = callers.Connect();
    BOOST_TEST_REQUIRE((peer != nullptr));
    peer->m_handler->OnBytes(Request(i, 10));
    BOOST_TEST_REQUIRE(callers.m_running.size() == 1U);
    callers.m_running.front().first->Respond(200, "OK", {}, "hello");
    callers.m_running.pop_front();
    BOOST_TEST(peer->m_queued.find("hello") != std::string::npos);
    BOOST_TEST(peer->m_queued.find("Connection: close") != std::string::npos);
    std::string read;
    peer->Drain(1'000, read);
  }
  // Silent ones don't keep out those that come later.
  for (std::size_t i = 0; i < 3 * kBriefConnections; ++i) {
    callers.Connect();
    BOOST_REQUIRE(callers.m_listener.Count() <=
                  kMaxConnections + kBriefConnections);
  }
  BOOST_TEST(callers.m_acts[IntakeAct::Connections] == 0);
  PeerStream* ordinary = callers.Displace();
  ordinary->m_handler->OnBytes(Request(9, 0));
  BOOST_TEST_REQUIRE(callers.m_running.size() == 1U);
  // A request that runs isn't given up for another connection.
  for (std::size_t i = 0; i < 2 * kBriefConnections; ++i) {
    callers.Connect();
  }
  BOOST_TEST(!callers.m_running.front().first->HasCallerLeft());
  callers.m_running.front().first->Respond(200, "OK", {}, "hello");
  BOOST_TEST(ordinary->m_queued.find("hello") != std::string::npos);
  std::string read;
  ordinary->Drain(1'000, read);
  // All of them end soon, the lasting ones stay.
  callers.m_running.clear();
  callers.m_loop.RunFor(kBriefConnectionTime + kLingerTime);
  BOOST_TEST(callers.m_listener.Count() == kMaxConnections);
}

BOOST_AUTO_TEST_CASE(a_brief_connection_refuses_what_it_cannot_take_in_time)
{
  Callers callers(kDefaultIntakeBytes, { .m_maxConnections = 1 });
  callers.Connect();
  PeerStream* slow = callers.Connect();
  BOOST_TEST_REQUIRE((slow != nullptr));
  slow->m_handler->OnBytes("GET / HTTP/1.1\r\nHost: h\r\n");
  callers.m_loop.RunFor(kBriefConnectionTime);
  BOOST_TEST(slow->m_queued.find("HTTP/1.1 503 ") == 0U);
  BOOST_TEST(slow->m_queued.find("Retry-After: ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(large_bodies_take_turns_while_room_is_short)
{
  constexpr int kUploads = 20;
  constexpr std::size_t kBody = 150'000;
  constexpr std::size_t kPiece = 16u << 10;
  Callers callers(2u << 20); // holds three of them, with their copies
  struct Upload
  {
    PeerStream* m_peer;
    std::string m_text;
    std::size_t m_sent{ 0 };
  };
  std::vector<Upload> uploads;
  for (int i = 0; i < kUploads; ++i) {
    PeerStream* peer = callers.Connect();
    BOOST_TEST_REQUIRE((peer != nullptr));
    uploads.push_back({ peer, Request(i, kBody) });
  }
  int served = 0;
  for (int turn = 0; turn < 1'000 && served < kUploads; ++turn) {
    for (Upload& upload : uploads) {
      if (!upload.m_peer->m_paused && upload.m_sent < upload.m_text.size()) {
        std::string_view rest =
          std::string_view(upload.m_text).substr(upload.m_sent, kPiece);
        upload.m_sent += rest.size();
        upload.m_peer->m_handler->OnBytes(rest);
      }
    }
    BOOST_REQUIRE(callers.m_intake->Bytes() <= 2u << 20);
    while (!callers.m_running.empty()) {
      callers.m_running.front().first->Respond(200, "OK", {}, "");
      callers.m_running.pop_front();
      ++served;
    }
    callers.m_loop.RunFor(0s);
  }
  BOOST_TEST(served == kUploads);
  BOOST_TEST(callers.m_bad == 0);
}
