"""Tests of kinds.py: days are written where they are asked for, and leave nothing behind otherwise."""
import pathlib
import subprocess
import sys
import tempfile
import tomllib
import unittest

KINDS = pathlib.Path(__file__).parent / "kinds.py"


def play(*options):
    """Plays two kinds with a bench that prints nothing."""
    command = [sys.executable, "-B", str(KINDS), "true", "site.toml", "--only", "burst,hup", *options]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout


class Days(unittest.TestCase):
    """Where the files of days go."""

    def test_days_are_kept_where_asked_for(self):
        with tempfile.TemporaryDirectory() as folder:
            told = play("--keep", folder, "--pair", "reshard")
            files = sorted(pathlib.Path(folder).iterdir())
            self.assertEqual([file.name for file in files], ["burst+reshard.toml", "hup+reshard.toml"])
            day = tomllib.loads(files[0].read_text())["day"][0]
            self.assertEqual([entry["kind"] for entry in day["faults"]], ["burst"] * 3)
            self.assertEqual([entry["kind"] for entry in day["plan"]], ["reshard"])
        self.assertIn("| `hup+reshard` |", told)

    def test_nothing_is_left_behind_otherwise(self):
        before = sorted(KINDS.parent.iterdir())
        play()
        self.assertEqual(sorted(KINDS.parent.iterdir()), before)


if __name__ == "__main__":
    unittest.main()
