#include <array>
#include <cstdio>
#include <string>

#include <fmt/format.h>

#include "policy/admission_scenario.h"

namespace {

using namespace greengage;
using coordination::AdmissionRule;

/** One way to decide that is compared. */
struct Variant
{
  const char* name;
  coordination::AdmissionSettings settings;
};

constexpr std::array kVariants{
  Variant{ "off", { AdmissionRule::eOff } },
  Variant{ "point", { AdmissionRule::ePoint } },
  Variant{ "quantile-0.8", { AdmissionRule::eQuantile, 0.8 } },
  Variant{ "feedback", { AdmissionRule::eFeedback, 0.5 } },
};

}

/**
 * Prints the effect of admission at each load, in virtual time. Optional
 * arguments: the seed and the only load to play.
 */
int
main(int aCount, char** aArguments)
{
  std::uint32_t seed = aCount > 1 ? std::stoul(aArguments[1]) : 1;
  double selected = aCount > 2 ? std::stod(aArguments[2]) : 0;
  for (bool bursts : { false, true }) {
    for (double load : { 0.7, 0.9, 1.1, 1.5, 2.0, 3.0 }) {
      if (selected != 0 && selected != load) {
        continue;
      }
      policy::AdmissionLoad settings;
      settings.load = load;
      settings.hasBursts = bursts;
      settings.seed = seed;
      auto scenario = policy::MakeAdmissionScenario(settings);
      for (const Variant& variant : kVariants) {
        coordination::JobDispatcherSettings dispatcher{ "dc" };
        dispatcher.admission = variant.settings;
        auto result = policy::MeasureAdmission(scenario, dispatcher);
        fmt::print("load {:.1f}{} {:<12} {}\n",
                   load,
                   bursts ? " bursts" : "       ",
                   variant.name,
                   result.ToLine());
        std::fflush(stdout);
      }
    }
  }
}
