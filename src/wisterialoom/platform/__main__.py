"""`python -m wisterialoom.platform`: runs one instance on the users' platform."""

from __future__ import annotations

import sys

import uvloop

from wisterialoom.platform.app import PlatformApp
from wisterialoom.platform.log import set_up_platform_logs
from wisterialoom.platform.settings import SettingsError


def main() -> int:
    """Run until told to stop; return the exit code."""

    async def serve() -> None:
        app = PlatformApp.from_environment()
        set_up_platform_logs(app.settings.instance)
        await app.run()

    try:
        uvloop.run(serve())
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
