"""Runs the command line as `python -m tamarackgap`."""

from tamarackgap import cmdline

cmdline.main()
