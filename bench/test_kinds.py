"""Tests of kinds.py: day files are kept in the folder given by --keep, and otherwise nothing is left behind."""
import pathlib
import subprocess
import sys
import tempfile
import tomllib
import unittest

KINDS = pathlib.Path(__file__).parent / "kinds.py"


def play(*options):
    """Runs kinds.py for two kinds, with the command `true` as the bench. Returns what it prints."""
    command = [sys.executable, "-B", str(KINDS), "true", "site.toml", "--only", "burst,hup", *options]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout


class Days(unittest.TestCase):
    """Tests of where day files are written."""

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
