"""The command-line tool: thin, it only talks to the API of an entry."""
