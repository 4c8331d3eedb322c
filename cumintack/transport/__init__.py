"""Input and output: links between processes, HTTP, files and clocks."""
