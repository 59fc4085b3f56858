"""The command-line tool."""
