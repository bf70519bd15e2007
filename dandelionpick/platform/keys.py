"""Store keys that the platform and the operators write."""

CONFIGURATION_KEY = "op/config"
TARGETS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"
