"""Starts one instance from a checkout, without an installed package."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from wisterialoom.platform.__main__ import main

if __name__ == "__main__":
    main()
