"""The demonstration and the small stand-ins for upstreams and workers."""
