#ifndef SHALLOTFORD_TESTS_CONTROL_ENGINE_H
#define SHALLOTFORD_TESTS_CONTROL_ENGINE_H

/// A simulated engine that accepts or refuses orders as docs/ENGINE.md
/// describes, with or without a check of their fencing numbers.

#include "shallotford/control.h"

#include <vector>

namespace shallotford::test {

enum class OrderAnswer
{
  Accepted,
  StaleFence,
  Busy,
};

struct SimulatedEngine
{
  EngineReadback m_state;
  bool m_checksFencing{ true };
  std::uint32_t m_requests{ 0 };
  Duration m_loadTime{ std::chrono::seconds{ 2 } };
  std::optional<TimePoint> m_loadEnd;
  Order m_load;
  std::vector<std::uint64_t> m_accepted{}; ///< fences since the last crash
  int m_loads{ 0 };
  int m_interrupted{ 0 }; ///< requests held while the model or role changed

  void Advance(TimePoint aNow)
  {
    if (m_loadEnd && *m_loadEnd <= aNow) {
      m_state.m_model = m_load.m_model;
      m_state.m_version = m_load.m_version;
      m_state.m_adapters.clear();
      m_loadEnd.reset();
    }
    // One request ends in each step while the engine is drained.
    if (m_state.m_draining && m_requests > 0) {
      --m_requests;
    }
  }

  EngineReadback Read(TimePoint aNow) const
  {
    EngineReadback state = m_state;
    state.m_readAt = aNow;
    state.m_running = m_requests;
    state.m_busy = m_requests > 0 || m_loadEnd.has_value();
    return state;
  }

  OrderAnswer HandleOrder(const Order& aOrder, TimePoint aNow)
  {
    if (m_checksFencing && aOrder.m_fence <= m_state.m_acceptedFence) {
      return OrderAnswer::StaleFence;
    }
    bool needsIdle = aOrder.m_kind == OrderKind::LoadModel ||
                     aOrder.m_kind == OrderKind::SetRole;
    if (m_loadEnd || (needsIdle && m_requests > 0)) {
      return OrderAnswer::Busy;
    }
    m_state.m_acceptedFence = aOrder.m_fence;
    m_accepted.push_back(aOrder.m_fence);
    switch (aOrder.m_kind) {
      case OrderKind::LoadModel:
        m_load = aOrder;
        m_loadEnd = aNow + m_loadTime;
        ++m_loads;
        break;
      case OrderKind::LoadAdapter:
        m_state.m_adapters.insert(aOrder.m_adapter);
        break;
      case OrderKind::UnloadAdapter:
        m_state.m_adapters.erase(aOrder.m_adapter);
        break;
      case OrderKind::SetRole:
        m_state.m_role = aOrder.m_role;
        break;
      case OrderKind::Drain:
        m_state.m_draining = true;
        break;
      case OrderKind::Resume:
        m_state.m_draining = false;
        break;
    }
    return OrderAnswer::Accepted;
  }

  void Crash()
  {
    m_requests = 0;
    m_loadEnd.reset();
    m_accepted.clear();
    m_state.m_acceptedFence = 0;
    m_state.m_draining = false;
  }
};

} // namespace shallotford::test

#endif // SHALLOTFORD_TESTS_CONTROL_ENGINE_H
