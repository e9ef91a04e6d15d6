"""Property tests play the same examples every time: the same verdict always."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")
