"""Runs the command line as `python -m tamarackgap`."""

from tamarackgap.commands import cmdline

cmdline.main()
