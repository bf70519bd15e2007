"""Store keys that the platform and the operators write."""

CONFIGURATION = "op/config"
TARGETS = "servers/"
