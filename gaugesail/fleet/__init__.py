"""The head among others: its link, its store, its settings, and what drives the fleet's decisions."""
