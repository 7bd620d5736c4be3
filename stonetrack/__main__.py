"""``python -m stonetrack``."""

from stonetrack.cli.main import main

if __name__ == "__main__":
    main()
