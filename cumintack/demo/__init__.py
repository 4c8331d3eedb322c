"""Demonstration, with a simulated upstream and worker agent."""
