"""Small values with a version, each kept by a majority of independent stores."""
