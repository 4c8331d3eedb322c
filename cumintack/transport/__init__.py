"""Input and output: links between processes, HTTP, files, metrics, clocks."""
