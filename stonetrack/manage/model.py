"""Validation of instance data against the YANG model by yangson, with error tags and paths of RFC 6241.  The only I/O
is reading the module's file once.

There are two stages: the model (types, ranges, keys, ``must``), then the settings' own validation, which resolves
references between names.  Both report the path and what is allowed, for the first error only.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from yangson import DataModel
from yangson.enumerations import ContentType
from yangson.exceptions import NonexistentInstance, RawDataError, ValidationError, YangsonException

from stonetrack.manage import yang
from stonetrack.manage.datastore import ConfigRejected, Tag
from stonetrack.settings import Node, SettingsError, parse

MODULES_DIR = Path(__file__).parent / "modules"
_YANG_LIBRARY = {
    "ietf-yang-library:modules-state": {
        "module-set-id": yang.REVISION,
        "module": [{"name": yang.MODULE, "revision": yang.REVISION, "namespace": yang.NAMESPACE,
                    "conformance-type": "implement"}],
    }
}  # fmt: skip


class Model:
    """The data model; its module is read on construction."""

    def __init__(self) -> None:
        self._data_model = DataModel(json.dumps(_YANG_LIBRARY), [str(MODULES_DIR)])

    def parse_settings(self, instance: Any) -> Node:
        """The settings of a configuration in JSON (RFC 7951).  Raises ConfigRejected."""
        try:
            instance_node = self._data_model.from_raw(instance)
            instance_node.validate(ctype=ContentType.config)
        except RawDataError as error:
            raise ConfigRejected(Tag.INVALID_VALUE, str(getattr(error, "path", "")), str(error)) from None
        except (ValidationError, NonexistentInstance) as error:
            path = getattr(getattr(error, "instance", None), "json_pointer", lambda: "")()
            raise ConfigRejected(Tag.OPERATION_FAILED, str(path), str(error)) from None
        except (YangsonException, ValueError, TypeError, AttributeError, KeyError) as error:
            raise ConfigRejected(Tag.INVALID_VALUE, "", f"{type(error).__name__}: {error}") from None
        try:
            return parse(json.dumps(yang.from_instance(instance)), "configuration")
        except (SettingsError, ValueError, TypeError, KeyError) as error:
            raise ConfigRejected(Tag.INVALID_VALUE, "", str(error)) from None
