"""The commands of the `teaselcove` command line."""
