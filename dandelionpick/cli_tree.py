"""Commands for the tree of settings."""

from typing import Any

import msgspec
from returns.result import Result

from dandelionpick import cli_client
from dandelionpick import cli_options
from dandelionpick import cli_requests
from dandelionpick import client
from dandelionpick import operator_messages as operator
from dandelionpick import tree_diff
from dandelionpick.status import ExitStatus


class TreeFile(msgspec.Struct, frozen=True):
    """A file as "tree show" prints it."""

    revision: int
    tree: dict[str, Any]


class ShowCommand(cli_client.ClientCommand):
    """Shows the whole tree."""

    name = "tree show"
    description = "Prints the tree and its revision as JSON."
    options = cli_options.CLIENT_OPTIONS

    def handle(self) -> int:
        """Reads the tree."""
        result = self.send(operator.ReadTree())
        reply = result.value_or(None)
        if not isinstance(reply, operator.Tree):
            return self.report(result)
        self.write(cli_client.pretty(TreeFile(reply.revision, reply.tree)))
        return ExitStatus.OK


class GetCommand(cli_client.ClientCommand):
    """Prints one setting."""

    name = "tree get"
    description = "Prints the setting or branch at a path as JSON."
    arguments = [cli_options.TREE_PATH]
    options = cli_options.CLIENT_OPTIONS

    def handle(self) -> int:
        """Reads the tree and prints a part of it."""
        result = self.send(operator.ReadTree())
        reply = result.value_or(None)
        if not isinstance(reply, operator.Tree):
            return self.report(result)
        path = self.argument("path")
        try:
            value = tree_diff.value_at(reply.tree, path)
        except KeyError:
            self.write_error(
                f'Revision {reply.revision} has no setting "{path}" of its'
                ' own. Look for inherited values with "tree show".'
            )
            return ExitStatus.REFUSED
        self.write(cli_client.pretty(value))
        return ExitStatus.OK


class SetCommand(cli_client.ClientCommand):
    """Sets or removes one setting."""

    name = "tree set"
    description = "Sets or removes one setting."
    arguments = [cli_options.TREE_PATH, cli_options.VALUE]
    options = cli_options.SET_OPTIONS

    def handle(self) -> int:
        """Sends an edit with one change."""
        return self.report(send_edit(self, [self._change()], self._base()))

    def _change(self) -> operator.Change:
        path, value = self.argument("path"), self.argument("value")
        if self.option("remove"):
            return operator.Change(path, remove=True)
        if value is None:
            raise cli_client.UsageError("Give a value, or --remove.")
        try:
            return operator.Change(path, msgspec.json.decode(value.encode()))
        except msgspec.DecodeError as error:
            raise cli_client.UsageError(
                f"The value is not JSON ({error}). Put text in double quotes,"
                """ as in '"job"'."""
            ) from None

    def _base(self) -> int | None:
        if self.option("base-revision") is None:
            return None
        return self.number("base-revision", int)


class DiffCommand(cli_client.ClientCommand):
    """Shows what an edited file would change."""

    name = "tree diff"
    description = "Prints the changes between the tree in force and a file."
    arguments = [cli_options.TREE_FILE]
    options = cli_options.CLIENT_OPTIONS

    def handle(self) -> int:
        """Reads the tree and compares."""
        result = self.send(operator.ReadTree())
        reply = result.value_or(None)
        if not isinstance(reply, operator.Tree):
            return self.report(result)
        wanted = read_tree(self.argument("file"))
        for change in changes(reply.tree, wanted.tree):
            show_change(self, reply.tree, change)
        return ExitStatus.OK


class EditCommand(cli_client.ClientCommand):
    """Applies the changes of an edited file."""

    name = "tree edit"
    description = "Applies what an edited file changes, all or nothing."
    arguments = [cli_options.TREE_FILE]
    options = cli_options.EDIT_OPTIONS

    def handle(self) -> int:
        """Sends the difference as one edit based on the file's revision.

        A setting that another operator changed after that revision appears
        as a change back, which the base revision makes a conflict.
        """
        result = self.send(operator.ReadTree())
        reply = result.value_or(None)
        if not isinstance(reply, operator.Tree):
            return self.report(result)
        wanted = read_tree(self.argument("file"))
        found = changes(reply.tree, wanted.tree)
        if not found:
            self.write_error("The file changes nothing.")
            return ExitStatus.OK
        for change in found:
            show_change(self, reply.tree, change)
        return self.report(send_edit(self, found, wanted.revision))


def send_edit(
    command: cli_client.ClientCommand,
    found: list[operator.Change],
    base_revision: int | None,
) -> Result[Any, client.ClientFailure]:
    """Sends an edit; its id is printed first, for a retry."""
    message = operator.EditTree(
        edit_id=command.key_or_new("edit-id"),
        changes=found,
        base_revision=base_revision,
        operator=command.option("operator"),
    )
    return command.send(message)


def read_tree(path: str) -> TreeFile:
    """Reads a file as "tree show" prints it."""
    body = cli_requests.read_bytes(path)
    try:
        return msgspec.json.decode(body, type=TreeFile)
    except msgspec.DecodeError as error:
        raise cli_client.UsageError(
            f'{path} is not a tree ({error}). Start from the output of "tree'
            ' show".'
        ) from None


def changes(old: dict[str, Any], new: dict[str, Any]) -> list[operator.Change]:
    """Returns the changes between two trees."""
    try:
        return list(tree_diff.changes_between(old, new))
    except ValueError as error:
        raise cli_client.UsageError(
            f"The tree is not valid: {error}."
        ) from None


def show_change(
    command: cli_client.ClientCommand,
    old: dict[str, Any],
    change: operator.Change,
) -> None:
    """Prints a change: the old value with "-" and the new one with "+"."""
    try:
        before = msgspec.json.encode(tree_diff.value_at(old, change.path))
        command.write(f"- {change.path} = {before.decode()}")
    except KeyError:
        pass
    if not change.remove:
        after = msgspec.json.encode(change.value).decode()
        command.write(f"+ {change.path} = {after}")
