/// Runs requests through the ordered filters of a pipeline.

#include "daemon_flow.h"

namespace shallotford {

void
Pipeline::Add(std::unique_ptr<FilterI> aFilter)
{
  m_filters.push_back(std::move(aFilter));
}

void
Pipeline::Begin(const FlowPtr& aFlow)
{
  aFlow->m_step = 0;
  m_filters.front()->Start(aFlow);
}

void
Pipeline::Next(const FlowPtr& aFlow)
{
  ++aFlow->m_step;
  m_filters.at(aFlow->m_step)->Start(aFlow);
}

void
Pipeline::RestartAt(const FlowPtr& aFlow, std::string_view aName)
{
  for (std::size_t i = 0; i < m_filters.size(); ++i) {
    if (m_filters[i]->Name() == aName) {
      aFlow->m_step = i;
      m_filters[i]->Start(aFlow);
      return;
    }
  }
  throw Error(ErrorKind::Internal,
              "no filter is named " + std::string(aName),
              "Report this defect.");
}

} // namespace shallotford
