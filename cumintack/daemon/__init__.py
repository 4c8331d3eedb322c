"""The daemon: connects the coordination logic to links, HTTP and files."""
