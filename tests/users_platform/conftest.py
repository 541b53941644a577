"""Makes the modules beside the tests importable."""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parents[1] / "platform"), str(HERE)]
