"""Tests of dandelionpick and of the stand-ins."""
