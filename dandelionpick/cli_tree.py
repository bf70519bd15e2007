"""Commands for the configuration tree."""

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
    """The file format that "tree show" prints."""

    revision: int
    tree: dict[str, Any]


class ShowCommand(cli_client.ClientCommand):
    """Prints the whole tree."""

    name = "tree show"
    description = "Prints the tree and its revision as JSON."
    options = cli_options.CLIENT_OPTIONS

    def handle(self) -> int:
        """Reads the tree."""
        result = self.send(operator.ReadTree())
        reply = result.value_or(None)
        if not isinstance(reply, operator.Tree):
            return self.report(result)
        self.write(cli_client.format_json(TreeFile(reply.revision, reply.tree)))
        return ExitStatus.OK


class GetCommand(cli_client.ClientCommand):
    """Prints one setting."""

    name = "tree get"
    description = "Prints the setting or branch at a path as JSON."
    arguments = [cli_options.TREE_PATH]
    options = cli_options.CLIENT_OPTIONS

    def handle(self) -> int:
        """Reads the tree and prints the subtree at the path."""
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
        self.write(cli_client.format_json(value))
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
        return self.number_option("base-revision", int)


class DiffCommand(cli_client.ClientCommand):
    """Shows the changes that an edited file would make."""

    name = "tree diff"
    description = "Prints the changes between the tree in force and a file."
    arguments = [cli_options.TREE_FILE]
    options = cli_options.CLIENT_OPTIONS

    def handle(self) -> int:
        """Reads the tree and prints its differences from the file."""
        result = self.send(operator.ReadTree())
        reply = result.value_or(None)
        if not isinstance(reply, operator.Tree):
            return self.report(result)
        edited = read_tree_file(self.argument("file"))
        for change in diff_trees(reply.tree, edited.tree):
            print_change(self, reply.tree, change)
        return ExitStatus.OK


class EditCommand(cli_client.ClientCommand):
    """Applies the changes of an edited file."""

    name = "tree edit"
    description = "Applies the changes of an edited file, all or none."
    arguments = [cli_options.TREE_FILE]
    options = cli_options.EDIT_OPTIONS

    def handle(self) -> int:
        """Sends the difference as one edit based on the file's revision.

        If another operator changed a setting after that revision, the
        difference contains its old value; the base revision makes the server
        refuse this as a conflict instead of reverting the change.
        """
        result = self.send(operator.ReadTree())
        reply = result.value_or(None)
        if not isinstance(reply, operator.Tree):
            return self.report(result)
        edited = read_tree_file(self.argument("file"))
        changes = diff_trees(reply.tree, edited.tree)
        if not changes:
            self.write_error("The file changes nothing.")
            return ExitStatus.OK
        for change in changes:
            print_change(self, reply.tree, change)
        return self.report(send_edit(self, changes, edited.revision))


def send_edit(
    command: cli_client.ClientCommand,
    changes: list[operator.Change],
    base_revision: int | None,
) -> Result[Any, client.ClientFailure]:
    """Sends an edit after printing its id, which a retry needs."""
    message = operator.EditTree(
        edit_id=command.key_or_generate("edit-id"),
        changes=changes,
        base_revision=base_revision,
        operator=command.option("operator"),
    )
    return command.send(message)


def read_tree_file(path: str) -> TreeFile:
    """Reads a file in the format that "tree show" prints.

    Raises:
        UsageError: if the file cannot be read or decoded.
    """
    body = cli_requests.read_bytes(path)
    try:
        return msgspec.json.decode(body, type=TreeFile)
    except msgspec.DecodeError as error:
        raise cli_client.UsageError(
            f'{path} is not a tree ({error}). Start from the output of "tree'
            ' show".'
        ) from None


def diff_trees(
    old: dict[str, Any], new: dict[str, Any]
) -> list[operator.Change]:
    """Returns the changes that turn one tree into another.

    Raises:
        UsageError: if a tree is not valid.
    """
    try:
        return list(tree_diff.changes_between(old, new))
    except ValueError as error:
        raise cli_client.UsageError(
            f"The tree is not valid: {error}."
        ) from None


def print_change(
    command: cli_client.ClientCommand,
    old: dict[str, Any],
    change: operator.Change,
) -> None:
    """Prints the old value of a change after "-" and the new one after "+"."""
    try:
        before = msgspec.json.encode(tree_diff.value_at(old, change.path))
        command.write(f"- {change.path} = {before.decode()}")
    except KeyError:
        pass
    if not change.remove:
        after = msgspec.json.encode(change.value).decode()
        command.write(f"+ {change.path} = {after}")
