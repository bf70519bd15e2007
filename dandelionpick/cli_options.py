"""Definitions of the command-line arguments and options."""

from absl import logging
from cleo import helpers

from dandelionpick import settings_file

DEFAULT_DEADLINE_S = 30.0
SERVER_ENV_VAR = "DANDELIONPICK_SERVER"
SETTINGS_ENV_VAR = "DANDELIONPICK_NODE_FILE"

LOG_LEVELS = {
    settings_file.LogLevel.DEBUG: logging.DEBUG,
    settings_file.LogLevel.INFO: logging.INFO,
    settings_file.LogLevel.WARNING: logging.WARNING,
    settings_file.LogLevel.ERROR: logging.ERROR,
}

SETTINGS = helpers.argument("settings", "Path of the settings file.")
PLATFORM_SETTINGS = helpers.argument(
    "settings",
    f"Path of the settings file (default: {SETTINGS_ENV_VAR}).",
    optional=True,
)
JOB_ID = helpers.argument("id", "Id of the job, the end of its path.")
LOG_FILES = helpers.argument(
    "logs",
    'Log files of all instances; "-" or none reads stdin.',
    optional=True,
    multiple=True,
)
KEY = helpers.argument("key", "Key of the request or job.")
TREE_PATH = helpers.argument(
    "path", 'Keys from the root of the tree, separated by "/".'
)
VALUE = helpers.argument("value", "The new value, as JSON.", optional=True)
TREE_FILE = helpers.argument(
    "file", 'Output of "tree show" with changes made to it; "-" reads stdin.'
)


def value_option(name: str, description: str, default: str | None = None):
    """Builds an option that takes a value."""
    return helpers.option(name, None, description, flag=False, default=default)


def flag(name: str, description: str):
    """Builds an option that takes no value."""
    return helpers.option(name, None, description)


SERVER = value_option(
    "server",
    "Address of an entry instance or load balancer, as in 10.0.0.1:8080"
    f" (default: {SERVER_ENV_VAR}).",
)
JSON = flag("json", "Print the reply as JSON.")
ORGANISATION = value_option(
    "organisation", "Organisation of the request or job."
)
NEW_KEY = value_option("key", "Key (default: a new UUIDv7, which is printed).")
JOB_CLASS = value_option("class", "Job class of the organisation.")
ATTEMPT = value_option(
    "attempt", "Number of this submission of the key, starting at 1.", "1"
)

CLIENT_OPTIONS = [SERVER, JSON]
PEER_OPTIONS = [
    value_option(
        "server",
        "Address of an instance for its peers, as in 10.0.0.1:7000"
        f" (default: {SERVER_ENV_VAR}).",
    ),
    JSON,
]
REQUEST_OPTIONS = [
    *CLIENT_OPTIONS,
    ORGANISATION,
    JOB_CLASS,
    NEW_KEY,
    ATTEMPT,
    value_option("body", "Input of the request, as text."),
    value_option("body-file", 'File with the input; "-" reads stdin.'),
    value_option(
        "deadline-s",
        "Seconds after which the answer is no longer useful.",
        str(DEFAULT_DEADLINE_S),
    ),
    flag("no-wait", "Return at once; fetch the answer later."),
]
FETCH_OPTIONS = [
    *CLIENT_OPTIONS,
    ORGANISATION,
    value_option("wait-s", "Seconds to wait for the answer.", "0"),
]
KEY_OPTIONS = [*CLIENT_OPTIONS, ORGANISATION]
JOB_OPTIONS = [
    *CLIENT_OPTIONS,
    ORGANISATION,
    JOB_CLASS,
    NEW_KEY,
    ATTEMPT,
    value_option("tasks", "Tasks of the gang.", "1"),
    value_option("accelerators", "Accelerators for each task.", "1"),
    value_option("cores", "Processor cores for each task.", "0"),
    value_option("memory-gb", "Memory for each task in GB.", "0"),
    value_option("run-s", "Expected run time in seconds, used as a hint.", "0"),
    value_option("payload", "What the tasks run.", ""),
    flag("follow", "Wait until the job ends."),
]
EDIT_OPTIONS = [
    *CLIENT_OPTIONS,
    value_option("edit-id", "Id of the edit (default: a new UUIDv7)."),
    value_option("operator", "Who makes the edit.", ""),
    value_option(
        "base-revision",
        "Refuse the edit if a setting in it changed after this revision.",
    ),
]
SET_OPTIONS = [
    *EDIT_OPTIONS,
    flag("remove", "Remove the setting so that it is inherited again."),
]
