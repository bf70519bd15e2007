"""Runs the contract tests against the stand-ins and, optionally, a real store.

DANDELIONPICK_STORE is the address of a real store, such as 127.0.0.1:8080.
"""

import os
import unittest
import uuid

from dandelionpick import kinds
from standins import instance_list
from standins import store
from tests import contract_list
from tests import contract_store
from tests import services

REAL_STORE = os.environ.get("DANDELIONPICK_STORE", "")


class StoreModelTest(
    contract_store.StoreContract,
    contract_store.StoreFaultContract,
    unittest.TestCase,
):
    """The model that tests in virtual time use."""

    def setUp(self):
        self.service = services.ModelService(store.Store())


class StoreHttpTest(
    contract_store.StoreContract,
    contract_store.StoreFaultContract,
    unittest.TestCase,
):
    """The stand-in behind HTTP, through the client of the running process."""

    @classmethod
    def setUpClass(cls):
        cls.process = services.StandInProcess("store", {})
        cls.addClassCleanup(cls.process.stop)

    def setUp(self):
        self.service = services.HttpService(
            kinds.Service.STORE, self.process.address
        )


if REAL_STORE:

    class RealStoreTest(contract_store.StoreContract, unittest.TestCase):
        """A store that the tests did not start; each run uses its own keys."""

        def setUp(self):
            self.run_id = uuid.uuid4().hex
            self.service = services.HttpService(kinds.Service.STORE, REAL_STORE)

        def key(self, name):
            return f"contract/{self.run_id}/{name}"


class ListModelTest(contract_list.ListContract, unittest.TestCase):
    """The model that tests in virtual time use."""

    def setUp(self):
        model = instance_list.InstanceList(lag_s=0.05)
        self.service = services.ModelService(model)


class ListHttpTest(contract_list.ListContract, unittest.TestCase):
    """The stand-in behind HTTP, through the client of the running process."""

    @classmethod
    def setUpClass(cls):
        options = {"lag_s": 0.05, "entries": []}
        cls.process = services.StandInProcess("instance_list", options)
        cls.addClassCleanup(cls.process.stop)

    def setUp(self):
        self.service = services.HttpService(
            kinds.Service.INSTANCE_LIST, self.process.address
        )
        self.service.control({"lag_s": 0.05})


if __name__ == "__main__":
    unittest.main()
