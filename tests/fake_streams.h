#ifndef SHALLOTFORD_TESTS_FAKE_STREAMS_H
#define SHALLOTFORD_TESTS_FAKE_STREAMS_H

/// A loop on a fake clock whose listeners take connections that the test makes.

#include "fake_loop.h"

namespace shallotford {

struct FakeListener : StreamListenerI
{
  std::uint16_t Port() const override { return 1; }
};

/// Hands over connections that the test makes.
struct FakeStreams : StreamsI
{
  std::unique_ptr<StreamI> Connect(const StreamOptions&,
                                   StreamHandlerI&) override
  {
    return nullptr;
  }
  std::unique_ptr<StreamListenerI> Listen(
    const StreamListenerOptions&,
    std::function<void(std::unique_ptr<StreamI>)> aOnAccept) override
  {
    m_onAccept = std::move(aOnAccept);
    return std::make_unique<FakeListener>();
  }
  std::function<void(std::unique_ptr<StreamI>)> m_onAccept;
};

struct StreamLoop : FakeLoop
{
  using FakeLoop::FakeLoop;
  StreamsI& Streams() override { return m_streams; }
  FakeStreams m_streams;
};

} // namespace shallotford

#endif // SHALLOTFORD_TESTS_FAKE_STREAMS_H
