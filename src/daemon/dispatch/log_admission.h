#pragma once

#include "coordination/admission/admission_control.h"

namespace greengage::daemon {

/** Logs a decision of a forecast with its inputs. */
void
LogAdmission(const coordination::AdmissionRecord& aRecord);

}
