"""What operators see and do: the second address and the figures. Imported only where one is named."""
