#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "protocol/protocol_error.h"
#include "state/job_outcome.h"
#include "state/job_spec.h"

namespace greengage::protocol {

/** Generates the ID of a job for which the caller supplied none. */
using JobIdGenerator = std::function<state::JobId()>;

/**
 * Decodes the body of `POST /v1/jobs` (or `/v1/requests`, which has `payload`
 * in place of `tasks`). Returns an error with the name of the field if a field
 * is unknown, missing, duplicate or of the wrong type.
 */
tl::expected<state::JobSpec, ProtocolError>
DecodeJobRequest(std::string_view aBody, const JobIdGenerator& aJobIdGenerator);

/** Encodes the body of the response to a job request. */
std::string
EncodeJobAnswer(const state::JobKey& aKey, const state::JobOutcome& aOutcome);

/** Encodes the body of an error response that belongs to no job. */
std::string
EncodeError(state::RefusalCode aCode,
            std::string_view aField,
            std::string_view aMessage);

/** Returns the HTTP status code for an outcome. */
unsigned
HttpStatus(const state::JobOutcome& aOutcome);

/** Returns `not_run`, `ran` or `unknown`. */
std::string_view
ToString(state::RunState aRun);

}
