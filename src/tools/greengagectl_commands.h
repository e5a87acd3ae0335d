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
enum class ExitCode
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
  /** The current version differs from the base version of the change. */
  eVersionConflict = 5,
  /** The job ran and failed. */
  eJobFailed = 6,
};

/** Input and output functions of the commands; tests replace them. */
struct ControlCommandHooks
{
  SendToEntry send;
  std::function<void(std::string_view)> print;
  std::function<void(std::string_view)> printError;
  std::function<state::JobId()> createJobId;
  /** Returns the content of a file, or std::nullopt if it cannot be read. */
  std::function<std::optional<std::string>(const std::string& aPath)> readFile;
};

/** Command-line arguments that describe a document. */
struct DocumentArguments
{
  std::string name;
  /** Path of the document; empty if the document is given inline. */
  std::string file;
  std::string inlineText = "{}";
  std::uint64_t baseVersion = 0;

  bool operator==(const DocumentArguments&) const = default;
};

/** Command-line arguments that describe a job. */
struct JobArguments
{
  /** Path of the complete request; empty if only options are given. */
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
  ControlCommands(ControlCommandHooks aHooks,
                  std::vector<std::string> aEntries,
                  bool aJson);

  ExitCode Put(state::ConfigurationKind aKind,
               const DocumentArguments& aArguments);
  ExitCode Delete(state::ConfigurationKind aKind,
                  const DocumentArguments& aArguments);
  ExitCode Validate(state::ConfigurationKind aKind,
                    const DocumentArguments& aArguments);

  /** Submits a job and waits for its outcome. */
  ExitCode Submit(const JobArguments& aArguments);
  ExitCode ShowJob(const std::string& aOrganisation, const std::string& aJobId);
  ExitCode CancelJob(const std::string& aOrganisation,
                     const std::string& aJobId);

  /** Prints the JSON object that a GET of the path returns. */
  ExitCode Show(const std::string& aPath);
  ExitCode ShowCounters();
  ExitCode Drain(const std::string& aProcessId);
  ExitCode RecoverShard(std::uint32_t aShard);
  /** Prints the events of a job and the cause of its outcome from log files. */
  ExitCode Explain(const std::string& aJob,
                   const std::vector<std::string>& aLogs);

private:
  tl::expected<std::string, ExitCode> ReadBody(
    state::ConfigurationKind aKind,
    const DocumentArguments& aArguments);
  tl::expected<boost::json::object, ExitCode> ReadJob(
    const JobArguments& aArguments);
  tl::expected<boost::json::object, ExitCode> ReadObject(
    const std::string& aFile,
    const std::string& aInline);
  ExitCode SendJobRequest(const std::string& aMethod,
                          const std::string& aOrganisation,
                          const std::string& aJobId);
  ExitCode Send(const transport::HttpRequest& aRequest,
                std::chrono::milliseconds aTimeout,
                RetryPolicy aRetry);
  ExitCode ReportFailure(const transport::TransportError& aError);
  ExitCode ReportInvalid(std::string_view aField, std::string_view aMessage);

  ControlCommandHooks hooks_;
  EntryClient client_;
  bool json_;
};

}
