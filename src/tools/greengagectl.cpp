#include "tools/greengagectl.h"

#include <CLI/CLI.hpp>

#include "transport/endpoint.h"

namespace greengage::tools {

namespace {

using state::ConfigurationKind;
using Action = std::function<ExitCode(ControlCommands&)>;

constexpr const char* kExitCodes =
  "Exit codes:\n"
  "  0  success\n"
  "  1  refused or failed; nothing ran and nothing was changed\n"
  "  2  wrong arguments, or an invalid document or job\n"
  "  3  no entry could be reached\n"
  "  4  unknown: the job may have run, or the change may come into force\n"
  "  5  the key has another version than --base-version\n"
  "  6  the job ran and failed\n";

/** Arguments of all commands; CLI11 stores the parsed values here. */
struct Arguments
{
  std::vector<std::string> entries{ "127.0.0.1:8080" };
  bool json = false;
  DocumentArguments document;
  JobArguments job;
  std::string organisation;
  std::string id;
  std::uint32_t shard = 0;
  bool membersDead = false;
  std::vector<std::string> logs;
  Action action;
};

std::string
CheckEntry(const std::string& aText)
{
  auto endpoint = transport::ParseEndpoint(aText);
  return endpoint ? std::string() : endpoint.error().message;
}

CLI::App*
AddCommand(CLI::App& aParent,
           Arguments& aArguments,
           const char* aName,
           const char* aHelp,
           Action aAction)
{
  CLI::App* command = aParent.add_subcommand(aName, aHelp);
  command->fallthrough();
  command->callback(
    [&aArguments, action = std::move(aAction)] { aArguments.action = action; });
  return command;
}

CLI::App*
AddGroup(CLI::App& aApp, const char* aName, const char* aHelp)
{
  CLI::App* group = aApp.add_subcommand(aName, aHelp);
  group->require_subcommand(1);
  group->fallthrough();
  return group;
}

void
AddDocumentOptions(CLI::App& aCommand,
                   DocumentArguments& aDocument,
                   bool aWithContent)
{
  aCommand.add_option("name", aDocument.name, "Name of the document")
    ->required();
  aCommand.add_option("--base-version",
                      aDocument.baseVersion,
                      "Version that the change is made from; 0: create");
  if (!aWithContent) {
    return;
  }
  auto* file =
    aCommand.add_option("--file", aDocument.file, "File with the document");
  aCommand
    .add_option(
      "--document", aDocument.inlineText, "The document as a JSON object")
    ->excludes(file);
}

void
AddDocumentCommands(CLI::App& aApp,
                    Arguments& aArguments,
                    const char* aName,
                    ConfigurationKind aKind)
{
  CLI::App* group =
    AddGroup(aApp, aName, "Publish, delete and validate documents");
  auto add = [&](const char* aCommand,
                 const char* aHelp,
                 auto aMethod,
                 bool aWithContent) {
    CLI::App* command =
      AddCommand(*group,
                 aArguments,
                 aCommand,
                 aHelp,
                 [&aArguments, aKind, aMethod](ControlCommands& aCommands) {
                   return (aCommands.*aMethod)(aKind, aArguments.document);
                 });
    AddDocumentOptions(*command, aArguments.document, aWithContent);
  };
  add("put", "Create or change a document", &ControlCommands::Put, true);
  add("delete", "Delete a document", &ControlCommands::Delete, false);
  add("validate",
      "Validate a document locally, without an entry",
      &ControlCommands::Validate,
      true);
}

void
AddSubmit(CLI::App& aGroup, Arguments& aArguments)
{
  JobArguments& job = aArguments.job;
  CLI::App* submit = AddCommand(
    aGroup,
    aArguments,
    "submit",
    "Submit a job and wait for its outcome; the job ID is printed first, "
    "for a resubmission with --job-id",
    [&job](ControlCommands& aCommands) { return aCommands.Submit(job); });
  submit->add_option(
    "--file", job.file, "File with the request; options replace its fields");
  submit->add_option("--organisation", job.organisation, "Organisation");
  submit->add_option("--template", job.templateName, "Template");
  submit
    ->add_option(
      "--task", job.tasks, "Payload of a task as JSON; once per task")
    ->allow_extra_args(false);
  submit->add_option(
    "--job-id", job.jobId, "UUID of version 7; default: a new one");
  submit->add_option(
    "--deadline-ms", job.deadlineMs, "Deadline after submission, in ms");
  submit->add_option("--urgency", job.urgency, "0 to 3, 3 is most urgent");
  submit->add_flag("--idempotent",
                   job.idempotent,
                   "Marks a single request that may run more than once");
}

void
AddJobCommands(CLI::App& aApp, Arguments& aArguments)
{
  CLI::App* group = AddGroup(aApp, "job", "Submit, show and cancel jobs");
  AddSubmit(*group, aArguments);
  auto add = [&](const char* aName, const char* aHelp, auto aMethod) {
    CLI::App* command = AddCommand(
      *group,
      aArguments,
      aName,
      aHelp,
      [&aArguments, aMethod](ControlCommands& aCommands) {
        return (aCommands.*aMethod)(aArguments.organisation, aArguments.id);
      });
    command->add_option("organisation", aArguments.organisation)->required();
    command->add_option("job-id", aArguments.id)->required();
  };
  add("show",
      "Show the state or the outcome of a job",
      &ControlCommands::ShowJob);
  add("cancel", "Cancel a job", &ControlCommands::CancelJob);
}

void
AddFleetCommands(CLI::App& aApp, Arguments& aArguments)
{
  auto addShow = [&](CLI::App& aParent,
                     const char* aName,
                     const char* aHelp,
                     const char* aPath) {
    AddCommand(
      aParent, aArguments, aName, aHelp, [aPath](ControlCommands& aCommands) {
        return aCommands.Show(aPath);
      });
  };
  CLI::App* configuration =
    AddGroup(aApp, "configuration", "Show the active configuration");
  addShow(*configuration,
          "show",
          "Show the documents and the version that each process uses",
          "/v1/configuration");
  CLI::App* worker = AddGroup(aApp, "worker", "Manage one worker");
  AddCommand(*worker,
             aArguments,
             "drain",
             "Stop sending new tasks to the worker",
             [&aArguments](ControlCommands& aCommands) {
               return aCommands.Drain(aArguments.id);
             })
    ->add_option(
      "id", aArguments.id, "ID of its agent process (32 hexadecimal digits)")
    ->required();
  addShow(aApp, "workers", "Show the workers", "/v1/workers");
  addShow(aApp, "status", "Show the state of the entry", "/v1/status");
  AddCommand(
    aApp,
    aArguments,
    "counters",
    "Show the counters of the entry",
    [](ControlCommands& aCommands) { return aCommands.ShowCounters(); });
  CLI::App* recover =
    AddCommand(aApp,
               aArguments,
               "shard-recover",
               "Replace the ownership group of a shard whose majority is lost",
               [&aArguments](ControlCommands& aCommands) {
                 return aCommands.RecoverShard(aArguments.shard);
               });
  recover->add_option("shard", aArguments.shard, "Number of the shard")
    ->required();
  recover
    ->add_flag("--members-dead",
               aArguments.membersDead,
               "Confirms that all processes of the old group are dead; "
               "otherwise tasks may start twice")
    ->required();
}

void
AddExplain(CLI::App& aApp, Arguments& aArguments)
{
  CLI::App* explain = AddCommand(
    aApp,
    aArguments,
    "explain",
    "Show the events of a job from collected logs and the cause of its "
    "outcome",
    [&aArguments](ControlCommands& aCommands) {
      return aCommands.Explain(aArguments.id, aArguments.logs);
    });
  explain->add_option("job", aArguments.id, "ID of the job")->required();
  explain
    ->add_option("log",
                 aArguments.logs,
                 "Files with the log output of the processes, in any order")
    ->required();
}

}

int
RunGreengagectl(int aCount,
                const char* const* aArguments,
                const ControlCommandHooks& aHooks)
{
  Arguments arguments;
  CLI::App app{ "Command-line tool for operators of greengageworks.",
                "greengagectl" };
  app.require_subcommand(1);
  app.footer(kExitCodes);
  app
    .add_option("--entry",
                arguments.entries,
                "Address of an entry; may be repeated, the next entry is "
                "tried if one cannot be reached")
    ->envname("GREENGAGE_ENTRIES")
    ->delimiter(',')
    ->allow_extra_args(false)
    ->check(CLI::Validator(CheckEntry, "IP:PORT"))
    ->capture_default_str();
  app.add_flag("--json", arguments.json, "Print the answer as JSON");
  AddDocumentCommands(app, arguments, "template", ConfigurationKind::eTemplate);
  AddDocumentCommands(
    app, arguments, "organisation", ConfigurationKind::eOrganisation);
  AddJobCommands(app, arguments);
  AddFleetCommands(app, arguments);
  AddExplain(app, arguments);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : static_cast<int>(ExitCode::eInvalid);
  }
  ControlCommands commands(aHooks, arguments.entries, arguments.json);
  return static_cast<int>(arguments.action(commands));
}

}
