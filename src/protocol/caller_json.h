#pragma once

#include <functional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "protocol/protocol_error.h"
#include "state/job_outcome.h"
#include "state/job_spec.h"

namespace greengage::protocol {

/** Supplies the ID of a job whose caller gave none. */
using JobIdSource = std::function<state::JobId()>;

/**
 * Decodes the body of `POST /v1/jobs` (or `/v1/requests`, which has `payload`
 * in place of `tasks`). Unknown, missing, duplicate and mistyped fields are
 * errors that name the field.
 */
tl::expected<state::JobSpec, ProtocolError>
DecodeJobRequest(std::string_view aBody, const JobIdSource& aJobIdSource);

/** Body of the answer to a job request. */
std::string
EncodeJobAnswer(const state::JobKey& aKey, const state::JobOutcome& aOutcome);

/** Body of an error that belongs to no job. */
std::string
EncodeError(state::RefusalCode aCode,
            std::string_view aField,
            std::string_view aMessage);

/** HTTP status code for an outcome. */
unsigned
HttpStatus(const state::JobOutcome& aOutcome);

/** `not_run`, `ran` or `unknown`. */
std::string_view
ToString(state::RunState aRun);

}
