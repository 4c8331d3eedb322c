"""The daemon: wires decisions to links, HTTP, files and clocks."""
