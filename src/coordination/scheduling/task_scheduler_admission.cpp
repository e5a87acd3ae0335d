#include <algorithm>

#include <fmt/format.h>

#include "coordination/scheduling/task_scheduler.h"

// The part of TaskScheduler that admits or refuses new jobs.
namespace greengage::coordination {

using state::RefusalCode;

tl::expected<void, CoordinationError>
TaskScheduler::Admit(const state::JobSpec& aSpec)
{
  auto refuse = [this](CoordinationError aError) {
    ++counters_.refusals[std::size_t(aError.code)];
    return tl::unexpected(std::move(aError));
  };
  const std::string& name = aSpec.Key().organisation;
  auto organisation = queue_.Find(name);
  if (!organisation || !publishedOrganisations_.contains(name)) {
    return refuse(
      { RefusalCode::eUnknownOrganisation,
        fmt::format("organisation \"{}\" is not published", name) });
  }
  auto known = templatesByName_.find(aSpec.TemplateName());
  if (known == templatesByName_.end() || !templates_[known->second].published) {
    return refuse({ RefusalCode::eUnknownTemplate,
                    fmt::format("template \"{}\" is not published",
                                aSpec.TemplateName()) });
  }
  auto admitted =
    DecideAdmission(aSpec,
                    DescribeFleet(templates_[known->second].needs),
                    DescribeQueue(aSpec, *organisation, known->second),
                    queue_.Parameters(*organisation));
  if (!admitted) {
    return refuse(admitted.error());
  }
  return {};
}

FleetState
TaskScheduler::DescribeFleet(const TaskNeeds& aNeeds)
{
  FleetState fleet;
  fleet.servers = servers_.Count();
  fleet.fitsAnyServer = FitsAnyServer(aNeeds);
  fleet.usableSlots = servers_.UsableSlots();
  fleet.usableRate = servers_.UsableRate();
  fleet.fastestSpeed = servers_.FastestSpeed();
  return fleet;
}

QueueState
TaskScheduler::DescribeQueue(const state::JobSpec& aSpec,
                             OrganisationIndex aOrganisation,
                             TemplateIndex aTemplate) const
{
  QueueState queue;
  queue.workAhead = queue_.QueuedWork(aOrganisation, aSpec.Urgency());
  queue.weightShare = queue_.WeightShare(aOrganisation);
  queue.runningSlots = queue_.Running(aOrganisation);
  queue.workIsLearned = rates_.IsLearned(aTemplate);
  for (const std::string& payload : aSpec.Payloads()) {
    auto sizeClass = RateEstimator::ClassOf(payload.size());
    double work = rates_.Work(aTemplate, sizeClass);
    queue.jobWork += work;
    queue.longestTask = std::max(queue.longestTask, work);
  }
  return queue;
}

bool
TaskScheduler::FitsAnyServer(const TaskNeeds& aNeeds)
{
  auto known = fitsAnyServerCache_.find(aNeeds);
  if (known == fitsAnyServerCache_.end()) {
    known =
      fitsAnyServerCache_.emplace(aNeeds, servers_.FitsAnyServer(aNeeds)).first;
  }
  return known->second;
}

}
