"""Datagrams between instances: who is there, what runs, what waits."""
