#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "state/configuration_change.h"
#include "state/job_id.h"
#include "tools/greengagectl_client.h"

namespace greengage::tools {

/** Exit codes of greengagectl; `--help` lists them. */
enum class ControlExit
{
  eSuccess = 0,
  /** Refused or failed; nothing ran and nothing was changed. */
  eRefused = 1,
  /** Wrong arguments, or an invalid document or job. */
  eInvalid = 2,
  /** No entry could be reached. */
  eUnreachable = 3,
  /** The job may have run, or the change may come into force. */
  eUnknown = 4,
  /** The key has another version than the change was made from. */
  eVersionConflict = 5,
  /** The job ran and failed. */
  eJobFailed = 6,
};

/** What the commands use of their surroundings. */
struct ControlHooks
{
  SendToEntry send;
  std::function<void(std::string_view)> print;
  std::function<void(std::string_view)> printError;
  std::function<state::JobId()> createJobId;
  /** Content of a file; empty if it cannot be read. */
  std::function<std::optional<std::string>(const std::string& aPath)> readFile;
};

/** A document on the command line. */
struct DocumentArguments
{
  std::string name;
  /** File, or empty if the document is given inline. */
  std::string file;
  std::string inlineText = "{}";
  std::uint64_t baseVersion = 0;

  bool operator==(const DocumentArguments&) const = default;
};

/** A job on the command line. */
struct JobArguments
{
  /** File with the whole request, or empty. */
  std::string file;
  std::string organisation;
  std::string templateName;
  std::vector<std::string> tasks;
  std::string jobId;
  std::optional<std::uint64_t> deadlineMs;
  std::optional<std::uint64_t> urgency;
  bool idempotent = false;

  bool operator==(const JobArguments&) const = default;
};

/** The commands of greengagectl; each returns the exit code. */
class ControlCommands
{
public:
  ControlCommands(ControlHooks aHooks,
                  std::vector<std::string> aEntries,
                  bool aJson);

  ControlExit Put(state::ConfigurationKind aKind,
                  const DocumentArguments& aArguments);
  ControlExit Delete(state::ConfigurationKind aKind,
                     const DocumentArguments& aArguments);
  ControlExit Validate(state::ConfigurationKind aKind,
                       const DocumentArguments& aArguments);

  /** Waits for the outcome of the job. */
  ControlExit Submit(const JobArguments& aArguments);
  ControlExit ShowJob(const std::string& aOrganisation,
                      const std::string& aJobId);
  ControlExit CancelJob(const std::string& aOrganisation,
                        const std::string& aJobId);

  /** GET of a path whose answer is a JSON object. */
  ControlExit Show(const std::string& aPath);
  ControlExit ShowCounters();
  ControlExit Drain(const std::string& aProcessId);
  ControlExit RecoverShard(std::uint32_t aShard);
  /** What became of a job, from collected logs of all processes. */
  ControlExit Explain(const std::string& aJob,
                      const std::vector<std::string>& aLogs);

private:
  tl::expected<std::string, ControlExit> ReadBody(
    state::ConfigurationKind aKind,
    const DocumentArguments& aArguments);
  tl::expected<boost::json::object, ControlExit> ReadJob(
    const JobArguments& aArguments);
  tl::expected<boost::json::object, ControlExit> ReadObject(
    const std::string& aFile,
    const std::string& aInline);
  ControlExit JobRequest(const std::string& aMethod,
                         const std::string& aOrganisation,
                         const std::string& aJobId);
  ControlExit Send(const transport::HttpRequest& aRequest,
                   std::chrono::milliseconds aTimeout,
                   Repeat aRepeat);
  ControlExit OnFailure(const transport::TransportError& aError);
  ControlExit Invalid(std::string_view aField, std::string_view aMessage);

  ControlHooks hooks_;
  EntryClient client_;
  bool json_;
};

}
