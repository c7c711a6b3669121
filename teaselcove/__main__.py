"""Runs the command line with `python -m teaselcove`."""

from teaselcove.commands.main import main

if __name__ == '__main__':
    main()
