"""Starts one instance from a checkout, without an installed package."""

import signal
import sys
from pathlib import Path

# Until settings have been read there is nothing to reload, and the default action
# would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from wisterialoom.platform.__main__ import main  # noqa: E402

if __name__ == "__main__":
    main()
