#pragma once

#include "tools/greengagectl_commands.h"

namespace greengage::tools {

/** Parses the command line, runs one command and returns the exit code. */
int
RunGreengagectl(int aCount,
                const char* const* aArguments,
                const ControlCommandHooks& aHooks);

}
