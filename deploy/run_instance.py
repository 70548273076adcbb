"""Run one instance from a checkout, without an installed package."""

import signal
import sys
from pathlib import Path

# Ignore SIGHUP until the application installs its handler. The signal requests a reload
# of the settings, but its default action would end a process that is just starting.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from wisterialoom.platform.__main__ import main  # noqa: E402

if __name__ == "__main__":
    main()
